//! The summary of a period's logs.

use insta::assert_snapshot;
use quincewheel_entry::sum_up;

const LOGS: &str = r#"
0.5 e1 | {"t":100.500,"process":"e1","event":"accepted","job":"aa","queue":"q","msg":"version 7 2x8 gang rack"}
{"t":100.900,"process":"e2","event":"known","job":"aa","msg":"version 7"}
{"t":101.400,"process":"e2","event":"waited","job":"aa","msg":"aa.0.0: no room 180 ms, room being made 320 ms"}
{"t":101.400,"process":"e2","event":"start","job":"aa","msg":"aa.0.0.0 run 1 at w1"}
{"t":101.400,"process":"e2","event":"start","job":"aa","msg":"aa.0.0.1 run 1 at w2"}
{"t":102.400,"process":"e2","event":"run ended","job":"aa","msg":"aa.0.0.0 run 1 Failed at w1, started after 20 ms, ran 980 ms"}
{"t":102.500,"process":"e2","event":"start","job":"aa","msg":"aa.0.0.0 run 2 at w3"}
{"t":105.500,"process":"e2","event":"run ended","job":"aa","msg":"aa.0.0.0 run 2 Done at w3, started after 30 ms, ran 2970 ms"}
{"t":105.500,"process":"e2","event":"job ended","job":"aa","msg":"Succeeded, objective 4500 ms"}
{"t":101.000,"process":"e1","event":"accepted","job":"bb","queue":"q","msg":"version 8 1x1"}
{"t":101.010,"process":"e2","event":"known","job":"bb","msg":"version 8"}
{"t":101.010,"process":"e2","event":"start","job":"bb","msg":"bb.0.0.0 run 1 at w1"}
{"t":102.010,"process":"e2","event":"run ended","job":"bb","msg":"bb.0.0.0 run 1 Done at w1, started after 4 ms, ran 996 ms"}
{"t":102.010,"process":"e2","event":"job ended","job":"bb","msg":"Succeeded, objective 1750 ms"}
{"t":103.000,"process":"e1","event":"accepted","job":"cc","queue":"r","msg":"version 9 1x1"}
{"t":104.000,"process":"e3","event":"owner","msg":"took over"}
{"t":104.500,"process":"e3","event":"start","job":"cc","msg":"cc.0.0.0 run 1001 at w1"}
{"t":105.000,"process":"e3","event":"run lost","job":"cc","msg":"(0, 0, 0): worker at w1 started anew"}
{"t":103.000,"process":"e1","event":"accepted","job":"dd","queue":"r","msg":"version 9 1x1"}
{"t":109.000,"process":"e1","event":"job ended","job":"dd","msg":"Succeeded, scheduled"}
{"t":103.000,"process":"e1","event":"refused","job":"ee","msg":"Unavailable(1000)"}
{"t":102.300,"process":"e2","event":"start","job":"bb","msg":"bb.0.0.1 run 1 at w2"}
{"t":102.800,"process":"e2","event":"run ended","job":"bb","msg":"bb.0.0.1 run 1 Stopped at w2, started after 4 ms, ran 496 ms, for aa"}
not a line of ours
"#;

#[test]
fn late_and_unfinished_jobs_are_listed_with_time_by_phase() {
    let mut output = Vec::new();
    let jobs = sum_up(Some(100.0), LOGS.as_bytes(), &mut output).unwrap();
    assert_snapshot!(format!("{jobs} jobs\n{}", String::from_utf8(output).unwrap()));
}

#[test]
fn logs_without_jobs_yield_no_jobs() {
    assert_eq!(sum_up(None, "x\n{}\n".as_bytes(), Vec::new()).unwrap(), 0);
}

// The time that slow machines cost looked like work.
#[test]
fn time_lost_on_slow_machines_is_told_apart() {
    let logs = r#"
{"t":100.000,"process":"e1","event":"accepted","job":"aa","queue":"q","msg":"version 7 1x8"}
{"t":100.000,"process":"e1","event":"start","job":"aa","msg":"aa.0.0.0 run 1 at w1"}
{"t":102.610,"process":"e1","event":"run ended","job":"aa","msg":"aa.0.0.0 run 1 Done at w1, factor 1.30, started after 10 ms, ran 2600 ms"}
{"t":102.610,"process":"e1","event":"job ended","job":"aa","msg":"Succeeded, objective 2500 ms"}
"#;
    let mut output = Vec::new();
    sum_up(Some(100.0), logs.as_bytes(), &mut output).unwrap();
    let output = String::from_utf8(output).unwrap();
    let line = output.lines().find(|line| line.contains(" aa ")).unwrap_or_default();
    assert_snapshot!(line, @"   0.000 aa q (1x8) Late, 2610 ms, 110 ms: starting 10, ran 2000, slow machine 600");
}

