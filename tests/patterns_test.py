"""Tests one host under patterns of load and failure seen in deployments.

Each test drives the reducer with a virtual clock and is named after its pattern.
"""

import random
import unittest
from collections import Counter
from dataclasses import replace
from datetime import timedelta

from endivedrift.core import (
    AttemptOutcome,
    AuditEntry,
    AuditKind,
    EvidenceDelta,
    HostId,
    RefusalReason,
    RequestId,
    ServiceName,
    TargetName,
    Verdict,
)
from endivedrift.core.effects import (
    AbortAttempt,
    DeliverAnswer,
    Effect,
    RecordAudit,
    RefuseRequest,
    SendPeerMessage,
    SendToTarget,
)
from endivedrift.core.events import (
    AttemptFinished,
    AttemptLate,
    StopRequested,
    StoreAnswered,
    StoreUnavailable,
    TargetsObserved,
)
from endivedrift.fleet import build_membership
from endivedrift.policy import PeerInFlight, _choice, _service
from endivedrift.policy._service import RecentOutcomes
from endivedrift.reducer import _attempts, _discovery
from tests.builders import (
    READ_PATH,
    SERVICE,
    WRITE_PATH,
    HostHarness,
    build_answer,
    build_discovered_set,
    build_identity,
    build_target_entry,
    name_target,
)
from tests.fuzzing import DETECTION_SEEDS, inject_fault

WORK_S = 0.15


class PatternTest(unittest.TestCase):
    """Runs a host with nine targets of two slots each, some of which may fail.

    A healthy target answers after `WORK_S`; a failing one fails after 3 ms.
    """

    seed = 1

    def setUp(self) -> None:
        self.harness = HostHarness(build_discovered_set(), seed=self.seed)
        self.rng = random.Random(3)
        self.sending: dict[RequestId, tuple[SendToTarget, float]] = {}
        self.results: Counter[str] = Counter()
        self.sent: list[tuple[float, TargetName]] = []
        self.peer_messages: list[SendPeerMessage] = []
        self.failing: dict[TargetName, AttemptOutcome] = {}
        self.audit: list[AuditEntry] = []
        self.observe(range(9))
        self.harness.advance(1.0)

    @property
    def now(self) -> float:
        return self.harness.clock.monotonic().total_seconds()

    def observe(self, numbers: range, **options: bool) -> None:
        entries = tuple(build_target_entry(number) for number in numbers)
        now = self.harness.clock.monotonic()
        self.handle_effects(self.harness.apply(TargetsObserved(now, entries, (), **options)))

    def handle_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToTarget):
                fast = effect.target in self.failing
                self.sending[effect.request] = (effect, self.now + (0.003 if fast else WORK_S))
                self.sent.append((self.now, effect.target))
            elif isinstance(effect, DeliverAnswer):
                self.results["answered"] += 1
            elif isinstance(effect, RefuseRequest):
                self.results[effect.refusal.reason.value] += 1
            elif isinstance(effect, SendPeerMessage):
                self.peer_messages.append(effect)
            elif isinstance(effect, RecordAudit):
                self.audit.append(effect.entry)

    def finish_due(self) -> None:
        for request, (effect, due) in list(self.sending.items()):
            if due > self.now:
                continue
            del self.sending[request]
            outcome = self.failing.get(effect.target, AttemptOutcome.ANSWERED)
            answered = outcome is AttemptOutcome.ANSWERED
            self.handle_effects(
                self.harness.apply(
                    AttemptFinished(
                        self.harness.clock.monotonic(),
                        request,
                        effect.target,
                        outcome,
                        timedelta(seconds=WORK_S if answered else 0.003),
                        build_answer() if answered else None,
                    )
                )
            )

    def run_load(self, seconds: float, requests_per_s: float, write: bool = True) -> None:
        """Sends requests at a constant rate while the clock advances in steps of 10 ms."""
        due_requests = 0.0
        for _ in range(round(seconds / 0.01)):
            due_requests += requests_per_s * 0.01
            while due_requests >= 1.0:
                due_requests -= 1.0
                path = WRITE_PATH if write else READ_PATH
                self.handle_effects(
                    self.harness.receive_request("POST" if write else "GET", path)[1]
                )
            self.handle_effects(self.harness.advance(0.01, step=0.01))
            self.finish_due()

    def receive_notice(self, name: str, deltas: tuple[EvidenceDelta, ...] = ()) -> None:
        """Applies a notice of another host that shares the service."""
        sender = build_membership(build_identity(name, domain="b"), random.Random(1)).me
        sender = sender.with_status(type(sender.status).ALIVE)
        self.handle_effects(self.harness.receive_evidence(sender, *deltas))

    def break_targets(self, numbers: range, outcome: AttemptOutcome = AttemptOutcome.CUT) -> None:
        self.failing = {name_target(number): outcome for number in numbers}

    def count_sent_to_failing(self, since: float) -> int:
        return sum(1 for at, target in self.sent if at >= since and target in self.failing)


