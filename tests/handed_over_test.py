"""A retry that a host hands over to a primary runs once, within the budget, by one object set."""

import unittest
from datetime import timedelta
from functools import partial

from endivedrift.core import (
    ANY_VERSION,
    AttemptOutcome,
    ForwardOutcome,
    Refusal,
    RefusalReason,
    ServiceName,
    Verdict,
    Version,
)
from endivedrift.core.effects import (
    DeliverAnswer,
    Effect,
    ForwardToPeer,
    RefuseRequest,
    SendToTarget,
)
from endivedrift.core.events import AttemptFinished, ForwardFinished
from tests.builders import READ_PATH, SERVICE, WRITE_PATH, build_answer
from tests.floating_callers import FloatingFleet, FloatingLoad

SMALL = FloatingLoad(hosts=12, targets=6)


class HandedOverTest(unittest.TestCase):
    """Drives one host that is not a primary, and one that is."""

    def setUp(self) -> None:
        self.fleet = FloatingFleet(SMALL)
        other = next(name for name in self.fleet.hosts if name not in self.fleet.primaries)
        self.host = self.fleet.hosts[other]
        self.primary = self.fleet.hosts[sorted(self.fleet.primaries)[0]]
        self.primary.state.services[ServiceName(SERVICE)].retry_budget.add(1.0)

    def fail_first_attempt(self, outcome: AttemptOutcome, write: bool = False) -> list[Effect]:
        method, path = ("POST", WRITE_PATH) if write else ("GET", READ_PATH)
        _, effects = self.host.receive_request(method, path)
        sent = next(effect for effect in effects if isinstance(effect, SendToTarget))
        answer = build_answer(500) if outcome is AttemptOutcome.ANSWERED else None
        now = self.host.clock.monotonic()
        took = timedelta(milliseconds=5)
        return self.host.apply(
            AttemptFinished(now, sent.request, sent.target, outcome, took, answer)
        )

    def find_forward(self, effects: list[Effect]) -> ForwardToPeer | None:
        found = [effect for effect in effects if isinstance(effect, ForwardToPeer)]
        return found[0] if found else None

    def reply(self, forward: ForwardToPeer, refusal: Refusal) -> list[Effect]:
        now = self.host.clock.monotonic()
        outcome = ForwardOutcome.REFUSED
        return self.host.apply(ForwardFinished(now, forward.request, outcome, refusal=refusal))

    def receive(self, version: Version) -> tuple[list[Effect], Refusal | None]:
        """Lets the primary receive a retry; returns the effects and the refusal, if any."""
        _, effects = self.primary.receive_request(
            for_peer=True, earlier_attempts=1, config_version=version, takes_retry=True
        )
        refusals = [e.refusal for e in effects if isinstance(e, RefuseRequest)]
        return effects, refusals[0] if refusals else None

    # The host has none of its own: its budget starts empty.
    def test_a_request_that_a_full_target_refused_gets_no_second_attempt(self) -> None:
        forward = self.find_forward(self.fail_first_attempt(AttemptOutcome.SHED, write=True))
        assert forward is not None
        self.assertIn(forward.peer, self.fleet.primaries)
        self.assertTrue(forward.takes_retry)
        self.assertEqual(forward.earlier_attempts, 1)
        self.assertEqual(forward.config_version, self.host.state.config.version)

    def test_a_cut_request_that_can_be_repeated_gets_no_second_attempt(self) -> None:
        self.assertIsNotNone(self.find_forward(self.fail_first_attempt(AttemptOutcome.CUT)))

    def test_a_cut_request_that_must_not_be_repeated_is_handed_over(self) -> None:
        effects = self.fail_first_attempt(AttemptOutcome.CUT, write=True)
        self.assertIsNone(self.find_forward(effects))

    # The primary would divide the requests of the route anew.
    def test_a_request_of_a_split_route_goes_to_another_of_its_services(self) -> None:
        _, effects = self.host.receive_request("POST", WRITE_PATH)
        sent = next(effect for effect in effects if isinstance(effect, SendToTarget))
        self.host.state.requests[sent.request].split_service = ServiceName(SERVICE)
        now = self.host.clock.monotonic()
        took = timedelta(milliseconds=5)
        shed = AttemptFinished(now, sent.request, sent.target, AttemptOutcome.SHED, took)
        self.assertIsNone(self.find_forward(self.host.apply(shed)))

    def test_a_retry_is_taken_from_no_budget(self) -> None:
        version = self.primary.state.config.version
        effects, refusal = self.receive(version)
        self.assertIsNone(refusal)
        self.assertTrue(any(isinstance(effect, SendToTarget) for effect in effects))
        budget = self.primary.state.services[ServiceName(SERVICE)].retry_budget
        while budget.take(self.primary.clock.monotonic()):
            pass
        _, refusal = self.receive(version)
        assert refusal is not None
        self.assertIs(refusal.reason, RefusalReason.NO_RETRY)
        self.assertIs(refusal.attempt_verdict, Verdict.NOT_RUN)

    def test_a_primary_with_another_object_set_serves_the_retry(self) -> None:
        version = self.primary.state.config.version
        for other in (version - 1, version + 1):
            if other != ANY_VERSION:
                _, refusal = self.receive(Version(other))
                assert refusal is not None
                self.assertIs(refusal.reason, RefusalReason.NO_CONFIGURATION)
                self.assertIs(refusal.attempt_verdict, Verdict.NOT_RUN)

    def test_a_retry_that_no_primary_takes_is_refused_for_another_reason(self) -> None:
        not_run = Verdict.NOT_RUN
        no_retry = Refusal(RefusalReason.NO_RETRY, not_run, not_run, timedelta(0), "")
        effects = self.fail_first_attempt(AttemptOutcome.SHED, write=True)
        asked = []
        while (forward := self.find_forward(effects)) is not None:
            asked.append(forward.peer)
            effects = self.reply(forward, no_retry)
        self.assertEqual(len(set(asked)), 3)
        refused = next(effect for effect in effects if isinstance(effect, RefuseRequest))
        self.assertIs(refused.refusal.reason, RefusalReason.TARGET_REFUSED)
        self.assertIs(refused.refusal.attempt_verdict, Verdict.NOT_RUN)

    def test_the_server_error_of_the_first_attempt_is_lost(self) -> None:
        not_run = Verdict.NOT_RUN
        no_retry = Refusal(RefusalReason.NO_RETRY, not_run, not_run, timedelta(0), "")
        effects = self.fail_first_attempt(AttemptOutcome.ANSWERED)
        while (forward := self.find_forward(effects)) is not None:
            effects = self.reply(forward, no_retry)
        delivered = next(effect for effect in effects if isinstance(effect, DeliverAnswer))
        self.assertEqual(delivered.answer.status, 500)


