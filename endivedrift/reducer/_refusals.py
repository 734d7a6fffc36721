"""Builds refusals whose verdict is true of the request and of its idempotency key."""

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
from endivedrift.policy import parse_minted
from endivedrift.reducer._state import HostState

MIN_RETRY_AFTER = timedelta(milliseconds=500)
MAX_RETRY_SPREAD = 2.0


def compute_key_verdict(state: HostState, key: IdempotencyKey | None) -> Verdict:
    """Tells whether an earlier request with the same key may have run.

    Args:
      state: The host.
      key: The key, or None for a request without one.
    Returns:
      NOT_RUN only where this host owns the key and knows that nothing ran under it.
    """
    if key is None:
        return Verdict.NOT_RUN
    record = state.keys.records.get(key)
    if record is not None:
        settled = record.claimed or not record.claims
        known_idle = settled and record.phase is KeyPhase.IDLE
        return Verdict.NOT_RUN if known_idle else Verdict.MAY_HAVE_RUN
    minted = parse_minted(state.keys.secret, key)
    if minted is None or minted.host != state.identity.host:
        return Verdict.MAY_HAVE_RUN
    owned = minted.incarnation in state.membership.own_incarnations
    fresh = state.keys.latest <= minted.expires
    return Verdict.NOT_RUN if owned and fresh else Verdict.MAY_HAVE_RUN


def spread_retry(state: HostState, base: timedelta) -> timedelta:
    """Returns when to come back: after `base`, spread so that callers do not return together."""
    return max(MIN_RETRY_AFTER, base) * state.random.uniform(1.0, MAX_RETRY_SPREAD)


def refuse(
    state: HostState,
    at: Instant,
    request: RequestId,
    head: RequestHead,
    reason: RefusalReason,
    detail: str,
    retry_base: timedelta | None = None,
    attempt: Verdict = Verdict.NOT_RUN,
    key: IdempotencyKey | None = None,
    service: ServiceName = ServiceName(""),
) -> list[Effect]:
    """Builds the effects of refusing a request.

    Args:
      state: The host.
      at: Present time.
      request, head: The request.
      reason: Why it is refused.
      detail: A sentence for the person who reads it.
      retry_base: Least time after which coming back may help, or None.
      attempt: Whether this very request may have run.
      key: Key to judge the request's history by, or None where the route takes none.
      service: Service it was for, if known.
    Returns:
      The refusal and its audit entry.
    """
    verdict = attempt if attempt is Verdict.MAY_HAVE_RUN else compute_key_verdict(state, key)
    retry_after = spread_retry(state, retry_base) if retry_base is not None else None
    refusal = Refusal(reason, verdict, attempt, retry_after, detail)
    cause = f"{reason.value}, verdict {verdict.value}: {detail}"
    entry = AuditEntry(at, AuditKind.REFUSED, head.path, cause, service, request)
    return [RefuseRequest(request, refusal), RecordAudit(entry)]
