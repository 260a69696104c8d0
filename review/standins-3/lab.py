"""A small deployment for a case: the built program as separate processes on loopback addresses of their own, started
with the command of the deploy file, and the soak's stand-ins for the store and the targets in this process."""

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

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test"))

from soak.store import Store, entry  # noqa: E402
from soak.targets import Target  # noqa: E402
from soak.wire import Server  # noqa: E402

ZONES = ("north", "middle", "south")
HOST = "desk.example"
SERVICE = "desk"
# Bounds of the sheet of Prairie Plaque.
DEADLINE_S = 1.5
CANCEL_S = 3.0
READY_BOUND_S = 20.0


class CannotRun(Exception):
    """The case could not be set up."""


class Job:
    """A job as a client has submitted it; `steps` has rows of count, work in seconds and steps before."""

    def __init__(self, number, steps, cpu=14000):
        self.id = f"{number:016x}"
        self.spec = f"spec of {self.id}"
        self.steps = steps
        self.cpu = cpu
        self.attempts = []  # (sent at, status or 0, state)
        self.canceled_at = None  # Acknowledgement of the first cancel.

    def body(self):
        rows = []
        for count, work_s, after in self.steps:
            row = {"count": count, "cpu": self.cpu, "mem-mb": 64, "est-ms": int(work_s * 1000)}
            rows.append({**row, "after": list(after)} if after else row)
        return json.dumps({"spec": self.spec, "best-effort": True, "steps": rows}).encode()


class _Work:
    """What the stand-in of a target wants to know of a task that it begins."""

    def __init__(self, work_s, cpu):
        self.work_s, self.cpu, self.crashing_task = work_s, cpu, ""


class Watch:
    """What the targets see. It has the functions that their stand-in calls."""

    def __init__(self):
        self.jobs = {}
        self.targets = []
        self.events = []
        self.twice = []  # (time, task, names of targets)
        self.unasked = []  # (time, task, target, seconds after the cancel's acknowledgement)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, *fields):
        self.events.append((self.now(), " ".join(str(it) for it in fields)))

    def task_begins(self, target, task, spec):
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None or job.spec != spec:
            self.note("UNASKED", task, "on", target.name)
            self.unasked.append((self.now(), task, target.name, 0.0))
            return None
        self.note("start", task, "on", target.name)
        if job.canceled_at is not None and self.now() - job.canceled_at > CANCEL_S:
            self.unasked.append((self.now(), task, target.name, self.now() - job.canceled_at))
        return _Work(job.steps[int(step)][1], job.cpu)

    def look_at(self, target):
        for task, run in list(target.running):
            places = []
            for it in self.targets:
                it.advance()
                places += [f"{it.name}/run {key[1]}" for key in it.running if key[0] == task]
            if len(places) > 1:
                self.note("TWICE", task, places)
                self.twice.append((self.now(), task, places))

    def target_crashes(self, target):
        pass

    def run_ended(self, task, how):
        self.note("end", task, how)


class Instance:
    """One process of the program, on an address of its own, so that all have the same ports."""

    def __init__(self, name, zone, number, directory):
        self.name, self.zone = name, zone
        self.ip = f"127.{number // 250 + 1}.{os.getpid() % 250}.{number % 250 + 1}"
        self.settings = directory / f"{name}.toml"
        self.log_path = directory / f"{name}.log"
        self.process = None

    def write_settings(self, ports, store_port, memory_mb):
        front, ready, peers = ports
        zones = "".join(f'{it} = "prairie"\n' for it in ZONES)
        self.settings.write_text(
            f'node = "{self.name}"\nrole = "dispatch"\nclass = "front"\nzone = "{self.zone}"\nregion = "prairie"\n'
            f'ip = "{self.ip}"\nport-range = [{peers}, {peers + 15}]\nbootstrap = true\n'
            f'[zones]\n{zones}'
            f'[listen]\nfront = "{self.ip}:{front}"\nreadiness = "{self.ip}:{ready}"\n'
            f'[limits]\ncpu-quota = 0.25\ncores = 1\nmemory-mb = {memory_mb}\nmax-fds = 4100\nlink-mbps = 1000.0\n'
            f'[bounds]\nhold-max-ms = 1000\nstop-ms = 50\ncancel_ms = 3000\nresend-ms = 1300\n'
            f'[platform]\naddr = "127.0.0.1:{store_port}"\nform = "log"\nparts = 16\nttl-min-ms = 1000\n',
            encoding="utf-8")

    def start(self, command):
        environment = {**os.environ, "EELGRASSCLEAT_NODE_FILE": str(self.settings), "QT_NO_GLIB": "1"}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)


