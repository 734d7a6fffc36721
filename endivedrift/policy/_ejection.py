"""Moves targets between their states and keeps the configured floor of healthy targets.

The floor is a number of HEALTHY targets. A host ejects targets only while more than that number are
healthy, those with the highest scores first, and readmits targets as soon as fewer are.
Leaving, warming and ejected targets and those on probation do not count. Each host keeps the floor
by itself, so that it needs no agreement with others; docs/DESIGN.md states what follows for the
fleet as a whole.
"""

from datetime import timedelta

from endivedrift.core import AuditEntry, AuditKind, Instant, LeavingSource, TargetName, TargetState
from endivedrift.policy._evidence import should_eject
from endivedrift.policy._service import ServiceState, TargetRecord

MIN_PROBATION_SUCCESSES = 5
EJECTION_COUNT_RESET_AFTER = timedelta(minutes=10)
MAX_EJECTION_DOUBLINGS = 10
LISTED_RETURN_DELAY = timedelta(seconds=10)
"""Time for which the machine list, which lags, must show a target as live before it returns."""
LEAVING_TTL = timedelta(minutes=5)
"""Time after the last sign of leaving from which a target is tried again. A registered process that
announced its end itself never returns; the process that replaces it registers anew."""


def update_states(state: ServiceState, at: Instant) -> list[AuditEntry]:
    """Applies all state changes that are due by time or evidence.

    Args:
      state: The service.
      at: Current time.
    Returns:
      An audit entry for each change.
    """
    entries = [*_finish_warm_up(state, at), *_end_ejections(state, at), *_expire_leaving(state, at)]
    entries += _eject_failing(state, at)
    entries += restore_floor(state, at)
    _reset_ejection_counts(state, at)
    return entries


def mark_leaving(
    state: ServiceState, name: TargetName, at: Instant, source: LeavingSource, cause: str
) -> list[AuditEntry]:
    """Takes a target that is shutting down out of use and restores the floor.

    Args:
      state: The service.
      name: The target.
      at: Current time.
      source: Where the information comes from.
      cause: The cause for the audit entry.
    Returns:
      Audit entries, none if the target was already known to be leaving.
    """
    record = state.targets[name]
    if record.leaving_source is not LeavingSource.ANNOUNCED:
        record.leaving_source = source
    if source is LeavingSource.ANNOUNCED:
        record.process.leaving = True
    record.leaving_seen_at = at
    if record.state is TargetState.LEAVING:
        return []
    record.unsent_leaving = True
    entries = _change_state(state, record, TargetState.LEAVING, at, AuditKind.TARGET_LEAVING, cause)
    return entries + restore_floor(state, at)


def restore_listed_target(state: ServiceState, name: TargetName, at: Instant) -> list[AuditEntry]:
    """Restores a target that the machine list showed as leaving and now shows as live.

    The list lags. It therefore never overrides what a target itself has announced, and must show
    the target as live for some time.
    """
    record = state.targets[name]
    listed = record.leaving_source is LeavingSource.LISTED
    if not listed or at - record.leaving_seen_at < LISTED_RETURN_DELAY:
        return []
    return _restore_leaving_target(state, record, at, "listed as live again")


def restore_registered_target(
    state: ServiceState, name: TargetName, at: Instant, cause: str
) -> list[AuditEntry]:
    """Restores a target that registered as ready after it had registered as leaving."""
    record = state.targets[name]
    if record.leaving_source is not LeavingSource.LISTED:
        return []
    return _restore_leaving_target(state, record, at, cause)


def _restore_leaving_target(
    state: ServiceState, record: TargetRecord, at: Instant, cause: str
) -> list[AuditEntry]:
    record.leaving_source = LeavingSource.NONE
    record.unsent_leaving = False
    if record.target.draining or (record.entry is not None and record.entry.leaving):
        return []
    return _change_state(state, record, TargetState.WARMING, at, AuditKind.READMITTED, cause)


def record_trial(
    state: ServiceState, record: TargetRecord, bad: bool, at: Instant
) -> list[AuditEntry]:
    """Records the outcome of a trial request to a target on probation.

    Returns:
      An audit entry if the trial failed and the target is ejected again.
    """
    if record.state is not TargetState.PROBATION:
        return []
    if not bad:
        record.consecutive_good += 1
        return []
    return _eject(state, record, at, "a trial request failed")


def compute_ejection_time(state: ServiceState, record: TargetRecord) -> timedelta:
    """Returns how long a target stays ejected, which doubles with each ejection up to a limit."""
    doublings = min(max(0, record.ejection_count - 1), MAX_EJECTION_DOUBLINGS)
    duration = timedelta(milliseconds=state.ejection.base_stay_ms) * 2**doublings
    return min(duration, timedelta(milliseconds=state.ejection.max_stay_ms))


