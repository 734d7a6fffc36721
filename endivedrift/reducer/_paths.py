"""Forwards requests to other hosts while this host reaches no target itself.

A request goes to another primary of its service if this host has lost its paths to all targets, or
if several targets refused the connections of that request. Only one that may still run is
forwarded, and never one that another host has forwarded. Hosts that reply that they reach no target
either are left out for a moment; if that holds for all, the targets are at fault, and requests are
tried here.

The failures of a lost path say nothing of targets. They are reported to other hosts only after
another target was reached, and undone once the path is known to be lost.
"""

from collections.abc import Iterable
from datetime import timedelta

from endivedrift.core import (
    AttemptOutcome,
    AuditEntry,
    AuditKind,
    HostId,
    Instant,
    Member,
    MemberStatus,
    RequestId,
    ServiceName,
    TargetName,
    TargetState,
)
from endivedrift.core.effects import Effect, ForwardToPeer, RecordAudit
from endivedrift.core.events import AttemptFinished
from endivedrift.policy import (
    FAILURE_TTL,
    THIS_HOST,
    ServiceState,
    TargetRecord,
    absolve_of_path,
    absolve_target,
    attribute_failures,
    compute_slow_limit,
    detect_cut,
    forget_old_observations,
    is_reached_elsewhere,
    mark_lost,
    mark_working,
    note_failure,
    note_path_failure,
    note_success,
    record_connection,
    record_failed_connection,
)
from endivedrift.reducer._state import HostState, RequestState, is_primary, list_primaries

MAX_PEERS = 3
"""Hosts to which one request is forwarded, one after the other, until one may serve it."""
PEER_RETRY_DELAY = timedelta(seconds=1)
"""Time for which nothing is forwarded to a host that could not serve a forwarded request."""
MIN_SILENCE = timedelta(milliseconds=100)
"""Time without any answer from which a failure is a reason to look at all targets at once. At a
busy host that reaches targets, doing so after each failure would cost much processor time."""
PATH_OUTCOMES = frozenset(
    {AttemptOutcome.NOT_CONNECTED, AttemptOutcome.CUT, AttemptOutcome.TIMED_OUT}
)
"""Outcomes of attempts of which the path may be the cause."""
_REACHED_OUTCOMES = frozenset(
    {
        AttemptOutcome.ANSWERED,
        AttemptOutcome.SHED,
        AttemptOutcome.DRAINING,
        AttemptOutcome.MISDIRECTED,
    }
)


def note_attempt(state: HostState, event: AttemptFinished) -> list[Effect]:
    """Notes what the end of an attempt says about the paths of this host."""
    effects: list[Effect] = []
    path = state.path
    if event.new_connection and event.outcome in PATH_OUTCOMES:
        # A connection that opens and gets no answer does not show that the path works.
        path.proven_since = None
    elif event.new_connection:
        if record_connection(path, event.at):
            _absolve_failing_since(state, path.last_cut_at)
            cause = f"a connection to {event.target} was opened"
            effects.append(_audit(state, event.at, cause))
    elif event.outcome is AttemptOutcome.NOT_CONNECTED or event.target_ended:
        record_failed_connection(path, event.target, event.at)
    if event.outcome in _REACHED_OUTCOMES:
        path.last_answer_at = event.at
    if (event.new_connection or event.outcome in _REACHED_OUTCOMES) and not path.is_cut:
        _confirm_failures(state)
    if path.failed_at:
        effects += _detect_cut(state, (), event.at)
    return effects


def detect_lost_paths(state: HostState, at: Instant) -> list[Effect]:
    """Notes if this host reaches no target, also by requests that got no answer so far."""
    if state.path.is_cut:
        return []
    return _detect_cut(state, _list_silent_targets(state, at), at)


def _detect_cut(
    state: HostState, silent_targets: Iterable[TargetName], at: Instant
) -> list[Effect]:
    """Notes if this host reaches no target, and undoes what it has blamed targets for."""
    count = sum(len(service.targets) for service in state.services.values())
    if not detect_cut(state.path, silent_targets, count, at):
        return []
    state.unconfirmed_failures.clear()
    for service in state.services.values():
        for record in service.targets.values():
            if record.attempts or at - record.last_failure_at < FAILURE_TTL:
                absolve_target(record)
    return [_audit(state, at, "no target is reached; requests are forwarded to other hosts")]


def _absolve_failing_since(state: HostState, since: Instant) -> None:
    """Undoes the pauses of failures while this host reached no target."""
    for service in state.services.values():
        for record in service.targets.values():
            if record.last_failure_at >= since:
                absolve_target(record)


def may_be_path_failure(event: AttemptFinished) -> bool:
    """Tells whether an attempt failed as all do on a path that is lost."""
    silent = event.outcome in (AttemptOutcome.NOT_CONNECTED, AttemptOutcome.TIMED_OUT)
    return silent or event.target_ended


