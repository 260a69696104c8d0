"""Clients that don't behave on the operators' port of the entry process: bounded, and the port still answers."""

import asyncio
import unittest

from support import caller, crowd
from support.crowd import Crowd
from support.deployment import Deployment
from support.limited import MEMORY_MB, STAY_S

CLIENTS = 120


class OperatorPortTest(unittest.TestCase):
    def check(self, script):
        with Deployment(zones=1, per_zone=1, targets_per_zone=1) as deployment:
            deployment.wait_ready()
            entry = deployment.entries[0]
            most_kb = asyncio.run(self._play(entry, script))
            self.assertTrue(entry.process.is_running())
            self.assertLess(most_kb, MEMORY_MB * 1024, "memory, KB")
            self.assertEqual(caller.get(entry.operator_port, "/ready").status, 200, "after the crowd")
            self.assertIn(b"eelgrasscleat_", caller.get(entry.operator_port, "/metrics").body)

    async def _play(self, entry, script):
        async with Crowd(entry.operator_port, CLIENTS, script):
            await asyncio.sleep(STAY_S)
            return entry.process.resident_kilobytes()

    def test_bodies_without_end_are_bounded(self):
        self.check(crowd.endless_body)


if __name__ == "__main__":
    unittest.main()
