"""Tests which hosts callers are sent to when hosts differ in power and services in size."""

import unittest
from collections import Counter
from random import Random

from endivedrift.core import Member, MemberStatus, ServiceName
from endivedrift.core.events import TargetsObserved
from endivedrift.fleet import build_membership, rank_hosts
from endivedrift.reducer import list_primaries
from tests.builders import (
    READ_PATH,
    SERVICE,
    HostHarness,
    build_discovered_set,
    build_identity,
    build_target_entry,
)

WEAK_POWER, STRONG_POWER = 0.43, 0.717


def build_members(weak: int, strong: int, domains: int = 3) -> list[Member]:
    """Builds hosts of two powers, each spread evenly over the failure domains."""
    members = []
    for number in range(weak + strong):
        power = STRONG_POWER if number < strong else WEAK_POWER
        identity = build_identity(f"h{number}", domain=f"d{number % domains}", power=power)
        member = build_membership(identity, Random(1)).me
        members.append(member.with_status(MemberStatus.ALIVE))
    return members


class UnequalCapacityTest(unittest.TestCase):
    def list_primary_hosts(self, members: list[Member], power: float) -> list[Member]:
        ranking = rank_hosts("rooms", members, 3, power)
        return ranking.hosts[: ranking.primary_count]

    def test_one_strong_host_per_domain_is_enough(self) -> None:
        primary_hosts = self.list_primary_hosts(build_members(weak=100, strong=6), 2.0)
        self.assertEqual([member.power for member in primary_hosts], [STRONG_POWER] * 3)
        self.assertEqual(len({member.failure_domain for member in primary_hosts}), 3)

    def test_more_weak_hosts_replace_lost_strong_ones(self) -> None:
        primary_hosts = self.list_primary_hosts(build_members(weak=100, strong=0), 2.0)
        self.assertEqual(
            Counter(m.failure_domain for m in primary_hosts), {"d0": 2, "d1": 2, "d2": 2}
        )

    def test_a_domain_without_strong_hosts_gets_enough_weak_ones(self) -> None:
        members = [
            m for m in build_members(100, 6) if m.power < STRONG_POWER or m.failure_domain != "d2"
        ]
        primary_hosts = self.list_primary_hosts(members, 2.0)
        self.assertEqual(
            Counter(m.failure_domain for m in primary_hosts), {"d0": 1, "d1": 1, "d2": 2}
        )

    def test_equal_hosts_and_a_small_service_get_the_minimum_number(self) -> None:
        self.assertEqual(len(self.list_primary_hosts(build_members(weak=44, strong=0), 0.6)), 3)


class ServiceSizeTest(unittest.TestCase):
    def test_more_hosts_are_primary_when_targets_join(self) -> None:
        harness = HostHarness(build_discovered_set(), build_identity(domain="d0", power=0.43))
        for member in build_members(weak=30, strong=0)[1:]:
            harness.receive_notice(member)
        self.observe(harness, 20)
        self.assertEqual(len(list_primaries(harness.state, ServiceName(SERVICE))), 3)
        self.observe(harness, 150)
        primary_hosts = list_primaries(harness.state, ServiceName(SERVICE))
        self.assertGreaterEqual(sum(member.power for member in primary_hosts), 150 * 2 / 100)

    def test_hosts_that_share_a_service_share_its_retry_budget(self) -> None:
        harness = HostHarness(build_discovered_set(), build_identity(domain="d0", power=0.43))
        for member in build_members(weak=30, strong=0)[1:]:
            harness.receive_notice(member)
        self.observe(harness, 150)
        service = harness.state.services[ServiceName(SERVICE)]
        primary_hosts = list_primaries(harness.state, ServiceName(SERVICE))
        harness.state.identity = build_identity(primary_hosts[0].host, power=0.43)
        harness.state.ranking_cache.clear()
        harness.receive_request("GET", READ_PATH)
        # The burst of 56 retries is shared by all these hosts.
        self.assertLessEqual(service.retry_budget.cap * len(primary_hosts), 56)

    def observe(self, harness: HostHarness, count: int) -> None:
        entries = tuple(build_target_entry(number) for number in range(count))
        harness.apply(TargetsObserved(harness.clock.monotonic(), entries, (), True))
        harness.advance(1.0)


if __name__ == "__main__":
    unittest.main()
