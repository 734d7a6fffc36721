"""Sends requests to targets: admission, queueing, attempts, retries and results of requests.

An admitted request is sent to a target that has room, queued, or refused. The end of an attempt
updates the evidence on its target, and its request is answered, retried or refused. A request that
may have run at a target is retried only if it is repeatable. A retry takes a token from the
service's retry budget, unless only connection failures preceded it.
"""

from datetime import timedelta

from endivedrift.core import (
    Address,
    Answer,
    AttemptOutcome,
    AuditEntry,
    AuditKind,
    CallerName,
    HostPhase,
    Importance,
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
    MIN_FAILED_TARGETS,
    Attempt,
    QueuedRequest,
    ServiceState,
    TargetRecord,
    add_own_evidence,
    choose_target,
    classify_outcome,
    dequeue_request,
    earn_hedge,
    enqueue_request,
    estimate_wait,
    has_faster_target,
    has_standing_queue,
    is_large_body,
    mark_leaving,
    observe_response,
    pause_target,
    record_dequeue,
    record_empty_queue,
    record_trial,
    requeue_request,
    store_answer,
    take_trial,
    update_typical_latency,
)
from endivedrift.reducer._paths import (
    PATH_OUTCOMES,
    forward_request,
    hand_over_retry,
    hold_back_failure,
    may_be_path_failure,
    note_attempt,
)
from endivedrift.reducer._quarantine import (
    QUARANTINED_DETAIL,
    QUARANTINED_RETRY_DELAY,
    is_quarantined,
    judge_attempt,
)
from endivedrift.reducer._quotas import return_charge
from endivedrift.reducer._refusals import refuse
from endivedrift.reducer._state import (
    HostState,
    RequestState,
    count_primaries,
    find_account,
    get_limit_per_target,
    is_primary,
)
from endivedrift.reducer._statements import note_statements

_REFUSAL_REASONS = {
    AttemptOutcome.SHED: RefusalReason.TARGET_REFUSED,
    AttemptOutcome.DRAINING: RefusalReason.TARGET_REFUSED,
    AttemptOutcome.MISDIRECTED: RefusalReason.TARGET_REFUSED,
    AttemptOutcome.NOT_CONNECTED: RefusalReason.TARGET_UNREACHABLE,
    AttemptOutcome.WITHDRAWN: RefusalReason.NO_TARGET,
    AttemptOutcome.CUT: RefusalReason.TARGET_CUT,
    AttemptOutcome.CANCELLED: RefusalReason.TARGET_CUT,
    AttemptOutcome.TIMED_OUT: RefusalReason.TARGET_TIMEOUT,
    AttemptOutcome.MALFORMED: RefusalReason.TARGET_MALFORMED,
    AttemptOutcome.TOO_LARGE: RefusalReason.TARGET_TOO_LARGE,
    AttemptOutcome.NO_MEMORY: RefusalReason.TARGET_TOO_LARGE,
}
_FINAL_OUTCOMES = frozenset(
    {AttemptOutcome.CANCELLED, AttemptOutcome.TOO_LARGE, AttemptOutcome.NO_MEMORY}
)
_PAUSE_CAUSES = {
    AttemptOutcome.CUT: PauseCause.BROKEN,
    AttemptOutcome.MALFORMED: PauseCause.BROKEN,
    AttemptOutcome.NOT_CONNECTED: PauseCause.BROKEN,
    AttemptOutcome.TIMED_OUT: PauseCause.BROKEN,
    AttemptOutcome.SHED: PauseCause.REFUSED,
}
_UNSHARED_OUTCOMES = frozenset(
    {AttemptOutcome.NOT_CONNECTED, AttemptOutcome.TIMED_OUT, AttemptOutcome.SHED}
)
"""Failures not reported to other hosts, since the path or a brief overload may be the cause."""
_USABLE_STATES = frozenset({TargetState.HEALTHY, TargetState.WARMING, TargetState.PROBATION})
SERVER_ERROR = 500
MAX_REUSE_IDLE = timedelta(seconds=10)
"""Idle time after which a connection is not reused: the shortest idle timeout of a target."""
LONG_REQUEST_FACTOR = 4
"""Multiple of the typical latency that a long request takes. About one request in a hundred takes
longer, since the amount of work varies."""
LOST_FACTOR = 2
"""Multiple of the time of the answered attempt from which a cancelled one is evidence against its
target, as for attempts that are aborted."""
NON_PRIMARY_BUDGET_CAP = 1.0
"""Cap of the retry budget of a host that is not a primary: the least that allows a retry."""
MAX_FAILED_CONNECTIONS = 4
"""Number of failed connections up to which a request is retried. Each costs at most the connection
timeout and no work at the target."""


