"""Chooses the target of a request.

Groups of usual size are scanned; of very large ones a few random members are compared
(Mitzenmacher, The power of two choices in randomized load balancing, 2001). The target with the
fewest requests in progress goes first; among equals, the one that gave a good answer most recently,
since a target that turned bad shows by its silence what no answer has told yet. Targets that failed
a moment ago are avoided while another is usable. Where the service as a whole fails its callers,
avoiding has not helped: then as many targets as the floor are kept in use.
"""

import math
from datetime import timedelta
from random import Random
from typing import TypeAlias

from endivedrift.core import FailureDomain, Instant, TargetName, TargetState
from endivedrift.policy._service import ServiceState, TargetRecord

SCAN_LIMIT = 128
SAMPLE_SIZE = 16
OVER_THRESHOLD_COST_FACTOR = 4.0
OTHER_DOMAIN_AGE = timedelta(milliseconds=500)
"""Age added to the last success of a target in another failure domain: traffic between domains is
dear, but a target in this one that nobody used for longer than this is less proven."""
EQUAL_AGE = timedelta(milliseconds=10)
"""Difference of two ages that tells nothing: hosts hear of others' successes that much later."""
OLD_SUCCESS = timedelta(seconds=2)
"""Age from which successes prove equally little: targets turn bad for seconds at a time."""
FAILING_SHARE = 0.08
"""Share of unserved requests above which a service counts as failing its callers: just below the
tenth from which the users count the targets in use."""
MIN_ENDS = 8.0
"""Recent ends of requests below which their share tells nothing."""
USED_LIMIT = timedelta(milliseconds=1_500)
"""Time after its last request at which a target counts as unused: three quarters of the two seconds
over which the users count the targets in use."""
SHUN_PATIENCE = timedelta(milliseconds=100)
"""Time that a request which must not be repeated waits for a proven target: half the usual time of
an answer, in which some target most likely frees a slot."""
RETRY_PATIENCE = timedelta(milliseconds=300)
"""Time that a second attempt waits for a proven target before it takes any."""
REPEATABLE_TRIAL = timedelta(milliseconds=700)
"""Time after a failure in which not even a request that can be repeated tries the target again."""
MIN_TRIAL_INTERVAL = timedelta(milliseconds=250)
"""Time between two trials of a target while all targets of a service failed a moment ago."""
LAST_RESORT = 2.0
JOIN_PATIENCE = timedelta(milliseconds=300)
"""Time after which a new target is given its first request even where others are more proven."""

_USABLE = (TargetState.HEALTHY, TargetState.WARMING, TargetState.PROBATION)
"""States in which a target may be given requests: a tuple, whose search compares by identity."""
_Open: TypeAlias = tuple[TargetName, TargetRecord, int]
"""A target that has room, with the requests that are in progress there."""


def choose_target(
    state: ServiceState,
    home: FailureDomain,
    excluded: frozenset[TargetName],
    trial_allowed: bool,
    random: Random,
    at: Instant = Instant(0),
    waited: timedelta = timedelta(0),
) -> TargetName | None:
    """Chooses a target that has room for one more request.

    Args:
      state: The service.
      home: Failure domain of this host; targets there cost a little less.
      excluded: Targets that this request already tried.
      trial_allowed: Whether the request tries out targets on probation, which it may when it can be
        repeated elsewhere. Other requests go there only when no other target has room.
      random: Source of randomness.
      at: Present time.
      waited: Time since the request came.
    Returns:
      The target, or None where none has room.
    """
    names = list(state.targets)
    if len(names) > SCAN_LIMIT:
        sample = random.sample(names, SAMPLE_SIZE)
        chosen = _choose_among(state, sample, home, excluded, trial_allowed, random, at, waited)
        if chosen is not None:
            return chosen
    return _choose_among(state, names, home, excluded, trial_allowed, random, at, waited)


def _choose_among(
    state: ServiceState,
    names: list[TargetName],
    home: FailureDomain,
    excluded: frozenset[TargetName],
    trial_allowed: bool,
    random: Random,
    at: Instant,
    waited: timedelta,
) -> TargetName | None:
    opened = _list_open(state, names, excluded, at)
    if not excluded and is_narrow(state, at):
        unused = _find_unused(opened, at)
        if unused is not None:
            return unused
    if _all_paused(state, at):
        return _find_trial(opened, at)
    # A second attempt has no third behind it, so it waits longer for a proven target.
    first_of_several = trial_allowed and not excluded
    late = waited >= (SHUN_PATIENCE if not excluded else RETRY_PATIENCE)
    patient = not late and not first_of_several
    best: list[tuple[TargetName, TargetRecord]] = []
    best_cost = (math.inf, math.inf)
    for name, record, running in opened:
        if record.paused_until > at and not (first_of_several and _is_due_trial(record, at)):
            continue
        if record.state is TargetState.PROBATION and first_of_several:
            return name
        # Most targets have nothing against them; theirs is the cost that matters for speed.
        plain = (
            record.state is TargetState.HEALTHY
            and record.tried is not None
            and record.shunned_until <= at
            and not record.score
        )
        cost = (1.0, running + 1.0) if plain else _compute_cost(state, record, running, at)
        if cost > best_cost or (patient and cost[0] >= LAST_RESORT):
            continue
        if cost < best_cost:
            best, best_cost = [], cost
        best.append((name, record))
    return _pick_freshest(best, home, at, random) if best else None


