"""Stand-ins of the platform's store, of runners and of clients, and the start of
carobrill's own programs as separate processes. Python's standard library only.

They follow PROTOCOL.md: the store keeps keyed topics as a log, a runner runs what
it is told and lists ends until they are acknowledged. All addresses are loopback
addresses, and all ports are free ones.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "carobrilld")

# Figures of a small deployment (the settings that the platform fills in).
BOUNDS = {
    "hold_max_ms": 6000,
    "stop_ms": 900,
    "revoke_ms": 5000,
    "status_s": 120,
    "record_bytes": 262144,
    "call_bytes": 2097152,
    "edge_memory_mb": 260,
    "side_memory_mb": 128,
    "checkpoint_interval_s": 0.5,
    "heartbeat_ms": 1500,
}


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now_ms()

    def __call__(self, text):
        self.file.write(f"{now_ms() - self.start:7d} {text}\n")
        self.file.flush()


TAKEN = set()


def free_port(address):
    """A free port below the range from which the system takes ports itself."""
    while True:
        port = random.randrange(21000, 32000)
        if port in TAKEN:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
        TAKEN.add(port)
        return port


# ---------------------------------------------------------------- HTTP server


class Abort(Exception):
    """Resets the connection instead of an answer."""


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
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
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Connection(asyncio.Protocol):
    """One connection of a server; answers its requests in order."""

    def __init__(self, server):
        self.server = server
        self.buffer = b""
        self.waiting = None
        # Nothing passes any more, in either direction, and nobody is told.
        self.silent = False

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        self.server.connections.add(self)

    def connection_lost(self, error):
        self.server.connections.discard(self)
        if self.waiting is not None:
            self.waiting.cancel()

    def data_received(self, data):
        if self.silent:
            return
        self.buffer += data
        if self.waiting is None:
            self.serve()

    def serve(self):
        while True:
            # What arrives after the end of the process is not handled.
            if self.server.server is None:
                self.abort()
                return
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.buffer[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            size = int(headers.get("content-length", 0))
            if len(self.buffer) < end + 4 + size:
                return
            body = self.buffer[end + 4 : end + 4 + size]
            self.buffer = self.buffer[end + 4 + size :]
            method, target, _ = lines[0].split(" ", 2)
            answer = self.server.handle(Request(method, target, headers, body))
            if asyncio.iscoroutine(answer):
                self.waiting = asyncio.ensure_future(self.finish(answer))
                return
            self.respond(*answer)

    async def finish(self, answer):
        try:
            self.respond(*await answer)
        except Abort:
            self.abort()
        self.waiting = None
        self.serve()

    def respond(self, status, answer):
        if self.silent:
            return
        if not isinstance(answer, bytes):
            answer = json.dumps(answer).encode()
        self.transport.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer
        )

    def abort(self):
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            try:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            except OSError:
                pass
        self.transport.abort()


class HttpServer:
    """Serves one address; `handle(request)` returns (status, body), or a coroutine
    that does."""

    def __init__(self, address, port, handle):
        self.address, self.port, self.handle = address, port, handle
        self.server = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), self.address, self.port,
            reuse_address=True, backlog=1024,
        )

    def stop(self):
        """Closes the listener and resets all connections, as a process that ends."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.abort()
        self.connections.clear()


