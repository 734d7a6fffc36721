"""Detects failing targets by a sequential test over the outcomes of real requests.

Each outcome is good or bad. An error, a cut connection, or an answer that takes several times the
group's typical latency is bad. A one-sided CUSUM test accumulates the log-likelihood ratio of "bad
at the rate of a failing target" against "bad at the rate usual in the group". Both the typical
latency and the usual rate are those of the group, so a service that is slow as a whole yields no
evidence against any one of its targets. The threshold of the test is the logarithm of the inverse
of the accepted rate of false ejections (Page, Continuous inspection schemes, 1954).
"""

import math
import statistics
from collections.abc import Iterable
from datetime import timedelta

from endivedrift.core import AttemptOutcome, EvidenceDelta, Instant, PauseCause, TargetName
from endivedrift.policy._failure_record import FailureRecord, compute_repeat_share
from endivedrift.policy._service import ServiceState, TargetRecord

TYPICAL_LATENCY_STEP = 1.02
MIN_LATENCY_SAMPLES = 10
"""Answers from which the typical latency is learned before any answer counts as slow."""
BAD_RATE_WEIGHT = 0.05
BAD_RATE_WINDOW = 20
MIN_USUAL_BAD_RATE = 0.01
MAX_USUAL_BAD_RATE = 0.9
"""Bounds of the usual bad rate in the test, so that its log-likelihood ratio is finite."""
MIN_TYPICAL_LATENCY = timedelta(milliseconds=1)
SERVICE_TIME_WEIGHT = 0.05
MAX_SCORE_FACTOR = 2.0
"""Multiple of the threshold to which a score is limited, so that it falls below the threshold soon
after the target recovers."""
SERVER_ERROR = 500
MAX_OVERDUE_COUNT = 2
OVERDUE_FACTOR = 4
MAX_PAUSE_DOUBLINGS = 2
REFUSED_PAUSE = timedelta(milliseconds=200)
"""Pause of a target that refused a request because it is full: about the time in which a target
frees a slot."""

_BAD_OUTCOMES = frozenset(
    {
        AttemptOutcome.CUT,
        AttemptOutcome.MALFORMED,
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.TOO_LARGE,
    }
)
_NEUTRAL_OUTCOMES = frozenset(
    {
        AttemptOutcome.SHED,
        AttemptOutcome.DRAINING,
        AttemptOutcome.WITHDRAWN,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.NO_MEMORY,
    }
)


def compute_slow_limit(state: ServiceState) -> timedelta | None:
    """Returns the latency beyond which an answer is bad, or None before it has been learned."""
    if state.latency_samples < MIN_LATENCY_SAMPLES:
        return None
    return state.typical_latency * state.ejection.slow_factor


def is_slow(state: ServiceState, latency: timedelta) -> bool:
    """Tells whether an answer that took `latency` counts as bad because of its latency."""
    limit = compute_slow_limit(state)
    return limit is not None and latency > limit


def classify_outcome(
    state: ServiceState, outcome: AttemptOutcome, status: int, latency: timedelta
) -> bool | None:
    """Classifies the outcome of an attempt as good or bad.

    Args:
      state: The service that was called.
      outcome: How the attempt ended.
      status: HTTP status for ANSWERED, else 0.
      latency: Duration of the attempt.
    Returns:
      True for a bad outcome, False for a good one, None if it is no evidence either way.
    """
    if outcome in _BAD_OUTCOMES:
        return True
    if outcome in _NEUTRAL_OUTCOMES:
        return None
    slow = is_slow(state, latency)
    if outcome is AttemptOutcome.ANSWERED:
        return slow or status >= SERVER_ERROR
    return True if slow else None


def update_typical_latency(state: ServiceState, latency: timedelta) -> None:
    """Moves the typical latency one step towards the median and updates the mean service time.

    The first answers set both to their mean.
    """
    if state.latency_samples < MIN_LATENCY_SAMPLES:
        state.latency_samples += 1
        state.typical_latency += (latency - state.typical_latency) / state.latency_samples
        state.service_time = state.typical_latency
        return
    step = TYPICAL_LATENCY_STEP if latency > state.typical_latency else 1.0 / TYPICAL_LATENCY_STEP
    state.typical_latency = max(MIN_TYPICAL_LATENCY, state.typical_latency * step)
    state.service_time += (latency - state.service_time) * SERVICE_TIME_WEIGHT


