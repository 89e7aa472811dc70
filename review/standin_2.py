"""Stand-ins for the platform's store, its machine list, its advice service, workers and clients.

They speak what `PROTOCOL.md` says, on loopback addresses, in one event loop. The project's own
programs run beside them as separate processes. Scripts in `review/4` and on use this file.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PEERS, FRONT, READY, CONTROL, APP, STORE, CLOUD, ADVICE = 7300, 7301, 7302, 7303, 7304, 7305, 7306, 7307
HOST = "jobs.example"
STOP_TIMEOUT_MS = 200
GANG_TIMEOUT_MS = 3000
BEAT_MS = 1500


class Unready(Exception):
    """The case could not run."""


def now_ms():
    return time.monotonic() * 1000.0


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    return method, target, headers, body


class NoAnswer(Exception):
    """The server sends no answer to this call and closes nothing."""


class Reset(Exception):
    """The server closes the connection without an answer."""


async def serve(address, handler):
    """Serves HTTP/1.1 with keep-alive; `handler(method, target, headers, body)` gives (status, object)."""
    host, port = address.rsplit(":", 1)

    async def client(reader, writer):
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                status, value = await handler(method, target, headers, body)
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except NoAnswer:
            try:
                await reader.read()
            except OSError:
                pass
        except (asyncio.IncompleteReadError, ConnectionError, OSError, Reset, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(client, host, int(port), limit=1 << 22, backlog=512)


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One HTTP call on a connection of its own. Returns (status, object), or (0, None) without an answer."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": HOST, "Connection": "close"}
            fields.update(headers or {})
            if body is not None:
                fields["Content-Type"] = "application/json"
                fields["Content-Length"] = str(len(data))
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = re.search(r"(?im)^content-length: *(\d+)", head)
            data = await reader.readexactly(int(length.group(1))) if length else await reader.read()
            try:
                return status, json.loads(data or b"null")
            except ValueError:
                return status, None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None


class Store:
    """The platform's store: atomic transactions, reads and a feed."""

    def __init__(self):
        self.rows = {}
        self.ver = 0
        self.changes = []
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.before = None  # async hook (method, path, headers, body), may raise NoAnswer or Reset
        self.tx_ms = 3.0

    def put(self, table, key, value):
        """A write of the operator."""
        self.ver += 1
        self._set(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())
        self._wake()

    def get(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[1])) if row else None

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _set(self, table, part, key, value):
        if value is None:
            if self.rows.pop((table, part, key), None) is None:
                return
        else:
            self.rows[(table, part, key)] = (self.ver, value)
        self.changes.append((self.ver, table, part, key, value))

    def _row(self, table, part, key, ver, value):
        row = {"table": table, "part": part, "key": key, "ver": ver}
        row.update({"deleted": True} if value is None else {"value": value})
        return row

    def commit(self, tx):
        named = lambda e: (e["table"], e.get("part", ""), e["key"])
        for e in tx.get("expected", []):
            if self.rows.get(named(e), (0, ""))[0] != e.get("ver", 0):
                found = [
                    self._row(*named(e), *self.rows[named(e)])
                    for e in tx["expected"]
                    if named(e) in self.rows
                ]
                return 412, {"rows": found, "ver": self.ver, "nowMs": int(now_ms())}
        for e in tx.get("setKeys", []) + tx.get("delete", []):
            if e["table"] in ("op", "servers"):
                return 403, {}
        self.ver += 1
        for e in tx.get("setKeys", []):
            self._set(*named(e), e["value"])
        for e in tx.get("delete", []):
            self._set(*named(e), None)
        self._wake()
        return 200, {"ver": self.ver, "nowMs": int(now_ms())}

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        args = {k: v.replace("%2F", "/") for k, v in args.items()}
        if self.before:
            answer = await self.before(path, args, body)
            if answer:
                return answer
        if path == "/v1/rows-tx":
            await asyncio.sleep(self.tx_ms / 1000)
            return self.commit(json.loads(body))
        if path == "/v1/rows-get":
            lo, hi = args.get("from", ""), args.get("to", "")
            limit = min(int(args.get("limit", 500)), 500)
            keys = sorted(
                k for k in self.rows
                if k[0] == args["table"] and k[1] == args.get("part", "") and k[2] >= lo and (not hi or k[2] < hi)
            )
            rows = [self._row(*k, *self.rows[k]) for k in keys[:limit]]
            return 200, {"rows": rows, "hasMore": len(keys) > limit, "ver": self.ver, "nowMs": int(now_ms())}
        if path == "/v1/rows-feed":
            after, end = int(args.get("after", 0)), now_ms() + int(args.get("waitMs", 0))
            if after < self.forgotten:
                return 410, {}
            while True:
                rows = [self._row(t, p, k, v, x) for v, t, p, k, x in self.changes if v > after and t == args["table"]]
                left = end - now_ms()
                if rows or left <= 0:
                    return 200, {"rows": rows, "ver": self.ver, "nowMs": int(now_ms())}
                try:
                    await asyncio.wait_for(self.changed.wait(), left / 1000)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Worker:
    """One worker on the machine of an agent."""

    def __init__(self, world, index):
        self.world, self.index = world, index
        self.life = 0
        self.cpu, self.mem, self.gpu = 64000, 262144, 8
        self.labels = ["a", f"r{index // 3}"]
        self.up = True
        self.before = None  # async hook (path, call)
        self.boot()

    def boot(self):
        self.life += 1
        self.id = f"i-{self.index}-{self.life}"
        self.born = now_ms()
        self.seq = 0
        self.state = "ready"
        self.fence = 0
        self.lease = 0
        self.runs = {}
        self.ended = []
        self.next_end = 1
        self.highest = {}
        self.news = asyncio.Event()

    def clock(self):
        return int(now_ms() - self.born)

    def note(self, event, text):
        self.world.note(f"worker {self.id}", event, text)

    def used(self, what):
        return sum(run[what] for run in self.runs.values())

    def report(self):
        self.seq += 1
        return {
            "service": "pool", "address": self.world.address(self.index, APP), "zone": "z", "version": "v1",
            "slots": 8, "state": self.state, "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": self.gpu},
            "labels": self.labels, "clockMs": self.clock(), "seq": self.seq,
        }

    async def beat(self):
        while True:
            if self.up:
                await call(self.world.address(self.index, CONTROL), "PUT", f"/v1/instances/{self.id}", self.report(), timeout=1.0)
            await asyncio.sleep(BEAT_MS / 1000)

    def end(self, task, how):
        run = self.runs.pop(task, None)
        if run is None:
            return
        self.ended.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.note("end", f"{task} run {run['run']} {how}")
        self.world.on_end(self, task, run, how)
        self.news.set()
        self.news = asyncio.Event()

    def tick(self):
        if not self.up:
            return
        if self.runs and self.clock() >= self.lease:
            for task in list(self.runs):
                self.end(task, "lapsed")
        now = now_ms()
        for task, run in list(self.runs.items()):
            if run["stops_at"] and now >= run["stops_at"]:
                self.end(task, "stopped")
            elif run["ends_at"] and now >= run["ends_at"]:
                self.end(task, run["how"])

    def extend(self, deadline):
        if deadline:
            self.lease = max(self.lease, min(deadline, self.clock() + self.world.hold_ms))

    async def handle(self, method, target, headers, body):
        path = target.split("?")[0]
        c = json.loads(body or b"{}")
        if not self.up:
            raise Reset()
        life = self.life
        if self.before:
            answer = await self.before(path, c)
            if answer:
                return answer
        expect = headers.get("x-quincewheel-expect-instance")
        if self.life != life or (expect and expect != self.id):
            return 421, {}
        clock = {"clockMs": self.clock()}
        fence = c.get("fence", 0)
        if fence < self.fence:
            return 409, dict(clock, reason="fence")
        self.fence = fence
        if path == "/v1/run-start":
            return self.start(c, clock)
        if path == "/v1/run-stop":
            self.highest[c["task"]] = max(self.highest.get(c["task"], 0), c["run"])
            run = self.runs.get(c["task"])
            if run and run["run"] == c["run"] and not run["stops_at"]:
                run["stops_at"] = now_ms() + STOP_TIMEOUT_MS * 0.5
                self.note("stop", f"{c['task']} run {c['run']}")
            return 200, clock
        if path == "/v1/pace":
            return 200, clock
        if path == "/v1/hold":
            self.extend(c.get("deadlineMs", 0))
            seen = c.get("lastSeen", 0)
            self.ended = [e for e in self.ended if e[0] > seen]
            end = now_ms() + min(c.get("waitMs", 0), 2000)
            while not self.ended and now_ms() < end and self.up and self.life == life:
                try:
                    await asyncio.wait_for(self.news.wait(), (end - now_ms()) / 1000)
                except asyncio.TimeoutError:
                    break
            if not self.up or self.life != life:
                raise Reset()
            running = [[t, r["run"], "", r["percent"](), 0] for t, r in self.runs.items()]
            return 200, {"clockMs": self.clock(), "running": running, "ended": self.ended[:500]}
        return 404, {}

    def start(self, c, clock):
        task, run = c["task"], c["run"]
        self.extend(c.get("deadlineMs", 0))
        known = self.runs.get(task)
        if known and known["run"] == run:
            return 200, clock
        if known or run <= self.highest.get(task, 0):
            return 409, dict(clock, reason="old")
        if self.world.tickets is not None and not self.world.tickets.valid(self, task, c.get("ticket", "")):
            self.world.refused += 1
            if self.world.refused <= 20:
                self.note("refused", f"{task} run {run}: ticket")
            return 409, dict(clock, reason="ticket")
        if self.lease <= self.clock():
            return 409, dict(clock, reason="late")
        need = self.world.need(task)
        for what, most in (("cpu", self.cpu), ("mem", self.mem), ("gpu", self.gpu)):
            if self.used(what) + need[what] > most:
                return 409, dict(clock, reason="room")
        began = now_ms()
        lasts, how = self.world.course(self, task, run)
        percent = lambda: 100 if lasts is None else min(99, int((now_ms() - began) * 100 / max(lasts, 1)))
        self.runs[task] = dict(
            need, run=run, spec=c.get("spec", ""), began=began, stops_at=None,
            ends_at=None if lasts is None else began + lasts, how=how, percent=percent,
        )
        self.note("start", f"{task} run {run}")
        self.world.on_start(self, task, run, c)
        return 200, clock

    def crash(self):
        self.note("crash", f"with {len(self.runs)} runs")
        for task, run in self.runs.items():
            self.world.on_end(self, task, run, "crash")
        self.up = False
        self.runs = {}

    def reboot(self):
        self.boot()
        self.up = True
        self.note("boot", "")


