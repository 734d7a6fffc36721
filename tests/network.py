"""A simulated network of hosts that can drop datagrams, driven by a virtual clock."""

import random
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from endivedrift.core import (
    Address,
    AuditKind,
    HostId,
    HostIdentity,
    ManualClock,
    MemberStatus,
    PeerMessage,
)
from endivedrift.core.effects import (
    Effect,
    FetchConfig,
    FetchTargets,
    RecordAudit,
    SendPeerMessage,
)
from endivedrift.core.events import (
    ConfigFetched,
    ConfigFetchFailed,
    PeerMessageReceived,
    PeerTargetsReceived,
)
from endivedrift.objects import ObjectSet
from endivedrift.reducer import list_registered_targets
from tests.builders import HostHarness, build_identity, build_object_set

STEP_S = 0.1


class Network:
    """Runs hosts in one process and delivers their datagrams.

    Attributes:
      hosts: The harness of each host by name; a stopped host stays in it.
      rng: The source of randomness for tests that lose datagrams at random.
      is_delivered: Tells whether a datagram from one host to another arrives.
      audit: Audit entries that hosts recorded, with the name of the host.
      canonical: The encoded object set that answers every fetch.
      stopped: Hosts that neither run nor receive anything.
      silent_fetch_time: Time that the fetch of an object set waits for a stopped host. Without
        one, all fetches succeed at once.
      fetches: The ends of fetches in progress: when, at which host, and the event.
    """

    store_is_relayed = False

    def __init__(self, count: int, domains: int = 3, objects: ObjectSet | None = None) -> None:
        """Starts hosts, each with up to three earlier ones as seeds.

        Args:
          count: The number of hosts.
          domains: The number of failure domains.
          objects: The object set in force, or None for a default one.
        """
        self.objects = objects or build_object_set()
        self.clock = ManualClock()
        self.hosts: dict[str, HostHarness] = {}
        self.rng = random.Random(5)
        self.is_delivered: Callable[[str, str], bool] = lambda sender, receiver: True
        self.audit: list[tuple[str, RecordAudit]] = []
        self.start_count = 0
        self.domain_count = domains
        self.canonical = b""
        self.stopped: set[str] = set()
        self.silent_fetch_time = timedelta(0)
        self.fetches: list[tuple[timedelta, str, ConfigFetched | ConfigFetchFailed]] = []
        for number in range(count):
            self.start_host(f"h{number}")

    def start_host(self, name: str) -> None:
        """Starts a host, or restarts it with a new incarnation."""
        self.start_count += 1
        number = int(name[1:])
        base = build_identity(name, self.start_count, f"d{number % self.domain_count}")
        seeds = tuple(Address(f"{other}:2") for other in list(self.hosts)[:3])
        identity = HostIdentity(
            base.host,
            base.incarnation,
            base.failure_domain,
            base.caller_address,
            base.peer_address,
            base.operator_address,
            seeds,
        )
        self.hosts[name] = HostHarness(
            self.objects, identity, self.clock, self.start_count, self.store_is_relayed
        )

    def run(self, seconds: float) -> None:
        """Advances the clock in steps, with a tick of every running host at each."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(timedelta(seconds=STEP_S))
            self.end_fetches()
            for name in list(self.hosts):
                if name not in self.stopped:
                    self.handle_effects(name, self.hosts[name].advance(0.0001, step=0.0001))

    def handle_effects(self, sender: str, effects: list[Effect]) -> None:
        """Carries out the effects that a host returned."""
        for effect in effects:
            if isinstance(effect, SendPeerMessage):
                receiver = effect.address.partition(":")[0]
                self.deliver(sender, receiver, effect.message)
            elif isinstance(effect, FetchConfig):
                self.fetch_config(sender, effect)
            elif isinstance(effect, FetchTargets):
                self.answer_target_query(sender, effect)
            elif isinstance(effect, RecordAudit):
                self.audit.append((sender, effect))

    def fetch_config(self, asker: str, effect: FetchConfig) -> None:
        """Asks peers one after the other for an object set; those that are stopped are silent."""
        now = self.clock.monotonic()
        if not self.silent_fetch_time:
            fetched = ConfigFetched(now, effect.config, self.canonical)
            self.handle_effects(asker, self.hosts[asker].apply(fetched))
            return
        end: ConfigFetched | ConfigFetchFailed = ConfigFetchFailed(now, effect.config)
        for address in effect.peers:
            peer = address.partition(":")[0]
            if peer in self.stopped:
                now += self.silent_fetch_time
            elif self.hosts[peer].state.config == effect.config:
                end = ConfigFetched(now, effect.config, self.canonical)
                break
        self.fetches.append((now, asker, end))

    def end_fetches(self) -> None:
        """Reports the fetches that have ended."""
        now = self.clock.monotonic()
        ended = [fetch for fetch in self.fetches if fetch[0] <= now]
        self.fetches = [fetch for fetch in self.fetches if fetch[0] > now]
        for _, asker, event in ended:
            if asker not in self.stopped:
                self.handle_effects(asker, self.hosts[asker].apply(replace(event, at=now)))

    def answer_target_query(self, asker: str, effect: FetchTargets) -> None:
        """Answers a host's query with the targets of the first reachable peer that has any."""
        for address in effect.peers:
            peer = address.partition(":")[0]
            reachable = peer not in self.stopped and self.is_delivered(asker, peer)
            known, version = (
                list_registered_targets(self.hosts[peer].state) if reachable else ((), 0)
            )
            if known:
                received = PeerTargetsReceived(self.clock.monotonic(), known, version)
                self.handle_effects(asker, self.hosts[asker].apply(received))
                return

    def deliver(self, sender: str, receiver: str, message: PeerMessage) -> None:
        """Delivers a datagram unless the receiver is stopped or the network drops it."""
        unreachable = receiver not in self.hosts or receiver in self.stopped
        if unreachable or not self.is_delivered(sender, receiver):
            return
        source = Address(f"{sender}:2")
        event = PeerMessageReceived(self.clock.monotonic(), source, message)
        self.handle_effects(receiver, self.hosts[receiver].apply(event))

    def get_status(self, observer: str, host: str) -> MemberStatus | None:
        """Returns the status of a host as another host sees it, or None for an unknown host."""
        record = self.hosts[observer].state.membership.records.get(HostId(host))
        return record.member.status if record is not None else None

    def collect_statuses(self, host: str) -> set[MemberStatus | None]:
        """Returns the statuses of a host as all other running hosts see it."""
        return {
            self.get_status(observer, host)
            for observer in self.hosts
            if observer not in self.stopped and observer != host
        }

    def count_declared_dead(self) -> int:
        """Counts the audit entries by which a host declared another dead."""
        return sum(
            1
            for _, effect in self.audit
            if effect.entry.kind is AuditKind.MEMBER_CHANGED
            and effect.entry.cause.startswith("dead")
        )