class ResettingTargetsTest(PatternTest):
    def test_a_third_of_the_targets_reset_all_requests(self) -> None:
        self.run_load(3.0, 35.0)
        self.break_targets(range(3))
        start = self.now
        self.run_load(1.9, 35.0)
        # Only requests in flight when each target began to fail, then none while it is paused.
        self.assertLessEqual(self.count_sent_to_failing(start), 6)
        self.assertGreater(self.results["answered"], 150)

    def test_all_targets_failed_a_moment_ago_and_fail_fast(self) -> None:
        self.run_load(2.0, 35.0)
        self.break_targets(range(9))
        self.run_load(0.5, 35.0)
        start = self.now
        self.run_load(2.0, 50.0)
        # One trial per target every 0.25 s, with both ends of the interval included.
        self.assertLessEqual(self.count_sent_to_failing(start), 9 * (2.0 / 0.25 + 1))

    def test_targets_that_recovered_carry_the_load_again(self) -> None:
        self.run_load(2.0, 35.0)
        self.break_targets(range(6))
        self.run_load(2.0, 45.0)
        self.failing = {}
        self.run_load(2.5, 45.0)
        start = self.now
        self.run_load(1.0, 80.0)
        used = {target for at, target in self.sent if at >= start}
        self.assertGreaterEqual(len(used), 8)

    def test_a_failure_on_the_path_of_one_host_is_not_reported_to_peers(self) -> None:
        self.run_load(1.0, 35.0)
        self.receive_notice("h2")
        self.peer_messages.clear()
        self.break_targets(range(9), AttemptOutcome.NOT_CONNECTED)
        self.run_load(0.3, 35.0)
        deltas = [d for effect in self.peer_messages for d in effect.message.evidence]
        self.assertTrue(deltas)
        self.assertFalse(any(delta.paused for delta in deltas))

    def test_a_reset_is_reported_to_peers_at_once(self) -> None:
        self.run_load(1.0, 35.0)
        self.receive_notice("h2")
        self.peer_messages.clear()
        self.break_targets(range(9))
        self.run_load(0.05, 35.0)
        deltas = [d for effect in self.peer_messages for d in effect.message.evidence]
        self.assertTrue(any(delta.paused for delta in deltas))

    def test_a_pause_reported_by_a_peer_applies_here(self) -> None:
        self.run_load(1.0, 35.0)
        delta = EvidenceDelta(ServiceName(SERVICE), name_target(4), 0, 1, False, 0, paused=True)
        self.receive_notice("h2", (delta,))
        start = self.now
        self.run_load(1.5, 60.0)
        self.assertNotIn(name_target(4), {target for at, target in self.sent if at > start})

    def test_a_stale_peer_count_blocks_a_slot_only_briefly(self) -> None:
        # A peer's last count is too high if its message about the end of an attempt was lost.
        self.run_load(1.0, 35.0)
        full = tuple(
            EvidenceDelta(ServiceName(SERVICE), name_target(n), 0, 0, False, 2) for n in range(9)
        )
        self.receive_notice("h2", full)
        self.sent.clear()
        self.run_load(0.5, 20.0)
        self.assertEqual(self.sent, [])
        self.run_load(1.2, 20.0)
        self.assertGreater(len(self.sent), 10)


