"""Takes in the datagrams of other hosts and answers them."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from endivedrift.core import Address, HostId, Instant, MemberStatus, MessageKind, PeerMessage
from endivedrift.core.effects import Effect
from endivedrift.fleet._datagrams import NEWS_PER_DATAGRAM, ping_member, send_datagram
from endivedrift.fleet._dissemination import learn_member
from endivedrift.fleet._view import MemberRecord, Membership, Relay

HEARD_WINDOW = timedelta(seconds=15)


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
    if sender.is_brief:
        if known is None or known.member.incarnation != sender.incarnation:
            return False, []
        sender = replace(known.member, refutations=sender.refutations, status=sender.status)
    effects: list[Effect] = list(learn_member(view, at, sender))
    record = view.records[sender.host]
    record.last_heard = at
    record.sequence = message.sequence
    for member in message.members:
        effects += learn_member(view, at, member)
    effects += _HANDLERS[message.kind](view, at, source, message)
    return True, effects


def _is_fresh(known: MemberRecord, message: PeerMessage) -> bool:
    if message.sender.incarnation != known.member.incarnation:
        return message.sender.incarnation > known.member.incarnation
    return message.sequence > known.sequence


def _take_ping(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> list[Effect]:
    heard = _heard_lately(view, at, message.subject)
    sender = view.records[message.sender.host].member
    reply = send_datagram(
        view,
        message.sender.peer_address,
        MessageKind.ACK,
        probe=message.probe_number,
        subject=message.subject,
        heard=heard,
        first=(sender,) if sender.status > MemberStatus.ALIVE else (),
    )
    return [reply]


def _take_ack(view: Membership, at: Instant, source: Address, message: PeerMessage) -> list[Effect]:
    relay = view.relays.get(message.probe_number)
    if relay is not None and message.sender.host == relay.subject:
        del view.relays[message.probe_number]
        effect = send_datagram(
            view,
            relay.requester,
            MessageKind.ACK,
            probe=relay.probe,
            subject=relay.subject,
            heard=message.heard_subject,
            first=(message.sender,),
        )
        return [effect]
    probe = view.probes.get(message.probe_number)
    if probe is None or probe.host not in (message.sender.host, message.subject):
        return []
    del view.probes[message.probe_number]
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
        requester.peer_address, message.subject, message.probe_number, at
    )
    return [ping_member(view, record.member, view.probe_count, requester.host)]


def _take_sync_request(
    view: Membership, at: Instant, source: Address, message: PeerMessage
) -> list[Effect]:
    members = [record.member for record in view.records.values()]
    chunks = [
        tuple(members[i : i + NEWS_PER_DATAGRAM])
        for i in range(0, max(1, len(members)), NEWS_PER_DATAGRAM)
    ]
    receiver = message.sender.peer_address
    return [send_datagram(view, receiver, MessageKind.NOTICE, first=chunk) for chunk in chunks]


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
    return (
        record is not None
        and record.last_heard is not None
        and at - record.last_heard < HEARD_WINDOW
    )