def hold_back_failure(state: HostState, service: ServiceState, record: TargetRecord) -> None:
    """Keeps the latest failure at a target from other hosts until another target is reached."""
    key = (service.name, TargetName(record.target.name))
    bad, pause = state.unconfirmed_failures.get(key, (0, False))
    failure = (bad + record.unsent_bad, pause or record.unsent_pause)
    state.unconfirmed_failures[key] = failure
    record.unsent_bad, record.unsent_pause = 0, False


def _confirm_failures(state: HostState) -> None:
    """Lets the failures be reported that were held back."""
    failures, state.unconfirmed_failures = state.unconfirmed_failures, {}
    for (name, target), (bad, pause) in failures.items():
        service = state.services.get(name)
        record = service.targets.get(target) if service is not None else None
        if service is None or record is None:
            continue
        record.unsent_bad += bad
        record.unsent_pause |= pause
        if service.service.share_at_once:
            state.changed_targets.setdefault(name, set()).add(target)


def note_target_path(
    state: HostState, service: ServiceState, record: TargetRecord, event: AttemptFinished
) -> list[Effect]:
    """Notes what the end of an attempt says about the path to its target.

    Args:
      state: The host.
      service: The service of the target.
      record: The target, whose evidence and pause already contain the attempt.
      event: The end of the attempt.
    Returns:
      Audit entries, if the path is held to be lost or to work again.
    """
    path, at = record.path, event.at
    if event.outcome in _REACHED_OUTCOMES:
        note_success(path, THIS_HOST, at - event.latency, at)
        if mark_working(path):
            cause = f"the path to {event.target} works again: {event.outcome.value}"
            return [_audit_target(state, service, record, at, cause)]
        return []
    if event.outcome not in PATH_OUTCOMES:
        return []
    path.unsent_unanswered += 1
    was_silent = event.outcome is AttemptOutcome.TIMED_OUT
    note_failure(path, THIS_HOST, at - event.latency if was_silent else at, at)
    if path.lost_at is not None:
        note_path_failure(service, at)
        _absolve_lost(state, service, record)
        return []
    effects = attribute_to_paths(state, service, record, at)
    last = state.path.last_answer_at
    if last is None or at - last >= MIN_SILENCE:
        effects += detect_lost_paths(state, at)
    return effects


def note_silent_attempts(state: HostState, service: ServiceState, at: Instant) -> list[Effect]:
    """Notes requests that are overdue at targets that have answered this host nothing since."""
    effects: list[Effect] = []
    if state.path.is_cut:
        return effects
    for record in service.targets.values():
        path = record.path
        if not record.attempts or path.lost_at is not None:
            continue
        good = path.own_good_start
        starts = [a.started for a in record.attempts.values() if a.overdue_count]
        silent = [start for start in starts if good is None or good <= start]
        if not silent:
            continue
        if not path.fails_here:
            path.unsent_unanswered += 1
            note_failure(path, THIS_HOST, min(silent), at)
            if service.service.share_at_once:
                name = TargetName(record.target.name)
                state.changed_targets.setdefault(service.name, set()).add(name)
        effects += attribute_to_paths(state, service, record, at)
    return effects


def attribute_to_paths(
    state: HostState, service: ServiceState, record: TargetRecord, at: Instant
) -> list[Effect]:
    """Attributes the failures of a minority of hosts at a target to their paths.

    Returns:
      Audit entries for this host's path and, of the others, for the first one that is lost;
      `/state` names all of them.
    """
    effects = []
    is_first = not any(seen.is_path_lost for seen in record.path.observations.values())
    for host in attribute_failures(record.path, at):
        note_path_failure(service, at)
        if host == THIS_HOST:
            mark_lost(record.path, at)
            _absolve_lost(state, service, record)
            record.unsent_in_flight = True
            if service.service.share_at_once:
                name = TargetName(record.target.name)
                state.changed_targets.setdefault(service.name, set()).add(name)
            cause = "the path from this host is at fault: others reach it"
        else:
            absolve_of_path(service, record, host)
            if not is_first:
                continue
            is_first = False
            cause = f"the path from {host} is at fault: others reach it"
        effects.append(_audit_target(state, service, record, at, cause))
    return effects


def forget_old_paths(state: HostState, at: Instant) -> list[Effect]:
    """Drops old observations of paths, and uses paths again that nothing has tried for long."""
    return [
        _audit_target(state, service, record, at, "the path is used again: not tried for long")
        for service in state.services.values()
        for record in service.targets.values()
        if record.path.observations and forget_old_observations(record.path, at)
    ]


