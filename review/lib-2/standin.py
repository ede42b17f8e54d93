"""Stand-ins for the platform, minions and clients, as PROTOCOL.md describes them, and the nodes under test as processes.

Everything runs on loopback addresses and the real clock. Standard library only.
"""
import asyncio
import base64
import bisect
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "thistle-scheduler")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
HOST = "pule25.example"
# The bounds gang_ms and save_s.
GANG_S, SAVE_S = 3.0, 0.5
START = time.monotonic()


class CannotRun(Exception):
    """The case could not be set up."""


def now():
    """Seconds since the script began."""
    return time.monotonic() - START


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():8.3f} s  {text}\n")
        self.file.flush()


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0) or 0))
    path, _, query = target.partition("?")
    params = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
    return method, path, params, headers, body


def encode_reply(status, body):
    if not isinstance(body, (bytes, bytearray)):
        body = json.dumps(body).encode()
        kind = "application/json"
    else:
        kind = "application/octet-stream"
    head = f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + bytes(body)


class Server:
    """An HTTP/1.1 server. `handle` returns (status, body), or None to leave the call without an answer."""

    def __init__(self):
        self.server = None
        self.addr = None
        self.writers = set()

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=512)
        self.addr = self.server.sockets[0].getsockname()[:2]

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                reply = await self.handle(*request)
                if reply is None:
                    # The connection says nothing further.
                    await asyncio.sleep(3600)
                writer.write(encode_reply(*reply))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, params, headers, body):
        raise NotImplementedError


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.epochs = {}
        self.grown = asyncio.Event()
        self.append_lock = asyncio.Lock()

    def push(self, records):
        offset = len(self.records)
        for i, (key, value, raw) in enumerate(records):
            if value:
                self.newest[key] = (offset + i, value)
            else:
                self.newest.pop(key, None)
            self.records.append(raw)
        if records:
            grown, self.grown = self.grown, asyncio.Event()
            grown.set()
        return {"offset": offset, "end": len(self.records)}


