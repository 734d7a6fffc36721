"""Builds refusals whose verdict holds for the request and for its idempotency key."""

from datetime import timedelta

from endivedrift.core import (
    AuditEntry,
    AuditKind,
    IdempotencyKey,
    Instant,
    KeyPhase,
    Refusal,
    RefusalReason,
    RequestHead,
    RequestId,
    ServiceName,
    Verdict,
)
from endivedrift.core.effects import Effect, RecordAudit, RefuseRequest
from endivedrift.policy import parse_minted_key
from endivedrift.reducer._state import HostState

MIN_RETRY_AFTER = timedelta(milliseconds=500)
MAX_RETRY_SPREAD_FACTOR = 2.0


def compute_key_verdict(state: HostState, key: IdempotencyKey | None) -> Verdict:
    """Computes whether an earlier request with the same key may have run.

    Args:
      state: The host.
      key: The key, or None for a request without one.
    Returns:
      NOT_RUN only if this host owns the key and knows that nothing has run under it.
    """
    if key is None:
        return Verdict.NOT_RUN
    record = state.keys.records.get(key)
    if record is not None:
        settled = record.claim_confirmed or not record.claims
        known_idle = settled and record.phase is KeyPhase.IDLE
        return Verdict.NOT_RUN if known_idle else Verdict.MAY_HAVE_RUN
    minted = parse_minted_key(state.keys.secret, key)
    if minted is None or minted.host != state.identity.host:
        return Verdict.MAY_HAVE_RUN
    owned = minted.incarnation in state.membership.own_incarnations
    fresh = state.keys.latest_date <= minted.expires
    return Verdict.NOT_RUN if owned and fresh else Verdict.MAY_HAVE_RUN


def jitter_retry_after(state: HostState, base: timedelta) -> timedelta:
    """Returns when to retry: after `base`, with jitter so that callers do not retry together."""
    return max(MIN_RETRY_AFTER, base) * state.random.uniform(1.0, MAX_RETRY_SPREAD_FACTOR)


def refuse(
    state: HostState,
    at: Instant,
    request: RequestId,
    head: RequestHead,
    reason: RefusalReason,
    detail: str,
    retry_base: timedelta | None = None,
    attempt_verdict: Verdict = Verdict.NOT_RUN,
    key: IdempotencyKey | None = None,
    service: ServiceName = ServiceName(""),
) -> list[Effect]:
    """Builds the effects of refusing a request.

    Args:
      state: The host.
      at: Current time.
      request, head: The request.
      reason: Why it is refused.
      detail: An explanation for a human reader.
      retry_base: Minimum time after which a retry may succeed, or None.
      attempt_verdict: Whether this request itself may have run.
      key: Key whose earlier requests the verdict covers, or None if the route uses none.
      service: Service that the request is for, if known.
    Returns:
      The refusal and its audit entry.
    """
    verdict = (
        attempt_verdict
        if attempt_verdict is Verdict.MAY_HAVE_RUN
        else compute_key_verdict(state, key)
    )
    retry_after = jitter_retry_after(state, retry_base) if retry_base is not None else None
    refusal = Refusal(reason, verdict, attempt_verdict, retry_after, detail)
    cause = f"{reason.value}, verdict {verdict.value}: {detail}"
    entry = AuditEntry(at, AuditKind.REFUSED, head.path, cause, service, request)
    return [RefuseRequest(request, refusal), RecordAudit(entry)]
