"""Tests one host under random requests, outcomes, evidence, leaving targets and new object sets.

These invariants hold at every step: each request gets one final answer; a target never gets more
requests than the host's share, nor any while it is ejected or leaving; a refusal reports truthfully
whether the request may have run; and no target is ejected or in probation while fewer healthy ones
remain than the floor.
"""

import unittest
from dataclasses import replace
from datetime import timedelta
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from endivedrift.core import (
    Address,
    AttemptOutcome,
    AuditKind,
    EvidenceDelta,
    ListedMachine,
    RequestId,
    ServiceName,
    TargetName,
    TargetState,
    Verdict,
)
from endivedrift.core.effects import (
    AbortAttempt,
    DeliverAnswer,
    Effect,
    QueueRequest,
    RecordAudit,
    RefuseRequest,
    SendToTarget,
)
from endivedrift.core.events import (
    AttemptFinished,
    AttemptLate,
    CallerDisconnected,
    MachineListRead,
    QueueWaitExpired,
    StopRequested,
)
from endivedrift.fleet import build_membership
from endivedrift.policy import _ejection
from endivedrift.reducer import _attempts, _statements
from tests.builders import (
    READ_PATH,
    SERVICE,
    WRITE_PATH,
    HostHarness,
    build_answer,
    build_config_fetched,
    build_identity,
    build_object_set,
    name_target,
)
from tests.fuzzing import detects_fault, fuzz_machine, inject_fault
from tests.invariants import check_states

INDEX = st.integers(min_value=0, max_value=1_000)
TARGETS = 5
OUTCOMES = st.one_of(st.just(AttemptOutcome.ANSWERED), st.sampled_from(AttemptOutcome))


