"""Keeps as of when this host knows what the store holds, and asks the store when that is too old.

A host that waits for changes cannot tell a store that has none from a connection that delivers
nothing, nor can the hosts that rely on it. Beside the waits, questions are therefore asked that the
store answers at once. An answer shows that all is known that the store had accepted when the
question was asked. It is relayed with its age, so that one question at a time is enough for the
whole fleet, and each host sees for itself when those that read the store for it have lost it.

Hosts ask in the order of their ranks: each waits somewhat longer for an answer to somebody else
than the hosts before it. After a loss of the first hosts, twice as many ask in each further step.
`_change_budget` has the times.
"""

from datetime import timedelta

from endivedrift.core import AuditEntry, AuditKind, Instant, StoreAnswer
from endivedrift.core.effects import AskStore, Effect, RecordAudit
from endivedrift.core.events import StoreAnswered, StoreUnavailable
from endivedrift.policy import TICK_PERIOD
from endivedrift.reducer._change_budget import compute_ask_age, compute_rank_delay
from endivedrift.reducer._state import HostState, StoreContact, get_asking_rank, is_reader

FIRST_PAUSE = timedelta(milliseconds=1_200)
"""Time after the first answer in which a host hears of others that ask."""
RETRY_DELAY = timedelta(milliseconds=500)
"""Time from a question that failed to the next one."""
MAX_RETRY_DELAY = timedelta(seconds=4)
"""Greatest such time, for hosts that do not read the store otherwise: they need not be the first to
see it recover."""
RETRY_JITTER = 0.25
ASK_LIMIT = timedelta(seconds=30)
"""Time after which a question without an outcome counts as failed; a call ends far earlier."""
ANSWER_NUMBERS = 2**32
MIN_PAUSE = timedelta(milliseconds=250)
"""Shortest time without an event, beyond the period of ticks, that counts as a pause of a host."""
QUEUE_TIME = timedelta(milliseconds=500)
"""Time after a pause in which messages that arrived during it may still be read."""
OUTAGE_PAUSE = timedelta(seconds=2.5)
"""Time without an answer to any host that counts as an outage of the store. Others ask long before
if a host fails; registrations lapse after a longer one."""


def ask_store(state: HostState, at: Instant) -> list[Effect]:
    """Asks the store for changes if the latest answer that is known here is too old."""
    contact = state.store
    if not state.store_is_relayed or at < contact.next_ask_at:
        return []
    if contact.asked_at is not None and at - contact.asked_at < ASK_LIMIT:
        return []
    if contact.as_of is not None and at - contact.as_of < _compute_delay(state):
        return []
    contact.asked_at = at
    return [AskStore(state.targets_read_to, contact.config_read_to)]


def _compute_delay(state: HostState) -> timedelta:
    """Computes the age of the latest answer at which this host asks."""
    limit, rank = state.store.change_limit, get_asking_rank(state)
    if state.store.source == state.identity.host:
        # The hosts before this one were not answered. It goes on as the second one, so that it
        # hears of the first one as soon as that is answered again.
        rank = min(rank, 1)
    return compute_ask_age(limit) + compute_rank_delay(limit, rank)


def note_pause(contact: StoreContact, at: Instant) -> None:
    """Notes at an event how long this host has not run; what it reads next may be that old."""
    last, contact.last_event_at = contact.last_event_at, at
    if last is None or at - last < TICK_PERIOD + MIN_PAUSE:
        return
    # Two pauses soon after each other may both have delayed what is read now.
    contact.pause = at - last + compute_queue_time(contact, at)
    contact.pause_ended_at = at


def compute_queue_time(contact: StoreContact, at: Instant) -> timedelta:
    """Computes how long a message may have waited here before it is read."""
    return contact.pause if at - contact.pause_ended_at < QUEUE_TIME else timedelta(0)


def record_store_answer(state: HostState, event: StoreAnswered) -> list[Effect]:
    """Notes what an answer to this host shows."""
    contact = state.store
    is_first = contact.as_of is None
    contact.asked_at = None
    contact.failure_count = 0
    contact.next_ask_at = event.asked_at + (FIRST_PAUSE if is_first else timedelta(0))
    contact.answer_count = (contact.answer_count + 1) % ANSWER_NUMBERS
    answer = StoreAnswer(
        event.at - event.asked_at,
        state.identity.host,
        contact.answer_count,
        event.targets_version,
        event.config_version,
    )
    effects = note_answers(state, event.asked_at, event.asked_at)
    effects += end_store_outage(state, event.at)
    return effects + adopt_answer(state, event.at, answer)


