"""Tests that what a process has stated holds while its registration, its service or its route goes.

Each test drives the reducer of one host with a virtual clock and is named after its pattern.
"""

import unittest
from dataclasses import replace
from datetime import timedelta
from random import Random

from endivedrift.core import (
    Address,
    AttemptOutcome,
    EvidenceDelta,
    ForwardOutcome,
    MemberStatus,
    ProcessId,
    ServiceName,
    TargetState,
)
from endivedrift.core.effects import DeliverAnswer, ForwardToPeer, SendToTarget
from endivedrift.core.events import (
    ForwardFinished,
    StoreAnswered,
    TargetsObserved,
)
from endivedrift.fleet import build_membership
from endivedrift.reducer import may_still_send
from tests.announcements_test import TARGET, AnnouncementTest
from tests.builders import (
    SERVICE,
    WRITE_PATH,
    build_answer,
    build_config_fetched,
    build_discovered_set,
    build_identity,
    build_target_entry,
)
from tests.invariants import check_states

LONG_HOLD = timedelta(seconds=60)
SEND_COUNT = 40


class StatementTest(AnnouncementTest):
    """Takes away the route of the targets' service, or the registration of one of them."""

    def change_route(self, service: str, version: int) -> None:
        objects = build_discovered_set(service=service)
        self.harness.apply(build_config_fetched(self.harness.clock, objects, version=version))
        self.harness.advance(0.5)

    def remove_route(self) -> None:
        self.change_route("other", version=2)

    def restore_route(self) -> None:
        self.change_route(SERVICE, version=3)

    def remove_registration(self) -> None:
        """Lets the target's registration vanish, for longer than it may be kept."""
        self.observe(TARGET, numbers=())
        self.harness.advance(3.0)
        self.assertNotIn(TARGET, self.harness.state.discovered)

    def end_outage(self) -> None:
        """Lets the store answer for the first time, so that lapsed registrations are kept."""
        now = self.harness.clock.monotonic()
        self.harness.apply(StoreAnswered(now, now, 0, 0))

    def assert_unused(self) -> None:
        self.assertNotIn(TARGET, self.send(SEND_COUNT))
        check_states(self.harness.state)


class LostRouteTest(StatementTest):
    # Guards against DRAIN: a registration that lapsed after an outage of the store was kept, and
    # what its process had said was not.
    def test_it_stays_out_when_its_registration_is_kept_while_there_is_no_route(self) -> None:
        self.finish(self.send_to_target(), leaving=True)
        self.remove_route()
        self.end_outage()
        self.observe(TARGET, numbers=())
        self.restore_route()
        self.assert_unused()

    # Guards against DRAIN: as above, and its second removal replaced what the first one had kept.
    def test_it_stays_out_when_it_is_registered_again_after_that(self) -> None:
        self.finish(self.send_to_target(), leaving=True)
        self.remove_route()
        self.end_outage()
        self.observe(TARGET, numbers=())
        self.harness.advance(3.0)
        self.observe()
        self.restore_route()
        self.assert_unused()

    # Guards against DRAIN: an answer was not heeded that came when its target had no registration.
    def test_it_stays_out_when_it_says_so_with_no_route_and_no_registration(self) -> None:
        sent = self.send_to_target()
        self.remove_route()
        self.observe(TARGET, numbers=())
        self.finish(sent, leaving=True)
        self.observe()
        self.restore_route()
        self.assert_unused()

    # Guards against DRAIN: as above, while there is a route.
    def test_it_stays_out_when_it_says_so_without_a_registration(self) -> None:
        sent = self.send_to_target()
        self.remove_registration()
        self.finish(sent, leaving=True)
        self.observe()
        self.harness.advance(5.0)
        self.assert_unused()

    # Guards against BUDGET: the time of a refusal was not kept that came while there was no route.
    def test_it_gets_nothing_for_the_time_that_it_states_with_no_route(self) -> None:
        sent = self.send_to_target()
        self.remove_route()
        self.finish(sent, AttemptOutcome.SHED, retry_after=LONG_HOLD)
        self.restore_route()
        self.assert_unused()

    # Guards against more requests than a target takes, whose limit came while there was no route.
    def test_a_limit_counts_that_it_states_with_no_route(self) -> None:
        sent = self.send_to_target()
        self.remove_route()
        self.finish(sent, rate_limit=0.0)
        self.restore_route()
        self.assert_unused()


class LostPathTest(StatementTest):
    # Guards against DRAIN: an answer that broke off was not heeded at a host with no path.
    def test_it_stays_out_when_its_answer_breaks_off_on_a_lost_path(self) -> None:
        sent = self.send_to_target()
        self.harness.state.path.is_cut = True
        self.finish(sent, AttemptOutcome.CUT, leaving=True)
        self.harness.state.path.is_cut = False
        self.harness.advance(20.0)
        self.assert_unused()

    # Guards against DRAIN: an answer was not heeded whose request had ended.
    def test_it_stays_out_when_its_answer_comes_after_its_caller_has_left(self) -> None:
        sent = self.send_to_target()
        del self.harness.state.requests[sent.request]
        self.finish(sent, leaving=True)
        record = self.harness.state.services[ServiceName(SERVICE)].targets[TARGET]
        self.assertIs(record.state, TargetState.LEAVING)


