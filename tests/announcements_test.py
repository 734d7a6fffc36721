"""Tests that what a target says of itself stays in force: that it leaves, or wants no requests.

Each test drives the reducer of one host with a virtual clock and is named after its pattern.
"""

import unittest
from collections import Counter
from dataclasses import replace
from datetime import timedelta
from typing import Any

from endivedrift.core import (
    AttemptOutcome,
    AuditEntry,
    Instant,
    LeavingSource,
    RefusalReason,
    RouteName,
    ServiceName,
    TargetEntry,
    TargetName,
    TargetState,
    build_store_version,
    identify_process,
)
from endivedrift.core.effects import Effect, RefuseRequest, SendPeerMessage, SendToTarget
from endivedrift.core.events import AttemptFinished, TargetsObserved
from endivedrift.fleet import NamedRoute
from endivedrift.objects import Share
from endivedrift.policy import (
    ProcessTable,
    ServiceState,
    TargetRecord,
    _choice,
    _ejection,
    mark_leaving,
    restore_registered_target,
)
from endivedrift.policy._ejection import MIN_PROBATION_SUCCESSES
from endivedrift.reducer import _discovery
from endivedrift.reducer._requests import _choose_split_service
from tests.builders import (
    SERVICE,
    WRITE_PATH,
    HostHarness,
    build_answer,
    build_config_fetched,
    build_discovered_set,
    build_target_entry,
    name_target,
)
from tests.fuzzing import inject_fault
from tests.invariants import check_states
from tests.network import Network

TARGET = name_target(1)
RETRY_AFTER = timedelta(seconds=3)


def forget_process(table: ProcessTable, entry: TargetEntry) -> None:
    """Ends a registration and forgets what its process has stated."""
    del table.processes[identify_process(entry)]


class AnnouncementTest(unittest.TestCase):
    """Runs a host with three targets, of which one makes an announcement."""

    FLOOR_SHARE = 0.7

    def setUp(self) -> None:
        self.harness = HostHarness(build_discovered_set(self.FLOOR_SHARE))
        self.observe(complete=True)
        self.harness.advance(1.0)
        for _ in range(3):
            # One request after the other, since a new target gets one at a time.
            effects = self.harness.receive_request("POST", WRITE_PATH)[1]
            self.finish(next(effect for effect in effects if isinstance(effect, SendToTarget)))

    def observe(
        self,
        *removed: TargetName,
        version: int = 0,
        numbers: tuple[int, ...] = (0, 1, 2),
        complete: bool = False,
        born: int = 1,
        leaving: bool = False,
    ) -> None:
        entries = tuple(
            build_target_entry(n, born=born if n == 1 else 1, leaving=leaving and n == 1)
            for n in numbers
            if name_target(n) not in removed
        )
        now = self.harness.clock.monotonic()
        event = TargetsObserved(now, entries, removed, complete, version, version and version - 1)
        self.harness.apply(event)

    def finish(
        self,
        effect: SendToTarget,
        outcome: AttemptOutcome = AttemptOutcome.ANSWERED,
        leaving: bool = False,
        retry_after: timedelta | None = None,
        rate_limit: float | None = None,
    ) -> list[Effect]:
        answer = build_answer() if outcome is AttemptOutcome.ANSWERED else None
        event = AttemptFinished(
            self.harness.clock.monotonic(),
            effect.request,
            effect.target,
            outcome,
            timedelta(milliseconds=150),
            answer,
            leaving,
            None,
            retry_after,
            rate_limit=rate_limit,
            started_ms=effect.started_ms,
        )
        return self.harness.apply(event)

    def send(self, count: int) -> Counter[TargetName]:
        """Sends requests, four at a time, each answered after 0.1 s, and counts them by target.

        Four requests are more than the slots of one target, and as many as those of two.
        """
        targets: Counter[TargetName] = Counter()
        for _ in range(0, count, 4):
            sent = []
            for _ in range(4):
                effects = self.harness.receive_request("POST", WRITE_PATH)[1]
                sent += [effect for effect in effects if isinstance(effect, SendToTarget)]
            while sent:
                targets.update(effect.target for effect in sent)
                effects = self.harness.advance(0.1)
                for effect in sent:
                    effects += self.finish(effect)
                sent = [effect for effect in effects if isinstance(effect, SendToTarget)]
        return targets

    def send_to_target(self) -> SendToTarget:
        """Sends requests until one goes to the target; only that one is in progress then."""
        others: list[SendToTarget] = []
        while len(others) < 6:  # The slots of all three targets.
            effects = self.harness.receive_request("POST", WRITE_PATH)[1]
            sent = next(effect for effect in effects if isinstance(effect, SendToTarget))
            if sent.target == TARGET:
                for other in others:
                    self.finish(other)
                return sent
            others.append(sent)
        raise AssertionError("no request was sent to the target")


