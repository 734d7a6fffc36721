"""Gives requests to targets: admission, queueing, attempts, retries and ends of requests."""

from datetime import timedelta

from endivedrift.core import (
    Address,
    Answer,
    AttemptOutcome,
    AuditEntry,
    AuditKind,
    Instant,
    KeyPhase,
    LeavingSource,
    PauseCause,
    RefusalReason,
    RequestId,
    TargetName,
    TargetState,
    Verdict,
    judge_outcome,
)
from endivedrift.core.effects import (
    AbortAttempt,
    DeliverAnswer,
    Effect,
    QueueRequest,
    RecordAudit,
    SendToTarget,
)
from endivedrift.core.events import AttemptFinished, AttemptLate
from endivedrift.policy import (
    Attempt,
    ServiceState,
    TargetRecord,
    Waiting,
    add_own_evidence,
    choose_target,
    estimate_wait,
    has_standing_queue,
    judge_evidence,
    learn_latency,
    mark_leaving,
    note_probation,
    note_queue,
    note_turn,
    others_answer,
    pause_target,
    pop_waiting,
    push_back,
    push_waiting,
    store_answer,
)
from endivedrift.reducer._refusals import refuse
from endivedrift.reducer._state import (
    HostState,
    RequestState,
    is_named,
    list_primaries,
    share_slots,
)

_REASONS = {
    AttemptOutcome.SHED: RefusalReason.TARGET_REFUSED,
    AttemptOutcome.DRAINING: RefusalReason.TARGET_REFUSED,
    AttemptOutcome.MISDIRECTED: RefusalReason.TARGET_REFUSED,
    AttemptOutcome.NOT_CONNECTED: RefusalReason.TARGET_UNREACHABLE,
    AttemptOutcome.CUT: RefusalReason.TARGET_CUT,
    AttemptOutcome.CANCELLED: RefusalReason.TARGET_CUT,
    AttemptOutcome.TIMED_OUT: RefusalReason.TARGET_TIMEOUT,
    AttemptOutcome.MALFORMED: RefusalReason.TARGET_MALFORMED,
    AttemptOutcome.TOO_LARGE: RefusalReason.TARGET_TOO_LARGE,
}
_FINAL_OUTCOMES = frozenset({AttemptOutcome.CANCELLED, AttemptOutcome.TOO_LARGE})
_PAUSE_CAUSES = {
    AttemptOutcome.CUT: PauseCause.BROKEN,
    AttemptOutcome.MALFORMED: PauseCause.BROKEN,
    AttemptOutcome.NOT_CONNECTED: PauseCause.BROKEN,
    AttemptOutcome.TIMED_OUT: PauseCause.BROKEN,
    AttemptOutcome.SHED: PauseCause.REFUSED,
}
_PATH_OUTCOMES = frozenset(
    {AttemptOutcome.NOT_CONNECTED, AttemptOutcome.TIMED_OUT, AttemptOutcome.SHED}
)
"""Failures that other hosts are not told of: the path may be at fault, or the moment."""
SERVER_ERROR = 500
MAX_REUSE_IDLE = timedelta(seconds=10)
"""Idle time after which a connection is not used again: the shortest idle timeout of the users'
targets."""
LONG_FACTOR = 4
"""How many times the typical time a long request takes: about one in a hundred of the users' takes
longer by the spread of their work."""
OUTSIDER_BUDGET_CAP = 1.0
"""Retries that a host may save up which callers are not sent to: the least that can be spent."""
MAX_UNCONNECTED = 4
"""Targets that may fail to open a connection before a request is refused: each costs at most the
connection timeout and nothing at the target."""


