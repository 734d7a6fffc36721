"""Which hosts callers are sent to, where hosts differ in power and groups of targets in size."""

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

WEAK, STRONG = 0.43, 0.717


def build_members(weak: int, strong: int, domains: int = 3) -> list[Member]:
    """Builds hosts of two powers, each kind dealt evenly over failure domains."""
    members = []
    for number in range(weak + strong):
        power = STRONG if number < strong else WEAK
        identity = build_identity(f"h{number}", domain=f"d{number % domains}", power=power)
        member = build_membership(identity, Random(1)).me
        members.append(member.with_status(MemberStatus.ALIVE))
    return members


class UnequalHostsTest(unittest.TestCase):
    def named(self, members: list[Member], power: float) -> list[Member]:
        ranking = rank_hosts("rooms", members, 3, power)
        return ranking.hosts[: ranking.primary_count]

    def test_one_strong_host_a_domain_carries_what_it_can(self) -> None:
        named = self.named(build_members(weak=100, strong=6), 2.0)
        self.assertEqual([member.power for member in named], [STRONG] * 3)
        self.assertEqual(len({member.failure_domain for member in named}), 3)

    def test_more_weak_hosts_take_the_place_of_lost_strong_ones(self) -> None:
        named = self.named(build_members(weak=100, strong=0), 2.0)
        self.assertEqual(Counter(m.failure_domain for m in named), {"d0": 2, "d1": 2, "d2": 2})

    def test_a_domain_without_strong_hosts_gets_weak_ones_enough(self) -> None:
        members = [m for m in build_members(100, 6) if m.power < STRONG or m.failure_domain != "d2"]
        named = self.named(members, 2.0)
        self.assertEqual(Counter(m.failure_domain for m in named), {"d0": 1, "d1": 1, "d2": 2})

    def test_hosts_alike_and_a_small_group_get_the_least_number(self) -> None:
        self.assertEqual(len(self.named(build_members(weak=44, strong=0), 0.6)), 3)


class GroupSizeTest(unittest.TestCase):
    def test_more_hosts_are_named_when_targets_join(self) -> None:
        bench = HostHarness(build_discovered_set(), build_identity(domain="d0", power=0.43))
        for member in build_members(weak=30, strong=0)[1:]:
            bench.meet(member)
        self.observe(bench, 20)
        self.assertEqual(len(list_primaries(bench.state, ServiceName(SERVICE))), 3)
        self.observe(bench, 150)
        named = list_primaries(bench.state, ServiceName(SERVICE))
        self.assertGreaterEqual(sum(member.power for member in named), 150 * 2 / 100)

    def test_hosts_that_share_a_service_share_its_retry_budget(self) -> None:
        bench = HostHarness(build_discovered_set(), build_identity(domain="d0", power=0.43))
        for member in build_members(weak=30, strong=0)[1:]:
            bench.meet(member)
        self.observe(bench, 150)
        service = bench.state.services[ServiceName(SERVICE)]
        named = list_primaries(bench.state, ServiceName(SERVICE))
        bench.state.identity = build_identity(named[0].host, power=0.43)
        bench.state.ranking_cache.clear()
        bench.receive_request("GET", READ_PATH)
        # The slack of 56 is that of all hosts together.
        self.assertLessEqual(service.retry_budget.cap * len(named), 56)

    def observe(self, bench: HostHarness, count: int) -> None:
        entries = tuple(build_target_entry(number) for number in range(count))
        bench.apply(TargetsObserved(bench.clock.monotonic(), entries, (), True))
        bench.advance(1.0)


if __name__ == "__main__":
    unittest.main()
