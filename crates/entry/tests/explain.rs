//! One job's story out of the logs of all processes.

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
fn lines_of_one_job_come_in_order_with_the_changes_between_them() {
    let mut story = Vec::new();
    let told = explain("aa", LOGS.as_bytes(), &mut story).unwrap();
    let story = String::from_utf8(story).unwrap();
    assert_snapshot!(format!("{told} lines\n{story}"), @r"
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

// Symptom: the story of a job that stands still ends with its last line, which may be
// `accepted`. Cause: what concerns no job was shown only up to the job's last line.
#[test]
fn the_story_of_a_job_that_has_not_ended_tells_what_it_waits_for() {
    let mut story = Vec::new();
    let told = explain("aa", WAITING.as_bytes(), &mut story).unwrap();
    let story = String::from_utf8(story).unwrap();
    assert_snapshot!(format!("{told} lines\n{story}"), @r"
    2 lines
        0.000  e1                       accepted: version 7
        1.000  e1                       waits: aa.0.0, 1 tasks, 1000 ms: no room: room for 0 of 1, for 1 if nothing ran
        2.500. e2                       owner epoch=2 jobs=3: took over
        3.500. e2                       unsettled: 1000 ms; 3 older steps wait for w1 no connection
        8.700. e2                       settled: 6200 ms; not heard: w1
    ");
}

#[test]
fn the_story_of_a_job_that_ended_ends_with_it() {
    let end = r#"{"t":12.000,"process":"e1","event":"job ended","job":"aa","msg":"Cancelled"}"#;
    let mut story = Vec::new();
    explain("aa", format!("{WAITING}{end}").as_bytes(), &mut story).unwrap();
    let story = String::from_utf8(story).unwrap();
    assert_snapshot!(story, @r"
    0.000  e1                       accepted: version 7
    1.000  e1                       waits: aa.0.0, 1 tasks, 1000 ms: no room: room for 0 of 1, for 1 if nothing ran
    2.000  e1                       job ended: Cancelled
    ");
}

#[test]
fn an_unknown_job_has_no_story() {
    let mut story = Vec::new();
    assert_eq!(explain("cc", LOGS.as_bytes(), &mut story).unwrap(), 0);
    assert!(story.is_empty());
}
