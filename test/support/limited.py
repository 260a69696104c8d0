"""A deployment whose instances have low limits of memory and descriptors, and what one of them holds."""

import asyncio
import contextlib
import json
import pathlib
import resource
import signal
import subprocess
import time
import unittest

from soak.checks import Job
from soak.wire import exchange
from soak.world import HOST, PREFIX, Instance, World, free_ports

from . import processes
from .crowd import Crowd

SEED = 49
# The smallest machine.
MEMORY_MB = 120
DESCRIPTORS = 3075
READY_S = 30.0
# Time for which a crowd stays after it has sent all.
STAY_S = 2.0
# Callers resend after no response, a broken connection, 502 and 504, and come back when told to.
ATTEMPTS = 5
RESEND_S = 1.3
ANSWER_S = 6.0
LOOK_S = 0.05
# Descriptors that a machine reserves for files; sockets and pipes share the rest.
FILE_DESCRIPTORS = 200


class LimitedInstance(Instance):
    """An instance with the limits of its machine in its settings."""

    def __init__(self, name, zone, directory, memory_mb, descriptors):
        super().__init__(name, zone, directory)
        self.memory_mb, self.descriptors = memory_mb, descriptors
        (self.metrics_port,) = free_ports(1)

    def write_settings(self, store_port):
        super().write_settings(store_port)
        text = self.settings.read_text(encoding="utf-8")
        text = text.replace(f"memory-mb = {MEMORY_MB}\n", f"memory-mb = {self.memory_mb}\n")
        self.settings.write_text(text.replace(f"max-fds = {DESCRIPTORS}\n", f"max-fds = {self.descriptors}\n"), encoding="utf-8")

    def start(self):
        limit = (self.descriptors, self.descriptors)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [processes.binary("eelgrasscleat-node"), "--settings", str(self.settings), "--job-parts", "4",
                 "--metrics-port", str(self.metrics_port)], stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit))
        self.seen_version = 0
        self.stopping = False
        self.disturb()

    def ports(self):
        return self.front_port, self.ready_port, self.metrics_port, self.peer_port

    def resident_kb(self):
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii").splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        return 0

    def unread_kb(self):
        """Bytes that the kernel has received for the instance's ports and that the instance has not read."""
        ports = {f"{it:04X}" for it in self.ports()}
        unread = 0
        for line in pathlib.Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
            fields = line.split()
            if fields[1].split(":")[1] in ports and fields[3] == "01":
                unread += int(fields[4].split(":")[1], 16)
        return unread // 1024

    def open_sockets(self):
        count = 0
        for it in pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                count += str(it.readlink()).startswith("socket:")
        return count


class LimitedWorld(World):
    """Three instances with low limits, targets, and no callers but those of the test."""

    def __init__(self, seed, memory_mb, descriptors):
        super().__init__(seed, per_zone=1, targets_per_zone=3, rate=0.001)
        directory = pathlib.Path(self._directory.name)
        self.instances = [LimitedInstance(it.name, it.zone, directory, memory_mb, descriptors) for it in self.instances]
        self.most_kb = 0
        self.most_sockets = 0
        self._last_own_job = 0xc0000

    @property
    def victim(self):
        """The instance that the crowd calls."""
        return self.instances[0]

    async def start(self):
        await super().start()
        end = time.monotonic() + READY_S
        while not all(it.ready for it in self.instances) and time.monotonic() < end:
            await asyncio.sleep(0.1)
        self.spawn(self._watch())

    async def _watch(self):
        """Keeps the most that the victim has held."""
        while self.running:
            self.look()
            await asyncio.sleep(LOOK_S)

    def look(self):
        with contextlib.suppress(OSError):
            self.most_kb = max(self.most_kb, self.victim.resident_kb() + self.victim.unread_kb())
            self.most_sockets = max(self.most_sockets, self.victim.open_sockets())

    def next_job(self, work_s=0.02, cpu=1000, spec="x"):
        """A job that the targets know. Returns it."""
        self._last_own_job += 1
        job = Job(f"{self._last_own_job:016x}", spec, 2, cpu, work_s, 1)
        self.checks.jobs[job.id] = job
        return job

    async def ask(self, path="1", extra_headers=None, pad=0):
        """One ordinary request, sent again as callers do. Returns the status of its last answer; 0 if there was none."""
        job = self.next_job()
        steps = [{"count": job.tasks, "cpu": job.cpu, "mem-mb": 64, "est-ms": 20}]
        body = json.dumps({"spec": job.spec, "best-effort": True, "steps": steps}).encode() + b" " * pad
        headers = {"Host": HOST, "Content-Type": "application/json", "Deadline-Ms": "4000", **(extra_headers or {})}
        for _ in range(ATTEMPTS):
            with contextlib.suppress(TimeoutError):
                answer = await asyncio.wait_for(
                    exchange(self.victim.front_port, "POST", f"{PREFIX}{path}/{job.id}", headers, body), ANSWER_S)
                if answer and answer[0] not in (429, 502, 503, 504):
                    return answer[0]
            await asyncio.sleep(RESEND_S)
        return 0

    async def ask_ready(self):
        """The status of a readiness call; 0 if none of a few was answered."""
        for _ in range(ATTEMPTS):
            with contextlib.suppress(TimeoutError):
                answer = await asyncio.wait_for(exchange(self.victim.ready_port, "GET", "/-/ready", {}), ANSWER_S)
                if answer:
                    return answer[0]
            await asyncio.sleep(RESEND_S)
        return 0


class CrowdCase(unittest.TestCase):
    memory_mb, descriptors = MEMORY_MB, DESCRIPTORS
    # Whether the crowd leaves targets free for others.
    leaves_room = True
    # Whether the instance stands still while the crowd comes.
    stands_still = False

    def prepare(self, world):
        """Called before the crowd comes."""

    def check(self, clients, script, port=lambda victim: victim.front_port):
        asyncio.run(self._play([(clients, script, port)]))

    def check_together(self, crowds):
        asyncio.run(self._play(crowds))

    async def _play(self, crowds):
        world = LimitedWorld(SEED, self.memory_mb, self.descriptors)
        try:
            await world.start()
            self.assertEqual(await world.ask(), 200, "before the crowd")
            first = world.victim.process
            self.prepare(world)
            for clients, script, port in crowds:
                if self.stands_still:
                    first.send_signal(signal.SIGSTOP)
                async with Crowd(port(world.victim), clients, script):
                    await asyncio.sleep(STAY_S)
                    world.look()
                    first.send_signal(signal.SIGCONT)
                    if self.leaves_room:
                        await self._ordinary(world, "beside the crowd")
            await self._ordinary(world, "after the crowd")
            world.look()
            print(f"{self.id().split('.')[-1]}: {world.most_kb} KB, {world.most_sockets} sockets", flush=True)
            self.assertIs(world.victim.process, first, "another process")
            self.assertIsNone(first.poll(), "the process has ended")
            self.assertLess(world.most_kb, self.memory_mb * 1024, "memory, KB")
            self.assertLessEqual(world.most_sockets, self.descriptors - FILE_DESCRIPTORS, "sockets")
            self.assertEqual(world.checks.broken, [])
        finally:
            await world.stop()

    async def _ordinary(self, world, when):
        self.assertEqual(await world.ask(), 200, when)
        self.assertEqual(await world.ask_ready(), 200, when)