def adopt_answer(
    state: HostState, at: Instant, answer: StoreAnswer, queue_time: timedelta = timedelta(0)
) -> list[Effect]:
    """Notes an answer of the store to some host, if it is later than the latest one known.

    All that it covers must be known here. An answer that was relayed on several ways counts from
    the earliest time, so that hosts that tell one another of it do not make it seem later.

    Args:
      state: The host.
      at: Current time.
      answer: The answer, with its age when the message about it was sent.
      queue_time: How long that message may have waited here before it was read.
    Returns:
      Audit entries.
    """
    contact, as_of = state.store, at - answer.age - queue_time
    if contact.as_of is not None:
        if (contact.source, contact.number) == (answer.source, answer.number):
            contact.as_of = min(contact.as_of, as_of)
            return []
        if as_of <= contact.as_of:
            return []
    me = state.identity.host
    previous, previous_as_of = contact.source, contact.as_of
    contact.as_of, contact.source, contact.number = as_of, answer.source, answer.number
    contact.targets_read_to = max(contact.targets_read_to, answer.targets_version)
    contact.config_read_to = max(contact.config_read_to, answer.config_version)
    if previous_as_of is None or previous == answer.source or me not in (previous, answer.source):
        return []
    age = (at - previous_as_of).total_seconds()
    cause = f"asked by {answer.source} from now on; the answer to {previous} is {age:.1f} s old"
    return [_audit_store(at, cause)]


def note_delay(state: HostState, at: Instant) -> list[Effect]:
    """Notes when this host begins and ends to know of no answer within the limit for changes."""
    contact = state.store
    if contact.as_of is None:
        return []
    is_behind = at - contact.as_of > contact.change_limit
    if is_behind and contact.behind_since is None:
        contact.behind_since = contact.as_of
        age = (at - contact.as_of).total_seconds()
        cause = f"may be behind: the latest answer, to {contact.source}, is {age:.1f} s old"
        return [_audit_store(at, cause)]
    if not is_behind and contact.behind_since is not None:
        pause = (contact.as_of - contact.behind_since).total_seconds()
        contact.behind_since = None
        cause = f"is no longer behind: {contact.source} was answered {pause:.1f} s after that"
        return [_audit_store(at, cause)]
    return []


def describe_answer(contact: StoreContact, at: Instant) -> StoreAnswer | None:
    """Describes the latest answer known, for other hosts."""
    if contact.as_of is None:
        return None
    return StoreAnswer(
        at - contact.as_of,
        contact.source,
        contact.number,
        contact.targets_read_to,
        contact.config_read_to,
    )


def is_store_answering(state: HostState, at: Instant) -> bool:
    """Tells whether the store has lately answered any host, as far as is known here."""
    if not state.store_is_relayed:
        return not state.store_unavailable
    answered_at = state.store.answered_at
    return answered_at is not None and at - answered_at < OUTAGE_PAUSE


def note_answers(state: HostState, since: Instant, until: Instant) -> list[Effect]:
    """Notes that the store answered some host or other from one time to another.

    Spans of answers that overlap, or are only a short pause apart, are one. A longer pause before a
    later span was an outage: the answers to any host count, so that the lost connection of one host
    is none.
    """
    contact = state.store
    if contact.answered_at is None or since > contact.answered_at + OUTAGE_PAUSE:
        pause = since - contact.answered_at if contact.answered_at is not None else None
        contact.answering_since, contact.answered_at = since, until
        if pause is None:
            return []
        return [_audit_store(until, f"answers again after {pause.total_seconds():.1f} s")]
    if until + OUTAGE_PAUSE >= contact.answering_since:
        contact.answering_since = min(contact.answering_since, since)
        contact.answered_at = max(contact.answered_at, until)
    return []


def end_store_outage(state: HostState, at: Instant) -> list[Effect]:
    """Notes that the store answers this host again."""
    if not state.store_unavailable:
        return []
    state.store_unavailable = False
    return [*note_answers(state, at, at), _audit_store(at, "answers this host again")]


def record_store_outage(state: HostState, event: StoreUnavailable) -> list[Effect]:
    """Notes that the store did not answer this host; it may answer others."""
    contact = state.store
    contact.asked_at = None
    contact.failure_count += 1
    delay = RETRY_DELAY
    if contact.as_of is not None and not is_reader(state):
        delay = min(MAX_RETRY_DELAY, RETRY_DELAY * 2 ** min(contact.failure_count, 8))
    contact.next_ask_at = event.at + delay * state.random.uniform(
        1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER
    )
    if state.store_unavailable:
        return []
    state.store_unavailable = True
    return [_audit_store(event.at, f"does not answer this host: {event.cause}")]


def _audit_store(at: Instant, cause: str) -> Effect:
    return RecordAudit(AuditEntry(at, AuditKind.STORE_CHANGED, "store", cause))
