//! Lines are short, and a reader that falls behind costs lines, not service.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use insta::assert_snapshot;
use log::{Level, Record};
use log4rs::append::Append;
use quincewheel_log::Lines;

/// An output that says when something is to be written, and takes nothing until
/// it is told to.
struct Pipe {
    entered: Sender<()>,
    open: Receiver<()>,
    opened: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Pipe {
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

struct Bed {
    lines: Lines,
    entered: Receiver<()>,
    opener: Sender<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

fn bed() -> Bed {
    let (opener, open) = channel();
    let (enter, entered) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let pipe = Pipe { entered: enter, open, opened: false, written: Arc::clone(&written) };
    Bed { lines: Lines::spawn("entry-1", pipe).unwrap(), entered, opener, written }
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
    let Bed { lines, opener, written, .. } = bed();
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
    let Bed { lines, entered, opener, written } = bed();
    log(&lines, 0);
    entered.recv().unwrap();
    // The writer now holds the first line and waits; the queue takes 2,048.
    for number in 1..=5000 {
        log(&lines, number);
    }
    assert_eq!(lines.dropped(), 5000 - 2048);
    opener.send(()).unwrap();
    wait_for(&written, 1 + 2048);
    log(&lines, 5001);
    let last = wait_for(&written, 1 + 2048 + 1).pop().unwrap();
    assert!(last.ends_with(",\"dropped\":2952}"), "{last}");
}