class LeavingTest(AnnouncementTest):
    def test_a_target_that_leaves_by_an_answer_gets_no_request_again(self) -> None:
        self.finish(self.send_to_target(), leaving=True)
        self.assertNotIn(TARGET, self.send(40))

    def test_it_stays_out_for_longer_than_signs_of_others_count(self) -> None:
        self.finish(self.send_to_target(), leaving=True)
        self.harness.advance(400.0, step=1.0)
        self.assertNotIn(TARGET, self.send(40))

    def test_an_answer_that_broke_off_counts_too(self) -> None:
        self.finish(self.send_to_target(), AttemptOutcome.CUT, leaving=True)
        self.harness.advance(20.0)
        self.assertNotIn(TARGET, self.send(40))

    def test_it_stays_out_when_its_entry_lapses_and_comes_back_as_ready(self) -> None:
        self.finish(self.send_to_target(), leaving=True)
        self.observe(TARGET, numbers=())
        self.harness.advance(3.0)
        self.observe()
        self.harness.advance(5.0)
        self.assertNotIn(TARGET, self.send(40))

    def test_without_the_memory_of_departures_it_would_return(self) -> None:
        with inject_fault(_discovery, "end_registration", forget_process):
            self.finish(self.send_to_target(), leaving=True)
            self.observe(TARGET, numbers=())
            self.observe()
            self.harness.advance(5.0)
            self.assertIn(TARGET, self.send(40))

    def test_it_stays_out_when_the_configuration_changes(self) -> None:
        self.finish(self.send_to_target(), leaving=True)
        changed = build_discovered_set(aim_ms=700)
        self.harness.apply(build_config_fetched(self.harness.clock, changed, version=2))
        self.assertNotIn(TARGET, self.send(40))

    def drop_service(self, *, entry_written: bool = False, entry_lapses: bool = False) -> None:
        """Leaves the service without a route for two seconds."""
        clock = self.harness.clock
        other = build_discovered_set(service="other")
        self.harness.apply(build_config_fetched(clock, other, version=2))
        self.harness.advance(1.0)
        if entry_lapses:
            self.observe(TARGET, numbers=())
            self.harness.advance(1.0)
        if entry_written or entry_lapses:
            self.observe()
        self.harness.advance(1.0)
        self.harness.apply(build_config_fetched(clock, build_discovered_set(), version=3))

    # Guards against DRAIN: hosts that forgot who leaves while a service was without a route.
    def test_it_stays_out_when_its_service_was_without_a_route(self) -> None:
        for changes in ({}, {"entry_written": True}, {"entry_lapses": True}):
            with self.subTest(changes):
                self.setUp()
                self.finish(self.send_to_target(), leaving=True)
                self.drop_service(**changes)
                self.assertNotIn(TARGET, self.send(40))

    # Guards against DRAIN: as above, by an answer that came while there was no route.
    def test_it_stays_out_when_it_said_so_while_its_service_was_without_a_route(self) -> None:
        sent = self.send_to_target()
        other = build_discovered_set(service="other")
        self.harness.apply(build_config_fetched(self.harness.clock, other, version=2))
        self.finish(sent, leaving=True)
        self.drop_service()
        self.assertNotIn(TARGET, self.send(40))

    def test_its_replacement_is_used_when_its_service_was_without_a_route(self) -> None:
        self.finish(self.send_to_target(), leaving=True)
        self.harness.apply(
            build_config_fetched(
                self.harness.clock, build_discovered_set(service="other"), version=2
            )
        )
        self.observe(born=2)
        self.drop_service()
        self.harness.advance(5.0)
        self.assertIn(TARGET, self.send(40))

    def test_an_older_entry_that_says_ready_does_not_bring_it_back(self) -> None:
        self.observe(numbers=(1,), leaving=True)
        self.observe(numbers=(1,))
        self.harness.advance(15.0)
        self.assertNotIn(TARGET, self.send(40))

    def test_the_process_that_replaces_it_is_used(self) -> None:
        self.finish(self.send_to_target(), leaving=True)
        self.observe(born=2)
        self.harness.advance(5.0)
        self.assertIn(TARGET, self.send(40))


