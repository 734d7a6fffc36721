"""Tests that few hosts read the store and relay its changes, on a simulated network and store."""

import random
import sys
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from endivedrift.core import (
    PeerMessage,
    TargetEntry,
    TargetName,
    build_store_version,
    get_store_era,
    get_store_number,
)
from endivedrift.core.effects import AskStore, Effect, SetStoreReading
from endivedrift.core.events import StoreAnswered, StoreUnavailable, TargetsObserved
from endivedrift.reducer import _change_budget, list_readers
from endivedrift.shell._peer_calls import PEER_CONNECT_TIMEOUT
from tests.builders import build_config_fetched, build_discovered_set, build_target_entry
from tests.fuzzing import inject_fault
from tests.network import Network

DOMAINS = 3
IN_FORCE_LIMIT_S = 2.0
"""Time in which a change must be in force everywhere after the store accepted it."""


class StoreNetwork(Network):
    """Adds a store with a feed of changes; each answer of the feed costs a call.

    Attributes:
      entries: The entries in the store by target.
      changed_versions: The version of the store at the last change of each target.
      version: The current version of the store.
      reaches_store: Tells whether a host's calls to the store are answered.
      answered_calls: Number of waits for changes that the store answered.
      questions: Number of questions that each host asked.
      delivers_waits: Whether waits for changes are answered.
      read_versions: The version that each host waiting for changes has seen, or 0 for none.
      era: Number of times that the store was restored, plus one.
      slow_reads: Reads on their way to hosts that get them only when `end_slow_reads` is called.
    """

    store_is_relayed = True

    def __init__(self, count: int, targets: int = 12, domains: int = DOMAINS) -> None:
        """Starts all hosts at once, with a store that holds the entries of targets."""
        self.entries = {e.name: e for e in (build_target_entry(n) for n in range(targets))}
        self.changed_versions: dict[TargetName, int] = dict.fromkeys(self.entries, 1)
        self.version = 1
        self.reaches_store: Callable[[str], bool] = lambda host: True
        self.answered_calls = 0
        self.read_versions: dict[str, int] = {}
        self.questions: dict[str, int] = {}
        self.delivers_waits = True
        self.era = 1
        self.slow_reads: dict[str, list[TargetsObserved]] = {}
        super().__init__(count, domains, build_discovered_set())

    def start_host(self, name: str) -> None:
        """Starts a host, which reads the store until an effect of its own ends that."""
        super().start_host(name)
        self.read_versions[name] = 0

    def change_entry(self, entry: TargetEntry | None, removed: TargetName | None = None) -> None:
        """Writes an entry to the store, or removes one."""
        self.version += 1
        if entry is not None:
            self.entries[entry.name] = entry
            self.changed_versions[entry.name] = self.version
        if removed is not None:
            del self.entries[removed]
            self.changed_versions[removed] = self.version

    def restore(self, version: int, entries: dict[TargetName, TargetEntry]) -> None:
        """Goes back to a copy with these entries, taken at an earlier version."""
        self.era += 1
        self.version = version
        self.entries = dict(entries)
        self.changed_versions = dict.fromkeys(entries, version)

    def run(self, seconds: float) -> None:
        """Advances the clock; hosts that read the store hear of its changes twice a second."""
        for _ in range(round(seconds / 0.5)):
            for name in sorted(self.read_versions):
                if name not in self.stopped:
                    self.report_changes(name)
            super().run(0.5)

    def report_changes(self, name: str) -> None:
        """Ends a host's wait for changes if there are any and the host reaches the store."""
        seen_version = self.read_versions[name]
        if not self.delivers_waits or not self.reaches_store(name):
            return
        if seen_version == build_store_version(self.era, self.version):
            return
        self.answered_calls += 1
        self.send_changes(name, seen_version)

    def send_changes(self, name: str, after: int) -> None:
        """Sends a host the changes after a version, or all entries if that is of another era."""
        current_version = build_store_version(self.era, self.version)
        is_same_era = get_store_era(after) == self.era
        since = get_store_number(after) if is_same_era else 0
        changes = [n for n, version in self.changed_versions.items() if version > since]
        entries = tuple(self.entries[n] for n in changes if n in self.entries)
        removed = tuple(n for n in changes if n not in self.entries)
        now = self.clock.monotonic()
        event = TargetsObserved(
            now, entries, removed, not since, current_version, after if since else 0
        )
        if name in self.read_versions:
            self.read_versions[name] = current_version
        if name in self.slow_reads:
            self.slow_reads[name].append(event)
        elif entries or removed or not since:
            self.handle_effects(name, self.hosts[name].apply(event))

    def end_slow_reads(self, name: str) -> None:
        """Lets the reads arrive that were on their way to a host."""
        for event in self.slow_reads.pop(name):
            self.handle_effects(name, self.hosts[name].apply(event))

    def answer_question(self, name: str, effect: AskStore) -> None:
        """Answers a host's question for changes at once if the host reaches the store."""
        now = self.clock.monotonic()
        self.questions[name] = self.questions.get(name, 0) + 1
        if not self.reaches_store(name):
            self.handle_effects(name, self.hosts[name].apply(StoreUnavailable(now, "silent")))
            return
        self.send_changes(name, effect.targets_after)
        version = build_store_version(self.era, self.version)
        answered = StoreAnswered(now, now, version, version)
        self.handle_effects(name, self.hosts[name].apply(answered))

    def handle_effects(self, sender: str, effects: list[Effect]) -> None:
        """Carries out the effects that a host returned."""
        for effect in effects:
            if isinstance(effect, SetStoreReading):
                self.read_versions.pop(sender, None)
                if effect.enabled:
                    self.read_versions[sender] = self.hosts[sender].state.targets_version
            elif isinstance(effect, AskStore):
                self.answer_question(sender, effect)
        super().handle_effects(sender, effects)

    def list_outdated(self) -> set[str]:
        """Returns the running hosts whose targets differ from the entries of the store."""
        expected = set(self.entries.values())
        return {
            name
            for name, harness in self.hosts.items()
            if name not in self.stopped and set(harness.state.discovered.values()) != expected
        }

    def list_versions(self) -> set[int]:
        """Returns the versions of the object sets in force at running hosts."""
        return {
            int(harness.state.config.version)
            for name, harness in self.hosts.items()
            if name not in self.stopped
        }

    def find_readers(self) -> set[str]:
        """Returns the hosts that the first running host considers readers."""
        first = next(name for name in self.hosts if name not in self.stopped)
        return {str(member.host) for member in list_readers(self.hosts[first].state)}


