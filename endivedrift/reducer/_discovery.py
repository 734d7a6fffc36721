"""Applies the registrations of targets in the store: new, changed, leaving and lapsed ones.

Registrations can lapse although their targets live, for instance while the store is unavailable. A
target is therefore kept for a grace period if its registration lapsed after an outage of the store,
or together with those of many other targets.

A store that was restored from an older copy shows registrations as they were then. What a process
was known to have announced since, that it is leaving or gone, stays in force until another process
registers or, for a process that is gone, until it registers anew.
"""

from dataclasses import replace
from datetime import timedelta

from endivedrift.core import (
    AuditEntry,
    AuditKind,
    ChangeSource,
    HostId,
    Instant,
    LeavingSource,
    ServiceName,
    TargetEntry,
    TargetName,
    TargetState,
    get_store_era,
    identify_process,
)
from endivedrift.core.effects import Effect, FetchTargets, ObserveChanges, RecordAudit
from endivedrift.core.events import (
    PeerTargetsReceived,
    TargetsObserved,
)
from endivedrift.fleet import sample_alive
from endivedrift.policy import (
    Process,
    ServiceState,
    add_registration,
    end_registration,
    get_process,
    mark_leaving,
    note_removal,
    register_target,
    restore_registered_target,
)
from endivedrift.reducer._attempts import dispatch_queued
from endivedrift.reducer._state import HostState

REREGISTRATION_GRACE = timedelta(seconds=2)
"""Time after an outage of the store in which lapsed registrations are renewed, as specified for the
platform."""
ASKED_PEER_COUNT = 3
ASK_INTERVAL = timedelta(seconds=1)
"""Time between two requests to other hosts: several times their response time."""
MASS_LOSS_GRACE = timedelta(milliseconds=1_200)
"""Time for which targets are kept whose simultaneous loss would break the floor of their service:
over half of the two seconds after which a vanished target must get no more requests."""

REMOVAL_SHARE = 0.85
"""Share of the time after which a vanished target must get no more requests. The rest is left for a
tick and for the requests that are on their way."""


def ask_for_targets(state: HostState, at: Instant) -> list[Effect]:
    """Asks other hosts for targets if the store has not listed any since the start."""
    if state.has_read_targets or not state.store_unavailable or at < state.next_ask_at:
        return []
    peers = [m.peer_address for m in sample_alive(state.membership, ASKED_PEER_COUNT, HostId(""))]
    if not peers:
        return []
    state.next_ask_at = at + ASK_INTERVAL
    return [FetchTargets(tuple(peers))]


def apply_peer_targets(state: HostState, event: PeerTargetsReceived) -> list[Effect]:
    """Applies the targets known to another host, if they are of a newer version of the store.

    Targets without a version are used only until the store has listed its targets.
    """
    if event.version:
        observed = TargetsObserved(
            event.at,
            event.entries,
            complete=True,
            version=event.version,
            source=ChangeSource.FETCH,
        )
        return apply_observed_targets(state, observed)
    if state.has_read_targets:
        return []
    return _apply_entries(state, event.at, event.entries)


def list_registered_targets(state: HostState) -> tuple[tuple[TargetEntry, ...], int]:
    """Returns the targets that are registered as far as known, and the version of the store."""
    known = (e for name, e in state.discovered.items() if name not in state.removal_times)
    return tuple(known), state.targets_version


