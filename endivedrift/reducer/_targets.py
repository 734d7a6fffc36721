"""What other sources than requests tell of targets: the list of machines and other hosts."""

from endivedrift.core import AuditEntry, EvidenceDelta, Instant, LeavingSign
from endivedrift.core.effects import Effect, RecordAudit
from endivedrift.fleet import send_evidence
from endivedrift.policy import (
    ServiceState,
    add_shared_evidence,
    mark_leaving,
    note_listed_live,
    take_deltas,
)
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
                    service, name, at, LeavingSign.LISTED, "the platform lists it as leaving"
                )
            elif listed is False:
                entries += note_listed_live(service, name, at)
    state.active |= {entry.service for entry in entries}
    return [RecordAudit(entry) for entry in entries]


def take_evidence(state: HostState, at: Instant, deltas: tuple[EvidenceDelta, ...]) -> list[Effect]:
    """Accounts the outcomes that another host saw."""
    effects: list[Effect] = []
    for delta in deltas:
        service = state.services.get(delta.service)
        if service is None or delta.target not in service.targets:
            continue
        state.active.add(delta.service)
        add_shared_evidence(service, service.targets[delta.target], delta)
        if delta.leaving:
            cause = "another host says it is draining"
            entries = mark_leaving(service, delta.target, at, LeavingSign.TOLD, cause)
            service.targets[delta.target].unsent_leaving = False
            effects += [RecordAudit(entry) for entry in entries]
    return effects


def share_evidence(state: HostState) -> list[Effect]:
    """Tells the hosts that serve the same services what this host saw of their targets."""
    effects: list[Effect] = []
    for name in sorted(state.active):
        service: ServiceState = state.services[name]
        deltas = take_deltas(service)
        if deltas:
            receivers = list(list_primaries(state, name))
            effects += send_evidence(state.membership, receivers, deltas)
    return effects
