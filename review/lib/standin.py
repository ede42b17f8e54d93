"""Stand-ins for the platform, its workers ("minions") and its clients, as PROTOCOL.md describes them.

Standard library only. Everything listens on loopback addresses of one random 127.x.y.0/24 net and on
free ports. The scheduler itself runs as real processes, started with the command of the deploy file.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/release/thistle-scheduler"
HOST = "jobs.example"

# Bounds of the small deployment `budnet-dk`, in seconds.
MAX_LOCK_S = 10.0
MOVE_S = 1.5
UPKEEP_S = 2.0
HEARTBEAT_S = 1.5
APPEND_S = 0.004


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """Reads one HTTP/1.1 message; returns its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


async def serve(ip, answer):
    """Serves `answer(method, path, query, headers, body)`, which returns (status, body) or None to
    close the connection without an answer. Returns the server and its port."""

    async def handle(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                result = await answer(method, unquote(url.path), query, headers, body)
                if result is None:
                    return
                status, out = result
                if not isinstance(out, (bytes, bytearray)):
                    out = json.dumps(out).encode()
                    kind = "application/json"
                else:
                    kind = "application/octet-stream"
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(out)}\r\n\r\n".encode()
                    + out
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle, ip, 0, limit=16 * 1024 * 1024, backlog=1024)
    return server, server.sockets[0].getsockname()[1]


