"""Keeps to the limits that targets state, together with the other hosts.

A target states its limit to the hosts that it answers. These tell all others at their next tick.
Every host repeats what it knows to a few others, so that one that missed a report or has just
started knows the limit soon. The primaries of a service also repeat it to each other, with the
requests that arrive at them, from which each computes its share of the limit. The latest answer
that states a limit or none counts, at whatever host it arrived.
"""

from datetime import timedelta

from endivedrift.core import (
    NO_RATE_LIMIT,
    AuditEntry,
    AuditKind,
    FailureDomain,
    Instant,
    Member,
    RateLimitReport,
    ServiceName,
    TargetName,
)
from endivedrift.core.effects import Effect, RecordAudit
from endivedrift.core.events import AttemptFinished
from endivedrift.fleet import list_reachable, select_near_hosts, send_rate_limits
from endivedrift.policy import (
    RateLimit,
    ReportedDemand,
    ServiceState,
    TargetRecord,
    set_share,
    update_rate_limit,
)
from endivedrift.reducer._state import (
    HostState,
    draw_repeat_receivers,
    is_primary,
    list_primaries,
)

REPEAT_INTERVAL = timedelta(milliseconds=500)
"""Time between two repetitions: a quarter of the time for which a report is valid."""
WITHDRAWN_REPEAT_TIME = timedelta(seconds=10)
"""Time for which the withdrawal of a limit is repeated."""
REPORT_DELAY = timedelta(milliseconds=100)
"""Time by which a report counts as older than it states, since datagrams take time. A host relies
on its own answers rather than on reports on answers of the same moment."""
MAX_REPORTS_PER_DATAGRAM = 32
"""Limit that keeps the reports in one datagram, at up to 200 bytes each."""


def note_rate_limit(
    state: HostState, service: ServiceState, record: TargetRecord, event: AttemptFinished
) -> list[AuditEntry]:
    """Notes what an answer states on the limit of its target.

    Returns:
      An audit entry if the limit has changed.
    """
    assert event.rate_limit is not None
    cause = f"states {_describe(event.rate_limit)}"
    changed = _learn(state, service, record, event.rate_limit, event.at, event.at)
    if not changed:
        return []
    state.unsent_limits.add((service.name, event.target))
    return [_audit(event.at, event.target, cause, service.name)]


def apply_rate_limit_reports(
    state: HostState, at: Instant, sender: Member, reports: tuple[RateLimitReport, ...]
) -> list[Effect]:
    """Applies what another host knows of limits, and its demand."""
    effects: list[Effect] = []
    for report in reports:
        service = state.services.get(report.service)
        record = service.targets.get(report.target) if service is not None else None
        if service is None or record is None or report.started_ms != record.started_ms:
            continue
        stated_at = at - report.age - REPORT_DELAY
        if _learn(state, service, record, report.requests_per_s, stated_at, at):
            cause = f"states {_describe(report.requests_per_s)}, as {sender.host} says"
            effects.append(RecordAudit(_audit(at, report.target, cause, service.name)))
        if record.rate_limit is not None:
            record.rate_limit.demands[sender.host] = ReportedDemand(report.demand_per_s, at)
    return effects


def advance_rate_limits(state: HostState, at: Instant) -> list[Effect]:
    """Updates this host's shares, and tells other hosts what is new or due to be repeated."""
    effects: list[Effect] = []
    if state.unsent_limits:
        changed, state.unsent_limits = state.unsent_limits, set()
        reports = _build_reports(state, at, changed)
        effects += _send(state, list_reachable(state.membership), reports)
    if state.limited_targets and at >= state.next_limits_at:
        state.next_limits_at = at + REPEAT_INTERVAL
        _update_shares(state, at)
        effects += _repeat_reports(state, at)
    return effects


def _update_shares(state: HostState, at: Instant) -> None:
    """Updates this host's share of each limit, and forgets targets that are gone."""
    for name, targets in list(state.limited_targets.items()):
        service = state.services.get(name)
        limits = _list_limits(service, targets) if service is not None else {}
        if service is None or not limits:
            del state.limited_targets[name]
            continue
        state.limited_targets[name] = set(limits)
        for target, limit in limits.items():
            _update_share(state, service, target, limit, at)