class LongRequestTest(PatternTest):
    def send_one(self, typical_s: float = WORK_S) -> SendToTarget:
        self.run_load(2.0, 20.0, write=False)
        self.run_load(0.5, 0.0)
        service = self.harness.state.services[ServiceName(SERVICE)]
        service.typical_latency = timedelta(seconds=typical_s)
        effects = self.harness.receive_request("GET", READ_PATH)[1]
        return next(effect for effect in effects if isinstance(effect, SendToTarget))

    def is_aborted_after(self, sent: SendToTarget, seconds: float) -> bool:
        self.run_load(seconds, 20.0, write=False)
        now = self.harness.clock.monotonic()
        effects = self.harness.apply(AttemptLate(now, sent.request, sent.target))
        return [type(effect) for effect in effects] == [AbortAttempt, RecordAudit]

    def test_a_request_may_take_several_times_the_typical_latency(self) -> None:
        self.assertEqual(self.send_one().late_after, timedelta(seconds=1))
        self.assertEqual(self.send_one(typical_s=0.4).late_after, timedelta(seconds=1.6))

    def test_it_continues_at_a_target_that_answers_others_meanwhile(self) -> None:
        sent = self.send_one()
        record = self.harness.state.services[ServiceName(SERVICE)].targets[sent.target]
        record.last_success_at = self.harness.clock.monotonic() + timedelta(seconds=0.5)
        self.assertFalse(self.is_aborted_after(sent, 1.0))

    def test_it_is_aborted_at_a_target_that_answers_nobody(self) -> None:
        sent = self.send_one()
        record = self.harness.state.services[ServiceName(SERVICE)].targets[sent.target]
        record.paused_until = timedelta(hours=1)
        self.assertTrue(self.is_aborted_after(sent, 1.0))


class SheddingTargetsTest(PatternTest):
    def test_a_third_of_the_targets_shed_and_are_back_at_once(self) -> None:
        self.run_load(2.0, 35.0)
        self.break_targets(range(3), AttemptOutcome.SHED)
        self.run_load(2.0, 35.0)
        self.failing = {}
        self.run_load(0.3, 35.0)
        start = self.now
        self.run_load(1.0, 90.0)
        used = {target for at, target in self.sent if at >= start}
        self.assertEqual(len(used), 9)


class SheddingServiceTest(PatternTest):
    """All targets of a service shed more than half of their requests for eight seconds."""

    RATIO, BURST = 0.2, 56

    def setUp(self) -> None:
        super().setUp()
        self.shed_share = 0.0

    def finish_due(self) -> None:
        due = {effect.target for effect, due in self.sending.values() if due <= self.now}
        for target in sorted(due):
            if self.rng.random() < self.shed_share:
                self.failing[target] = AttemptOutcome.SHED
        super().finish_due()
        self.failing.clear()

    def test_retries_use_the_budget_and_stay_within_it(self) -> None:
        self.run_load(3.0, 50.0)
        self.shed_share = 0.55
        sent = len(self.sent)
        self.run_load(8.0, 50.0)
        requests = round(8.0 * 50.0)
        retries = len(self.sent) - sent - requests + self.count_refused_untried()
        self.assertLessEqual(retries, self.RATIO * requests + self.BURST)
        self.assertGreaterEqual(retries, self.RATIO * requests)

    def count_refused_untried(self) -> int:
        return (
            self.results[RefusalReason.QUEUE_WAIT.value]
            + self.results[RefusalReason.NO_TARGET.value]
        )

    def test_a_new_process_retries_only_what_its_own_requests_allow(self) -> None:
        self.shed_share = 0.55
        self.run_load(2.0, 50.0)
        retries = len(self.sent) - 100 + self.count_refused_untried()
        self.assertLessEqual(retries, self.RATIO * 100)


class OverloadTest(PatternTest):
    def test_bookings_arrive_at_one_and_a_half_times_the_capacity(self) -> None:
        # 18 slots at 0.15 s per request serve 120 requests per second.
        self.run_load(4.0, 180.0)
        answered = self.results["answered"]
        self.assertGreater(answered, 0.85 * 4.0 * 120.0)
        self.assertGreater(self.results[RefusalReason.QUEUE_WAIT.value], 100)
        longest = max(
            self.now - open_request.arrived.total_seconds()
            for open_request in self.harness.state.requests.values()
        )
        # Within the latency aim of 0.6 s, except for one request that was queued before the queue
        # counted as standing.
        self.assertLess(longest, 0.6 + 2 * WORK_S)

    def test_a_burst_of_a_quarter_second_is_served_completely(self) -> None:
        self.run_load(1.0, 60.0)
        self.run_load(0.25, 240.0)
        self.run_load(1.5, 20.0)
        self.assertEqual(set(self.results), {"answered"})


