"""Idempotency keys: who owns a key, and what the owner remembers of it.

A key is owned by one host incarnation, and only the owner ever sends the request that the key
names to a target. A minted key carries its owner's name and incarnation, so that finding the
owner needs no store. A key made by a caller gets its owner through a claim row in the table
service. The owner remembers in memory what became of each key. Where that memory is gone, the
request is not sent again.

A minted key expires. Until then its absence from the owner's table proves that it has not run. A
claimed key proves this only while its record from the time of the claim is still there.
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
MINTED_LIFE = timedelta(minutes=10)
CLAIMED_LIFE = timedelta(hours=1)
MAX_KEYS = 100_000
MAX_STORED_BYTES = 16 * 1024 * 1024
MAX_KEY_LENGTH = 200
MAC_LENGTH = 32
EARLIEST = datetime.min.replace(tzinfo=UTC)
MINTED_PARTS = 6


@dataclass(frozen=True, slots=True)
class MintedKey:
    """The parts of a minted key: its owner and the date after which it is refused."""

    host: HostId
    incarnation: Incarnation
    expires: datetime


@dataclass(slots=True)
class KeyRecord:
    """What the owner knows of one key.

    Attributes:
      phase: What became of the request.
      fingerprint: Digest of the request that the key was first used for.
      forget_at: When the record may be dropped, by the owner's own date that never goes back.
      request: Request in progress, in the phases CLAIMING and RUNNING.
      claims: Claim rows that this process tried to write for a key of the caller's own.
      claimed: Whether one of them is known to stand.
      answer: Complete answer, in the phase ANSWERED and while there is room for it.
    """

    phase: KeyPhase
    fingerprint: bytes
    forget_at: datetime
    request: RequestId
    claims: set[ClaimId] = field(default_factory=set)
    claimed: bool = False
    answer: Answer | None = None


@dataclass(slots=True)
class KeyTable:
    """The keys that a host owns.

    Attributes:
      secret: Key of the fleet, by which minted keys are authenticated.
      records: Records by key.
      latest: Greatest date seen; expiry is judged by it so that it never goes back.
      stored_bytes: Size of the answers kept.
    """

    secret: bytes
    records: OrderedDict[IdempotencyKey, KeyRecord] = field(default_factory=OrderedDict)
    answered: OrderedDict[IdempotencyKey, int] = field(default_factory=OrderedDict)
    latest: datetime = EARLIEST
    stored_bytes: int = 0


def mint_key(
    secret: bytes, host: HostId, incarnation: Incarnation, wall: datetime, nonce: str
) -> IdempotencyKey:
    """Makes a key that is owned by one host incarnation.

    Args:
      secret: Key of the fleet.
      host, incarnation: The owner.
      wall: Present date.
      nonce: Random text that makes the key unique; letters and digits.
    Returns:
      The key.
    """
    expires = int((wall + MINTED_LIFE).timestamp())
    body = f"{MINTED_PREFIX}{host}.{incarnation:x}.{expires:x}.{nonce}"
    return IdempotencyKey(f"{body}.{_compute_mac(secret, body)}")


def parse_minted(secret: bytes, key: IdempotencyKey) -> MintedKey | None:
    """Reads a minted key.

    Args:
      secret: Key of the fleet.
      key: Any key.
    Returns:
      Its parts, or None where it was not minted by this fleet.
    """
    parts = key.split(".")
    if not key.startswith(MINTED_PREFIX) or len(parts) != MINTED_PARTS:
        return None
    body, _, mac = key.rpartition(".")
    if not hmac.compare_digest(mac.encode(), _compute_mac(secret, body).encode()):
        return None
    expires = datetime.fromtimestamp(int(parts[3], 16), UTC)
    return MintedKey(HostId(parts[1]), Incarnation(int(parts[2], 16)), expires)


def advance_date(table: KeyTable, wall: datetime) -> datetime:
    """Moves the date by which keys expire forward, never back, and returns it."""
    table.latest = max(table.latest, wall)
    return table.latest


def drop_expired(table: KeyTable) -> None:
    """Drops records whose keys can no longer be accepted."""
    for key in [k for k, record in table.records.items() if _is_forgettable(table, record)]:
        _discard_answer(table, key)
        del table.records[key]


def store_answer(table: KeyTable, key: IdempotencyKey, answer: Answer) -> None:
    """Keeps an answer for callers that ask again, dropping the oldest answers beyond the limit."""
    record = table.records[key]
    record.phase = KeyPhase.ANSWERED
    if len(answer.body) > MAX_STORED_BYTES:
        return
    record.answer = answer
    table.answered[key] = len(answer.body)
    table.stored_bytes += len(answer.body)
    while table.stored_bytes > MAX_STORED_BYTES:
        _discard_answer(table, next(iter(table.answered)))


def _is_forgettable(table: KeyTable, record: KeyRecord) -> bool:
    in_progress = record.phase in (KeyPhase.CLAIMING, KeyPhase.RUNNING)
    return not in_progress and record.forget_at < table.latest


def _discard_answer(table: KeyTable, key: IdempotencyKey) -> None:
    size = table.answered.pop(key, None)
    if size is not None:
        table.stored_bytes -= size
        table.records[key].answer = None


def _compute_mac(secret: bytes, body: str) -> str:
    return hmac.new(secret, body.encode(), hashlib.sha256).hexdigest()[:MAC_LENGTH]
