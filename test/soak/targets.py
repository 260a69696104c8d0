"""Stand-in for a target: runs tasks under leases and fencing tokens, and tells the checks what it begins and ends."""

import asyncio
import dataclasses
import time

from .checks import ANNOUNCE_S

LONGEST_LEASE_MS = 1000
MEMORY_MB = 65536
LOOK_S = 0.005
# How long a target is away that a task has crashed.
CRASH_S = 2.5


@dataclasses.dataclass
class Run:
    began: float
    work_s: float
    cpu: int

    @property
    def done_at(self):
        return self.began + self.work_s


class Target:
    """One target. `mode` is "" (sound), "hang" or "fail"; `lost` and `late` are shares of orders."""

    def __init__(self, name, zone, cpu, slowness, store, checks, random):
        self.name, self.zone, self.cpu, self.slowness = name, zone, cpu, slowness
        self.largest_cpu = cpu
        self.running = {}
        self._shrunk_at = None
        self._store, self._checks, self._random = store, checks, random
        self.mode = ""
        self.lost = 0.0
        self.late = 0.0
        self.dark = False
        self.draining_since = None
        self.port = 0
        self._sequence = 0
        self.born = 0
        self.restart()

    def restart(self):
        """A new incarnation under the same id: it runs nothing and knows no token."""
        self._checks.target_crashes(self)
        self.running = {}  # (task, run): Run
        self.ends = []
        self._highest = {}
        self._last_end = 0
        self._fence = 0
        self._started = time.monotonic()
        self._lease_ms = 0
        self.born = max(self.born + 1, int(time.time() * 1000))
        self._rate = 1 - 0.02 * self._random.random()

    def crash(self, for_s):
        """Silent for a while, then back as a new incarnation."""
        self.dark = True
        self.restart()
        asyncio.get_running_loop().call_later(for_s, self._return)

    def _return(self):
        self.dark = False
        self.announce()

    def shrink(self, share):
        """Changes the capacity to a share of the largest; what runs goes on."""
        self.cpu = int(self.largest_cpu * share)
        self._shrunk_at = time.monotonic() if share < 1 else None
        self.announce()

    def shrunk_for(self):
        """Seconds since the capacity shrank; 0 if it has not."""
        return time.monotonic() - self._shrunk_at if self._shrunk_at else 0.0

    def clock_ms(self, at=None):
        return int(((at or time.monotonic()) - self._started) * 1000 * self._rate) + 1

    async def announce_for_ever(self):
        while True:
            if not self.dark:
                self.announce()
            await asyncio.sleep(ANNOUNCE_S)

    def announce(self):
        self._sequence += 1
        state = "ready" if self.draining_since is None else "draining"
        self._store.write_target(self, {
            "service": "desk", "addr": "", "zone": self.zone, "version": "1", "slots": 8, "state": state,
            "sequence": self._sequence, "born": self.born, "labels": ["a", "rack-1"],
            "capacity": {"cpu": self.cpu, "mem-mb": MEMORY_MB}})

    def advance(self):
        """Ends what is over by now: done, or lapsed with the lease."""
        now = time.monotonic()
        lapse_at = self._started + (self._lease_ms - 1) / 1000 / self._rate
        for key, run in list(self.running.items()):
            done_at = run.done_at if self.mode != "hang" else float("inf")
            if min(done_at, lapse_at) > now:
                continue
            del self.running[key]
            how = "lapsed" if lapse_at < done_at else "failed" if self.mode == "fail" else "done"
            self._end(key, how)

    def _end(self, key, how):
        self._last_end += 1
        self.ends.append([self._last_end, key[0], key[1], how, ""])
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        self._checks.run_ended(key[0], how)

    async def handle(self, request):
        if self.dark:
            return None
        if request.headers.get("expect-runner", self.name) != self.name:
            return 421, {}
        body = request.json()
        if request.path in ("/-/run-start", "/-/run-stop") and self._random.random() < self.late:
            born = self.born
            delay = 1 + 4 * self._random.random()
            asyncio.get_running_loop().call_later(delay, lambda: born == self.born and self._order(request, body))
            return None
        answer = await self._hold(body) if request.path == "/-/hold" else self._order(request, body)
        return None if self._random.random() < self.lost else answer

    def _conflict(self, reason):
        return 409, {"clock-ms": self.clock_ms(), "reason": reason}

    def _order(self, request, body):
        self.advance()
        if self.dark or body["fence-token"] < self._fence:
            return self._conflict("fence")
        self._fence = body["fence-token"]
        key = (body["task"], body["run"])
        if request.path == "/-/run-stop":
            if self.running.pop(key, None):
                self._end(key, "stopped")
            else:
                self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
            return 200, {"clock-ms": self.clock_ms()}
        if key in self.running:
            return 200, {"clock-ms": self.clock_ms()}
        if body["until-ms"] <= self.clock_ms():
            return self._conflict("late")
        self._renew(body["until-ms"])
        if key[1] <= self._highest.get(key[0], 0):
            return self._conflict("old")
        job = self._checks.task_begins(self, key[0], body["spec"])
        if job:
            self.running[key] = Run(time.monotonic(), job.work_s * self.slowness, job.cpu)
            self._checks.look_at(self)
            if key[0] == job.crashing_task:
                self.crash(CRASH_S)
                return None
        return 200, {"clock-ms": self.clock_ms()}

    def _renew(self, until_ms):
        self._lease_ms = max(self._lease_ms, min(until_ms, self.clock_ms() + LONGEST_LEASE_MS))

    async def _hold(self, body):
        until = time.monotonic() + body.get("wait-ms", 0) / 1000
        while True:
            self.advance()
            if body["fence-token"] < self._fence:
                return self._conflict("fence")
            self._fence = body["fence-token"]
            self.ends = [it for it in self.ends if it[0] > body["acked-upto"]]
            if "until-ms" in body:
                self._renew(body["until-ms"])
            if self.ends or time.monotonic() >= until:
                break
            await asyncio.sleep(LOOK_S)
        now = time.monotonic()
        running = [[task, run, "", 0 if self.mode == "hang" else int(min(99, 100 * (now - it.began) / it.work_s)), it.cpu]
                   for (task, run), it in self.running.items()]
        return 200, {"clock-ms": self.clock_ms(), "born": self.born, "running": running, "finished": self.ends[:500]}
