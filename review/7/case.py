"""A queue of which the tickets hold for 3 s, and of which a call for advice takes 1.8 s, never starts a job."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin_2 as s

FOLDER = os.path.dirname(os.path.abspath(__file__))
DECIDE_MS, VALID_MS = 500, 3000
QUICK_MS, SLOW_MS = 20, 120  # for each worker that a call names
FINISH_S, STANDS_S = 14, 3
TENANTS = [("t1", ["key-1"], 0)]
JOB = {"spec": "one task", "steps": [{"count": 1, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 500}]}


def advice(period):
    return {"advice": {"decideMs": DECIDE_MS, "periodMs": period, "validMs": VALID_MS}}


async def scenario(w):
    w.tickets = s.Tickets(w, DECIDE_MS, QUICK_MS, VALID_MS)
    routes = [("/quick/", advice(QUICK_MS))]
    await w.open(s.config(1, routes, TENANTS))
    first = await w.submit("/quick/", JOB)
    await asyncio.sleep(5)
    if (await w.get("/quick/", first))[1] != "succeeded":
        raise s.Unready("the first job did not end")
    prefix = "/quick/"
    if w.trouble:
        # The operator adds a queue. Its policy takes longer to decide.
        prefix = "/slow/"
        w.store.put("op", "config", s.config(2, routes + [("/slow/", advice(SLOW_MS))], TENANTS))
        w.tickets.period = SLOW_MS
        w.note("operator", "confirmed", "version 2 adds /slow/")
        await asyncio.sleep(3)
    second = await w.submit(prefix, JOB)
    if second is None:
        raise s.Unready("the second job was not accepted")
    w.note("traffic", "ends", "")
    began = s.now_ms()
    await asyncio.sleep(FINISH_S + STANDS_S + 1)
    status, state = await w.get(prefix, second)
    started = [at - began for at, _, task, _ in w.starts if task.startswith(second)]
    w.note("CHECK", "seen", f"{second}: {state}, {len(started)} starts, {w.tickets.calls} calls for advice")
    if status != 200:
        raise s.Unready(f"the state was answered with {status}")
    # The pool is idle all the while: a job without a start stands beside free workers.
    if not started:
        w.fail(f"LOST: {second} is {state}; nothing of it ran for {FINISH_S + STANDS_S} s beside idle workers")


s.main(FOLDER, scenario, workers=11)
