"""Serves one request: sends its events to the reducer and performs the resulting effects."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta

import curio

from endivedrift.core import (
    Address,
    Answer,
    ClaimOutcome,
    ForwardOutcome,
    HostId,
    Incarnation,
    ProcessId,
    Refusal,
    RefusalReason,
    RequestHead,
    RequestId,
    Verdict,
)
from endivedrift.core.effects import (
    AbortAttempt,
    ClaimKey,
    DeliverAnswer,
    ForwardToOwner,
    ForwardToPeer,
    QueueRequest,
    RefuseRequest,
    RequestEffect,
    SendToTarget,
    StartHedge,
)
from endivedrift.core.events import (
    AttemptFinished,
    AttemptLate,
    CallerDisconnected,
    ForwardFinished,
    HedgeDue,
    KeyClaimSettled,
    QueueWaitExpired,
    RequestArrived,
)
from endivedrift.reducer import may_still_send
from endivedrift.shell._codec import ForwardedRequest, ForwardReply, Reply
from endivedrift.shell._conventions import DEFAULT_CONVENTIONS, HttpConventions
from endivedrift.shell._log import make_logger
from endivedrift.shell._peer_calls import PEER_CONNECT_TIMEOUT, PeerCallError, call_peer
from endivedrift.shell._runtime import Mailbox, Runtime
from endivedrift.shell._targets import (
    MAX_MEMORY_WAIT,
    TargetPool,
    TargetRequest,
    cancel_attempt,
)
from endivedrift.store import Claim, ClaimResult, ClaimTable

_log = make_logger("requests")


@dataclass(frozen=True, slots=True)
class ServingContext:
    """What serving a request needs: runtime, connections to targets, key claims and fleet key."""

    runtime: Runtime
    pool: TargetPool
    claims: ClaimTable
    secret: bytes = field(repr=False)
    conventions: HttpConventions = DEFAULT_CONVENTIONS


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """The result of a request, its attempts at targets, and the hosts that it was forwarded to."""

    result: Answer | Refusal
    attempts: tuple[AttemptFinished, ...] = ()
    peers: tuple[HostId, ...] = ()


def list_leaving(attempts: Iterable[AttemptFinished]) -> tuple[ProcessId, ...]:
    """Lists the processes that stated on some attempts that they are shutting down."""
    return tuple(
        ProcessId(finished.target, finished.started_ms)
        for finished in attempts
        if finished.states_leaving
    )


async def serve_request(
    context: ServingContext,
    request_id: RequestId,
    head: RequestHead,
    request: TargetRequest,
    waited: timedelta = timedelta(0),
) -> ServedRequest:
    """Serves a request until it is answered or refused.

    Args:
      context: What serving a request needs.
      request_id: Id of the request.
      head: What the reducer needs to know of the request.
      request: The request as it is sent to a target.
      waited: Time since its last bytes were read.
    Returns:
      A target's complete answer or a refusal, with the attempts made.
    Raises:
      curio.CancelledError: If the request was cancelled, which was reported to the reducer.
    """
    runtime = context.runtime
    mailbox = Mailbox(task=await curio.current_task())
    runtime.mailboxes[request_id] = mailbox
    clock = runtime.clock
    try:
        arrived = RequestArrived(clock.monotonic(), clock.wall(), request_id, head, waited)
        await runtime.dispatch(arrived)
        while True:
            effect = await mailbox.take()
            served = _read_result(context, mailbox, effect)
            if served is not None:
                return served
            await _perform_effect(context, mailbox, effect, request, head)
    except curio.CancelledError:
        async with curio.disable_cancellation():
            await _report_cancellation(runtime, request_id)
        if not mailbox.must_answer:
            raise
        return _find_result(context, mailbox)
    except Exception:
        _log.exception("Serving a request failed.", request=request_id)
        return await _end_failed_request(runtime, mailbox, request_id)
    finally:
        del runtime.mailboxes[request_id]


async def end_requests(runtime: Runtime) -> None:
    """Ends all requests in progress; each gets a result that tells whether it may have run."""
    for request_id, mailbox in list(runtime.mailboxes.items()):
        await runtime.dispatch(QueueWaitExpired(runtime.clock.monotonic(), request_id))
        if request_id in runtime.state.requests and mailbox.task is not None:
            mailbox.must_answer = True
            await mailbox.task.cancel(blocking=False)


async def _end_failed_request(
    runtime: Runtime, mailbox: Mailbox, request_id: RequestId
) -> ServedRequest:
    """Ends a request after an unforeseen failure, so that its caller is answered.

    The reducer is told as of a cancelled request, and releases what the request holds.
    """
    try:
        async with curio.disable_cancellation():
            await _report_cancellation(runtime, request_id)
        # The reducer may have cancelled this task, which has ended the request already.
        await curio.check_cancellation()
    except curio.CancelledError:
        pass
    except Exception:
        _log.exception("A failed request could not be released.", request=request_id)
    return ServedRequest(build_failure(), tuple(mailbox.attempts), tuple(mailbox.peers))


def build_failure() -> Refusal:
    """Builds the refusal of a request that this host failed to serve; it may have run."""
    verdict = Verdict.MAY_HAVE_RUN
    return Refusal(RefusalReason.HOST_FAILED, verdict, verdict, None, "this host failed")


def _read_result(
    context: ServingContext, mailbox: Mailbox, effect: RequestEffect
) -> ServedRequest | None:
    match effect:
        case DeliverAnswer():
            answer = _strip_attempt_id(context.conventions, effect.answer)
            return ServedRequest(answer, tuple(mailbox.attempts), tuple(mailbox.peers))
        case RefuseRequest():
            return ServedRequest(effect.refusal, tuple(mailbox.attempts), tuple(mailbox.peers))
    return None


def _find_result(context: ServingContext, mailbox: Mailbox) -> ServedRequest:
    """Returns the result of a request that was ended.

    The reducer has none for a request whose key is being claimed or that its owner serves.
    """
    for effect in mailbox.effects:
        served = _read_result(context, mailbox, effect)
        if served is not None:
            return served
    verdict = Verdict.MAY_HAVE_RUN
    refusal = Refusal(RefusalReason.TARGET_CUT, verdict, verdict, None, "this host stops")
    return ServedRequest(refusal, tuple(mailbox.attempts), tuple(mailbox.peers))


def _strip_attempt_id(conventions: HttpConventions, answer: Answer) -> Answer:
    """Removes the attempt's id from the answer, unless callers choose the request ids."""
    if conventions.keeps_request_ids:
        return answer
    name = conventions.request_id_header
    return replace(answer, headers=tuple(pair for pair in answer.headers if pair[0] != name))


