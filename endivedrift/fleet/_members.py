"""Membership: which hosts exist, and which of them are believed to be alive.

Each host probes one other host a period, in shuffled order. Where no answer comes, it asks a few
others to probe on its behalf, so that one broken path is not taken for a dead host. A host that
nobody reaches is suspected, and declared dead when it does not deny the suspicion in time. News
travels on the datagrams that are sent anyway, so that the load on a host does not grow with the
fleet (Das, Gupta and Motivala, SWIM, 2002). Nothing that has to be safe relies on this view.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random

from endivedrift.core import (
    NO_CONFIG,
    Address,
    AuditEntry,
    AuditKind,
    ConfigRef,
    EvidenceDelta,
    HostId,
    HostIdentity,
    Incarnation,
    Instant,
    Member,
    MemberStatus,
    MessageKind,
    PeerMessage,
)
from endivedrift.core.effects import Effect, RecordAudit, SendPeerMessage

PROBE_PERIOD = timedelta(seconds=1)
DIRECT_TIMEOUT = timedelta(milliseconds=300)
SUSPICION_BASE = timedelta(seconds=2)
FORGET_DEAD_AFTER = timedelta(minutes=10)
SYNC_PERIOD = timedelta(seconds=60)
SYNC_PERIOD_PER_MEMBER = timedelta(milliseconds=300)
LONELY_SYNC_PERIOD = timedelta(seconds=1)
REVIVAL_PERIOD = timedelta(seconds=5)
HEARD_WINDOW = timedelta(seconds=15)
INDIRECT_HELPERS = 3
NEWS_PER_DATAGRAM = 6
NEWS_FACTOR = 3
LEAVE_NOTICES = 8


_USABLE = frozenset({MemberStatus.ALIVE, MemberStatus.SUSPECT})
_UNDER_PROBE = frozenset({MemberStatus.STARTING, MemberStatus.ALIVE})


@dataclass(slots=True)
class MemberRecord:
    """What this host knows of another.

    Attributes:
      member: The latest word on it.
      since: When its status changed last.
      heard: When a datagram of its own last arrived, or None.
      hears_us: Whether it told through another host that it hears this one; None if unknown.
      sequence: Sequence number of its last datagram.
    """

    member: Member
    since: Instant
    heard: Instant | None = None
    hears_us: bool | None = None
    sequence: int = 0


@dataclass(slots=True)
class Probe:
    """A PING without an answer so far."""

    host: HostId
    sent: Instant
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """A PING sent on behalf of another host, and where its answer goes."""

    requester: Address
    subject: HostId
    probe: int
    sent: Instant


@dataclass(slots=True)
class Membership:
    """The membership view of one host.

    Attributes:
      me: This host's own record.
      own_incarnations: All incarnations this process has used.
      config: Object set in force, told with each datagram.
      records: The other hosts.
      version: Grows with each change of the set of usable hosts.
      news: Remaining times that the word on a host is passed on.
    """

    me: Member
    own_incarnations: set[Incarnation]
    seeds: tuple[Address, ...]
    random: Random
    config: ConfigRef = NO_CONFIG
    records: dict[HostId, MemberRecord] = field(default_factory=dict)
    version: int = 0
    news: dict[HostId, int] = field(default_factory=dict)
    order: list[HostId] = field(default_factory=list)
    probes: dict[int, Probe] = field(default_factory=dict)
    relays: dict[int, Relay] = field(default_factory=dict)
    sequence: int = 0
    probe_count: int = 0
    next_probe: Instant = Instant(0)
    next_sync: Instant = Instant(0)
    next_revival: Instant = Instant(0)


def build_membership(identity: HostIdentity, random: Random) -> Membership:
    """Builds the view of a host that knows no other."""
    me = Member(
        host=identity.host,
        incarnation=identity.incarnation,
        counter=0,
        status=MemberStatus.STARTING,
        failure_domain=identity.failure_domain,
        caller_address=identity.caller_address,
        peer_address=identity.peer_address,
        operator_address=identity.operator_address,
    )
    return Membership(me, {identity.incarnation}, identity.seeds, random)


def list_usable(view: Membership) -> list[Member]:
    """Lists the hosts that callers may be sent to, this one included while it is not leaving."""
    usable = [r.member for r in view.records.values() if r.member.status in _USABLE]
    if view.me.status is MemberStatus.ALIVE:
        usable.append(view.me)
    return usable


def find_member(view: Membership, host: HostId) -> Member | None:
    """Finds the latest word on a host, this one included."""
    if host == view.me.host:
        return view.me
    record = view.records.get(host)
    return record.member if record is not None else None


def advance_membership(view: Membership, at: Instant) -> list[Effect]:
    """Sends the probes that are due and judges those without an answer.

    Args:
      view: The view.
      at: Present time.
    Returns:
      Datagrams to send and audit entries.
    """
    effects: list[Effect] = [*_judge_probes(view, at), *_judge_suspects(view, at)]
    if at >= view.next_sync:
        effects += _request_sync(view, at)
    if at >= view.next_revival:
        view.next_revival = at + REVIVAL_PERIOD
        effects += _try_revival(view)
    if at >= view.next_probe:
        view.next_probe = at + PROBE_PERIOD
        effects += _probe_next(view, at)
    expired = [n for n, relay in view.relays.items() if at - relay.sent > PROBE_PERIOD]
    for number in expired:
        del view.relays[number]
    return effects


def announce_serving(view: Membership) -> None:
    """Lets this host be told to callers from now on."""
    if view.me.status is MemberStatus.STARTING:
        view.me = replace(view.me, status=MemberStatus.ALIVE)
        view.version += 1


def announce_leaving(view: Membership, at: Instant) -> list[Effect]:
    """Tells several hosts at once that this one is leaving."""
    view.me = replace(view.me, status=MemberStatus.LEAVING, counter=view.me.counter + 1)
    view.version += 1
    reachable = [r.member for r in view.records.values() if r.member.status < MemberStatus.DEAD]
    receivers = view.random.sample(reachable, min(LEAVE_NOTICES, len(reachable)))
    return [_send(view, member.peer_address, MessageKind.NOTICE) for member in receivers]


def learn_seeds(view: Membership, addresses: tuple[Address, ...]) -> None:
    """Replaces the addresses asked for members by those the platform lists."""
    if addresses:
        view.seeds = addresses


def send_evidence(
    view: Membership, receivers: list[Member], evidence: tuple[EvidenceDelta, ...]
) -> list[Effect]:
    """Sends outcomes to the hosts that serve the same service."""
    return [
        _send(view, member.peer_address, MessageKind.NOTICE, evidence=evidence)
        for member in receivers
        if member.host != view.me.host
    ]


def receive_message(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> tuple[bool, list[Effect]]:
    """Takes in a datagram of another host.

    Args:
      view: The view.
      at: Present time.
      source: Address it came from.
      message: The authenticated datagram.
    Returns:
      Whether the datagram was fresh, and datagrams to send with audit entries. A replayed or
      outdated datagram changes nothing.
    """
    sender = message.sender
    if sender.host == view.me.host:
        return False, []
    known = view.records.get(sender.host)
    if known is not None and not _is_fresh(known, message):
        return False, []
    effects: list[Effect] = list(_learn(view, at, sender))
    record = view.records[sender.host]
    record.heard = at
    record.sequence = message.sequence
    for member in message.members:
        effects += _learn(view, at, member)
    effects += _HANDLERS[message.kind](view, at, source, message)
    return True, effects


def _is_fresh(known: MemberRecord, message: PeerMessage) -> bool:
    if message.sender.incarnation != known.member.incarnation:
        return message.sender.incarnation > known.member.incarnation
    return message.sequence > known.sequence


def _learn(view: Membership, at: Instant, member: Member) -> list[Effect]:
    if member.host == view.me.host:
        return _answer_rumour(view, member)
    record = view.records.get(member.host)
    if record is None:
        if member.status is MemberStatus.DEAD:
            return []
        view.records[member.host] = MemberRecord(member, at)
        view.order.insert(view.random.randint(0, len(view.order)), member.host)
        return _spread(view, at, member, "joined")
    if member.precedence() <= record.member.precedence():
        return []
    previous = record.member
    if member.incarnation > previous.incarnation:
        record.heard = None
        record.hears_us = None
        record.sequence = 0
    record.member = member
    if previous.status is member.status and previous.incarnation == member.incarnation:
        view.news[member.host] = _count_transmissions(view)
        return []
    record.since = at
    return _spread(view, at, member, f"was {previous.status.name.lower()}")


def _spread(view: Membership, at: Instant, member: Member, cause: str) -> list[Effect]:
    view.version += 1
    view.news[member.host] = _count_transmissions(view)
    text = f"{member.status.name.lower()}, incarnation {member.incarnation:x}; {cause}"
    return [RecordAudit(AuditEntry(at, AuditKind.MEMBER_CHANGED, member.host, text))]


def _answer_rumour(view: Membership, rumour: Member) -> list[Effect]:
    me = view.me
    if rumour.incarnation > me.incarnation:
        incarnation = Incarnation(rumour.incarnation + 1 + view.random.getrandbits(16))
        view.own_incarnations.add(incarnation)
        view.me = replace(me, incarnation=incarnation, counter=0)
        view.sequence = 0
    elif rumour.incarnation == me.incarnation and rumour.precedence() > me.precedence():
        view.me = replace(me, counter=rumour.counter + 1)
    if view.me is me:
        return []
    receivers = _sample_alive(view, INDIRECT_HELPERS, me.host)
    return [_send(view, member.peer_address, MessageKind.NOTICE) for member in receivers]


def _sample_alive(view: Membership, count: int, excluded: HostId) -> list[Member]:
    alive = [
        record.member
        for host, record in view.records.items()
        if host != excluded and record.member.status is MemberStatus.ALIVE
    ]
    return view.random.sample(alive, min(count, len(alive)))


def _count_transmissions(view: Membership) -> int:
    return NEWS_FACTOR * (1 + math.ceil(math.log2(len(view.records) + 1)))


def _judge_probes(view: Membership, at: Instant) -> list[Effect]:
    effects: list[Effect] = []
    for number, probe in list(view.probes.items()):
        record = view.records.get(probe.host)
        if record is None:
            del view.probes[number]
        elif at - probe.sent >= PROBE_PERIOD:
            del view.probes[number]
            if record.member.status in _UNDER_PROBE:
                suspect = record.member.with_status(MemberStatus.SUSPECT)
                effects += _learn(view, at, suspect)
            elif record.member.status is MemberStatus.LEAVING:
                effects += _learn(view, at, record.member.with_status(MemberStatus.DEAD))
        elif at - probe.sent >= DIRECT_TIMEOUT and not probe.indirect:
            probe.indirect = True
            effects += _ask_helpers(view, number, probe)
    return effects


def _ask_helpers(view: Membership, number: int, probe: Probe) -> list[Effect]:
    return [
        _send(view, m.peer_address, MessageKind.PING_REQUEST, probe=number, subject=probe.host)
        for m in _sample_alive(view, INDIRECT_HELPERS, probe.host)
    ]


def _judge_suspects(view: Membership, at: Instant) -> list[Effect]:
    effects: list[Effect] = []
    patience = SUSPICION_BASE * (1.0 + math.log10(len(view.records) + 1))
    for host, record in list(view.records.items()):
        status = record.member.status
        if status is MemberStatus.SUSPECT and at - record.since >= patience:
            effects += _learn(view, at, record.member.with_status(MemberStatus.DEAD))
        elif status is MemberStatus.DEAD and at - record.since >= FORGET_DEAD_AFTER:
            del view.records[host]
            view.news.pop(host, None)
    return effects


def _probe_next(view: Membership, at: Instant) -> list[Effect]:
    for _ in range(len(view.order) + 1):
        if not view.order:
            view.order = list(view.records)
            view.random.shuffle(view.order)
        if not view.order:
            return []
        record = view.records.get(view.order.pop())
        if record is not None and record.member.status is not MemberStatus.DEAD:
            break
    else:
        return []
    view.probe_count += 1
    view.probes[view.probe_count] = Probe(record.member.host, at)
    return [_ping(view, record.member, view.probe_count, record.member.host)]


def _try_revival(view: Membership) -> list[Effect]:
    """Pings a host held to be dead, and a seed, so that the two sides of a healed cut meet."""
    dead = [r.member for r in view.records.values() if r.member.status is MemberStatus.DEAD]
    effects: list[Effect] = []
    if dead:
        effects.append(_ping(view, view.random.choice(dead), 0, HostId("")))
    known = {r.member.peer_address for r in view.records.values()} | {view.me.peer_address}
    strangers = [address for address in view.seeds if address not in known]
    if strangers and view.records:
        address = view.random.choice(strangers)
        effects.append(_send(view, address, MessageKind.SYNC_REQUEST))
    return effects


def _ping(view: Membership, member: Member, probe: int, subject: HostId) -> SendPeerMessage:
    told = (member,) if member.status > MemberStatus.ALIVE else ()
    return _send(
        view, member.peer_address, MessageKind.PING, probe=probe, subject=subject, first=told
    )


def _request_sync(view: Membership, at: Instant) -> list[Effect]:
    chosen_alive = _sample_alive(view, 1, view.me.host)
    if chosen_alive:
        period = max(SYNC_PERIOD, SYNC_PERIOD_PER_MEMBER * len(view.records))
        view.next_sync = at + period * view.random.uniform(0.75, 1.25)
        return [_send(view, chosen_alive[0].peer_address, MessageKind.SYNC_REQUEST)]
    view.next_sync = at + LONELY_SYNC_PERIOD
    seeds = [address for address in view.seeds if address != view.me.peer_address]
    chosen = view.random.sample(seeds, min(INDIRECT_HELPERS, len(seeds)))
    return [_send(view, address, MessageKind.SYNC_REQUEST) for address in chosen]


def _take_ping(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> list[Effect]:
    heard = _heard_lately(view, at, message.subject)
    sender = view.records[message.sender.host].member
    reply = _send(
        view,
        message.sender.peer_address,
        MessageKind.ACK,
        probe=message.probe,
        subject=message.subject,
        heard=heard,
        first=(sender,) if sender.status > MemberStatus.ALIVE else (),
    )
    return [reply]


def _take_ack(view: Membership, at: Instant, source: Address, message: PeerMessage) -> list[Effect]:
    relay = view.relays.get(message.probe)
    if relay is not None and message.sender.host == relay.subject:
        del view.relays[message.probe]
        effect = _send(
            view,
            relay.requester,
            MessageKind.ACK,
            probe=relay.probe,
            subject=relay.subject,
            heard=message.heard_subject,
            first=(message.sender,),
        )
        return [effect]
    probe = view.probes.get(message.probe)
    if probe is None or probe.host not in (message.sender.host, message.subject):
        return []
    del view.probes[message.probe]
    record = view.records.get(probe.host)
    if record is not None:
        relayed = message.sender.host != probe.host
        record.hears_us = message.heard_subject if relayed else True
    return []


def _take_ping_request(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> list[Effect]:
    record = view.records.get(message.subject)
    if record is None:
        return []
    view.probe_count += 1
    requester = message.sender
    view.relays[view.probe_count] = Relay(
        requester.peer_address, message.subject, message.probe, at
    )
    return [_ping(view, record.member, view.probe_count, requester.host)]


def _take_sync_request(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> list[Effect]:
    members = [record.member for record in view.records.values()]
    chunks = [
        tuple(members[i : i + NEWS_PER_DATAGRAM])
        for i in range(0, max(1, len(members)), NEWS_PER_DATAGRAM)
    ]
    receiver = message.sender.peer_address
    return [_send(view, receiver, MessageKind.NOTICE, first=chunk) for chunk in chunks]


def _take_notice(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> list[Effect]:
    return []


_Handler = Callable[[Membership, Instant, Address, PeerMessage], list[Effect]]
_HANDLERS: dict[MessageKind, _Handler] = {
    MessageKind.PING: _take_ping,
    MessageKind.ACK: _take_ack,
    MessageKind.PING_REQUEST: _take_ping_request,
    MessageKind.SYNC_REQUEST: _take_sync_request,
    MessageKind.NOTICE: _take_notice,
}


def _heard_lately(view: Membership, at: Instant, host: HostId) -> bool:
    record = view.records.get(host)
    return record is not None and record.heard is not None and at - record.heard < HEARD_WINDOW


def _send(
    view: Membership,
    address: Address,
    kind: MessageKind,
    probe: int = 0,
    subject: HostId = HostId(""),
    heard: bool = False,
    first: tuple[Member, ...] = (),
    evidence: tuple[EvidenceDelta, ...] = (),
) -> SendPeerMessage:
    view.sequence += 1
    message = PeerMessage(
        kind=kind,
        sender=view.me,
        sequence=view.sequence,
        probe=probe,
        subject=subject,
        heard_subject=heard,
        config=view.config,
        members=first + _take_news(view, NEWS_PER_DATAGRAM - len(first)),
        evidence=evidence,
    )
    return SendPeerMessage(address, message)


def _take_news(view: Membership, room: int) -> tuple[Member, ...]:
    hosts = sorted(view.news, key=lambda host: -view.news[host])[: max(0, room)]
    for host in hosts:
        view.news[host] -= 1
        if view.news[host] <= 0:
            del view.news[host]
    return tuple(view.records[host].member for host in hosts if host in view.records)