def admit(state: HostState, at: Instant, request: RequestId) -> list[Effect]:
    """Sends a request to a target, queues it, or refuses it.

    Args:
      state: The host.
      at: Current time.
      request: A request in `state.requests` with no attempt in progress.
    Returns:
      The effects of sending, queueing or refusing it.
    """
    pending = state.requests[request]
    service = state.services.get(pending.service)
    if service is None:
        detail = "the service was removed"
        return end_with_refusal(state, at, request, RefusalReason.NO_TARGET, detail, timedelta(0))
    if at >= pending.deadline:
        return end_with_refusal(state, at, request, RefusalReason.DEADLINE, "no time is left")
    if is_quarantined(state, pending.head.digest, at):
        return _end_quarantined(state, at, request)
    if state.path.is_cut:
        if pending.head.for_peer:
            reason, detail = RefusalReason.NO_PATH, "this host reaches no target"
            return end_with_refusal(state, at, request, reason, detail, timedelta(0))
        forwarded = [] if take_trial(state.path, at) else forward_request(state, at, request)
        if forwarded:
            return forwarded
    if not pending.attempt_count:
        _add_retry_budget(state, service)
    service.limit_per_target = get_limit_per_target(state, pending.service)
    service.primary_count = max(1, count_primaries(state, pending.service))
    state.active_services.add(pending.service)
    priority = pending.priority
    ahead = (q for r in service.queues if r <= priority for q in service.queues[r])
    if pending.attempt_count or not any(_must_precede(state, q, pending) for q in ahead):
        effects = _start_attempt(state, service, at, request)
        if effects:
            return effects
    return _enqueue(state, service, at, request)


def _must_precede(state: HostState, queued: QueuedRequest, pending: RequestState) -> bool:
    """Tells whether a queued request is sent before a new one that could be sent now.

    A large body that waits for room at a target delays no request without one.
    """
    other = state.requests.get(queued.request)
    return other is None or _has_large_body(pending) or not _has_large_body(other)


def _has_large_body(pending: RequestState) -> bool:
    return is_large_body(pending.head.body_bytes)


def dispatch_queued(state: HostState, service: ServiceState, at: Instant) -> list[Effect]:
    """Sends queued requests to targets that have room, and passes over large bodies without it."""
    effects: list[Effect] = []
    passed_over: list[tuple[Importance, QueuedRequest]] = []
    while (queued_request := dequeue_request(service)) is not None:
        pending = state.requests.get(queued_request.request)
        if pending is None:
            continue
        if at >= queued_request.give_up_at:
            effects += refuse_queued(state, service, at, queued_request.request)
            continue
        if is_quarantined(state, pending.head.digest, at):
            effects += _end_quarantined(state, at, queued_request.request)
            continue
        sent = forward_request(state, at, queued_request.request) if state.path.is_cut else []
        sent = sent or _start_attempt(state, service, at, queued_request.request)
        if not sent:
            passed_over.append((pending.priority, queued_request))
            if _has_large_body(pending):
                continue
            break
        record_dequeue(service, at)
        effects += sent
    for priority, queued_request in reversed(passed_over):
        requeue_request(service, priority, queued_request)
    record_empty_queue(service)
    return effects


def refuse_queued(
    state: HostState, service: ServiceState, at: Instant, request: RequestId
) -> list[Effect]:
    """Refuses a request whose time in the queue has ended."""
    detail = "no target had room in time"
    pending = state.requests[request]
    retry = estimate_wait(service, pending.priority, pending.head.caller)
    return end_with_refusal(state, at, request, RefusalReason.QUEUE_WAIT, detail, retry)


