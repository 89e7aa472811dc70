//! The `quincewheel-entry` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    quincewheel_entry::run(&args)
}