def apply_observed_targets(state: HostState, event: TargetsObserved) -> list[Effect]:
    """Applies changes of the registered targets, unless they are older than what is known.

    Args:
      state: The host.
      event: Registrations that are new or changed, and names of targets that vanished.
    Returns:
      Audit entries, and the effects on requests that were queued for a target.
    """
    if event.version and event.version <= state.targets_version:
        return []
    entries: list[AuditEntry] = []
    era = get_store_era(event.version)
    learned = _describe_source(state, event)
    is_restored = state.targets_version > 0 and get_store_era(state.targets_version) < era
    state.targets_version = max(state.targets_version, event.version)
    observed = event.entries
    if event.complete:
        observed = tuple(e for e in observed if not _departed_before(state, e, era))
    if is_restored:
        state.store.answered_at = state.store.answering_since = event.at
        ignored = len(event.entries) - len(observed)
        cause = f"was restored from an older copy; era {era}, {ignored} departed targets ignored"
        entries.append(AuditEntry(event.at, AuditKind.STORE_CHANGED, "store", cause))
    gone = set(event.gone) & set(state.discovered)
    if event.complete:
        state.has_read_targets = True
        gone |= set(state.discovered) - {entry.name for entry in event.entries}
    entries += _remove_or_keep_lapsed(state, gone, event.at, learned)
    lost: list[Effect] = [RecordAudit(entry) for entry in entries]
    return lost + _apply_entries(state, event.at, observed, learned) + _observe_age(state, event)


def _describe_source(state: HostState, event: TargetsObserved) -> str:
    """Describes for the audit trail how changes were learned, and how old they may be."""
    if not event.version:
        return ""
    sender = f" of {event.sender}" if event.sender else ""
    as_of = state.store.as_of
    age = f", at most {(event.at - as_of).total_seconds():.3f} s old" if as_of is not None else ""
    return f"; learned by {event.source.value}{sender}{age}"


def _observe_age(state: HostState, event: TargetsObserved) -> list[Effect]:
    as_of = state.store.as_of
    return [ObserveChanges(event.source, event.at - as_of)] if as_of is not None else []


def _departed_before(state: HostState, entry: TargetEntry, era: int) -> bool:
    """Tells whether a registration was seen to be removed before the store was restored.

    The whole table of a restored store shows it again. It counts only once it is written anew,
    which is then reported as a change. A registration without a start may be of another process.
    """
    if not entry.started_ms:
        return False
    process = state.processes.processes.get(identify_process(entry))
    removed_in = process.removed_in_era if process is not None else None
    return removed_in is not None and removed_in < era


def _apply_entries(
    state: HostState, at: Instant, observed: tuple[TargetEntry, ...], learned: str = ""
) -> list[Effect]:
    entries: list[AuditEntry] = []
    changed_services = set()
    for observed_entry in observed:
        state.removal_times.pop(observed_entry.name, None)
        known = state.discovered.get(observed_entry.name)
        process = get_process(state.processes, identify_process(observed_entry))
        entry = _keep_leaving(observed_entry, process)
        if known is not None and known.started_ms > entry.started_ms:
            continue
        if known is not None and identify_process(known) != identify_process(entry):
            end_registration(state.processes, known)
        add_registration(state.processes, entry)
        if known == entry:
            continue
        if known is not None and known.service != entry.service:
            entries += _remove_target(state, entry.name, at, learned)
            add_registration(state.processes, entry)
        state.discovered[entry.name] = entry
        entries += place_registered_target(state, entry, at, learned)
        changed_services.add(entry.service)
    effects: list[Effect] = [RecordAudit(entry) for entry in entries]
    for service in sorted(changed_services & set(state.services)):
        state.active_services.add(service)
        effects += dispatch_queued(state, state.services[service], at)
    return effects


def _keep_leaving(entry: TargetEntry, process: Process) -> TargetEntry:
    """Marks a registration as leaving if its process has stated before that it leaves.

    A process that shuts down does not return. A later registration as ready is an older one, which
    was delayed or comes from an older copy of the store. Without the start of the process, it may
    be of another one.
    """
    if entry.leaving and entry.started_ms:
        process.leaving = True
    return replace(entry, leaving=True) if process.leaving else entry


def remove_lapsed_targets(state: HostState, at: Instant) -> list[Effect]:
    """Removes targets whose registrations were not renewed in time."""
    due = sorted(name for name, until in state.removal_times.items() if until <= at)
    return [RecordAudit(entry) for name in due for entry in _remove_target(state, name, at)]