class Tickets:
    """The advice service: one call at a time for each calling machine."""

    def __init__(self, world, decide, period, valid):
        self.world, self.decide, self.period, self.valid_ms = world, decide, period, valid
        self.issued, self.calls = {}, 0
        self.lock = asyncio.Lock()

    async def handle(self, method, target, headers, body):
        c = json.loads(body)
        async with self.lock:
            self.calls += 1
            begun = now_ms()
            await asyncio.sleep((self.decide + self.period * len(c["workers"])) / 1000)
            good = []
            for id in c["workers"]:
                ticket = f"t{len(self.issued)}"
                self.issued[ticket] = (c["step"], id, now_ms())
                good.append([id, ticket])
            self.world.note("advice", "answer", f"{c['step']}: {len(good)} workers after {now_ms() - begun:.0f} ms")
        return 200, {"good": good, "validMs": self.valid_ms}

    def valid(self, worker, task, ticket):
        step, id, at = self.issued.get(ticket, ("", "", 0))
        return step == task.rsplit(".", 1)[0] and id == worker.id and now_ms() <= at + self.valid_ms


class World:
    """A small deployment: the processes, their stand-ins and the record."""

    def __init__(self, folder, entries=3, workers=6, hold_ms=6000):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.entries, self.workers_count, self.hold_ms = entries, workers, hold_ms
        self.began = now_ms()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.tmp = tempfile.mkdtemp(prefix="review-2-")
        self.block = None
        self.procs = {}
        self.jobs = {}
        self.running = {}
        self.starts, self.ends, self.twice = [], [], []
        self.broken = []
        self.refused = 0
        self.tickets = None
        self.cloud_handler = None
        self.bounds = dict(
            seedLagS=3, reuseAfterS=2, stableWindowMs=3000, ackMs=4000, catchUpS=4, drainMs=2000, graceS=6,
            lossSlackMs=200, configApplyMs=2000, rollbackSlackMs=250, maxSkewMs=5000, strictRevoke="true",
            revokeMs=5000, recoveryS=12, maxHoldMs=hold_ms, stopTimeoutMs=STOP_TIMEOUT_MS,
            gangTimeoutMs=GANG_TIMEOUT_MS, cancel_ms=3000, visible_ms=3000, early_ms=250, finish_s=14,
            status_s=120, remoteFactor=3, checkpointIntervalS=0.5, restoreMs=600, noticeMs=4500, moveS=1.5,
            upkeepS=2, enforceFencing="true", leaseMs=3000, thawMs=300, paceMs=100, harmMs=4000, reclaimMs=2700,
        )

    def ms(self):
        return int(now_ms() - self.began)

    def note(self, who, event, text):
        self.record.write(f"{self.ms():7d} {who}: {event} {text}\n")
        self.record.flush()

    def fail(self, text):
        self.broken.append(text)
        self.note("CHECK", "BROKEN", text)

    # Addresses. Workers' machines are hosts 0.., entries follow at 100.., services at 200...

    def ip(self, host):
        return f"127.{self.block[0]}.{self.block[1]}.{host + 1}"

    def address(self, host, port):
        return f"{self.ip(host)}:{port}"

    def front(self, index):
        return self.address(100 + index, FRONT)

    # Jobs

    def need(self, task):
        job, _, step, _ = task.split(".")
        s = self.jobs.get(job, {"steps": []})["steps"]
        s = s[int(step)] if int(step) < len(s) else {}
        cpu = 0 if s.get("fills") else s.get("cpu", 0)
        return {"cpu": cpu, "mem": s.get("memMb", 0), "gpu": s.get("gpu", 0)}

    def course(self, worker, task, run):
        """How long a run lasts (None: until it is stopped) and how it ends."""
        job, _, step, _ = task.split(".")
        s = self.jobs.get(job, {"steps": []})["steps"]
        s = s[int(step)] if int(step) < len(s) else {}
        if s.get("perpetual"):
            return None, "stopped"
        return s.get("estimateMs", 1000), "done"

    def on_start(self, worker, task, run, c):
        other = self.running.get(task)
        if other and other[0].up and other != (worker, run):
            text = f"TWICE {task}: run {run} at {worker.id} beside run {other[1]} at {other[0].id}"
            self.twice.append(text)
            self.fail(text)
        self.running[task] = (worker, run)
        self.starts.append((now_ms(), worker.id, task, run))

    def on_end(self, worker, task, run, how):
        if self.running.get(task) == (worker, run["run"]):
            del self.running[task]
        self.ends.append((now_ms(), worker.id, task, run["run"], how))

    # Processes

    def settings(self, name, host, entry):
        listen = (
            f'front = "{self.address(host, FRONT)}"\nready = "{self.address(host, READY)}"'
            if entry else f'control = "{self.address(host, CONTROL)}"'
        )
        text = (
            f'node = "{name}"\nrole = "{"entry" if entry else "agent"}"\nclass = "{"front" if entry else "side"}"\n'
            f'serves = ["{"front" if entry else "side"}"]\nip = "{self.ip(host)}"\nzone = "z"\nregion = "r"\n'
            f'portRange = [{PEERS},{PEERS}]\nseeds = []\nbootstrap = true\nlossCounts = false\ndiscovery = "local"\n'
            f'entry = "vip"\nheartbeatMs = {BEAT_MS}\ncontracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]\n'
            f'orders = "rpc"\nadvice = "{self.address(202, ADVICE)}"\n[zones]\nz = "r"\n[listen]\n{listen}\n'
            f'[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n'
            f'[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n'
            + "".join(f"{k} = {v}\n" for k, v in self.bounds.items())
            + f'[platform]\naddress = "{self.address(200, STORE)}"\nform = "table"\nwritesPerS = 800\nreadsPerS = 2000\n'
            f'txMs = 3.0\nappendsPerS = 300\nrowBytes = 65536\nacross = true\nhistoryS = 20\n'
            f'[cloud]\naddress = "{self.address(201, CLOUD)}"\nratePerS = 60.0\ndutyPerS = 60.0\n'
        )
        path = os.path.join(self.tmp, f"{name}.toml")
        with open(path + ".new", "w") as file:
            file.write(text)
        os.replace(path + ".new", path)
        return path

    def spawn(self, name, host, entry):
        program = "quincewheel-entry" if entry else "quincewheel-agent"
        env = {
            "PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
            "QUINCEWHEEL_CONFIG": self.settings(name, host, entry),
            "QUINCEWHEEL_FLEET_KEY": "replace-this-fleet-key",
        }
        log = open(os.path.join(self.tmp, f"{name}.log"), "a")
        proc = subprocess.Popen(
            [os.path.join(ROOT, "target/release", program)], cwd=ROOT, env=env,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        self.procs[name] = (proc, host, entry)
        self.note("process", "started", name)

    def signal(self, name, number):
        self.procs[name][0].send_signal(number)
        self.note("process", signal.Signals(number).name, name)

    def kill(self, name):
        proc = self.procs[name][0]
        proc.kill()
        proc.wait()
        self.note("process", "killed", name)

    def restart(self, name):
        _, host, entry = self.procs[name]
        self.spawn(name, host, entry)

    def owner(self):
        row = self.store.get("quincewheel", "owner")
        return row["holder"] if row else ""

    async def cloud(self, method, target, headers, body):
        if self.cloud_handler:
            answer = await self.cloud_handler(method, target, headers, body)
            if answer:
                return answer
        machines = [
            {"machine": f"m-{w.index}", "pool": "pool", "state": "up" if w.up else "down", "zone": "z",
             "labels": w.labels, "capacity": {"cpu": w.cpu, "memMb": w.mem, "gpu": w.gpu},
             "id": w.id if w.up else ""}
            for w in self.workers
        ]
        return 200, {"machines": machines, "nextToken": None}

    async def open(self, config):
        for program in ("quincewheel-entry", "quincewheel-agent"):
            if not os.path.exists(os.path.join(ROOT, "target/release", program)):
                raise Unready(f"target/release/{program} is not built")
        self.store = Store()
        self.servers = []
        for _ in range(50):
            self.block = (random.randrange(2, 250), random.randrange(1, 250))
            try:
                self.servers.append(await serve(self.address(200, STORE), self.store.handle))
                break
            except OSError:
                continue
        else:
            raise Unready("no free address")
        self.workers = [Worker(self, i) for i in range(self.workers_count)]
        self.servers.append(await serve(self.address(201, CLOUD), self.cloud))
        if self.tickets:
            self.servers.append(await serve(self.address(202, ADVICE), self.tickets.handle))
        for w in self.workers:
            self.servers.append(await serve(self.address(w.index, APP), w.handle))
        self.store.put("op", "config", config)
        self.tasks = [asyncio.create_task(w.beat()) for w in self.workers]
        self.tasks.append(asyncio.create_task(self.ticking()))
        for i in range(self.entries):
            self.spawn(f"entry-{i}", 100 + i, True)
        for i in range(self.workers_count):
            self.spawn(f"agent-{i}", i, False)
        await self.wait_ready()

    async def ticking(self):
        while True:
            for w in self.workers:
                w.tick()
            await asyncio.sleep(0.01)

    async def wait_ready(self, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            ok = [(await call(self.address(100 + i, READY), "GET", "/v1/readyz", timeout=1.0))[0] for i in range(self.entries)]
            nodes = sum(1 for (t, _, k) in self.store.rows if t == "quincewheel" and k.startswith("node/agent"))
            if all(s == 200 for s in ok) and self.owner() and nodes == self.workers_count:
                await asyncio.sleep(1.5)
                self.note("deployment", "ready", f"owner {self.owner()}")
                return
            await asyncio.sleep(0.1)
        raise Unready("the deployment did not become ready")

    def stop(self):
        """Ends all processes that this run started."""
        for proc, _, _ in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
                proc.wait()

    def close(self):
        self.stop()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.tmp, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.tmp, ignore_errors=True)
        self.record.close()

    # Clients

    async def submit(self, prefix, job, key="key-1", entry=None, id=None, tries=8):
        id = id or f"{random.getrandbits(64):016x}"
        self.jobs[id] = job
        for _ in range(tries):
            at = self.front(random.randrange(self.entries) if entry is None else entry)
            status, _ = await call(at, "POST", prefix + id, job, {"Authorization": f"Token {key}"})
            self.note("client", "POST", f"{prefix}{id} -> {status}")
            if status == 200:
                return id
            await asyncio.sleep(0.3)
        return None

    async def get(self, prefix, id, key="key-1", entry=None):
        at = self.front(random.randrange(self.entries) if entry is None else entry)
        status, body = await call(at, "GET", prefix + id, None, {"Authorization": f"Token {key}"})
        state = (body or {}).get("state") if isinstance(body, dict) else None
        self.note("client", "GET", f"{prefix}{id} -> {status} {state}")
        return status, state

    async def delete(self, prefix, id, key="key-1", entry=None):
        at = self.front(random.randrange(self.entries) if entry is None else entry)
        status, _ = await call(at, "DELETE", prefix + id, None, {"Authorization": f"Token {key}"})
        self.note("client", "DELETE", f"{prefix}{id} -> {status}")
        return status


def config(version=1, routes=(), tenants=()):
    """A desired state: routes as (prefix, fields) and tenants as (name, keys, guaranteed gpu)."""
    entries = []
    for prefix, fields in routes:
        entry = {
            "name": f"r-{prefix.strip('/')}", "host": HOST, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000,
            "sloMs": 1000, "priority": 1, "service": "pool", "attempts": 4, "stretch": 3.0, "public": False,
        }
        entry.update(fields)
        entries.append(entry)
    return {
        "version": version, "routes": entries,
        "services": [{"name": "pool", "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
                      "admissionCheck": True, "standby": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": n, "apiKeys": list(k), "priority": 1, "guaranteed": {"gpu": g}} for n, k, g in tenants],
    }


def main(folder, scenario, limit=110.0, **options):
    """Plays a scenario; exits with 1 if it broke the rule, 0 if it held, 2 if it could not run."""
    world = World(folder, **options)

    async def play():
        # Also when the script itself is ended, nothing that it started stays.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            await asyncio.wait_for(scenario(world), limit)
        finally:
            for task in getattr(world, "tasks", []):
                task.cancel()
            world.stop()

    code = 2
    try:
        asyncio.run(play())
        code = 1 if world.broken else 0
    except Unready as error:
        world.note("deployment", "unready", str(error))
    except asyncio.TimeoutError:
        world.note("scenario", "ended", "took too long")
    except asyncio.CancelledError:
        world.note("scenario", "ended", "by a signal")
    except Exception as error:  # a fault of the script is no broken rule
        world.note("scenario", "failed", repr(error))
    finally:
        verdict = {0: "held", 1: "BROKEN", 2: "could not run"}[code]
        world.note("verdict", verdict, "; ".join(world.broken[:5]))
        print(f"{verdict}: {'; '.join(world.broken[:3])}")
        world.close()
    sys.stdout.flush()
    os._exit(code)
