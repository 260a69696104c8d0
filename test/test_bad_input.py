"""Bad input against the real entry process: each gets a typed error that says not run, is counted in /metrics, and
harms no other caller."""

import itertools
import json
import pathlib
import tempfile
import threading
import unittest

from support import caller, processes
from support.deployment import SECRET, Deployment, contract_toml, job, submit, ticket
from support.caller import RawConnection, request_bytes
from support.server_checks import ServerChecks

SUBMISSIONS = "/v1/customers/prairie/submissions"
OTHER_SECRET = "the-other-customers-own-key-0002"
keys = (f"bad-input-{n}" for n in itertools.count())


class EntryCase(unittest.TestCase):
    """One deployment for all tests of a class; its callers must not disturb each other."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = cls.enterClassContext(Deployment(zones=1, per_zone=1, target_settings=[{"slots": 50}]))
        cls.deployment.wait_ready()
        cls.deployment.publish(contract_toml("prairie"))
        cls.deployment.publish(contract_toml("roster"), OTHER_SECRET)
        cls.deployment.add_targets()
        cls.deployment.wait_version(3)
        cls.deployment.wait_names_held()
        cls.entry = cls.deployment.entries[0]
        cls.process = cls.entry.process
        cls.port = cls.entry.port

    def healthy(self):
        body = job(next(keys), tasks=2, run_ms=1, ticket=ticket(self.entry))
        answer = submit(self.entry, body)
        self.assertEqual((answer.status, len(answer.json()["results"])), (200, 2), answer.body)

    def refusals(self, reason):
        return self.entry.metric("eelgrasscleat_http_refusals_total", f'"{reason}"')

    def answers(self, reason):
        return self.entry.metric("eelgrasscleat_answers_total", f'"{reason}"')

    def started(self, key):
        return [it for it in self.deployment.starts() if it[1] == key]


class EntryServerTest(EntryCase, ServerChecks):
    """The checks that every HTTP port must pass."""

    def slow_request(self, run_ms, marker="m"):
        body = job(f"{marker}{next(keys)}", tasks=1, run_ms=run_ms, ticket=ticket(self.entry))
        return request_bytes("POST", SUBMISSIONS, json.dumps(body).encode(), SECRET)


class SubmissionTest(EntryCase):
    def check_refused(self, answer, status, reason, body):
        self.assertEqual(answer.status, status, answer.body)
        self.assertEqual(answer.json()["reason"], reason)
        self.assertEqual(answer.json()["certainty"], "RUN_CERTAINTY_NOT_RUN")
        self.assertEqual(self.started(body["key"]), [])
        self.healthy()

    def test_invalid_json_is_refused_and_counted(self):
        for text in ("{", "[]", "nonsense", '{"tasks": 3}', '{"key": "\\ud800"}', '{"tasks":' * 2000):
            before = self.refusals("invalid_json")
            answer = caller.post(self.port, SUBMISSIONS, text, key=SECRET)
            self.assertEqual((answer.status, answer.json()["error"]), (400, "invalid_json"), text[:40])
            self.assertEqual(self.refusals("invalid_json"), before + 1, text[:40])
        self.healthy()

    def test_unknown_field_is_refused_and_named(self):
        answer = caller.post(self.port, SUBMISSIONS, {**job("unknown-field"), "urgent": True}, key=SECRET)
        self.assertEqual((answer.status, answer.json()["error"]), (400, "invalid_json"))
        self.assertIn("urgent", answer.json()["detail"])
        self.assertEqual(self.started("unknown-field"), [])

    def test_551_tasks_are_refused_and_550_are_not(self):
        body = job("too-many", tasks=551, run_ms=0, ticket=ticket(self.entry))
        before = self.answers("TOO_MANY_TASKS")
        self.check_refused(submit(self.entry, body), 422, "FAILURE_REASON_TOO_MANY_TASKS", body)
        self.assertEqual(self.answers("TOO_MANY_TASKS"), before + 1)
        answer = submit(self.entry, job("most", tasks=550, run_ms=0, ticket=ticket(self.entry)))
        self.assertEqual((answer.status, len(answer.json()["results"])), (200, 550))

    def test_no_task_and_no_key_are_refused(self):
        for body in (job("no-task", tasks=0), job("")):
            self.check_refused(submit(self.entry, body), 400, "FAILURE_REASON_INVALID_REQUEST", body)

    def test_wrong_key_is_unauthorized_and_counted(self):
        body = job("wrong-key", ticket=ticket(self.entry))
        before = self.answers("UNAUTHORIZED")
        for secret in ("wrong", SECRET[:-1], SECRET + "x", OTHER_SECRET):
            self.check_refused(submit(self.entry, body, secret=secret), 401, "FAILURE_REASON_UNAUTHORIZED", body)
        self.assertEqual(self.answers("UNAUTHORIZED"), before + 4)

    def test_missing_key_is_unauthorized_and_counted(self):
        before = self.refusals("unauthorized")
        answer = caller.post(self.port, SUBMISSIONS, job("no-key"))
        self.assertEqual((answer.status, answer.json()["error"]), (401, "unauthorized"))
        self.assertEqual(self.refusals("unauthorized"), before + 1)
        self.assertEqual(self.started("no-key"), [])

    def test_other_customer_sees_and_cancels_nothing(self):
        body = job("private", tasks=1, run_ms=500, ticket=ticket(self.entry))
        caller.post(self.port, SUBMISSIONS + "?wait=0", body, key=SECRET)
        for path in (SUBMISSIONS + "/private", "/v1/customers/roster/submissions/private"):
            for method in ("GET", "DELETE"):
                answer = caller.call(self.port, method, path + "?wait=0", key=OTHER_SECRET)
                self.assertIn(answer.status, (401, 404), (method, path, answer.body))
                self.assertNotIn(b"done:", answer.body)
        own = caller.get(self.port, SUBMISSIONS + "/private", key=SECRET)
        self.assertEqual(own.json()["status"], "ANSWER_STATUS_COMPLETE", own.body)

    def test_customer_in_body_of_another_is_refused(self):
        body = {**job("smuggled", ticket=ticket(self.entry)), "customer": "roster"}
        answer = submit(self.entry, body)
        self.assertIn(answer.status, (400, 401), answer.body)
        self.assertEqual(self.started("smuggled"), [])

    def test_unknown_path_and_method_get_typed_errors(self):
        for method, path, status, error in (
                ("GET", "/", 404, "not_found"), ("GET", "/v2/ticket", 404, "not_found"),
                ("PUT", SUBMISSIONS, 405, "method_not_allowed")):
            answer = caller.call(self.port, method, path, key=SECRET)
            self.assertEqual((answer.status, answer.json()["error"]), (status, error), path)

    def test_path_that_is_no_utf8_names_no_other_submission(self):
        body = job("\ufffd", tasks=1, run_ms=500, ticket=ticket(self.entry))
        caller.post(self.port, SUBMISSIONS + "?wait=0", body, key=SECRET)
        for method, path in (("DELETE", "/%FF"), ("GET", "/%ED%A0%80"), ("GET", "/%C3?wait=0")):
            answer = caller.call(self.port, method, SUBMISSIONS + path, key=SECRET)
            self.assertEqual((answer.status, answer.json().get("error")), (400, "invalid_path"), (path, answer.body))
        own = caller.get(self.port, SUBMISSIONS + "/%EF%BF%BD", key=SECRET)
        self.assertEqual(own.json()["status"], "ANSWER_STATUS_COMPLETE", own.body)

    def test_caller_that_hangs_up_leaves_the_others_their_answers(self):
        bodies = [job(next(keys), tasks=2, run_ms=300, ticket=ticket(self.entry)) for _ in range(10)]
        answers = {}

        def work(body):
            answers[body["key"]] = submit(self.entry, body)

        threads = [threading.Thread(target=work, args=(body,)) for body in bodies]
        for thread in threads:
            thread.start()
        for _ in range(20):
            gone = job(next(keys), tasks=1, run_ms=300, ticket=ticket(self.entry))
            connection = RawConnection(self.port)
            connection.send(request_bytes("POST", SUBMISSIONS, json.dumps(gone).encode(), SECRET))
            connection.close()
        for thread in threads:
            thread.join()
        for body in bodies:
            answer = answers[body["key"]]
            self.assertEqual((answer.status, answer.json()["key"]), (200, body["key"]), answer.body)
        self.assertTrue(self.process.is_running())


class TargetFaultTest(EntryCase):
    def test_target_that_aborts_after_receiving_gets_one_start(self):
        for it in self.deployment.targets.values():
            caller.post(it.port, "/v1/faults", {"drop_after_receive": True})
        self.addCleanup(lambda: [caller.post(it.port, "/v1/faults", {}) for it in self.deployment.targets.values()])
        body = job("aborted", tasks=1, ticket=ticket(self.entry))
        answer = submit(self.entry, body)
        self.assertEqual((answer.status, answer.json()["reason"]), (502, "FAILURE_REASON_TARGET_LOST"), answer.body)
        self.assertIn(answer.json()["certainty"], ("RUN_CERTAINTY_MAY_HAVE_RUN", "RUN_CERTAINTY_RAN"))
        again = submit(self.entry, body)
        self.assertEqual(again.json()["status"], "ANSWER_STATUS_FAILED")
        self.assertEqual(len(self.started("aborted")), 1)


class LoadOnEntryTest(EntryCase):
    def test_mixed_load_breaks_no_promise(self):
        targets = [word for it in self.deployment.targets.values() for word in ("--target", f"127.0.0.1:{it.port}")]
        done = processes.run(
            "eelgrasscleat-load", "--entry", f"127.0.0.1:{self.port}", *targets, "--customer", "prairie",
            "--key", SECRET, "--rate", 40, "--seconds", 3, "--tasks-max", 8, "--run-min-ms", 1, "--run-max-ms", 40,
            "--resubmit", 0.3, "--cancel", 0.1, "--tickets", "any", "--json")
        self.assertTrue(done.stdout, done)
        report = json.loads(done.stdout)
        self.assertEqual((done.returncode, report["violations"], report["unanswered"]), (0, "0", "0"), report)
        self.assertGreater(int(report["starts"]["tasks_started"]), 0)


class SettingsTest(unittest.TestCase):
    GOOD = ('name = "e1"\nzone = "z1"\n[listen]\ncaller_port = 0\npeer_port = 0\noperator_port = 0\n'
            '[platform]\naddress = "127.0.0.1"\nport = 1\n')

    def run_with(self, text, *options):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "entry.toml"
            path.write_text(text, encoding="utf-8")
            return processes.run("eelgrasscleatd", "--settings", path, *options, bound_s=20)

    def test_good_file_passes_the_check(self):
        self.assertEqual(self.run_with(self.GOOD, "--check").returncode, 0)

    def test_each_kind_of_error_is_refused_before_a_port_opens(self):
        cases = {
            "unknown key": (self.GOOD.replace("zone", "zones", 1), ":2", "zones"),
            "wrong type": (self.GOOD.replace("caller_port = 0", 'caller_port = "http"'), ":4", "listen.caller_port"),
            "out of range": (self.GOOD.replace("peer_port = 0", "peer_port = 65536"), ":5", "65536"),
            "missing": (self.GOOD.replace('name = "e1"\n', ""), "entry.toml", "'name'"),
            "syntax": (self.GOOD.replace("port = 1", "port = = 1"), ":9", "read_settings"),
        }
        for name, (text, place, detail) in cases.items():
            with self.subTest(name):
                done = self.run_with(text)
                self.assertEqual((done.returncode, done.stdout), (3, ""), done.stderr)
                self.assertIn(place, done.stderr)
                self.assertIn(detail, done.stderr)


if __name__ == "__main__":
    unittest.main()
