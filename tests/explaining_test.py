"""The explanation of a request equals what a real request gets, and changes nothing.

Guards against an explanation that drifts from the code that decides, or takes tokens and slots.
"""

import pickle
import unittest
from dataclasses import replace

from endivedrift.core import AttemptOutcome, CallerName, RequestHead, RequestId, TargetState
from endivedrift.core.effects import SendToTarget
from endivedrift.core.events import AttemptFinished, RequestArrived
from endivedrift.objects import Caller
from endivedrift.policy._choice import uses_too_few_targets
from endivedrift.reducer import Explanation, explain_request
from tests.builders import READ_PATH, WRITE_PATH, HostHarness, build_answer, build_object_set

GUEST = CallerName("guest")


class ExplainingTest(unittest.TestCase):
    def setUp(self) -> None:
        objects = build_object_set(targets=6, slots=3)
        objects = replace(objects, caller={GUEST: Caller(requests_per_s=1.0, burst=4)})
        self.host = HostHarness(objects)
        self.host.advance(2.0)
        self.count = 0

    def explain(self, head: RequestHead) -> Explanation:
        clock = self.host.clock
        before = pickle.dumps(self.host.state)
        found = explain_request(self.host.state, clock.monotonic(), clock.wall(), head)
        self.assertEqual(pickle.dumps(self.host.state), before)
        return found

    def is_trial(self, sent: SendToTarget) -> bool:
        """Tells whether a target is tried or used for another reason than its cost."""
        now = self.host.clock.monotonic()
        service = self.host.state.services[sent.service]
        records = service.targets.values()
        return any(
            r.state is TargetState.PROBATION or r.paused_until > now for r in records
        ) or uses_too_few_targets(service, now)

    def arrive(self, head: RequestHead) -> list[object]:
        self.count += 1
        clock = self.host.clock
        request = RequestId(f"r{self.count}")
        return list(self.host.apply(RequestArrived(clock.monotonic(), clock.wall(), request, head)))

    def test_the_first_choice_is_that_of_a_real_request_in_many_states(self) -> None:
        outcomes = (AttemptOutcome.ANSWERED, AttemptOutcome.CUT, AttemptOutcome.SHED)
        decisions = set()
        for number in range(120):
            path, method = ((READ_PATH, "GET"), (WRITE_PATH, "POST"))[number % 2]
            head = RequestHead(method=method, path=path)
            found = self.explain(head)
            decisions.add(found.decision)
            effects = self.arrive(head)
            sent = [e for e in effects if isinstance(e, SendToTarget)]
            self.assertEqual(list(found.choices[:1]), [e.target for e in sent])
            with_room = [cost for cost in found.costs if cost.has_room]
            if sent and not self.is_trial(sent[0]):
                least = (with_room[0].rank, with_room[0].load)
                chosen = next(c for c in with_room if c.name == sent[0].target)
                self.assertEqual((chosen.rank, chosen.load), least)
            self.assertEqual(
                [type(e) for e in found.effects], [type(e) for e in effects], found.effects
            )
            if number % 3 == 0 and sent:
                now = self.host.clock.monotonic()
                outcome = outcomes[number // 3 % 3]
                answer = build_answer() if outcome is AttemptOutcome.ANSWERED else None
                self.host.apply(
                    AttemptFinished(
                        now, sent[0].request, sent[0].target, outcome, now - now, answer
                    )
                )
            self.host.advance(0.1)
        self.assertGreater(len(decisions), 1)

    def test_the_choices_differ_and_are_among_the_targets_with_room(self) -> None:
        for _ in range(5):
            self.arrive(RequestHead(method="GET", path=READ_PATH))
        found = self.explain(RequestHead(method="GET", path=READ_PATH))
        self.assertEqual(len(set(found.choices)), 3)
        self.assertLessEqual(set(found.choices), {c.name for c in found.costs if c.has_room})
        self.assertEqual(len(found.costs), 6)

    def test_a_request_over_the_quota_is_explained_and_not_charged(self) -> None:
        head = RequestHead(method="GET", path=READ_PATH, caller=GUEST)
        for _ in range(4):
            self.explain(head)
            self.arrive(head)
        found = self.explain(head)
        assert found.refusal is not None and found.quota is not None
        self.assertEqual(found.refusal.reason.value, "caller-limit")
        self.assertIsNotNone(found.refusal.retry_after)
        self.assertLess(found.quota.tokens or 0.0, 1.0)

    def test_routes_that_do_not_match_are_shown_with_the_cause(self) -> None:
        found = self.explain(RequestHead(method="POST", path=READ_PATH))
        self.assertIsNone(found.route)
        self.assertEqual(found.decision, "refuse")
        causes = {other.name: other.cause for other in found.other_routes}
        self.assertEqual(causes["read"], "it is for the method GET")


if __name__ == "__main__":
    unittest.main()
