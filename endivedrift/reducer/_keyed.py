"""Handles requests with an idempotency key, which only the host that owns the key ever sends.

A host runs the requests of its own keys, forwards those of other hosts' keys to the owner, and
claims a key chosen by the caller in the table service before it uses the key. A request whose owner
or record cannot be determined is refused.
"""

from datetime import datetime, timedelta

from endivedrift.core import (
    Address,
    ClaimId,
    ClaimOutcome,
    ForwardOutcome,
    HostId,
    IdempotencyKey,
    Incarnation,
    Instant,
    KeyPhase,
    MemberStatus,
    RefusalReason,
    RequestId,
    Verdict,
)
from endivedrift.core.effects import (
    ClaimKey,
    DeliverAnswer,
    Effect,
    ForwardToOwner,
    RecordAudit,
    RefuseRequest,
)
from endivedrift.core.events import ForwardFinished, KeyClaimSettled
from endivedrift.fleet import find_member
from endivedrift.policy import (
    CLAIMED_KEY_TTL,
    MAX_KEYS,
    MINTED_PREFIX,
    KeyRecord,
    MintedKey,
    parse_minted_key,
)
from endivedrift.reducer._attempts import admit, end_with_refusal
from endivedrift.reducer._forwarding import finish_peer_forward
from endivedrift.reducer._quotas import return_charge
from endivedrift.reducer._refusals import refuse
from endivedrift.reducer._state import HostState, RequestState
from endivedrift.reducer._statements import note_reported_leaving

CLAIM_TIMEOUT = timedelta(seconds=1)
BUSY_RETRY_DELAY = timedelta(seconds=1)
STORE_RETRY_DELAY = timedelta(seconds=5)


def start_keyed_request(
    state: HostState, at: Instant, request: RequestId, key: IdempotencyKey
) -> list[Effect]:
    """Starts a request that must run at most once under its key.

    Args:
      state: The host.
      at: Current time.
      request: The request.
      key: Its key.
    Returns:
      The effects of running or forwarding the request, claiming the key, or refusing.
    """
    minted = parse_minted_key(state.keys.secret, key)
    if minted is not None:
        return _start_minted(state, at, request, key, minted)
    if key.startswith(MINTED_PREFIX):
        detail = "the key was not made by this fleet"
        return _refuse_without_record(state, at, request, RefusalReason.KEY_EXPIRED, detail)
    if key in state.keys.records:
        return _use_record(state, at, request, key)
    if state.requests[request].head.forwarded:
        detail = "this host keeps no record of the key"
        return _refuse_without_record(state, at, request, RefusalReason.KEY_SPENT, detail)
    return _start_claim(state, at, request, key)


def apply_claim_result(state: HostState, event: KeyClaimSettled) -> list[Effect]:
    """Continues a request once the table service has reported the owner of its key."""
    pending = state.requests.get(event.request)
    if pending is None or pending.key is None:
        return []
    key = pending.key
    record = state.keys.records[key]
    if event.outcome is ClaimOutcome.UNKNOWN:
        return _refuse_unsettled_claim(state, event, key)
    is_own = event.owner == state.identity.host
    is_own = is_own and event.owner_incarnation in state.membership.own_incarnations
    if event.outcome is ClaimOutcome.CLAIMED or (is_own and event.claim in record.claims):
        record.claim_confirmed = True
        record.phase = KeyPhase.RUNNING
        return admit(state, event.at, event.request)
    if is_own:
        record.phase = KeyPhase.UNCERTAIN
        pending.key = None
        detail = "the key was claimed here before and its record is gone"
        return _refuse_without_record(
            state, event.at, event.request, RefusalReason.KEY_SPENT, detail
        )
    del state.keys.records[key]
    pending.key = None
    return _forward(state, event.at, event.request, event.owner, event.owner_incarnation)


def finish_forward(state: HostState, event: ForwardFinished) -> list[Effect]:
    """Delivers the reply of the host to which a request was forwarded."""
    pending = state.requests.get(event.request)
    service = state.services.get(pending.service) if pending is not None else None
    effects: list[Effect] = [
        RecordAudit(entry)
        for process_id in event.leaving
        for entry in note_reported_leaving(state, service, process_id, event.at)
    ]
    if pending is None:
        return effects
    if pending.peer is not None:
        return effects + finish_peer_forward(state, event, pending)
    if event.outcome is ForwardOutcome.BROKEN:
        pending.may_have_run = event.connected
        detail = "the host that owns the key did not answer"
        return effects + _refuse_without_record(
            state, event.at, event.request, RefusalReason.OWNER_UNREACHABLE, detail
        )
    del state.requests[event.request]
    if event.outcome is ForwardOutcome.ANSWERED and event.answer is not None:
        return [*effects, DeliverAnswer(event.request, event.answer)]
    assert event.refusal is not None
    return [*effects, RefuseRequest(event.request, event.refusal)]