class HostMachine(RuleBasedStateMachine):
    """Runs a host and tracks the state of its requests independently of it."""

    @initialize()
    def start(self) -> None:
        self.harness = HostHarness(build_object_set(targets=TARGETS, floor=2, slots=4))
        self.version = 1
        self.open_sends: dict[RequestId, SendToTarget] = {}
        self.queued: dict[RequestId, QueueRequest] = {}
        self.ended: set[RequestId] = set()
        self.arrived: list[RequestId] = []
        self.may_have_run: set[RequestId] = set()
        self.gone: set[RequestId] = set()

    @property
    def service(self):  # type: ignore[no-untyped-def]
        return self.harness.state.services[ServiceName(SERVICE)]

    def handle_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendToTarget():
                    self.handle_send(effect)
                case QueueRequest():
                    self.queued[effect.request] = effect
                case DeliverAnswer():
                    self.mark_ended(effect.request)
                case RefuseRequest():
                    self.mark_ended(effect.request)
                    is_reported = effect.refusal.attempt_verdict is Verdict.MAY_HAVE_RUN
                    assert is_reported == (effect.request in self.may_have_run)

    def handle_send(self, effect: SendToTarget) -> None:
        assert effect.request not in self.ended
        record = self.service.targets[effect.target]
        assert record.state not in (TargetState.EJECTED, TargetState.LEAVING)
        assert len(record.attempts) <= self.service.limit_per_target
        self.queued.pop(effect.request, None)
        self.open_sends[effect.request] = effect

    def mark_ended(self, request: RequestId) -> None:
        assert request not in self.ended, f"{request} ended twice"
        assert request not in self.open_sends, f"{request} ended with an open attempt"
        self.ended.add(request)
        self.queued.pop(request, None)

    @rule(write=st.booleans(), caller_timeout=st.sampled_from((None, 0.01, 0.3)))
    def arrive(self, write: bool, caller_timeout: float | None) -> None:
        method, path = ("POST", WRITE_PATH) if write else ("GET", READ_PATH)
        request, effects = self.harness.receive_request(method, path, caller_timeout=caller_timeout)
        self.arrived.append(request)
        self.handle_effects(effects)

    @rule(index=INDEX, outcome=OUTCOMES, status=st.sampled_from((200, 500)), leaving=st.booleans())
    def finish(self, index: int, outcome: AttemptOutcome, status: int, leaving: bool) -> None:
        if not self.open_sends:
            return
        request = sorted(self.open_sends)[index % len(self.open_sends)]
        effect = self.open_sends.pop(request)
        answered = outcome is AttemptOutcome.ANSWERED
        if outcome not in (
            AttemptOutcome.SHED,
            AttemptOutcome.DRAINING,
            AttemptOutcome.NOT_CONNECTED,
            AttemptOutcome.WITHDRAWN,
            AttemptOutcome.MISDIRECTED,
        ):
            self.may_have_run.add(request)
        event = AttemptFinished(
            self.harness.clock.monotonic(),
            request,
            effect.target,
            outcome,
            timedelta(milliseconds=5 if index % 3 else 500),
            build_answer(status) if answered else None,
            leaving and index % 4 == 0,
        )
        self.handle_effects(self.harness.apply(event))

    @rule(index=INDEX)
    def hang_up(self, index: int) -> None:
        open_requests = sorted(set(self.arrived) - self.ended)
        if open_requests:
            request = open_requests[index % len(open_requests)]
            self.handle_effects(
                self.harness.apply(CallerDisconnected(self.harness.clock.monotonic(), request))
            )

    @rule(seconds=st.sampled_from((0.1, 0.1, 1.0, 6.0, 70.0)))
    def pass_time(self, seconds: float) -> None:
        self.handle_effects(self.harness.advance(seconds, step=max(0.1, seconds / 10.0)))
        now = self.harness.clock.monotonic()
        for request, effect in sorted(self.queued.items()):
            if effect.until <= now and request in self.queued:
                self.handle_effects(self.harness.apply(QueueWaitExpired(now, request)))
                assert request in self.ended, "a request stays queued beyond its time limit"

    @rule(leaving=st.lists(st.booleans(), min_size=TARGETS, max_size=TARGETS))
    def list_machines(self, leaving: list[bool]) -> None:
        targets = build_object_set(targets=TARGETS).upstream_group["group"].targets
        machines = tuple(
            ListedMachine(target.address, leaves)  # type: ignore[arg-type]
            for target, leaves in zip(targets, leaving, strict=True)
        )
        self.handle_effects(
            self.harness.apply(MachineListRead(self.harness.clock.monotonic(), machines))
        )

    @rule(
        number=st.integers(0, TARGETS - 1),
        good=st.integers(0, 9),
        bad=st.integers(0, 9),
        leaving=st.booleans(),
    )
    def hear_evidence(self, number: int, good: int, bad: int, leaving: bool) -> None:
        sender = build_membership(build_identity("h2"), Random(1)).me
        delta = EvidenceDelta(
            ServiceName(SERVICE), name_target(number), good, bad, leaving and good == 0
        )
        self.handle_effects(self.harness.receive_evidence(sender, delta))

    @rule(floor=st.integers(1, 4), draining=st.integers(0, 1), size=st.integers(4, TARGETS))
    def publish(self, floor: int, draining: int, size: int) -> None:
        objects = build_object_set(targets=size, floor=min(floor, size - draining), slots=4)
        group = objects.upstream_group["group"]
        changed = tuple(
            replace(target, draining=n < draining) for n, target in enumerate(group.targets)
        )
        group = replace(group, targets=changed)
        objects = replace(objects, upstream_group={"group": group})
        self.version += 1
        self.handle_effects(
            self.harness.apply(build_config_fetched(self.harness.clock, objects, self.version))
        )

    @invariant()
    def floor_holds(self) -> None:
        if not hasattr(self, "harness"):
            return
        states = [record.state for record in self.service.targets.values()]
        out = [s for s in states if s in (TargetState.EJECTED, TargetState.PROBATION)]
        healthy = states.count(TargetState.HEALTHY)
        assert (
            not out or healthy >= self.service.ejection.floor
        ), "fewer healthy targets than the floor"

    @invariant()
    def targets_are_out_of_use_while_known_to_leave(self) -> None:
        if hasattr(self, "harness"):
            check_states(self.harness.state)

    def teardown(self) -> None:
        if not hasattr(self, "harness"):
            return
        for _ in range(20):
            while self.open_sends:
                self.finish(1, AttemptOutcome.ANSWERED, 200, False)
            self.pass_time(1.0)
        assert set(self.arrived) == self.ended, "requests without a final answer"
        assert not self.harness.state.requests
        assert not any(record.attempts for record in self.service.targets.values())


