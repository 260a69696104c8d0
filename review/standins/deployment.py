"""A small deployment on loopback addresses: the project's processes, started with the command of the deploy file, and
stand-ins for the platform's store, the runners and the clients. The store and the runners are those of test/soak."""

import asyncio
import json
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
import traceback
import urllib.parse

from soak.store import Store, entry
from soak.targets import Target
from soak.wire import Request, exchange, read_head

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("regina", "saskatoon", "brandon")
HOST = "desk.example"
HEARTBEAT_S = 1.5
RESEND_S = 1.3
# A room that has shrunk counts `contact-ms` and one beat later.
SHRUNK_S = 3.0 + HEARTBEAT_S
# Kinds of runners: capacity in thousandths of a core.
KINDS = {"a": 64000, "b": 96000}


class Ports:
    """Ports of a block that no other script uses at the same time, below those that the kernel gives out by itself."""

    BLOCK = 100

    def __init__(self):
        source = random.SystemRandom()
        while True:
            self._next = source.randrange(12000, 30000, self.BLOCK)
            self._end = self._next + self.BLOCK
            self._claim = socket.socket()  # Held until the process ends; the first port of the block.
            try:
                self._claim.bind(("127.0.0.1", self._next))
                return
            except OSError:
                self._claim.close()

    def take(self, count):
        """Ports that are free on all addresses now."""
        ports = []
        while len(ports) < count:
            self._next += 1
            if self._next >= self._end:
                raise OSError("no free ports left in the block")
            with socket.socket() as it:
                try:
                    it.bind(("0.0.0.0", self._next))
                except OSError:
                    continue
            ports.append(self._next)
        return ports


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {text}\n")

    def close(self):
        self._file.close()


class PortServer:
    """HTTP server on a fixed address that can be closed with a reset of its channels, and opened again. The handler
    returns (status, body), or None for no answer."""

    def __init__(self, address, port, handler):
        self.address, self.port, self._handler = address, port, handler
        self._server, self._writers = None, set()

    async def open(self):
        self._server = await asyncio.start_server(self._serve, self.address, self.port, reuse_address=True)
        return self

    def close(self):
        self._server.close()
        for it in list(self._writers):
            it.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                answer = await self._handler(Request(method, parts.path, query, headers, body))
                if answer is None:
                    await reader.read()
                    return
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Runner(Target):
    """A runner of a kind. A crash resets its channels; its next life may be of another kind, under the same id."""

    def __init__(self, name, zone, kind, slowness, deployment):
        self.kind = kind
        self.smaller_since = -SHRUNK_S
        self.server = None
        super().__init__(name, zone, KINDS[kind], slowness, deployment, deployment, deployment.random)

    async def handle(self, request):
        """Leaves a share of the orders unanswered and carries them out 2 to 12 s later, unless it has crashed since."""
        if self.dark:
            return None
        if request.headers.get("expect-runner", self.name) != self.name:
            return 421, {}
        body = request.json()
        if request.path == "/-/hold":
            return await self._hold(body)
        if self._random.random() < self.late:
            born = self.born
            self._checks.record.write("unanswered", runner=self.name, order=request.path[7:], task=body["task"], run=body["run"])
            asyncio.get_running_loop().call_later(
                2 + 10 * self._random.random(), lambda: born == self.born and not self.dark and self._order(request, body))
            return None
        return self._order(request, body)

    def announce(self):
        self._sequence += 1
        state = "ready" if self.draining_since is None else "draining"
        self._store.write_target(self, {
            "service": "desk", "addr": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "1", "slots": 8,
            "state": state, "cold-left-ms": 0, "sequence": self._sequence, "born": self.born,
            "labels": [self.kind, "r-" + self.zone], "capacity": {"cpu": self.cpu, "mem-mb": 65536, "gpu": 0}})

    async def run(self, port):
        self.port = port
        self.server = await PortServer("127.0.0.1", port, self.handle).open()
        self.announce()
        # Each runner writes at a time of its own.
        await asyncio.sleep(HEARTBEAT_S * self._random.random())
        while True:
            if not self.dark:
                self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    def resize(self, cpu):
        """Changes the capacity; what runs goes on."""
        if cpu < self.cpu:
            self.smaller_since = time.monotonic()
        self.cpu = cpu

    async def crash(self, for_s, kind):
        """Ends all that it runs; the next life begins after the time given."""
        self.advance()
        self.dark = True
        self.server.close()
        self.restart()
        await asyncio.sleep(for_s)
        self.kind = kind
        self.resize(KINDS[kind])
        self._started = time.monotonic()
        self._sequence = 0
        self.born = max(self.born + 1, int(time.time() * 1000))
        await self.server.open()
        self.dark = False
        self.announce()


