"""Tests that values from the platform are converted, and invalid ones rejected with their cause."""

import os
import tempfile
import unittest
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from unittest import mock

from expression import Result

from endivedrift.core import Address, Instant, Refusal, RefusalReason, RequestId, Verdict
from endivedrift.fleet import build_routes, find_route
from endivedrift.objects import (
    Caller,
    FleetBounds,
    ObjectSet,
    decode_object_set,
    digest_account_key,
)
from endivedrift.platform._configuration import read_configuration
from endivedrift.platform._entries import read_entry
from endivedrift.platform._headers import describe_refusal
from endivedrift.platform._node_file import HEDGE_SHARE_VARIABLE, read_node_file
from endivedrift.platform._values import WireError, read_duration
from tests.platform_builders import (
    BOUNDS,
    LISTENER_HOST,
    SERVICE,
    build_cluster,
    build_configuration,
    build_entry,
    build_node_file,
    build_rule,
    build_tenant,
)


def read_objects(document: object, bounds: FleetBounds = BOUNDS) -> ObjectSet:
    fetched = read_configuration(document, bounds, Instant(0))
    match decode_object_set(fetched.canonical):
        case Result(tag="ok", ok=objects):
            return objects
        case Result(tag="error", error=cause):
            raise AssertionError(cause)
    raise AssertionError("a result is either ok or an error")


class ConfigurationTest(unittest.TestCase):
    def test_routes_keep_kind_deadline_and_attempts(self) -> None:
        table = build_routes(read_objects(build_configuration()))
        found = find_route(table, "POST", "/book/7", LISTENER_HOST)
        assert found is not None
        self.assertFalse(found.route.repeatable)
        self.assertEqual(found.route.deadline, timedelta(seconds=2))
        self.assertEqual(found.route.max_attempts, 2)

    def test_tenants_become_accounts_that_hold_no_keys(self) -> None:
        rules = [
            build_rule("a", "safe", "/a/"),
            {**build_rule("b", "safe", "/b/"), "public": True},
        ]
        tenants = [
            build_tenant("acme", "k1", "k1", priority=0, ratePerS=48, burst=7),
            {"name": "free", "apiKeys": []},
        ]
        listeners = [{"host": LISTENER_HOST, "rules": rules}]
        document = build_configuration(tenants=tenants, listeners=listeners)
        objects = read_objects(document)
        expected = Caller(
            requests_per_s=48.0,
            burst=7,
            key_digests=(digest_account_key(b"k1"),),
            importance="critical",
        )
        self.assertEqual(objects.caller, {"acme": expected, "free": Caller()})
        known_only = {r.path: r.known_callers_only for r in objects.route.values()}
        self.assertEqual(known_only, {"/a/": True, "/b/": False})
        without = read_objects(build_configuration(listeners=listeners, tenants=[]))
        self.assertFalse([r for r in without.route.values() if r.known_callers_only])

    def test_the_longest_prefix_of_the_named_host_wins(self) -> None:
        rules = [build_rule("a", "safe", "/a/"), build_rule("b", "unsafe", "/a/b/")]
        listeners = [
            {"host": LISTENER_HOST, "rules": rules},
            {"host": "other.example", "rules": [build_rule("a", "safe", "/")]},
        ]
        table = build_routes(read_objects(build_configuration(listeners=listeners)))
        found = [
            find_route(table, "GET", path, LISTENER_HOST) for path in ("/a/b/c", "/a/x", "/a", "/")
        ]
        names = [route.name if route is not None else None for route in found]
        self.assertEqual(names, [f"b.{LISTENER_HOST}", f"a.{LISTENER_HOST}", None, None])
        self.assertIsNotNone(find_route(table, "GET", "/a", "other.example"))
        self.assertIsNone(find_route(table, "GET", "/a/b/c", "third.example"))

    def test_more_attempts_than_a_route_allows_are_cut_to_the_most(self) -> None:
        rule = build_rule("read", "safe", "/stays/", maxAttempts=50)
        document = build_configuration(listeners=[{"host": LISTENER_HOST, "rules": [rule]}])
        route = read_objects(document).route[f"read.{LISTENER_HOST}"]
        self.assertEqual(route.max_attempts, 10)

    def test_hedges_are_off_unless_the_bounds_allow_them(self) -> None:
        self.assertEqual(read_objects(build_configuration()).hedge_rule, {})
        bounds = replace(BOUNDS, hedge_share=0.05)
        objects = read_objects(build_configuration(), bounds)
        rule = objects.hedge_rule[objects.service[SERVICE].hedge_rule]
        self.assertEqual(rule.max_extra_share, 0.05)

    def test_only_kinds_that_are_known_as_idempotent_are_repeated(self) -> None:
        kinds = ("safe", "download", "unsafe", "odd", "Safe", "")
        rules = [build_rule(f"r{n}", kind, f"/{n}/") for n, kind in enumerate(kinds)]
        document = build_configuration(listeners=[{"host": LISTENER_HOST, "rules": rules}])
        routes = read_objects(document).route
        repeatable = [routes[f"r{n}.{LISTENER_HOST}"].repeatable for n in range(len(kinds))]
        self.assertEqual(repeatable, [True, True, False, False, False, False])

    def test_a_split_names_every_service(self) -> None:
        parts = [{"service": SERVICE, "weight": 9}, {"service": "second", "weight": 1}]
        rule = build_rule("read", "safe", "/stays/", trafficSplit=parts)
        del rule["action"]["service"]
        document = build_configuration(
            listeners=[{"host": LISTENER_HOST, "rules": [rule]}],
            clusters=[build_cluster(SERVICE), build_cluster("second")],
        )
        route = read_objects(document).route[f"read.{LISTENER_HOST}"]
        self.assertEqual(
            [(s.service, s.weight) for s in route.split], [(SERVICE, 9), ("second", 1)]
        )

    def test_an_invalid_configuration_is_rejected_with_field_and_cause(self) -> None:
        for document, cause in (
            ({}, "version: is missing"),
            (build_configuration(limits={}), "maxBodyBytes: is missing"),
            (build_configuration(clusters="none"), "clusters: 'none' is of another type"),
            (
                build_configuration(
                    listeners=[
                        {
                            "host": LISTENER_HOST,
                            "rules": [{**build_rule("r", "safe", "/a/"), "kind": 7}],
                        }
                    ]
                ),
                "kind: a value of the type int is of another type",
            ),
            (
                build_configuration(
                    listeners=[{"host": LISTENER_HOST, "rules": [build_rule("r", "safe", "a/")]}]
                ),
                "path",
            ),
        ):
            with self.assertRaisesRegex(WireError, cause):
                read_configuration(document, BOUNDS, Instant(0))


