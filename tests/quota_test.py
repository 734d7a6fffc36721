"""Tests that the whole fleet keeps to the quotas of caller accounts, and lets them be used."""

import unittest
from datetime import timedelta

from endivedrift.core import AttemptOutcome, CallerName, MemberStatus, RefusalReason
from endivedrift.core.effects import RefuseRequest, SendToTarget
from endivedrift.core.events import AttemptFinished, QueueWaitExpired, StoreUnavailable
from endivedrift.fleet import build_membership
from endivedrift.objects import Caller, ObjectSet
from endivedrift.reducer import describe_quotas, list_quota_counts
from endivedrift.reducer._quotas import charge_account
from tests.builders import HostHarness, build_config_fetched, build_identity, build_object_set
from tests.quota_fleet import QuotaFleet

USABLE_SHARE = 0.95
FLOOD = 7.0
LOST_SHARE = 0.2
MANY_ACCOUNTS = 47_000


class QuotaFleetTest(unittest.TestCase):
    host_count = 32
    cuts = ("halves", "alone")

    def start(self, **quotas: tuple[float, int]) -> QuotaFleet:
        """Starts a fleet that has run for a minute."""
        fleet = QuotaFleet(self.host_count, quotas)
        fleet.age(60.0)
        return fleet

    def check(self, fleet: QuotaFleet) -> None:
        for caller in fleet.quotas:
            self.assertLessEqual(fleet.find_worst_share(caller), 1.0, caller)

    def check_is_used(self, fleet: QuotaFleet, caller: str, seconds: float) -> None:
        rate, burst = fleet.quotas[caller]
        used = fleet.count(caller, fleet.now_s - seconds)
        self.assertGreaterEqual(used, USABLE_SHARE * (rate * seconds + burst), caller)

    # Guards against hosts that each admit the whole quota, or count a lost report never.
    def test_lost_reports_let_a_flooding_account_exceed_its_quota(self) -> None:
        fleet = self.start(a=(20.0, 20), small=(2.0, 1))
        fleet.is_delivered = lambda sender, receiver: fleet.rng.random() >= LOST_SHARE
        for caller, (rate, _) in fleet.quotas.items():
            fleet.load(caller, FLOOD * rate, 9.0)
        fleet.run(9.0)
        self.check(fleet)

    # Guards against shares that leave the quota idle where the requests arrive.
    def test_a_quota_is_idle_where_one_host_or_one_after_the_other_gets_all_requests(self) -> None:
        fleet = self.start(one=(20.0, 20), turns=(20.0, 20), even=(20.0, 0))
        fleet.load("one", 60.0, 10.0, lambda: "h3")
        for caller in ("turns", "even"):
            fleet.load(caller, 60.0, 10.0, lambda: f"h{int(fleet.now_s) % self.host_count}")
        fleet.run(10.0)
        self.check(fleet)
        for caller in fleet.quotas:
            self.check_is_used(fleet, caller, 10.0)

    # Guards against two halves of a fleet that both use the whole rate.
    def test_a_partition_or_a_host_cut_off_alone_adds_to_the_quota(self) -> None:
        for name in self.cuts:
            with self.subTest(name):
                modulus, most = (11, 5) if name == "halves" else (self.host_count, 1)
                fleet = self.start(a=(20.0, 20), even=(60.0, 0))
                for caller, (rate, _) in fleet.quotas.items():
                    fleet.load(caller, FLOOD * rate, 14.0)
                fleet.run(3.0)
                left = {h for h in fleet.hosts if int(h[1:]) * 7 % modulus < most}
                fleet.is_delivered = lambda a, b, left=left: (a in left) == (b in left)
                fleet.run(8.0)
                fleet.is_delivered = lambda a, b: True
                fleet.run(3.0)
                self.check(fleet)

    # Guards against a full bucket at each host that starts.
    def test_hosts_that_start_bring_tokens_along(self) -> None:
        fleet = self.start(a=(5.0, 5), small=(2.0, 1))
        for caller, (rate, _) in fleet.quotas.items():
            fleet.load(caller, FLOOD * rate, 12.0)
        fleet.run(3.0)
        fleet.restart([f"h{n}" for n in range(0, self.host_count, 4)])
        fleet.run(2.0)
        fleet.restart([f"h{self.host_count + n}" for n in range(3)])
        fleet.run(2.0)
        fleet.restart(list(fleet.hosts))
        fleet.run(5.0)
        self.check(fleet)


