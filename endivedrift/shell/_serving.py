"""Serves one request: feeds its events to the reducer and carries out the effects on it."""

from dataclasses import dataclass, field, replace

import curio

from endivedrift.core import (
    Answer,
    ClaimOutcome,
    ForwardOutcome,
    Refusal,
    RequestHead,
    RequestId,
)
from endivedrift.core.effects import (
    AbortAttempt,
    ClaimKey,
    DeliverAnswer,
    ForwardToOwner,
    QueueRequest,
    RefuseRequest,
    RequestEffect,
    SendToTarget,
)
from endivedrift.core.events import (
    AttemptFinished,
    AttemptLate,
    CallerDisconnected,
    ForwardFinished,
    KeyClaimSettled,
    QueueWaitExpired,
    RequestArrived,
)
from endivedrift.shell._codec import ForwardedRequest, Reply
from endivedrift.shell._conventions import DEFAULT_CONVENTIONS, HttpConventions
from endivedrift.shell._peer_calls import PeerCallError, call_peer
from endivedrift.shell._runtime import Mailbox, Runtime
from endivedrift.shell._targets import (
    TargetPool,
    TargetRequest,
    cancel_attempt,
)
from endivedrift.store import Claim, ClaimResult, ClaimTable


@dataclass(frozen=True, slots=True)
class Serving:
    """What serving a request needs: the runtime, the targets and the other hosts."""

    runtime: Runtime
    pool: TargetPool
    claims: ClaimTable
    secret: bytes = field(repr=False)
    dialect: HttpConventions = DEFAULT_CONVENTIONS


@dataclass(frozen=True, slots=True)
class Served:
    """How a request ended, and the attempts at targets that it took."""

    result: Answer | Refusal
    attempts: tuple[AttemptFinished, ...] = ()


async def serve_request(
    serving: Serving, request_id: RequestId, head: RequestHead, request: TargetRequest
) -> Served:
    """Serves a request to its end.

    Args:
      serving: What it needs.
      request_id: Id of the request.
      head: What the decisions need to know.
      request: What is sent to the target.
    Returns:
      A target's complete answer or a refusal, with the attempts made.
    """
    runtime = serving.runtime
    mailbox = Mailbox(task=await curio.current_task())
    runtime.mailboxes[request_id] = mailbox
    clock = runtime.clock
    try:
        await runtime.dispatch(RequestArrived(clock.monotonic(), clock.wall(), request_id, head))
        while True:
            effect = await mailbox.take()
            match effect:
                case DeliverAnswer():
                    answer = _strip_attempt_id(serving.dialect, effect.answer)
                    return Served(answer, tuple(mailbox.attempts))
                case RefuseRequest():
                    return Served(effect.refusal, tuple(mailbox.attempts))
            await _carry_out(serving, mailbox, effect, request, head)
    except curio.CancelledError:
        async with curio.disable_cancellation():
            await _abandon(runtime, request_id)
        raise
    finally:
        del runtime.mailboxes[request_id]


def _strip_attempt_id(dialect: HttpConventions, answer: Answer) -> Answer:
    """Removes the id of the attempt where it is of no use to the caller."""
    if dialect.keeps_request_ids:
        return answer
    name = dialect.request_id_header
    return replace(answer, headers=tuple(pair for pair in answer.headers if pair[0] != name))


async def _carry_out(
    serving: Serving,
    mailbox: Mailbox,
    effect: RequestEffect,
    request: TargetRequest,
    head: RequestHead,
) -> None:
    match effect:
        case SendToTarget():
            await _attempt(serving, mailbox, effect, request)
        case QueueRequest():
            await _await_turn(serving.runtime, mailbox, effect)
        case ClaimKey():
            await _claim(serving, effect)
        case ForwardToOwner():
            await _forward(serving, effect, request, head)


async def _attempt(
    serving: Serving, mailbox: Mailbox, effect: SendToTarget, request: TargetRequest
) -> None:
    runtime = serving.runtime

    async def is_given_up() -> bool:
        now = runtime.clock.monotonic()
        await runtime.dispatch(AttemptLate(now, effect.request, effect.target))
        given_up = any(isinstance(posted, AbortAttempt) for posted in mailbox.effects)
        mailbox.effects.clear()
        return given_up

    finished = await serving.pool.attempt(effect, request, is_given_up)
    runtime.metrics.count_attempt(effect.service, finished.outcome)
    mailbox.attempts.append(finished)
    await runtime.dispatch(finished)


async def _abandon(runtime: Runtime, request: RequestId) -> None:
    """Tells the decisions that a cancelled request has left its target or the queue.

    The cancellation may arrive at any wait, also before an attempt that was decided has begun.
    """
    held = runtime.state.requests.get(request)
    if held is None:
        return
    now = runtime.clock.monotonic()
    if held.target is None:
        await runtime.dispatch(CallerDisconnected(now, request))
        return
    await runtime.dispatch(cancel_attempt(now, request, held.target))


async def _await_turn(runtime: Runtime, mailbox: Mailbox, effect: QueueRequest) -> None:
    remaining = (effect.until - runtime.clock.monotonic()).total_seconds()
    if not mailbox.effects and remaining > 0.0:
        mailbox.ready.clear()
        async with curio.ignore_after(remaining):
            await mailbox.ready.wait()
    if not mailbox.effects:
        now = runtime.clock.monotonic()
        await runtime.dispatch(QueueWaitExpired(now, effect.request))


async def _claim(serving: Serving, effect: ClaimKey) -> None:
    runtime = serving.runtime
    identity = runtime.state.membership.me
    claim = Claim(effect.key, identity.host, identity.incarnation, effect.claim)
    remaining = (effect.until - runtime.clock.monotonic()).total_seconds()
    settled = ClaimResult(ClaimOutcome.UNKNOWN)
    async with curio.ignore_after(max(0.0, remaining)):
        settled = await serving.claims.claim(claim)
    now = runtime.clock.monotonic()
    holder = settled.holder
    if holder is None:
        event = KeyClaimSettled(now, effect.request, settled.outcome)
    else:
        event = KeyClaimSettled(
            now, effect.request, settled.outcome, holder.host, holder.incarnation, holder.claim_id
        )
    await runtime.dispatch(event)


async def _forward(
    serving: Serving, effect: ForwardToOwner, request: TargetRequest, head: RequestHead
) -> None:
    clock = serving.runtime.clock
    patience = effect.deadline - clock.monotonic()
    assert head.key is not None
    call = ForwardedRequest(
        owner=effect.owner,
        incarnation=effect.incarnation,
        method=request.method,
        target=request.target.decode("latin-1"),
        headers=request.headers,
        body=request.body,
        caller=head.caller,
        key=head.key,
        patience=patience,
    )
    try:
        reply = await call_peer(serving.secret, effect.address, call, patience)
    except PeerCallError as error:
        failed = ForwardFinished(
            clock.monotonic(), effect.request, ForwardOutcome.BROKEN, connected=error.sent
        )
        await serving.runtime.dispatch(failed)
        return
    event = _describe_reply(serving.runtime, effect.request, reply)
    await serving.runtime.dispatch(event)


def _describe_reply(runtime: Runtime, request: RequestId, reply: Reply) -> ForwardFinished:
    now = runtime.clock.monotonic()
    if isinstance(reply, Answer):
        return ForwardFinished(now, request, ForwardOutcome.ANSWERED, answer=reply)
    if isinstance(reply, Refusal):
        return ForwardFinished(now, request, ForwardOutcome.REFUSED, refusal=reply)
    return ForwardFinished(now, request, ForwardOutcome.BROKEN)
