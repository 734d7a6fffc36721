"""Tests that the whole fleet keeps to the rates that targets state, and uses what they allow."""

import unittest
from datetime import timedelta

from endivedrift.core import NO_RATE_LIMIT, TargetName, Verdict
from endivedrift.reducer import list_primaries
from tests.builders import name_target
from tests.limited_targets import TOLD_AFTER, LimitedFleet

SECONDS = 14.0
USED_SHARE = 0.5
"""Least share of what a limited target allows that it gets while there are enough requests."""
LOST_SHARE = 0.2


# Guards against LIMIT: a target that had stated a limit got several times as much from all hosts.
class RateLimitTest(unittest.TestCase):
    host_count = 32
    entry_hosts = 3
    target_count = 24
    per_s = 60.0

    def setUp(self) -> None:
        self.fleet = LimitedFleet(self.host_count, self.target_count, self.entry_hosts)
        self.started = self.fleet.now

    def limit(self, *rates: float) -> list[TargetName]:
        """Lets as many targets as there are rates state one each."""
        names = [name_target(number) for number in range(len(rates))]
        for name, rate in zip(names, rates, strict=True):
            self.fleet.state_limit(name, rate)
        return names

    def list_primary_hosts(self) -> list[str]:
        service = next(iter(self.fleet.hosts["h0"].state.services))
        return [str(m.host) for m in list_primaries(self.fleet.hosts["h0"].state, service)]

    def check_is_used(self, target: TargetName, rate: float, since: timedelta) -> None:
        seconds = (self.fleet.now - since).total_seconds()
        count = self.fleet.count_arrivals(target, since)
        self.assertGreaterEqual(count, USED_SHARE * rate * seconds, f"{target}, {rate:g}/s")

    def check_served(self, least_share: float) -> None:
        late = [s for s in self.fleet.sent if s.arrived > self.started + TOLD_AFTER and s.ended]
        served = sum(sent.status == 200 for sent in late)
        self.assertGreaterEqual(served, least_share * len(late), f"{served} of {len(late)} served")

    def test_targets_get_more_than_their_limits(self) -> None:
        rates = (1.0, 1.3, 4.0)
        names = self.limit(*rates)
        self.fleet.send_steadily(self.per_s, SECONDS)
        self.fleet.run(SECONDS)
        self.assertEqual(self.fleet.find_excess(), [])
        for name, rate in zip(names, rates, strict=True):
            self.check_is_used(name, rate, self.started + TOLD_AFTER)
        self.check_served(0.95)

    def test_a_limit_under_one_request_a_host_is_exceeded_or_leaves_the_target_idle(self) -> None:
        (name,) = self.limit(0.4)
        self.fleet.send_steadily(self.per_s, 2 * SECONDS)
        self.fleet.run(2 * SECONDS)
        self.assertEqual(self.fleet.find_excess(), [])
        self.check_is_used(name, 0.4, self.started + TOLD_AFTER)

    def test_a_limit_of_zero_is_never_asked_for_again(self) -> None:
        (name,) = self.limit(0.0)
        self.fleet.state_limit(name, NO_RATE_LIMIT, SECONDS)
        self.fleet.send_steadily(self.per_s, 3 * SECONDS)
        self.fleet.run(3 * SECONDS)
        usual = self.per_s / self.target_count
        self.assertEqual(self.fleet.find_excess(), [])
        self.check_is_used(name, usual / 2, self.fleet.now - timedelta(seconds=4))

    def test_lost_and_late_word_lets_more_requests_through(self) -> None:
        self.fleet.is_delivered = lambda sender, receiver: self.fleet.rng.random() >= LOST_SHARE
        self.fleet.datagram_delay = timedelta(milliseconds=300)
        names = self.limit(1.0, 3.0)
        self.fleet.send_steadily(self.per_s, SECONDS)
        self.fleet.run(SECONDS)
        self.assertEqual(self.fleet.find_excess(), [])
        for name, rate in zip(names, (1.0, 3.0), strict=True):
            self.check_is_used(name, rate, self.started + TOLD_AFTER)

    def test_hosts_that_restart_or_join_add_their_share_to_that_of_others(self) -> None:
        names = self.limit(1.0, 3.0)
        self.fleet.send_steadily(self.per_s, 2 * SECONDS)
        self.fleet.run(6.0)
        restarted = self.list_primary_hosts()[:2]
        for name in restarted:
            self.fleet.start_host(name)
            self.fleet.run(1.0)
        self.fleet.start_host(f"h{self.host_count}")
        self.fleet.run(2 * SECONDS - 8.0)
        self.assertEqual(self.fleet.find_excess(), [])
        for name, rate in zip(names, (1.0, 3.0), strict=True):
            self.check_is_used(name, rate, self.started + timedelta(seconds=14))

    def test_a_limit_that_falls_and_rises_is_not_followed(self) -> None:
        (name,) = self.limit(4.0)
        self.fleet.state_limit(name, 1.0, 8.0)
        self.fleet.state_limit(name, 3.0, 18.0)
        self.fleet.send_steadily(self.per_s, 28.0)
        self.fleet.run(18.0)
        self.check_is_used(name, 1.0, self.started + timedelta(seconds=11))
        self.fleet.run(10.0)
        self.assertEqual(self.fleet.find_excess(), [])
        self.check_is_used(name, 3.0, self.started + timedelta(seconds=21))

    def test_a_withdrawn_limit_is_kept_to(self) -> None:
        (name,) = self.limit(0.5)
        self.fleet.state_limit(name, NO_RATE_LIMIT, SECONDS)
        self.fleet.send_steadily(self.per_s, 2 * SECONDS)
        self.fleet.run(2 * SECONDS)
        self.assertEqual(self.fleet.find_excess(), [])
        usual = self.per_s / self.target_count
        since = self.started + timedelta(seconds=SECONDS) + TOLD_AFTER
        self.check_is_used(name, usual / 2, since)

    def test_requests_wait_in_vain_where_all_targets_have_limits(self) -> None:
        names = self.limit(*[1.0] * self.target_count)
        self.fleet.send_steadily(self.per_s, SECONDS)
        self.fleet.run(SECONDS)
        self.assertEqual(self.fleet.find_excess(), [])
        since = self.started + TOLD_AFTER
        seconds = (self.fleet.now - since).total_seconds()
        total = sum(self.fleet.count_arrivals(name, since) for name in names)
        self.assertGreaterEqual(total, USED_SHARE * self.target_count * seconds)
        refusals = [s.refusal for s in self.fleet.sent if s.refusal and s.arrived > since]
        self.assertGreater(len(refusals), 0)
        for refusal in refusals:
            self.assertIs(refusal.attempt_verdict, Verdict.NOT_RUN)
            self.assertIsNotNone(refusal.retry_after)

    def test_a_target_is_left_idle_where_all_callers_come_to_one_host(self) -> None:
        (name,) = self.limit(4.0)
        host = self.list_primary_hosts()[0]
        self.fleet.send_steadily(self.per_s / 2, SECONDS, host)
        self.fleet.run(SECONDS)
        self.assertEqual(self.fleet.find_excess(), [])
        self.check_is_used(name, 4.0, self.started + TOLD_AFTER)


class LargeFleetRateLimitTest(RateLimitTest):
    is_slow = True
    host_count = 293
    entry_hosts = 9
    target_count = 40
    per_s = 100.0


if __name__ == "__main__":
    unittest.main()
