"""Any configuration that the store accepts comes into force, whatever its values.

Guards against versions that are kept out of force, with all their routes, by a bound of this
software on one value.
"""

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from endivedrift.core import Instant, ServiceName
from endivedrift.fleet import build_routes, find_route
from endivedrift.objects import ObjectSet, Route
from endivedrift.platform._configuration import read_configuration
from endivedrift.platform._entries import read_entry
from endivedrift.platform.platform_test import read_objects
from tests.fuzzing import fuzz_input
from tests.platform_builders import (
    BOUNDS,
    LISTENER_HOST,
    SERVICE,
    build_cluster,
    build_configuration,
    build_entry,
    build_rule,
    build_tenant,
)

DAY_MS = 86_400_000
LONG_TEXT = "n" * 200
ODD_TEXTS = ("two words", "café", "a/b", LONG_TEXT, "_x", "", "\ud800")


def read_rules(*rules: dict[str, Any], host: str = LISTENER_HOST) -> ObjectSet:
    return read_objects(build_configuration(listeners=[{"host": host, "rules": list(rules)}]))


def read_route(rule: dict[str, Any]) -> Route:
    (route,) = read_rules(rule).route.values()
    return route


def list_changes(document: Any) -> list[str]:
    """Returns what the log says of the values that were changed."""
    with capture_logs() as logs:
        read_configuration(document, BOUNDS, Instant(0))
    return [change for entry in logs for change in entry.get("changes", [])]