def admit(state: HostState, at: Instant, request: RequestId) -> list[Effect]:
    """Sends a request to a target, queues it, or refuses it.

    Args:
      state: The host.
      at: Present time.
      request: A request in `state.requests` with no attempt in progress.
    Returns:
      The effects.
    """
    held = state.requests[request]
    service = state.services.get(held.service)
    if service is None:
        detail = "the service was removed"
        return end_refused(state, at, request, RefusalReason.NO_TARGET, detail, timedelta(0))
    if at >= held.deadline:
        return end_refused(state, at, request, RefusalReason.DEADLINE, "no time is left")
    if not held.attempts:
        _fund_retries(state, service)
    service.limit_per_target = share_slots(state, held.service)
    state.active_services.add(held.service)
    rank = held.route.route.queue_priority
    ahead = any(service.queues[r] for r in service.queues if r <= rank)
    if held.attempts or not ahead:
        effects = _try_target(state, service, at, request)
        if effects:
            return effects
    return _enqueue(state, service, at, request)


def serve_waiting(state: HostState, service: ServiceState, at: Instant) -> list[Effect]:
    """Gives waiting requests to targets that have room."""
    effects: list[Effect] = []
    while (waiting := pop_waiting(service)) is not None:
        held = state.requests.get(waiting.request)
        if held is None:
            continue
        if at >= waiting.until:
            effects += give_up_waiting(state, service, at, waiting.request)
            continue
        sent = _try_target(state, service, at, waiting.request)
        if not sent:
            push_back(service, held.route.route.queue_priority, waiting)
            return effects
        note_turn(service, at)
        effects += sent
    note_queue(service)
    return effects


def give_up_waiting(
    state: HostState, service: ServiceState, at: Instant, request: RequestId
) -> list[Effect]:
    """Refuses a request that waited as long as it may."""
    detail = "no target had room in time"
    retry = estimate_wait(service, state.requests[request].route.route.queue_priority)
    return end_refused(state, at, request, RefusalReason.QUEUE_WAIT, detail, retry)


def finish_attempt(state: HostState, event: AttemptFinished) -> list[Effect]:
    """Accounts the end of an attempt and answers, retries or refuses its request.

    Args:
      state: The host.
      event: The end of the attempt.
    Returns:
      The effects; a request that was given up before has none of its own.
    """
    held = state.requests.get(event.request)
    if held is None or held.target != event.target:
        return []
    held.target = None
    if event.outcome is AttemptOutcome.NOT_CONNECTED:
        held.attempts -= 1
        held.unconnected += 1
    held.may_have_run |= judge_outcome(event.outcome) is Verdict.MAY_HAVE_RUN
    service = state.services.get(held.service)
    effects: list[Effect] = []
    if service is not None:
        effects += _account_attempt(state, service, event)
    answer = event.answer if event.outcome is AttemptOutcome.ANSWERED else None
    served = answer is not None and answer.status < SERVER_ERROR
    if not served and service is not None and _may_retry(service, held, event):
        held.failure = answer or held.failure
        effects += admit(state, event.at, event.request)
    elif answer is not None:
        effects += end_answered(state, event.at, event.request, answer)
    else:
        detail = f"target {event.target}: {event.outcome.value}"
        reason = _REASONS[event.outcome]
        effects += end_refused(state, event.at, event.request, reason, detail, timedelta(0))
    if service is not None:
        effects += serve_waiting(state, service, event.at)
    return effects


def judge_late(state: HostState, event: AttemptLate) -> list[Effect]:
    """Gives up a late attempt where another target is able to answer.

    While no other target answers faster, the whole service is slow, and waiting is best. So it is
    where the target answered another request meanwhile: then the request itself takes long.
    """
    held = state.requests.get(event.request)
    service = state.services.get(held.service) if held is not None else None
    if held is None or service is None or held.target != event.target:
        return []
    record = service.targets.get(event.target)
    attempt = record.attempts.get(event.request) if record is not None else None
    may_repeat = held.route.route.repeatable and held.attempts < _limit_attempts(service, held)
    if record is None or attempt is None or not may_repeat or service.retry_budget.tokens < 1.0:
        return []
    if record.last_success_at is not None and record.last_success_at > attempt.started:
        return []
    if not others_answer(service, event.target, attempt.started, event.at):
        return []
    return [AbortAttempt(event.request)]


def end_answered(state: HostState, at: Instant, request: RequestId, answer: Answer) -> list[Effect]:
    """Ends a request with an answer, which is kept where the request has a key."""
    held = state.requests.pop(request)
    _count_end(state, held, answer.status < SERVER_ERROR, at)
    if held.key is not None:
        store_answer(state.keys, held.key, answer)
    return [DeliverAnswer(request, answer)]