class LargeFleetQuotaTest(QuotaFleetTest):
    host_count = 102
    cuts = ("halves",)


class VeryLargeFleetQuotaTest(unittest.TestCase):
    def test_a_flood_and_a_restart_of_all_hosts_exceed_the_quota(self) -> None:
        fleet = QuotaFleet(293, {"a": (20.0, 20), "small": (2.0, 1)})
        fleet.age(60.0)
        for caller, (rate, _) in fleet.quotas.items():
            fleet.load(caller, FLOOD * rate, 6.0)
        fleet.run(3.0)
        fleet.restart(list(fleet.hosts))
        fleet.run(3.0)
        for caller in fleet.quotas:
            self.assertLessEqual(fleet.find_worst_share(caller), 1.0, caller)


class ManyAccountsTest(unittest.TestCase):
    # Guards against one account that costs the others their quota, also without the store.
    def test_other_accounts_are_refused_beside_one_with_seven_times_its_load(self) -> None:
        fleet = QuotaFleet(32, {f"c{n}": (6.0, 6) for n in range(76)})
        fleet.age(60.0)
        for harness in list(fleet.hosts.values())[::3]:
            harness.apply(StoreUnavailable(harness.clock.monotonic(), "test"))
        for caller in fleet.quotas:
            fleet.load(caller, FLOOD * 3.0 if caller == "c0" else 3.0, 5.0)
        fleet.run(5.0)
        refused = sum(len(fleet.refusals[c]) for c in fleet.quotas if c != "c0")
        served = sum(len(fleet.admitted[c]) for c in fleet.quotas if c != "c0")
        self.assertLessEqual(refused, 0.02 * (refused + served))
        self.assertLessEqual(fleet.find_worst_share("c0"), 1.0)

    # Guards against messages that grow with the accounts rather than with the requests.
    def test_idle_accounts_cost_messages(self) -> None:
        fleet = QuotaFleet(32, {f"c{n}": (6.0, 6) for n in range(10_000)})
        fleet.age(60.0)
        fleet.messages.clear()
        for number in range(100):
            fleet.load(f"c{number}", 3.0, 3.0)
        fleet.run(3.0)
        served = sum(len(times) for times in fleet.admitted.values())
        self.assertLessEqual(sum(fleet.messages.values()), 6.0 * served)