class Lab:
    def __init__(self, per_zone=3, targets_per_zone=6, zones=ZONES, slowness=(0.6, 1.0, 1.6), memory_mb=260):
        self.random = random.Random()
        self.watch = Watch()
        self._directory = tempfile.TemporaryDirectory()
        directory = pathlib.Path(self._directory.name)
        self.store = Store(self.random, lambda reader, topic, key, value: value)
        self.instances = [Instance(f"front-{zone}-{i}", zone, len(zones) * i + at, directory)
                          for i in range(1, per_zone + 1) for at, zone in enumerate(zones)]
        self.zones = zones
        self._slowness = slowness
        self._targets_per_zone = targets_per_zone
        self._memory_mb = memory_mb
        self.servers = []
        self.tasks = set()
        self.front_port = self.ready_port = 0
        self._last_job = self.random.randrange(1 << 40)
        self.version = 0

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def write_target(self, target, fields):
        self.store.write("keyed.servers", target.name, entry(**{**fields, "addr": f"127.0.0.1:{target.port}"}))

    def publish(self, without=()):
        """The operator's next configuration."""
        self.version += 3
        routes = [{"name": f"r{i}", "host": HOST, "path-prefix": f"/jobs{i}/", "service": SERVICE, "priority": i,
                   "attempts": 2, "stretch": 1.6, "target-latency-ms": 60, "timeout-ms": 10000} for i in range(3) if f"r{i}" not in without]
        self.store.write("keyed.op", "config", entry(version=self.version, routes=routes,
                                                     services=[{"name": SERVICE}], limits={}))

    def _choose_ports(self):
        """Ports that are free on the addresses of all instances, below those that the kernel gives out."""
        for _ in range(200):
            first = self.random.randrange(12000, 30000)
            wanted = [(it.ip, first + i) for it in self.instances for i in range(3)] + [(it.ip, 9464) for it in self.instances]
            try:
                for address in wanted:
                    with socket.socket() as trial:
                        trial.bind(address)
            except OSError:
                continue
            return first, first + 1, first + 2
        raise CannotRun("no free ports")

    async def start(self):
        program = ROOT / "target/bin/eelgrasscleat-node"
        if not program.exists():
            raise CannotRun("target/bin/eelgrasscleat-node is not built")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["dispatch"]["run"].split()
        for zone in self.zones:
            for i in range(self._targets_per_zone):
                target = Target(f"t-{zone}-{i}", zone, 32000, self._slowness[i % len(self._slowness)], self, self.watch, self.random)
                server = await Server(target.handle).start()
                target.port = server.port
                self.servers.append(server)
                self.watch.targets.append(target)
                self.spawn(target.announce_for_ever())
        self.publish()
        self.front_port, self.ready_port, peers = self._choose_ports()
        for it in self.instances:
            server = await Server(self.store.handler(it.name)).start()
            self.servers.append(server)
            it.write_settings((self.front_port, self.ready_port, peers), server.port, self._memory_mb)
            it.start(command)
        await self.until_ready(self.instances)

    async def is_ready(self, instance):
        answer = await self.exchange(instance, "GET", "/-/ready", 0.5, port=self.ready_port)
        return answer[0] == 200

    async def until_ready(self, instances, bound_s=READY_BOUND_S):
        give_up_at = time.monotonic() + bound_s
        while time.monotonic() < give_up_at:
            if all(await asyncio.gather(*(self.is_ready(it) for it in instances))):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the instances did not become ready")

    async def exchange(self, instance, method, path, wait_s, body=b"", deadline_s=None, port=None):
        """One request on a channel of its own, as a sound client sends it: it closes the channel when it stops waiting.
        Returns the status, 0 without a whole answer, and the body."""
        writer = None
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await asyncio.open_connection(instance.ip, port or self.front_port)
                lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
                if body:
                    lines.append("Content-Type: application/json")
                if deadline_s:
                    lines.append(f"Deadline-Ms: {int(deadline_s * 1000)}")
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = next((int(it.split(":")[1]) for it in head.lower().split("\r\n") if it.startswith("content-length")), 0)
                return int(head.split(" ")[1]), await reader.readexactly(length)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return 0, b""
        finally:
            if writer:
                writer.close()

    def new_job(self, steps, cpu=14000):
        self._last_job += 1
        job = Job(self._last_job, steps, cpu)
        self.watch.jobs[job.id] = job
        return job

    async def submit(self, job, instance, queue=1, deadline_s=DEADLINE_S):
        sent = self.watch.now()
        self.watch.note("client sends", job.id, "to", instance.name)
        status, body = await self.exchange(instance, "POST", f"/jobs{queue}/{job.id}", deadline_s, job.body(), deadline_s)
        state = json.loads(body or b"{}").get("state", "") if status else ""
        self.watch.note("client has", status or "no answer", state, "for", job.id, "from", instance.name)
        job.attempts.append((sent, status, state))
        return status, state

    async def stop(self):
        for it in self.instances:
            it.signal(signal.SIGCONT)
            it.signal(signal.SIGKILL)
        for it in self.instances:
            if it.process:
                it.process.wait()
        for it in list(self.tasks):
            it.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for it in self.instances:
                if it.log_path.exists():
                    (pathlib.Path(keep) / it.log_path.name).write_bytes(it.log_path.read_bytes())
        self._directory.cleanup()


def write_record(folder, lab, lines):
    with open(folder / "record.txt", "w", encoding="utf-8") as out:
        out.write("\n".join(lines) + "\n\n")
        for at, text in lab.watch.events:
            out.write(f"{at:9.3f} {text}\n")


def main(folder, play, seconds=110):
    """Plays a case and exits with its code. `play` returns lines for the record, and whether the rule held."""
    async def run():
        lab = Lab(**getattr(play, "lab", {}))
        lines, code = ["the case could not run"], 2
        try:
            async with asyncio.timeout(seconds):
                await lab.start()
                lines, held = await play(lab, os.environ.get("TROUBLE", "1") != "0")
                code = 0 if held else 1
        except (CannotRun, TimeoutError) as error:
            lines = [f"the case could not run: {error!r}"]
        finally:
            await lab.stop()
            write_record(folder, lab, lines)
        print("\n".join(lines))
        return code
    sys.exit(asyncio.run(run()))
