"""Evidence that a target is sick, gathered from the outcomes of real requests.

Each outcome is good or bad: an error, a cut or an answer that takes several times the group's
typical time is bad. A one-sided CUSUM test accumulates the log-likelihood ratio of "bad at the
rate of a sick target" against "bad at the rate usual in the group". Since both the typical time
and the usual rate belong to the group, a service that is slow as a whole yields no evidence
against any one of its targets. The test's threshold is the logarithm of the inverse of the
accepted rate of false ejections (Page, Continuous inspection schemes, 1954).
"""

import math
import statistics
from collections.abc import Iterable
from datetime import timedelta

from endivedrift.core import AttemptOutcome, EvidenceDelta, Instant, PauseCause, TargetName
from endivedrift.policy._service import ServiceState, TargetRecord

TYPICAL_STEP = 1.02
LEARNING_ANSWERS = 10
"""Answers from which the typical time is learned before any is held to be slow."""
RATE_WEIGHT = 0.05
RATE_WINDOW = 20
MIN_USUAL_RATE = 0.01
MAX_USUAL_RATE = 0.9
MIN_TYPICAL = timedelta(milliseconds=1)
TIME_WEIGHT = 0.05
SCORE_CAP = 2.0
SERVER_ERROR = 500
MAX_OVERDUE_COUNT = 2
OVERDUE_FACTOR = 4
MAX_PAUSE_DOUBLINGS = 2
REFUSED_PAUSE = timedelta(milliseconds=200)
"""Time for which a target is left alone that refused a request as full: about the time in which one
of the users' targets frees a slot."""

_BAD_OUTCOMES = frozenset(
    {
        AttemptOutcome.CUT,
        AttemptOutcome.MALFORMED,
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.TOO_LARGE,
    }
)
_SILENT_OUTCOMES = frozenset(
    {AttemptOutcome.SHED, AttemptOutcome.DRAINING, AttemptOutcome.MISDIRECTED}
)


def is_slow(state: ServiceState, latency: timedelta) -> bool:
    """Tells whether an answer that took `latency` is bad for its time alone."""
    if state.learned < LEARNING_ANSWERS:
        return False
    return latency > state.typical_latency * state.ejection.slow_factor


def judge_evidence(
    state: ServiceState, outcome: AttemptOutcome, status: int, latency: timedelta
) -> bool | None:
    """Classifies an outcome.

    Args:
      state: The service that was called.
      outcome: How the attempt ended.
      status: HTTP status for ANSWERED, else 0.
      latency: Time the attempt took.
    Returns:
      True for a bad outcome, False for a good one, None where it says nothing on the target.
    """
    if outcome in _BAD_OUTCOMES:
        return True
    if outcome in _SILENT_OUTCOMES:
        return None
    slow = is_slow(state, latency)
    if outcome is AttemptOutcome.ANSWERED:
        return slow or status >= SERVER_ERROR
    return True if slow else None


def learn_latency(state: ServiceState, latency: timedelta) -> None:
    """Moves the group's typical time one step towards its median and updates the average.

    The first answers set the typical time to their average.
    """
    if state.learned < LEARNING_ANSWERS:
        state.learned += 1
        state.typical_latency += (latency - state.typical_latency) / state.learned
        state.service_time = state.typical_latency
        return
    step = TYPICAL_STEP if latency > state.typical_latency else 1.0 / TYPICAL_STEP
    state.typical_latency = max(MIN_TYPICAL, state.typical_latency * step)
    state.service_time += (latency - state.service_time) * TIME_WEIGHT


def add_own_evidence(state: ServiceState, record: TargetRecord, bad: bool) -> None:
    """Accounts one outcome that this host saw itself."""
    record.own_bad_rate += ((1.0 if bad else 0.0) - record.own_bad_rate) * RATE_WEIGHT
    record.own_count = min(RATE_WINDOW, record.own_count + 1)
    good_count, bad_count = (0, 1) if bad else (1, 0)
    change = _compute_change(state, good_count, bad_count)
    record.own_score = _bound_score(state, record.own_score + change)
    record.shared_score = _bound_score(state, record.shared_score + change)
    record.unsent_good += good_count
    record.unsent_bad += bad_count


def add_shared_evidence(state: ServiceState, record: TargetRecord, delta: EvidenceDelta) -> None:
    """Accounts the outcomes that another host saw."""
    change = _compute_change(state, delta.good, delta.bad)
    record.shared_score = _bound_score(state, record.shared_score + change)


