//! What a process writes, to be read at any moment.
//!
//! It goes to a file without a name, not through a pipe: a pipe has to be emptied
//! all the time by a thread of the reading process, and when that process is slow
//! what was written is not there yet when somebody looks; of two processes' pipes
//! one may be further than the other, so that an effect is seen without its cause.
//! A file has all that was written, in the order of the writes, also after its
//! writer was killed.

use std::fs::{self, File};
use std::os::unix::fs::FileExt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::{env, io, process};

static NEXT: AtomicU64 = AtomicU64::new(0);

/// The output of one process.
pub struct Output(File);

impl Output {
    /// An empty one. It is gone with the last that has it open.
    pub fn open() -> io::Result<Output> {
        loop {
            let next = NEXT.fetch_add(1, Ordering::Relaxed);
            let path = env::temp_dir().join(format!("quincewheel-{}-{next}", process::id()));
            match File::options().read(true).append(true).create_new(true).open(&path) {
                // Left by an earlier process with this id that was killed here.
                Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {}
                opened => {
                    let output = Output(opened?);
                    fs::remove_file(&path)?;
                    return Ok(output);
                }
            }
        }
    }

    /// Where the process writes.
    pub fn writer(&self) -> io::Result<File> {
        self.0.try_clone()
    }

    /// All that was written after the first `skip` bytes.
    pub fn after(&self, skip: u64) -> io::Result<Vec<u8>> {
        let length = self.0.metadata()?.len().saturating_sub(skip);
        let mut bytes = vec![0; length as usize];
        // The writer shares the file's position; reading must not move it.
        self.0.read_exact_at(&mut bytes, skip)?;
        Ok(bytes)
    }
}