class EntryTest(unittest.TestCase):
    def test_an_entry_holds_address_slots_and_state(self) -> None:
        entry = read_entry("i-1", build_entry(state="draining", warmupLeft="2.5s"))
        self.assertEqual((entry.address, entry.slots), (Address("127.0.0.1:9000"), 2))
        self.assertTrue(entry.leaving)
        self.assertEqual(entry.warm_up_left, timedelta(seconds=2))

    def test_invalid_entries_are_rejected(self) -> None:
        for document in (
            None,
            [],
            {"address": "127.0.0.1:9000"},
            build_entry(state="resting"),
            build_entry(sequence="four"),
            build_entry(address="nowhere"),
            build_entry(warmupLeft=3),
            {**build_entry(), "born": "today"},
        ):
            with self.assertRaises(WireError):
                read_entry("i-1", document)


class RefusalTest(unittest.TestCase):
    def status(self, reason: RefusalReason, verdict: Verdict) -> int:
        refusal = Refusal(reason, verdict, verdict, timedelta(milliseconds=250), "why")
        return describe_refusal(refusal, RequestId("r")).status

    def test_statuses_for_requests_not_run_are_used_only_for_them(self) -> None:
        for reason in RefusalReason:
            self.assertNotIn(self.status(reason, Verdict.MAY_HAVE_RUN), (429, 503))

    def test_retry_after_of_a_request_not_run_has_fractions_of_a_second(self) -> None:
        refusal = Refusal(
            RefusalReason.QUEUE_WAIT,
            Verdict.NOT_RUN,
            Verdict.NOT_RUN,
            timedelta(milliseconds=250),
            "full",
        )
        answer = describe_refusal(refusal, RequestId("r"))
        self.assertEqual(answer.status, 503)
        self.assertIn((b"retry-after", b"0.250"), answer.headers)