class LargeGroupTest(unittest.TestCase):
    def test_the_last_free_target_of_a_very_large_group_is_found(self) -> None:
        harness = HostHarness(build_discovered_set())
        entries = tuple(build_target_entry(number) for number in range(200))
        now = harness.clock.monotonic()
        harness.apply(TargetsObserved(now, entries, (), True))
        service = harness.state.services[ServiceName(SERVICE)]
        for name, record in service.targets.items():
            if name != name_target(150):
                full = PeerInFlight(2, now)
                record.peers_in_flight[HostId("h2")] = full
        effects = harness.receive_request("POST", WRITE_PATH)[1]
        sent = [effect.target for effect in effects if isinstance(effect, SendToTarget)]
        self.assertEqual(sent, [name_target(150)])


class RecoveringTargetsTest(PatternTest):
    """A third of the targets, of six slots each, hang for longer than a pause lasts."""

    SLOTS = 6
    HANG_S = 0.6

    def setUp(self) -> None:
        super().setUp()
        entries = tuple(replace(build_target_entry(n), slots=self.SLOTS) for n in range(9))
        now = self.harness.clock.monotonic()
        self.handle_effects(self.harness.apply(TargetsObserved(now, entries)))

    def handle_effects(self, effects: list[Effect]) -> None:
        super().handle_effects(effects)
        for effect in effects:
            if isinstance(effect, SendToTarget) and effect.target in self.failing:
                self.sending[effect.request] = (effect, self.now + self.HANG_S)

    def test_a_target_that_failed_last_gets_one_request_at_a_time(self) -> None:
        self.run_load(2.0, 60.0)
        self.break_targets(range(3), AttemptOutcome.TIMED_OUT)
        self.run_load(1.0, 250.0)
        most: Counter[TargetName] = Counter()
        for _ in range(60):
            self.run_load(0.1, 250.0)
            targets = self.harness.state.services[ServiceName(SERVICE)].targets
            for name in self.failing:
                most[name] = max(most[name], len(targets[name].attempts))
        self.assertTrue(most)
        self.assertLessEqual(max(most.values()), 1)


class FailureDomainTest(PatternTest):
    """Nine targets of six slots, three of them in the host's own failure domain."""

    def setUp(self) -> None:
        super().setUp()
        entries = tuple(replace(build_target_entry(n), slots=6) for n in range(9))
        now = self.harness.clock.monotonic()
        self.handle_effects(self.harness.apply(TargetsObserved(now, entries)))
        self.local = {name_target(number) for number in (0, 3, 6)}

    def count_remote(self, requests_per_s: float) -> float:
        """Returns the share of requests that go to other failure domains, after a second."""
        self.run_load(1.0, requests_per_s)
        start = self.now
        self.run_load(2.0, requests_per_s)
        sent = [target for at, target in self.sent if at >= start]
        return sum(target not in self.local for target in sent) / len(sent)

    def test_requests_stay_in_the_domain_while_half_of_its_slots_are_free(self) -> None:
        # 18 slots at 0.15 s per request serve 120 requests per second.
        self.assertLess(self.count_remote(50.0), 0.02)

    def test_other_domains_take_what_the_own_one_has_no_room_for(self) -> None:
        self.assertGreater(self.count_remote(240.0), 0.4)
        self.assertEqual(set(self.results), {"answered"})


class StoppingHostTest(PatternTest):
    def test_a_request_that_could_outlast_the_stop_is_refused_at_once(self) -> None:
        now = self.harness.clock.monotonic()
        self.harness.apply(StopRequested(now, now + timedelta(seconds=4)))
        self.run_load(1.4, 20.0)
        self.assertEqual(set(self.results), {"answered"})
        # A booking may take 2.5 s, so that one that comes now might be cut off.
        self.run_load(0.5, 20.0)
        effects = self.harness.receive_request("POST", WRITE_PATH)[1]
        refused = next(effect for effect in effects if isinstance(effect, RefuseRequest))
        self.assertIs(refused.refusal.reason, RefusalReason.STOPPING)
        self.assertIs(refused.refusal.attempt_verdict, Verdict.NOT_RUN)


