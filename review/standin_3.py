"""Stand-ins for the platform's table, its machine list, workers and clients, for the scripts of
review/9 to review/13. Written from the users' pages alone. Standard library only.

Everything listens on loopback addresses: machine N of a deployment has the address 127.0.B.N, where B is
drawn so that the ports are free."""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

KEY = "review-fleet-key"
FRONT, READY, CONTROL, PEERS, METRICS, TABLE, APP = 8521, 8523, 8526, 7000, 9464, 8524, 8530


def clock_ms():
    return int(time.monotonic() * 1000)


class Record:
    """What was sent, answered and run, in the order in which the stand-ins saw it."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()

    def line(self, text):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - self.begin, text))
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Drop(Exception):
    """The connection is closed without an answer."""


async def serve(host, port, handler, opened=None):
    """Serves HTTP. `opened` takes the writers of the open connections."""
    opened = set() if opened is None else opened

    async def connection(reader, writer):
        opened.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, answer = await handler(method, path, headers, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, Drop, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the script ends
        finally:
            opened.discard(writer)
            writer.close()
    return await asyncio.start_server(connection, host, port, limit=1 << 20, backlog=512)


async def request(address, method, path, body=None, headers=(), timeout=3.0, host="q.example"):
    """Returns status, headers and body; status 0 if there was no answer in time."""
    async def exchange():
        ip, port = address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
        try:
            data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
            head = "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n" % (method, path, host, len(data))
            if data:
                head += "Content-Type: application/json\r\n"
            for name, value in headers:
                head += "%s: %s\r\n" % (name, value)
            writer.write(head.encode() + b"\r\n" + data)
            first, answered, content = await read_message(reader)
            return int(first.split(" ")[1]), answered, content
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, {}, type(error).__name__.encode()


# ---------------------------------------------------------------- the platform's table

class Table:
    """The platform's store: rows, transactions, ranges and the feed, as PROTOCOL.md tells them."""

    def __init__(self):
        self.rows = {}
        self.bytes = 0
        self.changes = []
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        self.version += 1
        self._set((table, part, key), base64.b64encode(json.dumps(value).encode()).decode())
        self._wake()

    def drop(self, table, key, part=""):
        self.version += 1
        self._set((table, part, key), None)
        self._wake()

    def _set(self, at, value):
        self.bytes += len(value or "") * 3 // 4 - len(self.rows.get(at, ("", 0))[0]) * 3 // 4
        if value is None:
            self.rows.pop(at, None)
        else:
            self.rows[at] = (value, self.version)
        self.changes.append((self.version, at, value))
        del self.changes[:-20000]

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, at):
        value, version = self.rows[at]
        return {"table": at[0], "part": at[1], "key": at[2], "value": value, "ver": version}

    def answer(self, rows, **more):
        return {"rows": rows, "ver": self.version, "nowMs": clock_ms(), **more}

    async def handle(self, method, path, headers, body):
        path, _, query = path.partition("?")
        asked = {}
        for pair in query.split("&") if query else []:
            name, _, value = pair.partition("=")
            asked[name] = value.replace("%2F", "/").replace("%2f", "/")
        if path == "/v1/rows-tx":
            return await self.transact(json.loads(body))
        if path == "/v1/rows-get":
            await asyncio.sleep(0.001)
            low, high = asked.get("from", ""), asked.get("to")
            limit = min(int(asked.get("limit") or 500), 500)
            keys = sorted(at for at in self.rows if at[0] == asked.get("table") and at[1] == asked.get("part", "")
                          and at[2] >= low and (not high or at[2] < high))
            rows, size = [], 0
            for at in keys[:limit]:
                size += len(self.rows[at][0])
                if rows and size > 1_000_000:
                    break
                rows.append(self.row(at))
            return 200, self.answer(rows, hasMore=len(rows) < len(keys))
        if path == "/v1/rows-parts":
            return 200, {"parts": sorted({at[1] for at in self.rows if at[0] == asked.get("table")}),
                         "ver": self.version, "nowMs": clock_ms()}
        if path == "/v1/rows-feed":
            after, end = int(asked.get("after", 0)), time.monotonic() + int(asked.get("waitMs", 0)) / 1000
            if self.changes and after < self.changes[0][0] - 1:
                return 410, {}
            while True:
                found = [c for c in self._after(after) if c[1][0] == asked.get("table")]
                if found or time.monotonic() >= end:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            version, rows, size = self.version, [], 0
            for number, at, value in found:
                if rows and (len(rows) >= 500 or size + len(value or "") > 1_000_000) and number != version_of(rows):
                    version = version_of(rows)
                    break
                size += len(value or "")
                row = {"table": at[0], "part": at[1], "key": at[2], "ver": number}
                row.update({"deleted": True} if value is None else {"value": value})
                rows.append(row)
            return 200, {"rows": rows, "ver": version, "nowMs": clock_ms()}
        return 404, {}

    def _after(self, after):
        found = []
        for change in reversed(self.changes):
            if change[0] <= after:
                break
            found.append(change)
        return found[::-1]

    async def transact(self, tx):
        await asyncio.sleep(0.003)
        entries = sum(len(tx.get(name, [])) for name in ("expected", "setKeys", "delete"))
        named = tx.get("expected", []) + tx.get("setKeys", []) + tx.get("delete", [])
        parts = {row.get("part", "") for row in named}
        big = any(len(base64.b64decode(row.get("value", ""))) > 65536 for row in tx.get("setKeys", []))
        if entries > 100 or big or (len(parts) > 1 and not tx.get("across")):
            return 400, {}
        if self.bytes > 400_000_000:
            return 507, {}  # the page says it beside objects; here it counts for all that is stored
        at = lambda row: (row["table"], row.get("part", ""), row["key"])
        for row in tx.get("expected", []):
            if self.rows.get(at(row), ("", 0))[1] != row.get("ver", 0):
                held = [self.row(at(e)) for e in tx["expected"] if at(e) in self.rows]
                return 412, self.answer(held)
        self.version += 1
        for row in tx.get("setKeys", []):
            self._set(at(row), row.get("value", ""))
        for row in tx.get("delete", []):
            self._set(at(row), None)
        self._wake()
        return 200, self.answer([])