class HostFuzzTest(unittest.TestCase):
    def test_requests_end_once_and_the_floor_holds(self) -> None:
        fuzz_machine(HostMachine)


class FaultDetectionTest(unittest.TestCase):
    """Checks that the fuzz test detects each injected fault."""

    def assert_detected(self) -> None:
        self.assertTrue(detects_fault(HostMachine))

    def test_ejecting_without_a_floor_is_noticed(self) -> None:
        with inject_fault(_ejection, "restore_floor", lambda state, at: []):
            self.assert_detected()

    def test_reporting_a_cut_request_as_not_run_is_noticed(self) -> None:
        with inject_fault(_attempts, "judge_outcome", lambda outcome: Verdict.NOT_RUN):
            self.assert_detected()

    def test_keeping_a_leaving_target_in_use_is_noticed(self) -> None:
        with inject_fault(_statements, "mark_leaving", lambda state, name, at, source, cause: []):
            requests = LeavingTest("test_a_draining_answer_ends_new_requests")
            result = unittest.TestResult()
            requests.run(result)
            self.assertTrue(result.failures)


class LateAttemptCase(unittest.TestCase):
    """Sends requests to four targets and reports them as late."""

    slots = 2

    def setUp(self) -> None:
        self.harness = HostHarness(build_object_set(max_attempts=2, slots=self.slots))
        self.service = self.harness.state.services[ServiceName(SERVICE)]

    def send(self, method: str, path: str) -> SendToTarget:
        _, effects = self.harness.receive_request(method, path)
        return next(effect for effect in effects if isinstance(effect, SendToTarget))

    def finish(self, sent: SendToTarget, outcome: AttemptOutcome, seconds: float) -> list[Effect]:
        answer = build_answer() if outcome is AttemptOutcome.ANSWERED else None
        now, latency = self.harness.clock.monotonic(), timedelta(seconds=seconds)
        event = AttemptFinished(now, sent.request, sent.target, outcome, latency, answer)
        return self.harness.apply(event)

    def report_late(self, sent: SendToTarget) -> list[Effect]:
        now = self.harness.clock.monotonic()
        return self.harness.apply(AttemptLate(now, sent.request, sent.target))