class Instance:
    """A process of the project on an address of its own, started again 0.3 s after it has ended."""

    def __init__(self, name, zone, address, ports, directory, store_port):
        self.name, self.zone, self.address, self.ports = name, zone, address, ports
        self.settings = directory / f"{name}.toml"
        self.log_path = directory / f"{name}.log"
        self.process, self.ready = None, False
        front, readiness, control, first = ports
        zones = "".join(f'{it} = "prairie"\n' for it in ZONES)
        self.settings.write_text(f"""node = "{name}"
role = "dispatch"
class = "front"
serves = ["front"]
ip = "{address}"
zone = "{zone}"
region = "prairie"
port-range = [{first}, {first + 1}]
seeds = []
bootstrap = true
loss-counts = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
commands = "invoke"
[zones]
{zones}[listen]
front = "{address}:{front}"
readiness = "{address}:{readiness}"
control = "{address}:{control}"
[limits]
cpu-quota = 0.25
cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
hold-max-ms = 1000
stop-ms = 50
resend-ms = 1300
config-apply-ms = 2000
drain-ms = 2000
grace-s = 6
[platform]
addr = "127.0.0.1:{store_port}"
form = "log"
writes-per-s = 800
reads-per-s = 2000
parts = 16
record-bytes = 262144
call-bytes = 2097152
keep_s = 300
part-mb = 200
ttl-min-ms = 1000
""", encoding="utf-8")

    @property
    def front(self):
        return self.ports[0]

    def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))["roles"]["dispatch"]
        command = role["run"].split()
        environment = {"PATH": os.environ["PATH"], "EELGRASSCLEAT_NODE_FILE": str(self.settings), **role.get("env", {})}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([ROOT / command[0], *command[1:]], stdout=log, stderr=log, cwd=ROOT,
                                            env=environment)
        # Only the first start is that of the whole system.
        self.settings.write_text(self.settings.read_text(encoding="utf-8").replace("bootstrap = true", "bootstrap = false"),
                                 encoding="utf-8")


class Job:
    crashing_task = ""
    requires = ""

    def __init__(self, number, spec, tasks, cpu, work_s, priority):
        self.id, self.spec, self.tasks, self.cpu, self.work_s, self.priority = number, spec, tasks, cpu, work_s, priority


