"""The store turns the instances of a zone away for 9 s, and the capacity of that zone's runners shrinks meanwhile."""

import asyncio
import pathlib

from standins.deployment import KINDS, ZONES, play

SECONDS = 85.0
CYCLE_S = 19.0
TURNED_AWAY_S = 9.0
SHRINKS_AFTER_S = 0.5
GROWS_AFTER_S = 12.0
JOBS_PER_S = 3.0


async def clients(deployment, zone):
    while deployment.running:
        await asyncio.sleep(deployment.random.expovariate(JOBS_PER_S))
        deployment.spawn(deployment.submit(deployment.new_job(tasks=8, work_s=0.06, priority=0), zone))


async def scenario(deployment, trouble):
    for zone in ZONES:
        deployment.spawn(clients(deployment, zone))
    end = asyncio.get_running_loop().time() + SECONDS
    await asyncio.sleep(4)
    while asyncio.get_running_loop().time() < end:
        zone = deployment.random.choice(ZONES)
        turned_away = [it.name for it in deployment.instances if it.zone == zone]
        if trouble:
            deployment.record.write("turned-away", nodes=turned_away)
            deployment.store.fault.update(dict.fromkeys(turned_away, "refuse"))
        await asyncio.sleep(SHRINKS_AFTER_S)
        runners = [it for it in deployment.runners.values() if it.zone == zone]
        for it in runners:
            it.resize(KINDS[it.kind] // 2)
            it.announce()
            deployment.record.write("shrinks", runner=it.name, cpu=it.cpu)
        await asyncio.sleep(TURNED_AWAY_S - SHRINKS_AFTER_S)
        for it in turned_away:
            deployment.store.fault.pop(it, None)
        deployment.record.write("served-again", nodes=turned_away)
        await asyncio.sleep(GROWS_AFTER_S - TURNED_AWAY_S)
        for it in runners:
            it.resize(KINDS[it.kind])
            it.announce()
        await asyncio.sleep(CYCLE_S - GROWS_AFTER_S)


play(pathlib.Path(__file__).parent, scenario, SECONDS + 25, own_store_ports=True)