def _absolve_lost(state: HostState, service: ServiceState, record: TargetRecord) -> None:
    """Undoes the evidence and pauses that failures of a lost path have caused, and their reports.

    The target counts as healthy, since the floor is one of targets and not of paths.
    """
    absolve_target(record)
    state.unconfirmed_failures.pop((service.name, TargetName(record.target.name)), None)
    if record.state in (TargetState.EJECTED, TargetState.PROBATION):
        record.state = TargetState.HEALTHY


def forward_for_room(
    state: HostState, service: ServiceState, at: Instant, request: RequestId
) -> list[Effect]:
    """Forwards a request for which no target reached from here has room.

    It goes to a host that reaches a target with room. A host that gets no reports cannot know one;
    if it sees targets fail, it forwards to any primary.

    Returns:
      The effect, or nothing if no such host is known.
    """
    pending = state.requests[request]
    peers: set[HostId] = set()
    sees_failures = False
    for name, record in service.targets.items():
        path = record.path
        sees_failures |= path.fails_here
        if path.lost_at is None or record.state is not TargetState.HEALTHY:
            continue
        if name in pending.tried_targets and not pending.route.route.repeatable:
            continue
        has_room = record.count_in_flight(at, False) < service.get_slots(record)
        if record.paused_until <= at and has_room:
            peers |= {host for host in path.observations if path.reaches(host)}
    if not peers and sees_failures and not is_primary(state, service.name):
        return forward_request(state, at, request)
    return forward_request(state, at, request, peers) if peers else []


def forward_request(
    state: HostState, at: Instant, request: RequestId, peers: set[HostId] | None = None
) -> list[Effect]:
    """Forwards a request to another host.

    Args:
      state: The host.
      at: Current time.
      request: The request.
      peers: Hosts to which it may go, or None for all primaries of its service.
    Returns:
      The effect, or nothing if the request must not be forwarded or no host may serve it.
    """
    pending = state.requests[request]
    if pending.head.for_peer or (pending.may_have_run and not pending.route.route.repeatable):
        return []
    if len(pending.asked_peers) >= MAX_PEERS or at >= pending.deadline:
        return []
    if not state.path.is_cut and state.forwarding_blocked.get(pending.service, at) > at:
        return []
    peer = _choose_peer(state, pending, at, peers)
    if peer is None:
        return []
    pending.peer = peer.host
    pending.asked_peers |= {peer.host}
    effect = ForwardToPeer(
        request, peer.host, peer.peer_address, pending.deadline, pending.attempt_count
    )
    return [effect]


def mark_peer_unable(state: HostState, peer: HostId, at: Instant) -> None:
    """Notes that a host could not serve a forwarded request."""
    state.unable_peers[peer] = at + PEER_RETRY_DELAY


def block_forwarding(state: HostState, service: ServiceName, at: Instant) -> None:
    """Notes that another host reached no target of a service either."""
    state.forwarding_blocked[service] = at + PEER_RETRY_DELAY


def _choose_peer(
    state: HostState, pending: RequestState, at: Instant, peers: set[HostId] | None
) -> Member | None:
    """Chooses a primary of the service, since these know the load of its targets."""
    able = [
        member
        for member in list_primaries(state, pending.service)
        if member.host != state.identity.host
        and member.status is MemberStatus.ALIVE
        and member.host not in pending.asked_peers
        and (peers is None or member.host in peers)
        and state.unable_peers.get(member.host, at) <= at
    ]
    return state.random.choice(able) if able else None


def _list_silent_targets(state: HostState, at: Instant) -> list[TargetName]:
    """Lists targets that failed without an answer, or have an overdue request.

    They count only if no target has answered since the failure, or the start of the request. A
    failure counts only if another host has succeeded since, so that it is not the target's.
    """
    last = state.path.last_answer_at
    silent = []
    for name in state.active_services & state.services.keys():
        service = state.services[name]
        limit = compute_slow_limit(service)
        if limit is None:
            continue
        for target, record in service.targets.items():
            failed_at = record.path.own_failed_since if record.path.fails_here else None
            if failed_at is not None and (last is None or last < failed_at):
                if is_reached_elsewhere(record.path):
                    silent.append(target)
                continue
            starts = (attempt.started for attempt in record.attempts.values())
            if any(at - start > limit and (last is None or last < start) for start in starts):
                silent.append(target)
    return silent


def _audit(state: HostState, at: Instant, cause: str) -> Effect:
    return RecordAudit(AuditEntry(at, AuditKind.PATH_CHANGED, state.identity.host, cause))


def _audit_target(
    state: HostState, service: ServiceState, record: TargetRecord, at: Instant, cause: str
) -> Effect:
    """Records that a path between some host and a target is lost or works again."""
    name = record.target.name
    return RecordAudit(AuditEntry(at, AuditKind.PATH_CHANGED, name, cause, service.name))