def version_of(rows):
    return rows[-1]["ver"]


# ---------------------------------------------------------------- workers

class Worker:
    """A worker as PROTOCOL.md tells it. `known(task)` gives what the task needs and how long it takes."""

    def __init__(self, deployment, number, cpu=64000, memory=262144, gpu=8):
        self.deployment, self.number = deployment, number
        self.room = {"cpu": cpu, "memMb": memory, "gpu": gpu}
        self.machine = "m%d" % number
        self.ip = deployment.ip(100 + number)
        self.life = 0
        self.machine_state, self.machine_fence, self.waves, self.beat = "up", 0, set(), asyncio.Event()
        self.reborn()

    def reborn(self):
        self.life += 1
        if self.life == 1 or not self.deployment.keeps_ids:
            self.own_id = "i-%02d%02d%08x" % (self.number, self.life, random.getrandbits(32))
        self.id = self.own_id
        self.begun = clock_ms()
        self.born, self.seq, self.fence, self.ends = int(time.time() * 1000), 0, 0, 0
        self.running, self.ended, self.past, self.lease = {}, [], {}, None
        self.ended_event = asyncio.Event()
        self.beat.set()  # a new worker reports at once

    async def listen(self):
        self.opened = set()
        self.server = await serve(self.ip, APP, self.handle, self.opened)

    def gone(self):
        """The worker's life ends with its machine's: its connections break, and nothing listens."""
        self.server.close()
        for writer in list(self.opened):
            writer.transport.abort()
        for task, run in self.running.items():
            self.deployment.on_end(self, task, run["run"], "lost")
        self.running, self.id = {}, None

    def clock(self):
        """The worker's own steady clock; it starts anew with each life."""
        return clock_ms() - self.begun + 1000

    async def crash(self, seconds):
        """The worker's process ends, and another starts at the same address after some seconds."""
        self.gone()
        self.machine_state = "down"
        await asyncio.sleep(seconds)
        self.reborn()
        await self.listen()
        self.machine_state = "up"

    def report(self, state="ready"):
        self.seq += 1
        return {"service": "pool", "address": "%s:%d" % (self.ip, APP), "zone": "z1", "version": "v1", "slots": 8,
                "state": state, "coldLeftMs": 0, "capacity": self.room, "labels": ["a", "r%d" % (self.number // 3)],
                "clockMs": self.clock(), "seq": self.seq, "born": self.born}

    async def heartbeats(self):
        while True:
            if self.id:
                await request("%s:%d" % (self.deployment.ip(50 + self.number), CONTROL), "PUT",
                              "/v1/instances/" + self.id, self.report(), timeout=1.0)
            self.beat.clear()
            try:
                await asyncio.wait_for(self.beat.wait(), 1.5)
            except asyncio.TimeoutError:
                pass

    def end(self, task, how):
        run = self.running.pop(task)
        self.ends += 1
        self.past[task] = max(self.past.get(task, 0), run["run"])
        self.ended.append([self.ends, task, run["run"], how, ""])
        self.deployment.on_end(self, task, run["run"], how)
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            now = self.clock()
            for task in list(self.running):
                run = self.running[task]
                if self.lease is not None and now > self.lease:
                    self.end(task, "lapsed")
                elif run["until"] is not None and now >= run["until"]:
                    self.end(task, run["how"])

    def used(self, name):
        return sum(run["need"].get(name, 0) for run in self.running.values())

    def extend(self, deadline):
        if deadline:
            self.lease = max(self.lease or 0, min(int(deadline), self.clock() + 6000))

    async def handle(self, method, path, headers, body):
        if self.id is None:
            raise Drop()
        said = json.loads(body or b"{}")
        clock = {"clockMs": self.clock(), "born": self.born}
        expected = headers.get("x-quincewheel-expect-instance")
        if expected and expected != self.id:
            return 421, clock
        fence = said.get("fence", 0)
        if fence < self.fence:
            return 409, {**clock, "reason": "fence"}
        self.fence = fence
        if path == "/v1/run-start":
            return self.start(said, clock)
        if path == "/v1/run-stop":
            task, run = said["task"], said["run"]
            self.past[task] = max(self.past.get(task, 0), run)
            held = self.running.get(task)
            if held and held["run"] <= run and held["how"] != "stopped":
                held["until"], held["how"] = self.clock() + 50, "stopped"
            return 200, clock
        if path == "/v1/hold":
            self.extend(said.get("deadlineMs"))
            self.ended = [end for end in self.ended if end[0] > said.get("lastSeen", 0)]
            if not self.ended and said.get("waitMs"):
                try:
                    await asyncio.wait_for(self.ended_event.wait(), min(said["waitMs"], 2000) / 1000)
                except asyncio.TimeoutError:
                    pass
            running = [[task, run["run"], "", run["percent"](), run["need"].get("cpu", 0) / 1000]
                       for task, run in self.running.items()]
            return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]}
        if path == "/v1/pace":
            return 200, clock
        return 404, clock

    def start(self, said, clock):
        task, run = said["task"], said["run"]
        if task in self.running and self.running[task]["run"] == run:
            return 200, clock
        self.extend(said.get("deadlineMs"))
        if run <= self.past.get(task, 0) or task in self.running:
            return 409, {**clock, "reason": "old"}
        if said.get("deadlineMs", 0) <= self.clock():
            return 409, {**clock, "reason": "late"}
        need, ms, how = self.deployment.known(task)
        if any(self.used(name) + need.get(name, 0) > self.room[name] for name in self.room):
            return 409, {**clock, "reason": "room"}
        begun = self.clock()
        percent = (lambda: 100 if self.clock() > begun + 300 else 0) if ms is None else (lambda: min(99, int(100 * (self.clock() - begun) / max(ms, 1))))
        self.running[task] = {"run": run, "need": need, "until": None if ms is None else begun + ms, "how": how,
                              "percent": percent}
        self.deployment.on_start(self, task, run, said)
        return 200, clock


