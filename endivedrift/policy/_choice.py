"""Selects the target of a request.

All targets of a group are compared, or a random sample of a very large group (Mitzenmacher, The
power of two choices in randomized load balancing, 2001). The least busy target is preferred:
one with less than half of its slots in use before one with more. One in another failure domain
counts as half a target busier, since traffic between domains is expensive. Among equals it is the
one with the most recent good answer, because a target that stops answering is noticed first by the
lack of good answers. A request that has no retry left goes to a target that is less likely to fail
it, by the record of earlier failures, while one has room. Targets that failed recently are avoided
while another target is usable, and get one request at a time until they give a good answer. If the
service fails many of its requests in spite of this, requests are spread so that at least as many
sound targets as the floor are in use.
"""

import math
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import TypeAlias

from endivedrift.core import (
    AuditEntry,
    AuditKind,
    FailureDomain,
    Instant,
    TargetName,
    TargetState,
)
from endivedrift.policy._failure_record import RISK_LEVELS
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
UNUSED_AFTER = timedelta(milliseconds=1_500)
"""Time after its last request from which a target counts as unused: three quarters of the two
seconds in which a target must get a request to count as in use."""
SOUND_AFTER = timedelta(seconds=2)
"""Time after a failure from which a target counts as sound again: the usual length of a failure."""
UNREPEATABLE_MAX_WAIT = timedelta(milliseconds=100)
"""Time that a request which must not be repeated waits for a target with no recent failure. It is
half the usual response time, in which some target most likely frees a slot."""
RETRY_MAX_WAIT = timedelta(milliseconds=300)
"""Time that a second attempt waits for a target with no recent failure before it takes any."""
REPEATABLE_TRIAL_DELAY = timedelta(milliseconds=700)
"""Time after a failure before even a repeatable request may try the target again."""
MIN_TRIAL_INTERVAL = timedelta(milliseconds=250)
"""Time between two trials of a target while all targets of a service are paused."""
LAST_RESORT_RANK = 2.0
"""Rank of targets that are used only when no other target has room."""
RISK_LEVEL_RANK = 1.0 / (RISK_LEVELS + 1)
"""Difference between the ranks of two levels of risk. All are better than the last resort."""
TEST_LEVEL = -1
"""Level of a target that is due for a test, for a request that can be repeated elsewhere."""
TEST_INTERVAL = timedelta(seconds=2)
"""Time without requests after which a target that is likely to fail gets a request that can be
repeated elsewhere, in preference to others: the usual pause, in which a period may begin or end."""
MAX_LOAD_LEVEL = 2
"""Level of risk up to which a target only counts as busier, by its level in halves of its slots, so
that sound targets are not filled up before it is used. It is disregarded while a target that
refuses the request would end it. Higher levels are those of targets that failed a few seconds
ago."""
NEW_TARGET_DELAY = timedelta(milliseconds=300)
"""Time after which a new target gets its first request in preference to all others."""
LARGE_BODY_BYTES = 262_144
"""Size above which a request body is large. Smaller ones are bounded by the slots of a target."""
BODY_BYTES_PER_SLOT = 1_048_576
"""Bytes of large bodies that a target holds for each slot. Targets state slots, running and waiting
requests, but not their memory; this is what a slot needs anyway for the greatest answer of a route
by default."""

_USABLE_STATES = (TargetState.HEALTHY, TargetState.WARMING, TargetState.PROBATION)
"""States in which a target may get requests. Membership in a tuple is tested by identity first."""
_Candidate: TypeAlias = tuple[TargetName, TargetRecord, int]
"""A target that has room, with the number of requests in progress at it."""


@dataclass(frozen=True, slots=True)
class TargetCost:
    """What the choice knows of a target.

    Attributes:
      name, record: The target.
      in_flight: Requests in progress at it.
      has_room: Whether it may get one more request.
      rank, load: Its cost: targets of a lower rank come first, then those with less load.
    """

    name: TargetName
    record: TargetRecord
    in_flight: int
    has_room: bool
    rank: float
    load: float


def list_costs(
    state: ServiceState, home_domain: FailureDomain, is_repeatable: bool, at: Instant
) -> list[TargetCost]:
    """Lists all targets of a service in the order of their cost, those without room last.

    The records of failures count only for requests that must not be repeated.
    """
    names = list(state.targets)
    with_room = {name for name, _, _ in _list_candidates(state, names, frozenset(), at)}
    costs = []
    for name, record in state.targets.items():
        in_flight = record.count_in_flight(at)
        load = in_flight // max(1, state.get_slots(record) // 2) + 1.0
        if record.target.failure_domain != home_domain:
            load += 1.0
        level = 0 if is_repeatable else record.get_risk_level(at, state.repeat_share)
        level, load = _weigh_risk(level, load, is_last_try=False)
        rank, load = _compute_cost(state, record, load, level, at)
        is_paused = record.paused_until > at
        has_room = name in with_room and not is_paused
        costs.append(TargetCost(name, record, in_flight, has_room, rank, load))
    return sorted(costs, key=lambda cost: (not cost.has_room, cost.rank, cost.load, cost.name))