def _end_quarantined(state: HostState, at: Instant, request: RequestId) -> list[Effect]:
    """Refuses a request that has been quarantined since it arrived."""
    reason, detail = RefusalReason.QUARANTINED, QUARANTINED_DETAIL
    return end_with_refusal(state, at, request, reason, detail, QUARANTINED_RETRY_DELAY)


def may_still_send(state: HostState, effect: SendToTarget) -> bool:
    """Tells whether the target of an attempt still takes requests when the attempt can be sent.

    Time passes between the choice of the target and the sending: the event loop may be late, and a
    connection has to be opened. A target that is gone, or another process at its address, takes
    none.
    """
    service = state.services.get(effect.service)
    if service is None:
        return True
    record = service.targets.get(effect.target)
    if record is None or record.target.address != effect.address:
        return False
    if record.started_ms != effect.started_ms:
        return False
    return record.state is not TargetState.LEAVING


def finish_attempt(state: HostState, event: AttemptFinished) -> list[Effect]:
    """Records the end of an attempt and answers, retries or refuses its request.

    Args:
      state: The host.
      event: The end of the attempt.
    Returns:
      The effects; none on the request if it has already ended.
    """
    pending = state.requests.get(event.request)
    service = state.services.get(pending.service) if pending is not None else None
    effects: list[Effect] = [RecordAudit(e) for e in note_statements(state, service, event)]
    if pending is None or event.target not in (pending.target, pending.hedge_target):
        return effects
    other = pending.hedge_target if event.target == pending.target else pending.target
    pending.target, pending.hedge_target = other, None
    if event.outcome in (AttemptOutcome.NOT_CONNECTED, AttemptOutcome.WITHDRAWN):
        pending.attempt_count -= 1
    if event.outcome is AttemptOutcome.NOT_CONNECTED:
        pending.failed_connections += 1
    pending.may_have_run |= judge_outcome(event.outcome) is Verdict.MAY_HAVE_RUN
    effects += note_attempt(state, event)
    effects += judge_attempt(state, pending, event)
    is_barred = is_quarantined(state, pending.head.digest, event.at)
    may_run_again = not is_barred and not pending.key_withdrawn
    reserved = None
    if service is not None:
        effects += _record_attempt(state, service, event)
        reserved = _release_reservation(state, service, pending, event.request)
    answer = event.answer if event.outcome is AttemptOutcome.ANSWERED else None
    served = answer is not None and answer.status < SERVER_ERROR
    hedging = service.hedging if service is not None else None
    if hedging is not None and pending.is_measured and served:
        observe_response(hedging, pending.route.name, event.latency, event.at)
    pending.is_measured = False
    if other is not None:
        if not served and event.outcome is not AttemptOutcome.CANCELLED:
            pending.failure_answer = answer or pending.failure_answer
            return effects + (dispatch_queued(state, service, event.at) if service else [])
        effects += _cancel_other_attempt(state, service, event, other)
        pending.target = None
    forwarded: list[Effect] = []
    if service is not None:
        _return_held_retry(service, pending)
        if may_run_again and _is_path_suspected(state, pending, event):
            forwarded = _forward_retry(state, service, event)
    if forwarded:
        effects += forwarded
    elif (
        not served
        and may_run_again
        and service is not None
        and _may_retry(service, pending, event, is_reserved=reserved is not None)
    ):
        pending.failure_answer = answer or pending.failure_answer
        in_time = event.at < pending.deadline
        if reserved is not None and in_time and _is_usable(service, reserved, event.at):
            effects += _send_to_target(state, service, event.at, event.request, reserved)
        else:
            effects += admit(state, event.at, event.request)
    elif not served and may_run_again and _may_hand_over(state, service, pending, event):
        pending.failure_answer = answer or pending.failure_answer
        pending.handed_over_for = _find_refusal_reason(event)
        effects += hand_over_retry(state, event.at, event.request) or _end_failed(state, event)
    elif answer is not None:
        effects += end_with_answer(state, event.at, event.request, answer)
    elif is_barred:
        effects += _end_quarantined(state, event.at, event.request)
    else:
        effects += _end_failed(state, event)
    if service is not None:
        effects += dispatch_queued(state, service, event.at)
    return effects


