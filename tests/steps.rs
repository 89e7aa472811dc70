//! A process is killed before each message of a job: submit, prepare, commit,
//! go, result, acknowledge. All messages are enumerated, not sampled; then all
//! are repeated with a second process killed one message later.

use std::collections::BTreeMap;

use quincewheel_wire::{Answer, Job, Outcome};

use crate::harness::{Cluster, Process, answer_name, gang, job, ms, secs};

/// Number of messages after the answer before which a process is still killed:
/// acknowledgement and clean-up.
const STEPS_AFTER_ANSWER: u64 = 16;

/// Runs one job with these kills. Returns the names of the first answer and of
/// the answer to a much later retry with the same request id, and the number of
/// deliveries until the first answer.
async fn run_with_kills(job: &Job, traps: &[(u64, Process)]) -> (String, String, u64) {
    run_with_kills_and_losses(job, traps, false).await
}

/// Like [`run_with_kills`]; with `vanish`, an agent's endpoint is removed with
/// the agent.
async fn run_with_kills_and_losses(
    job: &Job,
    traps: &[(u64, Process)],
    vanish: bool,
) -> (String, String, u64) {
    let mut cluster = Cluster::ready(3, 3, 7).await;
    cluster.traps_remove_workers = vanish;
    let entry = cluster.follower();
    cluster.traps = traps.to_vec();
    let call = cluster.submit(entry, job);
    cluster.run_until_answered(call, secs(2)).await;
    let steps = cluster.deliveries;
    cluster.run(secs(1)).await;
    for (_, process) in traps {
        if !cluster.is_alive(*process) {
            cluster.start(*process);
        }
    }
    cluster.run(secs(28)).await;
    let other = cluster.owner().expect("an owner is found again");
    let retry = cluster.submit(other, &Job { first: false, ..job.clone() });
    cluster.run(secs(15)).await;
    let context = format!("kills {traps:?}");
    cluster.check_invariants(&context);
    let last = cluster.answer(retry);
    let terminal = matches!(last, Some(Answer::Job { outcome, .. }) if outcome.terminal());
    assert!(terminal, "{context}: retry got {}", answer_name(last));
    if !job.idempotent
        && let Some(Answer::Job { outcome: Outcome::Done { .. }, .. }) = cluster.answer(call)
    {
        assert_eq!(answer_name(last), "done", "{context}: the retry got another outcome");
    }
    (answer_name(cluster.answer(call)), answer_name(last), steps)
}

/// Returns the processes to kill: the owner, the entry that was called and the
/// agent of a member.
async fn kill_targets() -> [Process; 3] {
    let cluster = Cluster::ready(3, 3, 7).await;
    let owner = cluster.owner().expect("there is an owner");
    [Process::Entry(owner), Process::Entry(cluster.follower()), Process::Agent(0)]
}

fn tally_answers(tally: &mut BTreeMap<String, u32>, first: &str, last: &str) {
    *tally.entry(format!("first {first}, retry {last}")).or_default() += 1;
}

fn tally_lines(tally: &BTreeMap<String, u32>) -> String {
    let lines: Vec<String> = tally.iter().map(|(what, n)| format!("{n:>4} {what}")).collect();
    lines.join("\n")
}

async fn one_kill(job: &Job) -> String {
    let (_, _, steps) = run_with_kills(job, &[]).await;
    let mut tally = BTreeMap::new();
    for target in kill_targets().await {
        for step in 1..=steps + STEPS_AFTER_ANSWER {
            let (first, last, _) = run_with_kills(job, &[(step, target)]).await;
            tally_answers(&mut tally, &first, &last);
        }
    }
    tally_lines(&tally)
}

async fn two_kills(job: &Job) -> String {
    let (_, _, steps) = run_with_kills(job, &[]).await;
    let mut tally = BTreeMap::new();
    for first in kill_targets().await {
        for second in kill_targets().await {
            for step in 1..=steps + STEPS_AFTER_ANSWER {
                let traps = [(step, first), (step + 1, second)];
                let (first, last, _) = run_with_kills(job, &traps).await;
                tally_answers(&mut tally, &first, &last);
            }
        }
    }
    tally_lines(&tally)
}

/// A non-idempotent job runs twice, or is reported as not run although it ran,
/// when one process dies at any message: its start was not recorded before it
/// happened, or was guessed afterwards.
#[actix_rt::test]
async fn one_kill_at_every_step_of_a_bond() {
    insta::assert_snapshot!(one_kill(&job("bond", false, ms(20))).await, @r"
    75 first done, retry done
    14 first none, retry done
     4 first unknown, retry unknown
    ");
}

/// Some members of a gang run and the others never do when one process dies at
/// any message: the go frame reached only some members.
#[actix_rt::test]
async fn one_kill_at_every_step_of_a_gang() {
    insta::assert_snapshot!(one_kill(&gang("gang", false, ms(200), 3)).await, @r"
   123 first done, retry done
    37 first none, retry done
     8 first unknown, retry unknown
    ");
}

/// A non-idempotent job runs again because its worker was lost, with its
/// endpoint and all running tasks, at any message.
#[actix_rt::test]
async fn a_lost_worker_at_every_step_of_a_bond() {
    let bond = job("bond", false, ms(20));
    let (_, _, steps) = run_with_kills(&bond, &[]).await;
    let mut tally = BTreeMap::new();
    for step in 1..=steps + STEPS_AFTER_ANSWER {
        let (first, last, _) =
            run_with_kills_and_losses(&bond, &[(step, Process::Agent(0))], true).await;
        tally_answers(&mut tally, &first, &last);
    }
    insta::assert_snapshot!(tally_lines(&tally), @r"
    26 first done, retry done
     5 first unknown, retry unknown
    ");
}

/// Like `one_kill_at_every_step_of_a_bond`, but the process that would recover
/// from the first death dies one message later.
#[actix_rt::test]
async fn two_kills_at_every_step_of_a_bond() {
    insta::assert_snapshot!(two_kills(&job("bond", false, ms(20))).await, @r"
   197 first done, retry done
    61 first none, retry done
     8 first none, retry unknown
    13 first unknown, retry unknown
    ");
}

/// Like `two_kills_at_every_step_of_a_bond`, for a gang.
#[actix_rt::test]
async fn two_kills_at_every_step_of_a_gang() {
    insta::assert_snapshot!(two_kills(&gang("gang", false, ms(200), 3)).await, @r"
    295 first done, retry done
    168 first none, retry done
     16 first none, retry unknown
     25 first unknown, retry unknown
    ");
}