async def _perform_effect(
    context: ServingContext,
    mailbox: Mailbox,
    effect: RequestEffect,
    request: TargetRequest,
    head: RequestHead,
) -> None:
    match effect:
        case SendToTarget():
            await _run_attempt(context, mailbox, effect, request)
        case QueueRequest():
            await _wait_in_queue(context.runtime, mailbox, effect)
        case ClaimKey():
            await _claim_key(context, effect)
        case ForwardToOwner():
            await _forward_to_owner(context, effect, request, head)
        case ForwardToPeer():
            await _forward_to_peer(context, mailbox, effect, request, head)


async def _run_attempt(
    context: ServingContext, mailbox: Mailbox, effect: SendToTarget, request: TargetRequest
) -> None:
    runtime = context.runtime

    if effect.hedge_after is not None:
        await _run_hedged_attempt(context, mailbox, effect, request, effect.hedge_after)
        return
    finished = await _exchange(context, mailbox, effect, request)
    _record_attempt(runtime, mailbox, effect, finished)
    await runtime.dispatch(finished)


async def _run_hedged_attempt(
    context: ServingContext,
    mailbox: Mailbox,
    effect: SendToTarget,
    request: TargetRequest,
    hedge_after: timedelta,
) -> None:
    """Makes an attempt and, if the reducer starts one after `hedge_after`, a hedge beside it.

    The attempt that is still in progress when the reducer has ended the request is cancelled, which
    closes its connection. So are both if the caller disconnects.
    """
    runtime = context.runtime
    async with curio.TaskGroup() as group:
        first = await group.spawn(_exchange, context, mailbox, effect, request)
        running = {first.id: (effect, runtime.clock.monotonic())}
        async with curio.ignore_after(hedge_after.total_seconds()):
            await first.wait()
        if not first.terminated:
            now = runtime.clock.monotonic()
            await runtime.dispatch(HedgeDue(now, effect.request, effect.target))
            for hedge in [e for e in mailbox.effects if isinstance(e, StartHedge)]:
                mailbox.effects.remove(hedge)
                task = await group.spawn(_exchange, context, mailbox, hedge.attempt, request)
                running[task.id] = (hedge.attempt, runtime.clock.monotonic())
        async for task in group:
            attempt, _ = running.pop(task.id)
            finished = replace(task.result, is_hedge=attempt is not effect)
            _record_attempt(runtime, mailbox, attempt, finished)
            await runtime.dispatch(finished)
            if mailbox.effects:
                break
        await group.cancel_remaining()
    for attempt, started in running.values():
        now = runtime.clock.monotonic()
        cancelled = replace(
            cancel_attempt(now, attempt.request, attempt.target),
            latency=now - started,
            is_hedge=attempt is not effect,
        )
        _record_attempt(runtime, mailbox, attempt, cancelled)


async def _exchange(
    context: ServingContext, mailbox: Mailbox, effect: SendToTarget, request: TargetRequest
) -> AttemptFinished:
    """Makes one attempt, which the reducer may abort when it is late."""
    runtime = context.runtime

    async def is_aborted() -> bool:
        """Reports the late attempt to the reducer, which aborts it or lets it continue."""
        now = runtime.clock.monotonic()
        await runtime.dispatch(AttemptLate(now, effect.request, effect.target))
        aborts = [posted for posted in mailbox.effects if isinstance(posted, AbortAttempt)]
        for abort in aborts:
            mailbox.effects.remove(abort)
        return bool(aborts)

    return await context.pool.attempt(
        effect, request, is_aborted, lambda: may_still_send(runtime.state, effect)
    )