class LateAttemptTest(LateAttemptCase):
    """A repeatable request that gets no answer is retried at another target before its deadline."""

    def test_it_is_retried_elsewhere_in_time_when_others_answer(self) -> None:
        stuck, other = self.send("GET", READ_PATH), self.send("GET", READ_PATH)
        self.assertEqual(stuck.late_after, timedelta(seconds=1))
        self.harness.clock.advance(timedelta(seconds=0.1))
        self.finish(other, AttemptOutcome.ANSWERED, 0.1)
        self.harness.clock.advance(timedelta(seconds=0.9))
        abort, audit = self.report_late(stuck)
        self.assertEqual(abort, AbortAttempt(stuck.request))
        assert isinstance(audit, RecordAudit)
        self.assertIs(audit.entry.kind, AuditKind.ATTEMPT_ABORTED)
        self.assertIn("after 1.000 s", audit.entry.cause)
        effects = self.finish(stuck, AttemptOutcome.TIMED_OUT, 1.0)
        retry = next(effect for effect in effects if isinstance(effect, SendToTarget))
        self.assertNotEqual(retry.target, stuck.target)
        self.assertEqual(retry.deadline, timedelta(seconds=2))

    def test_it_keeps_waiting_while_the_whole_service_is_slow(self) -> None:
        stuck = self.send("GET", READ_PATH)
        self.harness.clock.advance(timedelta(seconds=1))
        self.assertEqual(self.report_late(stuck), [])

    def test_it_keeps_waiting_without_retry_budget(self) -> None:
        stuck, other = self.send("GET", READ_PATH), self.send("GET", READ_PATH)
        self.harness.clock.advance(timedelta(seconds=0.1))
        self.finish(other, AttemptOutcome.ANSWERED, 0.1)
        self.harness.clock.advance(timedelta(seconds=0.9))
        self.service.retry_budget.tokens = 0.0
        self.assertEqual(self.report_late(stuck), [])

    def test_an_unrepeatable_request_keeps_its_whole_deadline(self) -> None:
        stuck, other = self.send("POST", WRITE_PATH), self.send("GET", READ_PATH)
        self.assertEqual(stuck.late_after, timedelta(seconds=4))
        self.harness.clock.advance(timedelta(seconds=0.1))
        self.finish(other, AttemptOutcome.ANSWERED, 0.1)
        self.harness.clock.advance(timedelta(seconds=0.9))
        self.assertEqual(self.report_late(stuck), [])


