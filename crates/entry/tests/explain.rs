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

#[test]
fn an_unknown_job_has_no_story() {
    let mut story = Vec::new();
    assert_eq!(explain("cc", LOGS.as_bytes(), &mut story).unwrap(), 0);
    assert!(story.is_empty());
}
