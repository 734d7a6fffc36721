"""A few hosts read the store and tell the others.

Calls to the store are dear and few, and their number must not grow with the fleet. The membership
names readers in each failure domain. A reader tells the hosts of its domain and the readers of the
other domains each change of the targets as it comes, and at short intervals how far it has read and
which object set is in force. Whoever misses a change asks the reader that told of it. A host that
hears of no reader, or cannot get what a reader told of, reads the store for itself.
"""

from dataclasses import replace
from datetime import timedelta

from endivedrift.core import (
    AuditEntry,
    AuditKind,
    HostId,
    Instant,
    Member,
    MemberStatus,
    PeerMessage,
    StoreUpdate,
)
from endivedrift.core.effects import Effect, FetchTargets, RecordAudit, SetStoreReading
from endivedrift.core.events import TargetsObserved
from endivedrift.fleet import send_store_update
from endivedrift.reducer._discovery import observe_targets
from endivedrift.reducer._state import HostState, list_readers

UPDATE_PERIOD = timedelta(milliseconds=500)
"""Time between two updates of a reader to the hosts of its domain."""
UPDATE_TIMEOUT = timedelta(milliseconds=1_200)
"""Time without an update after which a host reads the store for itself: two may be lost, and the
rest of the two seconds in which a change must be in force suffices for a read."""
ASK_PERIOD = timedelta(milliseconds=300)
"""Time between two questions for missed changes: several times the time of an answer."""
MAX_CHANGES = 30
"""Changes told in one datagram, at about 100 bytes each; whoever misses more asks for them."""
REGAINED_STEP = timedelta(milliseconds=250)
"""Difference between two reports of when the store came back that means nothing."""


def advance_relaying(state: HostState, at: Instant) -> list[Effect]:
    """Tells the others at intervals, and decides whether this host reads the store."""
    if not state.store_is_relayed:
        return []
    effects = _choose_source(state, at)
    if at >= state.next_update and _is_reader(state) and state.targets_version:
        effects += _announce(state, at, _build_update(state, at, None), far=True)
    return effects


def announce_changes(state: HostState, event: TargetsObserved) -> list[Effect]:
    """Tells what this host has just read, if it reads the store for others."""
    if not state.store_is_relayed or not _is_reader(state) or not event.version:
        return []
    return _announce(state, event.at, _build_update(state, event.at, event), far=True)


def take_store_update(
    state: HostState, at: Instant, sender: Member, message: PeerMessage
) -> list[Effect]:
    """Takes in what a reader tells.

    Args:
      state: The host.
      at: Present time.
      sender: The reader.
      message: Its message, which holds an update on the store.
    Returns:
      The effects of changes, or a question for those that were missed.
    """
    update = message.store_update
    if not state.store_is_relayed or update is None:
        return []
    _learn_return(state, at, update)
    effects: list[Effect] = []
    if update.since <= state.targets_version < update.version and update.since < update.version:
        observed = TargetsObserved(
            at, update.entries, update.gone, version=update.version, since=update.since
        )
        effects += observe_targets(state, observed)
        if _is_reader(state) and sender.failure_domain != state.identity.failure_domain:
            effects += _announce(state, at, _build_update(state, at, observed), far=False)
    elif update.version > state.targets_version and at >= state.next_ask:
        state.next_ask = at + ASK_PERIOD
        effects.append(FetchTargets((sender.peer_address,)))
    if update.version <= state.targets_version and message.config.version <= state.config.version:
        state.update_heard = at
    return effects


def _is_reader(state: HostState) -> bool:
    me = state.identity.host
    return any(member.host == me for member in list_readers(state))


def _choose_source(state: HostState, at: Instant) -> list[Effect]:
    heard = state.update_heard is not None and at - state.update_heard < UPDATE_TIMEOUT
    reading = not heard or _is_reader(state)
    if reading == state.reads_store:
        return []
    state.reads_store = reading
    if not reading:
        cause = "left to the readers"
    elif heard:
        cause = "read for others from now on"
    else:
        cause = f"read here: no reader was heard for {UPDATE_TIMEOUT.total_seconds():.1f} s"
    entry = AuditEntry(at, AuditKind.STORE_CHANGED, "store", cause)
    return [SetStoreReading(reading), RecordAudit(entry)]


def _build_update(state: HostState, at: Instant, event: TargetsObserved | None) -> StoreUpdate:
    back = state.store_recovered_at
    version = state.targets_version
    update = StoreUpdate(version, version, at - back if back is not None else None)
    if event is None or event.complete or len(event.entries) + len(event.gone) > MAX_CHANGES:
        return update
    return replace(update, since=event.since, entries=event.entries, gone=event.gone)


def _learn_return(state: HostState, at: Instant, update: StoreUpdate) -> None:
    """Notes when the store came back, as the readers saw it."""
    if update.time_since_recovery is None:
        return
    back = at - update.time_since_recovery
    if state.store_recovered_at is None or back > state.store_recovered_at + REGAINED_STEP:
        state.store_recovered_at = back


def _announce(state: HostState, at: Instant, update: StoreUpdate, far: bool) -> list[Effect]:
    """Sends an update to the hosts of this domain, and to the readers of others where `far`."""
    state.next_update = at + UPDATE_PERIOD
    view = state.membership
    near: dict[HostId, Member] = {
        host: record.member
        for host, record in view.records.items()
        if record.member.failure_domain == state.identity.failure_domain
        and record.member.status <= MemberStatus.LEAVING
    }
    if far:
        near |= {m.host: m for m in list_readers(state) if m.host != state.identity.host}
    return send_store_update(view, list(near.values()), update)
