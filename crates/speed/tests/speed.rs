//! Factors learned from observations, and what becomes of them.

use insta::assert_snapshot;
use quincewheel_speed::{Sample, Speed, Spread, compare, is_uniform};

/// A time of day.
const NOW: u64 = 1_800_000_000_000;

/// A record of machine `m` after these ratios, one a second, each compared with many runs.
fn after(ratios: &[f64]) -> Speed {
    let mut speed = Speed::default();
    for (number, ratio) in (0..).zip(ratios) {
        speed.observe("m", (ratio.ln(), 0.98), NOW - (ratios.len() as u64 - number) * 1000);
    }
    speed
}

fn factor(speed: &Speed, now: u64) -> String {
    format!("{:.2}", speed.estimate("m", now).factor)
}

fn samples(times: &[(&str, f64)]) -> Vec<Sample> {
    let sample = |(machine, time): &(&str, f64)| Sample {
        machine: (*machine).into(),
        time: *time,
        far: false,
        counted: false,
    };
    times.iter().map(sample).collect()
}

fn ratios(speed: &Speed, samples: &[Sample]) -> String {
    let ratio = |observation: Option<(f64, f64)>| {
        observation
            .map_or("none".to_owned(), |(log, weight)| format!("{:.2}x{weight:.2}", log.exp()))
    };
    compare(speed, samples, 1.0, NOW).into_iter().map(ratio).collect::<Vec<_>>().join(" ")
}

#[test]
fn factor_is_unknown_below_three_observations_and_while_uncertain() {
    let lines = [&[1.3, 1.3][..], &[1.3, 1.3, 1.3], &[0.8, 1.3, 0.9, 1.1], &[1.0; 20], &[9.0; 5]];
    let factors = lines.map(|ratios| factor(&after(ratios), NOW));
    assert_snapshot!(factors.join(" "), @"1.00 1.30 1.00 1.00 3.00");
}

// A machine that slowed down kept its factor for as long as the record remembered its past.
#[test]
fn factor_follows_a_sudden_change_within_eight_observations() {
    let noise = |number: usize| 1.0 + [0.08, -0.05, 0.03, -0.08, 0.0][number % 5];
    let slow = |number: usize| if (40..80).contains(&number) { 1.3 } else { 1.0 };
    let ratios: Vec<f64> = (0..88).map(|number| noise(number) * slow(number)).collect();
    let factors = [40, 44, 48, 80, 84, 88].map(|count| factor(&after(&ratios[..count]), NOW));
    assert_snapshot!(factors.join(" "), @"1.00 1.29 1.30 1.29 1.00 1.00");
}

#[test]
fn single_outliers_hardly_change_the_factor() {
    let mut ratios = vec![1.0; 20];
    ratios.extend([3.0, 1.0, 1.0, 0.4, 1.0, 1.0, 3.0, 3.0, 1.0]);
    assert_snapshot!(factor(&after(&ratios), NOW), @"1.09");
}

// The reason for which a machine was slow may be gone while it gets no work.
#[test]
fn factor_moves_halfway_back_for_each_minute_without_observations() {
    let mut speed = after(&[1.44; 10]);
    let ages = [0, 59_000, 60_000, 120_000, 300_000, 360_000];
    let factors = ages.map(|age| factor(&speed, NOW - 1000 + age));
    assert_snapshot!(factors.join(" "), @"1.44 1.44 1.20 1.10 1.00 1.00");
    assert_snapshot!(factor(&speed, NOW - 3_600_000), @"1.44");
    speed.remove_expired(NOW + 359_000);
    assert_eq!(speed, Speed::default());
}

