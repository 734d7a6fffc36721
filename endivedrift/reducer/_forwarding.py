"""Handles the replies of hosts to which requests were forwarded."""

from datetime import timedelta

from endivedrift.core import ForwardOutcome, Refusal, RefusalReason, Verdict
from endivedrift.core.effects import Effect
from endivedrift.core.events import ForwardFinished
from endivedrift.reducer._attempts import (
    admit,
    end_with_answer,
    end_with_refusal,
    has_retry_left,
    may_try_again,
)
from endivedrift.reducer._paths import (
    block_forwarding,
    forward_request,
    hand_over_retry,
    mark_peer_unable,
)
from endivedrift.reducer._state import HostState, RequestState

_PEER_FAULTS = frozenset(
    {
        RefusalReason.NO_PATH,
        RefusalReason.STOPPING,
        RefusalReason.NO_CONFIGURATION,
        RefusalReason.NO_ROUTE,
        RefusalReason.PEER_UNREACHABLE,
    }
)
"""Refusals that tell of the other host, so that a further one may serve the request."""


def finish_peer_forward(
    state: HostState, event: ForwardFinished, pending: RequestState
) -> list[Effect]:
    """Delivers the reply of another host, or asks a further one, or tries the request here.

    A host that did not reply may have sent the request to a target.
    """
    peer, pending.peer = pending.peer, None
    assert peer is not None
    if event.outcome is ForwardOutcome.ANSWERED and event.answer is not None:
        return end_with_answer(state, event.at, event.request, event.answer)
    refusal = event.refusal or _describe_missing_reply(event)
    if refusal.attempt_verdict is Verdict.MAY_HAVE_RUN:
        pending.may_have_run = True
        pending.attempt_count += 1
    if refusal.reason in _PEER_FAULTS:
        mark_peer_unable(state, peer, event.at)
    is_not_taken = refusal.reason in _PEER_FAULTS or refusal.reason is RefusalReason.NO_RETRY
    if is_not_taken and refusal.attempt_verdict is Verdict.NOT_RUN and pending.handed_over_for:
        return _hand_over_elsewhere(state, event, pending, pending.handed_over_for)
    if refusal.reason in _PEER_FAULTS and may_try_again(state, pending, event.at):
        # Another host may have another object set in force than the one that was handed a retry.
        is_tried_here = pending.handed_over_for is not None
        forwarded = [] if is_tried_here else forward_request(state, event.at, event.request)
        return forwarded or admit(state, event.at, event.request)
    if refusal.reason is RefusalReason.TARGET_UNREACHABLE:
        block_forwarding(state, pending.service, event.at)
    return end_with_refusal(
        state, event.at, event.request, refusal.reason, refusal.detail, refusal.retry_after
    )


def _hand_over_elsewhere(
    state: HostState, event: ForwardFinished, pending: RequestState, reason: RefusalReason
) -> list[Effect]:
    """Hands a retry over to a further primary, or ends the request as its last attempt ended."""
    service = state.services.get(pending.service)
    if service is not None and has_retry_left(service, pending, event.at):
        forwarded = hand_over_retry(state, event.at, event.request)
        if forwarded:
            return forwarded
    detail = "no primary of the service has a retry left"
    return end_with_refusal(state, event.at, event.request, reason, detail, timedelta(0))


def _describe_missing_reply(event: ForwardFinished) -> Refusal:
    verdict = Verdict.MAY_HAVE_RUN if event.connected else Verdict.NOT_RUN
    detail = "the host to which the request was forwarded did not reply"
    return Refusal(RefusalReason.PEER_UNREACHABLE, verdict, verdict, None, detail)