def _remove_or_keep_lapsed(
    state: HostState, gone: set[TargetName], at: Instant, learned: str
) -> list[AuditEntry]:
    """Removes targets whose registrations vanished, at once or after a grace period.

    Registrations lapse while the store is unavailable, although their targets live. The loss of
    many targets of a service at once is more likely a fault of the store than of the targets.
    """
    entries: list[AuditEntry] = []
    for name in sorted(gone - set(state.removal_times)):
        until = _compute_removal_time(state, gone, name, at)
        if until <= at:
            entries += _remove_target(state, name, at, learned)
            continue
        state.removal_times[name] = until
        note_removal(state.processes, state.discovered[name], get_store_era(state.targets_version))
        kept_s = (until - at).total_seconds()
        cause = f"its registration lapsed{learned}; kept for {kept_s:.1f} s"
        service = state.discovered[name].service
        entries.append(AuditEntry(at, AuditKind.TARGET_MISSING, name, cause, service))
    return entries


def _compute_removal_time(
    state: HostState, gone: set[TargetName], name: TargetName, at: Instant
) -> Instant:
    until = at
    if state.store.answered_at is not None:
        until = max(until, state.store.answering_since + REREGISTRATION_GRACE)
    service = state.services.get(state.discovered[name].service)
    if service is not None and _count_staying(service, gone) < service.floor:
        until = max(until, min(at + MASS_LOSS_GRACE, _compute_removal_limit(state, at)))
    return until


def _count_staying(service: ServiceState, gone: set[TargetName]) -> int:
    """Counts the targets that are registered and not leaving, besides those that vanished."""
    return sum(
        1
        for name, record in service.targets.items()
        if name not in gone and record.state is not TargetState.LEAVING
    )


def _compute_removal_limit(state: HostState, at: Instant) -> Instant:
    """Returns until when targets may be used whose removal was found now.

    They may have been removed right after the latest answer of the store that is known. A host that
    has been behind for longer has missed the limit already.
    """
    as_of, limit = state.store.as_of, state.store.change_limit
    if as_of is None or at - as_of > limit:
        return at + limit
    return max(at, as_of + limit * REMOVAL_SHARE)


def place_registered_target(
    state: HostState, entry: TargetEntry, at: Instant, learned: str = ""
) -> list[AuditEntry]:
    """Adds a registered target to its service, if the object set in force has that service.

    Args:
      state: The host.
      entry: The target's registration.
      at: Current time.
      learned: How the registration was learned, as the end of a cause.
    Returns:
      Audit entries.
    """
    service = state.services.get(entry.service)
    if service is None or not service.group.discovered:
        return []
    entries = []
    process = get_process(state.processes, identify_process(entry))
    if register_target(service, entry, process, at):
        cause = f"registered at {entry.address}, started {entry.started_ms}{learned}"
        entries.append(AuditEntry(at, AuditKind.TARGET_JOINED, entry.name, cause, service.name))
    if process.rate_limit is not None:
        state.limited_targets.setdefault(entry.service, set()).add(entry.name)
    cause = "it announced that it is shutting down"
    if entry.leaving:
        cause = f"it registered that it is shutting down{learned}"
    if process.leaving:
        entries += mark_leaving(service, entry.name, at, LeavingSource.ANNOUNCED, cause)
    elif entry.leaving:
        entries += mark_leaving(service, entry.name, at, LeavingSource.LISTED, cause)
    else:
        entries += restore_registered_target(service, entry.name, at, "registered as ready again")
    return entries


def _remove_target(
    state: HostState, name: TargetName, at: Instant, learned: str = ""
) -> list[AuditEntry]:
    state.removal_times.pop(name, None)
    entry = state.discovered.pop(name, None)
    if entry is None:
        return []
    service = state.services.get(ServiceName(entry.service))
    note_removal(state.processes, entry, get_store_era(state.targets_version))
    end_registration(state.processes, entry)
    if service is None or service.targets.pop(name, None) is None:
        return []
    cause = f"its registration was removed{learned}"
    return [AuditEntry(at, AuditKind.TARGET_GONE, name, cause, service.name)]