class WithoutPathTest(unittest.TestCase):
    """Drives a primary, some of whose targets refuse its connections."""

    def forward(self, is_cut: bool) -> tuple[ForwardToPeer, Version]:
        fleet = FloatingFleet(SMALL)
        host = fleet.hosts[sorted(fleet.primaries)[0]]
        host.state.path.is_cut = is_cut
        _, effects = host.receive_request("POST", WRITE_PATH)
        while not any(isinstance(effect, ForwardToPeer) for effect in effects):
            sent = next(effect for effect in effects if isinstance(effect, SendToTarget))
            now = host.clock.monotonic()
            failed = AttemptOutcome.NOT_CONNECTED
            host.state.path.failed_at.clear()  # Other requests reach targets meanwhile.
            took = timedelta(milliseconds=5)
            effects = host.apply(AttemptFinished(now, sent.request, sent.target, failed, took))
        forward = next(effect for effect in effects if isinstance(effect, ForwardToPeer))
        return forward, host.state.config.version

    # Guards against CONFIG: a request that a host with an older version serves, after this one has
    # served others by the newer version.
    def test_a_request_goes_to_a_host_with_another_object_set(self) -> None:
        forward, version = self.forward(is_cut=False)
        self.assertEqual(forward.config_version, version)

    def test_a_host_that_reaches_no_target_finds_no_host_with_its_object_set(self) -> None:
        forward, _ = self.forward(is_cut=True)
        self.assertEqual(forward.config_version, ANY_VERSION)


class LostPrimaryTest(unittest.TestCase):
    def test_a_request_runs_twice_when_primaries_stop_and_restart(self) -> None:
        fleet = FloatingFleet(FloatingLoad(hosts=32, busy_share=0.6, seconds=6.0))
        first, second, *_ = sorted(fleet.primaries)
        fleet.schedule(timedelta(seconds=2.0), partial(fleet.stopped.add, first))
        fleet.schedule(timedelta(seconds=3.0), partial(fleet.start_host, second))
        fleet.run_load()
        self.assertGreater(len(fleet.forwards), 20)
        self.assertEqual(fleet.list_broken_promises({sent.digest for sent in fleet.sent}), [])


if __name__ == "__main__":
    unittest.main()
