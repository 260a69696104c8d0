"""Jobs reach targets as their callers sent them, by the real program: any text byte for byte, and what can't be honoured not at all."""

import asyncio
import json
import time
import unittest

from soak.checks import Job
from soak.world import HOST, PREFIX, World
from soak.wire import exchange

SEED = 46
READY_S = 20.0
BOUND_S = 5.0
MARK = "\ufeff"
TEXTS = (MARK + "x", MARK, MARK + MARK + "x" + MARK, "x" + MARK, "a\x00b", "\r\n\t\"\\", "\u00fc\U0001f600", "\ufffe\uffff", "\\ufeff", "\x7f\x80")
# JSON strings that stand for no sequence of characters.
NO_TEXTS = (rb"\ud800", rb"x\udc00", rb"\ude00\ud83d", b"\xff", b"\xed\xa0\x80")
UNSUPPORTED = ({"repeats": 2, "first-ms": 1796000000000, "interval-ms": 2000}, {"repeats": 1}, {"first-ms": 1796000000000},
               {"interval-ms": 1000}, {"gang": True}, {"long-running": True}, {"fills": True}, {"target-ms": 40}, {"may-miss": 1})


class JobsAsSentTest(unittest.TestCase):
    def test_jobs_reach_targets_as_sent_or_are_refused(self):
        self.assertEqual(asyncio.run(self._play()), [])

    async def _play(self):
        self._problems, self._jobs = [], 0
        self._world = World(SEED, per_zone=2, targets_per_zone=3, rate=0.001)
        try:
            await self._world.start()
            await self._wait_ready()
            # All at once, so that jobs go to dispatchers of other instances, too.
            await asyncio.gather(*(self._submit_text(text, escaped) for text in TEXTS * 3 for escaped in (False, True)))
            for text in NO_TEXTS:
                await self._submit_malformed(text)
            for fields in UNSUPPORTED:
                await self._submit_unsupported(fields, {})
                await self._submit_unsupported({}, fields)
            await self._wait_logged({next(iter(fields)) for fields in UNSUPPORTED})
        finally:
            await self._world.stop()
        return self._problems + self._world.checks.broken

    async def _wait_ready(self):
        end = time.monotonic() + READY_S
        while not all(it.ready for it in self._world.instances) and time.monotonic() < end:
            await asyncio.sleep(0.1)

    def _fields_logged(self):
        """Names of the fields for which requests were rejected."""
        lines = [line for it in self._world.instances for line in it.log_path.read_text(encoding="utf-8").splitlines()]
        return {json.loads(line)["detail"].split(":")[0] for line in lines if "request rejected" in line and line.endswith("}")}

    async def _wait_logged(self, names):
        end = time.monotonic() + BOUND_S
        while not names <= self._fields_logged():
            if time.monotonic() > end:
                self._problems.append(f"the logs name {self._fields_logged()}")
                return
            await asyncio.sleep(0.05)

    async def _post(self, job, body):
        self._world.checks.jobs[job.id] = job
        instances = self._world.instances
        instance = instances[int(job.id, 16) % len(instances)]
        headers = {"Host": HOST, "Content-Type": "application/json", "Deadline-Ms": "4000"}
        return await asyncio.wait_for(exchange(instance.front_port, "POST", f"{PREFIX}0/{job.id}", headers, body), BOUND_S)

    def _next_job(self, spec):
        self._jobs += 1
        return Job(f"{0xa0000 + self._jobs:016x}", spec, 2, 1000, 0.02, 0)

    async def _submit_text(self, text, escaped):
        job = self._next_job(text)
        steps = [{"count": job.tasks, "cpu": job.cpu, "mem-mb": 64, "est-ms": 20}]
        answer = await self._post(job, json.dumps({"spec": text, "best-effort": True, "steps": steps}, ensure_ascii=escaped).encode())
        if answer[0] != 200 or len(job.done) != job.tasks:
            self._problems.append(f"{text!r}: {answer[0]} {answer[2]!r}, {len(job.done)} tasks done")

    async def _submit_malformed(self, text):
        job = self._next_job("")
        for body in (b'{"spec":"%s","best-effort":true,"steps":[{"count":1,"cpu":1000}]}' % text,
                     b'{"spec":"x","best-effort":true,"steps":[{"count":1,"cpu":1000,"requires":"%s"}]}' % text):
            answer = await self._post(job, body)
            if answer[0] != 400 or job.begun:
                self._problems.append(f"{body!r}: {answer[0]} {answer[2]!r}")

    async def _submit_unsupported(self, of_job, of_step):
        job = self._next_job("x")
        body = {"spec": "x", "best-effort": True, "steps": [{"count": 2, "cpu": 1000, "mem-mb": 64, **of_step}], **of_job}
        answer = await self._post(job, json.dumps(body).encode())
        headers = {name.lower() for name in answer[1]}
        if answer[0] != 503 or "retry-after" in headers or job.begun:
            self._problems.append(f"{body}: {answer[0]} {answer[2]!r}")


if __name__ == "__main__":
    unittest.main()