def _end_failed(state: HostState, event: AttemptFinished) -> list[Effect]:
    """Ends a request whose last attempt has failed."""
    detail = f"target {event.target}: {event.outcome.value}"
    reason = _find_refusal_reason(event)
    return end_with_refusal(state, event.at, event.request, reason, detail, timedelta(0))


def _find_refusal_reason(event: AttemptFinished) -> RefusalReason:
    """Returns why a request is refused after a failed attempt.

    After a server error, its answer is delivered in place of the refusal.
    """
    return _REFUSAL_REASONS.get(event.outcome, RefusalReason.TARGET_MALFORMED)


def may_try_again(state: HostState, pending: RequestState, at: Instant) -> bool:
    """Tells whether a request that another host has not served may still be tried."""
    service = state.services.get(pending.service)
    if service is None or (pending.may_have_run and not pending.route.route.repeatable):
        return False
    if pending.key_withdrawn:
        return False
    if not has_retry_left(service, pending, at):
        return False
    return not pending.attempt_count or service.retry_budget.take(at)


def _is_path_suspected(state: HostState, pending: RequestState, event: AttemptFinished) -> bool:
    """Tells whether an attempt failed for want of a path, so that another host may serve it."""
    if event.outcome not in PATH_OUTCOMES:
        return False
    return state.path.is_cut or pending.failed_connections >= MIN_FAILED_TARGETS


def _forward_retry(state: HostState, service: ServiceState, event: AttemptFinished) -> list[Effect]:
    """Forwards a request whose attempt failed, if it may run again and the budget allows it."""
    pending = state.requests[event.request]
    if event.at + service.typical_latency >= pending.deadline:
        return []
    if pending.attempt_count >= _get_max_attempts(service, pending):
        return []
    if pending.attempt_count and not service.retry_budget.take(event.at):
        return []
    forwarded = forward_request(state, event.at, event.request)
    if not forwarded and pending.attempt_count:
        service.retry_budget.add(1.0)
    return forwarded


def _return_held_retry(service: ServiceState, pending: RequestState) -> None:
    """Returns the retry that was taken from the budget before an attempt was aborted."""
    if pending.holds_retry:
        pending.holds_retry = False
        service.retry_budget.add(1.0)


def handle_late_attempt(state: HostState, event: AttemptLate) -> list[Effect]:
    """Aborts a late attempt if another target answers faster and a retry is certain to be sent.

    If no other target does, the whole service is slow and a retry would not help. If the target has
    answered another request well since the attempt began, the request itself takes long. The target
    may be at work on the request, so the retry is taken from the budget, and its room at another
    target is reserved, before the attempt is aborted. A stopping host aborts nothing: if the retry
    failed, it would have refused a request that a target was working on.
    """
    if state.phase is HostPhase.LEAVING:
        return []
    pending = state.requests.get(event.request)
    service = state.services.get(pending.service) if pending is not None else None
    if pending is None or service is None or pending.target != event.target:
        return []
    record = service.targets.get(event.target)
    attempt = record.attempts.get(event.request) if record is not None else None
    if record is None or attempt is None or pending.reserved_target is not None:
        return []
    if pending.hedge_target is not None:
        return []
    if not pending.route.route.repeatable or not has_retry_left(service, pending, event.at):
        return []
    if state.path.is_cut and not pending.head.for_peer and service.retry_budget.take(event.at):
        pending.holds_retry = True
        return [AbortAttempt(event.request)]
    if record.last_success_at is not None and record.last_success_at > attempt.started:
        return []
    if not has_faster_target(service, event.target, attempt.started, event.at):
        return []
    if not _reserve_retry(state, service, event.at, event.request):
        return []
    passed = (event.at - attempt.started).total_seconds()
    cause = f"no answer after {passed:.3f} s, while another target answers in less than half of it"
    entry = AuditEntry(
        event.at, AuditKind.ATTEMPT_ABORTED, event.target, cause, service.name, event.request
    )
    return [AbortAttempt(event.request), RecordAudit(entry)]