class ToldTest(StatementTest):
    """Another host tells of what the target has said to it."""

    def setUp(self) -> None:
        super().setUp()
        self.other = build_membership(build_identity("h2"), Random(1)).me

    def tell(self, started_ms: int = 1) -> None:
        """Lets the other host tell that a process of the target is leaving."""
        delta = EvidenceDelta(
            ServiceName(SERVICE), TARGET, 0, 0, True, leaving_started_ms=started_ms
        )
        self.harness.receive_evidence(self.other, delta)

    def test_it_stays_out_when_another_host_says_so(self) -> None:
        for started_ms in (0, 1):
            with self.subTest(started_ms=started_ms):
                self.setUp()
                self.tell(started_ms)
                self.assert_unused()

    # Guards against DRAIN: what another host said was not heeded while there was no route.
    def test_it_stays_out_when_another_host_says_so_with_no_route(self) -> None:
        for started_ms in (0, 1):
            with self.subTest(started_ms=started_ms):
                self.setUp()
                self.remove_route()
                self.tell(started_ms)
                self.restore_route()
                self.assert_unused()

    # Guards against DRAIN: as above, before the registration was known here.
    def test_it_stays_out_when_another_host_says_so_before_it_is_known(self) -> None:
        self.remove_registration()
        self.tell(started_ms=2)
        self.observe(born=2)
        self.harness.advance(5.0)
        self.assert_unused()

    # Guards against new targets without requests: a report on the earlier process came late.
    def test_the_process_that_replaces_it_is_used_when_another_host_tells_of_it_late(self) -> None:
        self.observe(born=2)
        self.tell(started_ms=1)
        self.harness.advance(5.0)
        self.assertIn(TARGET, self.send(SEND_COUNT))


class ForwardedTest(StatementTest):
    """A request is forwarded to another host, which uses the target."""

    def forward(self) -> ForwardToPeer:
        other = build_membership(build_identity("h2"), Random(1)).me
        self.harness.receive_notice(other.with_status(MemberStatus.ALIVE))
        self.harness.state.path.is_cut = True
        for _ in range(SEND_COUNT):
            for effect in self.harness.receive_request("POST", WRITE_PATH)[1]:
                if isinstance(effect, ForwardToPeer):
                    return effect
        raise AssertionError("no request was forwarded")

    # Guards against DRAIN: a host passes on the answer of a target that another host has used.
    def test_it_stays_out_when_the_answer_came_through_another_host(self) -> None:
        for has_route in (True, False):
            with self.subTest(has_route=has_route):
                self.setUp()
                request = self.forward().request
                if not has_route:
                    self.remove_route()
                now = self.harness.clock.monotonic()
                leaving = (ProcessId(TARGET, 1),)
                effects = self.harness.apply(
                    ForwardFinished(
                        now, request, ForwardOutcome.ANSWERED, build_answer(), leaving=leaving
                    )
                )
                self.assertTrue(any(isinstance(effect, DeliverAnswer) for effect in effects))
                self.harness.state.path.is_cut = False
                if not has_route:
                    self.restore_route()
                self.assert_unused()


class ProcessTest(StatementTest):
    # Guards against new targets without requests: an answer of the earlier process arrives late.
    def test_the_process_that_replaces_it_is_used_when_its_answer_comes_late(self) -> None:
        sent = self.send_to_target()
        self.observe(born=2)
        self.finish(sent, leaving=True)
        self.harness.advance(5.0)
        self.assertIn(TARGET, self.send(SEND_COUNT))

    # Guards against DRAIN: the same process at another address is no other process.
    def test_it_stays_out_when_it_registers_with_another_address(self) -> None:
        self.finish(self.send_to_target(), leaving=True)
        moved = replace(build_target_entry(1), address=Address("127.0.0.1:9100"))
        self.harness.apply(TargetsObserved(self.harness.clock.monotonic(), (moved,), (), False))
        self.harness.advance(5.0)
        self.assert_unused()

    # Guards against DRAIN: the report of an earlier process was dropped with its older entry.
    def test_it_stays_out_when_it_says_so_after_a_later_process_has_registered(self) -> None:
        self.observe(born=2)
        self.observe(numbers=(1,), born=1, leaving=True)
        self.remove_registration()
        self.observe(born=1)
        self.harness.advance(5.0)
        self.assert_unused()

    def test_a_process_without_a_start_is_forgotten_with_its_registration(self) -> None:
        self.remove_registration()
        self.observe(born=0)
        self.harness.advance(5.0)
        sent = self.send_to_target()
        self.assertEqual(sent.started_ms, 0)
        self.finish(sent, leaving=True)
        self.assert_unused()
        self.remove_registration()
        self.observe(born=0)
        self.harness.advance(5.0)
        self.assertIn(TARGET, self.send(SEND_COUNT))

    # Guards against ROUTE: a request is not sent to a process that replaced the chosen one.
    def test_a_request_chosen_for_the_earlier_process_is_not_sent(self) -> None:
        sent: SendToTarget = self.send_to_target()
        self.assertTrue(may_still_send(self.harness.state, sent))
        self.observe(born=2)
        self.assertFalse(may_still_send(self.harness.state, sent))


if __name__ == "__main__":
    unittest.main()