# ---------------------------------------------------------------- a deployment

class Deployment:
    """The project's programs as separate processes, between stand-ins."""

    def __init__(self, record, entries=3, workers=4, memory_mb=260, cpu_share=0.25, keeps_ids=False):
        self.record = record
        self.entries, self.count = entries, workers
        self.keeps_ids = keeps_ids
        self.memory_mb, self.cpu_share = memory_mb, cpu_share
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.block = self.free_block()
        self.table = Table()
        self.processes, self.tasks, self.servers = {}, [], []
        self.jobs, self.starts, self.ends = {}, [], []
        self.exits = []
        self.waves, self.upkeep_s = {}, 2
        self.root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

    @staticmethod
    def free_block():
        for _ in range(200):
            block = random.randint(2, 250)
            try:
                for port in (FRONT, READY, CONTROL, PEERS, METRICS, TABLE, APP):
                    with socket.socket() as probe:
                        probe.bind(("127.0.%d.1" % block, port))
                return block
            except OSError:
                continue
        print("no free ports")
        sys.exit(2)

    def ip(self, number):
        return "127.0.%d.%d" % (self.block, number)

    def settings(self, name, ip, entry):
        if entry:
            listen = 'front = "%s:%d"\nready = "%s:%d"' % (ip, FRONT, ip, READY)
        else:
            listen = 'control = "%s:%d"' % (ip, CONTROL)
        return f'''node = "{name}"
role = "{'entry' if entry else 'agent'}"
class = "{'front' if entry else 'side'}"
serves = ["{'front' if entry else 'side'}"]
ip = "{ip}"
zone = "z1"
region = "r"
portRange = [{PEERS},{PEERS + 15}]
seeds = []
bootstrap = true
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice", "upkeep", "sharing"]
orders = "rpc"
[zones]
z1 = "r"
[listen]
{listen}
[limits]
cpuShare = {self.cpu_share if entry else 0.15}
cores = 1
memoryMb = {self.memory_mb if entry else 128}
maxFds = {4100 if entry else 4096}
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
stableWindowMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevoke = true
revokeMs = 5000
recoveryS = 12
maxHoldMs = 6000
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
enforceFencing = true
leaseMs = 3000
reclaimMs = 2700
[platform]
address = "{self.ip(1)}:{TABLE}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 3.0
appendsPerS = 300
rowBytes = 65536
across = true
historyS = 20
[cloud]
address = "{self.ip(2)}:{TABLE}"
ratePerS = 60.0
dutyPerS = 60.0
'''

    def config(self, version, routes, tenants):
        self.table.put("op", "config", {"version": version, "routes": routes, "tenants": tenants,
                                        "services": [{"name": "pool", "admissionCheck": True}],
                                        "limits": {"maxBodyBytes": 262144}})

    async def open(self, routes=None, tenants=None):
        routes = routes or [
            {"name": "urgent", "host": "q.example", "pathPrefix": "/urgent/", "service": "pool", "priority": 0,
             "attempts": 2, "stretch": 1.5, "sloMs": 250},
            {"name": "batch", "host": "q.example", "pathPrefix": "/batch/", "service": "pool", "priority": 1,
             "attempts": 4, "stretch": 3, "sloMs": 1000},
        ]
        tenants = tenants or [{"name": "ant", "apiKeys": ["key-ant"], "guaranteed": {"gpu": 0}},
                              {"name": "bee", "apiKeys": ["key-bee"], "guaranteed": {"gpu": 0}}]
        self.config(1, routes, tenants)
        self.servers.append(await serve(self.ip(1), TABLE, self.table.handle))
        self.servers.append(await serve(self.ip(2), TABLE, self.machine_list))
        self.workers = [Worker(self, number) for number in range(self.count)]
        for worker in self.workers:
            await worker.listen()
            self.tasks.append(asyncio.ensure_future(worker.work()))
        for number in range(self.entries):
            self.start_process("entry-%d" % number)
        for number in range(self.count):
            self.start_process("agent-%d" % number)
        for worker in self.workers:
            self.tasks.append(asyncio.ensure_future(worker.heartbeats()))
        self.tasks.append(asyncio.ensure_future(self.watch()))
        end = time.monotonic() + 15
        while time.monotonic() < end:
            ready = [await request(self.address(n, READY), "GET", "/v1/readyz", timeout=1) for n in range(self.entries)]
            if all(answer[0] == 200 for answer in ready):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the entries were not ready within 15 s")

    async def machine_list(self, method, path, headers, body):
        if path == "/v1/machine-upkeep":
            return await self.upkeep(json.loads(body), headers)
        machines = [{"machine": w.machine, "pool": "pool", "state": w.machine_state, "zone": "z1",
                     "labels": ["a", "r%d" % (w.number // 3)], "capacity": w.room, "id": w.id if w.machine_state == "up" else ""} for w in self.workers]
        return 200, {"machines": machines, "nextToken": ""}

    async def upkeep(self, said, headers):
        """Takes a machine down for its upkeep: what runs there ends, and a new worker joins after `upkeepS`."""
        worker = next((w for w in self.workers if w.machine == said["machine"]), None)
        fence = int(headers.get("x-quincewheel-fencing-token", 0))
        if worker is None:
            return 400, {}
        if fence < worker.machine_fence:
            return 409, {"reason": "fence"}
        worker.machine_fence = fence
        if said["machine"] not in self.waves.get(said["wave"], ()):
            return 409, {"reason": "wave"}
        if said["wave"] in worker.waves:
            return 200, {}
        if worker.machine_state != "up":
            return 409, {"reason": "busy"}
        worker.waves.add(said["wave"])
        self.on_upkeep(worker)
        worker.machine_state = "upkeep"
        worker.gone()

        async def back():
            await asyncio.sleep(self.upkeep_s)
            worker.reborn()
            await worker.listen()
            worker.machine_state = "up"
            self.record.line("machine %s is up again" % worker.machine)
        self.tasks.append(asyncio.ensure_future(back()))
        return 200, {}

    def on_upkeep(self, worker):
        self.record.line("machine %s is taken down, with %s" % (worker.machine, sorted(worker.running)))

    def address(self, number, port=FRONT):
        return "%s:%d" % (self.ip(10 + number), port)

    def start_process(self, name):
        role, number = name.split("-")
        entry = role == "entry"
        ip = self.ip((10 if entry else 50) + int(number))
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w") as file:
            file.write(self.settings(name, ip, entry))
        program = os.path.join(self.root, "target", "release", "quincewheel-" + role)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C.UTF-8",
               "QUINCEWHEEL_CONFIG": path, "QUINCEWHEEL_FLEET_KEY": KEY}
        process = subprocess.Popen([program], cwd=self.root, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.processes[name] = process
        self.record.line("process %s started" % name)

    async def watch(self):
        """Starts processes again that ended by themselves, as the platform does."""
        while True:
            await asyncio.sleep(0.2)
            for name, process in list(self.processes.items()):
                if process.poll() is not None:
                    self.exits.append((name, process.returncode))
                    self.record.line("process %s ended by itself with code %s" % (name, process.returncode))
                    await asyncio.sleep(0.5)
                    self.start_process(name)

    def resident_mb(self, name):
        try:
            with open("/proc/%d/status" % self.processes[name].pid) as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def processor_s(self, name):
        try:
            with open("/proc/%d/stat" % self.processes[name].pid) as file:
                fields = file.read().rsplit(")", 1)[1].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        except OSError:
            return 0.0

    # What tasks need and how long they take: by the job that a client submitted.
    def known(self, task):
        job, _, step, _ = task.split(".")
        body = self.jobs.get(job, {"steps": [{}]})
        step = body["steps"][int(step)]
        need = {name: step.get(name, 0) for name in ("cpu", "memMb", "gpu")}
        if step.get("fills"):
            need["cpu"] = 0
        ms = None if step.get("perpetual") else body.get("ms", step.get("estimateMs", 100))
        return need, ms, "done"

    def on_start(self, worker, task, run, said):
        self.starts.append((time.monotonic(), worker.number, task, run))
        if len(self.starts) <= 2000:
            self.record.line("worker %d starts %s run %d" % (worker.number, task, run))

    def on_end(self, worker, task, run, how):
        self.ends.append((time.monotonic(), worker.number, task, run, how))
        if len(self.ends) <= 2000:
            self.record.line("worker %d ends %s run %d: %s" % (worker.number, task, run, how))

    async def call(self, entry, method, path, body=None, key="key-ant", timeout=3.0, quiet=False):
        headers = [("X-Quincewheel-Deadline-Ms", str(int(timeout * 1000)))]
        if key:
            headers.append(("Authorization", "Token " + key))
        sent = time.monotonic()
        status, answered, content = await request(self.address(entry), method, path, body, headers, timeout)
        if not quiet:
            text = content[:120].decode("latin-1")
            self.record.line("client at entry-%d: %s %s -> %s %s (%d ms)"
                             % (entry, method, path, status or "no answer", text, (time.monotonic() - sent) * 1000))
        return status, content

    async def submit(self, entry, queue, body, id=None, key="key-ant", timeout=3.0, quiet=False):
        id = id or "%016x" % random.getrandbits(64)
        self.jobs[id] = body
        sent = {name: value for name, value in body.items() if name != "ms"}
        status, _ = await self.call(entry, "POST", "/%s/%s" % (queue, id), sent, key, timeout, quiet)
        return id, status

    async def state(self, entry, queue, id, key="key-ant", timeout=3.0):
        status, content = await self.call(entry, "GET", "/%s/%s" % (queue, id), None, key, timeout)
        try:
            return status, json.loads(content).get("state") if status == 200 else None
        except ValueError:
            return status, None

    def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for server in self.servers + [worker.server for worker in getattr(self, "workers", [])]:
            server.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case, path, limit=118.0, **options):
    """Plays `case(deployment, trouble)`, which returns whether the rule held, and ends with the code of
    the issue: 0 held, 1 broken, 2 could not run."""
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        deployment = Deployment(record, **options)
        # Whoever ends the script ends what it started.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            await deployment.open()
            return 0 if await case(deployment, trouble) else 1
        finally:
            deployment.close()

    try:
        code = asyncio.run(asyncio.wait_for(play(), limit))
    except (Exception, asyncio.CancelledError) as error:  # a fault of the script is no broken rule
        record.line("could not run: %r" % error)
        print("could not run: %r" % error)
        code = 2
    record.line("exit code %d" % code)
    sys.exit(code)
