//! When an entry takes over the ownership.

use insta::assert_snapshot;
use quincewheel_dispatch::rows::{self, Node, Ownership, Size};
use quincewheel_dispatch::{Election, Mirror};
use quincewheel_store::Change;

fn owner(holder: &str, incarnation: u64) -> Option<(Ownership, u64)> {
    Some((
        Ownership { holder: holder.into(), incarnation, epoch: 4, sequence: 9, settled: true },
        70,
    ))
}

#[test]
fn owner_whose_row_stops_changing_is_replaced_while_the_table_answers() {
    let mut election = Election::new("a", 1, 2500);
    election.observe_row(70, 1000);
    let row = owner("b", 1);
    for read_at in (1500..4200).step_by(500) {
        election.observe_row(70, read_at);
    }
    let due = [(2000, 2000), (4100, 4100), (1500, 9000)]
        .map(|(read_at, now)| election.should_claim(row.as_ref(), read_at, now, false));
    assert_snapshot!(format!("{due:?}"), @"[false, true, false]");
}

#[test]
fn restarted_entry_replaces_its_previous_incarnation_at_once() {
    let election = Election::new("a", 2, 2500);
    let due = |row: Option<(Ownership, u64)>| election.should_claim(row.as_ref(), 10, 10, false);
    let results = [due(owner("a", 1)), due(owner("a", 2)), due(owner("", 7)), due(None)];
    assert_snapshot!(format!("{results:?}"), @"[true, false, true, true]");
}

// Nothing started for seconds while entries were restarted one after the other: the owner hands
// over while the others drain or are down, and draining entries never claimed.
#[test]
fn draining_entry_claims_a_vacant_ownership_after_the_others() {
    let mut election = Election::new("a", 1, 2500);
    election.observe_row(70, 1000);
    let (vacant, held) = (owner("", 7), owner("b", 7));
    let due = [
        election.should_claim(vacant.as_ref(), 1000, 1200, true),
        election.should_claim(vacant.as_ref(), 1000, 1300, true),
        election.should_claim(held.as_ref(), 5000, 5000, true),
        election.should_claim(None, 5000, 5000, true),
    ];
    assert_snapshot!(format!("{due:?}"), @"[false, true, false, false]");
}

// Nothing started for three seconds after an owner was killed, since only its unchanged row showed
// it.
#[test]
fn owner_whose_connection_broke_is_replaced_after_a_short_timeout() {
    let mut election = Election::new("a", 1, 2500);
    let row = owner("b", 1);
    election.observe_row(70, 1000);
    election.on_owner_disconnected(1100);
    let mut due = vec![election.should_claim(row.as_ref(), 1100, 1700, false)];
    due.push(election.should_claim(row.as_ref(), 1100, 2300, false));
    election.on_owner_connected();
    due.push(election.should_claim(row.as_ref(), 1100, 2300, false));
    election.on_owner_disconnected(2400);
    election.observe_row(71, 2500);
    due.push(election.should_claim(row.as_ref(), 2500, 3600, false));
    assert_snapshot!(format!("{due:?}"), @"[false, true, false, false]");
}

// The ownership changed hands each time the table came back from an outage, and nothing started
// meanwhile. The table is down for longer than the takeover timeout, and on its return a candidate
// reads it before the owner has renewed its row. The time in which nobody could write counted as
// the owner's silence.
#[test]
fn table_outage_does_not_count_as_silence_of_the_owner() {
    let mut election = Election::new("a", 1, 1600);
    let row = owner("b", 1);
    election.observe_row(70, 1000);
    election.observe_row(70, 9000);
    let mut due = vec![election.should_claim(row.as_ref(), 9000, 9000, false)];
    for read_at in (9400..12_000).step_by(400) {
        election.observe_row(70, read_at);
    }
    due.push(election.should_claim(row.as_ref(), 11_800, 11_800, false));
    assert_snapshot!(format!("{due:?}"), @"[false, true]");
}

/// Creates a mirror that has entries on machines of these sizes, in thousandths of a core, and the
/// versions of the owner's row.
fn mirror_of(machines: &[(&str, u64)], owners: &[(Ownership, u64)]) -> Mirror {
    let mut mirror = Mirror::default();
    for (name, processor) in machines {
        let size = Size { processor: *processor, link: 20 };
        let node = Node { address: "10.0.0.1:7000".into(), entry: true, size };
        let value = serde_json::to_string(&node).ok();
        mirror.apply(&Change { key: rows::node_key(name), version: 1, value });
    }
    for (owner, version) in owners {
        let value = serde_json::to_string(owner).ok();
        mirror.apply(&Change { key: rows::OWNER_KEY.to_owned(), version: *version, value });
    }
    mirror
}

/// Returns for each entry the milliseconds from the last change of the row to its claim.
/// With `lost`, the connection to the owner broke at that change.
fn claim_delays(mirror: &Mirror, machines: &[(&str, u64)], lost: bool) -> Vec<(String, u64)> {
    let row = mirror.owner.as_ref();
    let version = row.map_or(0, |(_, version)| *version);
    let mut found = Vec::new();
    for (name, _) in machines {
        let mut election = Election::new(name, 1, 1700);
        election.observe_row(version, 1000);
        if lost {
            election.on_owner_disconnected(1000);
        }
        election.set_rank(mirror.candidate_rank(name));
        let due = |now: &u64| election.should_claim(row, 1000, *now, false);
        found.extend((1000..4000).find(due).map(|now| ((*name).to_owned(), now - 1000)));
    }
    found.sort_by_key(|(_, after)| *after);
    found
}