class RelayingTest(unittest.TestCase):
    def start_network(self, count: int = 45, seconds: float = 15.0) -> StoreNetwork:
        network = StoreNetwork(count)
        network.run(seconds)
        self.assertEqual(network.list_outdated(), set())
        return network

    def test_one_host_per_domain_waits_for_changes(self) -> None:
        network = self.start_network()
        self.assertLessEqual(set(network.read_versions), network.find_readers())
        domains = [int(name[1:]) % DOMAINS for name in network.read_versions]
        self.assertEqual(sorted(domains), list(range(DOMAINS)))

    def test_two_hosts_of_a_single_domain_wait_for_changes(self) -> None:
        network = StoreNetwork(5, domains=1)
        network.run(15.0)
        self.assertEqual(set(network.read_versions), network.find_readers())
        self.assertEqual(len(network.read_versions), 2)

    def test_a_change_is_everywhere_in_time_and_costs_three_calls(self) -> None:
        network = self.start_network()
        before = network.answered_calls
        network.change_entry(build_target_entry(40))
        network.change_entry(None, next(iter(network.entries)))
        network.run(IN_FORCE_LIMIT_S)
        self.assertEqual(network.list_outdated(), set())
        self.assertEqual(network.answered_calls - before, DOMAINS)

    def test_the_cost_of_a_change_does_not_grow_with_the_fleet(self) -> None:
        network = self.start_network(300, 25.0)
        before = network.answered_calls
        network.change_entry(build_target_entry(40))
        network.run(IN_FORCE_LIMIT_S)
        self.assertEqual(network.list_outdated(), set())
        # One host per domain, and one more while views of the members differ.
        self.assertLessEqual(network.answered_calls - before, 2 * DOMAINS)

    def test_a_change_is_everywhere_in_time_while_one_datagram_in_ten_is_lost(self) -> None:
        network = self.start_network()
        rng = random.Random(3)
        network.is_delivered = lambda sender, receiver: rng.random() > 0.1
        for number in range(40, 50):
            network.change_entry(build_target_entry(number))
            network.run(0.5)
        network.run(IN_FORCE_LIMIT_S)
        self.assertEqual(network.list_outdated(), set())

    def test_a_change_is_everywhere_in_time_when_all_readers_stop_at_that_moment(self) -> None:
        network = self.start_network()
        network.stopped |= network.find_readers()
        network.change_entry(build_target_entry(40))
        network.run(IN_FORCE_LIMIT_S)
        self.assertEqual(network.list_outdated(), set())

    def test_without_the_fallback_stopped_readers_are_noticed(self) -> None:
        with inject_fault(_change_budget, "ASK_SHARE", 1e3):
            network = self.start_network()
            network.delivers_waits = False
            network.stopped |= network.find_readers()
            network.change_entry(build_target_entry(40))
            network.run(IN_FORCE_LIMIT_S)
        self.assertNotEqual(network.list_outdated(), set())

    def test_hosts_cut_off_from_all_readers_read_the_store_themselves(self) -> None:
        network = self.start_network()
        readers = network.find_readers()
        network.is_delivered = lambda sender, receiver: sender not in readers
        network.change_entry(build_target_entry(40))
        network.run(IN_FORCE_LIMIT_S)
        self.assertEqual(network.list_outdated(), set())

    def test_a_change_is_everywhere_in_time_when_one_domains_readers_lose_the_store(self) -> None:
        network = self.start_network()
        cut = {name for name in network.find_readers() if int(name[1:]) % DOMAINS == 0}
        network.reaches_store = lambda host: host not in cut
        network.change_entry(build_target_entry(40))
        network.run(IN_FORCE_LIMIT_S)
        self.assertEqual(network.list_outdated(), set())

    # Guards against CONFIG and DRAIN: hosts that relied on readers that had lost the store.
    def test_a_change_is_everywhere_in_time_when_all_readers_lose_the_store(self) -> None:
        for lag_s in (0.0, 0.5, 3.0):
            with self.subTest(lag_s=lag_s):
                network = self.start_network()
                cut = network.find_readers()
                network.reaches_store = lambda host, cut=cut: host not in cut
                network.run(lag_s)
                network.change_entry(build_target_entry(40))
                network.run(IN_FORCE_LIMIT_S)
                self.assertEqual(network.list_outdated(), set())

    # Guards against CONFIG and DRAIN: a host that waits on a connection that delivers nothing.
    def test_a_change_is_everywhere_in_time_when_no_wait_for_it_ends(self) -> None:
        network = self.start_network()
        network.delivers_waits = False
        network.change_entry(build_target_entry(40))
        network.run(IN_FORCE_LIMIT_S)
        self.assertEqual(network.list_outdated(), set())

    # Guards against DRAIN and FLOOR: hosts that miss a change for good, since a read that another
    # host's update has overtaken was passed on as if it held all that its sender knew.
    def test_a_read_that_was_overtaken_makes_no_host_miss_a_change(self) -> None:
        network = self.start_network()
        slow, quick = sorted(network.read_versions)[:2]
        missing = next(
            name
            for name in network.hosts
            if name not in network.find_readers()
            and int(name[1:]) % DOMAINS == int(slow[1:]) % DOMAINS
        )
        network.slow_reads[slow] = []
        network.change_entry(build_target_entry(1, leaving=True))
        network.report_changes(slow)
        network.is_delivered = lambda sender, receiver: receiver != missing
        network.change_entry(build_target_entry(2, leaving=True))
        network.report_changes(quick)
        network.is_delivered = lambda sender, receiver: True
        network.end_slow_reads(slow)
        network.run(IN_FORCE_LIMIT_S)
        self.assertEqual(network.list_outdated(), set())

    # Guards against CONFIG and DRAIN: a host that keeps others from asking though it knows nothing.
    def test_a_change_is_everywhere_in_time_whatever_links_fail(self) -> None:
        for seed in range(40):
            with self.subTest(seed=seed):
                self.check_random_cuts(seed)

    def check_random_cuts(self, seed: int) -> None:
        """Cuts links at random, and checks the hosts that reach the store or hosts that do."""
        rng = random.Random(seed)
        network = self.start_network(24, 8.0 + rng.random())
        names = list(network.hosts)
        # The readers are the ones that matter most.
        weights = {name: 0.8 if name in network.find_readers() else 0.4 for name in names}
        cut = {name for name in names if rng.random() < weights[name] * rng.random() * 1.5}
        frozen = set(rng.sample(names, rng.randrange(4)))
        loss = rng.choice((0.0, 0.1, 0.4))
        lost = {(a, b) for a in names for b in names if rng.random() < loss}
        network.delivers_waits = rng.random() < 0.5
        network.reaches_store = lambda host: host not in cut
        network.is_delivered = lambda sender, receiver: (sender, receiver) not in lost
        network.stopped |= frozen
        network.run(rng.choice((0.0, 0.5, 1.0, 2.0)))
        network.stopped -= frozen
        network.change_entry(build_target_entry(40))
        network.change_entry(None, build_target_entry(1).name)
        network.run(IN_FORCE_LIMIT_S)
        reaching = {name for name in names if name not in cut and name not in frozen}

        def is_bound(name: str) -> bool:
            linked = {o for o in reaching if not {(name, o), (o, name)} & lost}
            return name in reaching or 2 * len(linked) > len(names)

        bound = {name for name in names if name not in frozen and is_bound(name)}
        self.assertEqual(network.list_outdated() & bound, set())

    def test_the_store_is_asked_by_one_host_at_a_time(self) -> None:
        for count in (45, 300):
            network = self.start_network(count, 25.0)
            network.questions.clear()
            network.run(20.0)
            with self.subTest(hosts=count):
                limit = 1.5 * 20.0 / (IN_FORCE_LIMIT_S * _change_budget.ASK_SHARE)
                self.assertLessEqual(sum(network.questions.values()), limit)

    def test_an_unavailable_store_is_polled_by_its_readers_only(self) -> None:
        network = self.start_network()
        network.reaches_store = lambda host: False
        network.questions.clear()
        network.run(8.0)
        readers = network.find_readers()
        self.assertLessEqual(set(network.read_versions), readers)
        # Any of the others may be the only one that reaches the store, but asks ever more rarely.
        self.assertLessEqual(max(n for h, n in network.questions.items() if h not in readers), 4)

    def test_hosts_log_when_they_begin_and_end_to_be_behind(self) -> None:
        network = self.start_network(12)
        network.audit.clear()
        network.reaches_store = lambda host: False
        network.run(4.0)
        network.reaches_store = lambda host: True
        network.run(5.0)
        for phrase in ("may be behind: the latest answer", "is no longer behind"):
            hosts = [host for host, record in network.audit if phrase in record.entry.cause]
            self.assertEqual(sorted(hosts), sorted(network.hosts), phrase)

    def test_entries_that_lapsed_in_an_outage_are_kept_for_two_seconds_everywhere(self) -> None:
        network = self.start_network()
        network.reaches_store = lambda host: False
        network.run(3.0)
        lapsed = build_target_entry(3)
        network.change_entry(None, lapsed.name)
        network.reaches_store = lambda host: True
        network.run(1.5)
        kept = [h for h in network.hosts.values() if lapsed.name in h.state.discovered]
        self.assertEqual(len(kept), len(network.hosts))
        network.run(2.5)
        self.assertEqual(network.list_outdated(), set())

    # Guards against DRAIN: all hosts kept removed targets since one host had lost its connection.
    def test_a_removal_is_in_force_in_time_though_one_host_lost_the_store_meanwhile(self) -> None:
        for lost_s in (0.5, 3.0):
            for cut in sorted(self.start_network().find_readers()):
                with self.subTest(lost_s=lost_s, cut=cut):
                    network = self.start_network()
                    network.reaches_store = lambda host, cut=cut: host != cut
                    ask_at_once(network, cut)
                    network.run(lost_s - 0.5)
                    network.delivers_waits = False
                    network.change_entry(None, build_target_entry(3).name)
                    network.run(0.5)
                    network.reaches_store = lambda host: True
                    ask_at_once(network, cut)
                    network.run(IN_FORCE_LIMIT_S - 0.5)
                    self.assertEqual(network.list_outdated(), set())

    # Guards against DRAIN: a host that was cut off from all others takes that for an outage.
    def test_a_host_that_was_cut_off_makes_no_other_keep_a_removed_target(self) -> None:
        network = self.start_network()
        cut = min(network.find_readers())
        network.reaches_store = lambda host: host != cut
        network.is_delivered = lambda sender, receiver: cut not in (sender, receiver)
        network.run(5.0)
        network.reaches_store = lambda host: True
        network.is_delivered = lambda sender, receiver: True
        ask_at_once(network, cut)
        network.change_entry(None, build_target_entry(3).name)
        network.run(0.5)
        self.assertLessEqual(network.list_outdated(), {cut})

    def test_a_new_object_set_is_in_force_everywhere_in_time(self) -> None:
        network = self.start_network()
        fetched = build_config_fetched(network.clock, network.objects, version=9)
        network.canonical = fetched.canonical
        reader = min(network.find_readers())
        network.handle_effects(reader, network.hosts[reader].apply(fetched))
        network.run(IN_FORCE_LIMIT_S)
        self.assertEqual(network.list_versions(), {9})

    # Guards against CONFIG: an older version that stays in force as the host that has told of the
    # newer one has ended before it could be asked for it.
    def test_a_new_object_set_is_in_force_in_time_if_its_announcer_ends(self) -> None:
        network = self.start_network()
        network.silent_fetch_time = PEER_CONNECT_TIMEOUT
        fetched = build_config_fetched(network.clock, network.objects, version=9)
        network.canonical = fetched.canonical
        readers = sorted(network.find_readers())
        announcer = readers[0]
        effects = network.hosts[announcer].apply(fetched) + network.hosts[announcer].advance(0.1)
        network.stopped.add(announcer)
        network.handle_effects(announcer, effects)
        network.run(0.5)
        for reader in readers:
            if int(reader[1:]) % DOMAINS != int(announcer[1:]) % DOMAINS:
                network.handle_effects(reader, network.hosts[reader].apply(fetched))
        network.run(IN_FORCE_LIMIT_S - 0.5)
        self.assertEqual(network.list_versions(), {9})

    # Guards against CONFIG: a reader without the store that keeps its hosts from reading it.
    def test_a_reader_that_is_behind_keeps_no_host_from_reading_the_store(self) -> None:
        network = self.start_network()
        readers = network.find_readers()
        behind = {name for name in readers if int(name[1:]) % DOMAINS == 0}
        follower = next(
            name for name in network.hosts if int(name[1:]) % DOMAINS == 0 and name not in readers
        )
        network.silent_fetch_time = PEER_CONNECT_TIMEOUT
        network.is_delivered = lambda sender, receiver: receiver != follower or sender in behind
        newest = build_config_fetched(network.clock, network.objects, version=9).config
        network.hosts[follower].state.newest_config = newest
        network.questions.clear()
        network.run(IN_FORCE_LIMIT_S)
        self.assertIn(follower, network.questions)

    # Guards against a fleet that reads the store for ever for a set that this build cannot read.
    def test_a_set_that_was_rejected_makes_no_host_read_the_store(self) -> None:
        network = self.start_network()
        network.canonical = b'{"a_field_of_a_later_build": 1}'
        fetched = build_config_fetched(network.clock, network.objects, version=9)
        event = replace(fetched, canonical=network.canonical)
        for name in network.hosts:
            network.handle_effects(name, network.hosts[name].apply(event))
            network.hosts[name].state.newest_config = event.config
        readers = network.find_readers()
        for name in readers:
            # The readers run a build that can read it.
            network.hosts[name].state.membership.config = event.config
        network.questions.clear()
        network.run(5.0)
        self.assertNotIn(9, network.list_versions())
        self.assertLessEqual(set(network.read_versions), readers)
        self.assertLessEqual(set(network.questions), readers)

    def test_changes_spread_in_time_again_after_all_hosts_were_killed_at_once(self) -> None:
        network = self.start_network()
        for name in list(network.hosts):
            network.start_host(name)
        network.run(3.0)
        network.change_entry(build_target_entry(40))
        network.run(IN_FORCE_LIMIT_S)
        self.assertEqual(network.list_outdated(), set())
        network.run(10.0)
        self.assertEqual(len(network.read_versions), DOMAINS)

    def restore_store(self, network: StoreNetwork) -> None:
        """Restores a copy that lacks a new target and shows one that has left since."""
        copy = dict(network.entries)
        version = network.version
        network.change_entry(build_target_entry(40))
        network.change_entry(None, build_target_entry(1).name)
        for number in range(50, 60):
            network.change_entry(build_target_entry(number))
            network.change_entry(None, build_target_entry(number).name)
        network.run(4.0)
        self.assertEqual(network.list_outdated(), set())
        network.restore(version, copy)

    def list_users(self, network: StoreNetwork, number: int) -> set[str]:
        """Returns the hosts that know a target."""
        name = build_target_entry(number).name
        return {h for h, harness in network.hosts.items() if name in harness.state.discovered}

    def check_restored_store(self, count: int, seconds: float) -> None:
        network = self.start_network(count, seconds)
        self.restore_store(network)
        network.run(1.5)
        self.assertEqual(self.list_users(network, 1), set())
        self.assertEqual(len(self.list_users(network, 40)), count)
        # The new target writes its entry again, at a version that was given out before.
        network.change_entry(build_target_entry(40))
        network.change_entry(None, build_target_entry(1).name)
        network.change_entry(build_target_entry(41))
        network.run(IN_FORCE_LIMIT_S)
        self.assertEqual(network.list_outdated(), set())
        network.run(3.0)
        self.assertEqual(network.list_outdated(), set())

    def test_45_hosts_follow_a_store_that_was_restored_from_an_older_copy(self) -> None:
        self.check_restored_store(45, 15.0)

    def test_300_hosts_follow_a_store_that_was_restored_from_an_older_copy(self) -> None:
        self.check_restored_store(300, 25.0)

    def test_readers_that_missed_the_restoration_do_not_hold_back_the_others(self) -> None:
        network = self.start_network()
        blind = set(sorted(network.find_readers())[:3])
        self.restore_store(network)
        network.reaches_store = lambda host: host not in blind
        network.run(2.0)
        network.change_entry(build_target_entry(40))
        network.change_entry(None, build_target_entry(1).name)
        network.run(IN_FORCE_LIMIT_S)
        self.assertEqual(network.list_outdated(), set())

    def test_datagrams_from_before_the_restoration_change_nothing_after_it(self) -> None:
        network = self.start_network()
        delayed: list[tuple[str, str, PeerMessage]] = []
        deliver = network.deliver

        def record(sender: str, receiver: str, message: PeerMessage) -> None:
            if message.store_update is not None:
                delayed.append((sender, receiver, message))
            deliver(sender, receiver, message)

        with mock.patch.object(network, "deliver", record):
            self.restore_store(network)
        network.run(1.5)
        network.change_entry(build_target_entry(40))
        network.change_entry(None, build_target_entry(1).name)
        network.run(IN_FORCE_LIMIT_S)
        sequences = {name: h.state.membership.records for name, h in network.hosts.items()}
        for sender, receiver, message in delayed:
            # A datagram of another sender with a number that is still to come is the worst case.
            sequence = max(r.sequence for r in sequences[receiver].values()) + 1
            deliver(sender, receiver, replace(message, sequence=sequence))
        self.assertEqual(network.list_outdated(), set())

    def test_without_eras_a_restored_store_is_not_followed(self) -> None:
        with inject_fault(sys.modules[__name__], "build_store_version", lambda era, number: number):
            network = self.start_network()
            self.restore_store(network)
            network.run(2.0)
            network.change_entry(build_target_entry(41))
            network.run(IN_FORCE_LIMIT_S)
        self.assertNotEqual(network.list_outdated(), set())


def ask_at_once(network: StoreNetwork, host: str) -> None:
    """Has a host ask the store now, as its own schedule might."""
    network.hosts[host].state.store.as_of = None
    network.hosts[host].state.store.next_ask_at = network.clock.monotonic()
    network.handle_effects(host, network.hosts[host].advance(0.0001, step=0.0001))


if __name__ == "__main__":
    unittest.main()
