"""Clients hand in jobs whose spec begins with U+FEFF, as texts do that were saved with a byte order mark."""

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import standins  # noqa: E402

JOBS = 30
TEXT = "plate: Saskatoon Curling 2026; line 2: 1er prix, Équipe {}"
MARK = "\ufeff"


async def submit(deployment, instance, job, spec, escaped):
    """Bodies are JSON; a character may stand in it as itself or escaped."""
    body = json.dumps({"spec": spec, "best-effort": True,
                       "steps": [{"count": 2, "cpu": 1000, "mem-mb": 64, "est-ms": 100}]}, ensure_ascii=escaped).encode()
    channel = await standins.Channel.open(instance)
    answer = await standins.bounded(
        channel.exchange("POST", f"{standins.PREFIX}1/{job}", {"Deadline-Ms": "1500"}, body), 3.0)
    channel.close()
    deployment.record.write("answered", job=job, node=instance.name, status=answer and answer[0])


async def play(deployment):
    sent, wrong, right = {}, [], 0
    starts = []
    for it in deployment.runners:
        it.on_start = lambda runner, task, run, spec: starts.append((runner.name, task, spec))
    await asyncio.sleep(2)
    for i in range(JOBS):
        job = f"{i + 1:016x}"
        spec = TEXT.format(i)
        if standins.trouble() and i % 2 == 0:
            spec = MARK + spec
        sent[job] = spec
        deployment.record.write("sent", job=job, spec=ascii(spec))
        await submit(deployment, deployment.instances[i % len(deployment.instances)], job, spec, i % 4 < 2)
    for runner, task, spec in starts:
        same = spec == sent[task.split(".")[0]]
        right += same
        if not same:
            wrong.append(task)
            deployment.record.write("UNASKED", runner=runner, task=task, spec=ascii(spec))
    print(f"{len(starts)} starts, {right} with the spec that was sent, {len(wrong)} with another one")
    return 1 if wrong else 0 if right == 2 * JOBS else 2


standins.main(HERE, play)
