"""Builds datagrams, which carry news of members whatever else they are for."""

from dataclasses import replace

from endivedrift.core import (
    NO_CONFIG,
    Address,
    ConfigRef,
    EvidenceDelta,
    FailureDomain,
    HostId,
    Member,
    MemberStatus,
    MessageKind,
    PeerMessage,
    StoreUpdate,
)
from endivedrift.core.effects import Effect, SendPeerMessage
from endivedrift.fleet._view import Membership

NEWS_PER_DATAGRAM = 6


def send_evidence(
    view: Membership, receivers: list[Member], evidence: tuple[EvidenceDelta, ...]
) -> list[Effect]:
    """Sends outcomes to the hosts that serve the same service.

    These messages are many: they leave out the digest of the object set too.
    """
    message = _build_brief(view, NO_CONFIG)
    return _send_each(view, receivers, replace(message, evidence=evidence))


def send_store_update(
    view: Membership, receivers: list[Member], update: StoreUpdate
) -> list[Effect]:
    """Sends news of the store, and names the object set in force."""
    return _send_each(
        view, receivers, replace(_build_brief(view, view.config), store_update=update)
    )


def _build_brief(view: Membership, config: ConfigRef) -> PeerMessage:
    """Builds a message to hosts that know the sender, without its addresses and other news."""
    sender = replace(
        view.me,
        failure_domain=FailureDomain(""),
        caller_address=Address(""),
        peer_address=Address(""),
        operator_address=Address(""),
    )
    return PeerMessage(
        kind=MessageKind.NOTICE,
        sender=sender,
        sequence=0,
        probe_number=0,
        subject=HostId(""),
        heard_subject=False,
        config=config,
    )


def _send_each(view: Membership, receivers: list[Member], message: PeerMessage) -> list[Effect]:
    """Sends one message to several hosts; it is the same for all, so it is encoded once."""
    view.sequence += 1
    numbered = replace(message, sequence=view.sequence)
    return [
        SendPeerMessage(member.peer_address, numbered)
        for member in receivers
        if member.host != view.me.host
    ]


def send_datagram(
    view: Membership,
    address: Address,
    kind: MessageKind,
    probe: int = 0,
    subject: HostId = HostId(""),
    heard: bool = False,
    first: tuple[Member, ...] = (),
) -> SendPeerMessage:
    """Builds a datagram with the next sequence number and as much news as it has room for."""
    view.sequence += 1
    message = PeerMessage(
        kind=kind,
        sender=view.me,
        sequence=view.sequence,
        probe_number=probe,
        subject=subject,
        heard_subject=heard,
        config=view.config,
        members=first + _take_news(view, NEWS_PER_DATAGRAM - len(first)),
    )
    return SendPeerMessage(address, message)


def ping_member(view: Membership, member: Member, probe: int, subject: HostId) -> SendPeerMessage:
    """Builds a PING, which tells the member of any doubt about it so that it can deny it."""
    told = (member,) if member.status > MemberStatus.ALIVE else ()
    return send_datagram(
        view, member.peer_address, MessageKind.PING, probe=probe, subject=subject, first=told
    )


def sample_alive(view: Membership, count: int, excluded: HostId) -> list[Member]:
    """Draws members that are held to be alive."""
    alive = [
        record.member
        for host, record in view.records.items()
        if host != excluded and record.member.status is MemberStatus.ALIVE
    ]
    return view.random.sample(alive, min(count, len(alive)))


def _take_news(view: Membership, room: int) -> tuple[Member, ...]:
    hosts = sorted(
        view.remaining_transmissions, key=lambda host: -view.remaining_transmissions[host]
    )[: max(0, room)]
    for host in hosts:
        view.remaining_transmissions[host] -= 1
        if view.remaining_transmissions[host] <= 0:
            del view.remaining_transmissions[host]
    return tuple(view.records[host].member for host in hosts if host in view.records)
