"""Relays the targets in the store from the few hosts that read it to all others.

Calls to the store are expensive and limited, and their number must not grow with the fleet. A few
hosts of each failure domain are therefore chosen from the membership as readers. A reader sends
each change of the targets to the hosts of its domain and to the readers of the other domains. At
short intervals it also sends the version of the store that it has read; the message names the
object set in force. A host that misses a change requests it from the reader that announced it. A
host that receives no update, or cannot get the announced changes, reads the store itself. So does
one that knows of a newer object set than its readers have: these may have lost the store.
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
from endivedrift.reducer._discovery import apply_observed_targets
from endivedrift.reducer._state import HostState, list_readers

UPDATE_INTERVAL = timedelta(milliseconds=500)
"""Time between two updates that a reader sends."""
UPDATE_TIMEOUT = timedelta(milliseconds=1_200)
"""Time without an update after which a host reads the store itself. Two updates may be lost, and
the rest of the two seconds within which a change must be in force is enough for a read."""
ASK_INTERVAL = timedelta(milliseconds=300)
"""Time between two requests for missed changes: several times the response time of a host."""
MAX_CHANGES_PER_UPDATE = 30
"""Limit that keeps an update in one datagram, at about 100 bytes a change. If there are more, the
update contains none and its receivers request them."""
RECOVERY_TIME_TOLERANCE = timedelta(milliseconds=250)
"""Difference between two reports of the time of a recovery that is ignored."""


def advance_relaying(state: HostState, at: Instant) -> list[Effect]:
    """Decides whether this host reads the store, and sends its periodic update as a reader."""
    if not state.store_is_relayed:
        return []
    effects = _switch_store_reading(state, at)
    if at >= state.next_update_at and _is_reader(state) and state.targets_version:
        effects += _send_update(state, at, _build_update(state, at, None), to_other_domains=True)
    return effects


def announce_changes(state: HostState, event: TargetsObserved) -> list[Effect]:
    """Sends the changes that this host has just read, if it is a reader."""
    if not state.store_is_relayed or not _is_reader(state) or not event.version:
        return []
    return _send_update(
        state, event.at, _build_update(state, event.at, event), to_other_domains=True
    )


def apply_store_update(
    state: HostState, at: Instant, sender: Member, message: PeerMessage
) -> list[Effect]:
    """Applies an update from a reader.

    Args:
      state: The host.
      at: Current time.
      sender: The reader.
      message: Its message, which contains an update on the store.
    Returns:
      The effects of the changes, or a request for changes that were missed.
    """
    update = message.store_update
    if not state.store_is_relayed or update is None:
        return []
    _learn_store_recovery(state, at, update)
    effects: list[Effect] = []
    if update.since <= state.targets_version < update.version and update.since < update.version:
        observed = TargetsObserved(
            at, update.entries, update.gone, version=update.version, since=update.since
        )
        effects += apply_observed_targets(state, observed)
        if _is_reader(state) and sender.failure_domain != state.identity.failure_domain:
            effects += _send_update(
                state, at, _build_update(state, at, observed), to_other_domains=False
            )
    elif update.version > state.targets_version and at >= state.next_ask_at:
        state.next_ask_at = at + ASK_INTERVAL
        effects.append(FetchTargets((sender.peer_address,)))
    if update.version <= state.targets_version and not state.misses_config:
        state.last_update_at = at
    return effects


def _is_reader(state: HostState) -> bool:
    me = state.identity.host
    return any(member.host == me for member in list_readers(state))


def _switch_store_reading(state: HostState, at: Instant) -> list[Effect]:
    is_updated = state.last_update_at is not None and at - state.last_update_at < UPDATE_TIMEOUT
    reading = not is_updated or _is_reader(state)
    if reading == state.reads_store:
        return []
    state.reads_store = reading
    if not reading:
        cause = "read by other hosts from now on"
    elif is_updated:
        cause = "read here for other hosts from now on"
    else:
        cause = f"read here: no update from a reader for {UPDATE_TIMEOUT.total_seconds():.1f} s"
    entry = AuditEntry(at, AuditKind.STORE_CHANGED, "store", cause)
    return [SetStoreReading(reading), RecordAudit(entry)]


def _build_update(state: HostState, at: Instant, event: TargetsObserved | None) -> StoreUpdate:
    recovered_at = state.store_recovered_at
    version = state.targets_version
    update = StoreUpdate(version, version, at - recovered_at if recovered_at is not None else None)
    if (
        event is None
        or event.complete
        or len(event.entries) + len(event.gone) > MAX_CHANGES_PER_UPDATE
    ):
        return update
    return replace(update, since=event.since, entries=event.entries, gone=event.gone)


def _learn_store_recovery(state: HostState, at: Instant, update: StoreUpdate) -> None:
    """Notes the latest recovery of the store that a reader has reported."""
    if update.time_since_recovery is None:
        return
    recovered_at = at - update.time_since_recovery
    if (
        state.store_recovered_at is None
        or recovered_at > state.store_recovered_at + RECOVERY_TIME_TOLERANCE
    ):
        state.store_recovered_at = recovered_at


def _send_update(
    state: HostState, at: Instant, update: StoreUpdate, to_other_domains: bool
) -> list[Effect]:
    """Sends an update to the hosts of this domain, and to all readers if `to_other_domains`."""
    state.next_update_at = at + UPDATE_INTERVAL
    view = state.membership
    recipients: dict[HostId, Member] = {
        host: record.member
        for host, record in view.records.items()
        if record.member.failure_domain == state.identity.failure_domain
        and record.member.status <= MemberStatus.LEAVING
    }
    if to_other_domains:
        recipients |= {m.host: m for m in list_readers(state) if m.host != state.identity.host}
    return send_store_update(view, list(recipients.values()), update)