async def call(addr, method, path, body=None, host=HOST, timeout=3.0):
    """Makes one call on a new connection; returns (status, body), or (None, reason) without an answer."""

    async def exchange():
        ip, port = addr
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            if body is not None:
                head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
            head += f"Deadline-Ms: {int(timeout * 1000)}\r\n\r\n"
            writer.write(head.encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "connection closed"
            first, _, out = message
            return int(first.split(" ")[1]), out
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except OSError as e:
        return None, str(e)


def reason_of(answer):
    status, out = answer
    if status is None:
        return f"no answer ({out})"
    return f"{status} {out.decode(errors='replace')}".strip()


# ---------------------------------------------------------------- store

class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.epoch = -1
        self.sequence = None
        self.answers = {}
        self.queue = asyncio.Lock()
        self.changed = asyncio.Event()


def parse_frames(body):
    records, at = [], 0
    while at < len(body):
        (length,) = struct.unpack_from(">I", body, at)
        record = body[at + 4 : at + 4 + length]
        at += 4 + length
        key_len = record[0]
        records.append((record[1 : 1 + key_len].decode(), bytes(record[1 + key_len :])))
    return records


def frame(records):
    out = bytearray()
    for key, value in records:
        key = key.encode()
        out += struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
    return bytes(out)


class Store:
    """The metadata store: a log with topics, partitions and the newest record of each key."""

    RECORD_BYTES = 262_144
    CALL_BYTES = 2_097_152

    def __init__(self, record):
        self.record = record
        self.parts = {}

    def part(self, topic, part):
        return self.parts.setdefault((topic, part), Partition())

    def push(self, topic, part, records):
        p = self.part(topic, part)
        offset = len(p.records)
        for i, (key, value) in enumerate(records):
            p.records.append((key, value))
            if value:
                p.newest[key] = (offset + i, value)
            else:
                p.newest.pop(key, None)
        p.changed.set()
        p.changed = asyncio.Event()
        return {"offset": offset, "end": len(p.records)}

    def put(self, topic, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self.push("keyed." + topic, 0, [(key, data)])

    async def answer(self, method, path, query, headers, body):
        topic, part = query.get("topic", ""), int(query.get("part", -1))
        if not topic.startswith("keyed.") or part < 0:
            return 400, b""
        if path == "/thistlelanding/log-append":
            return await self.append(topic, part, query, body)
        if path == "/thistlelanding/log-read":
            return await self.read(topic, part, query)
        if path == "/thistlelanding/log-newest":
            return self.newest(topic, part, query)
        return 404, b""

    async def append(self, topic, part, query, body):
        p = self.part(topic, part)
        async with p.queue:
            await asyncio.sleep(APPEND_S)
            try:
                records = parse_frames(body)
            except (struct.error, IndexError, UnicodeDecodeError):
                return 400, b""
            longest = max((1 + len(k.encode()) + len(v) for k, v in records), default=0)
            if longest > self.RECORD_BYTES or len(body) > self.CALL_BYTES:
                self.record(f"store: append to {topic}/{part} refused with 413: a record of {longest} bytes")
                return 413, b""
            if topic == "keyed.servers":
                return 403, b""
            if "at" in query and int(query["at"]) != len(p.records):
                return 412, {"end": len(p.records)}
            if "epoch" not in query:
                return 200, self.push(topic, part, records)
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            if epoch < p.epoch:
                return 409, {"reason": "fenced"}
            if epoch > p.epoch:
                p.epoch, p.sequence, p.answers = epoch, None, {}
            if sequence in p.answers:
                return 200, p.answers[sequence]
            if p.sequence is not None and sequence != p.sequence + 1:
                return 409, {"reason": "seq", "sequence": p.sequence + 1}
            p.sequence = sequence
            p.answers[sequence] = self.push(topic, part, records)
            for old in [s for s in p.answers if s <= sequence - 5]:
                del p.answers[old]
            return 200, p.answers[sequence]

    async def read(self, topic, part, query):
        p = self.part(topic, part)
        start = int(query["from"])
        limit = int(query.get("max_kb", 1024)) * 1024
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while start >= len(p.records):
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(p.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        await asyncio.sleep(0.002)
        out, size = [], 0
        for key, value in p.records[start:]:
            size += 5 + len(key) + len(value)
            if out and size > limit:
                break
            out.append((key, value))
        return 200, struct.pack(">QQ", len(p.records), 0) + frame(out)

    def newest(self, topic, part, query):
        p = self.part(topic, part)
        keys = sorted(k for k in p.newest if k > query.get("dependsOn", ""))
        items, size = [], 0
        for key in keys:
            offset, value = p.newest[key]
            size += len(value)
            if len(items) >= 500 or (items and size > 1_000_000):
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "more": len(items) < len(keys), "end": len(p.records)}


# ---------------------------------------------------------------- workers

class Run:
    def __init__(self, task, attempt, spec, at):
        self.task, self.attempt, self.spec, self.began = task, attempt, spec, at
        self.ms = int(spec.split("ms=")[1].split()[0]) if "ms=" in spec else 500
        self.ended = self.how = self.noted = None


class Worker:
    """One life of a machine. The text of a job, `ms=N`, says how long its tasks run; 0: until stopped."""

    def __init__(self, platform, machine, service, wid, ip):
        self.platform, self.machine, self.service, self.id, self.ip = platform, machine, service, wid, ip
        self.boot = time.monotonic() - random.randint(100, 500)
        self.up = True
        self.fence = 0
        self.deadline = 0
        self.running = {}
        self.barred = {}
        self.finished = []
        self.last_end = 0
        self.wake = asyncio.Event()
        self.sequence = 0

    def clock(self):
        return int((time.monotonic() - self.boot) * 1000)

    async def start(self):
        self.server, self.port = await serve(self.ip, self.answer)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.lease())]

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.machine.zone,
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "capacity": self.machine.capacity, "labels": ["a", self.machine.rack],
            "clockMs": self.clock(), "sequence": self.sequence, "machine": self.machine.name,
        }

    async def beat(self):
        while self.up:
            self.platform.store.put("servers", self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def lease(self):
        while self.up:
            await asyncio.sleep(0.05)
            if self.clock() > self.deadline:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")

    def end(self, run, how):
        if self.running.pop((run.task, run.attempt), None) is None:
            return
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.attempt)
        run.ended, run.how = time.monotonic(), how
        self.last_end += 1
        self.finished.append((self.last_end, run))
        self.platform.record(f"worker {self.id} ({self.service}): end {how} of {run.task} run {run.attempt}")
        self.wake.set()
        self.wake = asyncio.Event()

    async def work(self, run):
        await asyncio.sleep(run.ms / 1000)
        if self.up:
            self.end(run, "done")

    def die(self, said=True):
        """All that runs here dies at once. A worker that crashes says nothing: its entry goes after three
        heartbeats of silence."""
        self.up = False
        for run in self.running.values():
            run.ended, run.how = time.monotonic(), "died"
            self.platform.record(f"worker {self.id} ({self.service}): gone with {run.task} run {run.attempt}")
        self.running = {}
        self.server.close()
        self.wake.set()
        for task in self.tasks:
            task.cancel()
        delay = 0 if said else 3 * HEARTBEAT_S
        asyncio.get_running_loop().call_later(delay, self.platform.store.push, "keyed.servers", 0, [(self.id, b"")])

    async def answer(self, method, path, query, headers, body):
        if not self.up:
            return None
        if path == "/healthz":
            return 200, b""
        if headers.get("expect-instance", self.id) != self.id:
            return 421, b""
        try:
            call = json.loads(body)
        except ValueError:
            return 400, {"clockMs": self.clock()}
        if call.get("fencingToken", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = call.get("fencingToken", 0)
        if "deadlineMs" in call:
            self.deadline = max(self.deadline, min(call["deadlineMs"], self.clock() + int(MAX_LOCK_S * 1000)))
        if path == "/thistlelanding/run-start":
            return self.run_start(call)
        if path == "/thistlelanding/run-stop":
            key = (call["task"], call["attempt"])
            self.barred[key[0]] = max(self.barred.get(key[0], 0), key[1])
            run = self.running.get(key)
            if run:
                asyncio.get_running_loop().call_later(0.1, self.end, run, "stopped")
            return 200, {"clockMs": self.clock()}
        if path == "/thistlelanding/pace":
            return 200, {"clockMs": self.clock()}
        if path == "/thistlelanding/hold":
            return await self.hold(call)
        return 404, b""

    def run_start(self, call):
        def refuse(reason):
            return 409, {"clockMs": self.clock(), "reason": reason}

        key = (call["task"], call["attempt"])
        if key in self.running:
            return 200, {"clockMs": self.clock()}
        if call["attempt"] <= self.barred.get(call["task"], 0):
            return refuse("old")
        if call["deadlineMs"] <= self.clock():
            return refuse("late")
        run = Run(call["task"], call["attempt"], call["spec"], time.monotonic())
        run.worker = self
        self.running[key] = run
        self.platform.runs.append(run)
        self.platform.record(f"worker {self.id} ({self.service}): start of {run.task} run {run.attempt}")
        if run.ms:
            asyncio.create_task(self.work(run))
        return 200, {"clockMs": self.clock()}

    async def hold(self, call):
        seen = call.get("lastSeen", 0)
        for number, run in self.finished:
            if number <= seen and run.noted is None:
                run.noted = time.monotonic()
        self.finished = [(n, r) for n, r in self.finished if n > seen]
        if not self.finished and call.get("waitMs", 0):
            try:
                await asyncio.wait_for(self.wake.wait(), min(call["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        if not self.up:
            return None
        now = time.monotonic()
        running = []
        for (task, attempt), run in self.running.items():
            percent = min(100, int((now - run.began) * 100_000 / (run.ms or 1000)))
            running.append([task, attempt, "", percent])
        finished = [[n, r.task, r.attempt, r.how, ""] for n, r in self.finished[:500]]
        return 200, {"clockMs": self.clock(), "running": running, "finished": finished}


class Machine:
    def __init__(self, name, pool, zone, rack):
        self.name, self.pool, self.zone, self.rack = name, pool, zone, rack
        self.capacity = {"cpu": 16000, "memMb": 32768, "gpu": 0}
        self.state, self.worker, self.maintained = "up", None, set()


class Platform:
    """The store, the machine service, the workers and the operator."""

    def __init__(self, record, net):
        self.record, self.net = record, net
        self.store = Store(record)
        self.machines = {}
        self.runs = []
        self.services = []
        self.lives = 0
        self.next_host = 100

    async def start(self):
        self.store_server, port = await serve(f"{self.net}.1", self.store.answer)
        self.store_addr = f"{self.net}.1:{port}"
        self.cloud_server, port = await serve(f"{self.net}.2", self.cloud)
        self.cloud_addr = f"{self.net}.2:{port}"

    async def add_machines(self, service, count, off=False):
        self.services.append((service, off))
        for i in range(count):
            name = f"m-{service}-{i}"
            machine = Machine(name, service, f"hal-{'abc'[i % 3]}", f"r{1 + i // 4}-{i % 3}")
            self.machines[name] = machine
            machine.ip = f"{self.net}.{self.next_host}"
            self.next_host += 1
            await self.bring_up(machine)

    async def bring_up(self, machine):
        machine.state, machine.worker = "up", None
        if dict(self.services).get(machine.pool):
            return
        self.lives += 1
        wid = f"i-{random.getrandbits(24):06x}{self.lives:02x}"
        machine.worker = Worker(self, machine, machine.pool, wid, machine.ip)
        await machine.worker.start()

    async def crash(self, machine, down_s):
        """The machine's worker crashes, and a new life of it, with a new ID, comes after a while."""
        self.record(f"crash of {machine.name}, worker {machine.worker.id}")
        machine.worker.die(said=False)
        machine.worker, machine.state = None, "down"
        await asyncio.sleep(down_s)
        await self.bring_up(machine)

    def put_config(self, version, routes):
        """Writes a configuration; `routes` are (name, path prefix, service). The store's answer is the
        acknowledgement from which every bound runs."""
        value = {
            "version": version,
            "routes": [
                {"name": n, "host": HOST, "pathPrefix": p, "kind": "unsafe", "timeoutMs": 3000,
                 "targetLatencyMs": 600, "priority": 0, "service": s, "maxAttempts": 2, "extension": 1.6}
                for n, p, s in routes
            ],
            "services": [
                {"name": n, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": False,
                 "preconditions": False, "headroom": off}
                for n, off in self.services
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
        }
        self.store.put("op", "config", value)
        shown = ", ".join(f"{n} {p} -> {s}" for n, p, s in routes)
        self.record(f"operator: configuration {version} acknowledged: {shown}")
        return time.monotonic()

    async def cloud(self, method, path, query, headers, body):
        if path == "/thistlelanding/machines":
            rows = [
                {"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": ["a", m.rack],
                 "capacity": m.capacity, "id": m.worker.id if m.worker else None}
                for m in self.machines.values()
            ]
            return 200, {"machines": rows, "nextPageToken": None}
        if path not in ("/thistlelanding/machine-move", "/thistlelanding/machine-upkeep"):
            return 404, b""
        order = json.loads(body)
        machine = self.machines.get(order["machine"])
        if machine is None:
            return 400, b""
        move = path.endswith("move")
        who = f"{headers.get('lease-holder')} token {headers.get('fencing-token')}"
        self.record(f"machines: {'move' if move else 'upkeep'} {order} from {who}")
        if move and machine.pool == order["pool"] or not move and order["wave"] in machine.maintained:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        machine.state = "moving" if move else "upkeep"
        if machine.worker:
            machine.worker.die()
        machine.worker = None
        if move:
            machine.pool = order["pool"]
        else:
            machine.maintained.add(order["wave"])

        async def later():
            await asyncio.sleep(MOVE_S if move else UPKEEP_S)
            await self.bring_up(machine)

        asyncio.create_task(later())
        return 200, {}


# ---------------------------------------------------------------- the system

def free_ports(ip, count):
    """Returns different free ports: each stays bound until all are found."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for s in sockets:
            s.bind((ip, 0))
        return [s.getsockname()[1] for s in sockets]
    finally:
        for s in sockets:
            s.close()


class Node:
    """One process of the system, with settings as platform/settings.yaml.tmpl gives them."""

    def __init__(self, platform, folder, number, ip, hall):
        self.name = f"frontend-{hall}-{number}"
        listen, ready, metrics, relay = free_ports(ip, 4)
        self.addr, self.ready_addr = (ip, listen), (ip, ready)
        self.settings = os.path.join(folder, self.name + ".yaml")
        self.log = os.path.join(folder, self.name + ".log")
        contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep",
                     "sharing"]
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(
                f"name: {self.name}\nhall: {hall}\nlisten: {ip}:{self.addr[1]}\n"
                f"readiness_listen: {ip}:{self.ready_addr[1]}\nmetrics_listen: {ip}:{metrics}\n"
                f"relay_listen: {ip}:{relay}\nstore: {platform.store_addr}\n"
                f"machine_service: {platform.cloud_addr}\nmax_append_bytes: 2097152\n"
                "max_task_lease: 10000ms\nmachine_order_gap: 3000ms\nkeep_settled: 120s\nstop_grace: 6s\n"
                f"contracts: {json.dumps(contracts)}\nlog:\n  output: stdout\n"
            )
        self.process = None

    def start(self):
        log = open(self.log, "ab")
        self.process = subprocess.Popen([os.path.join(REPO, PROGRAM), "run", self.settings], cwd=REPO,
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def kill(self):
        if self.process:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        return (await call(self.ready_addr, "GET", "/thistlelanding/readyz", timeout=1))[0] == 200


class System:
    """A small deployment: a platform and six nodes in three halls."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.net = f"127.{random.randint(130, 250)}.{random.randint(1, 250)}"
        self.temp = tempfile.mkdtemp(prefix="thistle-review-")
        self.platform = Platform(self.record, self.net)
        self.nodes = []

    async def start(self, pools, routes, nodes=6):
        if not os.path.exists(os.path.join(REPO, PROGRAM)):
            raise CannotRun(f"{PROGRAM} is not built")
        await self.platform.start()
        for service, count, off in pools:
            await self.platform.add_machines(service, count, off)
        self.platform.put_config(1, routes)
        for i in range(nodes):
            self.nodes.append(Node(self.platform, self.temp, i + 1, f"{self.net}.{10 + i}", f"hal-{'abc'[i % 3]}"))
            self.nodes[-1].start()
        await self.until_ready(self.nodes)
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(5)

    async def until_ready(self, nodes, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if all([await n.is_ready() for n in nodes]):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the nodes did not become ready")

    async def client(self, node, method, path, body=None, timeout=3.0):
        answer = await call(node.addr, method, path, body, timeout=timeout)
        self.record(f"client -> {node.name}: {method} {path}: {reason_of(answer)}")
        return answer

    def stop(self):
        for node in self.nodes:
            node.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def state_of(answer):
    status, out = answer
    if status != 200:
        return status
    return json.loads(out).get("state")


def main(folder, case):
    """Runs `case(system, trouble)`, which returns the list of violations. Exits with 1 if there are any,
    with 0 if there are none, and with 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    system = System(folder)
    system.record(f"case in {os.path.basename(folder)}, trouble {'on' if trouble else 'off'}")

    async def go():
        # All of it ends within two minutes, whatever happens.
        return await asyncio.wait_for(case(system, trouble), 110)

    try:
        # The loop is not closed: connections that are still open need no orderly end.
        violations = asyncio.new_event_loop().run_until_complete(go())
        code = 1 if violations else 0
        for line in violations:
            system.record("BROKEN: " + line)
        system.record("result: " + ("rule broken" if violations else "rule held"))
        print("\n".join(violations[:8] + [f"{len(violations)} violations"]) if violations else "rule held")
    except Exception as e:  # noqa: BLE001 - any failure of the set-up means that the case could not run
        system.record(f"result: the case could not run: {type(e).__name__}: {e}")
        print(f"the case could not run: {type(e).__name__}: {e}")
        code = 2
    finally:
        system.stop()
    sys.stdout.flush()
    os._exit(code)
