"""The command `route` with a running host: output, exit statuses, and keys that are never shown."""

import json
import unittest
from dataclasses import replace

from endivedrift.cli._routing import find_differences
from endivedrift.objects import Caller, digest_account_key
from standins.fleet import Fleet, open_fleet
from tests.builders import build_object_set

KEY = b"a-key-that-is-never-shown"


class RouteCommandTest(unittest.TestCase):
    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = open_fleet()
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start_platform()
        objects = build_object_set(targets=4)
        account = Caller(requests_per_s=5.0, burst=10, key_digests=(digest_account_key(KEY),))
        known = replace(objects.route["read"], path="/known", known_callers_only=True)
        objects = replace(
            objects, caller={"agency": account}, route={**objects.route, "known": known}
        )
        cls.fleet.start_host("h1", "a")
        cls.fleet.start_host("h2", "b")
        assert cls.fleet.publish(objects) == 0
        cls.fleet.wait_version(1)
        cls.fleet.wait_members()
        cls.key_file = cls.fleet.directory / "key"
        cls.key_file.write_bytes(KEY + b"\n")

    def test_the_table_names_the_route_the_account_and_the_targets_but_no_key(self) -> None:
        run = self.fleet.run_tool("route", "GET", "/known/7", "--key-file", str(self.key_file))
        print(run.stdout)
        self.assertEqual(run.returncode, 0, run.stderr)
        for part in ("route     known", "agency, 5 requests/s", "send t", "t3"):
            self.assertIn(part, run.stdout)
        for secret in (KEY.decode(), digest_account_key(KEY)):
            self.assertNotIn(secret, run.stdout + run.stderr)
            for log in self.fleet.directory.glob("h*.log"):
                self.assertNotIn(secret, log.read_text("utf-8"))

    def test_a_request_without_a_key_is_refused_at_all_hosts_without_the_store(self) -> None:
        self.fleet.set_platform_faults(down=True)
        run = self.fleet.run_tool("route", "GET", "/known/7", "--all", "--json")
        self.fleet.set_platform_faults()
        self.assertEqual(run.returncode, 7, run.stderr)
        answer = json.loads(run.stdout)
        self.assertEqual(answer["disagreements"], [])
        reasons = {body["refusal"]["reason"] for body in answer["hosts"].values()}
        self.assertEqual((reasons, len(answer["hosts"])), ({"unknown-key"}, 2))

    def test_faulty_arguments_are_told(self) -> None:
        both = ("--account", "agency", "--key-file", str(self.key_file))
        self.assertEqual(self.fleet.run_tool("route", "GET", "/known/7", *both).returncode, 2)
        missing = ("--key-file", str(self.key_file) + ".missing")
        self.assertEqual(self.fleet.run_tool("route", "GET", "/known/7", *missing).returncode, 2)

    def test_asking_charges_nothing(self) -> None:
        key = ("--key-file", str(self.key_file), "--json")
        for _ in range(2):
            run = self.fleet.run_tool("route", "GET", "/known/7", *key)
            host = next(iter(json.loads(run.stdout)["hosts"].values()))
            self.assertIsNone(host["quota"]["tokens"])
        self.assertEqual(self.fleet.list_runs(), [])


class DifferencesTest(unittest.TestCase):
    def test_versions_and_decisions_that_differ_are_told_and_choices_are_not(self) -> None:
        first = {
            "host": "h1",
            "config_version": 3,
            "route": "r",
            "account": None,
            "decision": "send",
            "refusal": None,
            "choices": ["t1"],
        }
        self.assertEqual(find_differences([first, {**first, "host": "h2", "choices": ["t2"]}]), [])
        refused = {"decision": "refuse", "refusal": {"reason": "no-route"}, "config_version": 2}
        self.assertEqual(
            find_differences([first, {**first, "host": "h2", **refused}]),
            [
                "config_version: 3 at h1, 2 at h2",
                "decision: send at h1, refuse at h2",
                "refusal: None at h1, no-route at h2",
            ],
        )


if __name__ == "__main__":
    unittest.main()