class FittingTest(unittest.TestCase):
    def test_time_outs_are_kept_up_to_a_day(self) -> None:
        for text, milliseconds in (
            ("180s", 180_000),
            ("2000.5ms", 2_000),
            ("1ms", 1),
            ("0s", 1),
            ("0.4ms", 1),
            ("90000s", DAY_MS),
            ("9" * 300 + "s", DAY_MS),
            ("9" * 350 + "s", DAY_MS),
        ):
            with self.subTest(text[:20]):
                rule = {**build_rule("r", "safe", "/a/", timeout=text), "targetLatency": text}
                route = read_route(rule)
                self.assertEqual(route.deadline_ms, milliseconds)
                self.assertEqual(route.queue_wait_ms, milliseconds - 1)
                self.assertLessEqual(route.aim_ms, DAY_MS)

    def test_limits_of_connections_are_kept_or_brought_within_bounds(self) -> None:
        limits = build_configuration()["limits"]
        for field, value, attribute, expected in (
            ("headerTimeout", "180s", "head_ms", 180_000),
            ("headerTimeout", "200000s", "head_ms", DAY_MS),
            ("idleTimeout", "7200s", "idle_ms", 7_200_000),
            ("idleTimeout", "0ms", "idle_ms", 1),
            ("maxHeaderBytes", 100, "head_bytes", 100),
            ("maxHeaderBytes", 0, "head_bytes", 1),
            ("maxHeaderBytes", 10**30, "head_bytes", 1_048_576),
        ):
            with self.subTest(field=field, value=value):
                document = build_configuration(limits={**limits, field: value})
                (limit,) = read_objects(document).connection_limit.values()
                self.assertEqual(getattr(limit, attribute), expected)
        for value in (10**9, 10**30):
            document = build_configuration(limits={**limits, "maxBodyBytes": value})
            sizes = {r.request_limit_bytes for r in read_objects(document).route.values()}
            self.assertEqual(sizes, {64 * 1024 * 1024})

    def test_connections_of_a_target_are_brought_within_bounds(self) -> None:
        for stated, used in ((0, 1), (100_001, 100_000), (10**30, 100_000)):
            cluster = {**build_cluster(SERVICE), "maxConns": stated}
            (group,) = read_objects(build_configuration(clusters=[cluster])).upstream_group.values()
            self.assertEqual(group.connection_cap, used)

    def test_weights_keep_their_proportions(self) -> None:
        for weights, expected in (
            ([9, 1], [9, 1]),
            ([9.0, 1.0], [9, 1]),
            ([0.5, 1.5], [250_000, 750_000]),
            ([10**30, 3 * 10**30], [250_000, 750_000]),
            ([1e-9, 1], [1, 1_000_000]),
            ([0.25, 0], [1_000_000, 0]),
        ):
            names = [SERVICE, "second"]
            parts = [{"service": s, "weight": w} for s, w in zip(names, weights, strict=True)]
            route = read_route(build_rule("r", "safe", "/a/", trafficSplit=parts))
            self.assertEqual([share.weight for share in route.split], expected)

    def test_a_split_without_weights_refuses_its_requests_and_no_others(self) -> None:
        parts = [{"service": SERVICE, "weight": 0}, {"service": "second", "weight": 0}]
        objects = read_rules(
            build_rule("r", "safe", "/a/", trafficSplit=parts), build_rule("s", "safe", "/b/")
        )
        services = {route.path: (route.service, route.split) for route in objects.route.values()}
        self.assertEqual(services["/b/"], (SERVICE, ()))
        service, split = services["/a/"]
        self.assertEqual(split, ())
        self.assertNotIn(service, (SERVICE, "second"))
        self.assertIn(service, objects.service)

    def test_a_service_of_no_cluster_keeps_no_route_out_of_force(self) -> None:
        objects = read_rules(
            build_rule("r", "safe", "/a/", service="other"), build_rule("s", "safe", "/b/")
        )
        self.assertEqual({r.service for r in objects.route.values()}, {"other", SERVICE})

    def test_rules_of_any_name_keep_their_routes(self) -> None:
        rules = [build_rule(name, "safe", f"/{n}/") for n, name in enumerate(ODD_TEXTS)]
        rules += [build_rule("same", "safe", "/x/"), build_rule("same", "safe", "/y/")]
        paths = sorted(route.path for route in read_rules(*rules).route.values())
        self.assertEqual(paths, [*(f"/{n}/" for n in range(len(ODD_TEXTS))), "/x/", "/y/"])

    def test_listeners_of_any_host_name(self) -> None:
        for stated, header in (
            ("rooms.example:8548", "rooms.example"),
            ("*.example.org", "*.example.org"),
            ("BÜCHER.example", "xn--bcher-kva.example"),
            (f"{LONG_TEXT}.example", f"{LONG_TEXT}.example"),
        ):
            with self.subTest(stated):
                table = build_routes(read_rules(build_rule("r", "safe", "/a/"), host=stated))
                self.assertIsNotNone(find_route(table, "GET", "/a/b", header))
                self.assertIsNone(find_route(table, "GET", "/a/b", "other.example"))

    def test_prefixes_match_paths_as_they_are_sent(self) -> None:
        for prefix, path in (
            ("/a b/", "/a%20b/c"),
            ("/a%20b/", "/a%20b/c"),
            ('/{a}|"/', '/{a}|"/c'),
            ("/café/", "/caf%C3%A9/c"),
            ("/a?b#c/", "/a%3Fb%23c/d"),
        ):
            with self.subTest(prefix):
                table = build_routes(read_rules(build_rule("r", "safe", prefix)))
                self.assertIsNotNone(find_route(table, "GET", path, LISTENER_HOST))

    def test_of_two_rules_with_one_prefix_the_first_applies(self) -> None:
        objects = read_rules(
            build_rule("r", "safe", "/a/"),
            build_rule("s", "safe", "/a/", service="second"),
            build_rule("t", "safe", "/b/"),
        )
        services = {route.path: route.service for route in objects.route.values()}
        self.assertEqual(services, {"/a/": SERVICE, "/b/": SERVICE})

    def test_services_of_any_name_are_those_of_their_targets(self) -> None:
        for name in ODD_TEXTS:
            entry = build_entry()
            entry["info"]["service"] = name
            (route,) = read_rules(build_rule("r", "safe", "/a/", service=name)).route.values()
            self.assertEqual(read_entry("i-1", entry).service, ServiceName(route.service))

    def test_tenants_keep_the_name_that_targets_are_told(self) -> None:
        for name in ("two words", "café", "a/b", LONG_TEXT):
            document = build_configuration(tenants=[build_tenant(name, "k1", ratePerS=10**30)])
            ((key, caller),) = read_objects(document).caller.items()
            self.assertEqual((caller.label or key).encode("latin-1"), name.encode())
            self.assertEqual(caller.requests_per_s, 1e9)
        document = build_configuration(tenants=[build_tenant("acme", "k1")])
        self.assertEqual(read_objects(document).caller["acme"].label, "")

    def test_the_log_names_what_was_changed(self) -> None:
        limits = {**build_configuration()["limits"], "idleTimeout": "200000s"}
        rules = [build_rule("slow", "safe", f"/{n}/", timeout="200000s") for n in range(100)]
        listeners = [{"host": LISTENER_HOST, "rules": rules}]
        changes = list_changes(build_configuration(limits=limits, listeners=listeners))
        self.assertEqual(len(changes), 20)
        self.assertTrue(all("slow.rooms.example.timeout: 86400000 ms" in c for c in changes))
        changes = list_changes(build_configuration(limits=limits))
        self.assertEqual(len(changes), 1)
        self.assertIn("limits.idleTimeout: 86400000 ms", changes[0])
        self.assertEqual(list_changes(build_configuration()), [])

    @fuzz_input
    @given(
        st.text(),
        st.sampled_from(("ms", "s")),
        st.floats(min_value=0, max_value=1e15),
        st.lists(st.fractions(min_value=0).map(float) | st.integers(min_value=0), max_size=4),
    )
    def test_any_name_time_and_weight_comes_into_force(
        self, text: str, unit: str, number: float, weights: list[float]
    ) -> None:
        parts = [{"service": f"{text}{n}", "weight": w} for n, w in enumerate(weights)]
        rule = build_rule(
            text, "safe", f"/{text}/", timeout=f"{number:f}{unit}", trafficSplit=parts or None
        )
        objects = read_objects(
            build_configuration(listeners=[{"host": text, "rules": [rule]}], clusters=[])
        )
        self.assertEqual(len(objects.route), 1)


if __name__ == "__main__":
    unittest.main()