class ProbationTest(AnnouncementTest):
    """The target is on probation after an ejection, and leaves."""

    FLOOR_SHARE = 0.3  # Low enough that the target is not readmitted for the floor.

    def setUp(self) -> None:
        super().setUp()
        self.record.state = TargetState.PROBATION

    @property
    def record(self) -> TargetRecord:
        return self.harness.state.services[ServiceName(SERVICE)].targets[TARGET]

    def try_target(self, leaving: bool = False) -> None:
        """Lets the target answer one request well."""
        effects = self.harness.receive_request()[1]
        sent = next(effect for effect in effects if isinstance(effect, SendToTarget))
        self.assertEqual(sent.target, TARGET)
        self.finish(sent, leaving=leaving)

    def end_probation(self, leaving: bool = False) -> None:
        """Lets the target answer so many requests well that the next tick ends its probation."""
        for _ in range(MIN_PROBATION_SUCCESSES - 1):
            self.try_target()
        self.try_target(leaving=leaving)

    def test_five_good_answers_end_the_probation(self) -> None:
        self.end_probation()
        self.assertIn(TARGET, self.send(40))

    # Guards against DRAIN: a target that said that it leaves was readmitted for its good answers.
    def test_it_stays_out_when_its_last_good_answer_says_that_it_leaves(self) -> None:
        self.end_probation(leaving=True)
        self.assertNotIn(TARGET, self.send(40))
        check_states(self.harness.state)

    # Guards against DRAIN: as above, by the store's report between that answer and the next tick.
    def test_it_stays_out_when_the_store_reports_it_after_its_last_good_answer(self) -> None:
        self.end_probation()
        self.observe(numbers=(1,), leaving=True)
        self.assertNotIn(TARGET, self.send(40))
        check_states(self.harness.state)

    # Guards against DRAIN: as above; signs that came after the readmission were ignored.
    def test_it_stays_out_when_it_is_reported_again(self) -> None:
        self.end_probation()
        self.observe(numbers=(1,), leaving=True)
        self.harness.advance(1.0)
        self.observe(numbers=(1,), leaving=True)
        self.assertNotIn(TARGET, self.send(40))

    def test_without_the_state_in_the_decision_the_invariant_is_broken(self) -> None:
        with (
            inject_fault(_ejection, "_end_ejections", readmit_any),
            inject_fault(_ejection, "_change_state", change_state),
        ):
            self.end_probation()
            self.observe(numbers=(1,), leaving=True)
            self.harness.advance(0.1)
            self.assertRaises(AssertionError, check_states, self.harness.state)

    # Guards against a target that returns in place of a replaced one without its warm-up.
    def test_good_answers_of_a_probation_do_not_shorten_a_later_warm_up(self) -> None:
        self.end_probation()
        service = self.harness.state.services[ServiceName(SERVICE)]
        now = self.harness.clock.monotonic()
        mark_leaving(service, TARGET, now, LeavingSource.LISTED, "listed as leaving")
        restore_registered_target(service, TARGET, now, "registered as ready again")
        self.harness.advance(0.1)
        self.assertIs(self.record.state, TargetState.WARMING)


def readmit_any(state: ServiceState, at: Instant) -> list[AuditEntry]:
    """Readmits targets for their good answers, whatever their state."""
    entries: list[AuditEntry] = []
    for record in state.targets.values():
        if record.consecutive_good >= MIN_PROBATION_SUCCESSES:
            entries += _ejection._readmit(state, record, at, "good answers")
    return entries


CHANGE_STATE = _ejection._change_state


def change_state(state: ServiceState, record: TargetRecord, *arguments: Any) -> list[AuditEntry]:
    """Changes the state of a target without starting its count of good answers anew."""
    count = record.consecutive_good
    entries = CHANGE_STATE(state, record, *arguments)
    record.consecutive_good = count
    return entries


class LeavingFleetTest(unittest.TestCase):
    def test_the_hosts_that_use_a_target_learn_at_once_that_it_leaves(self) -> None:
        network = Network(6, 3, build_discovered_set())
        network.run(10.0)
        now = network.clock.monotonic()
        entries = tuple(build_target_entry(number) for number in range(3))
        for harness in network.hosts.values():
            harness.apply(TargetsObserved(now, entries, (), True))
        first = network.hosts["h0"]
        effects = first.receive_request("POST", WRITE_PATH)[1]
        sent = next(effect for effect in effects if isinstance(effect, SendToTarget))
        finished = AttemptFinished(
            now,
            sent.request,
            sent.target,
            AttemptOutcome.ANSWERED,
            RETRY_AFTER,
            build_answer(),
            True,
        )
        effects = first.apply(finished)
        told = [effect for effect in effects if isinstance(effect, SendPeerMessage)]
        self.assertTrue(told)
        network.handle_effects("h0", effects)
        for effect in told:
            name = effect.address.partition(":")[0]
            service = network.hosts[name].state.services[ServiceName(SERVICE)]
            self.assertEqual(service.targets[sent.target].state.value, "leaving")