class FloorTest(PatternTest):
    def test_a_service_that_fails_a_sixth_of_its_requests_uses_its_floor(self) -> None:
        self.run_load(2.0, 20.0)
        self.break_targets(range(5))
        for _ in range(3):
            self.run_load(2.0, 20.0)
            recent = self.harness.state.services[ServiceName(SERVICE)].recent_outcomes
            used = {target for at, target in self.sent if at >= self.now - 2.0}
            failing = recent.unserved_share > 0.1
            self.assertTrue(not failing or len(used) >= 0.7 * 9, (len(used), failing))

    # Guards against FLOOR: sound targets get nothing, since failing ones count as targets in use.
    def test_failing_targets_do_not_count_as_targets_in_use(self) -> None:
        self.observe(range(14))
        self.harness.advance(1.0)
        now = self.harness.clock.monotonic()
        service = self.harness.state.services[ServiceName(SERVICE)]
        records = [service.targets[name_target(number)] for number in range(14)]
        for record in records:
            record.last_request_at = now
        for record in records[:6]:
            record.failures.add_failure(now)
        # These failed a while ago, so that others are preferred.
        for record in records[6:9]:
            record.failures.add_failure(now - timedelta(seconds=3))
            record.last_request_at = now - timedelta(seconds=2)
        service.recent_outcomes = RecentOutcomes(ended=155.0, unserved=16.0, updated=now)
        self.sent.clear()
        self.handle_effects(self.harness.receive_request("POST", WRITE_PATH)[1])
        self.assertIn(self.sent[0][1], [record.target.name for record in records[6:9]])

    def test_the_trail_does_not_show_when_a_service_is_below_its_floor(self) -> None:
        self.run_load(2.0, 20.0)
        with inject_fault(_choice, "_find_unused_target", lambda *arguments: None):
            self.break_targets(range(6))
            self.run_load(6.0, 20.0)
        self.failing.clear()
        self.run_load(12.0, 20.0)
        changes = [e.subject for e in self.audit if e.kind is AuditKind.FLOOR_CHANGED]
        self.assertEqual(changes[0], "below the floor")
        self.assertEqual(changes[-1], "at the floor or served again")


class StoreTest(PatternTest):
    def list_targets(self) -> set[TargetName]:
        return set(self.harness.state.services[ServiceName(SERVICE)].targets)

    def remove_targets(self, numbers: range) -> None:
        now = self.harness.clock.monotonic()
        removed = tuple(name_target(number) for number in numbers)
        self.handle_effects(self.harness.apply(TargetsObserved(now, (), removed)))

    def test_one_removed_target_gets_no_more_requests(self) -> None:
        self.remove_targets(range(1))
        self.assertNotIn(name_target(0), self.list_targets())

    def test_entries_that_lapse_in_an_outage_have_two_seconds_to_return(self) -> None:
        now = self.harness.clock.monotonic()
        self.harness.apply(StoreUnavailable(now, "silent"))
        self.harness.advance(5.0)
        recovered_at = self.harness.clock.monotonic()
        self.harness.apply(StoreAnswered(recovered_at, recovered_at))
        self.observe(range(5), complete=True)
        self.harness.advance(1.5)
        self.assertEqual(len(self.list_targets()), 9)
        self.observe(range(5, 7))
        self.harness.advance(1.0)
        self.assertEqual(self.list_targets(), {name_target(number) for number in range(7)})

    def test_many_removed_at_one_moment_are_kept_for_a_second(self) -> None:
        self.remove_targets(range(6))
        self.harness.advance(1.0)
        self.assertEqual(len(self.list_targets()), 9)
        self.harness.advance(0.5)
        self.assertEqual(len(self.list_targets()), 3)

    # Guards against FLOOR: targets that leave count among those that remain after a mass loss.
    def test_targets_that_leave_do_not_make_up_for_many_removed_ones(self) -> None:
        now = self.harness.clock.monotonic()
        leaving = tuple(build_target_entry(number, leaving=True) for number in range(9, 16))
        self.harness.apply(TargetsObserved(now, leaving))
        self.remove_targets(range(4))
        self.harness.advance(1.0)
        self.assertEqual(len(self.list_targets()), 16)
        self.harness.advance(0.5)
        self.assertEqual(len(self.list_targets()), 12)

    # Guards against DRAIN: a removal that is found by a question, and held back from then on.
    def test_many_that_were_removed_before_a_question_are_not_kept_too_long(self) -> None:
        for age in (0.0, 0.3, 0.6, 0.9):
            with self.subTest(age=age):
                self.setUp()
                for _ in range(10):
                    now = self.harness.clock.monotonic()
                    self.harness.apply(StoreAnswered(now, now))
                    self.harness.advance(0.5)
                now = self.harness.clock.monotonic()
                self.harness.apply(StoreAnswered(now, now))
                self.harness.advance(age)
                self.remove_targets(range(6))
                self.assertEqual(len(self.list_targets()), 9)
                self.harness.advance(1.8 - age)
                self.assertEqual(len(self.list_targets()), 3)

    def test_a_target_that_restarts_under_its_name_is_new(self) -> None:
        self.run_load(1.0, 35.0)
        now = self.harness.clock.monotonic()
        restarted = build_target_entry(2, born=2)
        self.harness.apply(TargetsObserved(now, (restarted,)))
        record = self.harness.state.services[ServiceName(SERVICE)].targets[name_target(2)]
        self.assertIsNone(record.last_success_at)
        stale = build_target_entry(2, leaving=True, born=1)
        self.harness.apply(TargetsObserved(now, (stale,)))
        entry = self.harness.state.discovered[name_target(2)]
        self.assertFalse(entry.leaving)