def end_refused(
    state: HostState,
    at: Instant,
    request: RequestId,
    reason: RefusalReason,
    detail: str,
    retry_base: timedelta | None = None,
) -> list[Effect]:
    """Ends a request with a refusal and records under its key whether it may have run.

    Where a target has answered with a failure of its own, that answer is delivered.
    """
    held = state.requests[request]
    if held.failure is not None:
        return end_answered(state, at, request, held.failure)
    del state.requests[request]
    _count_end(state, held, False, at)
    if held.key is not None:
        phase = KeyPhase.UNCERTAIN if held.may_have_run else KeyPhase.IDLE
        state.keys.records[held.key].phase = phase
    attempt = Verdict.MAY_HAVE_RUN if held.may_have_run else Verdict.NOT_RUN
    return refuse(
        state,
        at,
        request,
        held.head,
        reason,
        detail,
        retry_base,
        attempt,
        None if held.route.route.repeatable else held.head.key,
        held.service,
    )


def _count_end(state: HostState, held: RequestState, served: bool, at: Instant) -> None:
    service = state.services.get(held.service)
    if service is not None:
        service.recent_outcomes.add(served, at)


def _fund_retries(state: HostState, service: ServiceState) -> None:
    """Adds a request's part to the retry budget.

    Hosts that callers are not sent to see few requests, but are many: together they would save up a
    multiple of what the fleet may spend.
    """
    bucket = service.retry_budget
    if not service.service.share_at_once:
        bucket.cap = float(service.retry.budget_cap)
    elif is_named(state, service.name):
        least, named = service.service.entry_hosts, len(list_primaries(state, service.name))
        bucket.cap = service.retry.budget_cap * min(1.0, least / named)
    else:
        bucket.cap = OUTSIDER_BUDGET_CAP
    bucket.add(service.retry.budget_ratio)


def _limit_attempts(service: ServiceState, held: RequestState) -> int:
    return held.route.route.max_attempts or service.retry.max_attempts


def _try_target(
    state: HostState, service: ServiceState, at: Instant, request: RequestId
) -> list[Effect]:
    held = state.requests[request]
    route = held.route.route
    home = state.identity.failure_domain
    waited = at - held.arrived
    name = choose_target(service, home, held.tried, route.repeatable, state.random, at, waited)
    if name is None:
        return []
    record = service.targets[name]
    record.attempts[request] = Attempt(at)
    record.tried = at
    _share_change(state, service, record)
    held.attempts += 1
    held.tried = held.tried | {name}
    held.target = name
    effect = SendToTarget(
        request=request,
        service=service.name,
        target=name,
        address=Address(record.target.address),
        deadline=held.deadline,
        late_after=_share_time(service, held, at),
        answer_limit_bytes=route.answer_limit_bytes,
        not_run_header=service.group.not_run_header.encode(),
        draining_header=service.group.draining_header.encode(),
        max_reuse_idle=_limit_reuse(service, route.repeatable),
        connect_timeout=timedelta(milliseconds=service.group.connect_ms),
        close_delimited=service.group.close_delimited,
    )
    return [effect]


def _limit_reuse(service: ServiceState, repeatable: bool) -> timedelta:
    """Returns for how long a connection may have been idle that carries a request."""
    if repeatable:
        return MAX_REUSE_IDLE
    return timedelta(milliseconds=service.group.reuse_unrepeatable_ms)


def _share_change(state: HostState, service: ServiceState, record: TargetRecord) -> None:
    if service.service.share_at_once:
        record.unsent_change = True
        state.urgent.setdefault(service.name, set()).add(TargetName(record.target.name))


def _share_time(service: ServiceState, held: RequestState, at: Instant) -> timedelta:
    """Returns the time after which the attempt just counted is late.

    A repeatable request divides its remaining time among its remaining attempts, but gives each the
    time that a long request of the service takes: a second attempt would take as long.
    """
    left = _limit_attempts(service, held) - held.attempts + 1
    if not held.route.route.repeatable or left <= 1:
        return held.deadline - at
    return max((held.deadline - at) / left, service.typical_latency * LONG_FACTOR)