def choose_target(
    state: ServiceState,
    home_domain: FailureDomain,
    tried_targets: frozenset[TargetName],
    is_repeatable: bool,
    random: Random,
    at: Instant = Instant(0),
    waited: timedelta = timedelta(0),
    body_bytes: int = 0,
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
      body_bytes: Size of the request's body.
    Returns:
      The target, or None if none has room.
    """
    names = list(state.targets)
    if len(names) > SCAN_LIMIT:
        sample = random.sample(names, SAMPLE_SIZE)
        chosen = _choose_among(
            state, sample, home_domain, tried_targets, is_repeatable, random, at, waited, body_bytes
        )
        if chosen is not None:
            return chosen
    return _choose_among(
        state, names, home_domain, tried_targets, is_repeatable, random, at, waited, body_bytes
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
    body_bytes: int,
) -> TargetName | None:
    candidates = _list_candidates(state, names, tried_targets, at)
    if is_large_body(body_bytes):
        candidates = [c for c in candidates if _has_room_for_body(state, c[1], body_bytes)]
    if not tried_targets and uses_too_few_targets(state, at):
        unused = _find_unused_target(state, candidates, at)
        if unused is not None:
            return unused
    if _are_all_paused(state, at):
        return _find_trial_target(candidates, at)
    # No attempt follows the second one, so it waits longer for a target with no recent failure.
    has_retry_left = is_repeatable and not tried_targets
    has_waited = waited >= (UNREPEATABLE_MAX_WAIT if not tried_targets else RETRY_MAX_WAIT)
    # A refusal by a full target would end the request.
    is_last_try = bool(tried_targets) or not state.retry_budget.has_token(at)
    avoids_last_resort = not has_waited and not has_retry_left
    best: list[tuple[TargetName, TargetRecord]] = []
    best_cost = (math.inf, math.inf)
    for name, record, in_flight in candidates:
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
            and not record.failures.count
        )
        half = max(1, state.get_slots(record) // 2)
        load = in_flight // half + 1.0
        if record.target.failure_domain != home_domain:
            load += 1.0
        if is_unsuspected:
            cost = (1.0, load)
        else:
            level = record.get_risk_level(at, state.repeat_share)
            if has_retry_left:
                level = TEST_LEVEL if not is_last_try and _is_test_due(record, level, at) else 0
            else:
                level, load = _weigh_risk(level, load, is_last_try)
            cost = _compute_cost(state, record, load, level, at)
        if cost > best_cost or (avoids_last_resort and cost[0] >= LAST_RESORT_RANK):
            continue
        if cost < best_cost:
            best, best_cost = [], cost
        best.append((name, record))
    return _pick_latest_success(best, home_domain, at, random) if best else None


def _list_candidates(
    state: ServiceState, names: list[TargetName], tried_targets: frozenset[TargetName], at: Instant
) -> list[_Candidate]:
    """Lists the targets that have room for one more request."""
    candidates = []
    for name in names:
        record = state.targets[name]
        if name in tried_targets or record.state not in _USABLE_STATES:
            continue
        if not record.takes_requests(at):
            continue
        in_flight = record.count_in_flight(at)
        is_proven = record.state is TargetState.HEALTHY and not _has_failed_last(record)
        limit = _get_in_flight_limit(state, record) if is_proven else 1
        if in_flight < limit:
            candidates.append((name, record, in_flight))
    return candidates


def is_large_body(body_bytes: int) -> bool:
    """Tells whether a request body is so large that the memory of its target is considered."""
    return body_bytes > LARGE_BODY_BYTES


def _has_room_for_body(state: ServiceState, record: TargetRecord, body_bytes: int) -> bool:
    """Tells whether a target has room for a large body beside those that this host has sent it.

    Each host uses what belongs to its share of the slots. One body always has room.
    """
    held = sum(attempt.body_bytes for attempt in record.attempts.values())
    room = state.get_slots(record) * BODY_BYTES_PER_SLOT / state.primary_count
    return not held or held + body_bytes <= room


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
    """Tells whether a service is failing while fewer sound targets than its floor get requests."""
    recent = state.recent_outcomes
    if recent.ended < MIN_RECENT_REQUESTS or recent.unserved_share <= MAX_UNSERVED_SHARE:
        return False
    use = count_use(state, at)
    return use.used < use.floor


@dataclass(frozen=True, slots=True)
class TargetUse:
    """Which targets of a service get requests, as far as this host knows.

    Attributes:
      sound: Targets that stay and have not failed lately.
      used: Sound targets that have had a request lately.
      floor: Sound targets that must be used while the service is failing.
    """

    sound: int
    used: int
    floor: int


def count_use(state: ServiceState, at: Instant) -> TargetUse:
    """Counts the sound targets and those in use.

    Targets that fail do not count: requests that reach them are not served, and they make no more
    use of the others.
    """
    sound = [record for record in state.targets.values() if _is_sound(record, at)]
    used = sum(1 for record in sound if not _is_unused(record, at))
    floor = max(state.ejection.floor, math.ceil(state.ejection.floor_share * len(sound)))
    return TargetUse(len(sound), used, min(floor, len(sound)))


def _is_sound(record: TargetRecord, at: Instant) -> bool:
    if record.state is TargetState.LEAVING:
        return False
    failed_at = record.failures.last_failure_at
    return not failed_at or at - failed_at >= SOUND_AFTER


def _is_unused(record: TargetRecord, at: Instant) -> bool:
    return record.last_request_at is None or at - record.last_request_at >= UNUSED_AFTER


def note_floor(state: ServiceState, at: Instant) -> list[AuditEntry]:
    """Records that a service begins or ends to use fewer targets than its floor while it fails."""
    is_below = uses_too_few_targets(state, at)
    if is_below == state.is_below_floor:
        return []
    state.is_below_floor = is_below
    share = state.recent_outcomes.unserved_share
    use = count_use(state, at)
    others = len(state.targets) - use.sound
    cause = (
        f"{share:.2f} of the requests unserved, {use.used} of {use.sound} sound targets in use, "
        f"floor {use.floor}; {others} others failed lately or leave"
    )
    subject = "below the floor" if is_below else "at the floor or served again"
    return [AuditEntry(at, AuditKind.FLOOR_CHANGED, subject, cause, state.name)]


def _find_unused_target(
    state: ServiceState, candidates: list[_Candidate], at: Instant
) -> TargetName | None:
    """Finds the sound target unused for longest, among those with the best records."""
    unused = [c for c in candidates if _is_sound(c[1], at) and _is_unused(c[1], at)]
    found = min(
        unused,
        key=lambda c: (
            c[1].paused_until > at,
            c[1].get_risk_level(at, state.repeat_share),
            c[1].last_request_at or Instant(0),
        ),
        default=None,
    )
    return found[0] if found is not None else None


def _are_all_paused(state: ServiceState, at: Instant) -> bool:
    """Tells whether there are usable targets and all of them are paused."""
    usable = False
    for record in state.targets.values():
        if record.state in _USABLE_STATES and record.takes_requests(at):
            if record.paused_until <= at:
                return False
            usable = True
    return usable


def _is_trial_due(record: TargetRecord, at: Instant) -> bool:
    """Tells whether a request that can be repeated elsewhere may try a paused target."""
    return at - record.last_failure_at >= REPEATABLE_TRIAL_DELAY and not record.count_in_flight(at)


def _is_test_due(record: TargetRecord, level: int, at: Instant) -> bool:
    """Tells whether a request that can be repeated elsewhere shall show how a target is now."""
    if not level or record.last_request_at is None or record.count_in_flight(at):
        return False
    return at - record.last_request_at >= TEST_INTERVAL


def _find_trial_target(candidates: list[_Candidate], at: Instant) -> TargetName | None:
    """Finds the target to try while all are paused: the one whose last failure is oldest.

    Targets that fail fast always have room. Without a minimum time between two trials they would
    receive every request.
    """
    idle = [c for c in candidates if not c[2] and at - c[1].last_failure_at >= MIN_TRIAL_INTERVAL]
    found = min(idle, key=lambda c: c[1].last_failure_at, default=None)
    return found[0] if found is not None else None


def _weigh_risk(level: int, load: float, is_last_try: bool) -> tuple[int, float]:
    """Returns the level of risk by which a target is ranked, and its load.

    Levels up to MAX_LOAD_LEVEL are no rank of their own.
    """
    if level > MAX_LOAD_LEVEL:
        return level, load
    return 0, load if is_last_try else load + level


def _compute_cost(
    state: ServiceState, record: TargetRecord, load: float, level: int, at: Instant
) -> tuple[float, float]:
    """Returns the rank of a target and, within the rank, its load; the lowest cost is preferred.

    A target that is due its first request comes first. Others are ranked by the level of their
    risk, or come before these if they are due for a test. One that is on probation, or still
    avoided after a failure, comes last.
    """
    factor = OVER_THRESHOLD_COST_FACTOR if record.score >= state.threshold else 1.0
    load *= factor
    if record.avoided_until > at or record.state is TargetState.PROBATION:
        return (LAST_RESORT_RANK, load)
    is_new_and_due = (
        record.last_request_at is None and Instant(0) < at - NEW_TARGET_DELAY > record.state_since
    )
    return (0.0 if is_new_and_due else 1.0 + level * RISK_LEVEL_RANK, load)


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
