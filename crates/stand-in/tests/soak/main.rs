//! A randomized soak of the real programs as separate processes.
//!
//! The shipped entry and agent programs run against stand-ins for the platform's
//! table, workers and clients. A seed draws the faults: processes are stopped,
//! paused, killed and restarted by signals; connections pass loopback proxies
//! that delay, reset, block or block one direction; the table is down, slow,
//! loses replies or its history; workers crash and restart; keys are revoked. In
//! the kinds with worker faults, tasks crash the workers that start them, and the
//! platform lists machines. In one kind workers shut down gracefully. Faults overlap. Everything that clients and workers
//! observe is checked during the run, and after the faults every accepted job
//! must end. While all is calm, no job may stand beside idle workers.
//!
//! Fresh seeds draw the number of processes and the load too, have troubles of many processes at
//! the same time, and clients that go on after the faults. Plain courses, those of the CI seeds and
//! of `--plain`, have three entries, six workers and only the faults of their kind.
//!
//! Without arguments it runs the CI seeds, some of which once failed, for a few
//! seconds each. By hand:
//!
//! ```text
//! cargo test -p quincewheel-stand-in --test soak -- --fresh 50 --seconds 15
//! cargo test -p quincewheel-stand-in --test soak -- --seed 7 --logs /tmp/soak
//! cargo test -p quincewheel-stand-in --test soak -- --fresh 3 --kind load --entries 12 --workers 80
//! cargo test -p quincewheel-stand-in --test soak -- crowd_ --members 1500 --memory 260 --fds 4100
//! ```

mod bad_calls;
mod checker;
mod checker_test;
mod client;
mod course;
mod crowd;
mod crowd_cases;
mod cut_off;
mod deployment;
mod fault;
mod fleet;
mod former_heartbeat;
mod keys;
mod killed_agents;
mod kind;
mod machines;
mod net;
mod paused_agents;
mod payload;
mod process;
mod proxy;
mod refused_polls;
mod settings;
mod silent_agent;
mod size;
mod standing;
mod standing_test;
mod table;
mod trouble;
mod watch;
mod worker;
mod worker_log;

use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;
use rand::random;

use course::Course;
use deployment::{Deployment, Outcome};
use kind::Kind;
use size::Size;