class AbortedAttemptTest(LateAttemptCase):
    """An attempt is aborted only for a retry that is certain to be sent.

    Guards against breaking off a request at which its target is at work and then refusing it: a
    caller got 504 that way after SIGTERM.
    """

    slots = 1

    def send_late(self, count: int, seconds: float = 1.0) -> list[SendToTarget]:
        """Sends requests that are still in progress after a time in which another was answered."""
        sent = [self.send("GET", READ_PATH) for _ in range(count + 1)]
        self.harness.clock.advance(timedelta(seconds=0.1))
        self.finish(sent[-1], AttemptOutcome.ANSWERED, 0.1)
        self.harness.clock.advance(timedelta(seconds=seconds - 0.1))
        return sent[:-1]

    def is_in_progress_anywhere(self) -> bool:
        return any(record.attempts for record in self.service.targets.values())

    def test_it_is_not_aborted_when_too_little_time_is_left_for_a_retry(self) -> None:
        (stuck,) = self.send_late(1, seconds=1.618)
        self.service.typical_latency = timedelta(milliseconds=404)
        self.assertEqual(self.report_late(stuck), [])

    def test_it_is_not_aborted_so_late_in_a_stop_either(self) -> None:
        # The stop itself ends long after the request must have ended, so it is no reason to refuse.
        now = self.harness.clock.monotonic()
        self.harness.apply(StopRequested(now, now + timedelta(seconds=5.65)))
        self.harness.clock.advance(timedelta(seconds=0.5))
        (stuck,) = self.send_late(1, seconds=1.618)
        self.service.typical_latency = timedelta(milliseconds=404)
        self.assertEqual(self.report_late(stuck), [])

    def test_it_is_not_aborted_in_a_stop_for_a_retry_that_may_fail(self) -> None:
        # Guards against an own refusal in place of the answer that a target is working on.
        now = self.harness.clock.monotonic()
        self.harness.apply(StopRequested(now, now + timedelta(seconds=5.65)))
        (stuck,) = self.send_late(1)
        self.assertEqual(self.report_late(stuck), [])

    def test_two_do_not_share_one_token_of_the_retry_budget(self) -> None:
        late = self.send_late(2)
        self.service.retry_budget.tokens = 1.0
        aborted = [sent for sent in late if self.report_late(sent)]
        self.assertEqual(len(aborted), 1)
        effects = self.finish(aborted[0], AttemptOutcome.TIMED_OUT, 1.0)
        self.assertEqual(sum(isinstance(effect, SendToTarget) for effect in effects), 1)

    def test_it_is_not_aborted_while_no_other_target_has_room(self) -> None:
        (stuck,) = self.send_late(1)
        for _ in range(3):
            self.send("POST", WRITE_PATH)
        self.assertEqual(self.report_late(stuck), [])

    def test_the_room_for_its_retry_is_kept_until_it_is_sent(self) -> None:
        (stuck,) = self.send_late(1)
        occupied = [self.send("POST", WRITE_PATH) for _ in range(2)]
        self.assertTrue(self.report_late(stuck))
        arrived = self.harness.receive_request("POST", WRITE_PATH)[1]
        self.assertFalse(any(isinstance(effect, SendToTarget) for effect in arrived))
        effects = self.finish(stuck, AttemptOutcome.TIMED_OUT, 1.0)
        retry = next(effect for effect in effects if isinstance(effect, SendToTarget))
        self.assertEqual(retry.request, stuck.request)
        self.assertNotIn(retry.target, {stuck.target, *(sent.target for sent in occupied)})

    def test_an_answer_that_comes_before_the_abort_returns_token_and_room(self) -> None:
        (stuck,) = self.send_late(1)
        tokens = self.service.retry_budget.tokens
        self.assertTrue(self.report_late(stuck))
        effects = self.finish(stuck, AttemptOutcome.ANSWERED, 1.0)
        self.assertTrue(any(isinstance(effect, DeliverAnswer) for effect in effects))
        self.assertEqual(self.service.retry_budget.tokens, tokens)
        self.assertFalse(self.is_in_progress_anywhere())

    def test_a_caller_that_leaves_before_the_retry_returns_token_and_room(self) -> None:
        (stuck,) = self.send_late(1)
        tokens = self.service.retry_budget.tokens
        self.assertTrue(self.report_late(stuck))
        self.finish(stuck, AttemptOutcome.CANCELLED, 1.0)
        self.assertEqual(self.service.retry_budget.tokens, tokens)
        self.assertFalse(self.is_in_progress_anywhere())

    def test_the_retry_goes_elsewhere_if_the_chosen_target_has_left(self) -> None:
        (stuck,) = self.send_late(1)
        self.assertTrue(self.report_late(stuck))
        chosen = next(
            name
            for name, record in self.service.targets.items()
            if stuck.request in record.attempts and name != stuck.target
        )
        del self.service.targets[chosen]
        effects = self.finish(stuck, AttemptOutcome.TIMED_OUT, 1.0)
        retry = next(effect for effect in effects if isinstance(effect, SendToTarget))
        self.assertNotIn(retry.target, {stuck.target, chosen})

    def test_a_retry_is_not_sent_when_its_time_has_passed_meanwhile(self) -> None:
        # The target would count as broken for a connection that was not even tried.
        (stuck,) = self.send_late(1, seconds=1.99)
        self.service.typical_latency = timedelta(milliseconds=5)
        self.assertTrue(self.report_late(stuck))
        self.harness.clock.advance(timedelta(milliseconds=20))
        effects = self.finish(stuck, AttemptOutcome.TIMED_OUT, 2.01)
        self.assertEqual([e for e in effects if isinstance(e, SendToTarget)], [])


class ProbationTest(unittest.TestCase):
    """A failed request in probation ejects the target again and is recorded in the audit trail."""

    def test_a_failure_in_probation_is_recorded_as_an_ejection(self) -> None:
        harness = HostHarness(build_object_set())
        service = harness.state.services[ServiceName(SERVICE)]
        record = service.targets[name_target(0)]
        record.state = TargetState.PROBATION
        request, effects = harness.receive_request()
        sent = next(effect for effect in effects if isinstance(effect, SendToTarget))
        self.assertEqual(sent.target, name_target(0))
        now = harness.clock.monotonic()
        outcome = AttemptOutcome.CUT
        effects = harness.apply(AttemptFinished(now, request, sent.target, outcome, timedelta(0)))
        kinds = [e.entry.kind for e in effects if isinstance(e, RecordAudit)]
        self.assertIn(AuditKind.EJECTED, kinds)
        self.assertIs(record.state, TargetState.EJECTED)