def _list_open(
    state: ServiceState, names: list[TargetName], excluded: frozenset[TargetName], at: Instant
) -> list[_Open]:
    """Lists the targets that have room for one more request."""
    opened = []
    for name in names:
        record = state.targets[name]
        if name in excluded or record.state not in _USABLE:
            continue
        running = record.count_running(at)
        limit = _limit_running(state, record) if record.state is TargetState.HEALTHY else 1
        if running < limit:
            opened.append((name, record, running))
    return opened


def others_answer(state: ServiceState, name: TargetName, started: Instant, at: Instant) -> bool:
    """Tells whether an attempt takes long for its target's sake and not for the whole service's.

    Args:
      state: The service.
      name: Target of the attempt.
      started: When the attempt began.
      at: Present time.
    Returns:
      Whether another usable target has answered since, in less than half the attempt's time.
    """
    return any(
        record.answered is not None
        and record.answered > started
        and record.latency * 2 < at - started
        for other, record in state.targets.items()
        if other != name and record.state in _USABLE
    )


def _limit_running(state: ServiceState, record: TargetRecord) -> int:
    """Returns the requests that may be in progress at a target as far as this host knows.

    Hosts that tell one another of each attempt count against all slots of the target; the others
    keep to their own part.
    """
    if not state.service.share_at_once:
        return state.limit_per_target
    return state.find_slots(record)


def is_narrow(state: ServiceState, at: Instant) -> bool:
    """Tells whether a service fails its callers while fewer targets than its floor get requests."""
    recent = state.recent_outcomes
    if recent.ended < MIN_ENDS or recent.unserved_share <= FAILING_SHARE:
        return False
    used = sum(
        1 for r in state.targets.values() if r.tried is not None and at - r.tried < USED_LIMIT
    )
    return used < state.floor


def _find_unused(opened: list[_Open], at: Instant) -> TargetName | None:
    """Finds the target that had no request for longest, those not left alone first."""
    unused = [o for o in opened if at - (o[1].tried or Instant(0)) >= USED_LIMIT]
    found = min(
        unused, key=lambda o: (o[1].paused_until > at, o[1].tried or Instant(0)), default=None
    )
    return found[0] if found is not None else None


def _all_paused(state: ServiceState, at: Instant) -> bool:
    """Tells whether every usable target failed a moment ago."""
    usable = False
    for record in state.targets.values():
        if record.state in _USABLE:
            if record.paused_until <= at:
                return False
            usable = True
    return usable


def _is_due_trial(record: TargetRecord, at: Instant) -> bool:
    """Tells whether a request that can be repeated elsewhere may try a target left alone."""
    return at - record.failed >= REPEATABLE_TRIAL and not record.count_running(at)


def _find_trial(opened: list[_Open], at: Instant) -> TargetName | None:
    """Finds a target to try although all failed a moment ago: the one whose failure is oldest.

    Targets that fail fast are always free. Without a time between two trials they would take every
    request.
    """
    idle = [o for o in opened if not o[2] and at - o[1].failed >= MIN_TRIAL_INTERVAL]
    found = min(idle, key=lambda o: o[1].failed, default=None)
    return found[0] if found is not None else None


def _compute_cost(
    state: ServiceState, record: TargetRecord, running: int, at: Instant
) -> tuple[float, float]:
    """Returns the cost by rank: whether it waits for its first request, then load.

    A target on probation, or that is shunned after a failure, comes last.
    """
    evidence = OVER_THRESHOLD_COST_FACTOR if record.score >= state.threshold else 1.0
    load = (running + 1.0) * evidence
    if record.shunned_until > at or record.state is TargetState.PROBATION:
        return (LAST_RESORT, load)
    first = record.tried is None and Instant(0) < at - JOIN_PATIENCE > record.since
    return (0.0 if first else 1.0, load)


def _pick_freshest(
    best: list[tuple[TargetName, TargetRecord]], home: FailureDomain, at: Instant, random: Random
) -> TargetName:
    """Picks the target whose last success is freshest, at random among those about as fresh."""
    oldest = at - OLD_SUCCESS
    dated = []
    for name, record in best:
        date = record.last_success_at
        if date is None or date < oldest:
            date = oldest
        if record.target.failure_domain != home:
            date -= OTHER_DOMAIN_AGE
        dated.append((date, name))
    least = max(dated)[0] - EQUAL_AGE
    return random.choice([name for date, name in dated if date >= least])