def end_with_answer(
    state: HostState, at: Instant, request: RequestId, answer: Answer
) -> list[Effect]:
    """Ends a request with an answer, which is stored if the request has a key."""
    pending = state.requests.pop(request)
    _record_outcome(state, pending, answer.status < SERVER_ERROR, at)
    if pending.key is not None:
        store_answer(state.keys, pending.key, answer)
    return [DeliverAnswer(request, answer)]


def end_with_refusal(
    state: HostState,
    at: Instant,
    request: RequestId,
    reason: RefusalReason,
    detail: str,
    retry_base: timedelta | None = None,
) -> list[Effect]:
    """Ends a request with a refusal and records under its key whether it may have run.

    If a target has answered an earlier attempt with a server error, that answer is delivered
    instead.
    """
    pending = state.requests[request]
    if pending.failure_answer is not None:
        return end_with_answer(state, at, request, pending.failure_answer)
    del state.requests[request]
    if not pending.attempt_count and not pending.asked_peers and not pending.may_have_run:
        return_charge(state, pending)
    _record_outcome(state, pending, False, at)
    if pending.key is not None:
        phase = KeyPhase.UNCERTAIN if pending.may_have_run else KeyPhase.IDLE
        state.keys.records[pending.key].phase = phase
    attempt = Verdict.MAY_HAVE_RUN if pending.may_have_run else Verdict.NOT_RUN
    return refuse(
        state,
        at,
        request,
        pending.head,
        reason,
        detail,
        retry_base,
        attempt,
        None if pending.route.route.repeatable else pending.head.key,
        pending.service,
    )


def _record_outcome(state: HostState, pending: RequestState, served: bool, at: Instant) -> None:
    service = state.services.get(pending.service)
    if service is not None:
        service.recent_outcomes.add(served, at)


def _add_retry_budget(state: HostState, service: ServiceState) -> None:
    """Adds what one request contributes to the retry budget.

    Hosts that are not primaries get few requests, but they are many. With the full cap, they would
    together accumulate a multiple of the fleet's retry budget.
    """
    bucket = service.retry_budget
    if not service.service.share_at_once:
        bucket.cap = float(service.retry.budget_cap)
    elif is_primary(state, service.name):
        min_hosts, count = service.service.entry_hosts, count_primaries(state, service.name)
        bucket.cap = service.retry.budget_cap * min(1.0, min_hosts / count)
    else:
        bucket.cap = NON_PRIMARY_BUDGET_CAP
    bucket.add(service.retry.budget_ratio)


def _get_max_attempts(service: ServiceState, pending: RequestState) -> int:
    return pending.route.route.max_attempts or service.retry.max_attempts


def _start_attempt(
    state: HostState, service: ServiceState, at: Instant, request: RequestId
) -> list[Effect]:
    name = _choose_target(state, service, at, state.requests[request])
    return _send_to_target(state, service, at, request, name) if name is not None else []


def _choose_target(
    state: HostState, service: ServiceState, at: Instant, pending: RequestState
) -> TargetName | None:
    return choose_target(
        service,
        state.identity.failure_domain,
        pending.tried_targets,
        pending.route.route.repeatable,
        state.random,
        at,
        at - pending.arrived,
        pending.head.body_bytes,
    )


def _send_to_target(
    state: HostState, service: ServiceState, at: Instant, request: RequestId, name: TargetName
) -> list[Effect]:
    effect = begin_attempt(state, service, at, request, name)
    state.requests[request].target = name
    return [effect]


