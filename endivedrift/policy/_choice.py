"""Chooses the target of a request in time that does not grow with the group.

Small groups are scanned; of large ones a few random members are compared (Mitzenmacher, The power
of two choices in randomized load balancing, 2001). A target's cost grows with the requests in
progress there and with the evidence against it.
"""

from random import Random

from endivedrift.core import FailureDomain, Instant, TargetName, TargetState
from endivedrift.policy._service import ServiceState, TargetRecord, domain_of

SCAN_LIMIT = 16
SAMPLE_SIZE = 8
SICK_WEIGHT = 4.0
OTHER_DOMAIN_COST = 0.05
JITTER = 0.01

_USABLE = frozenset({TargetState.HEALTHY, TargetState.WARMING, TargetState.PROBATION})


def choose_target(
    state: ServiceState,
    home: FailureDomain,
    excluded: frozenset[TargetName],
    trial_allowed: bool,
    random: Random,
) -> TargetName | None:
    """Chooses a target that has room for one more request.

    Args:
      state: The service.
      home: Failure domain of this host; targets there cost a little less.
      excluded: Targets that this request already tried.
      trial_allowed: Whether the request may go to a target on probation, which it may when it
        can be repeated elsewhere.
      random: Source of randomness.
    Returns:
      The target, or None where none has room.
    """
    names = list(state.targets)
    if len(names) > SCAN_LIMIT:
        sample = random.sample(names, SAMPLE_SIZE)
        chosen = _choose_cheapest(state, sample, home, excluded, trial_allowed, random)
        if chosen is not None:
            return chosen
    return _choose_cheapest(state, names, home, excluded, trial_allowed, random)


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


def has_room(state: ServiceState, record: TargetRecord, trial_allowed: bool) -> bool:
    """Tells whether a target may be given one more request."""
    if record.state not in _USABLE:
        return False
    if record.state is TargetState.HEALTHY:
        return len(record.attempts) < state.limit_per_target
    if record.state is TargetState.PROBATION and not trial_allowed:
        return False
    return not record.attempts


def _choose_cheapest(
    state: ServiceState,
    names: list[TargetName],
    home: FailureDomain,
    excluded: frozenset[TargetName],
    trial_allowed: bool,
    random: Random,
) -> TargetName | None:
    best: TargetName | None = None
    best_cost = 0.0
    threshold = state.threshold
    for name in names:
        record = state.targets[name]
        if name in excluded or not has_room(state, record, trial_allowed):
            continue
        if record.state is TargetState.PROBATION:
            return name
        cost = _compute_cost(record, threshold, home) + random.random() * JITTER
        if best is None or cost < best_cost:
            best, best_cost = name, cost
    return best


def _compute_cost(record: TargetRecord, threshold: float, home: FailureDomain) -> float:
    load = len(record.attempts) + 1.0
    evidence = SICK_WEIGHT if record.score >= threshold else 1.0
    distance = 0.0 if domain_of(record) == home else OTHER_DOMAIN_COST
    return load * evidence + distance