class QuotaTest(unittest.TestCase):
    def start(self, rate: float = 1.0, burst: int = 5, slots: int = 1) -> HostHarness:
        """Starts a host that is its account's only keeper and has run for some time."""
        harness = HostHarness(self.build_objects(rate, burst, slots))
        harness.advance(60.0, step=10.0)
        return harness

    def build_objects(self, rate: float, burst: int, slots: int = 1) -> ObjectSet:
        objects = build_object_set(targets=1, floor=1, slots=slots, queue_length=1)
        objects.caller["guest"] = Caller(requests_per_s=rate, burst=burst)
        objects.caller["free"] = Caller()
        return objects

    def send(self, harness: HostHarness, caller: str = "guest", **options: bool):
        """Returns the request and its refusal, or None."""
        request, effects = harness.receive_request(caller=caller, **options)
        refusals = [e.refusal for e in effects if isinstance(e, RefuseRequest)]
        return request, (refusals[0] if refusals else None)

    def is_limited(self, harness: HostHarness) -> bool:
        refusal = self.send(harness)[1]
        return refusal is not None and refusal.reason is RefusalReason.CALLER_LIMIT

    def test_a_burst_of_zero_allows_no_request(self) -> None:
        harness = self.start(burst=0)
        self.assertFalse(self.is_limited(harness))
        _, refusal = self.send(harness)
        self.assertIs(refusal.reason, RefusalReason.CALLER_LIMIT)
        # The wait for a token is a second; callers are spread over twice that.
        self.assertGreaterEqual(refusal.retry_after, timedelta(seconds=0.9))
        self.assertLessEqual(refusal.retry_after, timedelta(seconds=2.0))
        self.assertRegex(refusal.detail, r"quota of 1/s, burst 0: .* counts 0\.00 s old")

    def test_a_host_that_starts_holds_more_than_one_token(self) -> None:
        harness = HostHarness(self.build_objects(1.0, 5))
        self.assertFalse(self.is_limited(harness))
        self.assertTrue(self.is_limited(harness))

    def test_accounts_without_a_quota_and_forwarded_requests_are_counted(self) -> None:
        harness = self.start()
        for _ in range(9):
            self.send(harness, "free")
            self.send(harness, forwarded=True)
            self.send(harness, for_peer=True)
        self.assertEqual(harness.state.quotas.uses, {})

    def test_a_request_that_was_not_sent_costs_a_token_and_a_retry_another(self) -> None:
        harness = self.start(burst=3)
        first, _ = self.send(harness)
        queued, _ = self.send(harness)
        self.assertIs(self.send(harness)[1].reason, RefusalReason.QUEUE_FULL)
        self.assertEqual(harness.state.quotas.uses[CallerName("guest")].admitted, 2)
        harness.apply(QueueWaitExpired(harness.clock.monotonic(), queued))
        self.assertEqual(harness.state.quotas.uses[CallerName("guest")].admitted, 1)
        target = harness.state.requests[first].target
        now, delay = harness.clock.monotonic(), timedelta(milliseconds=1)
        effects = harness.apply(AttemptFinished(now, first, target, AttemptOutcome.SHED, delay))
        self.assertFalse([e for e in effects if isinstance(e, SendToTarget)])
        self.assertEqual(harness.state.quotas.uses[CallerName("guest")].admitted, 1)

    # Guards against lost hosts that never count, so that a partition doubles the rate, or always.
    def test_dead_hosts_lower_the_rate_for_ever_or_not_at_all(self) -> None:
        harness = self.start(rate=8.0, burst=0)
        for n in range(3):
            member = build_membership(build_identity(f"x{n}"), harness.random).me
            harness.receive_notice(member.with_status(MemberStatus.ALIVE))
        parts = []
        for seconds in (30.0, 180.0):
            harness.advance(seconds, step=1.0)
            self.send(harness)
            described = describe_quotas(harness.state, harness.clock.monotonic())
            parts.append(described["accounts"]["guest"]["part_of_rate"])
        self.assertEqual(parts, [0.25, 1.0])

    def test_a_changed_limit_forgets_what_was_admitted(self) -> None:
        harness = self.start(burst=5, slots=50)
        for _ in range(5):
            self.assertFalse(self.is_limited(harness))
        self.assertTrue(self.is_limited(harness))
        for version, burst, expected in ((2, 7, 2), (3, 2, 0), (4, 3, 1)):
            objects = self.build_objects(1.0, burst, slots=50)
            harness.apply(build_config_fetched(harness.clock, objects, version))
            admitted = sum(not self.is_limited(harness) for _ in range(9))
            self.assertEqual(admitted, expected, f"burst {burst}")

    def test_idle_accounts_and_their_counters_are_kept(self) -> None:
        objects = self.build_objects(1.0, 5)
        objects.caller.update({f"c{n}": Caller(requests_per_s=1.0) for n in range(MANY_ACCOUNTS)})
        harness = HostHarness(objects)
        for number in range(MANY_ACCOUNTS):
            charge_account(harness.state, harness.clock.monotonic(), CallerName(f"c{number}"))
        counts, other = list_quota_counts(harness.state)
        self.assertLessEqual(len(counts), 40)
        total = sum(c.admitted + c.refused for c in counts.values())
        self.assertEqual(total + other.admitted + other.refused, MANY_ACCOUNTS)
        self.assertLessEqual(len(harness.state.quotas.counts), 512)
        harness.advance(40.0, step=1.0)
        self.assertEqual((harness.state.quotas.uses, harness.state.quotas.kept), ({}, {}))
        described = describe_quotas(harness.state, harness.clock.monotonic())
        self.assertLessEqual(len(described["accounts"]), 40)


if __name__ == "__main__":
    unittest.main()