// On a day on which the first owner was cut off from the table, urgent jobs were late by seconds in
// three runs of eight. The owner hands over, all 24 entries that see the vacant row claim within 70
// ms, and an entry on an eighth of a core wins beside 17 larger ones. It cannot keep up with 160
// agents, does not renew its row for 1.7 s, and is replaced though it is alive. Which entry claimed
// first was left to chance.
#[test]
fn vacant_ownership_goes_to_the_largest_machine() {
    let machines =
        [("a-small", 120), ("b-large", 500), ("c-large", 500), ("d-small", 120), ("e-large", 500)];
    let held = owner("b-large", 7).expect("a row");
    let vacant = (Ownership { sequence: 10, ..owner("", 7).expect("a row").0 }, 71);
    let mirror = mirror_of(&machines, &[held.clone(), vacant]);
    assert_snapshot!(
        format!("{:?}", claim_delays(&mirror, &machines, false)),
        @r#"[("c-large", 0), ("e-large", 60), ("a-small", 80), ("d-small", 100), ("b-large", 140)]"#
    );
    // The owner is killed, which breaks its connections.
    let mirror = mirror_of(&machines, &[held]);
    let others =
        machines.map(|machine| if machine.0 == "b-large" { ("b-other", 0) } else { machine });
    assert_snapshot!(
        format!("{:?}", claim_delays(&mirror, &others, true)),
        @r#"[("c-large", 700), ("e-large", 760), ("a-small", 780), ("d-small", 800), ("b-other", 840)]"#
    );
}

// The same at the first start of all machines: each entry knows only those that registered before
// it, so a small one may be the largest that it knows.
#[test]
fn entries_delay_the_first_claim_until_they_know_each_other() {
    let mut election = Election::new("a-small", 1, 1700);
    election.on_unowned(1000);
    election.on_unowned(1200);
    election.set_rank(1);
    let due = [1000, 1500, 1559, 1560].map(|now| election.should_claim(None, now, now, false));
    assert_snapshot!(format!("{due:?}"), @"[false, false, false, true]");
}

// The previous owner asks one of the largest entries to which the table answers; the first in order
// may be cut off as well.
#[test]
fn entry_asked_by_the_previous_owner_claims_at_once() {
    let mut election = Election::new("z-small", 1, 1700);
    let row = owner("", 7);
    election.set_rank(9);
    election.observe_row(70, 1000);
    let mut due = vec![election.should_claim(row.as_ref(), 1000, 1001, false)];
    election.on_handover(70);
    due.push(election.should_claim(row.as_ref(), 1000, 1001, false));
    election.on_handover(69);
    due.push(election.should_claim(row.as_ref(), 1000, 1001, false));
    assert_snapshot!(format!("{due:?}"), @"[false, true, false]");
}

// Nothing started for two seconds after the owner's machine lost power: no connection breaks, as
// nobody is there to close it, and only the unchanged row showed it.
#[test]
fn owner_without_heartbeats_and_row_changes_is_replaced_after_a_short_timeout() {
    let row = owner("b", 1);
    let due = |last_alive: u64, row_changed_at: u64| {
        let mut election = Election::new("a", 1, 1700);
        election.on_owner_connected();
        election.observe_row(69, 1000);
        election.on_owner_heartbeat(1000);
        election.observe_row(70, row_changed_at);
        election.on_owner_heartbeat(last_alive);
        let due = |now: u64| election.should_claim(row.as_ref(), now, now, false);
        (1000..4000).step_by(50).find(|now| due(*now))
    };
    let results = [
        ("both stop", due(1300, 1250)),
        ("it goes on saying so", due(1900, 1250)),
        ("its row moves later", due(1300, 1800)),
    ];
    assert_snapshot!(format!("{results:?}"), @r#"
    [("both stop", Some(2000)), ("it goes on saying so", Some(2600)), ("its row moves later", Some(2500))]
    "#);
}

// A task started twice. An owner assumes that there is no other until 500 ms after its last write,
// so a candidate must never claim over a row version that it observed less than 700 ms ago,
// whatever else it notices.
#[test]
fn no_candidate_claims_within_700_ms_of_the_last_observed_write() {
    let row = owner("b", 1);
    let observed_at = 2000;
    let mut earliest = u64::MAX;
    for lost_at in (0..4000).step_by(100) {
        for alive_at in (0..4000).step_by(100) {
            let mut election = Election::new("a", 1, 1700);
            let mut events = [(0, 0), (observed_at, 1), (lost_at, 2), (alive_at, 3)];
            events.sort_unstable();
            let mut events = events.into_iter().peekable();
            for now in (0..6000).step_by(50) {
                while let Some((_, event)) = events.next_if(|(at, _)| *at <= now) {
                    match event {
                        0 => election.on_owner_connected(),
                        2 => election.on_owner_disconnected(now),
                        3 => election.on_owner_heartbeat(now),
                        _ => {}
                    }
                }
                election.observe_row(if now < observed_at { 69 } else { 70 }, now);
                if now >= observed_at && election.should_claim(row.as_ref(), now, now, false) {
                    earliest = earliest.min(now - observed_at);
                    break;
                }
            }
        }
    }
    assert_eq!(earliest, 700);
}

// Every entry took over the moment a table came back: a candidate that cannot read the table cannot
// tell whether the owner's row stopped changing.
#[test]
fn entry_cut_off_from_the_table_does_not_replace_a_silent_owner() {
    let row = owner("b", 1);
    let mut election = Election::new("a", 1, 1700);
    election.on_owner_connected();
    election.observe_row(70, 1000);
    election.on_owner_heartbeat(1000);
    let due = [(1000, 5000), (1699, 5000), (1700, 5000)]
        .map(|(read_at, now)| election.should_claim(row.as_ref(), read_at, now, false));
    assert_snapshot!(format!("{due:?}"), @"[false, false, true]");
}
