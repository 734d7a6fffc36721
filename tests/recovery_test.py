"""Tests silent entry hosts, retries at other hosts and hosts that start during a store outage."""

import unittest
from datetime import timedelta

from endivedrift.core import AttemptOutcome, HostId, MemberStatus, ServiceName
from endivedrift.core.effects import SendToTarget
from endivedrift.core.events import AttemptFinished, StoreUnavailable, TargetsObserved
from endivedrift.fleet import _probing
from endivedrift.reducer import list_primaries, resolve_entry_hosts
from tests.builders import READ_PATH, SERVICE, build_discovered_set, build_target_entry
from tests.fuzzing import inject_fault
from tests.network import Network

HOSTS = 36
DOMAINS = 3


class SilentEntryHostTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = Network(HOSTS, DOMAINS, build_discovered_set())
        self.network.run(20.0)

    def resolve(self, observer: str) -> list[str]:
        state = self.network.hosts[observer].state
        listed = resolve_entry_hosts(state, "", state.identity.failure_domain)
        return [member.host for member in listed]

    def list_domain_hosts(self, host: str) -> list[str]:
        domain = self.network.hosts[host].state.identity.failure_domain
        return [
            name
            for name, harness in self.network.hosts.items()
            if harness.state.identity.failure_domain == domain and name != host
        ]

    def silence_entry_host(self, seconds: float) -> list[str]:
        """Freezes an entry host and returns the hosts of its domain that still list it."""
        frozen = self.resolve("h0")[0]
        self.network.stopped.add(frozen)
        self.network.run(seconds)
        return [other for other in self.list_domain_hosts(frozen) if frozen in self.resolve(other)]

    def test_its_domain_stops_listing_it_within_a_second(self) -> None:
        # Clients wait a second for a new connection; the clock advances in steps of 0.1 s.
        self.assertEqual(self.silence_entry_host(1.1), [])

    def test_without_the_watch_it_stays_listed(self) -> None:
        with inject_fault(_probing, "WATCH_TIMEOUT", _probing.PROBE_PERIOD * 100):
            self.assertNotEqual(self.silence_entry_host(1.1), [])

    def test_it_is_alive_again_after_it_resumes(self) -> None:
        frozen = self.resolve("h0")[0]
        self.network.stopped.add(frozen)
        self.network.run(1.1)
        self.network.stopped.discard(frozen)
        self.network.run(8.0)
        self.assertEqual(self.network.collect_statuses(frozen), {MemberStatus.ALIVE})

    def test_no_healthy_host_is_declared_dead_while_one_datagram_in_ten_is_lost(self) -> None:
        rng = self.network.rng
        self.network.is_delivered = lambda sender, receiver: rng.random() > 0.1
        before = self.network.count_declared_dead()
        self.network.run(20.0)
        self.assertEqual(self.network.count_declared_dead(), before)

    def test_a_watched_host_gets_no_more_probes_in_a_larger_domain(self) -> None:
        def count_pings(count: int) -> float:
            network = Network(count, 1, build_discovered_set())
            network.run(15.0)
            host = resolve_entry_hosts(network.hosts["h0"].state, "", "d0")[0].host  # type: ignore[arg-type]
            received = 0

            def count_datagram(sender: str, receiver: str) -> bool:
                nonlocal received
                received += receiver == host
                return True

            network.is_delivered = count_datagram
            network.run(10.0)
            return received / 10.0

        small, large = count_pings(12), count_pings(48)
        self.assertLess(large, 2.0 * small)


class NonEntryHostBudgetTest(unittest.TestCase):
    """Retries at hosts that callers are not sent to stay within the budget of the fleet."""

    def count_retries(self, name: str, network: Network, requests: int) -> int:
        harness = network.hosts[name]
        retries = 0
        for _ in range(requests):
            effects = harness.receive_request("GET", READ_PATH)[1]
            sent = next(effect for effect in effects if isinstance(effect, SendToTarget))
            for attempt in range(2):
                failed = AttemptFinished(
                    harness.clock.monotonic(),
                    sent.request,
                    sent.target,
                    AttemptOutcome.CUT,
                    timedelta(milliseconds=2),
                )
                retry_effects = [e for e in harness.apply(failed) if isinstance(e, SendToTarget)]
                if not retry_effects:
                    break
                sent = retry_effects[0]
                retries += attempt == 0
            network.run(1.0)
        return retries

    def test_all_hosts_together_stay_within_the_budget_of_the_fleet(self) -> None:
        network = Network(HOSTS, DOMAINS, build_discovered_set())
        network.run(15.0)
        entries = tuple(build_target_entry(number) for number in range(40))
        for name, harness in network.hosts.items():
            observed = TargetsObserved(network.clock.monotonic(), entries, (), True)
            network.handle_effects(name, harness.apply(observed))
        service = network.hosts["h0"].state.services[ServiceName(SERVICE)]
        listed = {m.host for m in list_primaries(network.hosts["h0"].state, service.name)}
        other_hosts = [name for name in network.hosts if name not in listed]
        requests_per_host = 6
        retries = sum(
            self.count_retries(name, network, requests_per_host) for name in other_hosts[:4]
        )
        # A fifth of the requests, and the share of four hosts in the burst of 56 retries.
        allowed = 0.2 * requests_per_host * 4 + 56 * 4 / HOSTS
        self.assertLessEqual(retries, allowed)


class StartDuringOutageTest(unittest.TestCase):
    def test_a_host_that_starts_during_an_outage_asks_peers_for_targets(self) -> None:
        network = Network(4, 2, build_discovered_set())
        entries = tuple(build_target_entry(number) for number in range(3))
        for name in ("h0", "h1", "h2"):
            observed = TargetsObserved(network.clock.monotonic(), entries, (), True)
            network.handle_effects(name, network.hosts[name].apply(observed))
        unavailable = StoreUnavailable(network.clock.monotonic(), "silent")
        network.handle_effects("h3", network.hosts["h3"].apply(unavailable))
        network.run(6.0)
        state = network.hosts["h3"].state
        self.assertEqual(
            set(state.services[ServiceName(SERVICE)].targets), {e.name for e in entries}
        )

        # Once the store has answered, only its entries count.
        observed = TargetsObserved(network.clock.monotonic(), entries[:2], (), True)
        network.handle_effects("h3", network.hosts["h3"].apply(observed))
        network.run(6.0)
        self.assertEqual(set(state.discovered), {e.name for e in entries[:2]})
        self.assertIn(HostId("h0"), state.membership.records)


if __name__ == "__main__":
    unittest.main()