def _learn(
    state: HostState,
    service: ServiceState,
    record: TargetRecord,
    requests_per_s: float,
    stated_at: Instant,
    at: Instant,
) -> bool:
    """Applies a statement of a target, and tells whether that changed its limit."""
    known = record.rate_limit
    before = known.requests_per_s if known is not None else None
    record.rate_limit = update_rate_limit(known, requests_per_s, stated_at, at)
    if record.rate_limit is None or record.rate_limit.requests_per_s == before:
        return False
    target = TargetName(record.target.name)
    state.limited_targets.setdefault(service.name, set()).add(target)
    _update_share(state, service, target, record.rate_limit, at)
    return True


def _update_share(
    state: HostState, service: ServiceState, target: TargetName, limit: RateLimit, at: Instant
) -> None:
    if not limit.is_in_force:
        return
    me = state.identity.host
    if not is_primary(state, service.name):
        set_share(limit, me, (), 0.0, at)
        return
    domain = FailureDomain(service.targets[target].target.failure_domain)
    primaries = list_primaries(state, service.name)
    holders = select_near_hosts(target, primaries, domain, limit.holder_count)
    demand = service.recent_outcomes.estimate_rate_per_s(at)
    set_share(limit, me, holders, demand, at)


def _repeat_reports(state: HostState, at: Instant) -> list[Effect]:
    """Repeats reports among the primaries of their services, and some to a few other hosts."""
    effects: list[Effect] = []
    all_reports: list[RateLimitReport] = []
    for name, targets in sorted(state.limited_targets.items()):
        reports = _build_reports(state, at, {(name, target) for target in targets})
        if is_primary(state, name):
            effects += _send(state, list(list_primaries(state, name)), reports)
        all_reports += reports
    count = min(len(all_reports), MAX_REPORTS_PER_DATAGRAM)
    chosen = state.random.sample(all_reports, count)
    return effects + _send(state, draw_repeat_receivers(state), chosen)


def _build_reports(
    state: HostState, at: Instant, subjects: set[tuple[ServiceName, TargetName]]
) -> list[RateLimitReport]:
    reports = []
    for name, target in sorted(subjects):
        service = state.services.get(name)
        record = service.targets.get(target) if service is not None else None
        limit = record.rate_limit if record is not None else None
        if service is None or record is None or limit is None:
            continue
        age = max(timedelta(0), at - limit.stated_at)
        if not limit.is_in_force and age >= WITHDRAWN_REPEAT_TIME:
            continue
        demand = service.recent_outcomes.estimate_rate_per_s(at)
        reports.append(
            RateLimitReport(name, target, record.started_ms, limit.requests_per_s, age, demand)
        )
    return reports


def _send(
    state: HostState, receivers: list[Member], reports: list[RateLimitReport]
) -> list[Effect]:
    effects: list[Effect] = []
    for first in range(0, len(reports), MAX_REPORTS_PER_DATAGRAM):
        chunk = tuple(reports[first : first + MAX_REPORTS_PER_DATAGRAM])
        effects += send_rate_limits(state.membership, receivers, chunk)
    return effects


def _list_limits(service: ServiceState, targets: set[TargetName]) -> dict[TargetName, RateLimit]:
    """Returns the limits of those targets that are still registered as the same process."""
    known = {}
    for name in sorted(targets & service.targets.keys()):
        limit = service.targets[name].rate_limit
        if limit is not None:
            known[name] = limit
    return known


def _describe(requests_per_s: float) -> str:
    return f"{requests_per_s:g}/s" if requests_per_s != NO_RATE_LIMIT else "no limit"


def _audit(at: Instant, target: TargetName, cause: str, service: ServiceName) -> AuditEntry:
    return AuditEntry(at, AuditKind.RATE_LIMIT_CHANGED, target, cause, service)
