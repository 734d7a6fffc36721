"""Tests whom a host tells of its attempts when many hosts share the targets of a service."""

import unittest
from collections import Counter
from datetime import timedelta

from endivedrift.core import AttemptOutcome, Member, ServiceName, TargetName, TargetState
from endivedrift.core.effects import Effect, SendPeerMessage, SendToTarget
from endivedrift.core.events import AttemptFinished, TargetsObserved
from endivedrift.policy import TargetRecord
from endivedrift.reducer import _targets, list_primaries
from tests.builders import (
    READ_PATH,
    SERVICE,
    HostHarness,
    build_answer,
    build_discovered_set,
    build_target_entry,
)
from tests.fuzzing import inject_fault
from tests.network import Network

DOMAINS = 3
TARGETS = 300
"""Their 600 slots need six hosts of one core each: two in each failure domain."""


class TellingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = Network(24, DOMAINS, build_discovered_set())
        self.network.run(10.0)
        entries = tuple(build_target_entry(number) for number in range(TARGETS))
        for harness in self.network.hosts.values():
            now = self.network.clock.monotonic()
            harness.apply(TargetsObserved(now, entries, (), True))
        self.network.run(1.0)
        self.sender = self.network.hosts[self.list_primaries()[0].host]

    def list_primaries(self) -> tuple[Member, ...]:
        return list_primaries(self.network.hosts["h0"].state, ServiceName(SERVICE))

    def get_record(self, harness: HostHarness, name: TargetName) -> TargetRecord:
        return harness.state.services[ServiceName(SERVICE)].targets[name]

    def apply(self, event: object) -> list[Effect]:
        effects = self.sender.apply(event)
        self.network.handle_effects(self.sender.state.identity.host, effects)
        return effects

    def send_request(self) -> tuple[SendToTarget, list[Effect]]:
        effects = self.sender.receive_request("GET", READ_PATH)[1]
        self.network.handle_effects(self.sender.state.identity.host, effects)
        return next(e for e in effects if isinstance(e, SendToTarget)), effects

    def finish(self, sent: SendToTarget, outcome: AttemptOutcome) -> list[Effect]:
        now = self.network.clock.monotonic()
        answer = build_answer() if outcome is AttemptOutcome.ANSWERED else None
        return self.apply(
            AttemptFinished(
                now, sent.request, sent.target, outcome, timedelta(milliseconds=150), answer
            )
        )

    def list_told(self, effects: list[Effect]) -> set[str]:
        return {e.address.partition(":")[0] for e in effects if isinstance(e, SendPeerMessage)}

    def list_other_primaries(self) -> set[str]:
        return {str(m.host) for m in self.list_primaries()} - {self.sender.state.identity.host}

    def test_there_are_several_primaries_in_each_domain(self) -> None:
        domains = Counter(member.failure_domain for member in self.list_primaries())
        self.assertEqual(len(domains), DOMAINS)
        self.assertGreaterEqual(min(domains.values()), 2)

    def test_an_attempt_is_told_near_its_host_and_near_its_target_only(self) -> None:
        sent, effects = self.send_request()
        domains = {
            self.sender.state.identity.failure_domain,
            self.get_record(self.sender, sent.target).target.failure_domain,
        }
        near = {str(m.host) for m in self.list_primaries() if m.failure_domain in domains}
        self.assertEqual(self.list_told(effects), near - {str(self.sender.state.identity.host)})
        self.assertLess(len(self.list_told(effects)), len(self.list_other_primaries()))

    def test_a_failure_is_told_to_all_at_once(self) -> None:
        sent, _ = self.send_request()
        effects = self.finish(sent, AttemptOutcome.CUT)
        self.assertEqual(self.list_told(effects), self.list_other_primaries())
        now = self.network.clock.monotonic()
        for name in self.list_other_primaries():
            record = self.get_record(self.network.hosts[name], sent.target)
            self.assertGreater(record.paused_until, now)

    def build_answered(self, sent: SendToTarget, leaving: bool = False) -> AttemptFinished:
        """Builds the end of an attempt with an answer, which may state that the target leaves."""
        return AttemptFinished(
            self.network.clock.monotonic(),
            sent.request,
            sent.target,
            AttemptOutcome.ANSWERED,
            timedelta(milliseconds=150),
            build_answer(),
            leaving,
        )

    def use_elsewhere(self) -> HostHarness:
        """Lets a host that is not a primary use the service, and returns it."""
        primaries = {str(member.host) for member in self.list_primaries()}
        name, user = next((n, h) for n, h in self.network.hosts.items() if n not in primaries)
        effects = user.receive_request("GET", READ_PATH)[1]
        self.network.handle_effects(name, effects)
        sent = next(e for e in effects if isinstance(e, SendToTarget))
        self.network.handle_effects(name, user.apply(self.build_answered(sent)))
        self.network.run(1.0)
        return user

    # Guards against DRAIN: a host that is not told of what a target says in an answer to another.
    def test_a_host_that_is_no_primary_is_told_of_a_target_that_leaves(self) -> None:
        user = self.use_elsewhere()
        sent, _ = self.send_request()
        self.apply(self.build_answered(sent, leaving=True))
        self.network.run(0.2)
        self.assertIs(self.get_record(user, sent.target).state, TargetState.LEAVING)

    def count_shared_outcomes(self) -> dict[str, tuple[float, ...]]:
        """Sends requests that fail, and returns the evidence that each other primary has then."""
        names = []
        for _ in range(6):
            sent, _ = self.send_request()
            names.append(sent.target)
            self.finish(sent, AttemptOutcome.CUT)
        sent, _ = self.send_request()
        self.finish(sent, AttemptOutcome.ANSWERED)
        self.network.run(1.0)
        return {
            host: tuple(
                round(self.get_record(self.network.hosts[host], name).shared_score, 3)
                for name in names
            )
            for host in self.list_other_primaries()
        }

    def test_every_outcome_reaches_every_primary_within_a_second(self) -> None:
        evidence = self.count_shared_outcomes()
        self.assertEqual(len(set(evidence.values())), 1)
        self.assertTrue(all(score > 0.0 for score in next(iter(evidence.values()))))

    def test_without_the_report_to_the_others_evidence_differs(self) -> None:
        with inject_fault(_targets, "take_far_evidence", lambda *arguments: ()):
            evidence = self.count_shared_outcomes()
        self.assertGreater(len(set(evidence.values())), 1)

    def test_nothing_is_kept_for_far_hosts_while_there_are_none(self) -> None:
        entries = tuple(build_target_entry(number) for number in range(3))
        now = self.network.clock.monotonic()
        for harness in self.network.hosts.values():
            harness.apply(TargetsObserved(now, entries, (), True))
        # Targets whose loss would break the floor are kept for 1.2 s.
        self.network.run(2.0)
        self.assertLessEqual(len(self.list_primaries()), _targets.MAX_PRIMARIES_TOLD_ALL)
        sent, _ = self.send_request()
        self.finish(sent, AttemptOutcome.CUT)
        record = self.get_record(self.sender, sent.target)
        self.assertEqual((record.unsent_far_good, record.unsent_far_bad), (0, 0))

    def test_requests_in_progress_are_known_to_all_within_a_second(self) -> None:
        sent, _ = self.send_request()
        self.network.run(1.0)
        now = self.network.clock.monotonic()
        for name in self.list_other_primaries():
            record = self.get_record(self.network.hosts[name], sent.target)
            self.assertEqual(record.count_in_flight(now), 1)
        self.finish(sent, AttemptOutcome.ANSWERED)
        self.network.run(1.0)
        now = self.network.clock.monotonic()
        for name in self.list_other_primaries():
            record = self.get_record(self.network.hosts[name], sent.target)
            self.assertEqual(record.count_in_flight(now), 0)


if __name__ == "__main__":
    unittest.main()
