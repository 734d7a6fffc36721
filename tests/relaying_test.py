"""Few hosts read the store and tell the others, on a fake network with a fake store."""

import random
import unittest
from collections.abc import Callable
from datetime import timedelta

from endivedrift.core import TargetEntry, TargetName
from endivedrift.core.effects import Effect, SetStoreReading
from endivedrift.core.events import StoreRecovered, StoreUnavailable, TargetsObserved
from endivedrift.reducer import _relaying, list_readers
from tests.builders import build_config_fetched, build_discovered_set, build_target_entry
from tests.fuzzing import inject_fault
from tests.network import Network

DOMAINS = 3
IN_FORCE_S = 2.0
"""Time in which a change has to be in force after the store accepted it."""


class StoreNetwork(Network):
    """Hosts that read a store with a feed of changes, which costs a call for each answer.

    Attributes:
      reaches: Tells whether a host's calls to the store are answered.
      calls: Calls that the store answered.
    """

    store_is_relayed = True

    def __init__(self, count: int, targets: int = 12) -> None:
        """Starts hosts, all at once, before a store with targets."""
        self.entries = {e.name: e for e in (build_target_entry(n) for n in range(targets))}
        self.changed: dict[TargetName, int] = dict.fromkeys(self.entries, 1)
        self.version = 1
        self.reaches: Callable[[str], bool] = lambda host: True
        self.calls = 0
        self.reading: dict[str, int] = {}
        self.lost: set[str] = set()
        super().__init__(count, DOMAINS, build_discovered_set())

    def boot(self, name: str) -> None:
        """Starts a host, which reads the store."""
        super().boot(name)
        self.reading[name] = 0

    def change(self, entry: TargetEntry | None, gone: TargetName | None = None) -> None:
        """Writes or removes an entry in the store."""
        self.version += 1
        if entry is not None:
            self.entries[entry.name] = entry
            self.changed[entry.name] = self.version
        if gone is not None:
            del self.entries[gone]
            self.changed[gone] = self.version

    def run(self, seconds: float) -> None:
        """Lets time pass; hosts that read the store learn of changes within half a second."""
        for _ in range(round(seconds / 0.5)):
            for name in sorted(self.reading):
                if name not in self.stopped:
                    self.read(name)
            super().run(0.5)

    def read(self, name: str) -> None:
        """Lets a host's question be answered, if there is news."""
        since = self.reading[name]
        if not self.reaches(name):
            lost = StoreUnavailable(self.clock.monotonic(), "silent")
            if name not in self.lost:
                self.take(name, self.hosts[name].apply(lost))
            self.lost.add(name)
            self.reading[name] = 0
            return
        if since == self.version:
            return
        self.calls += 1
        now = self.clock.monotonic()
        if name in self.lost:
            self.lost.discard(name)
            self.take(name, self.hosts[name].apply(StoreRecovered(now)))
        news = [n for n, version in self.changed.items() if version > since]
        entries = tuple(self.entries[n] for n in news if n in self.entries)
        gone = tuple(n for n in news if n not in self.entries)
        event = TargetsObserved(now, entries, gone, not since, self.version, since)
        self.reading[name] = self.version
        self.take(name, self.hosts[name].apply(event))

    def take(self, sender: str, effects: list[Effect]) -> None:
        """Carries out the effects of a host."""
        for effect in effects:
            if isinstance(effect, SetStoreReading):
                self.reading.pop(sender, None)
                if effect.enabled:
                    self.reading[sender] = 0
        super().take(sender, effects)

    def outdated(self) -> set[str]:
        """Names the running hosts that know other targets than the store has."""
        wanted = set(self.entries.values())
        return {
            name
            for name, bench in self.hosts.items()
            if name not in self.stopped and set(bench.state.discovered.values()) != wanted
        }

    def readers(self) -> set[str]:
        """Names the hosts that the first running host holds to be readers."""
        first = next(name for name in self.hosts if name not in self.stopped)
        return {str(member.host) for member in list_readers(self.hosts[first].state)}


