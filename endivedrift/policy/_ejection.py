"""Moves targets between their states, never below the configured floor.

The floor is a number of HEALTHY targets. A host ejects a target only while more than that number
remain, worst score first, and takes targets back as soon as fewer remain. Leaving, warming and
ejected targets and those on probation are not counted. Each host keeps the floor by itself, so
that it needs nobody's agreement; see docs/DESIGN.md for what follows for the fleet as a whole.
"""

from datetime import timedelta

from endivedrift.core import AuditEntry, AuditKind, Instant, LeavingSource, TargetName, TargetState
from endivedrift.policy._evidence import should_eject
from endivedrift.policy._service import ServiceState, TargetRecord

PROBATION_GOOD_ANSWERS = 5
FALLS_FORGOTTEN_AFTER = timedelta(minutes=10)
MAX_DOUBLINGS = 10
RETURN_AFTER_LISTED = timedelta(seconds=10)
RETURN_AFTER_TOLD = timedelta(minutes=5)


def update_states(state: ServiceState, at: Instant) -> list[AuditEntry]:
    """Applies all moves that time and evidence call for.

    Args:
      state: The service.
      at: Present time.
    Returns:
      An audit entry for each move.
    """
    entries = [*_finish_warm_up(state, at), *_end_stays(state, at), *_end_leaving(state, at)]
    entries += _eject_sick(state, at)
    entries += restore_floor(state, at)
    _forget_falls(state, at)
    return entries


def mark_leaving(
    state: ServiceState, name: TargetName, at: Instant, sign: LeavingSource, cause: str
) -> list[AuditEntry]:
    """Takes a target that is shutting down out of use and keeps the floor.

    Args:
      state: The service.
      name: The target.
      at: Present time.
      sign: Kind of the sign by which it is known.
      cause: The sign in words.
    Returns:
      Audit entries, empty where the target was known to be leaving.
    """
    record = state.targets[name]
    known = record.leaving_source is not LeavingSource.NONE
    if record.leaving_source is not LeavingSource.ANNOUNCED:
        record.leaving_source = sign
    record.leaving_seen = at
    if known:
        return []
    record.unsent_leaving = True
    entries = _move(state, record, TargetState.LEAVING, at, AuditKind.TARGET_LEAVING, cause)
    return entries + restore_floor(state, at)


def note_listed_live(state: ServiceState, name: TargetName, at: Instant) -> list[AuditEntry]:
    """Takes a target back that the list of machines showed as leaving and now shows as live.

    The list lags. It therefore never overrules a target's own word, and has to show the target as
    live for a while.
    """
    record = state.targets[name]
    listed = record.leaving_source is LeavingSource.LISTED
    if not listed or at - record.leaving_seen < RETURN_AFTER_LISTED:
        return []
    return _return_left(state, record, at, "listed as live again")


def return_target(
    state: ServiceState, name: TargetName, at: Instant, cause: str
) -> list[AuditEntry]:
    """Takes a target back that registered as ready after it had registered as leaving."""
    record = state.targets[name]
    if record.leaving_source is not LeavingSource.LISTED:
        return []
    return _return_left(state, record, at, cause)


def _return_left(
    state: ServiceState, record: TargetRecord, at: Instant, cause: str
) -> list[AuditEntry]:
    record.leaving_source = LeavingSource.NONE
    record.unsent_leaving = False
    if record.target.draining or (record.entry is not None and record.entry.leaving):
        return []
    return _move(state, record, TargetState.WARMING, at, AuditKind.READMITTED, cause)


def note_probation(
    state: ServiceState, record: TargetRecord, bad: bool, at: Instant
) -> list[AuditEntry]:
    """Accounts the outcome of a trial request during probation.

    Returns:
      An audit entry where the trial failed and the target is ejected again.
    """
    if record.state is not TargetState.PROBATION:
        return []
    if not bad:
        record.good_in_row += 1
        return []
    record.good_in_row = 0
    _enter_stay(record, at)
    return [_describe(state, record, at, AuditKind.EJECTED, "a trial request failed")]


def compute_stay(state: ServiceState, record: TargetRecord) -> timedelta:
    """Returns how long an ejected target stays out before it is tried."""
    doublings = min(max(0, record.falls - 1), MAX_DOUBLINGS)
    stay = timedelta(milliseconds=state.ejection.base_stay_ms) * 2**doublings
    return min(stay, timedelta(milliseconds=state.ejection.max_stay_ms))