def _record_attempt(
    runtime: Runtime, mailbox: Mailbox, effect: SendToTarget, finished: AttemptFinished
) -> None:
    """Counts an attempt that ended, and keeps it for the log line of its request."""
    runtime.metrics.count_attempt(effect.service, finished)
    mailbox.attempts.append(finished)


async def _report_cancellation(runtime: Runtime, request: RequestId) -> None:
    """Reports to the reducer that a cancelled request has left its target or the queue.

    The cancellation may arrive at any await, also after the reducer chose a target and before the
    attempt has begun.
    """
    pending = runtime.state.requests.get(request)
    if pending is None:
        return
    now = runtime.clock.monotonic()
    if pending.target is None:
        await runtime.dispatch(CallerDisconnected(now, request))
        return
    await runtime.dispatch(cancel_attempt(now, request, pending.target))


async def _wait_in_queue(runtime: Runtime, mailbox: Mailbox, effect: QueueRequest) -> None:
    remaining = (effect.until - runtime.clock.monotonic()).total_seconds()
    if not mailbox.effects and remaining > 0.0:
        mailbox.ready.clear()
        async with curio.ignore_after(remaining):
            await mailbox.ready.wait()
    if not mailbox.effects:
        now = runtime.clock.monotonic()
        await runtime.dispatch(QueueWaitExpired(now, effect.request))


async def _claim_key(context: ServingContext, effect: ClaimKey) -> None:
    runtime = context.runtime
    identity = runtime.state.membership.me
    claim = Claim(effect.key, identity.host, identity.incarnation, effect.claim)
    remaining = (effect.until - runtime.clock.monotonic()).total_seconds()
    result = ClaimResult(ClaimOutcome.UNKNOWN)
    async with curio.ignore_after(max(0.0, remaining)):
        result = await context.claims.claim(claim)
    now = runtime.clock.monotonic()
    holder = result.holder
    if holder is None:
        event = KeyClaimSettled(now, effect.request, result.outcome)
    else:
        event = KeyClaimSettled(
            now, effect.request, result.outcome, holder.host, holder.incarnation, holder.claim_id
        )
    await runtime.dispatch(event)


async def _forward_to_owner(
    context: ServingContext, effect: ForwardToOwner, request: TargetRequest, head: RequestHead
) -> None:
    assert head.key is not None
    timeout = effect.deadline - context.runtime.clock.monotonic()
    call = _build_forward_call(request, head, effect.owner, effect.incarnation, timeout)
    await _forward(context, effect.request, effect.address, call)


async def _forward_to_peer(
    context: ServingContext,
    mailbox: Mailbox,
    effect: ForwardToPeer,
    request: TargetRequest,
    head: RequestHead,
) -> None:
    mailbox.peers.append(effect.peer)
    timeout = effect.deadline - context.runtime.clock.monotonic()
    call = replace(
        _build_forward_call(request, head, effect.peer, Incarnation(0), timeout),
        key=None,
        for_peer=True,
        earlier_attempts=effect.earlier_attempts,
        config_version=effect.config_version,
        takes_retry=effect.takes_retry,
    )
    await _forward(context, effect.request, effect.address, call, PEER_CONNECT_TIMEOUT)


def _build_forward_call(
    request: TargetRequest,
    head: RequestHead,
    owner: HostId,
    incarnation: Incarnation,
    timeout: timedelta,
) -> ForwardedRequest:
    return ForwardedRequest(
        owner=owner,
        incarnation=incarnation,
        method=request.method,
        target=request.target.decode("latin-1"),
        headers=request.headers,
        body=request.body,
        caller=head.caller,
        key=head.key,
        timeout=timeout,
    )


async def _forward(
    context: ServingContext,
    request: RequestId,
    address: Address,
    call: ForwardedRequest,
    connect_timeout: timedelta | None = None,
) -> None:
    clock = context.runtime.clock
    holding = context.pool.memory.find(request)

    async def reserve(size: int) -> bool:
        if holding is None:
            return True
        return await context.pool.memory.reserve(holding, size, MAX_MEMORY_WAIT)

    try:
        reply = await call_peer(
            context.secret, address, call, call.timeout, reserve, connect_timeout
        )
    except PeerCallError as error:
        failed = ForwardFinished(
            clock.monotonic(), request, ForwardOutcome.BROKEN, connected=error.sent
        )
        await context.runtime.dispatch(failed)
        return
    event = _build_forward_event(context.runtime, request, reply)
    await context.runtime.dispatch(event)


def _build_forward_event(runtime: Runtime, request: RequestId, reply: Reply) -> ForwardFinished:
    now = runtime.clock.monotonic()
    if isinstance(reply, ForwardReply):
        result, leaving = reply.result, reply.leaving
        if isinstance(result, Answer):
            return ForwardFinished(
                now, request, ForwardOutcome.ANSWERED, answer=result, leaving=leaving
            )
        return ForwardFinished(
            now, request, ForwardOutcome.REFUSED, refusal=result, leaving=leaving
        )
    return ForwardFinished(now, request, ForwardOutcome.BROKEN)