#[test]
fn runs_are_compared_with_those_on_other_machines() {
    let none = Speed::default();
    let gang = samples(&[("a", 20.0), ("b", 20.0), ("m", 26.0)]);
    assert_snapshot!(ratios(&none, &gang), @"0.88x0.67 0.88x0.67 1.30x0.67");
    assert_snapshot!(ratios(&none, &samples(&[("a", 20.0), ("m", 26.0)])), @"0.77x0.50 1.30x0.50");
    assert_snapshot!(ratios(&none, &samples(&[("m", 20.0), ("m", 26.0)])), @"none none");
    let mut data = samples(&[("a", 20.0), ("b", 30.0), ("c", 30.0), ("d", 20.0)]);
    data[1].far = true;
    data[2].far = true;
    assert_snapshot!(ratios(&none, &data), @"1.00x0.50 1.00x0.50 1.00x0.50 1.00x0.50");
}

// Steps of which all tasks ran on slow machines made these seem as fast as any.
#[test]
fn known_factors_of_the_other_machines_are_taken_into_account() {
    let mut speed = Speed::default();
    for machine in ["m", "n"] {
        for _ in 0..8 {
            speed.observe(machine, (1.3f64.ln(), 1.0), NOW);
        }
    }
    assert_snapshot!(ratios(&speed, &samples(&[("m", 26.0), ("n", 26.0)])), @"1.30x0.50 1.30x0.50");
}

// Where programs report the progress of the whole gang for each member, slow machines seemed as fast
// as any.
#[test]
fn members_that_progress_equally_are_told_apart_from_uneven_ones() {
    let uniform = |times: &[(&str, f64)]| is_uniform(&samples(times));
    assert!(uniform(&[("a", 25.0), ("m", 26.5), ("b", 24.8)]));
    assert!(!uniform(&[("a", 20.0), ("m", 26.0), ("b", 20.5)]));
}

// Compared with each other only, all machines could become faster or slower together.
#[test]
fn factors_stay_relative_to_the_usual_machine_over_many_steps() {
    let mut speed = Speed::default();
    let mut seed = 7u64;
    let mut random = |bound: u64| {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (seed >> 33) % bound
    };
    let names: Vec<String> = (0..30).map(|number| format!("m{number}")).collect();
    let truth = |number: u64| if number % 3 == 2 { 1.3 } else { 1.0 };
    let mut factors = Vec::new();
    for step in 0..20_000 {
        factors = names.iter().map(|name| speed.estimate(name, NOW).factor).collect::<Vec<f64>>();
        let median = Spread::new(&factors, 10).median;
        let members = (0..2 + step % 7).map(|_| {
            let number = random(30);
            let time = truth(number) * (0.9 + random(200) as f64 / 1000.0);
            Sample { machine: names[number as usize].clone(), time, far: false, counted: false }
        });
        let members: Vec<Sample> = members.collect();
        for (sample, observation) in members.iter().zip(compare(&speed, &members, median, NOW)) {
            if let Some(observation) = observation {
                speed.observe(&sample.machine, observation, NOW);
            }
        }
    }
    let errors =
        factors.iter().zip(0..).map(|(factor, number)| (factor / truth(number)).ln().abs());
    assert_snapshot!(format!("{:.2}", errors.fold(0.0, f64::max)), @"0.02");
}

// One bad job, whose tasks differ by a factor of a hundred, must not distort what is known.
#[test]
fn influence_of_a_job_with_uneven_tasks_is_bounded() {
    let uneven = samples(&[("a", 1.0), ("b", 100.0), ("m", 1.0), ("c", 100.0), ("d", 1.0)]);
    assert_snapshot!(ratios(&Speed::default(), &uneven), @"0.33x0.80 3.00x0.80 0.33x0.80 3.00x0.80 0.33x0.80");
    let mut speed = after(&[1.0; 16]);
    speed.observe("m", (3f64.ln(), 1.0), NOW);
    speed.observe("m", (3f64.ln(), 1.0), NOW);
    assert_snapshot!(factor(&speed, NOW), @"1.00");
}