def _start_minted(
    state: HostState, at: Instant, request: RequestId, key: IdempotencyKey, minted: MintedKey
) -> list[Effect]:
    is_own = minted.host == state.identity.host
    if not is_own or minted.incarnation not in state.membership.own_incarnations:
        return _forward(state, at, request, minted.host, minted.incarnation)
    if key in state.keys.records:
        return _use_record(state, at, request, key)
    if state.keys.latest_date > minted.expires:
        detail = "the key has expired"
        return _refuse_without_record(state, at, request, RefusalReason.KEY_EXPIRED, detail)
    if len(state.keys.records) >= MAX_KEYS:
        detail = "too many keys are remembered"
        return _refuse_without_record(
            state, at, request, RefusalReason.KEY_TABLE_FULL, detail, BUSY_RETRY_DELAY
        )
    _open_record(state, request, key, KeyPhase.RUNNING, minted.expires)
    return admit(state, at, request)


def _start_claim(
    state: HostState, at: Instant, request: RequestId, key: IdempotencyKey
) -> list[Effect]:
    if len(state.keys.records) >= MAX_KEYS:
        detail = "too many keys are remembered"
        return _refuse_without_record(
            state, at, request, RefusalReason.KEY_TABLE_FULL, detail, BUSY_RETRY_DELAY
        )
    forget_at = state.keys.latest_date + CLAIMED_KEY_TTL
    _open_record(state, request, key, KeyPhase.CLAIMING, forget_at)
    return _claim(state, at, request, key)


def _claim(state: HostState, at: Instant, request: RequestId, key: IdempotencyKey) -> list[Effect]:
    claim = ClaimId(request)
    state.keys.records[key].claims.add(claim)
    until = min(at + CLAIM_TIMEOUT, state.requests[request].deadline)
    return [ClaimKey(request, key, claim, until)]


def _use_record(
    state: HostState, at: Instant, request: RequestId, key: IdempotencyKey
) -> list[Effect]:
    record = state.keys.records[key]
    pending = state.requests[request]
    if record.fingerprint != pending.head.fingerprint:
        detail = "the key was used for another request"
        return _refuse_without_record(state, at, request, RefusalReason.KEY_REUSED, detail)
    if record.phase in (KeyPhase.CLAIMING, KeyPhase.RUNNING):
        detail = "a request with this key is in progress"
        return _refuse_without_record(
            state, at, request, RefusalReason.KEY_BUSY, detail, BUSY_RETRY_DELAY
        )
    if record.phase is KeyPhase.ANSWERED and record.answer is not None:
        del state.requests[request]
        return [DeliverAnswer(request, record.answer, replayed=True)]
    if record.phase is not KeyPhase.IDLE:
        detail = "a request with this key ran or may have run, and its answer is gone"
        return _refuse_without_record(state, at, request, RefusalReason.KEY_SPENT, detail)
    pending.key = key
    record.request = request
    if record.claims and not record.claim_confirmed:
        record.phase = KeyPhase.CLAIMING
        return _claim(state, at, request, key)
    record.phase = KeyPhase.RUNNING
    return admit(state, at, request)


def _open_record(
    state: HostState, request: RequestId, key: IdempotencyKey, phase: KeyPhase, forget_at: datetime
) -> None:
    pending = state.requests[request]
    pending.key = key
    state.keys.records[key] = KeyRecord(phase, pending.head.fingerprint, forget_at, request)


def _forward(
    state: HostState, at: Instant, request: RequestId, owner: HostId, incarnation: Incarnation
) -> list[Effect]:
    pending = state.requests[request]
    member = find_member(state.membership, owner)
    known = member is not None and member.incarnation == incarnation
    if pending.head.forwarded or not known or member is None or member.status is MemberStatus.DEAD:
        detail = f"the host {owner} that owns the key is gone"
        return _refuse_without_record(state, at, request, RefusalReason.OWNER_GONE, detail)
    address = Address(member.peer_address)
    return [ForwardToOwner(request, owner, incarnation, address, pending.deadline)]


def _refuse_unsettled_claim(
    state: HostState, event: KeyClaimSettled, key: IdempotencyKey
) -> list[Effect]:
    pending = state.requests[event.request]
    state.keys.records[key].phase = KeyPhase.IDLE
    pending.key = None
    detail = "the store that tells who owns the key does not answer; use a key of the entry answer"
    reason = RefusalReason.KEY_STORE_DOWN
    return _refuse_without_record(state, event.at, event.request, reason, detail, STORE_RETRY_DELAY)


def _refuse_without_record(
    state: HostState,
    at: Instant,
    request: RequestId,
    reason: RefusalReason,
    detail: str,
    retry_base: timedelta | None = None,
) -> list[Effect]:
    """Refuses a request that holds no key record, with a verdict on the history of its key."""
    pending: RequestState = state.requests[request]
    pending.key = None
    if pending.may_have_run:
        return end_with_refusal(state, at, request, reason, detail, retry_base)
    del state.requests[request]
    return_charge(state, pending)
    return refuse(
        state,
        at,
        request,
        pending.head,
        reason,
        detail,
        retry_base,
        Verdict.NOT_RUN,
        pending.head.key,
        pending.service,
    )
