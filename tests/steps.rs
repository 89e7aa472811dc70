//! A process is killed before each single message of a job's life: submit,
//! prepare, commit, go, result, acknowledge. Enumerated, not sampled; then
//! again with a second process killed a message later.

use std::collections::BTreeMap;

use quincewheel_wire::{Answer, Job, Outcome};

use crate::bed::{Who, World, gang, job, ms, name, secs};

/// Messages after the answer in which a kill is still tried: acknowledgement
/// and clean-up.
const AFTER: u64 = 16;

/// Runs one job with these kills. Gives the names of the first answer and of
/// the answer to a retry with the same request id, much later.
async fn life(job: &Job, traps: &[(u64, Who)]) -> (String, String, u64) {
    life_with(job, traps, false).await
}

/// The same; with `vanish` an agent's endpoint is lost with it.
async fn life_with(job: &Job, traps: &[(u64, Who)], vanish: bool) -> (String, String, u64) {
    let mut world = World::settled(3, 3, 7).await;
    world.vanishing = vanish;
    let at = world.follower();
    world.traps = traps.to_vec();
    let call = world.submit(at, job);
    world.until_answered(call, secs(2)).await;
    let steps = world.steps;
    world.run(secs(1)).await;
    for (_, who) in traps {
        if !world.alive(*who) {
            world.start(*who);
        }
    }
    world.run(secs(28)).await;
    let other = world.owner().expect("an owner is found again");
    let retry = world.submit(other, &Job { first: false, ..job.clone() });
    world.run(secs(15)).await;
    let context = format!("kills {traps:?}");
    world.check(&context);
    let last = world.answer(retry);
    let terminal = matches!(last, Some(Answer::Job { outcome, .. }) if outcome.terminal());
    assert!(terminal, "{context}: retry got {}", name(last));
    if !job.idempotent
        && let Some(Answer::Job { outcome: Outcome::Done { .. }, .. }) = world.answer(call)
    {
        assert_eq!(name(last), "done", "{context}: the retry got another outcome");
    }
    (name(world.answer(call)), name(last), steps)
}

/// The processes that matter: owner, the caller's entry, a member's agent.
async fn targets() -> [Who; 3] {
    let world = World::settled(3, 3, 7).await;
    let owner = world.owner().expect("there is one");
    [Who::Entry(owner), Who::Entry(world.follower()), Who::Agent(0)]
}

fn count(tally: &mut BTreeMap<String, u32>, first: &str, last: &str) {
    *tally.entry(format!("first {first}, retry {last}")).or_default() += 1;
}

fn lines(tally: &BTreeMap<String, u32>) -> String {
    let lines: Vec<String> = tally.iter().map(|(what, n)| format!("{n:>4} {what}")).collect();
    lines.join("\n")
}

async fn one_kill(job: &Job) -> String {
    let (_, _, steps) = life(job, &[]).await;
    let mut tally = BTreeMap::new();
    for target in targets().await {
        for step in 1..=steps + AFTER {
            let (first, last, _) = life(job, &[(step, target)]).await;
            count(&mut tally, &first, &last);
        }
    }
    lines(&tally)
}

async fn two_kills(job: &Job) -> String {
    let (_, _, steps) = life(job, &[]).await;
    let mut tally = BTreeMap::new();
    for first in targets().await {
        for second in targets().await {
            for step in 1..=steps + AFTER {
                let traps = [(step, first), (step + 1, second)];
                let (first, last, _) = life(job, &traps).await;
                count(&mut tally, &first, &last);
            }
        }
    }
    lines(&tally)
}

/// Symptom: a bond issued twice, or a bond that is reported as not run and was
/// issued. Sequence: one process dies at any message. Cause: the start was not
/// recorded before it happened, or was guessed after it.
#[actix_rt::test]
async fn one_kill_at_every_step_of_a_bond() {
    insta::assert_snapshot!(one_kill(&job("bond", false, ms(20))).await, @r"
    75 first done, retry done
    14 first none, retry done
     4 first unknown, retry unknown
    ");
}

/// Symptom: some members of a gang run and the others never do. Sequence: as
/// above. Cause: the word to go reached some members only.
#[actix_rt::test]
async fn one_kill_at_every_step_of_a_gang() {
    insta::assert_snapshot!(one_kill(&gang("gang", false, ms(200), 3)).await, @r"
   123 first done, retry done
    37 first none, retry done
     8 first unknown, retry unknown
    ");
}

/// Symptom: as above. Sequence: a worker is lost with its endpoint and all that
/// it ran, before any message. Cause: work is run again because it is gone.
#[actix_rt::test]
async fn a_lost_worker_at_every_step_of_a_bond() {
    let bond = job("bond", false, ms(20));
    let (_, _, steps) = life(&bond, &[]).await;
    let mut tally = BTreeMap::new();
    for step in 1..=steps + AFTER {
        let (first, last, _) = life_with(&bond, &[(step, Who::Agent(0))], true).await;
        count(&mut tally, &first, &last);
    }
    insta::assert_snapshot!(lines(&tally), @r"
    26 first done, retry done
     5 first unknown, retry unknown
    ");
}

/// Symptom: as above. Sequence: the process that would repair the first death
/// dies a message later.
#[actix_rt::test]
async fn two_kills_at_every_step_of_a_bond() {
    insta::assert_snapshot!(two_kills(&job("bond", false, ms(20))).await, @r"
   197 first done, retry done
    61 first none, retry done
     8 first none, retry unknown
    13 first unknown, retry unknown
    ");
}

/// Symptom: as above, for a gang.
#[actix_rt::test]
async fn two_kills_at_every_step_of_a_gang() {
    insta::assert_snapshot!(two_kills(&gang("gang", false, ms(200), 3)).await, @r"
    295 first done, retry done
    168 first none, retry done
     16 first none, retry unknown
     25 first unknown, retry unknown
    ");
}
