"""Entry hosts that fall silent, and hosts that start while the store is away, on a fake network."""

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

    def name_for(self, observer: str) -> list[str]:
        state = self.network.hosts[observer].state
        named = resolve_entry_hosts(state, "", state.identity.failure_domain)
        return [member.host for member in named]

    def list_near(self, host: str) -> list[str]:
        domain = self.network.hosts[host].state.identity.failure_domain
        return [
            name
            for name, bench in self.network.hosts.items()
            if bench.state.identity.failure_domain == domain and name != host
        ]

    def silence_entry_host(self, seconds: float) -> list[str]:
        """Freezes an entry host; returns the hosts of its domain that still name it."""
        frozen = self.name_for("h0")[0]
        self.network.stopped.add(frozen)
        self.network.run(seconds)
        return [near for near in self.list_near(frozen) if frozen in self.name_for(near)]

    def test_its_domain_names_another_host_within_a_second(self) -> None:
        # The users' clients give a new connection a second; the clock here moves by tenths.
        self.assertEqual(self.silence_entry_host(1.1), [])

    def test_without_the_watch_it_is_named_on(self) -> None:
        with inject_fault(_probing, "WATCH_TIMEOUT", _probing.PROBE_PERIOD * 100):
            self.assertNotEqual(self.silence_entry_host(1.1), [])

    def test_it_is_named_again_when_it_wakes(self) -> None:
        frozen = self.name_for("h0")[0]
        self.network.stopped.add(frozen)
        self.network.run(1.1)
        self.network.stopped.discard(frozen)
        self.network.run(8.0)
        self.assertEqual(self.network.statuses(frozen), {MemberStatus.ALIVE})

    def test_no_sound_host_is_declared_dead_while_one_datagram_in_ten_is_lost(self) -> None:
        source = self.network.source
        self.network.passes = lambda sender, receiver: source.random() > 0.1
        before = self.network.count_declared_dead()
        self.network.run(20.0)
        self.assertEqual(self.network.count_declared_dead(), before)

    def test_a_watched_host_answers_no_more_probes_in_a_larger_domain(self) -> None:
        def count_pings(count: int) -> float:
            network = Network(count, 1, build_discovered_set())
            network.run(15.0)
            host = resolve_entry_hosts(network.hosts["h0"].state, "", "d0")[0].host  # type: ignore[arg-type]
            received = 0

            def passes(sender: str, receiver: str) -> bool:
                nonlocal received
                received += receiver == host
                return True

            network.passes = passes
            network.run(10.0)
            return received / 10.0

        small, large = count_pings(12), count_pings(48)
        self.assertLess(large, 2.0 * small)


class OutsiderBudgetTest(unittest.TestCase):
    """Requests at hosts that callers are not sent to, all of which fail at their first target."""

    def count_retries(self, name: str, network: Network, requests: int) -> int:
        bench = network.hosts[name]
        retries = 0
        for _ in range(requests):
            effects = bench.receive_request("GET", READ_PATH)[1]
            sent = next(effect for effect in effects if isinstance(effect, SendToTarget))
            for attempt in range(2):
                failed = AttemptFinished(
                    bench.clock.monotonic(),
                    sent.request,
                    sent.target,
                    AttemptOutcome.CUT,
                    timedelta(milliseconds=2),
                )
                again = [e for e in bench.apply(failed) if isinstance(e, SendToTarget)]
                if not again:
                    break
                sent = again[0]
                retries += attempt == 0
            network.run(1.0)
        return retries

    def test_all_hosts_together_keep_within_the_budget_of_the_fleet(self) -> None:
        network = Network(HOSTS, DOMAINS, build_discovered_set())
        network.run(15.0)
        entries = tuple(build_target_entry(number) for number in range(40))
        for name, bench in network.hosts.items():
            observed = TargetsObserved(network.clock.monotonic(), entries, (), True)
            network.take(name, bench.apply(observed))
        service = network.hosts["h0"].state.services[ServiceName(SERVICE)]
        named = {m.host for m in list_primaries(network.hosts["h0"].state, service.name)}
        outside = [name for name in network.hosts if name not in named]
        each = 6
        retries = sum(self.count_retries(name, network, each) for name in outside[:4])
        # A fifth of the requests, and a part of the slack of 56 for each of the other hosts.
        allowed = 0.2 * each * 4 + 56 * 4 / HOSTS
        self.assertLessEqual(retries, allowed)


class DarkStartTest(unittest.TestCase):
    def test_a_host_that_starts_while_the_store_is_away_asks_others_for_targets(self) -> None:
        network = Network(4, 2, build_discovered_set())
        entries = tuple(build_target_entry(number) for number in range(3))
        for name in ("h0", "h1", "h2"):
            observed = TargetsObserved(network.clock.monotonic(), entries, (), True)
            network.take(name, network.hosts[name].apply(observed))
        lost = StoreUnavailable(network.clock.monotonic(), "silent")
        network.take("h3", network.hosts["h3"].apply(lost))
        network.run(6.0)
        state = network.hosts["h3"].state
        self.assertEqual(
            set(state.services[ServiceName(SERVICE)].targets), {e.name for e in entries}
        )

        # From the store's first word on, only the store counts.
        observed = TargetsObserved(network.clock.monotonic(), entries[:2], (), True)
        network.take("h3", network.hosts["h3"].apply(observed))
        network.run(6.0)
        self.assertEqual(set(state.discovered), {e.name for e in entries[:2]})
        self.assertIn(HostId("h0"), state.membership.records)


if __name__ == "__main__":
    unittest.main()
