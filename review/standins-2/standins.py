"""A small deployment on loopback for the cases of this review: instances as processes, runners, store, balancer, clients.

The store is that of test/soak, behind the answer times of the pages. Runners and clients are written from PROTOCOL.md.
"""

import asyncio
import json
import logging
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test"))

from soak.store import Store, entry  # noqa: E402
from soak.wire import Server, read_head  # noqa: E402

HOST = "desk.example"
PREFIX = "/jobs/"
SERVICE = "desk"
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
APPEND_S = 0.003
HOLD_MAX_MS = 1000
GRACE_S = 6.0
SHARED_WRITERS = ("keyed.op", "keyed.servers")


class Record:
    """What was sent, answered and run, a line each, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, what, **fields):
        if self._file.closed:
            return
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {text}\n")

    def close(self):
        self._file.close()


class RunnerServer(Server):
    """A server whose process can crash: its channels are reset, and nobody listens until it is back."""

    def __init__(self, handler):
        super().__init__(handler)
        self._writers = set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    def crash(self):
        self._server.close()
        for it in list(self._writers):
            it.transport.abort()

    async def back(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)


class Run:
    def __init__(self, spec, cpu, work_s):
        self.spec, self.cpu, self.work_s = spec, cpu, work_s
        self.began = time.monotonic()


class Runner:
    """One machine's runner: starts what it is told to, under leases and generation numbers; guards no capacity."""

    def __init__(self, name, zone, record, work_of, cpu=64000, mem_mb=131072):
        self.name, self.zone, self.cpu, self.mem_mb = name, zone, cpu, mem_mb
        self.record = record
        self.work_of = work_of  # Task: (milli-cores, seconds).
        self.port = 0
        self.server = None
        self.dark = False
        self.on_start = None  # Called with (runner, task, run, spec) for each start.
        self.order_fault = None  # Called with (runner, request, body); "late" or None.
        self.clock_offset_ms = 0  # Of the time of day.
        self._sequence = 0
        self.restart()

    def restart(self):
        """A new life under the same id: it runs nothing and knows no generation number."""
        self.running = {}
        self.ends = []
        self._highest = {}
        self._last_end = 0
        self._fence = 0
        self._lease_ms = 0
        self._started = time.monotonic()
        self.born = int(time.time() * 1000) + self.clock_offset_ms

    async def listen(self):
        self.server = await RunnerServer(self.handle).start()
        self.port = self.server.port

    async def crash(self, for_s):
        """Ends all at once, without a word; a new life begins under the same id and at the same address."""
        for task, run in self.running:
            self.record.write("crashed", runner=self.name, task=task, run=run)
        self.dark = True
        self.running = {}
        self.server.crash()
        await asyncio.sleep(for_s)
        self.restart()
        await self.server.back()
        self.dark = False

    def clock_ms(self):
        return int((time.monotonic() - self._started) * 1000) + 1

    def used_cpu(self):
        return sum(it.cpu for it in self.running.values())

    def fields(self):
        self._sequence += 1
        return {"service": SERVICE, "addr": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold-left-ms": 0, "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpu": 0},
                "labels": ["a", "r1-1"], "clock-ms": self.clock_ms(), "sequence": self._sequence, "born": self.born}

    def advance(self):
        now, clock = time.monotonic(), self.clock_ms()
        for key, run in list(self.running.items()):
            if now - run.began >= run.work_s:
                self._end(key, "done")
            elif clock >= self._lease_ms:
                self._end(key, "lapsed")

    def _end(self, key, how):
        del self.running[key]
        self._last_end += 1
        self.ends.append([self._last_end, key[0], key[1], how, ""])
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        self.record.write("end", runner=self.name, task=key[0], run=key[1], how=how)

    async def handle(self, request):
        if self.dark:
            return None
        if request.headers.get("expect-runner", self.name) != self.name:
            return 421, {"born": self.born}
        body = request.json()
        if self.order_fault and self.order_fault(self, request, body):
            return None
        if request.path == "/-/hold":
            return await self._hold(body)
        return self.order(request.path, body)

    def _answer(self, status=200, **fields):
        return status, {"clock-ms": self.clock_ms(), "born": self.born, **fields}

    def _is_fenced(self, body):
        if body.get("fence-token", 0) < self._fence:
            return True
        self._fence = body.get("fence-token", 0)
        return False

    def order(self, path, body):
        self.advance()
        if self._is_fenced(body):
            return self._answer(409, reason="fence")
        key = (body["task"], body["run"])
        if path == "/-/run-stop":
            if key in self.running:
                self._end(key, "stopped")
            self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
            return self._answer()
        if key in self.running:
            return self._answer()
        if body["until-ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._renew(body["until-ms"])
        if key[1] <= self._highest.get(key[0], 0):
            return self._answer(409, reason="old")
        cpu, work_s = self.work_of(key[0])
        self.running[key] = Run(body["spec"], cpu, work_s)
        self.record.write("start", runner=self.name, task=key[0], run=key[1], used=self.used_cpu(), of=self.cpu)
        if self.on_start:
            self.on_start(self, key[0], key[1], body["spec"])
        return self._answer()

    def _renew(self, until_ms):
        self._lease_ms = max(self._lease_ms, min(until_ms, self.clock_ms() + HOLD_MAX_MS))

    async def _hold(self, body):
        until = time.monotonic() + min(body.get("wait-ms", 0), 2000) / 1000
        born = self.born
        while True:
            self.advance()
            if born != self.born or self.dark:
                return None
            if self._is_fenced(body):
                return self._answer(409, reason="fence")
            self.ends = [it for it in self.ends if it[0] > body.get("acked-upto", 0)]
            if "until-ms" in body:
                self._renew(body["until-ms"])
            if self.ends or time.monotonic() >= until:
                break
            await asyncio.sleep(0.005)
        now = time.monotonic()
        running = [[task, run, "", int(min(99, 100 * (now - it.began) / it.work_s)), it.cpu]
                   for (task, run), it in self.running.items()]
        return self._answer(running=running, finished=self.ends[:500])


class Instance:
    """One machine of the system. Started with the command of the deploy file; restarted when it ends, as pages say."""

    def __init__(self, name, zone, ip, directory):
        self.name, self.zone, self.ip = name, zone, ip
        self.front, self.ready_port, self.control, first = free_ports(self.ip, 4)
        self.port_range = [first, first + 15]
        self.settings = directory / f"{name}.toml"
        self.log = directory / f"{name}.log"
        self.process = None
        self.killed = False

    def write_settings(self, store, zones, bootstrap):
        lines = [f'node = "{self.name}"', 'role = "dispatch"', 'class = "front"', 'serves = ["front"]',
                 f'ip = "{self.ip}"', f'zone = "{self.zone}"', 'region = "home"', f"port-range = {self.port_range}",
                 "seeds = []", f"bootstrap = {str(bootstrap).lower()}", 'discovery = "platform"', 'entry = "vip"',
                 "heartbeat-ms = 1500", 'commands = "invoke"', "[zones]"]
        lines += [f'{it} = "home"' for it in zones]
        lines += ["[listen]", f'front = "{self.ip}:{self.front}"', f'readiness = "{self.ip}:{self.ready_port}"',
                  f'control = "{self.ip}:{self.control}"', "[limits]", "cpu-quota = 0.25", "cores = 1",
                  "memory-mb = 260", "max-fds = 4100", "link-mbps = 1000.0", "disk-mb = 0", "[bounds]",
                  "grace-s = 6", "hold-max-ms = 1000", "stop-ms = 50", "drain-ms = 2000", "resend-ms = 1300",
                  "[platform]", f'addr = "{store}"', 'form = "log"', "writes-per-s = 800", "reads-per-s = 2000",
                  "parts = 16", "append-ms = 3.0", "ttl-min-ms = 1000", ""]
        self.settings.write_text("\n".join(lines), encoding="utf-8")

    def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))["roles"]["dispatch"]
        environment = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/tmp"), "LANG": "C.UTF-8",
                       "EELGRASSCLEAT_NODE_FILE": str(self.settings), **role.get("env", {})}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)


