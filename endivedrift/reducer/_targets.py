"""Applies reports on targets from the machine list and from other hosts, and sends reports to them.

Hosts send the outcomes they see and the requests they have in progress to the primaries of the
service, periodically or at once as the service is configured.
"""

from endivedrift.core import (
    AuditEntry,
    AuditKind,
    EvidenceDelta,
    HostId,
    Instant,
    LeavingSource,
    PauseCause,
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
    take_unsent_evidence,
)
from endivedrift.reducer._attempts import dispatch_queued
from endivedrift.reducer._state import HostState, list_primaries


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
        if service is None or delta.target not in service.targets:
            continue
        state.active_services.add(delta.service)
        record = service.targets[delta.target]
        add_shared_evidence(service, record, delta)
        if service.service.share_at_once:
            effects += _apply_in_flight(service, record, sender, at, delta)
            services.add(delta.service)
        if delta.leaving:
            cause = "another host says it is draining"
            entries = mark_leaving(service, delta.target, at, LeavingSource.ANNOUNCED, cause)
            service.targets[delta.target].unsent_leaving = False
            effects += [RecordAudit(entry) for entry in entries]
    for name in sorted(services):
        if state.services[name].queued_count:
            effects += dispatch_queued(state, state.services[name], at)
    return effects


def _apply_in_flight(
    service: ServiceState, record: TargetRecord, sender: HostId, at: Instant, delta: EvidenceDelta
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
        return [RecordAudit(entry)]
    return []


def share_changes(state: HostState) -> list[Effect]:
    """Reports attempts that began or ended to the primaries of their services at once."""
    changed, state.changed_targets = state.changed_targets, {}
    effects: list[Effect] = []
    for name in sorted(changed.keys() & state.services.keys()):
        effects += _send_evidence(
            state, name, take_unsent_evidence(state.services[name], changed=sorted(changed[name]))
        )
    return effects


def share_evidence(state: HostState) -> list[Effect]:
    """Sends the evidence on targets to the primaries of their services."""
    effects: list[Effect] = []
    for name in sorted(state.active_services & state.services.keys()):
        service = state.services[name]
        effects += _send_evidence(
            state, name, take_unsent_evidence(service, service.service.share_at_once)
        )
    return effects


def _send_evidence(
    state: HostState, name: ServiceName, deltas: tuple[EvidenceDelta, ...]
) -> list[Effect]:
    if not deltas:
        return []
    return send_evidence(state.membership, list(list_primaries(state, name)), deltas)