class RetryAfterTest(AnnouncementTest):
    def hold(self, retry_after: timedelta = RETRY_AFTER) -> None:
        effects = self.finish(self.send_to_target(), AttemptOutcome.SHED, retry_after=retry_after)
        for effect in effects:
            if isinstance(effect, SendToTarget):
                self.finish(effect)

    def test_a_target_that_wants_no_requests_for_three_seconds_gets_none(self) -> None:
        self.hold()
        end = self.harness.clock.monotonic() + RETRY_AFTER
        sent: Counter[TargetName] = Counter()
        while self.harness.clock.monotonic() < end:
            sent += self.send(4)
        self.assertNotIn(TARGET, sent)
        self.assertGreater(sum(sent.values()), 20)
        self.assertIn(TARGET, self.send(20))

    # Guards against requests that a target wanted none of, after a moment without a route.
    def test_the_time_still_counts_after_its_service_was_without_a_route(self) -> None:
        self.hold(timedelta(seconds=60))
        clock = self.harness.clock
        other = build_discovered_set(service="other")
        self.harness.apply(build_config_fetched(clock, other, version=2))
        self.harness.apply(build_config_fetched(clock, build_discovered_set(), version=3))
        self.assertNotIn(TARGET, self.send(20))

    def test_without_the_hold_it_would_get_some(self) -> None:
        original = _choice._list_candidates

        def ignore_holds(state, names, tried_targets, at):  # type: ignore[no-untyped-def]
            for record in state.targets.values():
                record.held_until = timedelta(0)
            return original(state, names, tried_targets, at)

        with inject_fault(_choice, "_list_candidates", ignore_holds):
            self.hold()
            self.assertIn(TARGET, self.send(20))

    def test_the_time_still_counts_after_its_entry_lapsed_and_came_back(self) -> None:
        self.hold()
        self.observe(TARGET, numbers=())
        self.observe()
        self.assertNotIn(TARGET, self.send(20))

    def test_it_counts_as_full_and_not_as_failing(self) -> None:
        self.hold()
        record = self.harness.state.services[ServiceName(SERVICE)].targets[TARGET]
        self.assertEqual((record.paused_until, record.score), (timedelta(0), 0.0))

    def test_requests_are_refused_at_once_when_all_targets_want_none_for_longer(self) -> None:
        for _ in range(3):
            effects = self.harness.receive_request("POST", WRITE_PATH)[1]
            sent = next(effect for effect in effects if isinstance(effect, SendToTarget))
            hold = timedelta(seconds=10.0)
            self.finish(sent, AttemptOutcome.SHED, retry_after=hold)
        self.harness.advance(0.1)
        effects = self.harness.receive_request("POST", WRITE_PATH)[1]
        refused = next(effect for effect in effects if isinstance(effect, RefuseRequest))
        self.assertIs(refused.refusal.reason, RefusalReason.QUEUE_WAIT)
        retry_after = refused.refusal.retry_after
        assert retry_after is not None
        self.assertGreater(retry_after, timedelta(seconds=5.0))

    def test_the_next_request_may_wait_for_a_short_hold(self) -> None:
        for number in range(3):
            record = self.harness.state.services[ServiceName(SERVICE)].targets[name_target(number)]
            record.held_until = self.harness.clock.monotonic() + timedelta(seconds=0.5)
        effects = self.harness.receive_request("POST", WRITE_PATH)[1]
        self.assertFalse(any(isinstance(effect, RefuseRequest) for effect in effects))
        effects = self.harness.advance(0.7)
        self.assertTrue(any(isinstance(effect, SendToTarget) for effect in effects))


class RateLimitMemoryTest(AnnouncementTest):
    def test_a_limit_still_counts_after_its_entry_lapsed_and_came_back(self) -> None:
        self.finish(self.send_to_target(), rate_limit=0.0)
        self.observe(TARGET, numbers=())
        self.observe()
        self.assertNotIn(TARGET, self.send(20))

    def test_a_process_that_replaces_the_target_has_no_limit(self) -> None:
        self.finish(self.send_to_target(), rate_limit=0.0)
        self.observe(TARGET, numbers=())
        self.observe(born=2)
        self.harness.advance(4.0)
        self.assertIn(TARGET, self.send(40))


