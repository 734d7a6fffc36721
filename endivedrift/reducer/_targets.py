"""Applies reports on targets from the machine list and from other hosts, and sends reports to them.

Hosts send the outcomes they see and the requests they have in progress to the primaries of the
service, periodically or at once as the service is configured. With few primaries, all are told of
each attempt. With many, that would cost each request a message to each of them. Only those near the
target are then told at once: the primaries of this host's failure domain and those of the target's,
which use it most. The others get a report twice a second, and are told at once when a target is
paused or leaves. Hosts that use a service without being its primaries are told only of pauses and
of targets that leave.
"""

from dataclasses import replace
from datetime import timedelta

from endivedrift.core import (
    AuditEntry,
    AuditKind,
    EvidenceDelta,
    HostId,
    Instant,
    LeavingSource,
    PauseCause,
    ProcessId,
    ServiceName,
)
from endivedrift.core.effects import Effect, RecordAudit
from endivedrift.fleet import send_evidence
from endivedrift.policy import (
    PeerInFlight,
    ServiceState,
    TargetRecord,
    add_shared_evidence,
    mark_leaving,
    pause_target,
    restore_listed_target,
    take_far_evidence,
    take_unsent_evidence,
)
from endivedrift.reducer._attempts import dispatch_queued
from endivedrift.reducer._state import HostState, count_primaries, is_primary, list_primaries
from endivedrift.reducer._statements import note_reported_leaving

USER_TTL = timedelta(minutes=2)
"""Time after a report of a host on a service for which it is told of targets that fail: the time
constant of the records of failures."""
MAX_PRIMARIES_TOLD_ALL = 4
"""Number of primaries up to which all of them are told of each attempt."""


def apply_machine_list(state: HostState, at: Instant) -> list[Effect]:
    """Takes targets out of use that the machine list shows as leaving, and restores live ones.

    A target that is not in the list is left unchanged, since the list lags and its absence proves
    nothing.
    """
    leaving = {machine.address: machine.leaving for machine in state.machines}
    entries: list[AuditEntry] = []
    for service in state.services.values():
        for name, record in service.targets.items():
            listed = leaving.get(record.target.address)  # type: ignore[call-overload]
            if listed is True:
                entries += mark_leaving(
                    service, name, at, LeavingSource.LISTED, "the platform lists it as leaving"
                )
            elif listed is False:
                entries += restore_listed_target(service, name, at)
    state.active_services |= {entry.service for entry in entries}
    return [RecordAudit(entry) for entry in entries]


def apply_evidence(
    state: HostState, at: Instant, sender: HostId, deltas: tuple[EvidenceDelta, ...]
) -> list[Effect]:
    """Applies the outcomes that another host saw and the requests it has in progress."""
    effects: list[Effect] = []
    services: set[ServiceName] = set()
    for delta in deltas:
        service = state.services.get(delta.service)
        entries: list[AuditEntry] = []
        if delta.leaving:
            process_id = ProcessId(delta.target, delta.leaving_started_ms)
            entries = note_reported_leaving(state, service, process_id, at)
        effects += [RecordAudit(entry) for entry in entries]
        if service is None or delta.target not in service.targets:
            continue
        state.active_services.add(delta.service)
        record = service.targets[delta.target]
        service.users[sender] = at
        add_shared_evidence(service, record, delta)
        if service.service.share_at_once:
            effects += _apply_in_flight(state, service, record, sender, at, delta)
            services.add(delta.service)
        if entries and _passes_on(state, service.name, sender):
            effects += _tell_users(state, at, service.name, [delta])
    for name in sorted(services):
        if state.services[name].queued_count:
            effects += dispatch_queued(state, state.services[name], at)
    return effects


def _apply_in_flight(
    state: HostState,
    service: ServiceState,
    record: TargetRecord,
    sender: HostId,
    at: Instant,
    delta: EvidenceDelta,
) -> list[Effect]:
    before = record.peers_in_flight.get(sender)
    record.peers_in_flight[sender] = PeerInFlight(delta.running, at)
    if before is None or delta.running > before.in_flight:
        record.last_request_at = at
    if delta.good:
        record.last_success_at = at
    if delta.paused and pause_target(service, record, at, PauseCause.BROKEN):
        cause = f"{sender} saw it fail"
        entry = AuditEntry(at, AuditKind.PAUSED, delta.target, cause, service.name)
        passed_on: list[Effect] = []
        if _passes_on(state, service.name, sender):
            passed_on = _tell_users(state, at, service.name, [delta])
        return [RecordAudit(entry), *passed_on]
    return []