def begin_attempt(
    state: HostState, service: ServiceState, at: Instant, request: RequestId, name: TargetName
) -> SendToTarget:
    """Occupies a slot at a target for an attempt, and returns the attempt."""
    pending = state.requests[request]
    route = pending.route.route
    record = service.targets[name]
    hedge_after = _measure_first_attempt(state, service, pending, at)
    _occupy_slot(state, service, record, request, at)
    service.served_shares.add(pending.head.caller, _get_quota(state, pending), at)
    pending.attempt_count += 1
    pending.tried_targets = pending.tried_targets | {name}
    return SendToTarget(
        request=request,
        service=service.name,
        target=name,
        address=Address(record.target.address),
        started_ms=record.started_ms,
        deadline=pending.deadline,
        late_after=_compute_late_after(service, pending, at),
        answer_limit_bytes=route.answer_limit_bytes,
        not_run_header=service.group.not_run_header.encode(),
        draining_header=service.group.draining_header.encode(),
        max_reuse_idle=_get_max_reuse_idle(state, service, route.repeatable),
        connect_timeout=timedelta(milliseconds=service.group.connect_ms),
        close_delimited=service.group.close_delimited,
        caller=_get_label(state, pending.head.caller),
        hedge_after=hedge_after,
    )


def _get_label(state: HostState, caller: CallerName | None) -> CallerName | None:
    """Returns the name by which targets are told of an account."""
    account = find_account(state, caller)
    return CallerName(account.label) if account is not None and account.label else caller


def _measure_first_attempt(
    state: HostState, service: ServiceState, pending: RequestState, at: Instant
) -> timedelta | None:
    """Counts the request for the hedges of its route, if this is its first attempt.

    Hosts that are no primaries hedge nothing: they are many, and what each saves up would add up.
    A request that another host forwarded has counted there.

    Returns:
      The time after which the attempt may be hedged, or None if it is not.
    """
    route = pending.route.route
    if service.hedging is None or pending.tried_targets or pending.head.for_peer:
        return None
    if not route.repeatable or not route.max_hedge_share or not is_primary(state, service.name):
        return None
    count = count_primaries(state, service.name)
    known = earn_hedge(service.hedging, pending.route.name, route.max_hedge_share, count, at)
    pending.is_measured = True
    return known.delay


def _cancel_other_attempt(
    state: HostState, service: ServiceState | None, event: AttemptFinished, target: TargetName
) -> list[Effect]:
    """Notes the end of the attempt that another one has made superfluous.

    The shell cancels it when the request ends. It frees its slot at once. A target that has had the
    request for more than twice as long as the one that answered is slow, or does not answer at all.
    Without a cancellation, its answer or its silence would soon be evidence against it.
    """
    record = service.targets.get(target) if service is not None else None
    attempt = record.attempts.get(event.request) if record is not None else None
    if service is None or attempt is None:
        return []
    latency = event.at - attempt.started
    lost = event.outcome is AttemptOutcome.ANSWERED and latency > event.latency * LOST_FACTOR
    cancelled = AttemptFinished(
        event.at, event.request, target, AttemptOutcome.CANCELLED, timedelta(0)
    )
    return _record_attempt(state, service, cancelled, lost)


def _get_quota(state: HostState, pending: RequestState) -> float:
    """Returns the quota in requests per second by which the use of an account is divided."""
    account = find_account(state, pending.head.caller)
    quota = account.requests_per_s if account is not None else 0.0
    return quota or state.routes.greatest_quota_per_s


def _occupy_slot(
    state: HostState, service: ServiceState, record: TargetRecord, request: RequestId, at: Instant
) -> None:
    body_bytes = state.requests[request].head.body_bytes
    record.attempts[request] = Attempt(at, body_bytes=body_bytes)
    record.last_request_at = at
    if record.rate_limit is not None:
        record.rate_limit.take(at)
    _mark_in_flight_changed(state, service, record)


def _reserve_retry(
    state: HostState, service: ServiceState, at: Instant, request: RequestId
) -> bool:
    """Takes a retry from the budget and occupies a slot for it at another target, if there is one.

    Returns:
      Whether the retry is reserved.
    """
    pending = state.requests[request]
    name = _choose_target(state, service, at, pending)
    if name is None or not service.retry_budget.take(at):
        return False
    _occupy_slot(state, service, service.targets[name], request, at)
    pending.reserved_target = name
    return True


