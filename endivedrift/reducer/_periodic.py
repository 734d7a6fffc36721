"""Runs the work that is due at a tick of the periodic timer."""

from datetime import timedelta

from endivedrift.core import Instant, ServiceName, TargetState
from endivedrift.core.effects import Effect, RecordAudit
from endivedrift.core.events import Ticked
from endivedrift.fleet import advance_membership, watch_members
from endivedrift.policy import (
    advance_date,
    count_overdue_attempts,
    drop_expired_records,
    note_floor,
    note_overload,
    observe_lag,
    update_failure_records,
    update_states,
    update_usual_bad_rate,
)
from endivedrift.reducer._attempts import dispatch_queued
from endivedrift.reducer._config import retry_fetch
from endivedrift.reducer._discovery import ask_for_targets, remove_lapsed_targets
from endivedrift.reducer._paths import detect_lost_paths
from endivedrift.reducer._quarantine import share_suspects
from endivedrift.reducer._quotas import advance_quotas, forget_idle_quotas
from endivedrift.reducer._rate_limits import advance_rate_limits
from endivedrift.reducer._relaying import advance_relaying
from endivedrift.reducer._state import HostState, list_watched_hosts, update_required_power
from endivedrift.reducer._targets import share_evidence

EVIDENCE_INTERVAL = timedelta(milliseconds=500)
CLEANUP_INTERVAL = timedelta(seconds=10)


def handle_tick(state: HostState, event: Ticked) -> list[Effect]:
    """Updates target states, probes members, sends evidence and drops expired records."""
    advance_date(state.keys, event.wall)
    if state.started_at is None:
        state.started_at = event.at
    observe_lag(state.overload, event.late)
    noted = note_overload(state.overload, state.identity.host, event.at)
    effects: list[Effect] = [RecordAudit(entry) for entry in noted]
    effects += retry_fetch(state, event.at)
    effects += remove_lapsed_targets(state, event.at)
    effects += ask_for_targets(state, event.at)
    effects += advance_relaying(state, event.at)
    effects += share_suspects(state, event.at)
    effects += advance_rate_limits(state, event.at)
    effects += advance_quotas(state, event.at)
    effects += detect_lost_paths(state, event.at)
    for name in sorted(state.active_services):
        effects += _advance_service(state, name, event.at)
    if event.at >= state.next_evidence_at:
        state.next_evidence_at = event.at + EVIDENCE_INTERVAL
        update_required_power(state)
        effects += share_evidence(state)
        state.active_services = {
            name for name in state.active_services if _needs_timer(state, name)
        }
    if event.at >= state.next_cleanup_at:
        state.next_cleanup_at = event.at + CLEANUP_INTERVAL
        drop_expired_records(state.keys)
        forget_idle_quotas(state, event.at)
    effects += advance_membership(state.membership, event.at)
    if event.at >= state.membership.next_watch:
        effects += watch_members(state.membership, event.at, list_watched_hosts(state))
    return effects


def _advance_service(state: HostState, name: ServiceName, at: Instant) -> list[Effect]:
    service = state.services[name]
    if not state.path.is_cut:
        count_overdue_attempts(service, at)
    update_usual_bad_rate(service)
    update_failure_records(service, at)
    effects: list[Effect] = [RecordAudit(entry) for entry in update_states(service, at)]
    effects += [RecordAudit(entry) for entry in note_floor(service, at)]
    return effects + dispatch_queued(state, service, at)


def _needs_timer(state: HostState, name: ServiceName) -> bool:
    service = state.services[name]
    if service.queued_count:
        return True
    return any(
        record.attempts or record.state is not TargetState.HEALTHY or record.score > 0.0
        for record in service.targets.values()
    )
