//! Lines are short, and a reader that falls behind costs lines, not service.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use insta::assert_snapshot;
use log::{Level, Record};
use log4rs::append::Append;
use quincewheel_log::Lines;

/// An output that takes nothing until it is told to.
struct Pipe {
    open: Receiver<()>,
    opened: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.opened {
            self.opened = self.open.recv().is_ok();
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lines() -> (Lines, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (opener, open) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let pipe = Pipe { open, opened: false, written: Arc::clone(&written) };
    (Lines::spawn("entry-1", pipe).unwrap(), opener, written)
}

fn log(lines: &Lines, number: usize) {
    let pairs: &[(&str, u64)] = &[("number", number as u64)];
    let record = Record::builder()
        .level(Level::Info)
        .args(format_args!("a \"quoted\" word"))
        .key_values(&pairs)
        .build();
    lines.append(&record).unwrap();
}

fn wait_for(written: &Mutex<Vec<u8>>, count: usize) -> Vec<String> {
    loop {
        let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
        let lines: Vec<String> = text.lines().map(str::to_owned).collect();
        if lines.len() >= count && text.ends_with('\n') {
            return lines;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_line_holds_what_the_place_knows_and_no_more() {
    let (lines, opener, written) = lines();
    opener.send(()).unwrap();
    log(&lines, 7);
    let line = wait_for(&written, 1).remove(0);
    let rest = line.split_once(',').unwrap().1;
    assert_snapshot!(rest, @r#""process":"entry-1","number":7,"msg":"a \"quoted\" word"}"#);
}

// Symptom: calls hang while nobody reads the logs. Sequence: the pipe fills, the
// next line waits for room. Cause: lines were written where they arose.
#[test]
fn a_full_pipe_drops_lines_and_says_how_many() {
    let (lines, opener, written) = lines();
    for number in 0..5000 {
        log(&lines, number);
    }
    let dropped = lines.dropped();
    assert!((2900..3000).contains(&dropped), "{dropped} of 5,000 with room for 2,048");
    opener.send(()).unwrap();
    wait_for(&written, 5000 - dropped as usize);
    log(&lines, 5000);
    let last = wait_for(&written, 5001 - dropped as usize).pop().unwrap();
    assert!(last.ends_with(&format!(",\"dropped\":{dropped}}}")), "{last}");
}
