"""Starts hedges: second attempts at other targets while the first ones are late.

A hedge is an attempt like any other: it takes a retry from the budget, counts toward the greatest
number of attempts and occupies a slot. It starts only where it delays nobody else: while no request
of the service is queued, the service is not slow as a whole, and a target leaves a slot free beside
it. `_attempts` handles the end of both attempts.
"""

from datetime import timedelta

from endivedrift.core import HostPhase, Instant, TargetName, TargetState
from endivedrift.core.effects import Effect, StartHedge
from endivedrift.core.events import HedgeDue
from endivedrift.policy import (
    ServiceState,
    choose_target,
    is_service_slow,
    observe_late,
)
from endivedrift.reducer._attempts import begin_attempt, has_retry_left
from endivedrift.reducer._state import HostState, RequestState


def start_hedge(state: HostState, event: HedgeDue) -> list[Effect]:
    """Starts a hedge of a request whose first attempt is late, if that is allowed and helps.

    Args:
      state: The host.
      event: The first attempt and its target.
    Returns:
      The hedge, or nothing.
    """
    pending = state.requests.get(event.request)
    service = state.services.get(pending.service) if pending is not None else None
    if pending is None or service is None or service.hedging is None:
        return []
    if pending.target != event.target or not pending.is_measured:
        return []
    pending.is_measured = False
    observe_late(service.hedging, pending.route.name, event.at)
    if not _may_hedge(state, service, pending, event.at):
        return []
    target = _choose_target(state, service, pending, event.at)
    if target is None or not _take_hedge(service, pending, event.at):
        return []
    pending.hedge_target = target
    return [StartHedge(begin_attempt(state, service, event.at, event.request, target))]


def _may_hedge(state: HostState, service: ServiceState, pending: RequestState, at: Instant) -> bool:
    """Tells whether a request may have two attempts, and whether the service has room for them.

    A request that is suspected of ending its targets is not hedged either, since a hedge could end
    one more target before it is quarantined.
    """
    assert service.hedging is not None
    if not pending.route.route.repeatable or pending.key_withdrawn:
        return False
    if pending.holds_retry or pending.reserved_target is not None:
        return False
    if state.phase is HostPhase.LEAVING or state.path.is_cut:
        return False
    if pending.head.digest in state.quarantine.suspects:
        return False
    if service.queued_count or not has_retry_left(service, pending, at):
        return False
    known = pending.route.name in service.hedging.routes
    return known and not is_service_slow(service.hedging, pending.route.name)


def _take_hedge(service: ServiceState, pending: RequestState, at: Instant) -> bool:
    """Takes a token from the hedges of the route and one from the retry budget, or neither."""
    assert service.hedging is not None
    budget = service.hedging.routes[pending.route.name].budget
    return budget.has_token(at) and service.retry_budget.take(at) and budget.take(at)


def _choose_target(
    state: HostState, service: ServiceState, pending: RequestState, at: Instant
) -> TargetName | None:
    """Chooses a healthy target at which a slot stays free beside the hedge.

    The last free slot of a target is left to requests that have no other attempt. Targets that
    failed lately are left out, and the request has not waited for one of them.
    """
    name = choose_target(
        service,
        state.identity.failure_domain,
        pending.tried_targets,
        True,
        state.random,
        at,
        timedelta(0),
    )
    if name is None:
        return None
    record = service.targets[name]
    shares = service.service.share_at_once
    slots = service.get_slots(record) if shares else service.limit_per_target
    is_sound = (
        record.state is TargetState.HEALTHY and max(record.paused_until, record.avoided_until) <= at
    )
    return name if is_sound and record.count_in_flight(at) < max(1, slots - 1) else None
