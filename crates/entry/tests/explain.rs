//! The history of one job from the logs of all processes.

use insta::assert_snapshot;
use quincewheel_entry::explain;

const LOGS: &str = r#"
some collector | {"t":12.500,"process":"e2","event":"owner","epoch":2,"jobs":3,"msg":"took over"}
{"t":10.000,"process":"e1","event":"accepted","job":"aa","msg":"version 7"}
{"t":9.000,"process":"e1","event":"table lost","msg":"before the job"}
{"t":10.020,"process":"e1","event":"start","job":"aa","msg":"aa.0.0.0 run 1 at w1"}
{"t":10.030,"process":"e1","event":"start","job":"bb","msg":"bb.0.0.0 run 1 at w2"}
{"t":13.000,"process":"e2","event":"run ended","job":"aa","msg":"aa.0.0.0 run 1 Done at w1"}
{"t":14.000,"process":"w1","event":"worker silent","msg":"after the job"}
not a line of ours
"#;

#[test]
fn lines_of_one_job_are_sorted_and_include_changes_of_owner() {
    let mut output = Vec::new();
    let count = explain("aa", LOGS.as_bytes(), &mut output).unwrap();
    let output = String::from_utf8(output).unwrap();
    assert_snapshot!(format!("{count} lines\n{output}"), @r"
    3 lines
        0.000  e1                       accepted: version 7
        0.020  e1                       start: aa.0.0.0 run 1 at w1
        2.500. e2                       owner epoch=2 jobs=3: took over
        3.000  e2                       run ended: aa.0.0.0 run 1 Done at w1
    ");
}

const WAITING: &str = r#"
{"t":10.000,"process":"e1","event":"accepted","job":"aa","msg":"version 7"}
{"t":11.000,"process":"e1","event":"waits","job":"aa","msg":"aa.0.0, 1 tasks, 1000 ms: no room: room for 0 of 1, for 1 if nothing ran"}
{"t":11.000,"process":"e1","event":"waits","job":"bb","msg":"bb.0.0, 1 tasks, 1000 ms: no room: room for 0 of 1, for 1 if nothing ran"}
{"t":11.001,"process":"e1","event":"waits left out","job":"","msg":"15 more wait and were not told this second: 15 no room"}
{"t":12.500,"process":"e2","event":"owner","epoch":2,"jobs":3,"msg":"took over"}
{"t":13.500,"process":"e2","event":"unsettled","job":"","msg":"1000 ms; 3 older steps wait for w1 no connection"}
{"t":14.000,"process":"w1","event":"worker silent","msg":"of no job"}
{"t":18.700,"process":"e2","event":"settled","job":"","msg":"6200 ms; not heard: w1"}
"#;

// The history of a job that is stuck ended at the job's last line, such as `accepted`, because
// events without a job were shown only up to that line.
#[test]
fn history_of_an_unfinished_job_shows_what_it_waits_for() {
    let mut output = Vec::new();
    let count = explain("aa", WAITING.as_bytes(), &mut output).unwrap();
    let output = String::from_utf8(output).unwrap();
    assert_snapshot!(format!("{count} lines\n{output}"), @r"
    2 lines
        0.000  e1                       accepted: version 7
        1.000  e1                       waits: aa.0.0, 1 tasks, 1000 ms: no room: room for 0 of 1, for 1 if nothing ran
        2.500. e2                       owner epoch=2 jobs=3: took over
        3.500. e2                       unsettled: 1000 ms; 3 older steps wait for w1 no connection
        8.700. e2                       settled: 6200 ms; not heard: w1
    aa.0.0 does not run, since 0.000 (told by e1 at 1.000): no room; ends when other work ends or makes room
    ");
}

#[test]
fn history_of_an_ended_job_stops_at_its_end() {
    let end = r#"{"t":12.000,"process":"e1","event":"job ended","job":"aa","msg":"Cancelled"}"#;
    let mut output = Vec::new();
    explain("aa", format!("{WAITING}{end}").as_bytes(), &mut output).unwrap();
    let output = String::from_utf8(output).unwrap();
    assert_snapshot!(output, @r"
    0.000  e1                       accepted: version 7
    1.000  e1                       waits: aa.0.0, 1 tasks, 1000 ms: no room: room for 0 of 1, for 1 if nothing ran
    2.000  e1                       job ended: Cancelled
    ");
}

#[test]
fn unknown_job_has_no_history() {
    let mut output = Vec::new();
    assert_eq!(explain("cc", LOGS.as_bytes(), &mut output).unwrap(), 0);
    assert!(output.is_empty());
}

const CLAIMED: &str = r#"
{"t":10.000,"process":"e1","event":"accepted","job":"aa","msg":"version 7 3x8 gang rack"}
{"t":12.000,"process":"e1","event":"claim made","job":"aa","msg":"aa.0.0 waited 2000 ms, may start in 900 ms at w0; after cc.0.0.0 at w0 in 900 ms (80 %, 100 ms ago)"}
{"t":12.100,"process":"e1","event":"accepted","job":"bb","msg":"version 8 1x1"}
{"t":13.100,"process":"e1","event":"waits","job":"bb","msg":"bb.0.0, 1 tasks, 1000 ms: room claimed by a gang: by aa.0.0, planned in 0 ms; room for 1 of 1, for 1 if nothing ran"}
{"t":13.200,"process":"e1","event":"start","job":"aa","msg":"aa.0.0.0 run 1 at w0"}
"#;

// Which gang held a job back, and which jobs a gang held back, could be told from no history.
#[test]
fn history_shows_claims_and_what_they_hold_back() {
    let history = |id: &str| {
        let mut output = Vec::new();
        explain(id, CLAIMED.as_bytes(), &mut output).unwrap();
        String::from_utf8(output).unwrap()
    };
    assert_snapshot!(format!("{}--\n{}", history("aa"), history("bb")), @r"
        0.000  e1                       accepted: version 7 3x8 gang rack
        2.000  e1                       claim made: aa.0.0 waited 2000 ms, may start in 900 ms at w0; after cc.0.0.0 at w0 in 900 ms (80 %, 100 ms ago)
        3.100  e1                       waits: bb.0.0, 1 tasks, 1000 ms: room claimed by a gang: by aa.0.0, planned in 0 ms; room for 1 of 1, for 1 if nothing ran
        3.200  e1                       start: aa.0.0.0 run 1 at w0
    --
        0.000  e1                       accepted: version 8 1x1
        1.000  e1                       waits: bb.0.0, 1 tasks, 1000 ms: room claimed by a gang: by aa.0.0, planned in 0 ms; room for 1 of 1, for 1 if nothing ran
    bb.0.0 does not run, since 0.000 (told by e1 at 1.000): room claimed by a gang; ends when the gang named has started or given up its claim
    ");
}

const STANDING: &str = r#"
{"t":10.000,"process":"e1","event":"accepted","job":"aa","msg":"version 7 1x8"}
{"t":10.010,"process":"e1","event":"start","job":"aa","msg":"aa.0.0.0 run 1 at w2"}
{"t":12.010,"process":"e1","event":"run ended","job":"aa","msg":"aa.0.0.0 run 1 Failed at w2"}
{"t":13.010,"process":"e1","event":"waits","job":"aa","msg":"aa.0.0, 1 tasks, 1000 ms: waits for a sound worker: 2 sound; doubtful: none"}
{"t":15.010,"process":"e1","event":"stands","job":"aa","msg":"aa.0.0, 1 tasks, 3000 ms, 1 runs before: waits for a sound worker: 2 sound; doubtful: none; pool p: free 24 of 40 accelerators, 318 of 320 cores; 5 workers open; planned 500 ms ago, next round in 2000 ms by the time of day; settled"}
"#;

fn last_line(logs: &str) -> String {
    let mut output = Vec::new();
    explain("aa", logs.as_bytes(), &mut output).unwrap();
    String::from_utf8(output).unwrap().lines().last().unwrap_or_default().to_owned()
}

// Guards against a history that ends with the last event and leaves open why nothing runs now: the
// job stands beside free workers, starts again, and ends.
#[test]
fn history_ends_with_why_the_job_does_not_run() {
    let started =
        r#"{"t":17.010,"process":"e1","event":"start","job":"aa","msg":"aa.0.0.0 run 2 at w2"}"#;
    let ended = r#"{"t":19.000,"process":"e1","event":"job ended","job":"aa","msg":"Cancelled"}"#;
    let stands = last_line(STANDING);
    let runs = last_line(&format!("{STANDING}{started}"));
    let over = last_line(&format!("{STANDING}{ended}"));
    assert_snapshot!(format!("{stands}\n{runs}\n{over}"), @r"
    aa.0.0 does not run, since 2.010 (told by e1 at 5.010): waits for a sound worker; ends when a sound worker has room, a trial is due or its wait for one is over
        7.010  e1                       start: aa.0.0.0 run 2 at w2
        9.000  e1                       job ended: Cancelled
    ");
}
