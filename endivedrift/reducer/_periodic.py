"""Work that the periodic timer calls for."""

from datetime import timedelta

from endivedrift.core import Instant, ServiceName, TargetState
from endivedrift.core.effects import Effect, RecordAudit
from endivedrift.core.events import Ticked
from endivedrift.fleet import advance_membership, watch_members
from endivedrift.policy import (
    advance_date,
    count_overdue,
    drop_expired,
    learn_usual_rate,
    update_states,
)
from endivedrift.reducer._attempts import serve_waiting
from endivedrift.reducer._config import retry_fetch
from endivedrift.reducer._discovery import ask_for_targets, remove_missing
from endivedrift.reducer._relaying import advance_relaying
from endivedrift.reducer._state import HostState, list_watched, measure_power
from endivedrift.reducer._targets import share_evidence

EVIDENCE_PERIOD = timedelta(milliseconds=500)
CLEANING_PERIOD = timedelta(seconds=10)


def advance_time(state: HostState, event: Ticked) -> list[Effect]:
    """Moves targets between states, probes members, shares evidence and drops old records."""
    advance_date(state.keys, event.wall)
    if state.started is None:
        state.started = event.at
    effects: list[Effect] = list(retry_fetch(state, event.at))
    effects += remove_missing(state, event.at)
    effects += ask_for_targets(state, event.at)
    effects += advance_relaying(state, event.at)
    for name in sorted(state.active_services):
        effects += _advance_service(state, name, event.at)
    if event.at >= state.next_evidence:
        state.next_evidence = event.at + EVIDENCE_PERIOD
        measure_power(state)
        effects += share_evidence(state)
        state.active_services = {
            name for name in state.active_services if _needs_timer(state, name)
        }
    if event.at >= state.next_cleaning:
        state.next_cleaning = event.at + CLEANING_PERIOD
        drop_expired(state.keys)
    effects += advance_membership(state.membership, event.at)
    if event.at >= state.membership.next_watch:
        effects += watch_members(state.membership, event.at, list_watched(state))
    return effects


def _advance_service(state: HostState, name: ServiceName, at: Instant) -> list[Effect]:
    service = state.services[name]
    count_overdue(service, at)
    learn_usual_rate(service)
    effects: list[Effect] = [RecordAudit(entry) for entry in update_states(service, at)]
    return effects + serve_waiting(state, service, at)


def _needs_timer(state: HostState, name: ServiceName) -> bool:
    service = state.services[name]
    if service.queued_count:
        return True
    return any(
        record.attempts or record.state is not TargetState.HEALTHY or record.score > 0.0
        for record in service.targets.values()
    )
