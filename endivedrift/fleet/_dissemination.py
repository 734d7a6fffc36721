"""Dissemination of membership reports.

A report on a member that is newer than the known one is applied and then passed on in a number of
datagrams that grows with the logarithm of the fleet's size. A host refutes reports of its own
failure.
"""

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
from endivedrift.fleet._datagrams import build_datagram, sample_alive
from endivedrift.fleet._membership import MemberRecord, Membership

TRANSMISSION_FACTOR = 3
"""Number of further datagrams that include a report for each doubling of the number of hosts."""
GOSSIP_FANOUT = 3
"""Hosts that are asked to probe indirectly, sent a refutation, or contacted as seeds."""


def apply_report(view: Membership, at: Instant, report: Member) -> list[Effect]:
    """Applies a report on a member if it is newer than the known one.

    Args:
      view: The membership view.
      at: Current time.
      report: The report.
    Returns:
      Audit entries, or the datagrams that refute a report on this host.
    """
    if report.host == view.me.host:
        return _refute_report(view, report)
    record = view.records.get(report.host)
    if record is None:
        if report.status is MemberStatus.DEAD:
            return []
        view.records[report.host] = MemberRecord(report, at)
        view.probe_order.insert(view.random.randint(0, len(view.probe_order)), report.host)
        return _disseminate_change(view, at, report, "joined")
    if report.precedence() <= record.member.precedence():
        return []
    previous = record.member
    if report.incarnation > previous.incarnation:
        record.last_heard = None
        record.hears_us = None
        record.sequence = 0
    record.member = report
    if previous.status is report.status and previous.incarnation == report.incarnation:
        view.remaining_transmissions[report.host] = _count_transmissions(view)
        return []
    record.status_since = at
    return _disseminate_change(view, at, report, f"was {previous.status.name.lower()}")


def _disseminate_change(view: Membership, at: Instant, member: Member, cause: str) -> list[Effect]:
    """Schedules the transmission of a change and records it in the audit trail."""
    view.version += 1
    view.remaining_transmissions[member.host] = _count_transmissions(view)
    text = f"{member.status.name.lower()}, incarnation {member.incarnation:x}; {cause}"
    return [RecordAudit(AuditEntry(at, AuditKind.MEMBER_CHANGED, member.host, text))]


def _refute_report(view: Membership, report: Member) -> list[Effect]:
    """Makes this host's own record newer than a newer report on it, and notifies a few hosts.

    If the report has a later incarnation than this process, the process takes a still later one.
    """
    me = view.me
    if report.incarnation > me.incarnation:
        incarnation = Incarnation(report.incarnation + 1 + view.random.getrandbits(16))
        view.own_incarnations.add(incarnation)
        view.me = replace(me, incarnation=incarnation, refutations=0)
        view.sequence = 0
    elif report.incarnation == me.incarnation and report.precedence() > me.precedence():
        view.me = replace(me, refutations=report.refutations + 1)
    if view.me is me:
        return []
    receivers = sample_alive(view, GOSSIP_FANOUT, me.host)
    return [build_datagram(view, member.peer_address, MessageKind.NOTICE) for member in receivers]


def _count_transmissions(view: Membership) -> int:
    return TRANSMISSION_FACTOR * (1 + math.ceil(math.log2(len(view.records) + 1)))
