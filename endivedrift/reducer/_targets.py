"""What other sources than requests tell of targets: the list of machines and other hosts."""

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
    note_listed_live,
    pause_target,
    take_deltas,
)
from endivedrift.reducer._attempts import serve_waiting
from endivedrift.reducer._state import HostState, list_primaries


def apply_host_list(state: HostState, at: Instant) -> list[Effect]:
    """Takes targets out of use that the platform lists as leaving, and back when it no longer does.

    A target that the list does not name stays as it is: the list lags, and its absence proves
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
                entries += note_listed_live(service, name, at)
    state.active_services |= {entry.service for entry in entries}
    return [RecordAudit(entry) for entry in entries]


def take_evidence(
    state: HostState, at: Instant, sender: HostId, deltas: tuple[EvidenceDelta, ...]
) -> list[Effect]:
    """Accounts the outcomes that another host saw and the requests it has in progress."""
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
            effects += _take_running(service, record, sender, at, delta)
            services.add(delta.service)
        if delta.leaving:
            cause = "another host says it is draining"
            entries = mark_leaving(service, delta.target, at, LeavingSource.ANNOUNCED, cause)
            service.targets[delta.target].unsent_leaving = False
            effects += [RecordAudit(entry) for entry in entries]
    for name in sorted(services):
        if state.services[name].queued_count:
            effects += serve_waiting(state, state.services[name], at)
    return effects


def _take_running(
    service: ServiceState, record: TargetRecord, sender: HostId, at: Instant, delta: EvidenceDelta
) -> list[Effect]:
    before = record.peers_in_flight.get(sender)
    record.peers_in_flight[sender] = PeerInFlight(delta.running, at)
    if before is None or delta.running > before.running:
        record.tried = at
    if delta.good:
        record.last_success_at = at
    if delta.paused and pause_target(service, record, at, PauseCause.BROKEN):
        cause = f"{sender} saw it fail"
        entry = AuditEntry(at, AuditKind.PAUSED, delta.target, cause, service.name)
        return [RecordAudit(entry)]
    return []


def share_urgent(state: HostState) -> list[Effect]:
    """Tells the other hosts of a service at once of attempts that began or ended."""
    urgent, state.urgent = state.urgent, {}
    effects: list[Effect] = []
    for name in sorted(urgent.keys() & state.services.keys()):
        effects += _share(
            state, name, take_deltas(state.services[name], changed=sorted(urgent[name]))
        )
    return effects


def share_evidence(state: HostState) -> list[Effect]:
    """Tells the hosts that serve the same services what this host saw of their targets."""
    effects: list[Effect] = []
    for name in sorted(state.active_services & state.services.keys()):
        service = state.services[name]
        effects += _share(state, name, take_deltas(service, service.service.share_at_once))
    return effects


def _share(state: HostState, name: ServiceName, deltas: tuple[EvidenceDelta, ...]) -> list[Effect]:
    if not deltas:
        return []
    return send_evidence(state.membership, list(list_primaries(state, name)), deltas)
