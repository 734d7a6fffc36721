"""Selects the target of a request.

All targets of a group are compared, or a random sample of a very large group (Mitzenmacher, The
power of two choices in randomized load balancing, 2001). The least busy target is preferred:
one with less than half of its slots in use before one with more. One in another failure domain
counts as half a target busier, since traffic between domains is expensive. Among equals it is the
one with the most recent good answer, because a target that stops answering is noticed first by the
lack of good answers. Targets that failed recently are avoided while another target is usable, and
get one request at a time until they give a good answer. If the service fails many of its requests
in spite of this, requests are spread so that at least as many targets as the floor are in use.
"""

import math
from datetime import timedelta
from random import Random
from typing import TypeAlias

from endivedrift.core import FailureDomain, Instant, TargetName, TargetState
from endivedrift.policy._evidence import has_lost_paths
from endivedrift.policy._service import ServiceState, TargetRecord

SCAN_LIMIT = 128
"""Number of targets up to which all targets of a group are compared."""
SAMPLE_SIZE = 16
"""Number of targets of a larger group that are compared."""
OVER_THRESHOLD_COST_FACTOR = 4.0
"""Factor on the load of a target whose evidence reaches the ejection threshold."""
OTHER_DOMAIN_AGE_PENALTY = timedelta(milliseconds=500)
"""Age added to the last success of a target in another failure domain. Traffic between domains is
expensive, but a local target whose last success is older by more than this is less reliable."""
AGE_TOLERANCE = timedelta(milliseconds=10)
"""Age difference that is ignored, because hosts learn of each other's successes this much later."""
MAX_SUCCESS_AGE = timedelta(seconds=2)
"""Age from which all successes count as equally old: targets fail for seconds at a time."""
MAX_UNSERVED_SHARE = 0.08
"""Share of unserved requests above which a service counts as failing. The floor of targets in use
must be met when a tenth of the requests is unserved, so the limit is just below that."""
MIN_RECENT_REQUESTS = 8.0
"""Number of recent requests below which the share of unserved ones is not meaningful."""
REPORT_TEST_DELAY = timedelta(milliseconds=500)
"""Time without a request after which a target that others report as failing is tested."""
UNUSED_AFTER = timedelta(milliseconds=1_500)
"""Time after its last request from which a target counts as unused: three quarters of the two
seconds in which a target must get a request to count as in use."""
UNREPEATABLE_MAX_WAIT = timedelta(milliseconds=100)
"""Time that a request which must not be repeated waits for a target with no recent failure. It is
half the usual response time, in which some target most likely frees a slot."""
RETRY_MAX_WAIT = timedelta(milliseconds=300)
"""Time that a second attempt waits for a target with no recent failure before it takes any."""
REPEATABLE_TRIAL_DELAY = timedelta(milliseconds=700)
"""Time after a failure before even a repeatable request may try the target again."""
MIN_TRIAL_INTERVAL = timedelta(milliseconds=250)
"""Time between two trials of a target while all targets of a service are paused."""
UNPROVEN_RANK = 1.5
"""Rank, for requests that get no further attempt, of targets that have given this host no good
answer since hosts began to lose paths to targets of the service."""
LAST_RESORT_RANK = 2.0
"""Rank of targets that are used only when no other target has room."""
FAILING_PATH_RANK = 2.5
"""Rank, for such requests, of targets that gave this host's last request no answer."""
NEW_TARGET_DELAY = timedelta(milliseconds=300)
"""Time after which a new target gets its first request in preference to all others."""

_USABLE_STATES = (TargetState.HEALTHY, TargetState.WARMING, TargetState.PROBATION)
"""States in which a target may get requests. Membership in a tuple is tested by identity first."""
_Candidate: TypeAlias = tuple[TargetName, TargetRecord, int]
"""A target that has room, with the number of requests in progress at it."""


def choose_target(
    state: ServiceState,
    home_domain: FailureDomain,
    tried_targets: frozenset[TargetName],
    is_repeatable: bool,
    random: Random,
    at: Instant = Instant(0),
    waited: timedelta = timedelta(0),
) -> TargetName | None:
    """Selects a target that has room for one more request.

    Args:
      state: The service.
      home_domain: Failure domain of this host, whose targets are preferred among equals.
      tried_targets: Targets that this request has already been sent to.
      is_repeatable: Whether the request can be repeated elsewhere. Such a request tries targets on
        probation; others are sent there only when no other target has room.
      random: Source of randomness.
      at: Current time.
      waited: Time since the request arrived.
    Returns:
      The target, or None if none has room.
    """
    names = list(state.targets)
    if len(names) > SCAN_LIMIT:
        sample = random.sample(names, SAMPLE_SIZE)
        chosen = _choose_among(
            state, sample, home_domain, tried_targets, is_repeatable, random, at, waited
        )
        if chosen is not None:
            return chosen
    return _choose_among(
        state, names, home_domain, tried_targets, is_repeatable, random, at, waited
    )


