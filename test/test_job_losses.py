"""utils/job-losses.py on a small sample of log lines."""

import json
import pathlib
import subprocess
import sys
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parent.parent / "utils" / "job-losses.py"


def line(second, message, **fields):
    return json.dumps({"time": f"2026-05-15T18:26:{second:06.3f}Z", "message": message, **fields})


def routed(second, job, priority):
    return line(second, "job routed", job=job, priority=priority, dispatcher="a")


def answered(second, job, outcome, reason, took, retry=0):
    return line(second, "job answered", job=job, outcome=outcome, reason=reason, took_ms=str(took), retry_ms=str(retry))


SAMPLE = "\n".join(
    [
        "0.1 front-a " + routed(1.0, "j1", "0"),
        "text { that is no entry, with \"message\"",
        routed(1.1, "j2", "1"),
        line(1.2, "job too late", job="j2", wait_ms="300"),
        routed(1.2, "j2", "1"),
        answered(1.3, "j1", "complete", "none", 300),
        answered(1.35, "j2", "refused", "too_late", 250, 100),
        answered(4.0, "j3", "refused", "no_dispatcher", 0, 1500),
    ]
)


class JobLossesTest(unittest.TestCase):
    def run_script(self, text, *options):
        return subprocess.run([sys.executable, SCRIPT, *options], input=text, capture_output=True, text=True, check=False)

    def test_outcomes_of_sample_counted_by_reason(self):
        rows = [row.split() for row in self.run_script(SAMPLE).stdout.splitlines()]
        self.assertIn(["0", "complete", "none", "1", "300/300/300", "0/0/0", "1.00", "0.00"], rows)
        self.assertIn(["1", "refused", "too_late", "1", "250/250/250", "100/100/100", "2.00", "1.00"], rows)
        self.assertIn(["?", "refused", "no_dispatcher", "1", "0/0/0", "1500/1500/1500", "0.00", "0.00"], rows)

    def test_windows_of_sample_counted_by_arrival(self):
        rows = [row.split() for row in self.run_script(SAMPLE).stdout.splitlines()]
        self.assertIn(["0", "1", "1", "0"], rows)
        self.assertIn(["2", "0", "0", "1"], rows)

    def test_id_prints_lines_of_one_job(self):
        result = self.run_script(SAMPLE, "--id", "j2")
        messages = [json.loads(row)["message"] for row in result.stdout.splitlines()]
        self.assertEqual(messages, ["job routed", "job too late", "job routed", "job answered"])

    def test_log_without_answers_fails(self):
        result = self.run_script(routed(1.0, "j1", "0"))
        self.assertEqual(result.returncode, 1)
        self.assertIn("no line says", result.stderr)


if __name__ == "__main__":
    unittest.main()