class Store(Server):
    """The metadata store: a log with keyed topics. Each partition takes its appends one after another, 4 ms each."""

    APPEND_S = 0.004

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.parts = {}
        # Called for each append before it is done; may return "lost" (done at once, no answer), or a number of seconds (done so
        # much later if its condition still holds, no answer).
        self.append_fault = None
        self.on_append = None

    def part(self, topic, number):
        return self.parts.setdefault((topic, int(number)), Partition())

    def put(self, topic, key, value, part=0):
        """Writes a record as the operator or a minion."""
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        raw = bytes([len(key)]) + key.encode() + (value or b"")
        return self.part("keyed." + topic, part).push([(key, value or b"", raw)])

    def value(self, topic, key, part=0):
        found = self.part("keyed." + topic, part).newest.get(key)
        return json.loads(found[1]) if found else None

    @staticmethod
    def unframe(body):
        records, at = [], 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            raw = body[at + 4:at + 4 + size]
            at += 4 + size
            key = raw[1:1 + raw[0]].decode()
            records.append((key, raw[1 + raw[0]:], raw))
        return records

    async def handle(self, method, path, params, headers, body):
        call = path.rsplit("/", 1)[-1]
        part = self.part(params.get("topic", ""), params.get("part", 0))
        if call == "log-append":
            return await self.append(part, params, body)
        if call == "log-read":
            return await self.read(part, params)
        if call == "log-newest":
            return self.newest(part, params)
        return 404, {}

    async def append(self, part, params, body):
        records = self.unframe(body)
        fault = self.append_fault(params, records) if self.append_fault else None
        if isinstance(fault, (int, float)):
            asyncio.get_running_loop().call_later(fault, self.do_append, part, params, records)
            return None
        async with part.append_lock:
            await asyncio.sleep(self.APPEND_S)
            reply = self.do_append(part, params, records)
        return None if fault == "lost" else reply

    def do_append(self, part, params, records):
        if "at" in params and int(params["at"]) != len(part.records):
            return 412, {"end": len(part.records)}
        if "epoch" in params:
            epoch, sequence = int(params["epoch"]), int(params["sequence"])
            writer = part.epochs.setdefault(params.get("producer", ""), {"epoch": 0, "last": None, "answers": {}})
            if epoch < writer["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > writer["epoch"]:
                writer.update(epoch=epoch, last=None, answers={})
            if sequence in writer["answers"]:
                return 200, writer["answers"][sequence]
            if writer["last"] is not None and sequence != writer["last"] + 1:
                return 409, {"reason": "seq", "sequence": writer["last"] + 1}
            writer["last"] = sequence
            answer = part.push(records)
            writer["answers"][sequence] = answer
            for old in sorted(writer["answers"])[:-5]:
                del writer["answers"][old]
        else:
            answer = part.push(records)
        if self.on_append:
            self.on_append(params, records, answer)
        return 200, answer

    async def read(self, part, params):
        start, wait = int(params.get("from", 0)), min(int(params.get("waitMs", 0)), 30000) / 1000
        if start >= len(part.records) and wait > 0:
            try:
                await asyncio.wait_for(part.grown.wait(), wait)
            except asyncio.TimeoutError:
                pass
        await asyncio.sleep(0.001)
        limit, size, out = int(params.get("max_kb", 1024)) * 1024, 0, bytearray()
        for raw in part.records[start:]:
            size += len(raw) + 4
            if size > limit and out:
                break
            out += struct.pack(">I", len(raw)) + raw
        return 200, struct.pack(">QQ", len(part.records), 0) + bytes(out)

    def newest(self, part, params):
        after = params.get("dependsOn", "")
        keys = sorted(part.newest)
        start = bisect.bisect_right(keys, after) if after else 0
        page = keys[start:start + 500]
        items = [
            {"key": k, "value": base64.b64encode(part.newest[k][1]).decode(), "offset": part.newest[k][0]}
            for k in page
        ]
        return 200, {"items": items, "more": start + 500 < len(keys), "end": len(part.records)}


class Minion(Server):
    """A worker. The text of a job says how its tasks behave: `ms=N` is how long they run; without it they run on."""

    def __init__(self, platform, machine, number):
        super().__init__()
        self.platform, self.machine = platform, machine
        self.id = f"i-{machine.name}-{number}"
        self.born = time.monotonic()
        self.fence, self.deadline = 0, 0
        self.running, self.barred, self.ended, self.last_end = {}, {}, [], 0
        self.capacity = {"cpu": 16000, "memMb": 32768, "gpu": 0}
        self.changed = asyncio.Event()
        self.sequence, self.state, self.alive = 0, "ready", True
        self.tasks = []
        # Whether the lease is over, and when it was over.
        self.lapsed, self.lapses = True, []
        # Called for each call; may return "lost" or a number of seconds for an order that is carried out late.
        self.fault = None

    def clock(self):
        return int((time.monotonic() - self.born) * 1000)

    async def start(self):
        await self.listen(self.platform.ip(200))
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.watch_lease())]
        return self

    def entry(self):
        self.sequence += 1
        return {
            "service": self.machine.pool, "address": f"{self.addr[0]}:{self.addr[1]}", "zone": self.machine.zone,
            "version": "v1", "slots": 8, "state": self.state, "coldRemainingMs": 0, "capacity": self.capacity,
            "labels": self.machine.labels, "clockMs": self.clock(), "sequence": self.sequence,
            "machine": self.machine.name,
        }

    async def beat(self):
        while True:
            self.platform.store.put("servers", self.id, self.entry())
            await asyncio.sleep(1.5)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.clock() < self.deadline:
                self.lapsed = False
            elif not self.lapsed:
                self.lapsed, self.lapses = True, self.lapses + [now()]
                for task in list(self.running):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task, None)
        if not run:
            return
        run["timer"] and run["timer"].cancel()
        if how != "done":
            self.platform.leave_gang(task, run["attempt"])
        self.last_end += 1
        self.ended.append([self.last_end, task, run["attempt"], how, ""])
        self.barred[task] = max(self.barred.get(task, 0), run["attempt"])
        self.platform.ran(self, task, run["attempt"], how)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def die(self, remove_entry=True):
        """The minion and all that runs on it are gone."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        for task, run in list(self.running.items()):
            run["timer"] and run["timer"].cancel()
            self.platform.ran(self, task, run["attempt"], "gone with its minion")
        self.running.clear()
        self.close()
        if remove_entry:
            self.platform.store.put("servers", self.id, None)

    def refuse(self, reason):
        return 409, {"clockMs": self.clock(), "reason": reason}

    async def handle(self, method, path, params, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        call = path.rsplit("/", 1)[-1]
        body = json.loads(body or b"{}")
        fault = self.fault(call, body) if self.fault else None
        if isinstance(fault, (int, float)):
            asyncio.get_running_loop().call_later(fault, self.do, call, body)
            return None
        if call == "hold":
            return await self.hold(body)
        await asyncio.sleep(self.platform.order_s)
        reply = self.do(call, body)
        return None if fault == "lost" else reply

    def do(self, call, body):
        if not self.alive:
            return 503, {}
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return self.refuse("fence")
        self.fence = token
        if call == "run-start":
            return self.start_run(body)
        if call == "run-stop":
            task, attempt = body["task"], body["attempt"]
            self.barred[task] = max(self.barred.get(task, 0), attempt)
            if task in self.running and self.running[task]["attempt"] == attempt:
                asyncio.get_running_loop().call_later(0.1, self.end, task, "stopped")
        return 200, {"clockMs": self.clock()}

    def extend(self, deadline):
        if deadline:
            self.deadline = max(self.deadline, min(deadline, self.clock() + 10000))

    def start_run(self, body):
        task, attempt = body["task"], body["attempt"]
        self.extend(body.get("deadlineMs"))
        run = self.running.get(task)
        if run and run["attempt"] == attempt:
            return 200, {"clockMs": self.clock()}
        if attempt <= self.barred.get(task, 0) or run:
            return self.refuse("old")
        if body.get("deadlineMs", 0) <= self.clock():
            return self.refuse("late")
        advice = self.platform.advice
        if advice and task.split(".")[0] in advice.jobs and body.get("ticket") != f"{task.rsplit('.', 1)[0]}/{self.id}":
            return self.refuse("ticket")
        words = dict(word.split("=", 1) for word in body.get("spec", "").split() if "=" in word)
        # The work of which a checkpoint tells.
        before = int(body["checkpoint"].split("/")[1]) if body.get("checkpoint") else 0
        run = self.running[task] = {"attempt": attempt, "timer": None, "since": time.monotonic(), "before": before,
                                    "saves": int(words.get("saves", 0))}
        self.platform.ran(self, task, attempt, "begins", body.get("fencingToken"))
        if "gang" in words:
            self.platform.join_gang(self, task, attempt, int(words["gang"]), int(words["ms"]))
        elif "ms" in words:
            run["timer"] = asyncio.get_running_loop().call_later((int(words["ms"]) - before) / 1000, self.end, task, "done")
        return 200, {"clockMs": self.clock()}

    @staticmethod
    def checkpoint(task, run, at):
        """The text that a run has saved: its task, and of how many milliseconds of work it tells, filled up to its length."""
        done = int((at - run["since"]) / SAVE_S)
        if not run["saves"] or not done:
            return ""
        return f"{task}/{run['before'] + int(done * SAVE_S * 1000)}/".ljust(run["saves"], ".")

    async def hold(self, body):
        if body.get("fencingToken", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("fencingToken", 0)
        self.extend(body.get("deadlineMs"))
        for end in [e for e in self.ended if e[0] <= body.get("lastSeen", 0)]:
            self.ended.remove(end)
            self.platform.noted(self, end)
        if not self.ended and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.changed.wait(), min(body["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        await asyncio.sleep(0.001)
        age = time.monotonic()
        rows = [
            [t, r["attempt"], self.checkpoint(t, r, age), 100 if age - r["since"] > 1 else 50]
            for t, r in self.running.items()
        ]
        return 200, {"clockMs": self.clock(), "running": rows, "finished": self.ended[:500]}


class Machine:
    def __init__(self, name, pool, zone, rack):
        self.name, self.pool, self.zone = name, pool, zone
        self.labels = ["a", rack]
        self.state, self.minion, self.number, self.kept_up = "up", None, 0, set()


class Machines(Server):
    """The machine service. Fences are not checked. All orders that arrive are kept in `orders`."""

    MOVE_S, UPKEEP_S = 1.5, 2.0

    def __init__(self, platform):
        super().__init__()
        self.platform, self.machines, self.orders = platform, {}, []

    async def add(self, name, pool, zone="hal-a", rack="r1-1"):
        machine = self.machines[name] = Machine(name, pool, zone, rack)
        await self.bring_up(machine)
        return machine

    async def bring_up(self, machine):
        machine.state = "up"
        if machine.pool != self.platform.off_pool:
            machine.number += 1
            machine.minion = await Minion(self.platform, machine, machine.number).start()

    def take_down(self, machine, state):
        machine.state = state
        if machine.minion:
            machine.minion.die()
            machine.minion = None

    async def handle(self, method, path, params, headers, body):
        call = path.rsplit("/", 1)[-1]
        await asyncio.sleep(0.005)
        if call == "machines":
            rows = [
                {"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels,
                 "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0}, "id": m.minion.id if m.minion else ""}
                for m in self.machines.values()
            ]
            return 200, {"machines": rows, "nextPageToken": None}
        body = json.loads(body)
        holder, token = headers.get("lease-holder", ""), int(headers.get("fencing-token", 0))
        what = f"to pool {body['pool']}" if call == "machine-move" else f"upkeep for wave {body['wave']}"
        reply = self.order(call, body)
        said = f"{reply[0]} {reply[1].get('reason', '')}".strip()
        self.orders.append({"at": now(), "machine": body["machine"], "holder": holder, "token": token, "what": what})
        self.platform.record(f"order for {body['machine']} ({what}) from {holder}, token {token}: {said}")
        return reply

    def order(self, call, body):
        machine = self.machines.get(body["machine"])
        if machine is None:
            return 400, {}
        if call == "machine-move":
            if machine.pool == body["pool"]:
                return 200, {}
            if machine.state != "up":
                return 409, {"reason": "busy"}
            self.take_down(machine, "moving")
            machine.pool = body["pool"]
            delay = self.MOVE_S
        else:
            if body["wave"] in machine.kept_up:
                return 200, {}
            if machine.state != "up":
                return 409, {"reason": "busy"}
            machine.kept_up.add(body["wave"])
            self.take_down(machine, "upkeep")
            delay = self.UPKEEP_S
        asyncio.get_running_loop().call_later(
            delay, lambda: asyncio.ensure_future(self.bring_up(machine)))
        return 200, {}


class Advice(Server):
    """The service that says which minions may run a step: those on the machines `allowed`."""

    def __init__(self, platform, policy):
        super().__init__()
        self.platform, self.policy, self.allowed, self.jobs = platform, policy, set(), set()

    async def handle(self, method, path, params, headers, body):
        body = json.loads(body)
        named = body["workers"]
        await asyncio.sleep((self.policy["decide_ms"] + self.policy["each_ms"] * len(named)) / 1000)
        good = [[w, f"{body['phase']}/{w}"] for w in named if self.machine_of(w) in self.allowed]
        self.platform.record(f"advice on {body['phase']}: {len(named)} minions named, {len(good)} may run it")
        return 200, {"good": good, "valid_ms": self.policy["valid_ms"]}

    def machine_of(self, minion):
        machines = self.platform.machines.machines.values()
        return next((m.name for m in machines if m.minion and m.minion.id == minion), None)


class Proxy:
    """Passes bytes on between one node and a server. `cut` holds all bytes back in both directions, and new connections too."""

    def __init__(self, target):
        self.target, self.open = target, asyncio.Event()
        self.open.set()
        self.server = self.addr = None

    async def listen(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, backlog=512)
        self.addr = self.server.sockets[0].getsockname()[:2]

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def serve(self, reader, writer):
        await self.open.wait()
        try:
            there_reader, there_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(self.copy(reader, there_writer), self.copy(there_reader, writer))
        except asyncio.CancelledError:
            # The script ends.
            return

    async def copy(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Node:
    """A node under test: the program of the deploy file as a process."""

    def __init__(self, platform, name, zone, ip, cpu_share=0.25, link_mbps=1000.0, store=None):
        self.platform, self.name, self.ip = platform, name, ip
        self.store = store or platform.store.addr
        self.process = None
        # The times at which the process was disturbed: started, or sent a signal.
        self.disturbed = []
        self.settings = os.path.join(platform.folder, f"{name}.yaml")
        machines = platform.machines.addr
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""name: {name}
hall: {zone}
listen: {ip}:8624
readiness_listen: {ip}:8622
metrics_listen: {ip}:9464
relay_listen: {ip}:7060
store: {self.store[0]}:{self.store[1]}
machine_service: {machines[0]}:{machines[1]}
{f"advice: {platform.advice.addr[0]}:{platform.advice.addr[1]}" if platform.advice else ""}
link_mbps: {link_mbps}
cpu_share: {cpu_share}
max_append_bytes: 2097152
max_record_bytes: 262144
max_task_lease: 10000ms
machine_order_gap: 3000ms
cancel_within: 3000ms
keep_settled: 120s
stop_grace: 6s
contracts: {json.dumps(CONTRACTS)}
log:
  output: stdout
""")
        self.log = os.path.join(platform.folder, f"{name}.log")

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([PROGRAM, "run", self.settings], stdout=log, stderr=log, cwd=ROOT)
        self.disturbed.append(now())
        self.platform.record(f"{self.name} is started")

    def signal(self, number):
        self.process.send_signal(number)
        self.disturbed.append(now())
        self.platform.record(f"{self.name} gets {signal.Signals(number).name}")

    async def stopped(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.disturbed.append(now())
        self.platform.record(f"{self.name} has ended")

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def in_touch(self, at, contact_s=3.0):
        """Whether the process ran undisturbed throughout the contact time before `at`, as far as the script disturbs it."""
        return not any(at - contact_s <= t <= at for t in self.disturbed)

    async def ready(self):
        try:
            status, _ = await call(self.ip, 8622, "GET", "/thistlelanding/readyz", timeout=1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def call(ip, port, method, path, body=None, timeout=3.0, headers=()):
    """Makes a call on a connection of its own and returns its status and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Content-Type: application/json",
                     f"Content-Length: {len(data)}", *headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ")[1])
            size = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("content-length:"):
                    size = int(line.split(":")[1])
            return status, await reader.readexactly(size)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Platform:
    """The whole set-up of a case."""

    def __init__(self, case_folder, off_pool="member-portal", pools=("quote-desk",), service=None):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="thistle-review-")
        # Each queue has the name of its service, unless `service` serves them all.
        self.off_pool, self.pools, self.service = off_pool, pools, service
        self.net = (random.randint(30, 119), random.randint(1, 250))
        self.store, self.machines = Store(self.record), Machines(self)
        self.nodes, self.runs = [], []
        self.version = 0
        # The members of each run of a gang that are present, by job, time, step and attempt.
        self.gangs = {}
        # The service that says which minions may run a step, and the policy of the queues, if any.
        self.advice = self.advice_policy = None
        # How long a minion takes to answer an order.
        self.order_s = 0.001

    def ip(self, host):
        return f"127.{self.net[0]}.{self.net[1]}.{host}"

    async def open(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"no program at {PROGRAM}: run the build of the deploy file first")
        for _ in range(20):
            try:
                await self.store.listen(self.ip(1), 7100)
                await self.machines.listen(self.ip(1), 7200)
                break
            except OSError:
                self.net = (random.randint(30, 119), random.randint(1, 250))
        else:
            raise CannotRun("no free loopback addresses")
        self.configure()

    def configure(self):
        self.version += 1
        routes = [
            {"name": f"r-{pool}", "host": HOST, "pathPrefix": f"/{pool}/", "kind": "unsafe", "timeoutMs": 3000,
             "targetLatencyMs": 600, "priority": 0, "service": self.service or pool, "maxAttempts": 4, "extension": 1.6}
            for pool in self.pools
        ]
        if self.advice_policy:
            for route in routes[:1]:
                route["advice"] = self.advice_policy
        services = [{"name": name, "preconditions": False} for name in ([self.service] if self.service else self.pools)]
        if self.off_pool:
            services.append({"name": self.off_pool, "preconditions": False, "headroom": True})
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 30000}
        self.store.put("op", "config", {"version": self.version, "routes": routes, "services": services, "limits": limits})

    def add_node(self, name, zone="hal-a", **settings):
        node = Node(self, name, zone, self.ip(10 + len(self.nodes)), **settings)
        self.nodes.append(node)
        return node

    def node(self, name):
        return next(node for node in self.nodes if node.name == name)

    async def until_ready(self, nodes=None, timeout=20):
        await self.until(f"the nodes are ready", lambda: self.all_ready(nodes or self.nodes), timeout)

    @staticmethod
    async def all_ready(nodes):
        return all(await asyncio.gather(*(node.ready() for node in nodes)))

    async def until(self, what, condition, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.02)
        raise CannotRun(f"not within {timeout} s: {what}")

    def owner(self, shard):
        """Returns the name of the node that owns a pool, or the machines if `shard` is "#fleet"."""
        claim = self.store.value("control", f"owner/{shard}")
        return None if claim is None or claim.get("released") else claim["owner"]["name"]

    def sender(self, token):
        """Returns the node whose claim has the token of an order: the token's upper part is the claim's offset and one."""
        raws = self.store.part("keyed.control", 0).records
        offset = (token >> 24) - 1
        if not 0 <= offset < len(raws):
            return None
        raw = raws[offset]
        claim = json.loads(raw[1 + raw[0]:] or b"{}")
        return next((node for node in self.nodes if node.name == claim.get("owner", {}).get("name")), None)

    def noted(self, minion, end):
        """A minion forgets an end that was taken note of."""
        self.record(f"{end[1]} run {end[2]} on {minion.id}: its end, {end[3]}, is taken note of")

    def ran(self, minion, task, attempt, how, token=None):
        self.runs.append({"at": now(), "task": task, "attempt": attempt, "minion": minion, "how": how, "token": token})
        by = f", token {token}" if token is not None else ""
        self.record(f"{task} run {attempt} on {minion.id}: {how}{by}")

    def join_gang(self, minion, task, attempt, size, work_ms):
        """A member waits `gang_ms` for the others. Once all are present, they work and end together."""
        loop = asyncio.get_running_loop()
        key = (task.rsplit(".", 1)[0], attempt)
        members = self.gangs.setdefault(key, {})
        members[task] = minion
        if len(members) < size:
            minion.running[task]["timer"] = loop.call_later(GANG_S, minion.end, task, "alone")
            return
        for member, host in members.items():
            run = host.running.get(member)
            if run:
                run["timer"] and run["timer"].cancel()
                run["timer"] = loop.call_later(work_ms / 1000, host.end, member, "done")

    def leave_gang(self, task, attempt):
        """Another member has ended: those that are present end too."""
        members = self.gangs.get((task.rsplit(".", 1)[0], attempt))
        if members and members.pop(task, None):
            for member, host in list(members.items()):
                members.pop(member, None)
                # Each member that waits in vain ends by itself, "alone".
                run = host.running.get(member)
                if run and run["attempt"] == attempt and not self.waits_alone(run):
                    asyncio.get_running_loop().call_soon(host.end, member, "broken")

    @staticmethod
    def waits_alone(run):
        return time.monotonic() - run["since"] <= GANG_S + 0.1 and run["timer"] is not None

    def close(self):
        for node in self.nodes:
            if node.alive():
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                except ProcessLookupError:
                    pass
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        for machine in self.machines.machines.values():
            if machine.minion:
                machine.minion.close()
        self.store.close()
        self.machines.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case, folder, limit_s=115, **options):
    """Runs a case and exits with 1 if it returns a broken rule, 0 if it returns None, and 2 if it could not run."""

    async def main():
        platform = Platform(folder, **options)
        try:
            await platform.open()
            return await asyncio.wait_for(case(platform), limit_s)
        finally:
            platform.close()

    try:
        broken = asyncio.run(main())
    except (CannotRun, asyncio.TimeoutError, OSError) as e:
        print(f"could not run: {e or type(e).__name__}")
        sys.exit(2)
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