class FaultDetectionTest(unittest.TestCase):
    """Checks that the test of a pattern fails when the mechanism that handles it is disabled."""

    def scenario_fails(self, case: type[PatternTest], method: str) -> bool:
        result = unittest.TestResult()
        for seed in range(1, DETECTION_SEEDS + 1):
            scenario = case(method)
            scenario.seed = seed
            scenario.run(result)
        self.assertEqual(result.errors, [])
        return bool(result.failures)

    def test_without_pauses_resetting_targets_are_noticed(self) -> None:
        # The dates of good answers alone are enough for this pattern.
        with (
            inject_fault(_attempts, "pause_target", lambda *arguments: False),
            inject_fault(_choice, "MAX_SUCCESS_AGE", timedelta(0)),
        ):
            method = "test_a_third_of_the_targets_reset_all_requests"
            self.assertTrue(self.scenario_fails(ResettingTargetsTest, method))

    def test_without_the_limit_bursts_to_a_recovering_target_are_noticed(self) -> None:
        with inject_fault(_choice, "_has_failed_last", lambda record: False):
            method = "test_a_target_that_failed_last_gets_one_request_at_a_time"
            self.assertTrue(self.scenario_fails(RecoveringTargetsTest, method))

    def test_without_spaced_trials_fast_failures_are_noticed(self) -> None:
        with inject_fault(_choice, "MIN_TRIAL_INTERVAL", timedelta(0)):
            method = "test_all_targets_failed_a_moment_ago_and_fail_fast"
            self.assertTrue(self.scenario_fails(ResettingTargetsTest, method))

    def test_without_the_queue_limit_the_overload_is_noticed(self) -> None:
        with inject_fault(_attempts, "has_standing_queue", lambda *arguments: False):
            method = "test_bookings_arrive_at_one_and_a_half_times_the_capacity"
            self.assertTrue(self.scenario_fails(OverloadTest, method))

    def test_peer_counts_that_never_expire_are_noticed(self) -> None:
        with inject_fault(_service, "PEER_IN_FLIGHT_TTL", timedelta(hours=1)):
            method = "test_a_stale_peer_count_blocks_a_slot_only_briefly"
            self.assertTrue(self.scenario_fails(ResettingTargetsTest, method))

    def test_entries_removed_at_once_after_an_outage_are_noticed(self) -> None:
        with inject_fault(_discovery, "REREGISTRATION_GRACE", timedelta(0)):
            method = "test_entries_that_lapse_in_an_outage_have_two_seconds_to_return"
            self.assertTrue(self.scenario_fails(StoreTest, method))


if __name__ == "__main__":
    unittest.main()
