"""Tests that hedges shorten the tail of idempotent requests, and cost no more than was allowed."""

import unittest
from dataclasses import replace
from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from endivedrift.core import (
    AttemptOutcome,
    Instant,
    RefusalReason,
    RequestDigest,
    RequestId,
    RouteName,
    TargetName,
    Verdict,
)
from endivedrift.core.effects import (
    AbandonRequest,
    AbortAttempt,
    DeliverAnswer,
    Effect,
    QueueRequest,
    RefuseRequest,
    SendToTarget,
    StartHedge,
)
from endivedrift.core.events import (
    AttemptFinished,
    AttemptLate,
    CallerDisconnected,
    HedgeDue,
    QueueWaitExpired,
    StopRequested,
)
from endivedrift.objects import HedgeRule, ObjectSet
from endivedrift.policy import (
    Attempt,
    Hedging,
    RateLimit,
    ServiceState,
    TargetRecord,
    TokenBucket,
    earn_hedge,
    is_service_slow,
    observe_late,
    observe_response,
    record_end,
)
from endivedrift.policy import _hedging as hedging_policy
from endivedrift.reducer import _attempts, _hedging, list_primaries
from endivedrift.reducer._state import RequestState
from endivedrift.shell._targets import cancel_attempt
from tests.builders import (
    SERVICE,
    WRITE_PATH,
    HostHarness,
    build_answer,
    build_object_set,
    name_target,
)
from tests.fuzzing import detects_fault, fuzz_machine, inject_fault
from tests.hedged_fleet import HedgedFleet

LIMIT = 0.05
ALLOWED_FACTOR = 1.1
"""Factor by which the extra work of the whole fleet may exceed the limit."""
USUAL = timedelta(milliseconds=100)
LATE = timedelta(milliseconds=250)
VERY_LATE = timedelta(milliseconds=500)
"""Time in which a slow target answers: five times the usual one."""
TARGETS = 6
SLOTS = 4
MAX_ATTEMPTS = 3


def build_set(share: float = 1.0, max_attempts: int = MAX_ATTEMPTS) -> ObjectSet:
    """Builds an object set in which any request of the repeatable route may be hedged."""
    objects = build_object_set(TARGETS, slots=SLOTS, max_attempts=max_attempts)
    service = replace(objects.service[SERVICE], hedge_rule="h")
    rule = HedgeRule(max_extra_share=share)
    return replace(objects, service={SERVICE: service}, hedge_rule={"h": rule})


