"""Handles the arrival of requests, the end of waits in the queue, and callers that disconnect."""

from datetime import timedelta

from endivedrift.core import (
    ANY_VERSION,
    NO_CONFIG,
    RefusalReason,
    ServiceName,
)
from endivedrift.core.effects import AbandonRequest, Effect
from endivedrift.core.events import CallerDisconnected, QueueWaitExpired, RequestArrived
from endivedrift.fleet import NamedRoute, find_route
from endivedrift.policy import admits_request, advance_date, remove_queued_request
from endivedrift.reducer._accounts import check_caller, get_priority
from endivedrift.reducer._attempts import admit, end_with_refusal, refuse_queued
from endivedrift.reducer._keyed import start_keyed_request
from endivedrift.reducer._quarantine import refuse_quarantined
from endivedrift.reducer._quotas import charge_account, explain_refusal
from endivedrift.reducer._refusals import refuse
from endivedrift.reducer._state import HostState, RequestState

NO_CONFIG_RETRY_DELAY = timedelta(seconds=1)
TURNS_FROM_SENDING = 2
"""Turns of the event loop from the arrival of a target's answer until the caller is sent it."""
GOLDEN_RATIO = (5.0**0.5 - 1.0) / 2.0


def start_request(state: HostState, event: RequestArrived) -> list[Effect]:
    """Routes a new request, checks its caller and key, and admits or refuses it.

    Args:
      state: The host.
      event: The arrival.
    Returns:
      The effects. The request is in `state.requests` unless it was refused.
    """
    advance_date(state.keys, event.wall)
    head = event.head
    if state.config == NO_CONFIG:
        detail = "this host has no configuration yet"
        reason = RefusalReason.NO_CONFIGURATION
        return refuse(
            state,
            event.at,
            event.request,
            head,
            reason,
            detail,
            NO_CONFIG_RETRY_DELAY,
            key=head.key,
        )
    if head.config_version not in (ANY_VERSION, state.config.version):
        detail = f"this host has version {state.config.version} in force"
        reason = RefusalReason.NO_CONFIGURATION
        return refuse(state, event.at, event.request, head, reason, detail, timedelta(0))
    found = find_route(state.routes, head.method, head.path, head.host)
    if found is None:
        detail = f"no route for {head.method} {head.host}{head.path}"
        return refuse(state, event.at, event.request, head, RefusalReason.NO_ROUTE, detail)
    refusal = check_caller(state, event, found) or _check_key(state, event, found)
    if refusal:
        return refusal
    time_limit = found.route.deadline
    if head.caller_timeout is not None:
        time_limit = min(time_limit, head.caller_timeout)
    if state.serves_until is not None and event.at + time_limit > state.serves_until:
        detail = "this host stops before the request would have to end"
        reason, retry = RefusalReason.STOPPING, timedelta(0)
        return refuse(state, event.at, event.request, head, reason, detail, retry, key=head.key)
    # The time limit counts from when the request reached this host's socket.
    waited = event.waited + state.overload.lasting_lag
    pending = RequestState(
        head,
        found,
        event.at,
        event.at + time_limit - waited,
        attempt_count=head.earlier_attempts,
        split_service=_choose_split_service(state, found),
        priority=get_priority(state, head, found),
    )
    refusal = refuse_quarantined(state, event.at, event.request, pending)
    refusal = refusal or _refuse_overload(state, event, pending, time_limit)
    if refusal:
        return refusal
    refusal = _charge(state, event, pending)
    if refusal:
        return refusal
    service = state.services.get(pending.service)
    if head.takes_retry and service is not None and not service.retry_budget.take(event.at):
        detail = "no retry is left here either"
        return refuse(
            state,
            event.at,
            event.request,
            head,
            RefusalReason.NO_RETRY,
            detail,
            timedelta(0),
            service=pending.service,
        )
    state.requests[event.request] = pending
    if head.key is not None and not found.route.repeatable:
        return start_keyed_request(state, event.at, event.request, head.key)
    return admit(state, event.at, event.request)