def add_own_evidence(state: ServiceState, record: TargetRecord, bad: bool) -> None:
    """Adds one outcome of a request from this host to the tests."""
    record.own_bad_rate += ((1.0 if bad else 0.0) - record.own_bad_rate) * BAD_RATE_WEIGHT
    record.own_outcome_count = min(BAD_RATE_WINDOW, record.own_outcome_count + 1)
    good_count, bad_count = (0, 1) if bad else (1, 0)
    change = _compute_log_likelihood_ratio(state, good_count, bad_count)
    record.own_score = _bound_score(state, record.own_score + change)
    record.shared_score = _bound_score(state, record.shared_score + change)
    record.unsent_good += good_count
    record.unsent_bad += bad_count


def add_shared_evidence(state: ServiceState, record: TargetRecord, delta: EvidenceDelta) -> None:
    """Adds outcomes of requests from another host to the shared test."""
    change = _compute_log_likelihood_ratio(state, delta.good, delta.bad)
    record.shared_score = _bound_score(state, record.shared_score + change)


def pause_target(state: ServiceState, record: TargetRecord, at: Instant, cause: PauseCause) -> bool:
    """Pauses a target after a failure, without waiting for the sequential test.

    Targets that fail for a few seconds recover before that test can detect them. A target is first
    paused, then avoided: it is used only if a request would otherwise have to wait. The time for
    which it is avoided doubles, up to a limit, with each failure until it gives a good answer.

    Args:
      state: The service.
      record: The target.
      at: Current time.
      cause: What failed. A failure that the target itself answered with counts only from the second
        in a row, since a working target also fails at times. A refused request means that the
        target is full, so it pauses the target only briefly.
    Returns:
      Whether the target was newly paused.
    """
    pause = timedelta(milliseconds=state.ejection.pause_ms)
    succeeded_since = (
        record.last_success_at is not None and record.last_success_at >= record.last_failure_at
    )
    record.last_failure_at = at
    if not pause or record.paused_until > at or (cause is PauseCause.ANSWERED and succeeded_since):
        return False
    if cause is PauseCause.REFUSED:
        record.paused_until = at + min(pause, REFUSED_PAUSE)
        return True
    record.failures.add_failure(at)
    failed_again = record.last_success_at is None or record.last_success_at < record.paused_until
    record.repeated_pauses = record.repeated_pauses + 1 if failed_again else 0
    record.paused_until = at + pause
    record.avoided_until = at + pause * 2 ** min(record.repeated_pauses, MAX_PAUSE_DOUBLINGS)
    return True


def absolve_target(record: TargetRecord) -> None:
    """Undoes the evidence and the pauses of failures of which the target was not the cause."""
    record.own_score = 0.0
    record.shared_score = 0.0
    record.own_bad_rate = 0.0
    record.paused_until = Instant(0)
    record.avoided_until = Instant(0)
    record.repeated_pauses = 0
    record.last_failure_at = Instant(0)
    record.failures = FailureRecord()
    record.unsent_bad = 0
    record.unsent_pause = False


def should_eject(state: ServiceState, record: TargetRecord) -> bool:
    """Tells whether the evidence against a target reaches the threshold.

    Evidence of other hosts does not count if this host's own recent requests succeeded: the fault
    is then on the path between those hosts and the target.
    """
    threshold = state.threshold
    if record.own_score >= threshold:
        return True
    if record.shared_score < threshold:
        return False
    usual = _clamp_rate(state.usual_bad_rate)
    succeeds_here = (
        record.own_outcome_count >= BAD_RATE_WINDOW // 2 and record.own_bad_rate <= 2.0 * usual
    )
    return not succeeds_here


def count_overdue_attempts(state: ServiceState, at: Instant) -> None:
    """Counts attempts in progress as bad once they are too slow, without waiting for their end.

    An attempt that exceeds the limit several times over is counted once more, so that a target that
    never answers is detected even if few requests are in progress at it.
    """
    limit = compute_slow_limit(state)
    if limit is None:
        return
    for record in state.targets.values():
        for attempt in record.attempts.values():
            if attempt.overdue_count >= MAX_OVERDUE_COUNT:
                continue
            if at - attempt.started > limit * OVERDUE_FACTOR**attempt.overdue_count:
                attempt.overdue_count += 1
                add_own_evidence(state, record, bad=True)


