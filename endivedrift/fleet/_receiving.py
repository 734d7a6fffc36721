"""Processes the datagrams of other hosts and answers them."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from endivedrift.core import Address, HostId, Instant, MemberStatus, MessageKind, PeerMessage
from endivedrift.core.effects import Effect
from endivedrift.fleet._datagrams import UPDATES_PER_DATAGRAM, build_datagram, build_ping
from endivedrift.fleet._dissemination import apply_report
from endivedrift.fleet._membership import MemberRecord, Membership, Relay

HEARD_WINDOW = timedelta(seconds=15)
"""Time after a host's last datagram within which the host counts as heard."""


def receive_message(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> tuple[bool, list[Effect]]:
    """Processes a datagram from another host.

    A replayed or outdated datagram is ignored, and so is one without addresses from a host
    incarnation that is not known yet.

    Args:
      view: The membership view.
      at: Current time.
      source: Address from which it was sent.
      message: The authenticated datagram.
    Returns:
      Whether the datagram was accepted; and the datagrams to send and audit entries.
    """
    sender = message.sender
    if sender.host == view.me.host:
        return False, []
    known = view.records.get(sender.host)
    if known is not None and not _is_fresh(known, message):
        return False, []
    if sender.omits_addresses:
        if known is None or known.member.incarnation != sender.incarnation:
            return False, []
        sender = replace(known.member, refutations=sender.refutations, status=sender.status)
    effects: list[Effect] = list(apply_report(view, at, sender))
    record = view.records[sender.host]
    record.last_heard = at
    record.sequence = message.sequence
    for member in message.members:
        effects += apply_report(view, at, member)
    effects += _HANDLERS[message.kind](view, at, source, message)
    return True, effects


def _is_fresh(known: MemberRecord, message: PeerMessage) -> bool:
    """Tells whether a message was sent after the last one received from the same host."""
    if message.sender.incarnation != known.member.incarnation:
        return message.sender.incarnation > known.member.incarnation
    return message.sequence > known.sequence


def _handle_ping(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> list[Effect]:
    has_heard_subject = _heard_recently(view, at, message.subject)
    sender = view.records[message.sender.host].member
    reply = build_datagram(
        view,
        message.sender.peer_address,
        MessageKind.ACK,
        probe_number=message.probe_number,
        subject=message.subject,
        has_heard_subject=has_heard_subject,
        first_updates=(sender,) if sender.status > MemberStatus.ALIVE else (),
    )
    return [reply]


def _handle_ack(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> list[Effect]:
    relay = view.relays.get(message.probe_number)
    if relay is not None and message.sender.host == relay.subject:
        del view.relays[message.probe_number]
        forwarded_ack = build_datagram(
            view,
            relay.requester,
            MessageKind.ACK,
            probe_number=relay.requester_probe_number,
            subject=relay.subject,
            has_heard_subject=message.heard_subject,
            first_updates=(message.sender,),
        )
        return [forwarded_ack]
    probe = view.probes.get(message.probe_number)
    if probe is None or probe.host not in (message.sender.host, message.subject):
        return []
    del view.probes[message.probe_number]
    record = view.records.get(probe.host)
    if record is not None:
        is_forwarded = message.sender.host != probe.host
        record.hears_us = message.heard_subject if is_forwarded else True
    return []


def _handle_ping_request(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> list[Effect]:
    record = view.records.get(message.subject)
    if record is None:
        return []
    view.last_probe_number += 1
    requester = message.sender
    view.relays[view.last_probe_number] = Relay(
        requester.peer_address, message.subject, message.probe_number, at
    )
    return [build_ping(view, record.member, view.last_probe_number, requester.host)]


def _handle_sync_request(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> list[Effect]:
    members = [record.member for record in view.records.values()]
    chunks = [
        tuple(members[i : i + UPDATES_PER_DATAGRAM])
        for i in range(0, max(1, len(members)), UPDATES_PER_DATAGRAM)
    ]
    receiver = message.sender.peer_address
    return [
        build_datagram(view, receiver, MessageKind.NOTICE, first_updates=chunk) for chunk in chunks
    ]


def _handle_notice(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> list[Effect]:
    return []


_Handler = Callable[[Membership, Instant, Address, PeerMessage], list[Effect]]


_HANDLERS: dict[MessageKind, _Handler] = {
    MessageKind.PING: _handle_ping,
    MessageKind.ACK: _handle_ack,
    MessageKind.PING_REQUEST: _handle_ping_request,
    MessageKind.SYNC_REQUEST: _handle_sync_request,
    MessageKind.NOTICE: _handle_notice,
}


def _heard_recently(view: Membership, at: Instant, host: HostId) -> bool:
    record = view.records.get(host)
    return (
        record is not None
        and record.last_heard is not None
        and at - record.last_heard < HEARD_WINDOW
    )