class Deployment:
    """All parts, on one event loop; only the project's processes are processes of their own."""

    def __init__(self, record, seed, per_zone=3, kinds=("a", "a", "b"), own_store_ports=False):
        """own_store_ports: each instance reaches the store at a port of its own, so that it may turn some away."""
        self.record, self.random = record, random.Random(seed)
        self._directory = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self._directory.name)
        self.store = Store(self.random, lambda reader, topic, key, value: value)
        self.jobs, self.broken, self.answers = {}, [], {}
        self._tasks = set()
        self.running = True
        self.restarts = True
        self._ports = Ports()
        self.store_port, *ports = self._ports.take(1 + 5 + len(ZONES) * len(kinds))
        front, readiness, control, first, _ = ports[:5]
        self._runner_ports = ports[5:]
        count = per_zone * len(ZONES)
        self.store_ports = self._ports.take(count) if own_store_ports else [self.store_port] * count
        self.instances = []
        for z, zone in enumerate(ZONES):
            for i in range(per_zone):
                self.instances.append(Instance(f"front-{zone}-{i + 1}", zone, f"127.0.{z + 1}.{i + 1}",
                                               (front, readiness, control, first), self.directory,
                                               self.store_ports[len(self.instances)]))
        self.runners = {f"{zone[0]}{i}": Runner(f"{zone[0]}{i}", zone, kind, (0.7, 0.7, 1.7)[i % 3], self)
                        for zone in ZONES for i, kind in enumerate(kinds)}

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            raise task.exception()

    async def start(self):
        readers = dict(zip(self.store_ports, (it.name for it in self.instances)))
        self._store_servers = [await PortServer("127.0.0.1", port, self.store.handler(name)).open()
                               for port, name in readers.items()]
        for it, port in zip(self.runners.values(), self._runner_ports):
            self.spawn(it.run(port))
        await asyncio.sleep(0)
        self.publish(1)
        for it in self.instances:
            it.start()
        self.spawn(self._keep_running())
        self.spawn(self._balance())

    def publish(self, version):
        routes = [{"name": f"r{i}", "host": HOST, "path-prefix": f"/q{i}/", "service": "desk", "priority": i,
                   "attempts": 2, "stretch": 1.6, "target-latency-ms": 60, "timeout-ms": 10000} for i in range(3)]
        self.store.write("keyed.op", "config", entry(
            version=version, routes=routes, services=[{"name": "desk"}],
            limits={"max-header-bytes": 16384, "max-body-bytes": 262144, "idle-timeout-ms": 15000}))

    async def _keep_running(self):
        ended = {}
        while self.running:
            for it in self.instances:
                if it.process.poll() is None:
                    ended.pop(it.name, None)
                elif self.restarts and time.monotonic() - ended.setdefault(it.name, time.monotonic()) > 0.3:
                    self.record.write("process-starts", node=it.name)
                    it.start()
            await asyncio.sleep(0.05)

    async def _ask_ready(self, it):
        try:
            answer = await asyncio.wait_for(ask(it.address, it.ports[1], "GET", "/-/ready", {}), 0.9)
        except TimeoutError:
            answer = None
        it.ready = answer is not None and answer[0] == 200

    async def _balance(self):
        while self.running:
            await asyncio.gather(*(self._ask_ready(it) for it in self.instances))
            await asyncio.sleep(1.0)

    async def until_ready(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(it.ready for it in self.instances):
                return True
            await asyncio.sleep(0.1)
        return False

    def kill_owner(self, zone):
        """Kills the process that gives the orders to a zone's runners: the member that holds partitions of its group."""
        group = self.store.groups.get(f"zone.{zone}")
        owners = sorted(set(group.holder.values())) if group else []
        for it in self.instances:
            if it.name in owners[:1] and it.process.poll() is None:
                self.record.write("process-killed", node=it.name)
                it.process.kill()

    # What the runners report.

    def write_target(self, target, fields):
        self.store.write("keyed.servers", target.name, entry(**fields))

    def target_crashes(self, target):
        if target.running:
            self.record.write("lost-with-runner", runner=target.name, runs=len(target.running))

    def run_ended(self, task, how):
        self.record.write("run-ends", task=task, how=how)

    def task_begins(self, target, task, spec):
        job = self.jobs.get(task.split(".")[0])
        self.record.write("run-starts", task=task, runner=target.name)
        if job and job.requires and job.requires != target.kind:
            self.breach("ROUTE", f"{task} requires {job.requires} and starts on {target.name} of kind {target.kind}")
        return job if job and job.spec == spec else None

    def look_at(self, target):
        used = sum(it.cpu for it in target.running.values())
        if used > target.cpu and time.monotonic() - target.smaller_since > SHRUNK_S:
            self.breach("LIMIT", f"runner {target.name} of kind {target.kind} has {used} of {target.cpu} at work")
        for task, run in list(target.running)[-1:]:
            for it in self.runners.values():
                it.advance()
                for other in it.running:
                    if other[0] == task and (it is not target or other[1] != run):
                        began = time.monotonic() - it.running[other].began
                        self.breach("TWICE", f"{task} starts as run {run} on {target.name}, and its run {other[1]} has been at "
                                             f"work on {it.name} for {began:.2f} s")

    def breach(self, rule, detail):
        self.record.write("BROKEN", rule=rule, detail=f'"{detail}"')
        self.broken.append((rule, detail))

    # Clients.

    def new_job(self, tasks, work_s, priority, cpu=27000):
        number = f"{len(self.jobs) + 1:016x}"
        self.jobs[number] = Job(number, f"spec of {number}", tasks, cpu, work_s, priority)
        return self.jobs[number]

    async def attempt(self, job, instance, deadline_ms=1500, step=None):
        """One request. Returns its status (0: no whole answer) and state."""
        body = json.dumps({"spec": job.spec, "best-effort": True, "steps": [
            {"count": job.tasks, "cpu": job.cpu, "mem-mb": 64, "est-ms": int(job.work_s * 1000), **(step or {})}]})
        headers = {"Host": HOST, "Content-Type": "application/json", "Deadline-Ms": str(deadline_ms)}
        self.record.write("sent", job=job.id, node=instance.name)
        try:
            answer = await asyncio.wait_for(ask(instance.address, instance.front, "POST", f"/q{job.priority}/{job.id}",
                                                headers, body.encode()), deadline_ms / 1000 + 0.05)
        except TimeoutError:
            answer = None
        status = answer[0] if answer else 0
        state = json.loads(answer[2] or b"{}").get("state", "") if answer else ""
        self.record.write("answered", job=job.id, node=instance.name, status=status, state=state)
        self.answers[f"{status} {state}".strip()] = self.answers.get(f"{status} {state}".strip(), 0) + 1
        return status, state

    async def submit(self, job, zone=None, attempts=2, **options):
        """Hands a job in as a client of a zone does, and again after no answer, a broken channel, 502 or 504."""
        for attempt in range(attempts):
            ready = [it for it in self.instances if it.ready and zone in (None, it.zone)]
            ready = ready or [it for it in self.instances if it.ready] or self.instances
            status, state = await self.attempt(job, self.random.choice(ready), **options)
            if status not in (0, 502, 504) or attempt + 1 == attempts:
                return status, state
            await asyncio.sleep(RESEND_S)

    async def stop(self):
        self.running = False
        for it in self.instances:
            if it.process and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
        for it in self.instances:
            if it.process:
                it.process.wait()
        for it in list(self._tasks):
            it.cancel()
        await asyncio.sleep(0.1)
        if keep := os.environ.get("KEEP_LOGS"):
            for it in self.instances:
                pathlib.Path(keep, f"{it.name}.log").write_bytes(it.log_path.read_bytes())
        self._directory.cleanup()


async def ask(address, port, method, path, headers, body=b""):
    """One exchange on a channel of its own. Returns (status, headers, body), or None if there was no whole answer."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(address, port)
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await read_head(reader)
        if head is None:
            return None
        first, answer_headers = head
        content = await reader.readexactly(int(answer_headers.get("content-length", "0")))
        return int(first.split(" ")[1]), answer_headers, content
    except (ConnectionError, asyncio.IncompleteReadError, OSError):
        return None
    finally:
        if writer:
            writer.transport.abort()


def play(folder, scenario, seconds, **options):
    """Runs scenario(deployment, trouble) on a new deployment, writes record.txt, and ends the process: 1 if a rule was
    broken, 0 if not, 2 if the case couldn't run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED") or random.SystemRandom().randrange(1 << 30))
    record.write("start", seed=seed, trouble=trouble)

    async def run():
        deployment = Deployment(record, seed, **options)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            await deployment.start()
            if not await deployment.until_ready(20):
                record.write("not-ready", nodes=[it.name for it in deployment.instances if not it.ready])
                return 2
            await asyncio.wait_for(scenario(deployment, trouble), seconds)
            record.write("end", answers=deployment.answers, broken=len(deployment.broken))
            if not deployment.answers.get("200 complete"):
                return 2
            return 1 if deployment.broken else 0
        except (TimeoutError, asyncio.CancelledError):
            return 2
        finally:
            await deployment.stop()

    code = 2
    try:
        code = asyncio.run(run())
    except Exception:
        # Not a broken rule: the interpreter would end with 1.
        traceback.print_exc()
    finally:
        record.write("exit", code=code)
        record.close()
    sys.exit(code)
