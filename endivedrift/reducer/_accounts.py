"""Checks the caller account of a request: who it is, and its importance.

A request carries the key of its account, or names an account that has no keys. What is known of
keys is checked again for the requests in progress when an object set comes into force, so that a
key that was withdrawn gives no request a further attempt.
"""

from dataclasses import replace

from endivedrift.core import (
    Importance,
    Instant,
    RefusalReason,
    RequestHead,
    RequestId,
)
from endivedrift.core.effects import Effect
from endivedrift.core.events import RequestArrived
from endivedrift.fleet import NamedRoute
from endivedrift.policy import remove_queued_request
from endivedrift.reducer._attempts import end_with_refusal
from endivedrift.reducer._quotas import move_charge
from endivedrift.reducer._refusals import refuse
from endivedrift.reducer._state import HostState, RequestState, find_account

UNKNOWN_KEY_DETAIL = "the request needs the key of a caller account"


def check_caller(state: HostState, event: RequestArrived, found: NamedRoute) -> list[Effect]:
    """Checks that a request may use its route.

    A request that another host has forwarded was checked there.

    Returns:
      The effects of refusing it; empty if it is admitted.
    """
    head = event.head
    if head.forwarded or head.for_peer:
        return []
    key = None if found.route.repeatable else head.key
    if head.caller in state.objects.caller or not found.route.known_callers_only:
        return []
    reason, detail = RefusalReason.UNKNOWN_CALLER, "the route takes only known caller accounts"
    if state.routes.accounts:
        reason, detail = RefusalReason.UNKNOWN_KEY, UNKNOWN_KEY_DETAIL
    return refuse(state, event.at, event.request, head, reason, detail, key=key)


def get_priority(state: HostState, head: RequestHead, found: NamedRoute) -> Importance:
    """Returns the importance of a request: that of its account, or else of its route."""
    account = find_account(state, head.caller)
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
            move_charge(state, at, pending, caller)
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