// The summary did not show when an evacuated zone was empty. A new owner logs an evacuation in
// progress again; it counts as one.
#[test]
fn evacuations_are_listed_with_the_time_when_the_zone_was_empty() {
    let logs = r#"
{"t":100.000,"process":"e1","event":"accepted","job":"aa","queue":"q","msg":"version 7 1x1"}
{"t":101.000,"process":"e1","event":"zone evacuated","job":"z1","msg":"20 workers take nothing new, 3 runs go on"}
{"t":102.000,"process":"e2","event":"zone evacuated","job":"z1","msg":"0 workers take nothing new, 0 runs go on, as far as is known yet"}
{"t":104.500,"process":"e2","event":"zone empty","job":"z1","msg":"nothing runs there"}
{"t":109.000,"process":"e2","event":"evacuation over","job":"z1","msg":"its workers take work again"}
{"t":110.000,"process":"e2","event":"zone evacuated","job":"z0","msg":"19 workers take nothing new, 1 runs go on"}
"#;
    let mut output = Vec::new();
    sum_up(Some(100.0), logs.as_bytes(), &mut output).unwrap();
    let output = String::from_utf8(output).unwrap();
    let zones = output.split_once("zones evacuated").unwrap().1;
    assert_snapshot!(zones, @r"
    : at, empty, taken back
    z0: 10.000, -, -
    z1: 1.000, 4.500, 9.000
    ");
}

// The summary did not show which workers had failed what they started, nor what waited for others.
#[test]
fn doubted_workers_and_waits_for_sound_ones_are_listed() {
    let logs = r#"
{"t":100.000,"process":"e1","event":"accepted","job":"aa","queue":"q","msg":"version 7 1x1"}
{"t":100.100,"process":"e1","event":"worker doubted","job":"w3","msg":"w3: a run of aa failed; 1 failures in a row"}
{"t":101.200,"process":"e1","event":"worker doubted","job":"w3","msg":"w3: a run of bb failed; 2 failures in a row"}
{"t":102.000,"process":"e1","event":"waited","job":"aa","msg":"aa.0.0: waits for a sound worker 1800 ms"}
{"t":103.000,"process":"e1","event":"worker doubted","job":"w5","msg":"w5: a run of bb failed; 1 failures in a row"}
{"t":104.000,"process":"e2","event":"worker sound again","job":"w3","msg":"w3: a run of cc succeeded"}
{"t":109.000,"process":"e1","event":"job ended","job":"aa","msg":"Succeeded, objective 1000 ms"}
"#;
    let mut output = Vec::new();
    sum_up(Some(100.0), logs.as_bytes(), &mut output).unwrap();
    let output = String::from_utf8(output).unwrap();
    let waits = output.lines().find(|line| line.contains("sound worker")).unwrap_or("none");
    let workers = output.split_once("workers doubted").unwrap().1;
    assert_snapshot!(format!("{}{workers}", waits.trim()), @r"
    q 1: 0, 1, 0, 0, 0, 0, 0; waits for a sound worker 1800: at, failed trials, sound again
    w3: 0.100, 1, 4.000
    w5: 3.000, 0, -
    ");
}

// Time that a step spends behind the claim of a gang is a phase of its own.
#[test]
fn waits_behind_a_claim_are_listed() {
    let logs = r#"
{"t":100.000,"process":"e1","event":"accepted","job":"aa","queue":"q","msg":"version 7 1x1"}
{"t":100.000,"process":"e2","event":"known","job":"aa","msg":"version 7"}
{"t":101.400,"process":"e2","event":"waited","job":"aa","msg":"aa.0.0: no room 180 ms, room claimed by a gang 1220 ms"}
{"t":101.400,"process":"e2","event":"start","job":"aa","msg":"aa.0.0.0 run 1 at w1"}
"#;
    let mut output = Vec::new();
    sum_up(Some(100.0), logs.as_bytes(), &mut output).unwrap();
    let output = String::from_utf8(output).unwrap();
    assert!(output.contains("no room 180, room claimed by a gang 1220"), "{output}");
}