def pause_target(state: ServiceState, record: TargetRecord, at: Instant, cause: PauseCause) -> bool:
    """Avoids a target for a while after a failure, without waiting for the sequential test.

    Targets that turn bad for a few seconds are back before that test could tell. A target is first
    left alone, then used only where a request would wait otherwise; that second time doubles each
    time it fails again before it gave a good answer.

    Args:
      state: The service.
      record: The target.
      at: Present time.
      cause: What failed. One failure that the target itself answered with says nothing, since a
        sound one does so at times: the second in a row counts. One that it refused to run tells
        that it is full, and holds for a moment only.
    Returns:
      Whether the target was not left alone before.
    """
    pause = timedelta(milliseconds=state.ejection.pause_ms)
    first = record.last_success_at is not None and record.last_success_at >= record.failed
    record.failed = at
    if not pause or record.paused_until > at or (cause is PauseCause.ANSWERED and first):
        return False
    if cause is PauseCause.REFUSED:
        record.paused_until = at + min(pause, REFUSED_PAUSE)
        return True
    again = record.last_success_at is None or record.last_success_at < record.paused_until
    record.pauses = record.pauses + 1 if again else 0
    record.paused_until = at + pause
    record.shunned_until = at + pause * 2 ** min(record.pauses, MAX_PAUSE_DOUBLINGS)
    return True


def should_eject(state: ServiceState, record: TargetRecord) -> bool:
    """Tells whether the evidence against a target passes the threshold.

    Evidence of other hosts does not count where this host's own recent requests went well: the
    fault then lies on the path of the others.
    """
    threshold = state.threshold
    if record.own_score >= threshold:
        return True
    if record.shared_score < threshold:
        return False
    usual = _clamp_rate(state.usual_bad_rate)
    works_here = record.own_count >= RATE_WINDOW // 2 and record.own_bad_rate <= 2.0 * usual
    return not works_here


def count_overdue(state: ServiceState, at: Instant) -> None:
    """Counts requests in progress as bad once they take too long, without waiting for their end.

    One that takes several times too long is counted once more, so that a target that never answers
    is found out although few requests are in progress there.
    """
    if state.learned < LEARNING_ANSWERS:
        return
    limit = state.typical_latency * state.ejection.slow_factor
    for record in state.targets.values():
        for attempt in record.attempts.values():
            if attempt.overdue >= MAX_OVERDUE_COUNT:
                continue
            if at - attempt.started > limit * OVERDUE_FACTOR**attempt.overdue:
                attempt.overdue += 1
                add_own_evidence(state, record, bad=True)


def learn_usual_rate(state: ServiceState) -> None:
    """Takes the median of the targets' recent rates as the rate usual in the group."""
    rates = [r.own_bad_rate for r in state.targets.values() if r.own_count > 0]
    state.usual_bad_rate = statistics.median(rates) if rates else 0.0


def take_deltas(
    state: ServiceState, refresh: bool = False, changed: Iterable[TargetName] | None = None
) -> tuple[EvidenceDelta, ...]:
    """Removes and returns the outcomes that other hosts have not been told.

    Args:
      state: The service.
      refresh: Whether to tell the requests in progress again, since a message may have been lost.
      changed: Targets to look at, or None for all.
    Returns:
      What to tell, for each target with news.
    """
    deltas = []
    for name in state.targets if changed is None else changed:
        record = state.targets.get(name)
        if record is None:
            continue
        unsent = record.unsent_good or record.unsent_bad or record.unsent_leaving
        again = refresh and (record.attempts or record.told_running)
        if unsent or record.unsent_change or again:
            # The count is told once more after it fell to zero.
            record.told_running = len(record.attempts)
            delta = EvidenceDelta(
                state.name,
                name,
                record.unsent_good,
                record.unsent_bad,
                record.unsent_leaving,
                len(record.attempts),
                record.unsent_pause,
            )
            deltas.append(delta)
            record.unsent_change = False
            record.unsent_pause = False
            record.unsent_good = 0
            record.unsent_bad = 0
            record.unsent_leaving = False
    return tuple(deltas)


def _compute_change(state: ServiceState, good: int, bad: int) -> float:
    usual = _clamp_rate(state.usual_bad_rate)
    sick = usual + state.ejection.detectable_failure_rate * (1.0 - usual)
    return bad * math.log(sick / usual) + good * math.log((1.0 - sick) / (1.0 - usual))


def _bound_score(state: ServiceState, score: float) -> float:
    return min(max(0.0, score), SCORE_CAP * state.threshold)


def _clamp_rate(rate: float) -> float:
    return min(max(rate, MIN_USUAL_RATE), MAX_USUAL_RATE)
