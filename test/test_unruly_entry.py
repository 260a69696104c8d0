"""Clients that don't behave on the ports of the entry process: bounded, and the process still answers."""

import asyncio
import unittest

from support import caller, crowd
from support.crowd import Crowd
from support.deployment import SECRET, Deployment
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


class SubmissionTest(unittest.TestCase):
    def test_body_of_very_many_tasks_is_bounded_before_it_is_decoded(self):
        with Deployment(zones=1, per_zone=1, targets_per_zone=1) as deployment:
            deployment.wait_ready()
            entry = deployment.entries[0]
            body = '{"key":"k","tasks":[' + ",".join(["{}"] * 1_390_000) + "]}"
            for _ in range(3):
                answer = caller.post(entry.port, "/v1/customers/prairie/submissions", body, key=SECRET)
                self.assertEqual(answer.json()["certainty"], "RUN_CERTAINTY_NOT_RUN")
            self.assertTrue(entry.process.is_running())
            self.assertLess(entry.process.peak_kilobytes(), MEMORY_MB * 1024, "memory, KB")


if __name__ == "__main__":
    unittest.main()