# ---------------------------------------------------------------------- store


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.waiters = []
        self.epoch = 0
        self.sequence = None
        self.answers = {}


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self, address, record):
        self.topics = {}
        self.record = record
        self.port = free_port(address)
        self.http = HttpServer(address, self.port, self.handle)
        self.address = f"{address}:{self.port}"
        # Called with (topic, keys) after an append was carried out, before its
        # answer; may raise Abort or stop the server.
        self.after_append = lambda topic, keys: None
        self.refused_records = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        """Writes as the operator does."""
        self.append_records(name, [self.encode(key, value)])

    @staticmethod
    def encode(key, value):
        return bytes([len(key)]) + key.encode() + value

    def append_records(self, name, contents):
        topic = self.topic(name)
        for content in contents:
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            if value:
                topic.newest[key] = (len(topic.records), value)
            else:
                topic.newest.pop(key, None)
            topic.records.append(content)
        for waiter in topic.waiters:
            if not waiter.done():
                waiter.set_result(None)
        topic.waiters = []

    async def handle(self, request):
        await asyncio.sleep(0.004)
        call = (request.method, request.path)
        if call == ("POST", "/log-append"):
            return self.append(request)
        if call == ("GET", "/log-read"):
            return await self.read(request)
        if call == ("GET", "/log-newest"):
            return self.newest(request)
        return 404, {}

    def append(self, request):
        name = request.query["topic"]
        topic = self.topic(name)
        contents, at, body = [], 0, request.body
        while at < len(body):
            size = struct.unpack_from(">I", body, at)[0]
            contents.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        end = len(topic.records)
        largest = max((len(content) for content in contents), default=0)
        if largest > BOUNDS["record_bytes"] or len(body) > BOUNDS["call_bytes"]:
            self.refused_records += 1
            if self.refused_records <= 20 or self.refused_records % 50 == 0:
                keys = [c[1 : 1 + c[0]].decode() for c in contents]
                self.record(
                    f"store: append to {name} refused with 400: a record of {largest} "
                    f"bytes (record_bytes is {BOUNDS['record_bytes']}); keys "
                    f"{keys[:6]}; refusals so far {self.refused_records}"
                )
            return 400, {"reason": "record too large"}
        producer = None
        if "producer" in request.query:
            epoch, seq = int(request.query["epoch"]), int(request.query["seq"])
            if epoch < topic.epoch:
                return 409, {"reason": "fenced"}
            if epoch == topic.epoch and (epoch, seq) in topic.answers:
                return topic.answers[(epoch, seq)]
            if (
                epoch == topic.epoch
                and topic.sequence is not None
                and contents
                and seq != topic.sequence + 1
            ):
                return 409, {"reason": "seq", "seq": topic.sequence + 1}
            producer = (epoch, seq)
        if "at" in request.query and int(request.query["at"]) != end:
            return 412, {"end": end}
        if producer is not None:
            if producer[0] > topic.epoch:
                topic.answers = {}
            topic.epoch, topic.sequence = producer
        self.append_records(name, contents)
        answer = 200, {"offset": end, "end": len(topic.records)}
        if producer is not None:
            topic.answers[producer] = answer
            for old in list(topic.answers)[:-5]:
                del topic.answers[old]
        self.after_append(name, [c[1 : 1 + c[0]].decode() for c in contents])
        return answer

    async def read(self, request):
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        wait = min(int(request.query.get("wait_ms", 0)), 30000) / 1000
        if start >= len(topic.records) and wait > 0:
            waiter = asyncio.get_running_loop().create_future()
            topic.waiters.append(waiter)
            try:
                await asyncio.wait_for(waiter, wait)
            except asyncio.TimeoutError:
                pass
        limit = int(request.query.get("max_kb", 1024)) * 1024
        body = struct.pack(">QQ", len(topic.records), 0)
        for content in topic.records[start:]:
            if len(body) > limit:
                break
            body += struct.pack(">I", len(content)) + content
        return 200, body

    def newest(self, request):
        topic = self.topic(request.query["topic"])
        after = request.query.get("depends_on", "")
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys:
            offset, value = topic.newest[key]
            if len(items) >= 500 or (items and size + len(value) > 1000000):
                break
            size += len(value)
            items.append(
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
            )
        return 200, {
            "items": items,
            "more": len(items) < len(keys),
            "end": len(topic.records),
        }


# -------------------------------------------------------------------- runners


class Run:
    def __init__(self, task, run, checkpoint, work_ms):
        self.task, self.run = task, run
        self.saved = checkpoint
        self.saves = 0
        self.began = now_ms()
        self.work_ms = work_ms


