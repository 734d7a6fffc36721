"""A host that is short of processor time refuses at once what it cannot serve.

Guards against requests that are held unanswered past the time limit of their route (incident
bennani-held-requests).
"""

import unittest
from dataclasses import replace
from datetime import timedelta

from endivedrift.core import Importance, RefusalReason, RequestHead, RequestId, Verdict
from endivedrift.core.effects import Effect, RefuseRequest, SendToTarget
from endivedrift.core.events import RequestArrived
from endivedrift.objects import ObjectSet
from tests.builders import HostHarness, build_discovered_set
from tests.slow_host import READ_COST, REFUSE_COST, SERVE_COST, SentRequest, SlowHost

HELD = timedelta(milliseconds=500)
"""Time after a route's time limit at which the users count a request as held."""
MIN_HELD = 8
MAX_HELD_SHARE = 0.25
"""Held requests, and their share of those that reach their time limit, above which the users' rules
are broken."""
MAX_INSTALL_TIME = timedelta(seconds=1)
"""Part of the two seconds within which a change must be in force that is left for the host itself,
after the time between two reads of the store and the way from another host."""
MIN_POSSIBLE_SHARE = 0.65
"""Share of the requests that an overloaded host could serve, beside those that it must refuse."""
TARGETS = 60
ROUTES = ("critical", "normal", "deferrable")
FULL_INTERVAL_S = SERVE_COST.total_seconds()
"""Time between requests that the host can just serve."""


def build_objects() -> ObjectSet:
    objects = build_discovered_set()
    read = objects.route["read"]
    routes = {
        name: replace(read, path=f"/{name}", importance=name, deadline_ms=1200, queue_wait_ms=1199)
        for name in ROUTES
    }
    return replace(objects, route=routes)


def measure_served(requests: list[SentRequest]) -> float:
    return sum(sent.is_served() for sent in requests) / len(requests)


class OverloadedHostTest(unittest.TestCase):
    def overload(self, factor: float, seconds: float = 10.0) -> SlowHost:
        host = SlowHost(build_objects(), TARGETS)
        host.run(seconds, FULL_INTERVAL_S / factor, ROUTES)
        host.run(4.0, 10.0, ROUTES)
        return host

    # Guards against CONFIG: requests unanswered half a second after their route's time limit.
    def test_requests_are_not_held_past_their_time_limit(self) -> None:
        for factor in (1.5, 2.5):
            with self.subTest(factor=factor):
                requests = self.overload(factor).requests
                reaching = sum(sent.is_open(sent.timeout) for sent in requests)
                held = sum(sent.is_open(sent.timeout + HELD) for sent in requests)
                self.assertLess(held, max(MIN_HELD, MAX_HELD_SHARE * reaching), reaching)

    # Guards against refusing more than the processor makes necessary.
    def test_most_of_what_the_processor_could_serve_is_served(self) -> None:
        refusal_cost = (READ_COST + REFUSE_COST) / SERVE_COST
        for factor in (1.5, 2.5):
            with self.subTest(factor=factor):
                possible = (1.0 / factor - refusal_cost) / (1.0 - refusal_cost)
                served = measure_served(self.overload(factor).requests)
                self.assertGreaterEqual(served, MIN_POSSIBLE_SHARE * possible, possible)

    def test_a_host_with_enough_processor_time_refuses_nothing(self) -> None:
        self.assertEqual(measure_served(self.overload(0.8).requests), 1.0)


class NewObjectSetTest(unittest.TestCase):
    # Guards against CONFIG: requests that are handled by an older version, since the host is late.
    def test_a_new_object_set_is_in_force_in_time_on_an_overloaded_host(self) -> None:
        for factor in (1.5, 2.5):
            with self.subTest(factor=factor):
                host = SlowHost(build_objects(), TARGETS)
                host.run(5.0, FULL_INTERVAL_S / factor, ROUTES)
                host.publish(build_objects(), 2)
                host.run(5.0, FULL_INTERVAL_S / factor, ROUTES)
                assert host.installed_after is not None
                self.assertLessEqual(host.installed_after, MAX_INSTALL_TIME)


class WaitedRequestTest(unittest.TestCase):
    """Requests that waited in a host that is not overloaded, behind another of their connection."""

    def arrive(self, waited_s: float) -> tuple[HostHarness, list[Effect]]:
        harness = SlowHost(build_objects(), TARGETS).harness
        now = harness.clock.monotonic()
        head = RequestHead(method="GET", path="/normal")
        waited = timedelta(seconds=waited_s)
        event = RequestArrived(now, harness.clock.wall(), RequestId("r"), head, waited)
        return harness, harness.apply(event)

    # Guards against a time limit that begins only when the request is handled.
    def test_the_time_limit_counts_from_the_last_bytes(self) -> None:
        harness, effects = self.arrive(0.4)
        sent = next(effect for effect in effects if isinstance(effect, SendToTarget))
        self.assertEqual(sent.deadline - harness.clock.monotonic(), timedelta(seconds=0.8))

    def test_a_request_whose_time_has_ended_is_refused_as_not_run(self) -> None:
        _, effects = self.arrive(1.3)
        refusal = next(e.refusal for e in effects if isinstance(e, RefuseRequest))
        self.assertIs(refusal.reason, RefusalReason.OVERLOADED)
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        self.assertIn("while it waited here for 1.30 s", refusal.detail)


class UnequalRequestsTest(unittest.TestCase):
    # Guards against less important requests that are served in place of important ones.
    def test_important_requests_are_served_first_and_no_kind_is_left_out(self) -> None:
        host = SlowHost(build_objects(), TARGETS)
        host.run(10.0, FULL_INTERVAL_S / 2.0, ROUTES)
        late = [sent for sent in host.requests if sent.sent_at >= timedelta(seconds=3)]
        served = [
            measure_served([sent for sent in late if sent.importance is importance])
            for importance in Importance
        ]
        self.assertGreater(served[0], served[1])
        self.assertGreaterEqual(served[1], served[2])
        self.assertGreaterEqual(served[2], 0.25 * measure_served(late))


class RecoveringHostTest(unittest.TestCase):
    # Guards against a host that goes on refusing after its load has gone.
    def test_everything_is_served_again_soon_after_the_load_has_gone(self) -> None:
        host = SlowHost(build_objects(), TARGETS)
        host.run(5.0, FULL_INTERVAL_S / 3.0, ROUTES)
        host.run(4.0, FULL_INTERVAL_S * 2.0, ROUTES)
        before = len(host.requests)
        host.run(3.0, FULL_INTERVAL_S * 2.0, ROUTES)
        host.run(2.0, 10.0, ROUTES)
        self.assertEqual(measure_served(host.requests[before:]), 1.0)

    # Guards against a host that has time and refuses by what it could serve before.
    def test_a_single_request_after_a_burst_is_served(self) -> None:
        host = SlowHost(build_objects(), TARGETS)
        host.run(2.0, FULL_INTERVAL_S / 3.0, ROUTES)
        host.run(1.5, 10.0, ROUTES)
        before = len(host.requests)
        host.run(2.0, 10.0, ROUTES)
        self.assertEqual(measure_served(host.requests[before:]), 1.0)

    # Guards against taking a pause of the process for a lasting lack of processor time.
    def test_a_pause_of_the_process_is_no_overload(self) -> None:
        host = SlowHost(build_objects(), TARGETS)
        host.run(2.0, 0.05, ROUTES)
        host.pause(0.8, 0.05, ROUTES)
        host.run(2.0, 0.05, ROUTES)
        host.run(2.0, 10.0, ROUTES)
        self.assertEqual(measure_served(host.requests), 1.0)
