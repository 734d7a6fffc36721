"""A few hosts joined by a fake network with cuts, on a virtual clock."""

import random
from collections.abc import Callable
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
from endivedrift.core.events import ConfigFetched, PeerMessageReceived, PeerTargetsReceived
from endivedrift.objects import ObjectSet
from endivedrift.reducer import list_registered_targets
from tests.builders import HostHarness, build_identity, build_object_set

STEP = 0.1


class Network:
    """Hosts by name, and a rule that says which datagrams arrive."""

    store_is_relayed = False

    def __init__(self, count: int, domains: int = 3, objects: ObjectSet | None = None) -> None:
        """Starts hosts that know up to three earlier ones each."""
        self.objects = objects or build_object_set()
        self.clock = ManualClock()
        self.hosts: dict[str, HostHarness] = {}
        self.source = random.Random(5)
        self.passes: Callable[[str, str], bool] = lambda sender, receiver: True
        self.audit: list[tuple[str, RecordAudit]] = []
        self.started = 0
        self.domains = domains
        self.canonical = b""
        self.stopped: set[str] = set()
        for number in range(count):
            self.boot(f"h{number}")

    def boot(self, name: str) -> None:
        """Starts a host, or a new process of one."""
        self.started += 1
        number = int(name[1:])
        plain = build_identity(name, self.started, f"d{number % self.domains}")
        seeds = tuple(Address(f"{other}:2") for other in list(self.hosts)[:3])
        identity = HostIdentity(
            plain.host,
            plain.incarnation,
            plain.failure_domain,
            plain.caller_address,
            plain.peer_address,
            plain.operator_address,
            seeds,
        )
        self.hosts[name] = HostHarness(
            self.objects, identity, self.clock, self.started, self.store_is_relayed
        )

    def run(self, seconds: float) -> None:
        """Lets time pass, with a tick of every host at each step."""
        for _ in range(round(seconds / STEP)):
            self.clock.advance(timedelta(seconds=STEP))
            for name in list(self.hosts):
                if name not in self.stopped:
                    self.take(name, self.hosts[name].advance(0.0001, step=0.0001))

    def take(self, sender: str, effects: list[Effect]) -> None:
        """Carries out the effects of a host."""
        for effect in effects:
            if isinstance(effect, SendPeerMessage):
                receiver = effect.address.partition(":")[0]
                self.deliver(sender, receiver, effect.message)
            elif isinstance(effect, FetchConfig):
                now = self.clock.monotonic()
                fetched = ConfigFetched(now, effect.config, self.canonical)
                self.take(sender, self.hosts[sender].apply(fetched))
            elif isinstance(effect, FetchTargets):
                self.tell_targets(sender, effect)
            elif isinstance(effect, RecordAudit):
                self.audit.append((sender, effect))

    def tell_targets(self, asker: str, effect: FetchTargets) -> None:
        """Answers a question for targets by the first peer that runs and knows any."""
        for address in effect.peers:
            peer = address.partition(":")[0]
            reachable = peer not in self.stopped and self.passes(asker, peer)
            known, version = (
                list_registered_targets(self.hosts[peer].state) if reachable else ((), 0)
            )
            if known:
                told = PeerTargetsReceived(self.clock.monotonic(), known, version)
                self.take(asker, self.hosts[asker].apply(told))
                return

    def deliver(self, sender: str, receiver: str, message: PeerMessage) -> None:
        """Delivers a datagram unless a cut stops it."""
        unreachable = receiver not in self.hosts or receiver in self.stopped
        if unreachable or not self.passes(sender, receiver):
            return
        source = Address(f"{sender}:2")
        event = PeerMessageReceived(self.clock.monotonic(), source, message)
        self.take(receiver, self.hosts[receiver].apply(event))

    def status(self, observer: str, host: str) -> MemberStatus | None:
        """Returns what one host believes of another."""
        record = self.hosts[observer].state.membership.records.get(HostId(host))
        return record.member.status if record is not None else None

    def statuses(self, host: str) -> set[MemberStatus | None]:
        """Returns what all other running hosts believe of a host."""
        return {
            self.status(observer, host)
            for observer in self.hosts
            if observer not in self.stopped and observer != host
        }

    def count_declared_dead(self) -> int:
        """Counts how often any host declared another dead."""
        return sum(
            1
            for _, effect in self.audit
            if effect.entry.kind is AuditKind.MEMBER_CHANGED
            and effect.entry.cause.startswith("dead")
        )
