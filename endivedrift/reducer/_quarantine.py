"""Keeps requests that end their targets from further targets, in the whole fleet.

Hosts tell all others what they observe at their next tick. To make up for datagrams that are late
or lost, and for hosts that start, each host also repeats what it knows to a few others at short
intervals while a request is quarantined, or was suspected lately.
"""

from datetime import timedelta

from endivedrift.core import (
    AuditEntry,
    AuditKind,
    Instant,
    Member,
    RefusalReason,
    RequestDigest,
    RequestId,
    ServiceName,
    SuspectReport,
)
from endivedrift.core.effects import Effect, RecordAudit
from endivedrift.core.events import AttemptFinished
from endivedrift.fleet import list_reachable, send_suspects
from endivedrift.policy import (
    QUARANTINE_MIN_ENDS,
    build_report,
    compute_quarantine_end,
    forget_old_suspects,
    is_known_harmless,
    list_reportable,
    merge_report,
    record_answer,
    record_end,
)
from endivedrift.reducer._refusals import refuse
from endivedrift.reducer._state import HostState, RequestState, draw_repeat_receivers

REPEAT_INTERVAL = timedelta(milliseconds=500)
"""Time between two repetitions. Each host gets two on average, so that nearly every host that
missed a report has it within two seconds."""
REPEAT_TIME = timedelta(seconds=10)
"""Time for which reports on requests that are not quarantined are repeated."""
MAX_REPORTS_PER_DATAGRAM = 16
"""Limit that keeps the reports in one datagram, at up to 400 bytes each."""
MAX_ENDS_PER_ARRIVAL = 2
"""Ends that count against a request each time it arrives. While another request ends targets, all
attempts of a harmless one may be cut off beside it within a second."""
QUARANTINED_RETRY_DELAY = timedelta(minutes=1)
"""Least time after which a caller may retry a request that is quarantined while it waits. New ones
are told how long the quarantine lasts."""
QUARANTINED_DETAIL = "targets ended while they worked on this request"


def refuse_quarantined(
    state: HostState, at: Instant, request: RequestId, pending: RequestState
) -> list[Effect]:
    """Refuses a new request if it is quarantined.

    Returns:
      The refusal, or nothing.
    """
    head = pending.head
    until = compute_quarantine_end(state.quarantine, head.digest, at)
    if until is None:
        return []
    return refuse(
        state,
        at,
        request,
        head,
        RefusalReason.QUARANTINED,
        QUARANTINED_DETAIL,
        until - at,
        key=None if pending.route.route.repeatable else head.key,
        service=pending.service,
    )


def is_quarantined(state: HostState, digest: RequestDigest, at: Instant) -> bool:
    """Tells whether no target may get the request."""
    return compute_quarantine_end(state.quarantine, digest, at) is not None


def judge_attempt(state: HostState, pending: RequestState, event: AttemptFinished) -> list[Effect]:
    """Notes what the end of an attempt says about its request.

    Returns:
      Audit entries.
    """
    digest, quarantine = pending.head.digest, state.quarantine
    if not digest:
        return []
    if event.answer is not None:
        if not record_answer(quarantine, digest, event.at):
            return []
        state.unsent_suspects.add(digest)
        cause = f"{event.target} answered it"
        return [_audit(event.at, AuditKind.REQUEST_CLEARED, digest, cause, event.request)]
    if not event.target_ended or state.path.is_cut:
        return []
    pending.ended_targets += 1
    if pending.ended_targets > MAX_ENDS_PER_ARRIVAL:
        return []
    service = state.services.get(pending.service)
    record = service.targets.get(event.target) if service is not None else None
    started_ms = record.entry.started_ms if record is not None and record.entry is not None else 0
    was_quarantined = is_quarantined(state, digest, event.at)
    counts = record_end(quarantine, digest, event.target, started_ms, event.at)
    if not counts:
        return []
    state.unsent_suspects.add(digest)
    cause = f"{event.target} ended while it worked on it"
    kind = AuditKind.REQUEST_SUSPECTED
    entries = [_audit(event.at, kind, digest, cause, event.request, pending.service)]
    return entries + _audit_quarantine(state, digest, event.at, was_quarantined)


def apply_suspect_reports(
    state: HostState, at: Instant, sender: Member, reports: tuple[SuspectReport, ...]
) -> list[Effect]:
    """Merges the reports of another host, and tells it which of the requests are harmless."""
    effects: list[Effect] = []
    harmless = []
    for report in reports:
        digest, quarantine = report.digest, state.quarantine
        was_quarantined = is_quarantined(state, digest, at)
        cleared = merge_report(quarantine, report, at)
        if cleared:
            cause = f"{sender.host} says that it was answered"
            effects.append(_audit(at, AuditKind.REQUEST_CLEARED, digest, cause))
            if quarantine.suspects[digest].is_own:
                state.unsent_suspects.add(digest)
        if is_known_harmless(quarantine, digest, at):
            record_answer(quarantine, digest, quarantine.answered[digest])
            if report.answer_age is None:
                harmless.append(build_report(quarantine, digest, at))
        effects += _audit_quarantine(state, digest, at, was_quarantined)
    if harmless:
        effects += send_suspects(state.membership, [sender], tuple(harmless))
    return effects


def share_suspects(state: HostState, at: Instant) -> list[Effect]:
    """Tells all hosts what is new, and at intervals a few of them what is known."""
    view = state.membership
    effects: list[Effect] = []
    if state.unsent_suspects:
        digests = sorted(state.unsent_suspects & state.quarantine.suspects.keys())
        state.unsent_suspects.clear()
        receivers = list_reachable(view)
        for first in range(0, len(digests), MAX_REPORTS_PER_DATAGRAM):
            chunk = digests[first : first + MAX_REPORTS_PER_DATAGRAM]
            reports = tuple(build_report(state.quarantine, digest, at) for digest in chunk)
            effects += send_suspects(view, receivers, reports)
    if at >= state.next_suspects_at and state.quarantine.suspects:
        state.next_suspects_at = at + REPEAT_INTERVAL
        forget_old_suspects(state.quarantine, at)
        effects += _repeat_reports(state, at)
    return effects


def _repeat_reports(state: HostState, at: Instant) -> list[Effect]:
    """Sends what is known to a few hosts."""
    view = state.membership
    digests = list_reportable(state.quarantine, at, REPEAT_TIME)
    if not digests:
        return []
    chosen = state.random.sample(digests, min(len(digests), MAX_REPORTS_PER_DATAGRAM))
    reports = tuple(build_report(state.quarantine, digest, at) for digest in chosen)
    return send_suspects(view, draw_repeat_receivers(state), reports)


def _audit_quarantine(
    state: HostState, digest: RequestDigest, at: Instant, was_quarantined: bool
) -> list[Effect]:
    """Records that a request is quarantined now and was not before."""
    if was_quarantined or not is_quarantined(state, digest, at):
        return []
    ends = state.quarantine.suspects[digest].list_counted_ends()[:QUARANTINE_MIN_ENDS]
    cause = f"ended {', '.join(end.target for end in ends)}"
    return [_audit(at, AuditKind.REQUEST_QUARANTINED, digest, cause)]


def _audit(
    at: Instant,
    kind: AuditKind,
    digest: RequestDigest,
    cause: str,
    request: RequestId = RequestId(""),
    service: ServiceName = ServiceName(""),
) -> Effect:
    return RecordAudit(AuditEntry(at, kind, digest.hex(), cause, service, request))
