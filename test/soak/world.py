"""A deployment on loopback: instances as real processes, links between all pairs, stand-ins, and callers."""

import asyncio
import json
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time

from support import processes

from .checks import CONTACT_S, LATE_ANSWER_S, Checks, Job
from .store import Store, entry
from .targets import Target
from .wire import KeptConnections, Link, Server, exchange

ZONES = ("north", "middle", "south")
RESEND_S = 1.3
ATTEMPTS = 2
HOST = "desk.example"
PREFIX = "/jobs/"
# A configuration is in force this long after it was accepted, plus the time of a poll on a busy machine.
CONFIG_S = 2.0
POLL_S = 0.4
# Standing still for this long spoils promises with a time bound, whose slack it is a part of.
STALL_S = 0.15
STALL_LOOK_S = 0.05
# An instance that is being stopped takes requests for at least this long, until the balancer has noticed.
STOP_TAKES_S = 1.0
# Payloads that a conversion may change. JSON has each character as itself and escaped, by turns.
SPECS = ("spec of {}", "\ufeffspec of {}", "\ufeff\ufeff{}\ufeff", "\u00fc\U0001f600\uffff {}", "a\x00\n\"\\ufeff {}")
# One job of this many has a schedule.
SCHEDULED_EACH = 40
# Limits of callers' requests.
LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
INSTANCE_TOPIC, TARGET_TOPIC, OPERATOR_TOPIC = "keyed.instances", "keyed.servers", "keyed.op"


def free_ports(count):
    """Ports that nobody uses now, below those that the kernel gives out: one must stay free while its process is down."""
    source = random.SystemRandom()
    ports = []
    while len(ports) < count:
        port = source.randrange(12000, 32000)
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Instance:
    """One instance: a process that is started again whenever it ends, as the platform does."""

    def __init__(self, name, zone, directory):
        self.name, self.zone = name, zone
        self.settings = directory / f"{name}.toml"
        self.log_path = directory / f"{name}.log"
        self.peer_port, self.front_port, self.ready_port = free_ports(3)
        self.process = None
        self.ready = False
        self.seen_version = 0  # Of the configuration, in this life of the process.
        self.disturbed_until = 0.0
        self.restart_at = 0.0
        self.stopping = False
        self.stop_began = float("inf")  # A planned stop with nothing else amiss.

    def write_settings(self, store_port):
        self.settings.write_text(
            f'node = "{self.name}"\nzone = "{self.zone}"\nip = "127.0.0.1"\n'
            f"port-range = [{self.peer_port}, {self.peer_port}]\n"
            f'[listen]\nfront = "127.0.0.1:{self.front_port}"\nreadiness = "127.0.0.1:{self.ready_port}"\n'
            f'[limits]\ncpu-quota = 0.25\nmemory-mb = 120\nmax-fds = 3075\n[platform]\naddr = "127.0.0.1:{store_port}"\n', encoding="utf-8")

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [processes.binary("eelgrasscleat-node"), "--settings", str(self.settings), "--job-parts", "4"], stdout=log, stderr=log)
        self.seen_version = 0
        self.stopping = False
        self.disturb()

    def disturb(self, for_s=0.0):
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + for_s)

    def is_calm(self, for_s=CONTACT_S):
        return time.monotonic() - self.disturbed_until > for_s

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)