class LeavingTest(unittest.TestCase):
    """A leaving target gets no new request, whichever source reports first that it leaves."""

    def count_sends(self, harness: HostHarness, target: TargetName) -> int:
        """Sends enough concurrent requests to fill all targets and counts those sent to one."""
        sends: list[tuple[RequestId, SendToTarget]] = []
        for _ in range(8):
            request, effects = harness.receive_request()
            sends += [(request, effect) for effect in effects if isinstance(effect, SendToTarget)]
        now = harness.clock.monotonic()
        latency = timedelta(milliseconds=5)
        for request, sent in sends:
            outcome = AttemptOutcome.ANSWERED
            done = AttemptFinished(now, request, sent.target, outcome, latency, build_answer())
            harness.apply(done)
        return sum(1 for _, sent in sends if sent.target == target)

    def receive_draining_answer(self) -> tuple[HostHarness, SendToTarget]:
        """Returns a host whose first request was refused by a draining target."""
        harness = HostHarness(build_object_set())
        request, effects = harness.receive_request()
        sent = next(effect for effect in effects if isinstance(effect, SendToTarget))
        now = harness.clock.monotonic()
        latency = timedelta(milliseconds=5)
        outcome = AttemptOutcome.DRAINING
        harness.apply(AttemptFinished(now, request, sent.target, outcome, latency, None, True))
        return harness, sent

    def test_a_draining_answer_ends_new_requests(self) -> None:
        harness, sent = self.receive_draining_answer()
        self.assertEqual(self.count_sends(harness, sent.target), 0)

    def test_the_platforms_list_ends_new_requests(self) -> None:
        harness = HostHarness(build_object_set())
        address = (
            harness.state.services[ServiceName(SERVICE)].targets[name_target(1)].target.address
        )
        self.list_machine(harness, address, leaving=True)
        self.assertEqual(self.count_sends(harness, name_target(1)), 0)

    def test_an_object_set_ends_new_requests(self) -> None:
        harness = HostHarness(build_object_set())
        objects = build_object_set()
        group = objects.upstream_group["group"]
        targets = (replace(group.targets[0], draining=True), *group.targets[1:])
        changed = replace(group, targets=targets)
        objects = replace(objects, upstream_group={"group": changed})
        harness.apply(build_config_fetched(harness.clock, objects, 2))
        self.assertEqual(self.count_sends(harness, name_target(0)), 0)

    def test_a_lagging_list_does_not_overrule_the_targets_answer(self) -> None:
        harness, sent = self.receive_draining_answer()
        for _ in range(60):
            self.list_machine(harness, sent.address, leaving=False)
            harness.advance(2.0, step=0.5)
            self.assertEqual(self.count_sends(harness, sent.target), 0)

    def test_a_target_is_used_again_once_no_source_says_that_it_leaves(self) -> None:
        harness = HostHarness(build_object_set())
        address = (
            harness.state.services[ServiceName(SERVICE)].targets[name_target(1)].target.address
        )
        self.list_machine(harness, address, leaving=True)
        harness.advance(5.0)
        self.assertEqual(self.count_sends(harness, name_target(1)), 0)
        for _ in range(20):
            self.list_machine(harness, address, leaving=False)
            harness.advance(2.0)
        self.assertGreater(self.count_sends(harness, name_target(1)), 0)

    def test_a_target_that_drained_and_restarted_unlisted_is_used_again(self) -> None:
        harness, sent = self.receive_draining_answer()
        harness.advance(400.0, step=1.0)
        self.assertGreater(self.count_sends(harness, sent.target), 0)

    def list_machine(self, harness: HostHarness, address: str, leaving: bool) -> None:
        machines = (ListedMachine(Address(address), leaving),)
        harness.apply(MachineListRead(harness.clock.monotonic(), machines))

    def test_all_targets_are_used_while_none_leaves(self) -> None:
        harness = HostHarness(build_object_set())
        self.assertGreater(self.count_sends(harness, name_target(0)), 0)