def _choose_among(
    state: ServiceState,
    names: list[TargetName],
    home_domain: FailureDomain,
    tried_targets: frozenset[TargetName],
    is_repeatable: bool,
    random: Random,
    at: Instant,
    waited: timedelta,
) -> TargetName | None:
    # Only a request that can be tried elsewhere afterwards tries a lost path.
    may_try_path = is_repeatable and not tried_targets and state.retry_budget.tokens >= 1.0
    candidates = _list_candidates(state, names, tried_targets, at, may_try_path)
    if not tried_targets and uses_too_few_targets(state, at):
        unused = _find_unused_target(candidates, at)
        if unused is not None:
            return unused
    if _are_all_paused(state, at):
        return _find_trial_target(candidates, at)
    # No attempt follows the second one, so it waits longer for a target with no recent failure.
    has_retry_left = is_repeatable and not tried_targets
    has_waited = waited >= (UNREPEATABLE_MAX_WAIT if not tried_targets else RETRY_MAX_WAIT)
    avoids_last_resort = not has_waited and not has_retry_left
    sees_lost_paths = has_lost_paths(state, at)
    best: list[tuple[TargetName, TargetRecord]] = []
    best_cost = (math.inf, math.inf)
    for name, record, in_flight in candidates:
        if record.path.lost_at is not None:
            return name
        if record.paused_until > at and not (has_retry_left and _is_trial_due(record, at)):
            continue
        if record.state is TargetState.PROBATION and has_retry_left:
            return name
        # Most targets have no failures. Their cost is computed inline, since it decides the speed.
        is_unsuspected = (
            record.state is TargetState.HEALTHY
            and record.last_request_at is not None
            and record.avoided_until <= at
            and not record.score
        )
        half = max(1, state.get_slots(record) // 2)
        load = in_flight // half + 1.0
        if record.target.failure_domain != home_domain:
            load += 1.0
        cost = (1.0, load) if is_unsuspected else _compute_cost(state, record, load, at)
        if sees_lost_paths:
            cost = (_rank_path(state, record, cost[0], has_retry_left, at), cost[1])
        if cost > best_cost or (avoids_last_resort and cost[0] >= LAST_RESORT_RANK):
            continue
        if cost < best_cost:
            best, best_cost = [], cost
        best.append((name, record))
    return _pick_latest_success(best, home_domain, at, random) if best else None


def _list_candidates(
    state: ServiceState,
    names: list[TargetName],
    tried_targets: frozenset[TargetName],
    at: Instant,
    may_try_path: bool,
) -> list[_Candidate]:
    """Lists the targets that have room for one more request."""
    candidates = []
    sees_lost_paths = has_lost_paths(state, at)
    for name in names:
        record = state.targets[name]
        if name in tried_targets or record.state not in _USABLE_STATES:
            continue
        if not record.takes_requests(at):
            continue
        if record.path.lost_at is not None and record.path.is_excluded(may_try_path, at):
            continue
        in_flight = record.count_in_flight(at, not sees_lost_paths)
        is_proven = record.state is TargetState.HEALTHY and not _has_failed_last(record)
        limit = _get_in_flight_limit(state, record) if is_proven else 1
        if in_flight < limit:
            candidates.append((name, record, in_flight))
    return candidates


def _has_failed_last(record: TargetRecord) -> bool:
    """Tells whether a target has failed a request and given no good answer since."""
    if not record.last_failure_at:
        return False
    return record.last_success_at is None or record.last_success_at < record.last_failure_at


def has_faster_target(state: ServiceState, name: TargetName, started: Instant, at: Instant) -> bool:
    """Tells whether an attempt is slow because of its target and not of the whole service.

    Args:
      state: The service.
      name: Target of the attempt.
      started: When the attempt began.
      at: Current time.
    Returns:
      Whether another usable target has answered since the attempt began, in less than half of the
      time that the attempt has taken so far.
    """
    return any(
        record.last_answer_at is not None
        and record.last_answer_at > started
        and record.last_latency * 2 < at - started
        for other, record in state.targets.items()
        if other != name and record.state in _USABLE_STATES
    )


def _get_in_flight_limit(state: ServiceState, record: TargetRecord) -> int:
    """Returns the number of known requests that may be in progress at a target.

    Hosts that report each attempt to one another count all of them against all slots of the target.
    Otherwise each host is limited to its own share of the slots.
    """
    if not state.service.share_at_once:
        return state.limit_per_target
    return state.get_slots(record)


def uses_too_few_targets(state: ServiceState, at: Instant) -> bool:
    """Tells whether a service is failing while fewer targets than its floor get requests."""
    recent = state.recent_outcomes
    if recent.ended < MIN_RECENT_REQUESTS or recent.unserved_share <= MAX_UNSERVED_SHARE:
        return False
    used = sum(
        1
        for r in state.targets.values()
        if r.last_request_at is not None and at - r.last_request_at < UNUSED_AFTER
    )
    return used < state.floor


def _find_unused_target(candidates: list[_Candidate], at: Instant) -> TargetName | None:
    """Finds the target that has been unused for longest, paused targets last."""
    unused = [c for c in candidates if at - (c[1].last_request_at or Instant(0)) >= UNUSED_AFTER]
    found = min(
        unused,
        key=lambda c: (c[1].paused_until > at, c[1].last_request_at or Instant(0)),
        default=None,
    )
    return found[0] if found is not None else None


def _are_all_paused(state: ServiceState, at: Instant) -> bool:
    """Tells whether there are usable targets and all of them are paused."""
    usable = False
    for record in state.targets.values():
        if record.path.lost_at is not None:
            continue
        if record.state in _USABLE_STATES and record.takes_requests(at):
            if record.paused_until <= at:
                return False
            usable = True
    return usable


def _is_trial_due(record: TargetRecord, at: Instant) -> bool:
    """Tells whether a request that can be repeated elsewhere may try a paused target."""
    return at - record.last_failure_at >= REPEATABLE_TRIAL_DELAY and not record.count_in_flight(at)


def _find_trial_target(candidates: list[_Candidate], at: Instant) -> TargetName | None:
    """Finds the target to try while all are paused: the one whose last failure is oldest.

    Targets that fail fast always have room. Without a minimum time between two trials they would
    receive every request.
    """
    idle = [c for c in candidates if not c[2] and at - c[1].last_failure_at >= MIN_TRIAL_INTERVAL]
    found = min(idle, key=lambda c: c[1].last_failure_at, default=None)
    return found[0] if found is not None else None


def _compute_cost(
    state: ServiceState, record: TargetRecord, load: float, at: Instant
) -> tuple[float, float]:
    """Returns the rank of a target and, within the rank, its load; the lowest cost is preferred.

    A target that is due its first request comes first. One that is on probation, or still avoided
    after a failure, comes last.
    """
    factor = OVER_THRESHOLD_COST_FACTOR if record.score >= state.threshold else 1.0
    load *= factor
    if record.avoided_until > at or record.state is TargetState.PROBATION:
        return (LAST_RESORT_RANK, load)
    is_new_and_due = (
        record.last_request_at is None and Instant(0) < at - NEW_TARGET_DELAY > record.state_since
    )
    return (0.0 if is_new_and_due else 1.0, load)


def _rank_path(
    state: ServiceState, record: TargetRecord, rank: float, has_retry_left: bool, at: Instant
) -> float:
    """Returns the rank of a target while some hosts have lost their paths to some targets.

    Requests with a retry left test targets that other hosts report as failing. Others go to targets
    that have answered this host since, and only if nothing else has room where it got no answer.
    """
    path = record.path
    if has_retry_left:
        if not path.is_doubtful or path.fails_here:
            return rank
        is_due = at - (record.last_request_at or Instant(0)) >= REPORT_TEST_DELAY
        return 0.0 if is_due else min(rank, 1.0)
    if path.fails_here:
        return max(rank, FAILING_PATH_RANK)
    return rank if path.is_proven(state.paths_lost_since) else max(rank, UNPROVEN_RANK)


def _pick_latest_success(
    best: list[tuple[TargetName, TargetRecord]],
    home_domain: FailureDomain,
    at: Instant,
    random: Random,
) -> TargetName:
    """Picks the target with the most recent success, at random among those about as recent."""
    oldest = at - MAX_SUCCESS_AGE
    dated = []
    for name, record in best:
        date = record.last_success_at
        if record.rate_limit is not None and record.rate_limit.is_in_force:
            # It gets few requests, so its last success is old however well it answers.
            date = at
        elif date is None or date < oldest:
            date = oldest
        if record.target.failure_domain != home_domain:
            date -= OTHER_DOMAIN_AGE_PENALTY
        dated.append((date, name))
    earliest = max(dated)[0] - AGE_TOLERANCE
    return random.choice([name for date, name in dated if date >= earliest])
