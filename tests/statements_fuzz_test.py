"""Random tests that what a process has stated to a host holds for as long as it lives.

A state machine plays what may happen to processes, their registrations, the route of their service
and the paths of the host. Its oracle knows only what each process has said.
"""

import unittest
from datetime import timedelta
from random import Random

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from endivedrift.core import (
    AttemptOutcome,
    EvidenceDelta,
    ForwardOutcome,
    Instant,
    MemberStatus,
    ProcessId,
    ServiceName,
    TargetState,
    build_store_version,
)
from endivedrift.core.effects import Effect, ForwardToPeer, SendToTarget
from endivedrift.core.events import (
    AttemptFinished,
    CallerDisconnected,
    ForwardFinished,
    StoreAnswered,
    TargetsObserved,
)
from endivedrift.fleet import build_membership
from endivedrift.policy._ejection import MIN_PROBATION_SUCCESSES
from endivedrift.reducer import _discovery, _targets
from tests.announcements_test import forget_process
from tests.builders import (
    READ_PATH,
    SERVICE,
    WRITE_PATH,
    HostHarness,
    build_answer,
    build_config_fetched,
    build_discovered_set,
    build_identity,
    build_target_entry,
    name_target,
)
from tests.fuzzing import detects_fault, fuzz_machine, inject_fault
from tests.invariants import check_states

TARGETS = 4
NUMBER = st.integers(0, TARGETS - 1)
INDEX = st.integers(0, 1_000)
OUTCOMES = st.sampled_from(
    (
        AttemptOutcome.ANSWERED,
        AttemptOutcome.ANSWERED,
        AttemptOutcome.CUT,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.SHED,
        AttemptOutcome.DRAINING,
    )
)