def _release_reservation(
    state: HostState, service: ServiceState, pending: RequestState, request: RequestId
) -> TargetName | None:
    """Returns what was reserved for a retry, and names its target, or None if nothing was."""
    name, pending.reserved_target = pending.reserved_target, None
    if name is None:
        return None
    service.retry_budget.add(1.0)
    record = service.targets.get(name)
    if record is not None and record.attempts.pop(request, None) is not None:
        if record.rate_limit is not None:
            record.rate_limit.give_back()
        _mark_in_flight_changed(state, service, record)
    return name


def _is_usable(service: ServiceState, name: TargetName, at: Instant) -> bool:
    """Tells whether a target still gets requests."""
    record = service.targets.get(name)
    return record is not None and record.state in _USABLE_STATES and record.takes_requests(at)


def _get_max_reuse_idle(state: HostState, service: ServiceState, repeatable: bool) -> timedelta:
    """Returns how long a connection may have been idle to be reused for a request.

    Only a new connection shows whether a path that was lost works again.
    """
    if state.path.is_cut:
        return timedelta(0)
    if repeatable:
        return MAX_REUSE_IDLE
    return timedelta(milliseconds=service.group.reuse_unrepeatable_ms)


def _mark_in_flight_changed(state: HostState, service: ServiceState, record: TargetRecord) -> None:
    if service.service.share_at_once:
        record.unsent_in_flight = True
        state.changed_targets.setdefault(service.name, set()).add(TargetName(record.target.name))


def _compute_late_after(service: ServiceState, pending: RequestState, at: Instant) -> timedelta:
    """Returns the time after which the attempt just started is late.

    A repeatable request divides its remaining time among its remaining attempts. Each gets at least
    the time that a long request of the service takes, since a retry would take as long.
    """
    left = _get_max_attempts(service, pending) - pending.attempt_count + 1
    if not pending.route.route.repeatable or left <= 1:
        return pending.deadline - at
    return max((pending.deadline - at) / left, service.typical_latency * LONG_REQUEST_FACTOR)


def _enqueue(
    state: HostState, service: ServiceState, at: Instant, request: RequestId
) -> list[Effect]:
    pending = state.requests[request]
    priority = pending.priority
    opens_at = _find_opening_time(service, pending, at)
    if opens_at is None:
        detail = "no usable target is left"
        retry = timedelta(seconds=1)
        return end_with_refusal(state, at, request, RefusalReason.NO_TARGET, detail, retry)
    allowed = min(pending.route.route.queue_wait, pending.deadline - at - service.service_time)
    if has_standing_queue(service, at):
        # Longer waits would make every answer late without serving more requests.
        allowed = min(
            allowed, pending.arrived + pending.route.route.aim - at - service.service_time
        )
    expected = max(estimate_wait(service, priority, pending.head.caller), opens_at - at)
    if expected > allowed:
        detail = f"a wait of {expected.total_seconds():.2f} s is expected"
        return end_with_refusal(state, at, request, RefusalReason.QUEUE_WAIT, detail, expected)
    caller = pending.head.caller
    queued_request = QueuedRequest(request, at + allowed, pending.deadline, caller)
    is_queued, displaced = enqueue_request(service, priority, queued_request, at)
    if not is_queued:
        detail = "the queue is full"
        return end_with_refusal(state, at, request, RefusalReason.QUEUE_FULL, detail, expected)
    effects: list[Effect] = [QueueRequest(request, queued_request.give_up_at)]
    if displaced is not None:
        detail = "a more important request took its place in the queue"
        effects += end_with_refusal(
            state, at, displaced, RefusalReason.QUEUE_FULL, detail, expected
        )
    return effects


def _find_opening_time(service: ServiceState, pending: RequestState, at: Instant) -> Instant | None:
    """Returns when the first usable target that was not tried takes requests of this host again.

    Targets that have stated nothing on their requests take them now.
    """
    times = (
        _find_next_time(record, at)
        for name, record in service.targets.items()
        if record.state in _USABLE_STATES and name not in pending.tried_targets
    )
    return min((time for time in times if time is not None), default=None)


