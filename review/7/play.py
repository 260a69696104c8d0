"""Clients hand in best-effort jobs that are due some seconds later, twice each, and wait for their end."""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import standins  # noqa: E402

JOBS = 12
DUE_IN_S, INTERVAL_S, REPEATS = 5.0, 2.0, 2
WORK_S = 0.2
EARLY_S = 0.25  # early_ms of the site.


class Case:
    def __init__(self, deployment):
        self.deployment = deployment
        self.due = {}  # Job: Unix seconds of its first occurrence.
        self.early = []
        self.starts = 0
        self.occurrences = {}
        self.answers = {}

    def started(self, runner, task, run, spec):
        self.starts += 1
        job, occurrence, *_ = task.split(".")
        self.occurrences.setdefault(job, set()).add(occurrence)
        due = self.due.get(job)
        if due is None:
            return
        before_s = due + int(occurrence) * INTERVAL_S - time.time()
        if before_s > EARLY_S:
            self.early.append(task)
            self.deployment.record.write("ORDER", task=task, runner=runner.name, s_before_its_time=f"{before_s:.3f}")

    async def submit(self, job, node):
        body = {"spec": f"spec of {job}", "best-effort": True,
                "steps": [{"count": 2, "cpu": 1000, "mem-mb": 64, "est-ms": int(WORK_S * 1000)}]}
        if standins.trouble():
            self.due[job] = time.time() + DUE_IN_S
            body.update({"repeats": REPEATS, "first-ms": int(self.due[job] * 1000), "interval-ms": int(INTERVAL_S * 1000)})
        channel = await standins.Channel.open(node)
        self.deployment.record.write("sent", job=job, node=node.name, body=json.dumps(body))
        answer = await standins.bounded(
            channel.exchange("POST", f"{standins.PREFIX}1/{job}", {"Deadline-Ms": "15000"}, json.dumps(body).encode()), 16)
        channel.close()
        status = answer[0] if answer else 0
        self.answers[status] = self.answers.get(status, 0) + 1
        self.deployment.record.write("answered", job=job, status=status, body=answer and answer[1],
                                     occurrences_begun=len(self.occurrences.get(job, ())))


async def play(deployment):
    case = Case(deployment)
    for it in deployment.runners:
        it.on_start = case.started
        it.work_of = lambda task: (1000, WORK_S)
    await asyncio.sleep(2)
    await asyncio.gather(*(case.submit(f"{i + 1:016x}", deployment.instances[i % len(deployment.instances)])
                           for i in range(JOBS)))
    await asyncio.sleep(DUE_IN_S + (REPEATS - 1) * INTERVAL_S + 2)
    print(f"answers {case.answers}, {case.starts} starts, {len(case.early)} of them before their time")
    return 1 if case.early else 0


standins.main(HERE, play)
