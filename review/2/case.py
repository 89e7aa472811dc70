"""More than 500 tasks end at one worker while the entries are down."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin

TASKS = 620
WORK_S = 4.0
JOB = "5c0e7a21d94b36f8"


class World(standin.World):
    def plan_run(self, worker, task, run):
        return self.need(task), ("done", WORK_S)

    def percent(self, run):
        return min(99, int((self.record.now() - run.started) / WORK_S * 100))

    def on_end(self, run):
        self.first_end.set()


async def case(world):
    world.first_end = asyncio.Event()
    step = {"count": TASKS, "cpu": 100, "memMb": 256, "estimateMs": 4000, "requiredLabel": "b"}
    await world.submit("drafts", JOB, "kaje80", {"spec": "draft", "steps": [step]})
    try:
        await asyncio.wait_for(world.first_end.wait(), 30)
    except asyncio.TimeoutError:
        raise standin.CannotRun("no task has ended")
    if standin.trouble():
        for name in world.entries:
            world.kill(name)
        await asyncio.sleep(1.0)
        # On a slow machine the starts, and so the ends, are further apart.
        for _ in range(20):
            if not world.workers[1].running:
                break
            await asyncio.sleep(0.1)
        for name in world.entries:
            world.start(name)
        await world.ready()
    state = None
    for _ in range(120):
        answer = await world.call("GET", "drafts", JOB, "kaje80")
        state = answer and answer[1].get("state")
        if state == "succeeded":
            break
        await asyncio.sleep(0.25)
    await asyncio.sleep(6.0)
    again = standin.done_then_started(world)
    done = sum(any(run.how == "done" for run in runs) for runs in world.runs.values())
    world.record.add(f"{done} of {TASKS} tasks ended done; the job is shown as {state}")
    print(f"{done} of {TASKS} tasks ended done; the job is shown as {state}")
    lines = [f"TWICE {task}: run {run.run} ended done at {run.ended:.3f} on {run.worker.id}, taken note of at "
             f"{run.noted:.3f}; run {later.run} started at {later.started:.3f} on {later.worker.id}"
             for task, run, later in again]
    return lines[:5] + ([f"TWICE {len(lines)} tasks in all"] if lines else [])


world = World(HERE, 3, ["a", "b", "a"], {"drafts": {"priority": 1}}, {"kaje80": "d4a3hwrr6x73d3zji9n7"})
sys.exit(standin.play(world, case))