/// Seeds of [`Kind::Faults`] that CI runs; both once failed.
///
/// - 366129, at twelve seconds: a job that had ended started again. After the table
///   compacted its history, all rows were read again by a call that was answered
///   before the job's last record.
/// - Both, before the first fault: an entry that had not read the configuration yet
///   answered a bad call by 503, as it must, but the check took the first right
///   answer of any entry as proof that all were ready.
const FAULT_SEEDS: [u64; 2] = [1, 366_129];
/// Seeds of [`Kind::Workers`] that CI runs; both once failed.
///
/// - 3: a crash was not counted if the worker's next incarnation became known only
///   later.
/// - 83187: members of a gang that waited for another member cleared its crashes.
const CRASH_SEEDS: [u64; 2] = [3, 83_187];
/// Seeds of [`Kind::Restarts`] that CI runs, with the seconds at which they failed.
///
/// - 659637, at ten seconds: the simulated worker carried out a start that its previous
///   incarnation had received. Real workers keep nothing across a restart.
/// - 356530 and 256399, at ten seconds on a busy machine: a task started three times after its
///   fifth crash, because agents learned of crashes too late to attribute them to a start, and
///   others were forgotten with the owner and the agent before they were certain.
/// - 455598, at eight seconds: a task that crashes its workers started three times after its fifth
///   crash; two crashes were attributed to no start, and one was lost with its agent.
const RESTART_SEEDS: [(u64, u64); 4] = [(356_530, 10), (455_598, 8), (659_637, 10), (256_399, 10)];
/// Seeds of [`Kind::Evacuations`] that CI runs.
///
/// - 594141 once failed, at eight seconds: a gang was given up because workers restarted, for
///   other reasons, three times in a row soon after its start.
const EVACUATION_SEEDS: [u64; 2] = [35, 594_141];
/// Seeds of [`Kind::Load`] that CI runs.
const LOAD_SEEDS: [u64; 2] = [44, 4_501];
/// Name of the run in which one entry at a time is cut off from the table.
const CUT_OFF_TEST: &str = "soak_cut_off";
/// Seeds of [`Kind::Departures`] that CI runs.
const DEPARTURE_SEEDS: [u64; 2] = [7, 12];
/// Name of the checks of the checker itself.
const CHECKER_TEST: &str = "soak_checker";
/// Name of the run in which agents are paused for almost a lease.
const PAUSED_AGENTS_TEST: &str = "soak_paused_agents";
/// Name of the run in which agents are killed and hear delayed heartbeats.
const KILLED_AGENTS_TEST: &str = "soak_killed_agents";
/// Name of the run in which workers refuse polls while they confirm starts.
const REFUSED_POLLS_TEST: &str = "soak_refused_polls";
/// Name of the run in which an agent is suspended while the owner dies.
const SILENT_AGENT_TEST: &str = "soak_silent_agent";
/// Seconds for which faults are injected unless an option sets it.
const DEFAULT_SECONDS: u64 = 8;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "play this seed only", "N");
    options.optopt("", "fresh", "play so many fresh seeds", "COUNT");
    options.optopt(
        "",
        "kind",
        "what goes wrong: faults, workers, restarts (the default), evacuations, load or departures",
        "K",
    );
    options.optopt("", "seconds", "how long faults come", "S");
    options.optopt("", "entries", "how many entries; drawn by the seed unless set", "N");
    options.optopt("", "workers", "how many workers; drawn by the seed unless set", "N");
    options.optopt("", "members", "connections of each crowd, in place of the case's", "N");
    options.optopt("", "memory", "MB of the machines of crowds, in place of the case's", "MB");
    options.optopt("", "fds", "descriptors of the machines of crowds, as well", "N");
    options.optflag("", "light", "clients use under half of the capacity");
    options.optflag(
        "",
        "plain",
        "only the faults of the kind, at 3 entries and 6 workers unless set, as CI plays its seeds",
    );
    options.optopt("", "logs", "keep the processes' logs in this folder", "DIR");
    options.optmulti("", "skip", "leave out those whose names contain this", "NAME");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Ok(matches) = options.parse(&args) else {
        eprintln!("{}", options.usage("soak [options]"));
        return ExitCode::FAILURE;
    };
    let number = |name: &str| matches.opt_str(name).and_then(|text| text.parse().ok());
    let seconds = number("seconds");
    let logs: Option<PathBuf> = matches.opt_str("logs").map(PathBuf::from);
    let kind = match matches.opt_str("kind").as_deref() {
        Some("faults") => Kind::Faults,
        Some("workers") => Kind::Workers,
        Some("restarts") | None => Kind::Restarts,
        Some("evacuations") => Kind::Evacuations,
        Some("load") => Kind::Load,
        Some("departures") => Kind::Departures,
        Some(other) => {
            eprintln!(
                "kind must be faults, workers, restarts, evacuations, load or departures, not {other}"
            );
            return ExitCode::FAILURE;
        }
    };
    let (entries, workers) = (number("entries"), number("workers"));
    let by_hand = |seed: u64| {
        let seconds = seconds.unwrap_or(DEFAULT_SECONDS);
        let course = match matches.opt_present("plain") {
            true => Course::plain(seed, kind, seconds),
            false => Course::draw(seed, kind, seconds),
        };
        let entries = entries.map_or(course.size.entries, |entries| entries as usize);
        let workers = workers.map_or(course.size.workers, |workers| workers as usize);
        let is_light = course.is_light || matches.opt_present("light");
        Course { size: Size { entries, workers }, is_light, ..course }
    };
    let courses: Vec<Course> = match (number("seed"), number("fresh")) {
        (Some(seed), _) => vec![by_hand(seed)],
        (None, Some(count)) => (0..count).map(|_| by_hand(random::<u64>() % 1_000_000)).collect(),
        (None, None) => ci_courses(seconds),
    };
    if courses.iter().any(|course| !course.size.is_possible()) {
        eprintln!("there are too few or too many entries and workers");
        return ExitCode::FAILURE;
    }
    let runs_ci_seeds = number("seed").is_none() && number("fresh").is_none();
    // Filters as in libtest: names that contain any of the free arguments, without the skipped.
    let skipped = matches.opt_strs("skip");
    let chosen = |name: &str| {
        let named = matches.free.is_empty() || matches.free.iter().any(|part| name.contains(part));
        named && !skipped.iter().any(|part| name.contains(part))
    };
    let mut failed = Vec::new();
    if runs_ci_seeds && chosen(CHECKER_TEST) {
        report(CHECKER_TEST, &[checker_test::run(), standing_test::run()].concat(), &mut failed);
    }
    if runs_ci_seeds && chosen(CUT_OFF_TEST) {
        report(CUT_OFF_TEST, &cut_off::run(), &mut failed);
    }
    if runs_ci_seeds && chosen(PAUSED_AGENTS_TEST) {
        report(PAUSED_AGENTS_TEST, &paused_agents::run(logs.as_deref()), &mut failed);
    }
    if runs_ci_seeds && chosen(KILLED_AGENTS_TEST) {
        report(KILLED_AGENTS_TEST, &killed_agents::run(logs.as_deref()), &mut failed);
    }
    if runs_ci_seeds && chosen(REFUSED_POLLS_TEST) {
        report(REFUSED_POLLS_TEST, &refused_polls::run(logs.as_deref()), &mut failed);
    }
    if runs_ci_seeds && chosen(SILENT_AGENT_TEST) {
        report(SILENT_AGENT_TEST, &silent_agent::run(logs.as_deref()), &mut failed);
    }
    if runs_ci_seeds {
        let scale = crowd_cases::Scale {
            members: number("members").map(|members| members as usize),
            memory_mb: number("memory"),
            max_fds: number("fds"),
        };
        crowd_cases::run(scale, logs.as_deref(), chosen, |name, violations| {
            report(name, violations, &mut failed);
        });
    }
    for course in courses {
        let Course { seed, kind, size, is_light, .. } = course;
        let name = format!("soak_{}_seed_{seed}", kind.name());
        if chosen(&name) {
            let Outcome { violations, line } = Deployment::run_course(course, logs.as_deref());
            let (Size { entries, workers }, load) =
                (size, if is_light { "light" } else { "usual" });
            println!("seed {seed}: {entries} entries, {workers} workers, {load} load: {line}");
            report(&name, &violations, &mut failed);
        }
    }
    println!("{} failed: {failed:?}", failed.len());
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Returns the courses of the CI seeds, all of them plain: that is what they failed with.
fn ci_courses(seconds: Option<u64>) -> Vec<Course> {
    let plain = |seed: u64, kind: Kind, usual_seconds: u64| {
        Course::plain(seed, kind, seconds.unwrap_or(usual_seconds))
    };
    let usual = |seed: u64, kind: Kind| plain(seed, kind, DEFAULT_SECONDS);
    let faults = FAULT_SEEDS.iter().map(|seed| usual(*seed, Kind::Faults));
    let crashes = CRASH_SEEDS.iter().map(|seed| usual(*seed, Kind::Workers));
    let restarts =
        RESTART_SEEDS.iter().map(|(seed, seconds)| plain(*seed, Kind::Restarts, *seconds));
    let zones = EVACUATION_SEEDS.iter().map(|seed| usual(*seed, Kind::Evacuations));
    let load = LOAD_SEEDS.iter().map(|seed| usual(*seed, Kind::Load));
    let departures = DEPARTURE_SEEDS.iter().map(|seed| usual(*seed, Kind::Departures));
    let workers = crashes.chain(restarts).chain(zones).chain(load).chain(departures);
    faults.chain(workers).collect()
}

/// Prints the result of one run in libtest's format.
fn report(name: &str, violations: &[String], failed: &mut Vec<String>) {
    let verdict = if violations.is_empty() { "ok" } else { "FAILED" };
    println!("test {name} ... {verdict}");
    violations.iter().for_each(|violation| println!("  {violation}"));
    if !violations.is_empty() {
        failed.push(name.to_owned());
    }
}