// By chance, machines of an even pool seemed to differ after a few observations.
#[test]
fn uncertain_factors_count_for_less_when_machines_are_compared() {
    let few = [1.05, 1.25, 1.12];
    let cautious = [&few[..], &few.repeat(10)].map(|ratios| {
        let estimate = after(ratios).estimate("m", NOW);
        format!("{:.2} {:.2}", estimate.factor, estimate.cautious_factor())
    });
    assert_snapshot!(cautious.join("; "), @"1.14 1.08; 1.14 1.12");
}

#[test]
fn a_record_of_few_observations_survives_its_row() {
    let mut speed = Speed::default();
    for _ in 0..3 {
        speed.observe("m", (1.3f64.ln(), 0.5), NOW);
    }
    let row = serde_json::to_string(&speed).unwrap();
    let read: Speed = serde_json::from_str(&row).unwrap();
    assert_snapshot!([speed, read].map(|speed| factor(&speed, NOW)).join(" "), @"1.30 1.30");
}

#[test]
fn only_changes_of_three_percent_are_recorded_and_of_ten_logged() {
    let mut speed = Speed::default();
    let mut events = Vec::new();
    for (number, ratio) in
        [1.05, 1.05, 1.05, 1.06, 1.05, 1.3, 1.3, 1.3, 1.3, 1.3].iter().enumerate()
    {
        if speed.observe("m", (f64::ln(*ratio), 1.0), NOW) {
            events.push(format!("{number} recorded"));
        }
        if let Some((former, estimate)) = speed.take_logged_change("m", NOW) {
            events.push(format!("{number} logged {former:.2}: {estimate}"));
        }
    }
    assert_snapshot!(events.join("\n"), @r"
    2 recorded
    8 recorded
    8 logged 1.00: factor 1.30, 4 observations, deviation 0.07, 0 ms old
    ");
}

#[test]
fn row_keeps_the_machines_that_differ_most_within_its_size() {
    let mut speed = Speed::default();
    for number in 0..7500u64 {
        let log_ratio = if number < 1500 { -0.1 } else { number as f64 / 20_000.0 };
        let machine = format!("machine-{number:08}");
        for _ in 0..4 {
            speed.observe(&machine, (log_ratio, 1.0), NOW);
        }
    }
    let row = serde_json::to_string(&speed).unwrap();
    let read: Speed = serde_json::from_str(&row).unwrap();
    let kept = (0..7500)
        .filter(|number| read.estimate(&format!("machine-{number:08}"), NOW).factor != 1.0);
    let kept: Vec<u64> = kept.collect();
    assert_snapshot!(format!("{} bytes, {} from {:?}", row.len(), kept.len(), kept.first()), @"40350 bytes, 1260 from Some(6240)");
    let small = serde_json::to_string(&after(&[1.3; 4])).unwrap();
    assert_snapshot!(small, @r#"{"at":1799999999,"machines":{"m":[4,262,71,0]}}"#);
    let read: Speed = serde_json::from_str(&small).unwrap();
    assert_snapshot!(read.estimate("m", NOW), @"factor 1.30, 4 observations, deviation 0.07, 1000 ms old");
}

// Placement followed differences of a few machines, which gained nothing and scattered work.
#[test]
fn a_pool_is_uneven_if_one_machine_in_ten_differs() {
    let pool = |slow: usize, factor: f64| {
        let factors: Vec<f64> =
            (0..30).map(|number| if number < slow { factor } else { 1.0 }).collect();
        let levels =
            [0.8, 1.0, 1.09, 1.1, 1.3].map(|f| Spread::new(&factors, 10).level(f).to_string());
        let [ten, none] = [10, 0].map(|percent| Spread::new(&factors, percent).is_uneven());
        format!("{ten} {none}, levels {}", levels.join(" "))
    };
    let lines = [pool(2, 1.3), pool(3, 1.3), pool(10, 1.05), pool(20, 1.3)];
    assert_snapshot!(lines.join("\n"), @r"
    false false, levels -2 0 0 1 2
    true false, levels -2 0 0 1 2
    false false, levels -2 0 0 1 2
    true false, levels -5 -2 -1 -1 0
    ");
}
