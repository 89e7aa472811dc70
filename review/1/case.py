"""The record of one job outgrows a row of the store, and the owner repeats the refused write for good.

A tenant hands in a job of one small task that runs at many times. When all of them are done, another
tenant hands in small jobs. Then one worker is emptied and leaves, as planned.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin

TIMES, INTERVAL_MS = 4400, 8
# Into how many jobs the occurrences are split, as a control; 10 keeps each record small.
SPLIT = int(os.environ.get("SPLIT", "1"))
OFTEN = [f"5c0e7a21d94b36{number:02x}" for number in range(SPLIT)]
SMALL = [f"a1b2c3d4e5f60{number:03x}" for number in range(12)]
# With no disturbance near, an end counts as taken note of 100 ms after its worker has listed it, and a
# start over a second after that breaks the rule.
NOTED_AFTER_S, START_AFTER_S = 0.1, 1.0


class World(standin.World):
    def plan_run(self, worker, task, run):
        return self.need(task), ("done", 1.0 if task[:16] in SMALL else 0.2)


def count_done(world):
    runs = (run for task, runs in world.runs.items() if task[:16] in OFTEN for run in runs)
    return sum(run.how == "done" for run in runs)


async def case(world):
    begin = int(time.time() * 1000) + 1000
    for number, job in enumerate(OFTEN):
        step = {"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 200}
        times = TIMES // SPLIT
        body = {"spec": "often", "steps": [step], "times": times,
                "firstRunMs": begin + number * times * INTERVAL_MS, "intervalMs": INTERVAL_MS}
        await world.submit("drafts", job, "kaje80", body)
    for _ in range(100):
        if count_done(world) >= TIMES:
            break
        await asyncio.sleep(0.5)
    world.report(f"{TIMES} occurrences in {SPLIT} jobs: {count_done(world)} runs ended done")
    await asyncio.sleep(5.0)
    for job in SMALL:
        step = {"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 1000}
        await world.submit("bonds", job, "mirno41", {"spec": "a bond", "steps": [step]})
        await asyncio.sleep(0.5)
    await asyncio.sleep(10.0)
    states = [await world.call("GET", "bonds", job, "mirno41") for job in SMALL]
    succeeded = sum(bool(answer) and answer[1].get("state") == "succeeded" for answer in states)
    ended = [run for job in SMALL for run in world.runs[f"{job}.0.0.0"] if run.how == "done"]
    listed = [run for run in ended if run.listed is not None and run.leased]
    noted = [run for run in listed if run.noted is not None]
    world.report(
        f"{len(SMALL)} small jobs of the other tenant: {len(ended)} runs ended done, {len(listed)} ends were listed "
        f"under a lease, lastSeen has reached {len(noted)} of them; {succeeded} jobs are shown as succeeded 10 s later")
    refused = ", ".join(f"{count} times '{text}'" for text, count in world.table.refused.items())
    world.report(f"writes that the store refused: {refused or 'none'}")
    if not ended:
        raise standin.CannotRun("no small job has run")
    if standin.trouble():
        # The worker that ran the most of them is emptied and leaves.
        workers = [run.worker for run in ended]
        await max(workers, key=workers.count).drain_and_leave()
    await asyncio.sleep(8.0)
    broken = []
    for run in listed:
        counts_from = run.listed + NOTED_AFTER_S
        for later in world.runs[run.task]:
            if later.started > counts_from + START_AFTER_S:
                broken.append(
                    f"TWICE {run.task}: run {run.run} ended done at {run.ended:.3f} on {run.worker.id}, listed at "
                    f"{run.listed:.3f}; run {later.run} started at {later.started:.3f} on {later.worker.id}")
    return broken


routes = {"drafts": {"priority": 1}, "bonds": {"priority": 0}}
tenants = {"kaje80": "d4a3hwrr6x73d3zji9n7", "mirno41": "3hh2b9wu3fexd9dnn2ct"}
world = World(HERE, 3, ["a"] * 8, routes, tenants)
sys.exit(standin.play(world, case))
