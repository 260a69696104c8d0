"""Owners that the store turns away while it serves the others: they learn from peers what their targets announce."""

import asyncio
import time
import unittest

from soak.world import World

SEED = 41
# The store turns the instances of a zone away for this long, and their targets change soon after.
TURNED_AWAY_S = 9.0
CHANGES_AFTER_S = 0.5
# A leaving target gets nothing new after this: the time until an owner asks a peer, and the peer's answer.
LEAVING_S = 3.0
SETTLE_S = 6.0


class TargetListTest(unittest.TestCase):
    def test_store_turns_owner_away_targets_get_nothing_over_what_they_announce(self):
        broken = asyncio.run(self._play())
        self.assertEqual(broken, [])

    async def _play(self):
        world = World(SEED, rate=30.0)
        world.checks.capacity_is_known = True
        late_starts = []
        try:
            await world.start()
            await asyncio.sleep(SETTLE_S)
            for zone in world.zones:
                await self._turn_away(world, zone, late_starts)
        finally:
            await world.stop()
        self.assertGreater(world.checks.starts, 100)
        promises = ("no target over its capacity", "no task at work twice", "no process ends by itself")
        return late_starts + [it for it in world.checks.broken if it[1] in promises]

    async def _turn_away(self, world, zone, late_starts):
        names = [it.name for it in world.instances if it.zone == zone]
        targets = [it for it in world.targets.values() if it.zone == zone]
        world.store.fault.update(dict.fromkeys(names, "refuse"))
        await asyncio.sleep(CHANGES_AFTER_S)
        leaving, *others = targets
        leaving.draining_since = time.monotonic()
        leaving.announce()
        for it in others:
            it.shrink(0.45)
        await asyncio.sleep(LEAVING_S)
        before = {run for run in leaving.running}
        end = time.monotonic() + TURNED_AWAY_S - CHANGES_AFTER_S - LEAVING_S
        while time.monotonic() < end:
            await asyncio.sleep(0.01)
            late_starts += [f"{run} on {leaving.name}" for run in leaving.running if run not in before]
            before |= set(leaving.running)
        for it in names:
            world.store.fault.pop(it)
        leaving.draining_since = None
        leaving.announce()
        for it in others:
            it.shrink(1.0)
        await asyncio.sleep(2.0)


if __name__ == "__main__":
    unittest.main()
