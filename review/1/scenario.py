"""Runners leave half of the orders unanswered for 2 s, and the process that owns the runners of a zone is killed."""

import asyncio
import os
import pathlib

from standins.deployment import ZONES, play

SECONDS = 95.0
CYCLE_S = 2.8
UNANSWERED_S = 2.0
UNANSWERED_SHARE = float(os.environ.get("SHARE", "0.5"))
RUNNERS = 16
# Jobs a second of a zone's clients: two thirds of what its runners can do.
JOBS_PER_S = 2.0
WORK_S = 3.0
DEADLINE_MS = 6000


async def clients(deployment, zone):
    while deployment.running:
        await asyncio.sleep(deployment.random.expovariate(JOBS_PER_S))
        deployment.spawn(deployment.submit(deployment.new_job(tasks=4, work_s=WORK_S, priority=2), zone,
                                           deadline_ms=DEADLINE_MS))


async def scenario(deployment, trouble):
    for zone in ZONES:
        deployment.spawn(clients(deployment, zone))
    end = asyncio.get_running_loop().time() + SECONDS
    await asyncio.sleep(4)
    while asyncio.get_running_loop().time() < end:
        if trouble:
            for it in deployment.runners.values():
                it.late = UNANSWERED_SHARE
            await asyncio.sleep(0.1)
            deployment.kill_owner(deployment.random.choice(ZONES))
            await asyncio.sleep(UNANSWERED_S - 0.1)
        for it in deployment.runners.values():
            it.late = 0.0
        await asyncio.sleep(CYCLE_S - UNANSWERED_S)


play(pathlib.Path(__file__).parent, scenario, SECONDS + 15, kinds=("a", "a", "b") * (RUNNERS // 3) + ("a",) * (RUNNERS % 3))
