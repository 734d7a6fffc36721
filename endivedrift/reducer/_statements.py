"""Applies what targets state of themselves on the attempts of requests.

A statement is of the process that got the attempt. It may arrive after its target has lost its
registration or its service, or belongs to another process.
"""

from endivedrift.core import (
    AuditEntry,
    AuditKind,
    Instant,
    LeavingSource,
    ProcessId,
    TargetName,
    identify_process,
)
from endivedrift.core.events import AttemptFinished
from endivedrift.policy import (
    Process,
    ServiceState,
    TargetRecord,
    find_unregistered,
    get_process,
    mark_leaving,
    update_rate_limit,
)
from endivedrift.reducer._rate_limits import note_rate_limit
from endivedrift.reducer._state import HostState


def note_statements(
    state: HostState, service: ServiceState | None, event: AttemptFinished
) -> list[AuditEntry]:
    """Applies what a target stated of itself on an attempt.

    Args:
      state: The host.
      service: The service of the request, or None if it is not in force.
      event: The end of the attempt.
    Returns:
      Audit entries.
    """
    process = _find_process(state, event.target, event.started_ms)
    found = _find_record(state, service, event.target)
    if found is not None and (process is None or found[1].process is process):
        return _apply_to_record(state, *found, event)
    if process is not None:
        _apply_to_process(process, event)
    return []


def note_reported_leaving(
    state: HostState, service: ServiceState | None, process_id: ProcessId, at: Instant
) -> list[AuditEntry]:
    """Applies that a process is leaving, as another host says.

    Args:
      state: The host.
      service: The service that the other host names, or None if it is not in force.
      process_id: The process; its start is 0 if the other host does not know it.
      at: Current time.
    Returns:
      Audit entries, none if that is already known or concerns no target in use.
    """
    target = process_id.name
    process = _find_process(state, target, process_id.started_ms)
    if process is not None:
        process.leaving = True
    found = _find_record(state, service, target)
    if found is None or (process is not None and found[1].process is not process):
        return []
    owner, record = found
    cause = "another host says it is draining"
    entries = mark_leaving(owner, target, at, LeavingSource.ANNOUNCED, cause)
    record.unsent_leaving = False
    return entries


def _find_process(state: HostState, target: TargetName, started_ms: int) -> Process | None:
    """Returns a process of a target, or None if the target never registered.

    Without its start, it is the one that is registered, or the latest one that was.
    """
    if started_ms:
        return get_process(state.processes, ProcessId(target, started_ms))
    entry = state.discovered.get(target)
    if entry is not None:
        return get_process(state.processes, identify_process(entry))
    return find_unregistered(state.processes, target)


def _find_record(
    state: HostState, service: ServiceState | None, target: TargetName
) -> tuple[ServiceState, TargetRecord] | None:
    """Returns the record of a target, which may have changed its service, if it has one."""
    entry = state.discovered.get(target)
    for candidate in (service, state.services.get(entry.service) if entry is not None else None):
        record = candidate.targets.get(target) if candidate is not None else None
        if candidate is not None and record is not None:
            return candidate, record
    return None


def _apply_to_record(
    state: HostState, service: ServiceState, record: TargetRecord, event: AttemptFinished
) -> list[AuditEntry]:
    entries: list[AuditEntry] = []
    if event.rate_limit is not None:
        entries += note_rate_limit(state, service, record, event)
    if event.retry_after is not None:
        record.held_until = max(record.held_until, event.at + event.retry_after)
        cause = f"wants no request for {event.retry_after.total_seconds():.1f} s"
        entries.append(
            AuditEntry(event.at, AuditKind.PAUSED, event.target, cause, service.name, event.request)
        )
    if event.states_leaving:
        cause = "its answer says that it is draining"
        entries += mark_leaving(service, event.target, event.at, LeavingSource.ANNOUNCED, cause)
    return entries


def _apply_to_process(process: Process, event: AttemptFinished) -> None:
    process.leaving |= event.states_leaving
    if event.retry_after is not None:
        process.held_until = max(process.held_until, event.at + event.retry_after)
    if event.rate_limit is not None:
        process.rate_limit = update_rate_limit(
            process.rate_limit, event.rate_limit, event.at, event.at
        )