def _finish_warm_up(state: ServiceState, at: Instant) -> list[AuditEntry]:
    entries: list[AuditEntry] = []
    warm_up = timedelta(milliseconds=state.drain.warm_up_ms)
    for record in state.targets.values():
        if record.state is TargetState.WARMING and at - record.since >= warm_up:
            cause = "warm-up finished"
            entries += _move(state, record, TargetState.HEALTHY, at, AuditKind.READMITTED, cause)
    return entries


def _end_leaving(state: ServiceState, at: Instant) -> list[AuditEntry]:
    """Tries targets again of which no sign of leaving was seen for long."""
    entries: list[AuditEntry] = []
    for record in state.targets.values():
        told = record.leaving_source is not LeavingSource.NONE
        if told and at - record.leaving_seen >= RETURN_AFTER_TOLD:
            entries += _return_left(state, record, at, "no sign of leaving for long")
    return entries


def _end_stays(state: ServiceState, at: Instant) -> list[AuditEntry]:
    entries: list[AuditEntry] = []
    for record in state.targets.values():
        if record.state is TargetState.EJECTED and at - record.since >= compute_stay(state, record):
            record.good_in_row = 0
            cause = "stay ended"
            entries += _move(state, record, TargetState.PROBATION, at, AuditKind.PROBATION, cause)
        elif record.good_in_row >= PROBATION_GOOD_ANSWERS:
            cause = f"{record.good_in_row} good answers in a row"
            entries += _readmit(state, record, at, cause)
    return entries


def _eject_sick(state: ServiceState, at: Instant) -> list[AuditEntry]:
    entries: list[AuditEntry] = []
    healthy = [r for r in state.targets.values() if r.state is TargetState.HEALTHY]
    sick = [record for record in healthy if should_eject(state, record)]
    sick.sort(key=lambda record: (-record.score, record.target.name))
    for record in sick[: max(0, len(healthy) - state.floor)]:
        threshold = state.threshold
        cause = (
            f"own score {record.own_score:.1f}, shared score {record.shared_score:.1f}, "
            f"threshold {threshold:.1f}, own bad rate {record.own_bad_rate:.2f}"
        )
        _enter_stay(record, at)
        entries.append(_describe(state, record, at, AuditKind.EJECTED, cause))
    return entries


def restore_floor(state: ServiceState, at: Instant) -> list[AuditEntry]:
    """Takes ejected targets back, least suspect first, while fewer than the floor are healthy.

    Must follow each change that may lower the number of healthy targets or raise the floor.
    """
    entries: list[AuditEntry] = []
    missing = state.floor - state.healthy_count
    if missing <= 0:
        return entries
    out = (TargetState.EJECTED, TargetState.PROBATION)
    removed = [record for record in state.targets.values() if record.state in out]
    removed.sort(key=lambda record: (record.score, record.target.name))
    for record in removed[:missing]:
        entries += _readmit(state, record, at, "needed for the floor")
    return entries


def _forget_falls(state: ServiceState, at: Instant) -> None:
    for record in state.targets.values():
        settled = at - record.since >= FALLS_FORGOTTEN_AFTER
        if record.falls and settled and record.state is TargetState.HEALTHY:
            record.falls = 0


def _enter_stay(record: TargetRecord, at: Instant) -> None:
    record.state = TargetState.EJECTED
    record.since = at
    record.falls += 1


def _readmit(
    state: ServiceState, record: TargetRecord, at: Instant, cause: str
) -> list[AuditEntry]:
    record.own_score = 0.0
    record.shared_score = 0.0
    record.own_bad_rate = state.usual_bad_rate
    record.good_in_row = 0
    return _move(state, record, TargetState.HEALTHY, at, AuditKind.READMITTED, cause)


def _move(
    state: ServiceState,
    record: TargetRecord,
    to: TargetState,
    at: Instant,
    kind: AuditKind,
    cause: str,
) -> list[AuditEntry]:
    record.state = to
    record.since = at
    return [_describe(state, record, at, kind, cause)]


def _describe(
    state: ServiceState, record: TargetRecord, at: Instant, kind: AuditKind, cause: str
) -> AuditEntry:
    return AuditEntry(at, kind, record.target.name, cause, state.name)
