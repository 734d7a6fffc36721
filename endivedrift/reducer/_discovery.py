"""Targets that register themselves: they come, change, announce that they leave, and vanish."""

from datetime import timedelta

from endivedrift.core import (
    AuditEntry,
    AuditKind,
    HostId,
    Instant,
    LeavingSource,
    ServiceName,
    TargetEntry,
    TargetName,
)
from endivedrift.core.effects import Effect, FetchTargets, RecordAudit
from endivedrift.core.events import (
    PeerTargetsReceived,
    StoreRecovered,
    StoreUnavailable,
    TargetsObserved,
)
from endivedrift.fleet import sample_alive
from endivedrift.policy import mark_leaving, place_entry, return_target
from endivedrift.reducer._attempts import serve_waiting
from endivedrift.reducer._state import HostState

REREGISTRATION_GRACE = timedelta(seconds=2)
"""Time after the store's return in which entries that lapsed meanwhile come back; the users state
it for their platform."""
ASKED_PEERS = 3
ASK_PERIOD = timedelta(seconds=1)
"""Time between two questions to other hosts: several times the time of an answer."""
MASS_LOSS_PERIOD = timedelta(milliseconds=1_200)
"""Time for which targets are kept whose loss at one moment would break the floor of their service:
over half of the two seconds in which the users want a vanished target to get no more requests."""


def lose_store(state: HostState, event: StoreUnavailable) -> list[Effect]:
    """Notes that entries may lapse although their targets live."""
    if state.store_unavailable:
        return []
    state.store_unavailable = True
    return [_record_store(event.at, f"lost: {event.cause}")]


def ask_for_targets(state: HostState, at: Instant) -> list[Effect]:
    """Asks other hosts for targets while the store has not named any since the start."""
    if state.targets_seen or not state.store_unavailable or at < state.next_ask:
        return []
    peers = [m.peer_address for m in sample_alive(state.membership, ASKED_PEERS, HostId(""))]
    if not peers:
        return []
    state.next_ask = at + ASK_PERIOD
    return [FetchTargets(tuple(peers))]


def take_told_targets(state: HostState, event: PeerTargetsReceived) -> list[Effect]:
    """Takes in the targets that another host knows, where it knows more of the store.

    Targets as of no version of the store count only as long as the store has named none.
    """
    if event.version:
        observed = TargetsObserved(event.at, event.entries, complete=True, version=event.version)
        return observe_targets(state, observed)
    if state.targets_seen:
        return []
    return _take_entries(state, event.at, event.entries)


def list_registered_targets(state: HostState) -> tuple[tuple[TargetEntry, ...], int]:
    """Returns the targets whose entries are in the store as far as known, and its version."""
    known = (e for name, e in state.discovered.items() if name not in state.missing)
    return tuple(known), state.targets_version


def regain_store(state: HostState, event: StoreRecovered) -> list[Effect]:
    """Gives entries that lapsed meanwhile the time to come back."""
    if not state.store_unavailable:
        return []
    state.store_unavailable = False
    state.store_recovered_at = event.at
    return [_record_store(event.at, "answers again")]


def observe_targets(state: HostState, event: TargetsObserved) -> list[Effect]:
    """Takes in what targets registered.

    Args:
      state: The host.
      event: Entries that are new or changed, and names that vanished.
    Returns:
      Audit entries, and the effects on requests that waited for a target. What is older than
      what is known already changes nothing.
    """
    if event.version and event.version <= state.targets_version:
        return []
    state.targets_version = max(state.targets_version, event.version)
    entries: list[AuditEntry] = []
    gone = set(event.gone) & set(state.discovered)
    if event.complete:
        state.targets_seen = True
        gone |= set(state.discovered) - {entry.name for entry in event.entries}
    entries += _lose_entries(state, gone, event.at)
    lost: list[Effect] = [RecordAudit(entry) for entry in entries]
    return lost + _take_entries(state, event.at, event.entries)


def _take_entries(state: HostState, at: Instant, observed: tuple[TargetEntry, ...]) -> list[Effect]:
    entries: list[AuditEntry] = []
    touched = set()
    for entry in observed:
        state.missing.pop(entry.name, None)
        known = state.discovered.get(entry.name)
        if known == entry or (known is not None and known.started_ms > entry.started_ms):
            continue
        if known is not None and known.service != entry.service:
            entries += _remove(state, entry.name, at)
        state.discovered[entry.name] = entry
        entries += place_discovered(state, entry, at)
        touched.add(entry.service)
    effects: list[Effect] = [RecordAudit(entry) for entry in entries]
    for service in sorted(touched & set(state.services)):
        state.active_services.add(service)
        effects += serve_waiting(state, state.services[service], at)
    return effects


def remove_missing(state: HostState, at: Instant) -> list[Effect]:
    """Takes targets out of use whose entries did not come back in time."""
    due = sorted(name for name, until in state.missing.items() if until <= at)
    return [RecordAudit(entry) for name in due for entry in _remove(state, name, at)]


def _lose_entries(state: HostState, gone: set[TargetName], at: Instant) -> list[AuditEntry]:
    """Removes targets whose entries vanished, or lets them be for a while.

    Entries lapse while the store is away, although their targets live. A loss of many targets of a
    service at one moment is more likely the store's than the targets'.
    """
    entries: list[AuditEntry] = []
    for name in sorted(gone - set(state.missing)):
        until = _date_removal(state, gone, name, at)
        if until <= at:
            entries += _remove(state, name, at)
            continue
        state.missing[name] = until
        cause = f"its entry vanished; kept for {(until - at).total_seconds():.1f} s"
        service = state.discovered[name].service
        entries.append(AuditEntry(at, AuditKind.TARGET_MISSING, name, cause, service))
    return entries


def _date_removal(
    state: HostState, gone: set[TargetName], name: TargetName, at: Instant
) -> Instant:
    until = at
    if state.store_recovered_at is not None:
        until = max(until, state.store_recovered_at + REREGISTRATION_GRACE)
    service = state.services.get(state.discovered[name].service)
    if service is not None and len(set(service.targets) - gone) < service.floor:
        until = max(until, at + MASS_LOSS_PERIOD)
    return until


def _record_store(at: Instant, cause: str) -> Effect:
    return RecordAudit(AuditEntry(at, AuditKind.STORE_CHANGED, "store", cause))


def place_discovered(state: HostState, entry: TargetEntry, at: Instant) -> list[AuditEntry]:
    """Puts a registered target into its service, if the object set in force has that service."""
    service = state.services.get(entry.service)
    if service is None or not service.group.discovered:
        return []
    entries = []
    if place_entry(service, entry, at):
        cause = f"registered at {entry.address}, started {entry.started_ms}"
        entries.append(AuditEntry(at, AuditKind.TARGET_JOINED, entry.name, cause, service.name))
    if entry.leaving:
        cause = "it registered that it is shutting down"
        entries += mark_leaving(service, entry.name, at, LeavingSource.LISTED, cause)
    else:
        entries += return_target(service, entry.name, at, "registered as ready again")
    return entries


def _remove(state: HostState, name: TargetName, at: Instant) -> list[AuditEntry]:
    state.missing.pop(name, None)
    entry = state.discovered.pop(name, None)
    if entry is None:
        return []
    service = state.services.get(ServiceName(entry.service))
    if service is None or service.targets.pop(name, None) is None:
        return []
    return [AuditEntry(at, AuditKind.TARGET_GONE, name, "its entry was removed", service.name)]
