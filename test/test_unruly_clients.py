"""Clients that don't behave, against a real instance with the limits of the smallest machine. Judged are only that it lives, what it
holds, and that ordinary requests and readiness calls are answered afterwards."""

import asyncio
import unittest

from soak.checks import Job
from soak.world import HOST
from support import crowd
from support.limited import SEED, CrowdCase, LimitedWorld

CLIENTS = 400
# For scripts that send far more than a request may have.
FEW_CLIENTS = 120


class BodyTest(CrowdCase):
    def test_trailers_without_end_are_bounded(self):
        self.check(FEW_CLIENTS, crowd.endless_trailers)

    def test_trailer_line_of_70_kb_leaves_process_alive(self):
        self.check(1, crowd.trailer_of_70_kb)

    def test_chunk_line_without_end_is_bounded(self):
        self.check(FEW_CLIENTS, crowd.endless_chunk_line)

    def test_large_chunks_stopping_short_are_bounded(self):
        self.check(CLIENTS, crowd.large_chunks_without_end)

    def test_small_chunks_stopping_short_are_bounded(self):
        self.check(CLIENTS, crowd.small_chunks_without_end)

    def test_bodies_of_known_size_stopping_short_are_bounded(self):
        self.check(CLIENTS, crowd.body_of_known_size_without_end)


class HeadTest(CrowdCase):
    def test_short_lines_stopping_short_are_bounded(self):
        self.check(CLIENTS, crowd.short_lines_without_end)

    def test_short_lines_before_open_body_are_bounded(self):
        self.check(CLIENTS, crowd.short_lines_before_open_body)


class AnswerTest(CrowdCase):
    """Answers that nobody takes."""

    def test_answers_of_front_port_not_taken_are_bounded(self):
        request = f"GET /jobs/1/ HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
        self.check(FEW_CLIENTS, crowd.pipelined(request, 20000))

    def test_answers_of_readiness_port_not_taken_are_bounded(self):
        self.check(16, crowd.pipelined(b"GET / HTTP/1.1\r\n\r\n", 100000), lambda victim: victim.ready_port)

    def test_answers_of_metrics_port_not_taken_are_bounded(self):
        self.check(16, crowd.pipelined(b"GET /metrics HTTP/1.1\r\n\r\n", 2000), lambda victim: victim.metrics_port)


class WaitingTest(CrowdCase):
    """Requests that were read and wait for their tasks."""

    leaves_room = False

    def prepare(self, world):
        for it in range(CLIENTS):
            job = Job(f"{it:016x}", self._text, 9, 32000, 3.0, 1)
            world.checks.jobs[job.id] = job

    def test_large_jobs_that_wait_are_bounded(self):
        self._text = crowd.LONG_TEXT.decode()
        self.check(CLIENTS, crowd.job_with_long_text)

    def test_jobs_of_many_steps_that_wait_are_bounded(self):
        self._text = crowd.LEGAL_TEXT.decode()
        self.check(CLIENTS, crowd.job_of_many_steps)


class ConnectionTest(CrowdCase):
    descriptors = 500

    def test_silent_connections_on_all_ports_are_bounded(self):
        self.check_together([(600, crowd.silence, lambda victim, it=it: victim.ports()[it]) for it in range(4)])

    def test_refused_connections_are_bounded(self):
        self.check(600, lambda _: iter([b"\0\r\n\r\n"]))


class StalledTest(CrowdCase):
    """What the kernel keeps for a process that reads nothing counts as its memory."""

    memory_mb = 64
    stands_still = True

    def test_unread_bytes_of_front_port_are_bounded(self):
        self.check(1000, lambda _: iter([b" " * crowd.PIECE * 4]))


class CalmTest(CrowdCase):
    """One legal request alone is served, however odd its lines."""

    def test_largest_legal_requests_are_served(self):
        asyncio.run(self._play_legal())

    async def _play_legal(self):
        world = LimitedWorld(SEED, self.memory_mb, self.descriptors)
        try:
            await world.start()
            odd = crowd.odd_legal_requests(world)
            self.assertEqual(await world.ask(pad=crowd.BODY_BYTES - 200), 200)
            for name, job, pieces in odd:
                status = await crowd.send_slowly(world.victim.front_port, pieces)
                self.assertEqual((status, len(job.done)), (200, job.tasks), name)
            self.assertEqual(world.checks.broken, [])
        finally:
            await world.stop()


if __name__ == "__main__":
    unittest.main()