def _refuse_overload(
    state: HostState, event: RequestArrived, pending: RequestState, time_limit: timedelta
) -> list[Effect]:
    """Refuses a request for which this host is short of processor time.

    A request that another host has forwarded is admitted, since that host has admitted it.
    """
    head, overload = pending.head, state.overload
    if head.forwarded or head.for_peer:
        return []
    is_admitted = admits_request(overload, pending.priority, state.random)
    needed = timedelta(0)
    service = state.services.get(pending.service)
    if overload.is_late and service is not None:
        needed = service.typical_latency + overload.lasting_lag * TURNS_FROM_SENDING
    is_too_late = event.at + needed >= pending.deadline and needed < time_limit
    if is_admitted and not is_too_late:
        return []
    lag = overload.lasting_lag
    detail = f"this host is short of processor time and {lag.total_seconds():.2f} s late"
    if is_admitted and not overload.is_late:
        # It waited behind another request of its connection, or while the process was paused.
        detail = f"its time ended while it waited here for {event.waited.total_seconds():.2f} s"
    key = None if pending.route.route.repeatable else head.key
    reason = RefusalReason.OVERLOADED
    return refuse(
        state, event.at, event.request, head, reason, detail, lag, key=key, service=pending.service
    )


def _charge(state: HostState, event: RequestArrived, pending: RequestState) -> list[Effect]:
    """Charges a request to the quota of its account, and returns the refusal if there is no room.

    This is the last check, so that a request that is refused for another reason costs nothing. A
    request that another host has forwarded was charged there.
    """
    head = pending.head
    if head.forwarded or head.for_peer or head.caller is None:
        return []
    wait = charge_account(state, event.at, head.caller)
    if wait is None:
        pending.charged_account = head.caller
        return []
    detail = explain_refusal(state, event.at, head.caller)
    key = None if pending.route.route.repeatable else head.key
    reason = RefusalReason.CALLER_LIMIT
    return refuse(
        state, event.at, event.request, head, reason, detail, wait, key=key, service=pending.service
    )


def expire_queued(state: HostState, event: QueueWaitExpired) -> list[Effect]:
    """Refuses a request that is still queued at the end of its maximum time in the queue."""
    pending = state.requests.get(event.request)
    if pending is None or pending.target is not None:
        return []
    service = state.services.get(pending.service)
    if service is None or not remove_queued_request(service, event.request):
        return []
    return refuse_queued(state, service, event.at, event.request)


def handle_disconnect(state: HostState, event: CallerDisconnected) -> list[Effect]:
    """Stops the request of a caller that disconnected, unless its outcome would become uncertain.

    A request that is not repeatable and is in progress at a target continues, so that its answer is
    available when the caller retries with the same key.
    """
    pending = state.requests.get(event.request)
    if pending is None:
        return []
    if pending.target is not None:
        return [AbandonRequest(event.request)] if pending.route.route.repeatable else []
    service = state.services.get(pending.service)
    if pending.peer is not None:
        if not pending.route.route.repeatable:
            return []
        pending.may_have_run = True
    elif service is None or not remove_queued_request(service, event.request):
        return []
    detail = "the caller hung up while it waited"
    effects = end_with_refusal(state, event.at, event.request, RefusalReason.DEADLINE, detail)
    return [*effects, AbandonRequest(event.request)]


def _choose_split_service(state: HostState, found: NamedRoute) -> ServiceName | None:
    """Chooses the service of a split route, so that each gets its share by weight.

    The shares divide the interval from 0 to 1. Each request moves a position in it by the golden
    ratio, which spreads the positions evenly. The first one is random: many hosts that get a few
    requests each would otherwise send all of them to the greatest share.
    """
    shares = [share for share in found.route.split if share.weight]
    if not shares:
        return None
    position = state.split_positions.get(found.name)
    position = state.random.random() if position is None else (position + GOLDEN_RATIO) % 1.0
    state.split_positions[found.name] = position
    rest = position * sum(share.weight for share in shares)
    for share in shares:
        rest -= share.weight
        if rest < 0.0:
            return ServiceName(share.service)
    return ServiceName(shares[-1].service)


def _check_key(state: HostState, event: RequestArrived, found: NamedRoute) -> list[Effect]:
    if not found.route.key_required or event.head.key is not None or event.head.for_peer:
        return []
    detail = "the route needs an Idempotency-Key; the entry answer brings some"
    reason = RefusalReason.KEY_REQUIRED
    return refuse(state, event.at, event.request, event.head, reason, detail)