class Driver:
    """Drives one host that has learned the usual response time, and records what it does.

    Attributes:
      open: The attempts in progress, by request and target.
      sent: All attempts by request, with the hedges.
      hedges: The requests that were hedged.
      writes: The requests that must not be repeated.
      results: The answer or refusal of each request that has ended.
      queued: The requests that wait.
    """

    def __init__(self, objects: ObjectSet) -> None:
        self.harness = HostHarness(objects)
        self.open: dict[RequestId, dict[TargetName, Instant]] = {}
        self.sent: dict[RequestId, list[TargetName]] = {}
        self.hedges: list[RequestId] = []
        self.writes: set[RequestId] = set()
        self.results: dict[RequestId, DeliverAnswer | RefuseRequest] = {}
        self.queued: set[RequestId] = set()
        for _ in range(hedging_policy.MIN_SAMPLES + 1):
            request = self.send()
            self.advance(USUAL)
            self.finish(request)
        self.service.retry_budget.tokens = self.service.retry_budget.cap

    @property
    def now(self) -> Instant:
        return self.harness.clock.monotonic()

    @property
    def service(self) -> ServiceState:
        (service,) = self.harness.state.services.values()
        return service

    def advance(self, time: timedelta) -> None:
        self.harness.clock.advance(time)

    def apply(self, event: object) -> list[Effect]:
        effects = self.harness.apply(event)
        self.handle(effects)
        return effects

    def handle(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendToTarget():
                    self._start(effect)
                case StartHedge():
                    self.hedges.append(effect.request)
                    self._start(effect.attempt)
                case DeliverAnswer() | RefuseRequest():
                    self.results[effect.request] = effect
                    self.open.pop(effect.request, None)
                    self.queued.discard(effect.request)
                case QueueRequest():
                    self.queued.add(effect.request)

    def _start(self, effect: SendToTarget) -> None:
        self.queued.discard(effect.request)
        self.open.setdefault(effect.request, {})[effect.target] = self.now
        self.sent.setdefault(effect.request, []).append(effect.target)

    def send(self, write: bool = False, digest: bytes = b"") -> RequestId:
        method, path = ("POST", WRITE_PATH) if write else ("GET", "/rooms")
        request, effects = self.harness.receive_request(method, path, digest=digest)
        if write:
            self.writes.add(request)
        self.handle(effects)
        return request

    def finish(
        self,
        request: RequestId,
        number: int = 0,
        outcome: AttemptOutcome = AttemptOutcome.ANSWERED,
        status: int = 200,
    ) -> list[Effect]:
        """Ends the attempt that is the `number`th of those in progress, oldest first."""
        target = list(self.open[request])[number]
        started = self.open[request].pop(target)
        answer = build_answer(status) if outcome is AttemptOutcome.ANSWERED else None
        latency = self.now - started
        return self.apply(AttemptFinished(self.now, request, target, outcome, latency, answer))

    def report_late(self, request: RequestId) -> bool:
        """Reports the first attempt as late; tells whether it was hedged."""
        target = self.sent[request][0]
        effects = self.apply(HedgeDue(self.now, request, target))
        return any(isinstance(effect, StartHedge) for effect in effects)

    def send_hedged(self) -> RequestId:
        """Sends a request that is hedged after `LATE`."""
        request = self.send()
        self.advance(LATE)
        if not self.report_late(request):
            raise AssertionError("the request was not hedged")
        return request

    def find_record(self, request: RequestId, number: int) -> TargetRecord:
        return self.service.targets[self.sent[request][number]]

    def list_occupied(self) -> list[tuple[TargetName, RequestId]]:
        """Returns the targets' slots that the host counts as occupied."""
        targets = self.service.targets.items()
        return sorted((name, request) for name, r in targets for request in r.attempts)


class HedgeTest(unittest.TestCase):
    max_attempts = MAX_ATTEMPTS

    def setUp(self) -> None:
        self.driver = Driver(build_set(max_attempts=self.max_attempts))

    def check_answered(self, request: RequestId) -> None:
        self.assertIsInstance(self.driver.results[request], DeliverAnswer)
        self.assertEqual(self.driver.list_occupied(), [])
        self.assertEqual(self.driver.harness.state.requests, {})

    def check_not_hedged(self, **options: bool) -> None:
        request = self.driver.send(**options)
        self.driver.advance(LATE)
        self.assertFalse(self.driver.report_late(request))
        self.assertEqual(len(self.driver.sent[request]), 1)


# Guards against a late first attempt that is waited for although another target has answered.
class FirstResponseTest(HedgeTest):
    def test_the_hedge_is_sent_to_another_target_and_wins(self) -> None:
        request = self.driver.send_hedged()
        first, hedge = self.driver.sent[request]
        self.assertNotEqual(first, hedge)
        self.driver.advance(USUAL)
        self.driver.finish(request, number=1)
        self.check_answered(request)
        late = AttemptFinished(
            self.driver.now, request, first, AttemptOutcome.ANSWERED, LATE, build_answer()
        )
        self.assertEqual(self.driver.apply(late), [])

    def test_the_first_attempt_wins(self) -> None:
        request = self.driver.send_hedged()
        self.driver.finish(request, number=0)
        self.check_answered(request)

    def test_a_target_that_has_had_the_request_for_much_longer_is_slow(self) -> None:
        for hedge_time, bad in ((USUAL, 1), (2 * LATE, 0)):
            request = self.driver.send_hedged()
            records = [self.driver.find_record(request, number) for number in range(2)]
            for record in records:
                record.unsent_bad = 0
            self.driver.advance(hedge_time)
            self.driver.finish(request, number=1)
            self.assertEqual(records[0].unsent_bad, bad)

    def test_a_hedge_that_loses_is_no_evidence(self) -> None:
        request = self.driver.send()
        self.driver.advance(VERY_LATE)
        self.assertTrue(self.driver.report_late(request))
        self.driver.finish(request, number=0)
        self.assertEqual(self.driver.find_record(request, 1).unsent_bad, 0)


# Guards against a failed attempt that ends the request, or the other attempt, and extra retries.
class FailureTest(HedgeTest):
    def test_a_hedge_that_fails_leaves_the_first_attempt(self) -> None:
        for outcome in (AttemptOutcome.CUT, AttemptOutcome.NOT_CONNECTED, AttemptOutcome.SHED):
            with self.subTest(outcome):
                request = self.driver.send_hedged()
                self.driver.finish(request, 1, outcome)
                self.assertEqual(list(self.driver.open[request]), self.driver.sent[request][:1])
                self.driver.finish(request)
                self.check_answered(request)

    def test_a_first_attempt_that_fails_leaves_the_hedge(self) -> None:
        for outcome in (AttemptOutcome.CUT, AttemptOutcome.TIMED_OUT):
            with self.subTest(outcome):
                request = self.driver.send_hedged()
                self.driver.finish(request, 0, outcome)
                self.assertEqual(list(self.driver.open[request]), self.driver.sent[request][1:])
                self.driver.finish(request)
                self.check_answered(request)

    def test_a_server_error_waits_for_the_other_attempt(self) -> None:
        request = self.driver.send_hedged()
        self.driver.finish(request, 0, status=500)
        self.assertNotIn(request, self.driver.results)
        self.driver.finish(request, 0)
        self.check_answered(request)

    def fail_both(self) -> RequestId:
        request = self.driver.send_hedged()
        self.driver.finish(request, 1, AttemptOutcome.CUT)
        self.driver.finish(request, 0, AttemptOutcome.CUT)
        return request

    def test_a_retry_after_both_have_failed_is_the_last_attempt(self) -> None:
        request = self.fail_both()
        self.assertEqual(len(set(self.driver.sent[request])), MAX_ATTEMPTS)
        self.driver.finish(request, 0, AttemptOutcome.CUT)
        result = self.driver.results[request]
        assert isinstance(result, RefuseRequest)
        self.assertIs(result.refusal.reason, RefusalReason.TARGET_CUT)
        self.assertIs(result.refusal.attempt_verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.driver.list_occupied(), [])

    def test_hedges_and_retries_take_from_one_budget(self) -> None:
        budget = self.driver.service.retry_budget
        budget.tokens = 2.0
        request = self.fail_both()
        self.assertEqual(len(self.driver.sent[request]), 3)
        self.assertLess(budget.tokens, 1.0)
        self.driver.finish(request)
        budget.tokens = 0.0
        self.check_not_hedged()
        budget.tokens = 1.0
        request = self.fail_both()
        self.assertEqual(len(self.driver.sent[request]), 2)
        self.assertIn(request, self.driver.results)

    def test_a_caller_that_disconnects_ends_both(self) -> None:
        request = self.driver.send_hedged()
        self.driver.advance(USUAL)
        effects = self.driver.apply(CallerDisconnected(self.driver.now, request))
        self.assertEqual(effects, [AbandonRequest(request)])
        target = self.driver.harness.state.requests[request].target
        assert target is not None
        self.driver.apply(cancel_attempt(self.driver.now, request, target))
        self.assertEqual(self.driver.list_occupied(), [])
        self.assertEqual(self.driver.harness.state.requests, {})
        for number in range(2):
            self.assertEqual(self.driver.find_record(request, number).unsent_bad, 0)

    def test_a_first_attempt_beside_a_hedge_is_not_aborted(self) -> None:
        for is_hedged in (True, False):
            request = self.driver.send_hedged() if is_hedged else self.driver.send()
            self.driver.advance(VERY_LATE)
            faster = self.driver.service.targets[name_target(5)]
            self.assertNotIn(name_target(5), self.driver.sent[request])
            faster.last_answer_at, faster.last_latency = self.driver.now, USUAL
            target = self.driver.sent[request][0]
            effects = self.driver.apply(AttemptLate(self.driver.now, request, target))
            is_aborted = any(isinstance(effect, AbortAttempt) for effect in effects)
            self.assertEqual(is_aborted, not is_hedged)


class FewAttemptsTest(HedgeTest):
    max_attempts = 2

    def test_no_attempt_follows_a_hedge_that_was_the_last_one(self) -> None:
        request = self.driver.send_hedged()
        self.driver.finish(request, 1, AttemptOutcome.CUT)
        self.driver.finish(request, 0, AttemptOutcome.CUT)
        self.assertIn(request, self.driver.results)


class SingleAttemptTest(HedgeTest):
    max_attempts = 1

    def test_a_request_with_one_attempt_is_not_hedged(self) -> None:
        self.check_not_hedged()


# Guards against hedges that are sent where a request must not, or where they delay other requests.
class RestraintTest(HedgeTest):
    def test_a_request_that_must_not_be_repeated_is_not_hedged(self) -> None:
        self.check_not_hedged(write=True)

    def test_a_request_that_ended_a_target_elsewhere_is_not_hedged(self) -> None:
        digest = RequestDigest(b"d")
        request = self.driver.send(digest=digest)
        quarantine = self.driver.harness.state.quarantine
        record_end(quarantine, digest, name_target(5), 1, self.driver.now)
        self.driver.advance(LATE)
        self.assertFalse(self.driver.report_late(request))

    def test_targets_that_want_no_request_get_no_hedge(self) -> None:
        request = self.driver.send()
        for record in self.driver.service.targets.values():
            record.held_until = self.driver.now + timedelta(seconds=9)
        self.driver.advance(LATE)
        self.assertFalse(self.driver.report_late(request))

    def test_a_hedge_counts_against_the_rate_that_its_target_states(self) -> None:
        for tokens, expected in ((0.5, False), (1.5, True)):
            request = self.driver.send()
            for record in self.driver.service.targets.values():
                bucket = TokenBucket(2.0, 0.0, tokens, self.driver.now)
                record.rate_limit = RateLimit(1.0, self.driver.now, bucket)
            self.driver.advance(LATE)
            self.assertEqual(self.driver.report_late(request), expected)
            for record in self.driver.service.targets.values():
                limit, record.rate_limit = record.rate_limit, None
                assert limit is not None
                is_used = expected and request in record.attempts
                if record is not self.driver.find_record(request, 0):
                    self.assertEqual(limit.bucket.tokens, tokens - float(is_used))
            self.driver.finish(request)

    def test_the_last_free_slot_of_a_target_is_left_to_others(self) -> None:
        for occupied, expected in ((SLOTS - 1, False), (SLOTS - 2, True)):
            request = self.driver.send()
            for record in self.driver.service.targets.values():
                for number in range(occupied):
                    record.attempts[RequestId(f"other-{number}")] = Attempt(self.driver.now)
            self.driver.advance(LATE)
            self.assertEqual(self.driver.report_late(request), expected)
            for record in self.driver.service.targets.values():
                record.attempts.clear()

    def test_no_hedge_starts_while_requests_are_queued(self) -> None:
        late, later = self.driver.send(), self.driver.send()
        others = [self.driver.send() for _ in range(TARGETS * SLOTS)]
        waiting = sorted(self.driver.queued)
        self.assertTrue(waiting)
        self.driver.advance(LATE)
        # Targets have room again, but requests that have not run at all are still queued.
        for request in set(others) & self.driver.open.keys():
            self.driver.find_record(request, 0).attempts.pop(request)
        self.assertFalse(self.driver.report_late(late))
        for request in waiting:
            self.driver.apply(QueueWaitExpired(self.driver.now, request))
        self.assertTrue(self.driver.report_late(later))

    def test_no_retry_is_taken_from_the_budget_where_the_route_has_no_hedge_left(self) -> None:
        (route,) = self.driver.service.hedging.routes.values()  # type: ignore[union-attr]
        request = self.driver.send()
        route.budget.tokens = 0.5
        before = self.driver.service.retry_budget.tokens
        self.driver.advance(LATE)
        self.assertFalse(self.driver.report_late(request))
        self.assertEqual(self.driver.service.retry_budget.tokens, before)

    def test_a_host_that_has_just_started_hedges_no_more_than_the_limit(self) -> None:
        self.driver = Driver(build_set(LIMIT))
        with inject_fault(_hedging, "is_service_slow", lambda *arguments: False):
            for _ in range(200):
                request = self.driver.send()
                self.driver.report_late(request)
                self.driver.finish(request)
                allowed = LIMIT * len(self.driver.sent)
                self.assertLessEqual(len(self.driver.hedges), allowed)
        self.assertGreater(len(self.driver.hedges), 0.9 * allowed - 1)

    def test_a_service_with_many_routes_is_found_slow_before_each_of_them_is(self) -> None:
        hedging = Hedging(LIMIT)
        names = [RouteName(f"route-{number}") for number in range(50)]
        for name in names * (hedging_policy.MIN_SAMPLES + 20):
            earn_hedge(hedging, name, 1.0, 1, Instant(0))
            observe_response(hedging, name, USUAL, Instant(0))
        self.assertFalse(any(is_service_slow(hedging, name) for name in names))
        for name in names[:8]:
            observe_late(hedging, name, Instant(0))
        self.assertTrue(all(is_service_slow(hedging, name) for name in names))

    def test_hosts_that_are_no_primaries_hedge_nothing(self) -> None:
        with inject_fault(_attempts, "is_primary", lambda *arguments: False):
            self.check_not_hedged()
        request = self.driver.send()
        self.driver.advance(LATE)
        self.assertTrue(self.driver.report_late(request))

    def test_no_hedge_starts_at_a_host_that_stops(self) -> None:
        request = self.driver.send()
        self.driver.apply(StopRequested(self.driver.now))
        self.driver.advance(LATE)
        self.assertFalse(self.driver.report_late(request))

    def test_no_hedge_starts_at_a_host_that_reaches_no_target(self) -> None:
        request = self.driver.send()
        self.driver.harness.state.path.is_cut = True
        self.driver.advance(LATE)
        self.assertFalse(self.driver.report_late(request))

    def test_a_route_may_allow_none(self) -> None:
        objects = build_set()
        read = replace(objects.route["read"], max_hedge_share=0.0)
        self.driver = Driver(replace(objects, route={**objects.route, "read": read}))
        self.check_not_hedged()

    def test_no_hedge_is_due_where_nothing_is_configured(self) -> None:
        for objects in (build_object_set(), build_set(share=0.0)):
            driver = Driver(objects)
            _, effects = driver.harness.receive_request()
            self.assertIsNone(next(e for e in effects if isinstance(e, SendToTarget)).hedge_after)
            self.assertIsNone(driver.service.hedging)


OUTCOMES = st.one_of(st.just(AttemptOutcome.ANSWERED), st.sampled_from(AttemptOutcome))
INDEX = st.integers(min_value=0, max_value=1_000)


class HedgingMachine(RuleBasedStateMachine):
    """Sends requests of both kinds, whose attempts end, are late, or are abandoned in any order."""

    @initialize()
    def start(self) -> None:
        self.driver = Driver(build_set())

    def pick(self, index: int) -> RequestId | None:
        # A request whose retry is queued has no attempt in progress.
        requests = sorted(request for request, names in self.driver.open.items() if names)
        return requests[index % len(requests)] if requests else None

    @rule(write=st.booleans())
    def send(self, write: bool) -> None:
        self.driver.send(write)

    @rule(index=INDEX, number=INDEX, outcome=OUTCOMES, status=st.sampled_from((200, 500)))
    def finish(self, index: int, number: int, outcome: AttemptOutcome, status: int) -> None:
        request = self.pick(index)
        if request is not None and outcome is not AttemptOutcome.CANCELLED:
            self.driver.finish(request, number % len(self.driver.open[request]), outcome, status)

    @rule(index=INDEX)
    def report_late(self, index: int) -> None:
        request = self.pick(index)
        if request is not None:
            self.driver.report_late(request)

    @rule(index=INDEX)
    def use_up_time(self, index: int) -> None:
        request = self.pick(index)
        for target in list(self.driver.open.get(request, ())) if request is not None else ():
            effects = self.driver.apply(AttemptLate(self.driver.now, request, target))
            if any(isinstance(effect, AbortAttempt) for effect in effects):
                assert request is not None
                self.driver.finish(request, 0, AttemptOutcome.TIMED_OUT)

    @rule(index=INDEX)
    def disconnect(self, index: int) -> None:
        request = self.pick(index)
        if request is None:
            return
        effects = self.driver.apply(CallerDisconnected(self.driver.now, request))
        target = self.driver.harness.state.requests[request].target
        if effects and target is not None:
            self.driver.apply(cancel_attempt(self.driver.now, request, target))

    @rule(index=INDEX)
    def expire(self, index: int) -> None:
        waiting = sorted(self.driver.queued)
        if waiting:
            request = waiting[index % len(waiting)]
            self.driver.apply(QueueWaitExpired(self.driver.now, request))

    @rule(milliseconds=st.integers(min_value=1, max_value=600))
    def wait(self, milliseconds: int) -> None:
        seconds = milliseconds / 1_000.0
        self.driver.handle(self.driver.harness.advance(seconds, step=seconds))

    @invariant()
    def attempts_are_bounded(self) -> None:
        driver = getattr(self, "driver", None)
        if driver is None:
            return
        for request, targets in driver.open.items():
            is_hedged = request in driver.hedges
            assert len(targets) <= (2 if is_hedged else 1), f"{request} is at {sorted(targets)}"
        for request in driver.hedges:
            assert request not in driver.writes, f"{request} must not be repeated"
        for request, sent in driver.sent.items():
            assert len(set(sent)) == len(sent), f"{request} was sent twice to one target"

    @invariant()
    def slots_are_freed(self) -> None:
        driver = getattr(self, "driver", None)
        if driver is None:
            return
        expected = {(name, request) for request, names in driver.open.items() for name in names}
        for request, pending in driver.harness.state.requests.items():
            if pending.reserved_target is not None:
                expected.add((pending.reserved_target, request))
        assert driver.list_occupied() == sorted(expected)


# Guards against a request that runs twice although it must not, and against slots that leak.
class HedgingFuzzTest(unittest.TestCase):
    seed = 1

    def test_requests_that_must_not_be_repeated_have_one_attempt_at_a_time(self) -> None:
        fuzz_machine(HedgingMachine, fixed_seed=self.seed)

    def test_a_hedge_of_any_request_is_detected(self) -> None:
        def measure(
            state: object, service: ServiceState, pending: RequestState, at: Instant
        ) -> timedelta:
            assert service.hedging is not None
            earn_hedge(service.hedging, pending.route.name, 1.0, 1, at)
            pending.is_measured = True
            return LATE

        allowed = inject_fault(_hedging, "_may_hedge", lambda *arguments: True)
        with inject_fault(_attempts, "_measure_first_attempt", measure), allowed:
            self.assertTrue(detects_fault(HedgingMachine))

    def test_a_slot_of_the_losing_attempt_that_is_not_freed_is_detected(self) -> None:
        with inject_fault(_attempts, "_cancel_other_attempt", lambda *arguments: []):
            self.assertTrue(detects_fault(HedgingMachine))


# Guards against TAIL: two in a hundred callers waited ten times as long as the others.
class TailTest(unittest.TestCase):
    per_s = 40.0
    target_count = 24

    def start(self, share: float) -> HedgedFleet:
        return HedgedFleet(1, self.target_count, share)

    def run_load(self, share: float, seconds: float = 100.0) -> HedgedFleet:
        fleet = self.start(share)
        fleet.send_steadily(self.per_s, seconds, write=False)
        fleet.run(seconds + 2.0)
        return fleet

    def test_p99_falls_and_the_extra_work_stays_within_the_limit(self) -> None:
        without, fleet = self.run_load(0.0), self.run_load(LIMIT)
        since = timedelta(seconds=10)
        self.assertEqual(without.hedges, [])
        p99, usual = fleet.compute_p99(since), without.compute_p99(since)
        self.assertLessEqual(p99, 0.7 * usual, f"{p99:.3f} s, {usual:.3f} s without hedges")
        extra = fleet.compute_extra(timedelta(0))
        self.assertLessEqual(extra, ALLOWED_FACTOR * LIMIT, f"{extra:.4f} hedges per request")

    def test_writes_in_the_same_load_are_sent_once(self) -> None:
        fleet = self.start(LIMIT)
        fleet.send_steadily(self.per_s, 60.0, write=False)
        fleet.send_steadily(self.per_s / 4, 60.0, write=True)
        fleet.run(64.0)
        self.assertTrue(fleet.hedges)
        self.assertFalse(any(sent.write for _, sent in fleet.hedges))

    def test_a_service_that_is_slow_as_a_whole_gets_no_additional_load(self) -> None:
        fleet = self.start(LIMIT)
        fleet.send_steadily(self.per_s, 150.0, write=False)
        fleet.run(40.0)
        fleet.slowdown = 3.0
        slow_since = fleet.now
        fleet.run(60.0)
        extra = fleet.compute_extra(slow_since)
        self.assertLessEqual(extra, 0.01, f"{extra:.4f} hedges per request while it was slow")
        fleet.slowdown = 1.0
        fleet.run(10.0)
        recovered_since = fleet.now
        fleet.run(40.0)
        self.assertGreater(fleet.compute_extra(recovered_since), 0.01, "hedging did not resume")

    def test_a_rush_gets_no_additional_load(self) -> None:
        fleet = HedgedFleet(1, 4, LIMIT)
        fleet.send_steadily(20.0, 60.0, write=False)
        fleet.run(30.0)
        since = fleet.now
        fleet.send_steadily(120.0, 30.0, write=False)
        fleet.run(30.0)
        extra = fleet.compute_extra(since)
        self.assertLessEqual(extra, 0.001, f"{extra:.4f} hedges per request in the rush")


# Guards against LIMIT: many hosts that together hedge more than the fleet may.
class FleetLimitTest(unittest.TestCase):
    host_count = 102
    entry_hosts = 9
    lost_share = 0.1
    per_s = 90.0
    seconds = 21.0

    def setUp(self) -> None:
        self.fleet = HedgedFleet(self.host_count, 40, LIMIT, self.entry_hosts)
        self.fleet.is_delivered = lambda *hosts: self.fleet.rng.random() >= self.lost_share

    def list_primary_hosts(self) -> list[str]:
        state = self.fleet.hosts["h0"].state
        return [str(m.host) for m in list_primaries(state, next(iter(state.services)))]

    def run_and_restart(self) -> None:
        """Lets the requests arrive while a primary and another host are restarted in turn."""
        since = self.fleet.now
        primaries = self.list_primary_hosts()
        for number in range(round(self.seconds / 3)):
            self.fleet.run(2.5)
            self.fleet.start_host(primaries[number % len(primaries)])
            self.fleet.start_host(f"h{number * 7 % self.host_count}")
            self.fleet.run(0.5)
        extra = self.fleet.compute_extra(since)
        self.assertLessEqual(extra, ALLOWED_FACTOR * LIMIT, f"{extra:.4f} hedges per request")
        self.assertTrue(self.fleet.hedges)

    def test_requests_at_all_hosts(self) -> None:
        self.fleet.send_steadily(self.per_s, self.seconds, write=False)
        self.run_and_restart()

    def test_the_limit_holds_where_every_request_counts_as_late(self) -> None:
        self.fleet.hedge_after = timedelta(milliseconds=1)
        for number, host in enumerate(self.list_primary_hosts()):
            start = timedelta(seconds=number / self.per_s)
            self.fleet.schedule(
                start,
                lambda host=host: self.fleet.send_steadily(
                    self.per_s / self.entry_hosts, self.seconds, host, write=False
                ),
            )
        with inject_fault(_hedging, "is_service_slow", lambda *arguments: False):
            self.run_and_restart()


if __name__ == "__main__":
    unittest.main()
