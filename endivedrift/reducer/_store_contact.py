"""Asks the store whether anything is new, and keeps as of when this host knows what it holds.

A host that waits for changes cannot tell a store that has none from a connection that delivers
nothing. Beside the wait, it therefore asks questions that the store answers at once. An answer
shows that all is known that the store had accepted when the question was asked.
"""

from datetime import timedelta

from endivedrift.core import AuditEntry, AuditKind, Instant
from endivedrift.core.effects import AskStore, Effect, RecordAudit
from endivedrift.core.events import StoreAnswered, StoreUnavailable
from endivedrift.reducer._state import HostState

ASK_INTERVAL = timedelta(milliseconds=600)
"""Time from one answered question to the next: short against the two seconds within which a change
must be in force, since the change may come just after an answer."""
ASK_RETRY_DELAY = timedelta(milliseconds=500)
"""Time from a question that failed to the next one."""
ASK_LIMIT = timedelta(seconds=30)
"""Time after which a question without an outcome counts as failed; a call ends far earlier."""


def ask_store(state: HostState, at: Instant) -> list[Effect]:
    """Asks the store for changes if that is due and this host reads it."""
    contact = state.store
    if not state.store_is_relayed or not state.reads_store or at < contact.next_ask_at:
        return []
    if contact.asked_at is not None and at - contact.asked_at < ASK_LIMIT:
        return []
    contact.asked_at = at
    targets_after = max(contact.targets_read_to, state.targets_version)
    return [AskStore(targets_after, contact.config_read_to)]


def record_store_answer(state: HostState, event: StoreAnswered) -> list[Effect]:
    """Notes what an answer shows: what is known, and that an outage has ended."""
    contact = state.store
    contact.as_of = max(event.asked_at, contact.as_of or event.asked_at)
    contact.targets_read_to = max(contact.targets_read_to, event.targets_version)
    contact.config_read_to = max(contact.config_read_to, event.config_version)
    contact.asked_at = None
    contact.next_ask_at = event.asked_at + ASK_INTERVAL
    return end_store_outage(state, event.at)


def end_store_outage(state: HostState, at: Instant) -> list[Effect]:
    """Notes that the store answers this host, after which registrations have time to be renewed."""
    if not state.store_unavailable:
        return []
    state.store_unavailable = False
    state.store_recovered_at = at
    return [_audit_store(at, "answers again")]


def record_store_outage(state: HostState, event: StoreUnavailable) -> list[Effect]:
    """Notes that the store did not answer; registrations of live targets may lapse meanwhile."""
    state.store.asked_at = None
    state.store.next_ask_at = event.at + ASK_RETRY_DELAY
    if state.store_unavailable:
        return []
    state.store_unavailable = True
    return [_audit_store(event.at, f"lost: {event.cause}")]


def _audit_store(at: Instant, cause: str) -> Effect:
    return RecordAudit(AuditEntry(at, AuditKind.STORE_CHANGED, "store", cause))
