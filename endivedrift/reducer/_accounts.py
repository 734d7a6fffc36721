"""Checks the caller account of a request: who it is, its quota, and its importance.

A request carries the key of its account, or names an account that has no keys. What is known of
keys is checked again for the requests in progress when an object set comes into force, so that a
key that was withdrawn gives no request a further attempt.
"""

from dataclasses import replace
from datetime import timedelta

from endivedrift.core import (
    CallerName,
    Importance,
    Instant,
    RefusalReason,
    RequestHead,
    RequestId,
)
from endivedrift.core.effects import Effect
from endivedrift.core.events import RequestArrived
from endivedrift.fleet import NamedRoute
from endivedrift.policy import TokenBucket, remove_queued_request
from endivedrift.reducer._attempts import end_with_refusal
from endivedrift.reducer._refusals import refuse
from endivedrift.reducer._state import MAX_CALLER_BUCKETS, HostState, RequestState

UNKNOWN_KEY_DETAIL = "the request needs the key of a caller account"


def check_caller(state: HostState, event: RequestArrived, found: NamedRoute) -> list[Effect]:
    """Checks that a request may use its route, and charges it to its account.

    A request that another host has forwarded was checked and charged there.

    Returns:
      The effects of refusing it; empty if it is admitted.
    """
    head = event.head
    if head.forwarded or head.for_peer:
        return []
    key = None if found.route.repeatable else head.key
    if head.caller not in state.objects.caller:
        if not found.route.known_callers_only:
            return []
        reason, detail = RefusalReason.UNKNOWN_CALLER, "the route takes only known caller accounts"
        if state.routes.accounts:
            reason, detail = RefusalReason.UNKNOWN_KEY, UNKNOWN_KEY_DETAIL
        return refuse(state, event.at, event.request, head, reason, detail, key=key)
    assert head.caller is not None
    wait = _charge_account(state, event.at, head.caller)
    if wait is None:
        return []
    detail = f"the account {head.caller} is over its rate"
    reason = RefusalReason.CALLER_LIMIT
    return refuse(state, event.at, event.request, head, reason, detail, wait, key=key)


def get_priority(state: HostState, head: RequestHead, found: NamedRoute) -> Importance:
    """Returns the importance of a request: that of its account, or else of its route."""
    account = state.objects.caller.get(head.caller) if head.caller is not None else None
    own = account.queue_priority if account is not None else None
    return own if own is not None else found.route.queue_priority


def recheck_callers(state: HostState, at: Instant) -> list[Effect]:
    """Applies the keys of a new object set to the requests that have no answer yet.

    A queued request whose key was withdrawn is refused. One that is in progress at a target goes
    on, without a further attempt. A key that has moved stands for its new account.
    """
    effects: list[Effect] = []
    for request, pending in list(state.requests.items()):
        key = pending.head.account_key
        if key is None or pending.head.forwarded or pending.head.for_peer:
            continue
        caller = state.routes.accounts.get(key)
        if caller != pending.head.caller:
            pending.head = replace(pending.head, caller=caller)
            pending.priority = get_priority(state, pending.head, pending.route)
        pending.key_withdrawn = caller is None and pending.route.route.known_callers_only
        if pending.key_withdrawn and _remove_waiting(state, pending, request):
            reason = RefusalReason.UNKNOWN_KEY
            effects += end_with_refusal(state, at, request, reason, UNKNOWN_KEY_DETAIL)
    return effects


def _remove_waiting(state: HostState, pending: RequestState, request: RequestId) -> bool:
    service = state.services.get(pending.service)
    if pending.target is not None or pending.peer is not None or service is None:
        return False
    return remove_queued_request(service, request)


def _charge_account(state: HostState, at: Instant, caller: CallerName) -> timedelta | None:
    """Charges a request to its account.

    Returns:
      None if it is within the quota, or else the time until the account has room.
    """
    account = state.objects.caller[caller]
    if not account.requests_per_s:
        return None
    cap = float(max(1, account.burst))
    bucket = state.caller_buckets.get(caller)
    if bucket is None:
        bucket = TokenBucket(cap, account.requests_per_s, cap, at)
        state.caller_buckets[caller] = bucket
        if len(state.caller_buckets) > MAX_CALLER_BUCKETS:
            state.caller_buckets.popitem(last=False)
    else:
        state.caller_buckets.move_to_end(caller)
    return None if bucket.take(at) else bucket.wait(at)