class Runner:
    """One runner and its machine; `restart()` is a new life under a new id."""

    checkpoint_bytes = 16
    # Time that a runner takes to answer a start.
    start_answer_s = 0.0

    def __init__(self, name, address, agent_heartbeat, service, zone, capacity, rack,
                 work_ms_of, record, runs):
        self.name, self.record, self.runs = name, record, runs
        self.agent_heartbeat = agent_heartbeat
        self.service, self.zone, self.capacity, self.rack = service, zone, capacity, rack
        self.work_ms_of = work_ms_of
        self.port = free_port(address)
        self.address = f"{address}:{self.port}"
        self.http = HttpServer(address, self.port, self.handle)
        self.lives = 0
        self.up = False
        self.tasks = []

    async def start(self):
        self.lives += 1
        self.id = f"i-{self.name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self.clock_base = now_ms() - 1000
        self.fence = 0
        self.seq = 0
        self.number = 0
        self.running = {}
        self.ended = []
        self.highest = {}
        self.until = 0
        self.waiters = []
        self.up = True
        await self.http.start()
        self.tasks = [
            asyncio.create_task(self.beat()),
            asyncio.create_task(self.work()),
        ]
        self.record(f"runner {self.id} starts")

    def crash(self):
        """The process ends: all that it ran is gone, its port is closed."""
        held = [run.task for run in self.running.values()]
        self.record(f"runner {self.id} crashes; it ran {held[:8]}")
        self.up = False
        ended, self.running = list(self.running.values()), {}
        for run in ended:
            self.runs.end(self, run, "crash")
        self.http.stop()
        for task in self.tasks:
            task.cancel()

    def clock(self):
        return now_ms() - self.clock_base

    async def beat(self):
        while True:
            self.seq += 1
            body = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "capacity": self.capacity,
                "labels": ["a", self.rack],
                "clock_ms": self.clock(),
                "seq": self.seq,
                "born": self.born,
            }
            status, _ = await call(
                "PUT", self.agent_heartbeat, f"/instances/{self.id}", body, timeout=1.0
            )
            # Without an acknowledgement the next heartbeat follows soon.
            await asyncio.sleep(
                BOUNDS["heartbeat_ms"] / 1000 if status == 200 else 0.3
            )

    def finish(self, run, how):
        self.running.pop(run.task, None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.number += 1
        self.ended.append([self.number, run.task, run.run, how, run.saved])
        self.runs.end(self, run, how)
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters = []

    async def work(self):
        step = BOUNDS["checkpoint_interval_s"] * 1000
        while True:
            await asyncio.sleep(0.05)
            now = now_ms()
            for run in list(self.running.values()):
                worked = now - run.began
                if self.clock() >= self.until:
                    self.finish(run, "lapsed")
                elif run.work_ms is not None and worked >= run.work_ms:
                    self.finish(run, "done")
                elif worked >= step:
                    self.save(run, int(worked // step))

    def save(self, run, number):
        if run.saves == number:
            return
        run.saves = number
        text = hashlib.sha256(f"{run.task}/{number}".encode()).hexdigest()
        run.saved = text[: self.checkpoint_bytes]

    def percent(self, run):
        if run.work_ms is None:
            return 100
        return min(99, (now_ms() - run.began) * 100 // max(1, run.work_ms))

    def lists(self):
        return {
            "clock_ms": self.clock(),
            "born": self.born,
            "running_tasks": [
                [r.task, r.run, r.saved, self.percent(r), 10]
                for r in self.running.values()
            ],
            "ended_tasks": self.ended[:500],
        }

    def check_fence(self, body):
        if body.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = body.get("fence", 0)
        return None

    def extend(self, body):
        until = min(body.get("until_ms", 0), self.clock() + BOUNDS["hold_max_ms"])
        self.until = max(self.until, until)

    def handle(self, request):
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock()}
        body = request.json()
        refusal = self.check_fence(body)
        if refusal is not None:
            return refusal
        if request.path == "/run-start":
            if self.start_answer_s > 0:
                return self.start_later(body)
            return self.start_run(body)
        if request.path == "/run-stop":
            run = self.running.get(body["task"])
            if run is not None and run.run == body["run"]:
                self.finish(run, "stopped")
            self.highest[body["task"]] = max(
                self.highest.get(body["task"], 0), body["run"]
            )
            return 200, {"clock_ms": self.clock()}
        if request.path == "/hold":
            return self.hold(body)
        return 200, {"clock_ms": self.clock()}

    async def start_later(self, body):
        await asyncio.sleep(self.start_answer_s)
        return self.start_run(body)

    def start_run(self, body):
        task, number = body["task"], body["run"]
        self.extend(body)
        present = self.running.get(task)
        if present is not None and present.run == number:
            return 200, {"clock_ms": self.clock()}
        if number <= self.highest.get(task, 0):
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if body.get("until_ms", 0) <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        run = Run(task, number, body.get("last_checkpoint", ""), self.work_ms_of(task))
        self.running[task] = run
        self.highest[task] = number
        self.runs.texts.add(body.get("task_spec", ""))
        self.runs.begin(self, run)
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        self.extend(body)
        seen = body.get("last_seen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        if wait > 0 and not self.ended:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.append(waiter)
            try:
                await asyncio.wait_for(waiter, wait)
            except asyncio.TimeoutError:
                pass
        return 200, self.lists()


class RunBook:
    """What all runners ran."""

    def __init__(self, record):
        self.record = record
        self.begun = {}
        self.ends = {}
        self.quiet = set()
        # Every `task_spec` that a runner was told to run.
        self.texts = set()

    def begin(self, runner, run):
        self.begun.setdefault(run.task, []).append((runner.id, run.run))
        if run.task.split(".")[0] not in self.quiet:
            self.record(f"run {run.task} #{run.run} begins on {runner.id}")

    def end(self, runner, run, how):
        self.ends.setdefault(run.task, []).append(how)
        if run.task.split(".")[0] not in self.quiet:
            self.record(f"run {run.task} #{run.run} ends on {runner.id}: {how}")


# -------------------------------------------------------------------- clients


async def call(method, address, path, body=None, headers=None, timeout=3.0):
    """One call on a new connection. Returns (status, body); status is None if no
    complete answer came."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
        fields = {"Host": address, "Content-Type": "application/json"}
        fields.update(headers or {})
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        line, _, answer = await read_message(reader)
        return int(line.split(" ")[1]), answer

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
        return None, b""
    finally:
        if writer is not None:
            writer.close()


class Client:
    """A client with a key, which reaches one gateway after the other."""

    def __init__(self, site, host, prefix, key):
        self.site, self.host, self.prefix, self.key = site, host, prefix, key

    async def send(self, method, job, gateway, body=None, timeout=3.0):
        status, answer = await call(
            method,
            gateway.front,
            self.prefix + job,
            body,
            {
                "Host": self.host,
                "Authorization": "Bearer " + self.key,
                "Deadline-Ms": str(int(timeout * 1000)),
            },
            timeout,
        )
        self.site.record(
            f"client: {method} {job} at {gateway.name} -> {status} {answer[:60].decode('latin-1')}"
        )
        return status, answer

    async def submit(self, job, spec, tries=8):
        """Hands a job in, at each gateway in turn. Returns all answers."""
        answers = []
        for attempt in range(tries):
            gateway = self.site.gateways[attempt % len(self.site.gateways)]
            status, _ = await self.send("POST", job, gateway, spec)
            answers.append(status)
            if status is not None and 200 <= status < 300:
                break
            await asyncio.sleep(0.5)
        return answers

    async def state(self, job, gateway, timeout=3.0):
        status, answer = await self.send("GET", job, gateway, None, timeout)
        if status != 200:
            return status
        return json.loads(answer).get("state")

    async def state_anywhere(self, job, timeout=3.0):
        for gateway in self.site.gateways:
            state = await self.state(job, gateway, timeout)
            if isinstance(state, str):
                return state
        return None


# ------------------------------------------------------------------ processes


class Process:
    """One of carobrill's programs, with the command of the deploy file."""

    def __init__(self, site, name, settings):
        self.site, self.name = site, name
        self.path = os.path.join(site.folder, name + ".json")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=1)
        self.process = None
        self.starts = 0
        self.killed_for_memory = 0
        self.ended_by_itself = 0

    async def start(self):
        self.starts += 1
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CAROBRILL_NODE_FILE"] = self.path
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "--settings", self.path,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            cwd=ROOT, env=environment,
        )
        log.close()
        self.site.record(f"process {self.name} starts, start {self.starts}")

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0


class ProcessorShare:
    """Gives each process the processor share of its machine, as DEPLOY.md tells of a
    quota: "The core runs at full speed until the quota is used up, and then runs not at
    all for the rest of that tenth of a second." By SIGSTOP and SIGCONT."""

    WINDOW_S = 0.1

    def __init__(self, shares):
        self.shares = shares
        self.left = {process: share * self.WINDOW_S for process, share in shares.items()}
        self.seen = {}
        self.stopped = set()

    @staticmethod
    def used_s(process):
        total = 0
        folder = f"/proc/{process.process.pid}/task"
        try:
            for thread in os.listdir(folder):
                with open(f"{folder}/{thread}/schedstat", encoding="ascii") as file:
                    total += int(file.read().split()[0])
        except (OSError, IndexError, ValueError):
            pass
        return total / 1e9

    def charge(self, process):
        used = self.used_s(process)
        pid, before = self.seen.get(process, (None, 0.0))
        if pid == process.process.pid and used > before:
            self.left[process] -= used - before
        self.seen[process] = (process.process.pid, used)

    async def run(self):
        try:
            while True:
                window_ends = time.monotonic() + self.WINDOW_S
                for process, share in self.shares.items():
                    quota = share * self.WINDOW_S
                    self.left[process] = min(quota, self.left[process] + quota)
                    if self.left[process] > 0 and process in self.stopped:
                        self.stopped.discard(process)
                        process.signal(signal.SIGCONT)
                while time.monotonic() < window_ends:
                    for process in self.shares:
                        if process.alive() and process not in self.stopped:
                            self.charge(process)
                            if self.left[process] <= 0:
                                self.stopped.add(process)
                                process.signal(signal.SIGSTOP)
                    await asyncio.sleep(0.004)
        finally:
            for process in self.stopped:
                process.signal(signal.SIGCONT)


class Site:
    """A small deployment: the store, gateways, and runners with their agents."""

    def __init__(self, folder, gateways=3, runners=3, capacity=None, work_ms_of=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="carobrill-review-")
        self.runs = RunBook(self.record)
        self.store = Store("127.0.0.1", self.record)
        self.service = "huvo11a"
        self.capacity = capacity or {"cpu": 32000, "mem_mb": 131072, "gpu": 8}
        self.gateways, self.agents, self.runners = [], [], []
        for i in range(gateways):
            self.add_gateway(f"edge-{i + 1}", f"127.0.1.{i + 1}")
        for i in range(runners):
            self.add_runner(i, work_ms_of or (lambda task: 1000))
        self.sharing = None

    def instance(self, name, address, memory_mb):
        return {
            "id": name,
            "failure_domain": "zone-" + name[-1],
            "region": "region",
            "memory_mb": memory_mb,
            "max_descriptors": 4100,
            "rpc": {"address": address, "port": free_port(address)},
            "http": {"address": address, "port": free_port(address)},
        }

    def add_gateway(self, name, address):
        instance = self.instance(name, address, BOUNDS["edge_memory_mb"])
        instance["processor_share"] = 0.25
        front = f"{address}:{free_port(address)}"
        ready = f"{address}:{free_port(address)}"
        gateway = Process(self, name, {
            "role": "gateway",
            "instance": instance,
            "gateway": {
                "front": front,
                "ready": ready,
                "store": self.store.address,
                "task_stop_ms": BOUNDS["stop_ms"],
                "task_lease_limit_ms": BOUNDS["hold_max_ms"],
                "learn_run_times": True,
                "key_revocation_ms": BOUNDS["revoke_ms"],
                "job_status_s": BOUNDS["status_s"],
            },
        })
        gateway.front, gateway.ready = front, ready
        gateway.limit_mb = BOUNDS["edge_memory_mb"]
        self.gateways.append(gateway)

    def add_runner(self, index, work_ms_of):
        address = f"127.0.2.{index + 1}"
        name = f"side-{index + 1}"
        heartbeat = f"{address}:{free_port(address)}"
        runner = Runner(f"w{index + 1}", address, heartbeat, self.service,
                        "zone-1", self.capacity, f"r1-{index // 3}", work_ms_of,
                        self.record, self.runs)
        agent = Process(self, name, {
            "role": "worker_agent",
            "instance": self.instance(name, address, BOUNDS["side_memory_mb"]),
            "worker_agent": {
                "heartbeat": heartbeat,
                "worker": runner.address,
                "store": self.store.address,
            },
        })
        agent.limit_mb = BOUNDS["side_memory_mb"]
        self.runners.append(runner)
        self.agents.append(agent)

    def configuration(self):
        def route(name, prefix, priority, attempts):
            return {
                "name": name, "host": "nony24.example", "path_prefix": prefix,
                "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 1000,
                "priority": priority, "service": self.service,
                "max_attempts": attempts, "stretch": 3.0, "anonymous": False,
            }

        return {
            "version": 7,
            "routes": [route("r-a", "/lohu930/", 1, 4), route("r-b", "/pule252/", 1, 4),
                       route("r-urgent", "/pufi791/", 0, 3), route("r-low", "/tola318/", 2, 4)],
            "services": [{"name": self.service, "health_path": "/health", "max_conns": 64,
                          "protocol": "h1", "admission_check": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
            "tenants": [
                {"name": "kaje80", "api_keys": ["key-a"], "guaranteed": {"gpu": 8}},
                {"name": "bola12", "api_keys": ["key-b"], "guaranteed": {"gpu": 8}},
            ],
        }

    def client(self, tenant="a", prefix=None):
        """A client of a tenant, on the tenant's own queue unless another is named."""
        own = "/lohu930/" if tenant == "a" else "/pule252/"
        return Client(self, "nony24.example", prefix or own, "key-" + tenant)

    async def start(self):
        self.store.put("keyed.op", "config", json.dumps(self.configuration()).encode())
        await self.store.http.start()
        for runner in self.runners:
            await runner.start()
        for process in self.gateways + self.agents:
            await process.start()
        await self.until_ready()

    async def until_ready(self):
        deadline = now_ms() + 20000
        for gateway in self.gateways:
            while (await call("GET", gateway.ready, "/ready", timeout=1.0))[0] != 200:
                if now_ms() > deadline:
                    raise RuntimeError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
        # The planner is elected and has heard of the runners.
        await asyncio.sleep(4)
        self.record("all gateways are ready")

    def share_processor(self):
        """Gives gateways 0.25 and agents 0.15 of a core from now on, as on the site."""
        shares = {gateway: 0.25 for gateway in self.gateways}
        shares.update({agent: 0.15 for agent in self.agents})
        self.sharing = asyncio.ensure_future(ProcessorShare(shares).run())

    async def keep_platform(self, limit_memory):
        """What the platform does with processes: one over `memory_mb` is killed,
        and one that has ended is started again after a short delay."""
        while True:
            for process in self.gateways + self.agents:
                if process.alive():
                    used = process.memory_mb()
                    if limit_memory and used > process.limit_mb:
                        process.killed_for_memory += 1
                        self.record(
                            f"platform: kills {process.name}: {used:.0f} MB used, "
                            f"memory_mb is {process.limit_mb}"
                        )
                        await process.kill()
                        await asyncio.sleep(0.5)
                        await process.start()
                elif process.process is not None:
                    process.ended_by_itself += 1
                    self.record(f"platform: {process.name} has ended by itself "
                                f"({process.process.returncode})")
                    await asyncio.sleep(0.5)
                    await process.start()
            await asyncio.sleep(0.02)

    async def stop(self):
        if self.sharing is not None:
            self.sharing.cancel()
        for process in self.gateways + self.agents:
            await process.kill()
        self.store.http.stop()
        for runner in self.runners:
            for task in runner.tasks:
                task.cancel()
            runner.http.stop()
        self.record("stopped")


def new_job():
    return f"{random.getrandbits(64):016x}"


def main(play, limit_s=110):
    """Runs `play(folder, trouble)`, which returns true if the rule held, and exits
    with 0 if it held, 1 if it was broken, and 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(PROGRAM, os.X_OK):
        print("target/carobrilld is missing: build the deploy file first")
        sys.exit(2)

    async def bounded():
        # Connections that are cancelled at the end are no news.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        task = asyncio.ensure_future(play(folder, trouble))
        # The processes that were started end also when this one is told to.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, limit_s)

    try:
        held = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:  # Not run to its end.
        print(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
