"""Tests that the oracle of `tests.late_changes` finds what breaks the rule, and nothing else."""

import unittest

from tests.late_changes import (
    EVERYWHERE,
    MIN_HELD,
    MIN_SPLIT_REQUESTS,
    ORDER,
    LateChangesFleet,
    Probe,
    find_violations,
)

FIRST, SECOND = 10.0, 20.0
"""When the first two configurations are acknowledged."""


class LateChangesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = LateChangesFleet(1, hosts=1)
        self.fleet.acknowledged = [FIRST, SECOND]

    def add(self, path: str, sent_at: float, status: int = 200, service: str = "") -> None:
        probe = Probe("h", path, sent_at, sent_at + 0.1, status, service)
        self.fleet.probes.append(probe)

    def check(self, *senses: str) -> None:
        self.assertEqual(sorted(find_violations(self.fleet)), sorted(senses))

    def test_a_moved_route_may_run_as_before_until_the_limit(self) -> None:
        self.add("/moved/", SECOND + 1.9, service=ORDER[0])
        self.check()
        self.add("/moved/", SECOND + 2.1, service=ORDER[0])
        self.check("ran as before")

    def test_a_dropped_route_must_not_run_after_the_limit(self) -> None:
        self.fleet.acknowledged.append(30.0)
        self.add("/added-0/", 31.9, service=ORDER[2])
        self.check()
        self.add("/added-0/", 32.1, service=ORDER[2])
        self.check("ran as before")

    def test_an_added_route_must_be_found_after_the_limit(self) -> None:
        self.add("/added-1/", SECOND + 1.9, 404)
        self.check()
        self.add("/added-1/", SECOND + 2.1, 404)
        self.check("refused")

    def test_a_host_must_not_go_back_even_before_the_limit(self) -> None:
        self.add("/moved/", SECOND + 0.5, service=ORDER[1])
        self.add("/moved/", SECOND + 0.8, service=ORDER[0])
        self.check()
        self.add("/moved/", SECOND + 0.9, service=ORDER[0])
        self.check("came back older")

    def test_requests_must_not_be_held_past_the_time_limit_of_their_route(self) -> None:
        for number in range(MIN_HELD):
            self.check()
            sent_at = FIRST + 3.0 + number / 10
            self.fleet.probes.append(Probe("h", "/slow/", sent_at, sent_at + 1.15, 504, ""))
        self.check("held past the time limit")

    def test_the_shares_of_a_route_must_follow_its_weights(self) -> None:
        for number in range(MIN_SPLIT_REQUESTS):
            self.check()
            self.add("/split/", FIRST + 3.0 + number / 100, service=ORDER[1 + number % 2])
        self.check("share off its weight")

    def test_added_routes_must_be_served_like_the_first_ones(self) -> None:
        for number in range(20):
            self.check()
            self.add("/first/", FIRST + 3.0 + number / 100, service=ORDER[1])
            self.add("/added-0/", FIRST + 3.0 + number / 100, 503)
        self.check("added routes not served")

    def test_a_host_is_not_judged_around_its_disruptions_and_those_of_the_store(self) -> None:
        for host in ("h", EVERYWHERE):
            with self.subTest(host=host):
                self.fleet.disruptions = [(host, SECOND, SECOND + 1.0)]
                self.fleet.probes = []
                self.add("/added-1/", SECOND + 3.9, 404)
                self.check()
                self.add("/added-1/", SECOND + 4.1, 404)
                self.check("refused")


if __name__ == "__main__":
    unittest.main()