def free_ports(ip, count):
    """Ports below those that the kernel gives out, with room for a port range after the last one."""
    source = random.SystemRandom()
    ports = []
    while len(ports) < count:
        port = source.randrange(12000, 32000, 20)
        with socket.socket() as it:
            try:
                it.bind((ip, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Deployment:
    def __init__(self, case, zones=("north",), per_zone=3, runners=16, seed=1):
        self.case = pathlib.Path(case).resolve()
        self.record = Record(self.case / "record.txt")
        self.random = random.Random(seed)
        self.zones = zones
        self._directory = tempfile.TemporaryDirectory()
        directory = pathlib.Path(self._directory.name)
        self.store = Store(self.random, lambda reader, topic, key, value: value)
        self.store_fault = None  # Called with (reader, request); returns "silent" or None.
        self.instances = []
        # Loopback addresses of this run alone, so that runs beside each other don't take each other's ports.
        source = random.SystemRandom()
        block = f"127.{source.randrange(1, 255)}.{source.randrange(1, 255)}"
        for zone in zones:
            for i in range(per_zone):
                ip = f"{block}.{len(self.instances) + 1}"
                self.instances.append(Instance(f"front-{zone}-{i + 1}", zone, ip, directory))
        self.work = {}  # Job: (milli-cores, seconds).
        self.runners = [Runner(f"i-{zone}-{i}", zone, self.record, self.work_of) for zone in zones for i in range(runners)]
        self.in_rotation = {it.name: True for it in self.instances}
        self._misses = {it.name: 0 for it in self.instances}
        self._tasks = set()
        self.version = 0
        self._running = True
        self.stalls = 0.0

    def work_of(self, task):
        return self.work.get(task.split(".")[0], (1000, 0.1))

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _store_handler(self, reader):
        handle = self.store.handler(reader)

        async def answer(request):
            fault = self.store_fault and self.store_fault(reader, request)
            if fault:
                return None
            if request.path == "/-/log-append" and request.query["topic"] in SHARED_WRITERS:
                return 403, {}
            await asyncio.sleep(STORE_ANSWER_S + (APPEND_S if request.path == "/-/log-append" else 0))
            return await handle(request)
        return answer

    async def start(self, routes=3):
        for it in self.runners:
            await it.listen()
            self.announce(it)
            self.spawn(self._announce_for_ever(it))
        self.publish(routes)
        for it in self.instances:
            server = await Server(self._store_handler(it.name)).start()
            it.write_settings(f"127.0.0.1:{server.port}", self.zones, True)
            it.start()
            it.write_settings(f"127.0.0.1:{server.port}", self.zones, False)
        for coroutine in (self._keep_running(), self._balance(), self._watch_stalls()):
            self.spawn(coroutine)
        for _ in range(200):
            await asyncio.sleep(0.1)
            if all([await self.is_ready(it) for it in self.instances]):
                return True
        return False

    async def _watch_stalls(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.stalls = max(self.stalls, time.monotonic() - before - 0.02)

    def announce(self, runner):
        if not runner.dark:
            self.store.write("keyed.servers", runner.name, entry(**runner.fields()))

    async def _announce_for_ever(self, runner):
        await asyncio.sleep(self.random.random() * HEARTBEAT_S)
        while True:
            self.announce(runner)
            await asyncio.sleep(HEARTBEAT_S)

    def publish(self, routes):
        self.version += 1
        entries = [{"name": f"r-{i}", "host": HOST, "path-prefix": f"{PREFIX}{i}/", "kind": "unsafe", "timeout-ms": 30000,
                    "target-latency-ms": 60, "priority": i, "service": SERVICE, "attempts": 2, "stretch": 1.6}
                   for i in range(routes)]
        self.store.write("keyed.op", "config", entry(
            version=self.version, routes=entries,
            services=[{"name": SERVICE, "health-path": "/health", "max-conns": 64, "proto": "h1", "tls": False,
                       "rejects-overload": False, "standby": False}],
            limits={"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}))

    async def _keep_running(self):
        while self._running:
            for it in self.instances:
                if it.process and not it.is_running() and not it.killed:
                    self.record.write("exit", node=it.name, code=it.process.returncode)
                    await asyncio.sleep(0.3)
                    it.start()
            await asyncio.sleep(0.02)

    async def is_ready(self, instance):
        answer = await bounded(exchange(instance.ip, instance.ready_port, "GET", "/-/ready"), 0.9)
        return answer is not None and answer[0] == 200

    async def _balance(self):
        """Once a second; out after two misses, in again after one good answer."""
        while True:
            ready = await asyncio.gather(*(self.is_ready(it) for it in self.instances))
            for it, good in zip(self.instances, ready):
                self._misses[it.name] = 0 if good else self._misses[it.name] + 1
                rotation = self._misses[it.name] < 2
                if rotation != self.in_rotation[it.name]:
                    self.record.write("rotation", node=it.name, takes=rotation)
                self.in_rotation[it.name] = rotation
            await asyncio.sleep(1.0)

    def choose(self, zone, client):
        """The node for a new channel, by a hash of the client: of those in rotation; of all in the zone, if fewer than half
        of them are; of other zones, if none is."""
        nodes = [it for it in self.instances if it.zone == zone]
        rotation = [it for it in nodes if self.in_rotation[it.name]]
        others = [it for it in self.instances if self.in_rotation[it.name]]
        if not rotation and others:
            nodes = others
        elif 2 * len(rotation) >= len(nodes):
            nodes = rotation
        return nodes[zlib.crc32(client.encode()) % len(nodes)]

    async def stop(self):
        self._running = False
        for it in self.instances:
            it.signal(signal.SIGCONT)
            it.signal(signal.SIGKILL)
        for it in self.instances:
            if it.process:
                it.process.wait()
        for it in list(self._tasks):
            it.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for it in self.instances:
                if it.log.exists():
                    (pathlib.Path(keep) / it.log.name).write_bytes(it.log.read_bytes())
        self._directory.cleanup()
        self.record.close()


def job_body(spec, steps):
    return json.dumps({"spec": spec, "best-effort": True, "steps": steps}).encode()


class Channel:
    """A client's open channel to one node; one request at a time."""

    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer

    @staticmethod
    async def open(instance):
        reader, writer = await asyncio.open_connection(instance.ip, instance.front)
        return Channel(instance, reader, writer)

    def is_usable(self):
        return not self.reader.at_eof() and not self.writer.is_closing()

    def close(self):
        self.writer.transport.abort()

    async def exchange(self, method, path, headers=None, body=b""):
        """(status, body, closes), or None if the channel ended without a whole answer."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Content-Type: application/json",
                 f"Content-Length: {len(body)}"] + [f"{k}: {v}" for k, v in (headers or {}).items()]
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(self.reader)
            if head is None:
                return None
            first, answered = head
            content = await self.reader.readexactly(int(answered.get("content-length", "0")))
            return int(first.split(" ")[1]), content, answered.get("connection", "").lower() == "close"
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            return None


async def exchange(ip, port, method, path, headers=None, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    writer = None
    try:
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await read_head(reader)
        if head is None:
            return None
        content = await reader.readexactly(int(head[1].get("content-length", "0")))
        return int(head[0].split(" ")[1]), content
    except (ConnectionError, asyncio.IncompleteReadError, OSError):
        return None
    finally:
        if writer:
            writer.transport.abort()


async def bounded(coroutine, seconds):
    try:
        return await asyncio.wait_for(coroutine, seconds)
    except (TimeoutError, asyncio.TimeoutError):
        return None


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, play, prepare=None, **options):
    """Plays a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    async def whole():
        deployment = Deployment(case, **options)
        if prepare:
            await prepare(deployment)
        try:
            if not await deployment.start():
                print("the deployment didn't become ready")
                return 2
            return await play(deployment)
        finally:
            await deployment.stop()

    async def limited():
        try:
            return await asyncio.wait_for(whole(), 110)
        except (TimeoutError, asyncio.TimeoutError):
            print("the case took too long")
        except asyncio.CancelledError:
            print("the case was ended")
        return 2

    def report_error(_, context):
        """Connections may end with the run; any other error is one of the case."""
        error = context.get("exception")
        if error and not isinstance(error, (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError)):
            print(f"error in the case: {error!r}")
            task.cancel()

    if not (ROOT / "target/bin/eelgrasscleat-node").exists():
        print("target/bin/eelgrasscleat-node: not built")
        sys.exit(2)
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # Writes to channels that have been reset.
    loop = asyncio.new_event_loop()
    task = loop.create_task(limited())
    loop.set_exception_handler(report_error)
    for it in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(it, task.cancel)
    code = loop.run_until_complete(task)
    sys.stdout.flush()
    os._exit(code)
