"""Takes in the word on a member, passes it on, and denies rumours of this host's failure."""

import math
from dataclasses import replace

from endivedrift.core import (
    AuditEntry,
    AuditKind,
    Incarnation,
    Instant,
    Member,
    MemberStatus,
    MessageKind,
)
from endivedrift.core.effects import Effect, RecordAudit
from endivedrift.fleet._datagrams import sample_alive, send_datagram
from endivedrift.fleet._view import MemberRecord, Membership

NEWS_FACTOR = 3


INDIRECT_HELPERS = 3


def learn_member(view: Membership, at: Instant, member: Member) -> list[Effect]:
    """Takes in the word on a member where it is newer than what is known."""
    if member.host == view.me.host:
        return _refute_report(view, member)
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
        record.last_heard = None
        record.hears_us = None
        record.sequence = 0
    record.member = member
    if previous.status is member.status and previous.incarnation == member.incarnation:
        view.remaining_transmissions[member.host] = _count_transmissions(view)
        return []
    record.since = at
    return _spread(view, at, member, f"was {previous.status.name.lower()}")


def _spread(view: Membership, at: Instant, member: Member, cause: str) -> list[Effect]:
    view.version += 1
    view.remaining_transmissions[member.host] = _count_transmissions(view)
    text = f"{member.status.name.lower()}, incarnation {member.incarnation:x}; {cause}"
    return [RecordAudit(AuditEntry(at, AuditKind.MEMBER_CHANGED, member.host, text))]


def _refute_report(view: Membership, rumour: Member) -> list[Effect]:
    me = view.me
    if rumour.incarnation > me.incarnation:
        incarnation = Incarnation(rumour.incarnation + 1 + view.random.getrandbits(16))
        view.own_incarnations.add(incarnation)
        view.me = replace(me, incarnation=incarnation, refutations=0)
        view.sequence = 0
    elif rumour.incarnation == me.incarnation and rumour.precedence() > me.precedence():
        view.me = replace(me, refutations=rumour.refutations + 1)
    if view.me is me:
        return []
    receivers = sample_alive(view, INDIRECT_HELPERS, me.host)
    return [send_datagram(view, member.peer_address, MessageKind.NOTICE) for member in receivers]


def _count_transmissions(view: Membership) -> int:
    return NEWS_FACTOR * (1 + math.ceil(math.log2(len(view.records) + 1)))