def _enqueue(
    state: HostState, service: ServiceState, at: Instant, request: RequestId
) -> list[Effect]:
    held = state.requests[request]
    rank = held.route.route.queue_priority
    if not _has_candidate(service, held):
        detail = "no usable target is left"
        retry = timedelta(seconds=1)
        return end_refused(state, at, request, RefusalReason.NO_TARGET, detail, retry)
    allowed = min(held.route.route.queue_wait, held.deadline - at - service.service_time)
    if has_standing_queue(service, at):
        # Longer waits would make every answer late and serve no request more.
        allowed = min(allowed, held.arrived + held.route.route.aim - at - service.service_time)
    expected = estimate_wait(service, rank)
    if expected > allowed:
        detail = f"a wait of {expected.total_seconds():.2f} s is expected"
        return end_refused(state, at, request, RefusalReason.QUEUE_WAIT, detail, expected)
    waiting = Waiting(request, at + allowed, held.deadline)
    queued, displaced = push_waiting(service, rank, waiting, at)
    if not queued:
        detail = "the queue is full"
        return end_refused(state, at, request, RefusalReason.QUEUE_FULL, detail, expected)
    effects: list[Effect] = [QueueRequest(request, waiting.until)]
    if displaced is not None:
        detail = "a more important request took its place in the queue"
        effects += end_refused(state, at, displaced, RefusalReason.QUEUE_FULL, detail, expected)
    return effects


def _has_candidate(service: ServiceState, held: RequestState) -> bool:
    states = {TargetState.HEALTHY, TargetState.WARMING, TargetState.PROBATION}
    return any(
        record.state in states and name not in held.tried
        for name, record in service.targets.items()
    )


def _account_attempt(
    state: HostState, service: ServiceState, event: AttemptFinished
) -> list[Effect]:
    record = service.targets.get(event.target)
    if record is None:
        return []
    entries: list[AuditEntry] = []
    attempt = record.attempts.pop(event.request, None)
    status = event.answer.status if event.answer is not None else 0
    bad = judge_evidence(service, event.outcome, status, event.latency)
    if bad is not None:
        if attempt is None or not attempt.overdue:
            add_own_evidence(service, record, bad)
        entries += note_probation(service, record, bad, event.at)
    if bad is False:
        record.last_success_at = event.at
    failure = PauseCause.ANSWERED if status >= SERVER_ERROR else _PAUSE_CAUSES.get(event.outcome)
    if failure is not None and pause_target(service, record, event.at, failure):
        record.unsent_pause = event.outcome not in _PATH_OUTCOMES
        cause = f"{event.outcome.value} {status or ''}".strip()
        entries.append(
            AuditEntry(event.at, AuditKind.PAUSED, event.target, cause, service.name, event.request)
        )
    _share_change(state, service, record)
    if event.outcome is AttemptOutcome.ANSWERED:
        record.answered = event.at
        record.latency = event.latency
        learn_latency(service, event.latency)
    if event.leaving or event.outcome is AttemptOutcome.DRAINING:
        cause = "its answer says that it is draining"
        entries += mark_leaving(service, event.target, event.at, LeavingSource.ANNOUNCED, cause)
    if event.outcome is AttemptOutcome.MISDIRECTED:
        cause = "another target answers at its address"
        entries += mark_leaving(service, event.target, event.at, LeavingSource.ANNOUNCED, cause)
    return [RecordAudit(entry) for entry in entries]


def _may_retry(service: ServiceState, held: RequestState, event: AttemptFinished) -> bool:
    if event.outcome in _FINAL_OUTCOMES or held.attempts >= _limit_attempts(service, held):
        return False
    if held.unconnected > MAX_UNCONNECTED:
        return False
    if held.may_have_run and not held.route.route.repeatable:
        return False
    if event.at + service.typical_latency >= held.deadline:
        return False
    if not held.attempts:
        return True
    return service.retry_budget.take(event.at)
