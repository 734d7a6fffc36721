"""Everything the reducer can ask the shell to do, as immutable values."""

from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias

from endivedrift.core._clock import Instant
from endivedrift.core._ids import (
    Address,
    ClaimId,
    HostId,
    IdempotencyKey,
    Incarnation,
    RequestId,
    ServiceName,
    TargetName,
)
from endivedrift.core._records import Answer, AuditEntry, ConfigRef, PeerMessage, Refusal


@dataclass(frozen=True, slots=True)
class SendToTarget:
    """Send the request to a target and wait for the answer until `deadline`.

    A connection that was idle for at most `max_reuse_idle` may carry the request; `connect_timeout`
    bounds the opening of a new one. An answer without a length is complete at the end of its
    connection where `close_delimited` says so. Each time that `late_after` has passed without an
    answer, AttemptLate is raised.
    """

    request: RequestId
    service: ServiceName
    target: TargetName
    address: Address
    deadline: Instant
    late_after: timedelta
    answer_limit_bytes: int
    not_run_header: bytes
    draining_header: bytes
    max_reuse_idle: timedelta
    connect_timeout: timedelta = timedelta(seconds=1)
    close_delimited: bool = False


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    """End the attempt in progress as timed out."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class QueueRequest:
    """Keep the request waiting until `until`, then raise QueueWaitExpired."""

    request: RequestId
    until: Instant


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Give the caller a target's answer."""

    request: RequestId
    answer: Answer
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Give the caller a refusal."""

    request: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Write a claim row for a caller's own key in the table service."""

    request: RequestId
    key: IdempotencyKey
    claim: ClaimId
    until: Instant


@dataclass(frozen=True, slots=True)
class ForwardToOwner:
    """Pass the request to the host that owns its key."""

    request: RequestId
    owner: HostId
    incarnation: Incarnation
    address: Address
    deadline: Instant


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """Stop all work for a request whose caller is gone."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a datagram to another host."""

    address: Address
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class FetchConfig:
    """Fetch an object set from the given peers, then from the object store."""

    config: ConfigRef
    peers: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class FetchTargets:
    """Ask the given peers, one after the other, for the targets that registered themselves."""

    peers: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class SetStoreReading:
    """Begin to follow the store's changes, or leave them to other hosts."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class RecordAudit:
    """Append an entry to the audit trail and the log."""

    entry: AuditEntry


Effect: TypeAlias = (
    SendToTarget
    | AbortAttempt
    | QueueRequest
    | DeliverAnswer
    | RefuseRequest
    | ClaimKey
    | ForwardToOwner
    | AbandonRequest
    | SendPeerMessage
    | FetchConfig
    | FetchTargets
    | SetStoreReading
    | RecordAudit
)
RequestEffect: TypeAlias = (
    SendToTarget
    | AbortAttempt
    | QueueRequest
    | DeliverAnswer
    | RefuseRequest
    | ClaimKey
    | ForwardToOwner
)
