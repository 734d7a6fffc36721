"""The reducer: applies an event to the state and returns the effects as data.

It reads no clock, opens no socket and writes no log. The same events from the same state always
give the same effects.
"""

from dataclasses import replace
from functools import singledispatch

from endivedrift.core import NO_CONFIG, AuditEntry, AuditKind, HostPhase
from endivedrift.core.effects import CountOvertakenRead, Effect, RecordAudit
from endivedrift.core.events import (
    AttemptFinished,
    AttemptLate,
    CallerDisconnected,
    ConfigFetched,
    ConfigFetchFailed,
    ConfigHeadObserved,
    Event,
    ForwardFinished,
    HedgeDue,
    KeyClaimSettled,
    MachineListRead,
    PeerMessageReceived,
    PeerTargetsReceived,
    QueueWaitExpired,
    RequestArrived,
    SeedsRead,
    StopRequested,
    StoreAnswered,
    StoreUnavailable,
    TargetsObserved,
    Ticked,
)
from endivedrift.fleet import announce_leaving, receive_message, replace_seeds
from endivedrift.reducer._attempts import finish_attempt, handle_late_attempt
from endivedrift.reducer._config import apply_config, note_accepted_config, record_failed_fetch
from endivedrift.reducer._discovery import (
    apply_observed_targets,
    apply_peer_targets,
)
from endivedrift.reducer._hedging import start_hedge
from endivedrift.reducer._keyed import apply_claim_result, finish_forward
from endivedrift.reducer._periodic import handle_tick
from endivedrift.reducer._quarantine import apply_suspect_reports
from endivedrift.reducer._quotas import (
    apply_quota_reports,
    apply_quota_statuses,
    report_urgent_quotas,
)
from endivedrift.reducer._rate_limits import apply_rate_limit_reports
from endivedrift.reducer._relaying import announce_answer, announce_changes, apply_store_update
from endivedrift.reducer._requests import expire_queued, handle_disconnect, start_request
from endivedrift.reducer._state import HostState
from endivedrift.reducer._store_contact import (
    end_store_outage,
    note_pause,
    record_store_answer,
    record_store_outage,
)
from endivedrift.reducer._targets import apply_evidence, apply_machine_list, share_changes


def reduce(state: HostState, event: Event) -> list[Effect]:
    """Applies an event.

    Args:
      state: The state of the host, which is modified in place.
      event: What happened.
    Returns:
      The effects that the shell has to carry out, in order.
    """
    effects = _reduce(event, state)
    if state.changed_targets:
        effects += share_changes(state, event.at)
    if state.quotas.urgent:
        effects += report_urgent_quotas(state, event.at)
    return effects


@singledispatch
def _reduce(event: Event, state: HostState) -> list[Effect]:
    raise TypeError(f"no handler for event {type(event).__name__}")


@_reduce.register
def _(event: RequestArrived, state: HostState) -> list[Effect]:
    return start_request(state, event)


@_reduce.register
def _(event: QueueWaitExpired, state: HostState) -> list[Effect]:
    return expire_queued(state, event)


@_reduce.register
def _(event: AttemptFinished, state: HostState) -> list[Effect]:
    return finish_attempt(state, event)


@_reduce.register
def _(event: AttemptLate, state: HostState) -> list[Effect]:
    return handle_late_attempt(state, event)


@_reduce.register
def _(event: HedgeDue, state: HostState) -> list[Effect]:
    return start_hedge(state, event)


@_reduce.register
def _(event: CallerDisconnected, state: HostState) -> list[Effect]:
    return handle_disconnect(state, event)


@_reduce.register
def _(event: KeyClaimSettled, state: HostState) -> list[Effect]:
    return apply_claim_result(state, event)


@_reduce.register
def _(event: ForwardFinished, state: HostState) -> list[Effect]:
    return finish_forward(state, event)


@_reduce.register
def _(event: ConfigHeadObserved, state: HostState) -> list[Effect]:
    state.has_read_head = True
    return note_accepted_config(state, event.at, event.config)


@_reduce.register
def _(event: ConfigFetched, state: HostState) -> list[Effect]:
    return apply_config(state, event)


@_reduce.register
def _(event: ConfigFetchFailed, state: HostState) -> list[Effect]:
    return record_failed_fetch(state, event)


@_reduce.register
def _(event: MachineListRead, state: HostState) -> list[Effect]:
    state.machines = event.machines
    seeds = tuple(m.peer_address for m in event.machines if m.peer_address)
    replace_seeds(state.membership, seeds)
    return apply_machine_list(state, event.at)


@_reduce.register
def _(event: TargetsObserved, state: HostState) -> list[Effect]:
    effects = end_store_outage(state, event.at)
    if event.version < state.targets_version:
        effects.append(CountOvertakenRead())
    # There was no change between the latest known one and the version that was asked for.
    event = replace(event, since=min(event.since, state.targets_version))
    return effects + apply_observed_targets(state, event) + announce_changes(state, event)


@_reduce.register
def _(event: PeerTargetsReceived, state: HostState) -> list[Effect]:
    return apply_peer_targets(state, event)


@_reduce.register
def _(event: SeedsRead, state: HostState) -> list[Effect]:
    replace_seeds(state.membership, event.addresses)
    return []


@_reduce.register
def _(event: StoreUnavailable, state: HostState) -> list[Effect]:
    return record_store_outage(state, event)


@_reduce.register
def _(event: StoreAnswered, state: HostState) -> list[Effect]:
    return record_store_answer(state, event) + announce_answer(state, event.at)


@_reduce.register
def _(event: PeerMessageReceived, state: HostState) -> list[Effect]:
    note_pause(state.store, event.at)
    fresh, effects = receive_message(state.membership, event.at, event.source, event.message)
    if not fresh:
        return effects
    config = event.message.config
    sender = state.membership.records[event.message.sender.host].member
    if config != NO_CONFIG:
        effects += note_accepted_config(state, event.at, config, sender.peer_address)
    if event.message.store_update is not None:
        effects += apply_store_update(state, event.at, sender, event.message)
    if event.message.suspects:
        effects += apply_suspect_reports(state, event.at, sender, event.message.suspects)
    if event.message.rate_limits:
        effects += apply_rate_limit_reports(state, event.at, sender, event.message.rate_limits)
    if event.message.quotas:
        effects += apply_quota_reports(state, event.at, sender, event.message.quotas)
    if event.message.quota_statuses:
        apply_quota_statuses(state, event.at, sender.host, event.message.quota_statuses)
    return effects + apply_evidence(state, event.at, sender.host, event.message.evidence)


@_reduce.register
def _(event: Ticked, state: HostState) -> list[Effect]:
    note_pause(state.store, event.at)
    return handle_tick(state, event)


@_reduce.register
def _(event: StopRequested, state: HostState) -> list[Effect]:
    if state.phase is HostPhase.LEAVING:
        return []
    state.phase = HostPhase.LEAVING
    state.serves_until = event.serves_until
    entry = AuditEntry(event.at, AuditKind.PHASE_CHANGED, state.identity.host, "stop requested")
    return [RecordAudit(entry), *announce_leaving(state.membership, event.at)]
