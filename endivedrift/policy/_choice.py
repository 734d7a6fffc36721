"""Chooses the target of a request.

Groups of usual size are scanned; of very large ones a few random members are compared
(Mitzenmacher, The power of two choices in randomized load balancing, 2001). The target with the
fewest requests in progress goes first; among equals, the one that gave a good answer most recently,
since a target that turned bad shows by its silence what no answer has told yet. Targets that failed
a moment ago are avoided, but never so many that fewer than the floor are left.
"""

from datetime import timedelta
from random import Random

from endivedrift.core import FailureDomain, Instant, TargetName, TargetState
from endivedrift.policy._service import ServiceState, TargetRecord, domain_of

SCAN_LIMIT = 128
SAMPLE_SIZE = 16
SICK_WEIGHT = 4.0
OTHER_DOMAIN_COST = 0.05
JITTER = 0.01
NEVER = timedelta(days=1)
FAILING_SHARE = 0.06
"""Share of unserved requests above which work is spread over all targets: over half of the tenth at
which the users hold a service that uses few of its targets to be badly steered."""
UNUSED_LIMIT = timedelta(seconds=1)
"""Time without a request after which a failing service tries a target again: half of the two
seconds over which the users count the targets in use."""
JOIN_PATIENCE = timedelta(milliseconds=300)
"""Time after which a new target is given its first request even where others are more proven."""

_USABLE = frozenset({TargetState.HEALTHY, TargetState.WARMING, TargetState.PROBATION})


def choose_target(
    state: ServiceState,
    home: FailureDomain,
    excluded: frozenset[TargetName],
    trial_allowed: bool,
    random: Random,
    at: Instant = Instant(0),
) -> TargetName | None:
    """Chooses a target that has room for one more request.

    Args:
      state: The service.
      home: Failure domain of this host; targets there cost a little less.
      excluded: Targets that this request already tried.
      trial_allowed: Whether the request may go to a target on probation, which it may when it
        can be repeated elsewhere.
      random: Source of randomness.
      at: Present time.
    Returns:
      The target, or None where none has room.
    """
    names = list(state.targets)
    if len(names) > SCAN_LIMIT:
        sample = random.sample(names, SAMPLE_SIZE)
        chosen = _choose_cheapest(state, sample, home, excluded, trial_allowed, random, at)
        if chosen is not None:
            return chosen
    return _choose_cheapest(state, names, home, excluded, trial_allowed, random, at)


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


def has_room(state: ServiceState, record: TargetRecord, trial_allowed: bool, at: Instant) -> bool:
    """Tells whether a target may be given one more request."""
    if record.state not in _USABLE:
        return False
    if record.state is TargetState.PROBATION and not trial_allowed:
        return False
    running = record.count_running(at)
    return (
        running < count_slots(state, record) if record.state is TargetState.HEALTHY else not running
    )


def count_slots(state: ServiceState, record: TargetRecord) -> int:
    """Returns the requests that may be in progress at a target as far as this host knows.

    Hosts that tell one another of each attempt count against all slots of the target; the others
    keep to their own part.
    """
    if not state.service.share_at_once:
        return state.limit_per_target
    return record.entry.slots if record.entry is not None else state.group.slots


def list_avoided(state: ServiceState, at: Instant) -> frozenset[TargetName]:
    """Lists the targets that are avoided because they failed a moment ago.

    Where avoiding all of them would leave fewer than the floor, those whose failure is oldest are
    used all the same.
    """
    paused = [name for name, record in state.targets.items() if record.paused_until > at]
    if not paused:
        return frozenset()
    usable = sum(1 for record in state.targets.values() if record.state in _USABLE)
    room = max(0, usable - state.floor)
    paused.sort(key=lambda name: state.targets[name].paused_until, reverse=True)
    return frozenset(paused[:room])


def _choose_cheapest(
    state: ServiceState,
    names: list[TargetName],
    home: FailureDomain,
    excluded: frozenset[TargetName],
    trial_allowed: bool,
    random: Random,
    at: Instant,
) -> TargetName | None:
    avoided = list_avoided(state, at)
    spread = state.recent.unserved_share > FAILING_SHARE
    best: TargetName | None = None
    best_cost = (0.0, 0.0, 0.0)
    for name in names:
        record = state.targets[name]
        if name in excluded or name in avoided or not has_room(state, record, trial_allowed, at):
            continue
        if record.state is TargetState.PROBATION:
            return name
        cost = _compute_cost(state, record, home, spread, at, random)
        if best is None or cost < best_cost:
            best, best_cost = name, cost
    return best


def _compute_cost(
    state: ServiceState,
    record: TargetRecord,
    home: FailureDomain,
    spread: bool,
    at: Instant,
    random: Random,
) -> tuple[float, float, float]:
    """Returns the cost by rank: whether the target is due for a request, load, age of success."""
    idle = at - record.tried if record.tried is not None else at - record.since
    limit = UNUSED_LIMIT if spread else JOIN_PATIENCE
    due = (spread or record.tried is None) and idle > limit and at > Instant(0)
    evidence = SICK_WEIGHT if record.score >= state.threshold else 1.0
    load = (record.count_running(at) + 1.0) * evidence
    proven = at - record.succeeded if record.succeeded is not None else NEVER
    distance = 0.0 if domain_of(record) == home else OTHER_DOMAIN_COST
    tie = proven.total_seconds() + distance + random.random() * JITTER
    return (0.0 if due else 1.0, load, tie)
