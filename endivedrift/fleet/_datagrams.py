"""Builds datagrams.

Membership updates are piggybacked on datagrams of all kinds, except on the frequent messages that
carry evidence or reports on the store.
"""

import heapq
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
    QuotaReport,
    QuotaStatus,
    RateLimitReport,
    StoreUpdate,
    SuspectReport,
)
from endivedrift.core.effects import Effect, SendPeerMessage
from endivedrift.fleet._membership import Membership

UPDATES_PER_DATAGRAM = 6


def send_evidence(
    view: Membership, receivers: list[Member], evidence: tuple[EvidenceDelta, ...]
) -> list[Effect]:
    """Sends outcomes at targets of a service to the hosts that serve it.

    These messages are frequent, so they also omit the version and digest of the object set.
    """
    message = _build_notice(view, NO_CONFIG)
    return _send_each(view, receivers, replace(message, evidence=evidence))


def send_store_update(
    view: Membership, receivers: list[Member], update: StoreUpdate
) -> list[Effect]:
    """Sends a report on the store together with the version and digest of the object set."""
    return _send_each(
        view, receivers, replace(_build_notice(view, view.config), store_update=update)
    )


def send_suspects(
    view: Membership, receivers: list[Member], reports: tuple[SuspectReport, ...]
) -> list[Effect]:
    """Sends reports on requests during which targets ended."""
    return _send_each(view, receivers, replace(_build_notice(view, NO_CONFIG), suspects=reports))


def send_rate_limits(
    view: Membership, receivers: list[Member], reports: tuple[RateLimitReport, ...]
) -> list[Effect]:
    """Sends reports on the limits that targets state."""
    return _send_each(view, receivers, replace(_build_notice(view, NO_CONFIG), rate_limits=reports))


def send_quotas(
    view: Membership, receivers: list[Member], reports: tuple[QuotaReport, ...]
) -> list[Effect]:
    """Sends what this host has admitted of caller accounts to their keepers."""
    return _send_each(view, receivers, replace(_build_notice(view, NO_CONFIG), quotas=reports))


def send_quota_statuses(
    view: Membership, receivers: list[Member], statuses: tuple[QuotaStatus, ...]
) -> list[Effect]:
    """Sends the tokens of caller accounts that this host keeps."""
    message = replace(_build_notice(view, NO_CONFIG), quota_statuses=statuses)
    return _send_each(view, receivers, message)


def _build_notice(view: Membership, config: ConfigRef) -> PeerMessage:
    """Builds a NOTICE without addresses and membership updates, for hosts that know the sender."""
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
    """Sends the same message to several hosts.

    All effects share one message object, so that the shell encodes it only once.
    """
    view.sequence += 1
    numbered = replace(message, sequence=view.sequence)
    return [
        SendPeerMessage(member.peer_address, numbered)
        for member in receivers
        if member.host != view.me.host
    ]


def build_datagram(
    view: Membership,
    address: Address,
    kind: MessageKind,
    probe_number: int = 0,
    subject: HostId = HostId(""),
    has_heard_subject: bool = False,
    first_updates: tuple[Member, ...] = (),
) -> SendPeerMessage:
    """Builds a datagram with the next sequence number and as many membership updates as fit.

    Args:
      view: The membership view.
      address: Address of the receiver.
      kind: Kind of the message.
      probe_number: Number that pairs an ACK with its PING.
      subject: See `PeerMessage.subject`.
      has_heard_subject: See `PeerMessage.heard_subject`.
      first_updates: Membership updates to include before the pending ones.
    Returns:
      The effect that sends the datagram.
    """
    view.sequence += 1
    message = PeerMessage(
        kind=kind,
        sender=view.me,
        sequence=view.sequence,
        probe_number=probe_number,
        subject=subject,
        heard_subject=has_heard_subject,
        config=view.config,
        members=first_updates + _take_updates(view, UPDATES_PER_DATAGRAM - len(first_updates)),
    )
    return SendPeerMessage(address, message)


def build_ping(
    view: Membership, member: Member, probe_number: int, subject: HostId
) -> SendPeerMessage:
    """Builds a PING.

    If the member is believed to be suspect, leaving or dead, the PING includes that report, so that
    the member can refute it.
    """
    suspicion = (member,) if member.status > MemberStatus.ALIVE else ()
    return build_datagram(
        view,
        member.peer_address,
        MessageKind.PING,
        probe_number=probe_number,
        subject=subject,
        first_updates=suspicion,
    )


def sample_alive(view: Membership, count: int, excluded: HostId) -> list[Member]:
    """Draws up to `count` random members with the status ALIVE, other than `excluded`."""
    alive = [
        record.member
        for host, record in view.records.items()
        if host != excluded and record.member.status is MemberStatus.ALIVE
    ]
    return view.random.sample(alive, min(count, len(alive)))


def _take_updates(view: Membership, room: int) -> tuple[Member, ...]:
    remaining = view.remaining_transmissions
    hosts = heapq.nlargest(max(0, room), remaining, key=remaining.__getitem__)
    for host in hosts:
        view.remaining_transmissions[host] -= 1
        if view.remaining_transmissions[host] <= 0:
            del view.remaining_transmissions[host]
    return tuple(view.records[host].member for host in hosts if host in view.records)