def _finish_warm_up(state: ServiceState, at: Instant) -> list[AuditEntry]:
    entries: list[AuditEntry] = []
    warm_up = timedelta(milliseconds=state.drain.warm_up_ms)
    for record in state.targets.values():
        if record.state is TargetState.WARMING and at - record.state_since >= warm_up:
            cause = "warm-up finished"
            entries += _change_state(
                state, record, TargetState.HEALTHY, at, AuditKind.READMITTED, cause
            )
    return entries


def _expire_leaving(state: ServiceState, at: Instant) -> list[AuditEntry]:
    """Restores targets whose last sign of leaving is too old."""
    entries: list[AuditEntry] = []
    for record in state.targets.values():
        is_leaving = record.leaving_source is not LeavingSource.NONE
        if record.entry is not None and record.leaving_source is LeavingSource.ANNOUNCED:
            continue
        if is_leaving and at - record.leaving_seen_at >= LEAVING_TTL:
            # Only a registration would tell whether another process has replaced it.
            record.process.leaving = False
            entries += _restore_leaving_target(state, record, at, "no recent sign of leaving")
    return entries


def _end_ejections(state: ServiceState, at: Instant) -> list[AuditEntry]:
    entries: list[AuditEntry] = []
    for record in state.targets.values():
        if (
            record.state is TargetState.EJECTED
            and at - record.state_since >= compute_ejection_time(state, record)
        ):
            cause = "ejection time ended"
            entries += _change_state(
                state, record, TargetState.PROBATION, at, AuditKind.PROBATION, cause
            )
        elif (
            record.state is TargetState.PROBATION
            and record.consecutive_good >= MIN_PROBATION_SUCCESSES
        ):
            cause = f"{record.consecutive_good} good answers in a row"
            entries += _readmit(state, record, at, cause)
    return entries


def _eject_failing(state: ServiceState, at: Instant) -> list[AuditEntry]:
    entries: list[AuditEntry] = []
    healthy = [r for r in state.targets.values() if r.state is TargetState.HEALTHY]
    failing = [record for record in healthy if should_eject(state, record)]
    failing.sort(key=lambda record: (-record.score, record.target.name))
    for record in failing[: max(0, len(healthy) - state.floor)]:
        threshold = state.threshold
        cause = (
            f"own score {record.own_score:.1f}, shared score {record.shared_score:.1f}, "
            f"threshold {threshold:.1f}, own bad rate {record.own_bad_rate:.2f}"
        )
        entries += _eject(state, record, at, cause)
    return entries


def restore_floor(state: ServiceState, at: Instant) -> list[AuditEntry]:
    """Readmits ejected targets, lowest score first, while fewer than the floor are healthy.

    Must be called after each change that may lower the number of healthy targets or raise the
    floor.
    """
    entries: list[AuditEntry] = []
    missing = state.floor - state.healthy_count
    if missing <= 0:
        return entries
    ejected_states = (TargetState.EJECTED, TargetState.PROBATION)
    ejected = [record for record in state.targets.values() if record.state in ejected_states]
    ejected.sort(key=lambda record: (record.score, record.target.name))
    for record in ejected[:missing]:
        entries += _readmit(state, record, at, "needed for the floor")
    return entries


def _reset_ejection_counts(state: ServiceState, at: Instant) -> None:
    for record in state.targets.values():
        is_settled = at - record.state_since >= EJECTION_COUNT_RESET_AFTER
        if record.ejection_count and is_settled and record.state is TargetState.HEALTHY:
            record.ejection_count = 0


def _eject(state: ServiceState, record: TargetRecord, at: Instant, cause: str) -> list[AuditEntry]:
    record.ejection_count += 1
    return _change_state(state, record, TargetState.EJECTED, at, AuditKind.EJECTED, cause)


def _readmit(
    state: ServiceState, record: TargetRecord, at: Instant, cause: str
) -> list[AuditEntry]:
    record.own_score = 0.0
    record.shared_score = 0.0
    record.own_bad_rate = state.usual_bad_rate
    return _change_state(state, record, TargetState.HEALTHY, at, AuditKind.READMITTED, cause)


def _change_state(
    state: ServiceState,
    record: TargetRecord,
    new_state: TargetState,
    at: Instant,
    kind: AuditKind,
    cause: str,
) -> list[AuditEntry]:
    record.state = new_state
    record.state_since = at
    record.consecutive_good = 0
    return [AuditEntry(at, kind, record.target.name, cause, state.name)]