def share_changes(state: HostState, at: Instant) -> list[Effect]:
    """Reports attempts that began or ended to the primaries of their services at once."""
    changed, state.changed_targets = state.changed_targets, {}
    effects: list[Effect] = []
    for name in sorted(changed.keys() & state.services.keys()):
        service = state.services[name]
        has_far = _has_far_primaries(state, name)
        targets = sorted(changed[name])
        deltas = take_unsent_evidence(service, changed=targets, keeps_far=has_far)
        flagged = [delta for delta in deltas if delta.paused or delta.leaving]
        far = take_far_evidence(service, flagged) if has_far else ()
        effects += _send_by_domain(state, name, deltas, far)
        effects += _tell_users(state, at, name, flagged)
    return effects


def share_evidence(state: HostState) -> list[Effect]:
    """Sends the evidence on targets to the primaries of their services."""
    effects: list[Effect] = []
    for name in sorted(state.active_services & state.services.keys()):
        service = state.services[name]
        has_far = _has_far_primaries(state, name)
        refresh = service.service.share_at_once
        deltas = take_unsent_evidence(service, refresh, keeps_far=has_far)
        far = take_far_evidence(service) if has_far else ()
        effects += _send_by_domain(state, name, deltas, far)
    return effects


def _has_far_primaries(state: HostState, name: ServiceName) -> bool:
    """Tells whether a service has so many primaries that not all are told of each attempt."""
    if not state.services[name].service.share_at_once:
        return False
    return count_primaries(state, name) > MAX_PRIMARIES_TOLD_ALL


def _send_by_domain(
    state: HostState,
    name: ServiceName,
    near: tuple[EvidenceDelta, ...],
    far: tuple[EvidenceDelta, ...],
) -> list[Effect]:
    """Sends evidence to the primaries of a service.

    Args:
      state: The host.
      name: The service.
      near: Evidence on each target for the primaries near it.
      far: Evidence on each target for its other primaries.
    Returns:
      The messages; all primaries of a failure domain get the same one.
    """
    primaries = list_primaries(state, name)
    if not _has_far_primaries(state, name):
        return send_evidence(state.membership, list(primaries), near) if near else []
    home = state.identity.failure_domain
    targets = state.services[name].targets
    effects: list[Effect] = []
    for domain in sorted({member.failure_domain for member in primaries}):
        deltas = near
        if domain != home:
            deltas = tuple(
                [d for d in near if targets[d.target].target.failure_domain == domain]
                + [d for d in far if targets[d.target].target.failure_domain != domain]
            )
        if deltas:
            receivers = [member for member in primaries if member.failure_domain == domain]
            effects += send_evidence(state.membership, receivers, deltas)
    return effects


def _passes_on(state: HostState, name: ServiceName, sender: HostId) -> bool:
    """Tells whether this host passes on what another one has told it of a target.

    A primary tells the other users of the service itself. Other hosts know only the primaries, the
    first of which passes on what they tell.
    """
    primaries = list_primaries(state, name)
    if not primaries or primaries[0].host != state.identity.host:
        return False
    return all(member.host != sender for member in primaries)


def _tell_users(
    state: HostState, at: Instant, name: ServiceName, flagged: list[EvidenceDelta]
) -> list[Effect]:
    """Tells hosts that use a service and are not its primaries which targets failed or leave."""
    service = state.services[name]
    if not flagged or not is_primary(state, name):
        return []
    service.users = {h: seen_at for h, seen_at in service.users.items() if at - seen_at < USER_TTL}
    told = {member.host for member in list_primaries(state, name)}
    records = state.membership.records
    users = [records[h].member for h in service.users if h not in told and h in records]
    deltas = tuple(
        replace(delta, good=0, bad=0, running=len(service.targets[delta.target].attempts))
        for delta in flagged
    )
    return send_evidence(state.membership, users, deltas) if users else []