def _find_next_time(record: TargetRecord, at: Instant) -> Instant | None:
    """Returns when a target takes a request of this host, or None if it takes none."""
    limit = record.rate_limit
    next_time = limit.find_next_time(at) if limit is not None else at
    return max(next_time, record.held_until) if next_time is not None else None


def _record_attempt(
    state: HostState, service: ServiceState, event: AttemptFinished, lost: bool = False
) -> list[Effect]:
    """Updates what is known of a target with the end of an attempt.

    Args:
      state: The host.
      service: The service of the target.
      event: The end of the attempt.
      lost: Whether another attempt was answered in much less time, which makes its end a bad one.
    Returns:
      Audit entries.
    """
    record = service.targets.get(event.target)
    if record is None:
        return []
    entries: list[AuditEntry] = []
    attempt = record.attempts.pop(event.request, None)
    if state.path.is_cut and event.outcome in PATH_OUTCOMES:
        _mark_in_flight_changed(state, service, record)
        return []
    status = event.answer.status if event.answer is not None else 0
    bad = lost or classify_outcome(service, event.outcome, status, event.latency)
    if bad is not None:
        if attempt is None or not attempt.overdue_count:
            add_own_evidence(service, record, bad)
        entries += record_trial(service, record, bad, event.at)
    if bad is False:
        record.last_success_at = event.at
    failure = PauseCause.ANSWERED if status >= SERVER_ERROR else _PAUSE_CAUSES.get(event.outcome)
    if failure is PauseCause.REFUSED and event.retry_after is not None:
        failure = None
    if failure is not None and pause_target(service, record, event.at, failure):
        record.unsent_pause |= event.outcome not in _UNSHARED_OUTCOMES
        cause = f"{event.outcome.value} {status or ''}".strip()
        entries.append(
            AuditEntry(event.at, AuditKind.PAUSED, event.target, cause, service.name, event.request)
        )
    if may_be_path_failure(event):
        hold_back_failure(state, service, record)
    _mark_in_flight_changed(state, service, record)
    if event.outcome is AttemptOutcome.ANSWERED:
        record.last_answer_at = event.at
        record.last_latency = event.latency
        update_typical_latency(service, event.latency)
    if event.outcome is AttemptOutcome.MISDIRECTED:
        cause = "another target answers at its address"
        entries += mark_leaving(service, event.target, event.at, LeavingSource.REPLACED, cause)
    return [RecordAudit(entry) for entry in entries]


def _may_retry(
    service: ServiceState, pending: RequestState, event: AttemptFinished, is_reserved: bool
) -> bool:
    """Tells whether the request is retried, and takes the retry from the budget.

    The time left for a retry that was reserved was checked before the attempt was aborted.
    """
    if event.outcome in _FINAL_OUTCOMES:
        return False
    if pending.may_have_run and not pending.route.route.repeatable:
        return False
    if not is_reserved and not has_retry_left(service, pending, event.at):
        return False
    return not pending.attempt_count or service.retry_budget.take(event.at)


def _may_hand_over(
    state: HostState, service: ServiceState | None, pending: RequestState, event: AttemptFinished
) -> bool:
    """Tells whether a retry for which this host has none saved up is handed over to a primary.

    Hosts that are not primaries are not told what the targets are doing, so their attempts fail
    more often than their retries allow, while primaries have retries that they do not need.
    """
    if service is None or not service.service.share_at_once or is_primary(state, service.name):
        return False
    if event.outcome in _FINAL_OUTCOMES or pending.head.for_peer or pending.asked_peers:
        return False
    if pending.may_have_run and not pending.route.route.repeatable:
        return False
    # A primary would choose one of the services of a split route anew.
    if pending.split_service is not None or _has_large_body(pending):
        return False
    return has_retry_left(service, pending, event.at)


def has_retry_left(service: ServiceState, pending: RequestState, at: Instant) -> bool:
    """Tells whether attempts are left, and enough time for one more to be answered."""
    if pending.attempt_count >= _get_max_attempts(service, pending):
        return False
    if pending.failed_connections > MAX_FAILED_CONNECTIONS:
        return False
    return at + service.typical_latency < pending.deadline