class NodeFileTest(unittest.TestCase):
    def read(self, text: str) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            self.node_file = read_node_file(Path(file.name))

    def test_settings_are_derived_from_the_file(self) -> None:
        self.read(build_node_file("127.0.0.1", "127.0.0.2:80", ["127.0.0.3"], 7000))
        settings = self.node_file.settings
        self.assertEqual(settings.listen.peers, "127.0.0.1:7004")
        self.assertEqual(settings.fleet.seeds, ("127.0.0.3:7004",))
        limits = settings.limits
        self.assertLess(limits.leave_wait_s + limits.drain_s, 6.0)

    def test_the_memory_of_the_host_is_read(self) -> None:
        text = build_node_file("127.0.0.1", "127.0.0.2:80", [], 7000)
        self.read(text)
        self.assertEqual(self.node_file.settings.limits.memory_mb, 200.0)
        self.read(text.replace("[limits]", "[limits]\nmemoryMb = 552"))
        self.assertEqual(self.node_file.settings.limits.memory_mb, 552.0)
        for value in ("0", "-1", "nan", '"200"'):
            with self.assertRaisesRegex(WireError, "memoryMb"):
                self.read(text.replace("[limits]", f"[limits]\nmemoryMb = {value}"))

    # Guards against more connections than the machine has descriptors for.
    def test_connections_follow_from_the_descriptors(self) -> None:
        text = build_node_file("10.1.0.1", "10.200.1.7:8541", ["10.1.0.1"], 8500)
        shares = (
            ("", (2_000, 256, 256, 32)),
            ("maxFds = 4100", (2_000, 256, 256, 32)),
            ("maxFds = 500", (156, 19, 19, 4)),
        )
        for line, expected in shares:
            self.read(text.replace("[limits]", f"[limits]\n{line}"))
            limits = self.node_file.settings.limits
            connections = (
                limits.caller_connections,
                limits.query_connections,
                limits.peer_connections,
                limits.operator_connections,
            )
            self.assertEqual(connections, expected, line)
        for value in (0, 299, -1, '"4100"'):
            with self.assertRaisesRegex(WireError, "maxFds"):
                self.read(text.replace("[limits]", f"[limits]\nmaxFds = {value}"))

    def test_a_missing_field_is_named(self) -> None:
        text = build_node_file("127.0.0.1", "127.0.0.2:80", [], 7000)
        with self.assertRaisesRegex(WireError, "grace"):
            self.read(text.replace('grace = "6s"', ""))

    # Guards against a limit that is mistyped and taken for another, or for none.
    def test_the_share_of_hedges_comes_from_the_environment(self) -> None:
        text = build_node_file("127.0.0.1", "127.0.0.2:80", [], 7000)
        for value, share in ((None, 0.0), ("0", 0.0), ("0.05", 0.05), ("1", 1.0)):
            environment = {} if value is None else {HEDGE_SHARE_VARIABLE: value}
            with self.subTest(value), mock.patch.dict(os.environ, environment):
                self.read(text)
                self.assertEqual(self.node_file.bounds.hedge_share, share)
        for value in ("", "1.1", "-0.1", "nan", "5%", "0,05"):
            environment = {HEDGE_SHARE_VARIABLE: value}
            is_rejected = self.assertRaisesRegex(WireError, HEDGE_SHARE_VARIABLE)
            with self.subTest(value), mock.patch.dict(os.environ, environment), is_rejected:
                self.read(text)

    def test_durations_need_a_unit(self) -> None:
        self.assertEqual(read_duration({"f": "2.5s"}, "f"), timedelta(seconds=2.5))
        for value in ("2", "s", 3, "-1s", "1m", "9" * 31 + "s", "100000s", None):
            with self.assertRaises(WireError):
                read_duration({"f": value}, "f")
