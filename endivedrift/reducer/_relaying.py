"""Relays what the store holds from the few hosts that read it to all others.

Calls to the store are expensive and limited, and their number must not grow with the fleet. A few
hosts of each failure domain are therefore chosen from the membership as readers, and one of them
waits for changes. A host that has read a change sends it to the hosts of its domain and to the
readers of the other domains, which pass it on in theirs. A host that misses a change requests it
from the host that announced it.

Each update also tells of the latest answer of the store to some host that asked whether anything is
new, and of its age; see `_store_contact`. A host that knows of no recent answer asks the store, and
asks a few other hosts whether they know of a later one.
"""

from dataclasses import replace
from datetime import timedelta

from endivedrift.core import (
    AuditEntry,
    AuditKind,
    ChangeSource,
    HostId,
    Instant,
    Member,
    MemberStatus,
    PeerMessage,
    StoreUpdate,
)
from endivedrift.core.effects import Effect, FetchTargets, RecordAudit, SetStoreReading
from endivedrift.core.events import TargetsObserved
from endivedrift.fleet import sample_alive, send_store_update
from endivedrift.reducer._change_budget import compute_ask_age
from endivedrift.reducer._discovery import apply_observed_targets
from endivedrift.reducer._state import HostState, is_reader, list_readers, list_waiting_hosts
from endivedrift.reducer._store_contact import (
    adopt_answer,
    ask_store,
    compute_queue_time,
    describe_answer,
    note_answers,
    note_delay,
)

UPDATE_INTERVAL = timedelta(milliseconds=500)
"""Time between two updates that a reader sends."""
FETCH_INTERVAL = timedelta(milliseconds=300)
"""Time between two requests for missed changes: several times the response time of a host."""
MAX_CHANGES_PER_UPDATE = 30
"""Limit that keeps an update in one datagram, at about 100 bytes a change. If there are more, the
update contains none and its receivers request them."""
INQUIRY_DELAY = timedelta(milliseconds=400)
"""Time after which other hosts are asked for an answer of the store, from when the next is due."""
INQUIRY_INTERVAL = timedelta(milliseconds=500)
INQUIRY_FANOUT = 3
MIN_AGE_DIFFERENCE = timedelta(milliseconds=300)
"""Time by which an answer must be later than that of an inquiry to be told."""


def advance_relaying(state: HostState, at: Instant) -> list[Effect]:
    """Sends this host's periodic update if it is a reader, and asks the store what is due."""
    if not state.store_is_relayed:
        return []
    effects = _switch_store_reading(state, at) + ask_store(state, at) + note_delay(state, at)
    if at >= state.next_update_at and is_reader(state) and state.targets_version:
        # Only an answer to this host is news to other domains.
        is_source = state.store.source == state.identity.host
        effects += _send_update(state, at, _build_update(state, at, None), is_source)
    return effects + _inquire(state, at)


def announce_changes(state: HostState, event: TargetsObserved) -> list[Effect]:
    """Sends the changes that this host has just read, unless it knows of later ones already.

    An update names the version that its sender knows, and its entries must be all changes up to it.
    """
    if not state.store_is_relayed or not event.version or event.version < state.targets_version:
        return []
    if event.complete and not is_reader(state):
        return []
    return _send_update(
        state, event.at, _build_update(state, event.at, event), to_other_domains=True
    )


def announce_answer(state: HostState, at: Instant) -> list[Effect]:
    """Tells other hosts that the store has answered this one."""
    if not state.store_is_relayed or not state.targets_version:
        return []
    return _send_update(state, at, _build_update(state, at, None), to_other_domains=True)


def apply_store_update(
    state: HostState, at: Instant, sender: Member, message: PeerMessage
) -> list[Effect]:
    """Applies an update from another host.

    Args:
      state: The host.
      at: Current time.
      sender: The other host.
      message: Its message, which contains an update on the store.
    Returns:
      The effects of the changes, or a request for changes that were missed.
    """
    update = message.store_update
    if not state.store_is_relayed or update is None:
        return []
    effects: list[Effect] = []
    queue_time = compute_queue_time(state.store, at)
    if update.answering_for is not None and update.answered_age is not None:
        sent_at = at - queue_time
        since, until = sent_at - update.answering_for, sent_at - update.answered_age
        effects += note_answers(state, since, until)
    observed = None
    if update.since <= state.targets_version < update.version and update.since < update.version:
        observed = TargetsObserved(
            at,
            update.entries,
            update.gone,
            version=update.version,
            since=update.since,
            source=ChangeSource.UPDATE,
            sender=sender.host,
        )
        effects += apply_observed_targets(state, observed)
    elif update.version > state.targets_version and at >= state.next_ask_at:
        state.next_ask_at = at + FETCH_INTERVAL
        effects.append(FetchTargets((sender.peer_address,)))
    latest = state.store.as_of
    # The answer covers what its sender knows, which must be known here too.
    knows_all = update.version <= state.targets_version and not state.misses_config
    if update.answer is not None and knows_all:
        effects += adopt_answer(state, at, update.answer, queue_time)
    is_news = observed is not None or state.store.as_of != latest
    if is_news and is_reader(state) and sender.failure_domain != state.identity.failure_domain:
        effects += _send_update(
            state, at, _build_update(state, at, observed), to_other_domains=False
        )
    if update.is_question:
        effects += _answer_inquiry(state, at, sender, update)
    return effects


def _switch_store_reading(state: HostState, at: Instant) -> list[Effect]:
    me = state.identity.host
    reading = any(member.host == me for member in list_waiting_hosts(state))
    if reading == state.reads_store:
        return []
    state.reads_store = reading
    cause = f"changes are waited for {'here' if reading else 'by other hosts'} from now on"
    entry = AuditEntry(at, AuditKind.STORE_CHANGED, "store", cause)
    return [SetStoreReading(reading), RecordAudit(entry)]


def _inquire(state: HostState, at: Instant) -> list[Effect]:
    """Asks a few hosts for a later answer of the store if the latest one known is old."""
    contact = state.store
    if contact.as_of is None or at < contact.next_inquiry_at:
        return []
    if at - contact.as_of < compute_ask_age(contact.change_limit) + INQUIRY_DELAY:
        return []
    contact.next_inquiry_at = at + INQUIRY_INTERVAL
    receivers = sample_alive(state.membership, INQUIRY_FANOUT, state.identity.host)
    question = replace(_build_update(state, at, None), is_question=True)
    return send_store_update(state.membership, receivers, question)


def _answer_inquiry(
    state: HostState, at: Instant, sender: Member, question: StoreUpdate
) -> list[Effect]:
    update = _build_update(state, at, None)
    if update.answer is None or question.answer is None:
        return []
    if update.answer.age + MIN_AGE_DIFFERENCE > question.answer.age:
        return []
    return send_store_update(state.membership, [sender], update)


def _build_update(state: HostState, at: Instant, event: TargetsObserved | None) -> StoreUpdate:
    contact, version = state.store, state.targets_version
    update = StoreUpdate(
        version,
        version,
        at - contact.answering_since if contact.answered_at is not None else None,
        at - contact.answered_at if contact.answered_at is not None else None,
        answer=describe_answer(contact, at),
    )
    if (
        event is None
        or event.complete
        or len(event.entries) + len(event.gone) > MAX_CHANGES_PER_UPDATE
    ):
        return update
    return replace(update, since=event.since, entries=event.entries, gone=event.gone)


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