class World:
    """Everything around the instances. All of it lives on one event loop; only the instances are processes."""

    def __init__(self, seed, per_zone=3, targets_per_zone=6, rate=14.0):
        self.random = random.Random(seed)
        self.faults_random = random.Random(seed + 1)
        self.crashing_random = random.Random(seed + 2)
        self.checks = Checks()
        self._directory = tempfile.TemporaryDirectory()
        directory = pathlib.Path(self._directory.name)
        self.store = Store(self.random, self._as_seen_by)
        self.instances = [Instance(f"front-{zone}-{i}", zone, directory)
                          for zone in ZONES for i in range(1, per_zone + 1)]
        self._targets_per_zone = targets_per_zone
        self._rate = rate
        self.targets = {}
        self.links = {}  # (instance, kind, name): Link; kind is "store", "peer", "target" or "caller".
        self.callers = {}  # Instance: connections of its callers.
        self._tasks = set()
        self.version = 0
        self.versions = []  # (version, accepted at)
        self._last_job = 0
        self.ends = []  # (seconds, status, state) of whole jobs.
        self.running = True
        self.crashing_share = 0.0  # Of the jobs handed in now: one of their tasks crashes its targets.
        self.stalls = 0  # Times that this process stood still for longer than STALL_S.
        self.logs_kept = None

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self):
        for zone in ZONES:
            for i in range(self._targets_per_zone):
                name = f"t-{zone}-{i}"
                slowness = (0.6, 1.0, 1.6)[i % 3]
                target = Target(name, zone, 32000, slowness, self.store_writer, self.checks, self.random)
                target.port = (await Server(target.handle).start()).port
                self.targets[name] = target
                self.spawn(target.announce_for_ever())
        for it in self.instances:
            server = await Server(self.store.handler(it.name)).start()
            await self._add_link(it, "store", "store", server.port)
            await self._add_link(it, "caller", "caller", it.front_port)
            self.callers[it.name] = KeptConnections(self.links[it.name, "caller", "caller"].port)
            for peer in self.instances:
                if peer is not it:
                    await self._add_link(it, "peer", peer.name, peer.peer_port)
            for target in self.targets.values():
                await self._add_link(it, "target", target.name, target.port)
        self.publish()
        for it in self.instances:
            it.write_settings(self.links[it.name, "store", "store"].port)
            it.start()
        for coroutine in (self._watch_stalls(), self._keep_running(), self._balance(), self._follow_versions(), self._submit_for_ever()):
            self.spawn(coroutine)

    async def _watch_stalls(self):
        """A machine that stands still delays callers and stand-ins, which is no fault of the instances."""
        while self.running:
            before = time.monotonic()
            await asyncio.sleep(STALL_LOOK_S)
            if time.monotonic() - before > STALL_LOOK_S + STALL_S:
                self.stalls += 1
                self.checks.disturbed()
                for it in self.instances:
                    it.disturb()

    async def _add_link(self, instance, kind, name, port):
        self.links[instance.name, kind, name] = await Link(port).start()

    @property
    def store_writer(self):
        return self

    def write_target(self, target, fields):
        self.store.write(TARGET_TOPIC, target.name, entry(**fields))

    def _as_seen_by(self, reader, topic, key, value):
        """Addresses of others lead through the reader's own links to them."""
        if topic not in (INSTANCE_TOPIC, TARGET_TOPIC) or key == reader:
            return value
        kind = "peer" if topic == INSTANCE_TOPIC else "target"
        link = self.links.get((reader, kind, key))
        try:
            fields = json.loads(value)
        except (ValueError, RecursionError):
            return value  # Damaged on purpose.
        if link is None or not isinstance(fields, dict):
            return value
        if kind == "peer":
            fields["port"] = link.port
        elif fields.get("addr") == "":
            fields["addr"] = f"127.0.0.1:{link.port}"
        else:
            return value
        return entry(**fields)

    def publish(self):
        """The operator's next configuration: the route of the jobs, and one that only tells the version."""
        self.version += 1 + self.faults_random.randrange(3)
        routes = [{"name": f"r{i}", "host": HOST, "path-prefix": f"{PREFIX}{i}/", "service": "desk", "priority": i,
                   "attempts": ATTEMPTS, "stretch": 1.6, "target-latency-ms": 60, "timeout-ms": 10000} for i in range(3)]
        routes.append({**routes[0], "name": "probe", "path-prefix": f"/probe-{self.version}/"})
        self.store.write(OPERATOR_TOPIC, "config", entry(
            version=self.version, routes=routes, services=[{"name": "desk"}],
            limits=LIMITS))
        self.versions.append((self.version, time.monotonic()))

    zones = ZONES

    def evacuate(self, zone):
        self.checks.evacuated.setdefault(zone, time.monotonic())
        self.store.write(OPERATOR_TOPIC, f"evacuate/{zone}", entry())

    def take_back(self, zone):
        self.checks.evacuated.pop(zone, None)
        self.store.write(OPERATOR_TOPIC, f"evacuate/{zone}", None)

    async def _keep_running(self):
        """Starts processes again that have ended, 0.3 s later."""
        while self.running:
            for it in self.instances:
                if it.is_running() or not it.process:
                    it.restart_at = 0.0
                    continue
                if it.is_calm() and not it.stopping:
                    self.checks.breach("no process ends by itself", f"{it.name}: code {it.process.returncode}")
                it.restart_at = it.restart_at or time.monotonic() + 0.3
                if time.monotonic() >= max(it.restart_at, it.disturbed_until):
                    it.start()
            await asyncio.sleep(0.05)

    async def _ask_ready(self, instance):
        answer = await _bounded(exchange(instance.ready_port, "GET", "/-/ready", {}), 0.5)
        instance.ready = answer is not None and answer[0] == 200

    async def _balance(self):
        while self.running:
            await asyncio.gather(*(self._ask_ready(it) for it in self.instances))
            await asyncio.sleep(0.5)

    async def _count_answer(self, instance, version):
        headers = {"Host": HOST, "Deadline-Ms": "1000"}
        answer = await _bounded(exchange(instance.front_port, "GET", f"/probe-{version}/", headers), 1.0)
        return answer[0] if answer else 0

    async def _ask_version(self, instance):
        """The version that an instance has, by the routes that it knows; 0: none. None: it changed, or did not answer."""
        process, newest = instance.process, self.versions[-1][0]
        between = [version for version, _ in self.versions if version >= instance.seen_version]
        statuses = {it: await self._count_answer(instance, it) for it in reversed(between)}
        if process is not instance.process or 0 in statuses.values() or newest != self.versions[-1][0]:
            return None
        return max((it for it, status in statuses.items() if status == 200), default=0)

    async def _follow_version(self, instance):
        newest, accepted = self.versions[-1]
        asked_at = time.monotonic()
        seen = await self._ask_version(instance)
        if seen == 0 and instance.seen_version:
            # It may have moved on between two questions.
            seen = await self._ask_version(instance)
            if seen == 0 and instance.seen_version:
                self.checks.breach("a configuration never reverts", f"{instance.name} had {instance.seen_version}")
        if seen is None:
            return
        instance.seen_version = max(seen, instance.seen_version)
        late = asked_at - accepted > CONFIG_S + POLL_S
        if late and seen != newest and instance.is_calm() and self.checks.is_calm():
            self.checks.breach("a configuration is in force in time",
                               f"{instance.name} has {seen} of {newest}, {asked_at - accepted:.2f} s after")

    async def _follow_versions(self):
        while self.running:
            await asyncio.gather(*(self._follow_version(it) for it in self.instances if it.is_running()))
            await asyncio.sleep(POLL_S)

    async def _submit_for_ever(self):
        while self.running:
            await asyncio.sleep(self.random.expovariate(self._rate))
            self.spawn(self._run_job())

    def set_rate(self, rate):
        """Jobs a second from now on."""
        self._rate = rate

    def _choose(self):
        ready = [it for it in self.instances if it.ready] or self.instances
        return self.random.choice(ready)

    async def _run_job(self):
        priority, tasks, work_s = self.random.choice([(0, 6, 0.06), (1, 2, 0.2), (1, 2, 0.2), (2, 4, 0.9)])
        self._last_job += 1
        number = f"{self._last_job:016x}"
        job = Job(number, SPECS[self._last_job % len(SPECS)].format(number), tasks, 14000, work_s, priority)
        if self._last_job % SCHEDULED_EACH == 0:
            job.schedule = {"repeats": 2, "first-ms": int((time.time() + 5) * 1000), "interval-ms": 1000}
        if self.crashing_random.random() < self.crashing_share:
            job.crashing_task = f"{number}.0.0.{tasks - 1}"
        self.checks.jobs[number] = job
        deadline_ms = self.random.choice([2500, 3500, 5000])
        gives_up = self.random.random() < 0.05
        refused_only = True
        for attempt in range(3):
            self.checks.attempt_begins(job)
            status, state = await self._attempt(job, deadline_ms, 0.2 if gives_up else None)
            refused_only = refused_only and status in (429, 503)
            self.checks.attempt_ends(job, status, state, ATTEMPTS, refused_only)
            if status not in (0, 502, 504) or gives_up or attempt == 2:
                break
            await asyncio.sleep(RESEND_S)
        if not gives_up and not job.crashing_task and not job.schedule:
            self.ends.append((time.monotonic() - self.checks.began, status, state))

    async def _attempt(self, job, deadline_ms, give_up_s):
        """Returns status and state; status 0 if no whole answer came."""
        instance = self._choose()
        body = json.dumps({"spec": job.spec, "best-effort": True, "steps": [
            {"count": job.tasks, "cpu": job.cpu, "mem-mb": 64, "est-ms": int(job.work_s * 1000)}],
            **job.schedule}, ensure_ascii=int(job.id, 16) // len(SPECS) % 2 == 0).encode()
        headers = {"Host": HOST, "Content-Type": "application/json", "Deadline-Ms": str(deadline_ms),
                   "Request-Id": f"q{job.id}"}
        began, process = time.monotonic(), instance.process
        bound = give_up_s or deadline_ms / 1000 + LATE_ANSWER_S
        answer = await _bounded(self.callers[instance.name].exchange("POST", f"{PREFIX}{job.priority}/{job.id}", headers, body), bound)
        stopping_late = began > instance.stop_began + STOP_TAKES_S
        calm = not stopping_late and process is instance.process and instance.is_calm(time.monotonic() - began + 1) and not give_up_s
        if answer is None and calm and self.checks.is_calm(time.monotonic() - began + 1):
            self.checks.breach("every request is answered in time",
                               f"{job.id} at {instance.name} after {time.monotonic() - began:.2f} s")
        if answer is None:
            return 0, ""
        state = json.loads(answer[2] or b"{}").get("state", "")
        return answer[0], state

    async def stop(self):
        """Ends all that this world started."""
        self.running = False
        for it in self.instances:
            it.stopping = True
            it.signal(signal.SIGCONT)
            it.signal(signal.SIGKILL)
        for it in self.instances:
            if it.process:
                it.process.wait()
        for it in list(self._tasks):
            it.cancel()
        for it in self.callers.values():
            it.close()
        self.logs_kept = {it.name: it.log_path.read_text(encoding="utf-8", errors="replace").splitlines()
                          for it in self.instances if it.log_path.exists()}
        self._directory.cleanup()


async def _bounded(coroutine, seconds):
    """The result, or None if it takes longer."""
    try:
        return await asyncio.wait_for(coroutine, seconds)
    except TimeoutError:
        return None