class RestoredStoreTest(AnnouncementTest):
    """The store comes back from a copy, which holds all three targets as ready."""

    def setUp(self) -> None:
        super().setUp()
        self.observe(complete=True, version=build_store_version(1, 100))

    def restore(self, numbers: tuple[int, ...] = (0, 1, 2)) -> None:
        self.observe(complete=True, version=build_store_version(2, 40), numbers=numbers)

    def list_targets(self) -> set[TargetName]:
        return set(self.harness.state.services[ServiceName(SERVICE)].targets)

    def test_versions_that_are_given_out_again_count_as_newer(self) -> None:
        self.restore()
        self.observe(numbers=(3,), version=build_store_version(2, 41))
        self.assertIn(name_target(3), self.list_targets())
        self.observe(numbers=(4,), version=build_store_version(1, 102))
        self.assertNotIn(name_target(4), self.list_targets())

    def test_a_target_that_had_left_is_not_used_again(self) -> None:
        self.observe(TARGET, numbers=(), version=build_store_version(1, 101))
        self.harness.advance(2.0)
        self.restore()
        self.assertNotIn(TARGET, self.list_targets())
        self.observe(complete=True, version=build_store_version(2, 45))
        self.assertNotIn(TARGET, self.list_targets())

    def test_a_target_whose_entry_lapsed_a_moment_ago_is_not_kept_by_the_copy(self) -> None:
        self.observe(TARGET, numbers=(), version=build_store_version(1, 101))
        self.restore()
        self.harness.advance(3.0)
        self.observe(complete=True, version=build_store_version(2, 45))
        self.assertNotIn(TARGET, self.list_targets())

    # Guards against a target that is lost with a copy that has it: its entries state no start.
    def test_a_target_without_a_start_is_kept_by_the_copy(self) -> None:
        self.observe(TARGET, numbers=(), version=build_store_version(1, 101))
        self.harness.advance(3.0)
        self.observe(numbers=(1,), born=0, version=build_store_version(1, 102))
        self.observe(TARGET, numbers=(), version=build_store_version(1, 103))
        self.assertIn(TARGET, self.harness.state.removal_times)
        self.observe(complete=True, born=0, version=build_store_version(2, 40))
        self.harness.advance(3.0)
        self.assertIn(TARGET, self.list_targets())

    def test_without_the_memory_of_departures_it_would_be_used(self) -> None:
        with inject_fault(_discovery, "end_registration", forget_process):
            self.observe(TARGET, numbers=(), version=build_store_version(1, 101))
            self.restore()
            self.assertIn(TARGET, self.list_targets())

    def test_it_is_used_once_it_writes_its_entry_anew(self) -> None:
        self.observe(TARGET, numbers=(), version=build_store_version(1, 101))
        self.restore()
        self.observe(numbers=(1,), version=build_store_version(2, 41))
        self.assertIn(TARGET, self.list_targets())
        self.harness.advance(5.0)
        self.assertIn(TARGET, self.send(40))

    def test_a_target_that_had_announced_its_end_stays_out(self) -> None:
        self.observe(numbers=(1,), leaving=True, version=build_store_version(1, 101))
        self.restore()
        self.harness.advance(15.0)
        self.assertNotIn(TARGET, self.send(40))

    def test_a_target_that_registered_after_the_copy_has_time_to_do_so_again(self) -> None:
        self.restore(numbers=(0, 2))
        self.harness.advance(1.5)
        self.assertIn(TARGET, self.list_targets())
        self.harness.advance(1.0)
        self.assertNotIn(TARGET, self.list_targets())

    def test_an_older_configuration_of_the_copy_is_not_put_in_force(self) -> None:
        newer = build_discovered_set(aim_ms=700)
        self.harness.apply(build_config_fetched(self.harness.clock, newer, version=7))
        older = build_discovered_set()
        self.harness.apply(build_config_fetched(self.harness.clock, older, version=6))
        self.assertEqual(self.harness.state.config.version, 7)


class SplitTest(unittest.TestCase):
    def test_shares_follow_the_weights_over_few_requests_at_each_of_many_hosts(self) -> None:
        route = build_discovered_set().route["read"]
        split = (Share(service="a", weight=7), Share(service="b", weight=3))
        found = NamedRoute(RouteName("read"), replace(route, split=split))
        counts: Counter[ServiceName | None] = Counter()
        for seed in range(60):
            harness = HostHarness(build_discovered_set(), seed=seed)
            for _ in range(5):
                counts[_choose_split_service(harness.state, found)] += 1
        self.assertAlmostEqual(counts[ServiceName("a")] / 300, 0.7, delta=0.05)
        harness = HostHarness(build_discovered_set(), seed=1)
        single = Counter(_choose_split_service(harness.state, found) for _ in range(100))
        self.assertAlmostEqual(single[ServiceName("a")], 70, delta=2)


if __name__ == "__main__":
    unittest.main()