class StatementMachine(RuleBasedStateMachine):
    """Runs one host with targets that register themselves."""

    @initialize()
    def start(self) -> None:
        self.harness = HostHarness(build_discovered_set(floor_share=0.3))
        other = build_membership(build_identity("h2"), Random(1)).me
        self.other = other.with_status(MemberStatus.ALIVE)
        self.harness.receive_notice(self.other)
        self.config_version = 1
        self.era, self.number = 1, 0
        self.births = dict.fromkeys(range(TARGETS), 1)
        self.registered: set[int] = set()
        self.attempts: list[SendToTarget] = []
        self.forwards: list[ForwardToPeer] = []
        self.left: set[ProcessId] = set()
        self.held_until: dict[ProcessId, Instant] = {}
        self.observe(range(TARGETS), complete=True)
        self.harness.advance(1.0)

    @property
    def now(self) -> Instant:
        return self.harness.clock.monotonic()

    def identify(self, number: int, age: int = 0) -> ProcessId:
        """Returns a process of a target: the present one, or one of those before it."""
        return ProcessId(name_target(number), max(1, self.births[number] - age))

    def apply(self, event: object) -> None:
        self.handle_effects(self.harness.apply(event))

    def handle_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToTarget):
                process = ProcessId(effect.target, effect.started_ms)
                assert process not in self.left, f"{process} gets a request and has said it leaves"
                held_until = self.held_until.get(process, Instant(0))
                assert held_until <= self.now, f"{process} gets a request and wants none"
                self.attempts.append(effect)
            elif isinstance(effect, ForwardToPeer):
                self.forwards.append(effect)

    def observe(
        self, numbers: object, complete: bool = False, leaving: bool = False, age: int = 0
    ) -> None:
        """Lets the store show registrations; `age` counts from the present processes."""
        entries = []
        for number in list(numbers):  # type: ignore[call-overload]
            process = self.identify(number, age)
            entries.append(build_target_entry(number, leaving, process.started_ms))
            self.registered.add(number)
            if leaving:
                self.left.add(process)
        self.number += 1
        version = build_store_version(self.era, self.number)
        self.apply(TargetsObserved(self.now, tuple(entries), (), complete, version, version - 1))

    @rule(count=st.integers(1, 8), write=st.booleans())
    def arrive(self, count: int, write: bool) -> None:
        for _ in range(count):
            method, path = ("POST", WRITE_PATH) if write else ("GET", READ_PATH)
            self.handle_effects(self.harness.receive_request(method, path)[1])

    @rule(
        index=INDEX,
        outcome=OUTCOMES,
        leaving=st.sampled_from((False, False, True)),
        hold_s=st.sampled_from((0.0, 0.0, 3.0, 60.0)),
    )
    def finish(self, index: int, outcome: AttemptOutcome, leaving: bool, hold_s: float) -> None:
        if not self.attempts:
            return
        sent = self.attempts.pop(index % len(self.attempts))
        process = ProcessId(sent.target, sent.started_ms)
        if leaving or outcome is AttemptOutcome.DRAINING:
            self.left.add(process)
        hold = timedelta(seconds=hold_s) if outcome is AttemptOutcome.SHED and hold_s else None
        if hold is not None:
            known = self.held_until.get(process, Instant(0))
            self.held_until[process] = max(known, self.now + hold)
        answered = outcome is AttemptOutcome.ANSWERED
        self.apply(
            AttemptFinished(
                self.now,
                sent.request,
                sent.target,
                outcome,
                timedelta(milliseconds=50),
                build_answer() if answered else None,
                leaving,
                retry_after=hold,
                started_ms=sent.started_ms,
            )
        )

    @rule(index=INDEX)
    def hang_up(self, index: int) -> None:
        if self.attempts:
            sent = self.attempts[index % len(self.attempts)]
            self.apply(CallerDisconnected(self.now, sent.request))

    @rule(number=NUMBER, leaving=st.booleans(), age=st.integers(0, 1))
    def register(self, number: int, leaving: bool, age: int) -> None:
        self.observe([number], leaving=leaving, age=age)

    @rule(number=NUMBER)
    def restart(self, number: int) -> None:
        self.births[number] += 1
        self.observe([number])

    @rule(number=NUMBER)
    def remove(self, number: int) -> None:
        self.number += 1
        version = build_store_version(self.era, self.number)
        gone = (name_target(number),)
        self.apply(TargetsObserved(self.now, (), gone, False, version, version - 1))

    @rule(numbers=st.sets(NUMBER), age=st.integers(0, 1))
    def restore_store(self, numbers: set[int], age: int) -> None:
        self.era += 1
        self.number = 0
        self.observe(sorted(numbers), complete=True, age=age)

    @rule()
    def end_outage(self) -> None:
        """Lets the store answer after a pause, so that lapsed registrations are kept."""
        self.handle_effects(self.harness.advance(4.0, step=0.5))
        version = self.harness.state.targets_version
        self.apply(StoreAnswered(self.now, self.now, version, 0))

    @rule(has_route=st.booleans())
    def publish(self, has_route: bool) -> None:
        self.config_version += 1
        objects = build_discovered_set(floor_share=0.3, service=SERVICE if has_route else "other")
        self.apply(build_config_fetched(self.harness.clock, objects, self.config_version))

    @rule(number=NUMBER, age=st.integers(0, 1))
    def hear_of_leaving(self, number: int, age: int) -> None:
        process = self.identify(number, age)
        self.left.add(process)
        delta = EvidenceDelta(
            ServiceName(SERVICE),
            process.name,
            0,
            0,
            True,
            leaving_started_ms=process.started_ms,
        )
        self.handle_effects(self.harness.receive_evidence(self.other, delta))

    @rule(index=INDEX, number=NUMBER)
    def finish_forward(self, index: int, number: int) -> None:
        if not self.forwards:
            return
        forward = self.forwards.pop(index % len(self.forwards))
        process = self.identify(number)
        self.left.add(process)
        self.apply(
            ForwardFinished(
                self.now,
                forward.request,
                ForwardOutcome.ANSWERED,
                build_answer(),
                leaving=(process,),
            )
        )

    @rule(is_cut=st.booleans())
    def change_paths(self, is_cut: bool) -> None:
        self.harness.state.path.is_cut = is_cut

    @rule(number=NUMBER, successes=st.sampled_from((0, MIN_PROBATION_SUCCESSES - 1)))
    def put_on_probation(self, number: int, successes: int) -> None:
        service = self.harness.state.services.get(ServiceName(SERVICE))
        record = service.targets.get(name_target(number)) if service is not None else None
        if record is not None and record.state is TargetState.HEALTHY:
            record.state = TargetState.PROBATION
            record.consecutive_good = successes

    @rule(seconds=st.sampled_from((0.1, 0.1, 0.5, 2.0, 6.0)))
    def pass_time(self, seconds: float) -> None:
        self.handle_effects(self.harness.advance(seconds, step=max(0.1, seconds / 10.0)))

    @rule()
    def pass_minutes(self) -> None:
        self.handle_effects(self.harness.advance(400.0, step=20.0))

    @invariant()
    def targets_are_out_of_use_while_known_to_leave(self) -> None:
        if hasattr(self, "harness"):
            check_states(self.harness.state)


class StatementFuzzTest(unittest.TestCase):
    def test_what_processes_have_stated_holds(self) -> None:
        fuzz_machine(StatementMachine)


class FaultDetectionTest(unittest.TestCase):
    """Checks that the fuzz test detects each injected fault."""

    def assert_detected(self) -> None:
        self.assertTrue(detects_fault(StatementMachine))

    def test_forgetting_processes_without_a_registration_is_noticed(self) -> None:
        with inject_fault(_discovery, "end_registration", forget_process):
            self.assert_detected()

    def test_disregarding_other_hosts_is_noticed(self) -> None:
        with inject_fault(_targets, "note_reported_leaving", lambda *arguments: []):
            self.assert_detected()


if __name__ == "__main__":
    unittest.main()
