//! The format of log lines, and a slow reader of the output.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use insta::assert_snapshot;
use log::{Level, Record};
use log4rs::append::Append;
use quincewheel_log::Lines;

/// An output that signals the first write on `entered` and blocks it until it
/// receives on `open`.
struct BlockedPipe {
    entered: Sender<()>,
    open: Receiver<()>,
    opened: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedPipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.opened {
            let _ = self.entered.send(());
            self.opened = self.open.recv().is_ok();
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Harness {
    lines: Lines,
    entered: Receiver<()>,
    opener: Sender<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

fn harness() -> Harness {
    let (opener, open) = channel();
    let (enter, entered) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let pipe = BlockedPipe { entered: enter, open, opened: false, written: Arc::clone(&written) };
    Harness { lines: Lines::spawn("entry-1", pipe).unwrap(), entered, opener, written }
}

fn log_line(lines: &Lines, number: usize) {
    let pairs: &[(&str, u64)] = &[("number", number as u64)];
    let record = Record::builder()
        .level(Level::Info)
        .args(format_args!("a \"quoted\" word"))
        .key_values(&pairs)
        .build();
    lines.append(&record).unwrap();
}

fn wait_for_lines(written: &Mutex<Vec<u8>>, count: usize) -> Vec<String> {
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
fn a_line_has_only_the_fields_of_its_record() {
    let Harness { lines, opener, written, .. } = harness();
    opener.send(()).unwrap();
    log_line(&lines, 7);
    let line = wait_for_lines(&written, 1).remove(0);
    let rest = line.split_once(',').unwrap().1;
    assert_snapshot!(rest, @r#""process":"entry-1","number":7,"msg":"a \"quoted\" word"}"#);
}

// Guards against calls that hang while the log output is not read: the pipe fills up,
// and a line written directly by the logging thread would block on it.
#[test]
fn a_full_pipe_drops_lines_and_logs_how_many() {
    let Harness { lines, entered, opener, written } = harness();
    log_line(&lines, 0);
    entered.recv().unwrap();
    // The writer is now blocked on the first line; the queue holds 2,048 more.
    for number in 1..=5000 {
        log_line(&lines, number);
    }
    assert_eq!(lines.dropped(), 5000 - 2048);
    opener.send(()).unwrap();
    wait_for_lines(&written, 1 + 2048);
    log_line(&lines, 5001);
    let last = wait_for_lines(&written, 1 + 2048 + 1).pop().unwrap();
    assert!(last.ends_with(",\"dropped\":2952}"), "{last}");
}
