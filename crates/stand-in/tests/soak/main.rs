//! A randomized soak of the real programs as separate processes.
//!
//! Entries and agents run as they ship, against stand-ins for the platform's
//! table, workers and clients. A seed draws the faults: processes are stopped,
//! paused, killed and restarted by signals; connections pass loopback proxies
//! that delay, reset, silence or cut them one way; the table is down, slow,
//! loses answers or its history; workers die and come back; keys are taken
//! away. Where workers are what goes wrong, tasks crash those that start them, and
//! the platform lists machines. Faults overlap. What clients and workers see is
//! judged all the while, and after the faults every accepted job must end.
//!
//! Run without arguments it plays the seeds that once failed and a few others,
//! for a short while each. By hand:
//!
//! ```text
//! cargo test -p quincewheel-stand-in --test soak -- --fresh 50 --seconds 15
//! cargo test -p quincewheel-stand-in --test soak -- --seed 7 --logs /tmp/soak
//! ```

mod answers;
mod client;
mod cut_off;
mod fault;
mod hall;
mod judge;
mod keys;
mod kind;
mod machines;
mod net;
mod process;
mod proxy;
mod setup;
mod table;
mod worker;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;
use rand::random;

use kind::Kind;
use world::{Outcome, World};

/// Seeds that CI plays, both of which failed.
///
/// - 366129, at twelve seconds: a job that had ended began anew. All rows were read
///   again after the table forgot its history, by a call that was answered before
///   the job's last record.
/// - Both, before the first fault: an entry that had not read the configuration yet
///   answered a bad call by 503, as it must, and the check took any entry's first
///   right answer for the start of all.
const SEEDS: [u64; 2] = [1, 366_129];
/// Seeds with tasks that crash their workers, for CI, both of which failed.
///
/// - 3: a crash was not counted where the worker's next life was known only later.
/// - 83187: members of a gang that waited for another cleared it of all crashes.
const CRASHES: [u64; 2] = [3, 83_187];
/// Seeds with workers that keep their ids, for CI, all of which failed.
///
/// - 659637, at ten seconds: a worker carried out a start that its former incarnation had not, as
///   the first thing that it did. No worker does: it knows nothing of before.
/// - 356530, at ten seconds on a busy machine: a task was started thrice after its fifth crash, as
///   agents learned of two crashes too late to name the start, and one ended with its agent.
/// - 455598, at eight seconds: a task that crashes its workers was started thrice after its fifth
///   crash, of which two named no start, and one ended with its agent.
const RESTARTS: [u64; 3] = [356_530, 455_598, 659_637];
/// Seeds with zones that are evacuated, for CI.
///
/// - 594141 failed, at eight seconds: a gang was given up, as workers that restarted by themselves
///   did so three times in a row within 250 ms of its start.
const EVACUATIONS: [u64; 2] = [35, 594_141];
/// Names the run in which one entry alone is cut off from the table.
const CUT_OFF: &str = "soak_cut_off";
/// Seconds of faults in CI.
const SHORT: u64 = 8;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "play this seed only", "N");
    options.optopt("", "fresh", "play so many fresh seeds", "COUNT");
    options.optopt(
        "",
        "kind",
        "what goes wrong: faults, workers, restarts (the default) or evacuations",
        "K",
    );
    options.optopt("", "seconds", "how long faults come", "S");
    options.optopt("", "logs", "keep the processes' logs in this folder", "DIR");
    options.optmulti("", "skip", "leave out those whose names contain this", "NAME");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Ok(given) = options.parse(&args) else {
        eprintln!("{}", options.usage("soak [options]"));
        return ExitCode::FAILURE;
    };
    let number = |name: &str| given.opt_str(name).and_then(|text| text.parse().ok());
    let seconds = number("seconds").unwrap_or(SHORT);
    let logs: Option<PathBuf> = given.opt_str("logs").map(PathBuf::from);
    let kind = match given.opt_str("kind").as_deref() {
        Some("faults") => Kind::Faults,
        Some("workers") => Kind::Workers,
        Some("restarts") | None => Kind::Restarts,
        Some("evacuations") => Kind::Evacuations,
        Some(other) => {
            eprintln!("kind must be faults, workers, restarts or evacuations, not {other}");
            return ExitCode::FAILURE;
        }
    };
    let seeds: Vec<(u64, Kind)> = match (number("seed"), number("fresh")) {
        (Some(seed), _) => vec![(seed, kind)],
        (None, Some(count)) => (0..count).map(|_| (random::<u64>() % 1_000_000, kind)).collect(),
        (None, None) => {
            let plain = SEEDS.iter().map(|seed| (*seed, Kind::Faults));
            let crashes = CRASHES.iter().map(|seed| (*seed, Kind::Workers));
            let restarts = RESTARTS.iter().map(|seed| (*seed, Kind::Restarts));
            let zones = EVACUATIONS.iter().map(|seed| (*seed, Kind::Evacuations));
            plain.chain(crashes).chain(restarts).chain(zones).collect()
        }
    };
    let scripted = number("seed").is_none() && number("fresh").is_none();
    // As other test programs do: all names that contain one of those given, but for the skipped.
    let skipped = given.opt_strs("skip");
    let chosen = |name: &str| {
        let named = given.free.is_empty() || given.free.iter().any(|part| name.contains(part));
        named && !skipped.iter().any(|part| name.contains(part))
    };
    let mut failed = Vec::new();
    if scripted && chosen(CUT_OFF) {
        report(CUT_OFF, &cut_off::play(), &mut failed);
    }
    for (seed, kind) in seeds {
        let name = format!("soak_{}_seed_{seed}", kind.name());
        if chosen(&name) {
            let Outcome { violations, line } = World::play(seed, seconds, kind, logs.as_deref());
            println!("seed {seed}: {line}");
            report(&name, &violations, &mut failed);
        }
    }
    println!("{} failed: {failed:?}", failed.len());
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Tells how one run ended, in the words of other test programs.
fn report(name: &str, violations: &[String], failed: &mut Vec<String>) {
    let verdict = if violations.is_empty() { "ok" } else { "FAILED" };
    println!("test {name} ... {verdict}");
    violations.iter().for_each(|violation| println!("  {violation}"));
    if !violations.is_empty() {
        failed.push(name.to_owned());
    }
}