def update_usual_bad_rate(state: ServiceState) -> None:
    """Sets the usual bad rate of the group to the median of the targets' recent rates."""
    rates = [r.own_bad_rate for r in state.targets.values() if r.own_outcome_count > 0]
    state.usual_bad_rate = statistics.median(rates) if rates else 0.0


def update_failure_records(state: ServiceState, at: Instant) -> None:
    """Drops old records of failures and updates the share of targets that failed again."""
    records = [record.failures for record in state.targets.values() if record.failures.count]
    for record in records:
        record.forget(at)
    state.repeat_share = compute_repeat_share(records)


def take_unsent_evidence(
    state: ServiceState,
    refresh: bool = False,
    changed: Iterable[TargetName] | None = None,
    keeps_far: bool = False,
) -> tuple[EvidenceDelta, ...]:
    """Returns the evidence not yet sent to other hosts, and marks it as sent.

    Args:
      state: The service.
      refresh: Whether to repeat the number of requests in progress, since a message may be lost.
      changed: Targets to consider, or None for all.
      keeps_far: Whether outcomes are kept for `take_far_evidence`, since some hosts get only that.
    Returns:
      The evidence on each target that has something to send.
    """
    deltas = []
    for name in state.targets if changed is None else changed:
        record = state.targets.get(name)
        if record is None:
            continue
        has_unsent = record.unsent_good or record.unsent_bad or record.unsent_leaving
        resend = refresh and (record.attempts or record.reported_in_flight)
        if has_unsent or record.unsent_in_flight or resend:
            # A refresh repeats the count once more after it fell to zero.
            record.reported_in_flight = len(record.attempts)
            delta = EvidenceDelta(
                state.name,
                name,
                record.unsent_good,
                record.unsent_bad,
                record.unsent_leaving,
                len(record.attempts),
                record.unsent_pause,
                record.started_ms if record.unsent_leaving else 0,
            )
            deltas.append(delta)
            if keeps_far:
                record.unsent_far_good += record.unsent_good
                record.unsent_far_bad += record.unsent_bad
            record.unsent_in_flight = False
            record.unsent_pause = False
            record.unsent_good = 0
            record.unsent_bad = 0
            record.unsent_leaving = False
    return tuple(deltas)


def take_far_evidence(
    state: ServiceState, flags: Iterable[EvidenceDelta] | None = None
) -> tuple[EvidenceDelta, ...]:
    """Returns the evidence for hosts that are not told of each attempt, and marks it as sent.

    Args:
      state: The service.
      flags: Evidence that was just taken for the other hosts, which states what is told to all at
        once; None for a periodic report on all targets.
    Returns:
      The evidence on each target that has something to send.
    """
    flagged = {delta.target: delta for delta in flags} if flags is not None else None
    deltas = []
    for name in state.targets if flagged is None else flagged:
        record = state.targets[name]
        running = len(record.attempts)
        has_outcomes = record.unsent_far_good or record.unsent_far_bad
        if flagged is None and not (has_outcomes or running or record.reported_far_in_flight):
            continue
        flag = flagged[name] if flagged is not None else None
        deltas.append(
            EvidenceDelta(
                state.name,
                name,
                record.unsent_far_good,
                record.unsent_far_bad,
                flag is not None and flag.leaving,
                running,
                flag is not None and flag.paused,
                flag.leaving_started_ms if flag is not None else 0,
            )
        )
        record.unsent_far_good = 0
        record.unsent_far_bad = 0
        record.reported_far_in_flight = running
    return tuple(deltas)


def _compute_log_likelihood_ratio(state: ServiceState, good: int, bad: int) -> float:
    usual = _clamp_rate(state.usual_bad_rate)
    failing_rate = usual + state.ejection.detectable_failure_rate * (1.0 - usual)
    return bad * math.log(failing_rate / usual) + good * math.log(
        (1.0 - failing_rate) / (1.0 - usual)
    )


def _bound_score(state: ServiceState, score: float) -> float:
    return min(max(0.0, score), MAX_SCORE_FACTOR * state.threshold)


def _clamp_rate(rate: float) -> float:
    return min(max(rate, MIN_USUAL_BAD_RATE), MAX_USUAL_BAD_RATE)
