"""The one reducer: every event changes the state and yields effects as data.

The reducer reads no clock, opens no socket and writes no log; the same events from the same state
always give the same effects.
"""

from functools import singledispatch

from endivedrift.core import NO_CONFIG, AuditEntry, AuditKind, HostPhase
from endivedrift.core.effects import Effect, RecordAudit
from endivedrift.core.events import (
    AttemptFinished,
    AttemptLate,
    CallerDisconnected,
    ConfigFetched,
    ConfigFetchFailed,
    ConfigHeadObserved,
    Event,
    ForwardFinished,
    KeyClaimSettled,
    MachineListRead,
    PeerMessageReceived,
    PeerTargetsReceived,
    QueueWaitExpired,
    RequestArrived,
    SeedsRead,
    StopRequested,
    StoreRecovered,
    StoreUnavailable,
    TargetsObserved,
    Ticked,
)
from endivedrift.fleet import announce_leaving, receive_message, replace_seeds
from endivedrift.reducer._attempts import finish_attempt, judge_late
from endivedrift.reducer._config import apply_config, fail_fetch, want_config
from endivedrift.reducer._discovery import (
    lose_store,
    observe_targets,
    regain_store,
    take_told_targets,
)
from endivedrift.reducer._keyed import finish_forward, settle_claim
from endivedrift.reducer._periodic import advance_time
from endivedrift.reducer._relaying import announce_changes, take_store_update
from endivedrift.reducer._requests import drop_caller, expire_wait, start_request
from endivedrift.reducer._state import HostState
from endivedrift.reducer._targets import apply_host_list, share_urgent, take_evidence


def reduce(state: HostState, event: Event) -> list[Effect]:
    """Applies an event.

    Args:
      state: The host's state, which is changed in place.
      event: What happened.
    Returns:
      What the shell has to do, in order.
    """
    effects = _reduce(event, state)
    if state.urgent:
        effects += share_urgent(state)
    return effects


@singledispatch
def _reduce(event: Event, state: HostState) -> list[Effect]:
    raise TypeError(f"no rule for {type(event).__name__}")


@_reduce.register
def _(event: RequestArrived, state: HostState) -> list[Effect]:
    return start_request(state, event)


@_reduce.register
def _(event: QueueWaitExpired, state: HostState) -> list[Effect]:
    return expire_wait(state, event)


@_reduce.register
def _(event: AttemptFinished, state: HostState) -> list[Effect]:
    return finish_attempt(state, event)


@_reduce.register
def _(event: AttemptLate, state: HostState) -> list[Effect]:
    return judge_late(state, event)


@_reduce.register
def _(event: CallerDisconnected, state: HostState) -> list[Effect]:
    return drop_caller(state, event)


@_reduce.register
def _(event: KeyClaimSettled, state: HostState) -> list[Effect]:
    return settle_claim(state, event)


@_reduce.register
def _(event: ForwardFinished, state: HostState) -> list[Effect]:
    return finish_forward(state, event)


@_reduce.register
def _(event: ConfigHeadObserved, state: HostState) -> list[Effect]:
    state.head_seen = True
    return want_config(state, event.at, event.config)


@_reduce.register
def _(event: ConfigFetched, state: HostState) -> list[Effect]:
    return apply_config(state, event)


@_reduce.register
def _(event: ConfigFetchFailed, state: HostState) -> list[Effect]:
    return fail_fetch(state, event)


@_reduce.register
def _(event: MachineListRead, state: HostState) -> list[Effect]:
    state.machines = event.machines
    seeds = tuple(m.peer_address for m in event.machines if m.peer_address)
    replace_seeds(state.membership, seeds)
    return apply_host_list(state, event.at)


@_reduce.register
def _(event: TargetsObserved, state: HostState) -> list[Effect]:
    return observe_targets(state, event) + announce_changes(state, event)


@_reduce.register
def _(event: PeerTargetsReceived, state: HostState) -> list[Effect]:
    return take_told_targets(state, event)


@_reduce.register
def _(event: SeedsRead, state: HostState) -> list[Effect]:
    replace_seeds(state.membership, event.addresses)
    return []


@_reduce.register
def _(event: StoreUnavailable, state: HostState) -> list[Effect]:
    return lose_store(state, event)


@_reduce.register
def _(event: StoreRecovered, state: HostState) -> list[Effect]:
    return regain_store(state, event)


@_reduce.register
def _(event: PeerMessageReceived, state: HostState) -> list[Effect]:
    fresh, effects = receive_message(state.membership, event.at, event.source, event.message)
    if not fresh:
        return effects
    config = event.message.config
    sender = state.membership.records[event.message.sender.host].member
    if config != NO_CONFIG:
        effects += want_config(state, event.at, config, sender.peer_address)
    if event.message.store_update is not None:
        effects += take_store_update(state, event.at, sender, event.message)
    return effects + take_evidence(state, event.at, sender.host, event.message.evidence)


@_reduce.register
def _(event: Ticked, state: HostState) -> list[Effect]:
    return advance_time(state, event)


@_reduce.register
def _(event: StopRequested, state: HostState) -> list[Effect]:
    if state.phase is HostPhase.LEAVING:
        return []
    state.phase = HostPhase.LEAVING
    entry = AuditEntry(event.at, AuditKind.PHASE_CHANGED, state.identity.host, "stop requested")
    return [RecordAudit(entry), *announce_leaving(state.membership, event.at)]
