"""Forwards requests to other hosts that reach targets, or that have retries for them.

A request goes to another primary of its service if this host has lost its paths to all targets, or
if several targets refused the connections of that request. It also goes to a primary if an attempt
has failed at a host that is not one, and that has no retry left. Only a request that may still run
is forwarded, and never one that another host has forwarded. Hosts that reply that they reach no
target either are left out for a moment; if that holds for all, the targets are at fault, and
requests are tried here.

The failures of a lost path say nothing of targets. They are reported to other hosts only after
another target was reached, and undone once the path is known to be lost.
"""

from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

from endivedrift.core import (
    ANY_VERSION,
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
    Version,
)
from endivedrift.core.effects import Effect, ForwardToPeer, RecordAudit
from endivedrift.core.events import AttemptFinished
from endivedrift.policy import (
    FAILURE_TTL,
    ServiceState,
    TargetRecord,
    absolve_target,
    compute_slow_limit,
    detect_cut,
    record_connection,
    record_failed_connection,
)
from endivedrift.reducer._state import (
    HostState,
    RequestState,
    list_entry_hosts,
    list_primaries,
)

MAX_PEERS = 3
"""Hosts to which one request is forwarded, one after the other, until one may serve it."""
PEER_RETRY_DELAY = timedelta(seconds=1)
"""Time for which nothing is forwarded to a host that could not serve a forwarded request."""
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
    if event.new_connection:
        if record_connection(path):
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
    return [] if state.path.is_cut else _detect_cut(state, _list_silent_targets(state, at), at)


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


def forward_request(state: HostState, at: Instant, request: RequestId) -> list[Effect]:
    """Forwards a request to another host.

    The host must have the same object set in force, as for a retry that is handed over. Only a host
    that reaches no target leaves it open, since it may not hear of newer sets either.

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
    peer = _choose_peer(state, pending, at, list_primaries(state, pending.service))
    if peer is None:
        return []
    version = ANY_VERSION if state.path.is_cut else state.config.version
    return [_forward(pending, request, peer, version)]


def _forward(
    pending: RequestState, request: RequestId, peer: Member, config_version: Version
) -> ForwardToPeer:
    pending.peer = peer.host
    pending.asked_peers |= {peer.host}
    return ForwardToPeer(
        request,
        peer.host,
        peer.peer_address,
        pending.deadline,
        pending.attempt_count,
        config_version,
    )


def hand_over_retry(state: HostState, at: Instant, request: RequestId) -> list[Effect]:
    """Forwards a request to a primary of its service, which takes the retry from its own budget.

    The primary must have the same object set in force. With an older or a newer one, it could serve
    the request otherwise than this host has served or will serve another.

    Returns:
      The effect, or nothing if there is no such host.
    """
    pending = state.requests[request]
    if len(pending.asked_peers) >= MAX_PEERS:
        return []
    near = list_entry_hosts(state, pending.service, state.identity.failure_domain)
    peer = _choose_peer(state, pending, at, near) or _choose_peer(
        state, pending, at, list_primaries(state, pending.service)
    )
    if peer is None:
        return []
    effect = _forward(pending, request, peer, state.config.version)
    return [replace(effect, takes_retry=True)]


def mark_peer_unable(state: HostState, peer: HostId, at: Instant) -> None:
    """Notes that a host could not serve a forwarded request."""
    state.unable_peers[peer] = at + PEER_RETRY_DELAY


def block_forwarding(state: HostState, service: ServiceName, at: Instant) -> None:
    """Notes that another host reached no target of a service either."""
    state.forwarding_blocked[service] = at + PEER_RETRY_DELAY


def _choose_peer(
    state: HostState, pending: RequestState, at: Instant, primaries: tuple[Member, ...]
) -> Member | None:
    """Chooses one of the primaries of a service, since these know the load of its targets."""
    able = [
        member
        for member in primaries
        if member.host != state.identity.host
        and member.status is MemberStatus.ALIVE
        and member.host not in pending.asked_peers
        and state.unable_peers.get(member.host, at) <= at
    ]
    return state.random.choice(able) if able else None


def _list_silent_targets(state: HostState, at: Instant) -> list[TargetName]:
    """Lists targets with an overdue request since whose start no target has answered."""
    last = state.path.last_answer_at
    silent = []
    for name in state.active_services & state.services.keys():
        service = state.services[name]
        limit = compute_slow_limit(service)
        if limit is None:
            continue
        for target, record in service.targets.items():
            starts = (attempt.started for attempt in record.attempts.values())
            if any(at - start > limit and (last is None or last < start) for start in starts):
                silent.append(target)
    return silent


def _audit(state: HostState, at: Instant, cause: str) -> Effect:
    return RecordAudit(AuditEntry(at, AuditKind.PATH_CHANGED, state.identity.host, cause))
