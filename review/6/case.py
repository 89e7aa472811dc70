"""A queue is removed and added again, with advice: a job accepted before never goes on."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin_2 as s

FOLDER = os.path.dirname(os.path.abspath(__file__))
DECIDE_MS, PERIOD_MS, VALID_MS = 100, 10, 3000
FINISH_S, STANDS_S = 14, 3
TENANTS = [("t1", ["key-1"], 0)]
OTHER = ("/other/", {})
JOB = {
    "spec": "two steps",
    "steps": [
        {"count": 1, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 4000},
        {"count": 1, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 500, "after": [0]},
    ],
}


async def scenario(w):
    w.tickets = s.Tickets(w, DECIDE_MS, PERIOD_MS, VALID_MS)
    needs_ticket = w.tickets.valid
    w.tickets.valid = lambda *_: True  # until the queue has advice
    await w.open(s.config(1, [("/batch/", {}), OTHER], TENANTS))
    job = await w.submit("/batch/", JOB)
    if job is None:
        raise s.Unready("the job was not accepted")
    await asyncio.sleep(1)
    if w.trouble:
        w.store.put("op", "config", s.config(2, [OTHER], TENANTS))
        w.note("operator", "confirmed", "version 2 removes /batch/")
        await asyncio.sleep(0.5)
        advice = {"advice": {"decideMs": DECIDE_MS, "periodMs": PERIOD_MS, "validMs": VALID_MS}}
        w.store.put("op", "config", s.config(3, [("/batch/", advice), OTHER], TENANTS))
        w.tickets.valid = needs_ticket
        w.note("operator", "confirmed", "version 3 adds /batch/ with advice")
    await asyncio.sleep(1)
    w.note("traffic", "ends", "")
    await asyncio.sleep(FINISH_S + STANDS_S + 2)
    status, state = await w.get("/batch/", job)
    started = [task for _, _, task, _ in w.starts if task.startswith(f"{job}.0.1.")]
    w.note("CHECK", "seen", f"{job}: {state}, {len(started)} starts of step 1, {w.refused} starts refused, {w.tickets.calls} calls for advice")
    if status != 200:
        raise s.Unready(f"the state was answered with {status}")
    first = any(task.startswith(f"{job}.0.0.") and how == "done" for _, _, task, _, how in w.ends)
    if not first:
        raise s.Unready("the first step did not end")
    # A new job of the same queue shows that the queue itself is served.
    other = await w.submit("/batch/", {"spec": "later", "steps": [dict(JOB["steps"][1], after=[])]})
    await asyncio.sleep(4)
    w.note("CHECK", "later job", f"{other}: {(await w.get('/batch/', other))[1]}")
    if not started:
        w.fail(f"LOST: {job} is {state}; its step 1 never ran, {FINISH_S + STANDS_S} s beside idle workers")


s.main(FOLDER, scenario, workers=6)