class RelayingTest(unittest.TestCase):
    def start(self, count: int = 45, seconds: float = 15.0) -> StoreNetwork:
        network = StoreNetwork(count)
        network.run(seconds)
        self.assertEqual(network.outdated(), set())
        return network

    def test_two_hosts_a_domain_read_the_store(self) -> None:
        network = self.start()
        self.assertEqual(set(network.reading), network.readers())
        self.assertEqual(len(network.reading), 2 * DOMAINS)

    def test_a_change_is_everywhere_in_time_and_costs_six_calls(self) -> None:
        network = self.start()
        before = network.calls
        network.change(build_target_entry(40))
        network.change(None, next(iter(network.entries)))
        network.run(IN_FORCE_S)
        self.assertEqual(network.outdated(), set())
        self.assertEqual(network.calls - before, 2 * DOMAINS)

    def test_the_cost_of_a_change_does_not_grow_with_the_fleet(self) -> None:
        network = self.start(300, 25.0)
        before = network.calls
        network.change(build_target_entry(40))
        network.run(IN_FORCE_S)
        self.assertEqual(network.outdated(), set())
        # Two readers a domain, and as many where views of the fleet still differ.
        self.assertLessEqual(network.calls - before, 4 * DOMAINS)

    def test_a_change_while_one_datagram_in_ten_is_lost(self) -> None:
        network = self.start()
        source = random.Random(3)
        network.passes = lambda sender, receiver: source.random() > 0.1
        for number in range(40, 50):
            network.change(build_target_entry(number))
            network.run(0.5)
        network.run(IN_FORCE_S)
        self.assertEqual(network.outdated(), set())

    def test_all_readers_fall_silent_at_the_moment_of_a_change(self) -> None:
        network = self.start()
        network.stopped |= network.readers()
        network.change(build_target_entry(40))
        network.run(IN_FORCE_S)
        self.assertEqual(network.outdated(), set())

    def test_without_the_fallback_silent_readers_are_noticed(self) -> None:
        with inject_fault(_relaying, "UPDATE_TIMEOUT", timedelta(hours=1)):
            network = self.start()
            network.stopped |= network.readers()
            network.change(build_target_entry(40))
            network.run(IN_FORCE_S)
        self.assertNotEqual(network.outdated(), set())

    def test_hosts_cut_off_from_all_readers_read_for_themselves(self) -> None:
        network = self.start()
        readers = network.readers()
        network.passes = lambda sender, receiver: sender not in readers
        network.change(build_target_entry(40))
        network.run(IN_FORCE_S)
        self.assertEqual(network.outdated(), set())

    def test_readers_of_one_domain_are_cut_off_from_the_store_only(self) -> None:
        network = self.start()
        cut = {name for name in network.readers() if int(name[1:]) % DOMAINS == 0}
        network.reaches = lambda host: host not in cut
        network.change(build_target_entry(40))
        network.run(IN_FORCE_S)
        self.assertEqual(network.outdated(), set())

    def test_a_store_that_is_away_is_asked_by_its_readers_only(self) -> None:
        network = self.start()
        network.reaches = lambda host: False
        network.run(8.0)
        self.assertEqual(set(network.reading), network.readers())

    def test_entries_that_lapsed_with_the_store_are_kept_for_two_seconds_everywhere(self) -> None:
        network = self.start()
        network.reaches = lambda host: False
        network.run(3.0)
        lapsed = build_target_entry(3)
        network.change(None, lapsed.name)
        network.reaches = lambda host: True
        network.run(1.5)
        kept = [b for b in network.hosts.values() if lapsed.name in b.state.discovered]
        self.assertEqual(len(kept), len(network.hosts))
        network.run(2.5)
        self.assertEqual(network.outdated(), set())

    def test_a_new_object_set_is_in_force_everywhere_in_time(self) -> None:
        network = self.start()
        fetched = build_config_fetched(network.clock, network.objects, version=9)
        network.canonical = fetched.canonical
        reader = min(network.readers())
        network.take(reader, network.hosts[reader].apply(fetched))
        network.run(IN_FORCE_S)
        versions = {bench.state.config.version for bench in network.hosts.values()}
        self.assertEqual(versions, {9})

    def test_after_all_hosts_were_killed_at_once(self) -> None:
        network = self.start()
        for name in list(network.hosts):
            network.boot(name)
        network.run(3.0)
        network.change(build_target_entry(40))
        network.run(IN_FORCE_S)
        self.assertEqual(network.outdated(), set())
        network.run(10.0)
        self.assertEqual(set(network.reading), network.readers())


if __name__ == "__main__":
    unittest.main()
