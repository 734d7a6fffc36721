"""Idempotency keys: ownership of a key and the owner's record of it.

A key is owned by one host incarnation, and only the owner ever sends the request that the key
names to a target. A minted key contains its owner's name and incarnation, so that the owner is
found without a store. A key chosen by a caller gets its owner by a claim row in the table service.
The owner keeps a record of each key in memory. If the record is lost, the request is not sent
again.

A minted key expires. Until then its absence from the owner's table proves that its request has not
run. For a claimed key, only the record made at the time of the claim can prove this.
"""

import hashlib
import hmac
from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from endivedrift.core import (
    Answer,
    ClaimId,
    HostId,
    IdempotencyKey,
    Incarnation,
    KeyPhase,
    RequestId,
)

MINTED_PREFIX = "ed1."
MINTED_KEY_TTL = timedelta(minutes=10)
CLAIMED_KEY_TTL = timedelta(hours=1)
MAX_KEYS = 100_000
MAX_STORED_BYTES = 16 * 1024 * 1024
MAX_KEY_LENGTH = 200
MAC_HEX_DIGITS = 32
EARLIEST_DATE = datetime.min.replace(tzinfo=UTC)
MINTED_PART_COUNT = 6


@dataclass(frozen=True, slots=True)
class MintedKey:
    """The owner of a minted key and the date after which the key is refused."""

    host: HostId
    incarnation: Incarnation
    expires: datetime


@dataclass(slots=True)
class KeyRecord:
    """The owner's record of one key.

    Attributes:
      phase: State of the request.
      fingerprint: Digest of the request that the key was first used for.
      forget_at: When the record may be dropped, by the monotonic date of the table.
      request: Request in progress, in the phases CLAIMING and RUNNING.
      claims: Claim rows that this process tried to write for a key chosen by the caller.
      claim_confirmed: Whether one of them is known to be in the table service.
      answer: Complete answer, in the phase ANSWERED and while there is room for it.
    """

    phase: KeyPhase
    fingerprint: bytes
    forget_at: datetime
    request: RequestId
    claims: set[ClaimId] = field(default_factory=set)
    claim_confirmed: bool = False
    answer: Answer | None = None


@dataclass(slots=True)
class KeyTable:
    """The keys that a host owns.

    Attributes:
      secret: Key of the fleet, which authenticates minted keys.
      records: Records by key.
      answer_sizes: Sizes in bytes of the stored answers by key, oldest first.
      latest_date: Latest date seen. Expiry is measured by it, so that no expired key becomes valid
        again when the clock is set back.
      stored_bytes: Total size of the stored answers.
    """

    secret: bytes
    records: OrderedDict[IdempotencyKey, KeyRecord] = field(default_factory=OrderedDict)
    answer_sizes: OrderedDict[IdempotencyKey, int] = field(default_factory=OrderedDict)
    latest_date: datetime = EARLIEST_DATE
    stored_bytes: int = 0


def mint_key(
    secret: bytes, host: HostId, incarnation: Incarnation, wall: datetime, nonce: str
) -> IdempotencyKey:
    """Creates a key that is owned by one host incarnation.

    Args:
      secret: Key of the fleet.
      host, incarnation: The owner.
      wall: Current date.
      nonce: Random text that makes the key unique; letters and digits.
    Returns:
      The key.
    """
    expires = int((wall + MINTED_KEY_TTL).timestamp())
    body = f"{MINTED_PREFIX}{host}.{incarnation:x}.{expires:x}.{nonce}"
    return IdempotencyKey(f"{body}.{_compute_mac(secret, body)}")


def parse_minted_key(secret: bytes, key: IdempotencyKey) -> MintedKey | None:
    """Parses and authenticates a minted key.

    Args:
      secret: Key of the fleet.
      key: Any key.
    Returns:
      Its owner and expiry, or None if it was not minted by this fleet.
    """
    parts = key.split(".")
    if not key.startswith(MINTED_PREFIX) or len(parts) != MINTED_PART_COUNT:
        return None
    body, _, mac = key.rpartition(".")
    if not hmac.compare_digest(mac.encode(), _compute_mac(secret, body).encode()):
        return None
    expires = datetime.fromtimestamp(int(parts[3], 16), UTC)
    return MintedKey(HostId(parts[1]), Incarnation(int(parts[2], 16)), expires)


def advance_date(table: KeyTable, wall: datetime) -> datetime:
    """Advances the date by which keys expire, never backwards, and returns it."""
    table.latest_date = max(table.latest_date, wall)
    return table.latest_date


def drop_expired_records(table: KeyTable) -> None:
    """Drops records whose keys can no longer be accepted."""
    for key in [k for k, record in table.records.items() if _is_forgettable(table, record)]:
        _discard_answer(table, key)
        del table.records[key]


def store_answer(table: KeyTable, key: IdempotencyKey, answer: Answer) -> None:
    """Stores an answer for repeated requests and drops the oldest answers beyond the limit."""
    record = table.records[key]
    record.phase = KeyPhase.ANSWERED
    if len(answer.body) > MAX_STORED_BYTES:
        return
    record.answer = answer
    table.answer_sizes[key] = len(answer.body)
    table.stored_bytes += len(answer.body)
    while table.stored_bytes > MAX_STORED_BYTES:
        _discard_answer(table, next(iter(table.answer_sizes)))


def _is_forgettable(table: KeyTable, record: KeyRecord) -> bool:
    in_progress = record.phase in (KeyPhase.CLAIMING, KeyPhase.RUNNING)
    return not in_progress and record.forget_at < table.latest_date


def _discard_answer(table: KeyTable, key: IdempotencyKey) -> None:
    size = table.answer_sizes.pop(key, None)
    if size is not None:
        table.stored_bytes -= size
        table.records[key].answer = None


def _compute_mac(secret: bytes, body: str) -> str:
    return hmac.new(secret, body.encode(), hashlib.sha256).hexdigest()[:MAC_HEX_DIGITS]
