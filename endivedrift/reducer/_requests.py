"""Arrival of requests, the end of their wait, and callers that leave."""

from datetime import timedelta

from endivedrift.core import (
    NO_CONFIG,
    CallerName,
    Instant,
    RefusalReason,
    ServiceName,
)
from endivedrift.core.effects import AbandonRequest, Effect
from endivedrift.core.events import CallerDisconnected, QueueWaitExpired, RequestArrived
from endivedrift.fleet import NamedRoute, find_route
from endivedrift.policy import TokenBucket, advance_date, remove_waiting
from endivedrift.reducer._attempts import admit, end_refused, give_up_waiting
from endivedrift.reducer._keyed import start_keyed
from endivedrift.reducer._refusals import refuse
from endivedrift.reducer._state import MAX_CALLER_BUCKETS, HostState, RequestState

NO_CONFIG_RETRY = timedelta(seconds=1)


def start_request(state: HostState, event: RequestArrived) -> list[Effect]:
    """Decides what to do with a new request.

    Args:
      state: The host.
      event: The arrival.
    Returns:
      The effects; the request is in `state.requests` unless it was refused.
    """
    advance_date(state.keys, event.wall)
    head = event.head
    if state.config == NO_CONFIG:
        detail = "this host has no configuration yet"
        reason = RefusalReason.NO_CONFIGURATION
        return refuse(
            state, event.at, event.request, head, reason, detail, NO_CONFIG_RETRY, key=head.key
        )
    found = find_route(state.routes, head.method, head.path, head.host)
    if found is None:
        detail = f"no route for {head.method} {head.host}{head.path}"
        return refuse(state, event.at, event.request, head, RefusalReason.NO_ROUTE, detail)
    refusal = _check_caller(state, event, found) or _check_key(state, event, found)
    if refusal:
        return refusal
    patience = found.route.deadline
    if head.caller_timeout is not None:
        patience = min(patience, head.caller_timeout)
    held = RequestState(
        head, found, event.at, event.at + patience, share=_deal_request(state, found)
    )
    state.requests[event.request] = held
    if head.key is not None and not found.route.repeatable:
        return start_keyed(state, event.at, event.request, head.key)
    return admit(state, event.at, event.request)


def expire_wait(state: HostState, event: QueueWaitExpired) -> list[Effect]:
    """Gives up a request that still waits at the end of its time."""
    held = state.requests.get(event.request)
    if held is None or held.target is not None:
        return []
    service = state.services.get(held.service)
    if service is None or not remove_waiting(service, event.request):
        return []
    return give_up_waiting(state, service, event.at, event.request)


def drop_caller(state: HostState, event: CallerDisconnected) -> list[Effect]:
    """Stops work for a caller that hung up, where this cannot leave a doubtful outcome.

    A request that is not repeatable and is in progress at a target goes on, so that its answer is
    there when the caller asks again with the same key.
    """
    held = state.requests.get(event.request)
    if held is None:
        return []
    if held.target is not None:
        return [AbandonRequest(event.request)] if held.route.route.repeatable else []
    service = state.services.get(held.service)
    if service is None or not remove_waiting(service, event.request):
        return []
    detail = "the caller hung up while it waited"
    effects = end_refused(state, event.at, event.request, RefusalReason.DEADLINE, detail)
    return [*effects, AbandonRequest(event.request)]


def _deal_request(state: HostState, found: NamedRoute) -> ServiceName | None:
    """Deals a request of a split route to the service that is furthest behind its weight."""
    weighed = [share for share in found.route.split if share.weight]
    if not weighed:
        return None
    dealt = state.dealt.setdefault(found.name, {})
    chosen = min(
        weighed,
        key=lambda s: ((dealt.get(ServiceName(s.service), 0.0) + 1.0) / s.weight, s.service),
    )
    name = ServiceName(chosen.service)
    dealt[name] = dealt.get(name, 0.0) + 1.0
    return name


def _check_caller(state: HostState, event: RequestArrived, found: NamedRoute) -> list[Effect]:
    head = event.head
    key = None if found.route.repeatable else head.key
    account = state.objects.caller.get(head.caller) if head.caller is not None else None
    if account is None:
        if not found.route.known_callers_only:
            return []
        detail = "the route takes only callers with a published account"
        reason = RefusalReason.UNKNOWN_CALLER
        return refuse(state, event.at, event.request, head, reason, detail, key=key)
    if head.forwarded or head.caller is None:
        return []
    bucket = _find_bucket(state, head.caller, event.at)
    if bucket.take(event.at):
        return []
    detail = f"the account {head.caller} is over its rate"
    reason, wait = RefusalReason.CALLER_LIMIT, bucket.wait(event.at)
    return refuse(state, event.at, event.request, head, reason, detail, wait, key=key)


def _find_bucket(state: HostState, caller: CallerName, at: Instant) -> TokenBucket:
    account = state.objects.caller[caller]
    bucket = state.callers.get(caller)
    if bucket is None:
        bucket = TokenBucket(float(account.burst), account.requests_per_s, float(account.burst), at)
        state.callers[caller] = bucket
        if len(state.callers) > MAX_CALLER_BUCKETS:
            state.callers.popitem(last=False)
    else:
        state.callers.move_to_end(caller)
    return bucket


def _check_key(state: HostState, event: RequestArrived, found: NamedRoute) -> list[Effect]:
    if not found.route.key_required or event.head.key is not None:
        return []
    detail = "the route needs an Idempotency-Key; the entry answer brings some"
    reason = RefusalReason.KEY_REQUIRED
    return refuse(state, event.at, event.request, event.head, reason, detail)
