"""Effects: the actions that the reducer requests from the shell, as immutable values."""

from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias

from endivedrift.core._clock import Instant
from endivedrift.core._ids import (
    Address,
    CallerName,
    ClaimId,
    HostId,
    IdempotencyKey,
    Incarnation,
    RequestId,
    ServiceName,
    TargetName,
    Version,
)
from endivedrift.core._records import (
    ANY_VERSION,
    Answer,
    AuditEntry,
    ConfigRef,
    PeerMessage,
    Refusal,
)
from endivedrift.core._states import ChangeSource


@dataclass(frozen=True, slots=True)
class SendToTarget:
    """Send the request to a target and wait for the answer until `deadline`.

    The request may reuse a connection that was idle for at most `max_reuse_idle`; opening a new one
    is limited by `connect_timeout`. If `close_delimited` is set, an answer without a length ends
    when the target closes the connection. `caller` is the account that the target is told of, or
    None. AttemptLate is raised each time `late_after` passes without an answer, and HedgeDue once
    after `hedge_after`, unless that is None. `started_ms` is the start of the target's process in
    Unix milliseconds, or 0 if it is not known.
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
    caller: CallerName | None = None
    hedge_after: timedelta | None = None
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartHedge:
    """Make a second attempt at another target while the first one goes on.

    The first response counts. As soon as the request ends, the other attempt is cancelled and its
    connection closed.
    """

    attempt: SendToTarget

    @property
    def request(self) -> RequestId:
        """The request that is hedged."""
        return self.attempt.request


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Abort the attempt in progress with the outcome TIMED_OUT."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class QueueRequest:
    """Keep the request in the queue until `until`, then raise QueueWaitExpired."""

    request: RequestId
    until: Instant


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Send a target's answer to the caller."""

    request: RequestId
    answer: Answer
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Send a refusal to the caller."""

    request: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Write a claim row for a key chosen by a caller to the table service."""

    request: RequestId
    key: IdempotencyKey
    claim: ClaimId
    until: Instant


@dataclass(frozen=True, slots=True)
class ForwardToOwner:
    """Forward the request to the host that owns its idempotency key."""

    request: RequestId
    owner: HostId
    incarnation: Incarnation
    address: Address
    deadline: Instant


@dataclass(frozen=True, slots=True)
class ForwardToPeer:
    """Forward the request to a host that may reach targets, or have a retry, unlike this one.

    `earlier_attempts` is the number of attempts at targets that were made here. The host must have
    version `config_version` in force, unless that is 0. If `takes_retry` is set, it takes the retry
    from its own budget.
    """

    request: RequestId
    peer: HostId
    address: Address
    deadline: Instant
    earlier_attempts: int
    config_version: Version = ANY_VERSION
    takes_retry: bool = False


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """Stop all work on a request whose caller has disconnected."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a datagram to another host."""

    address: Address
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class FetchConfig:
    """Fetch an object set from the given peers or, failing that, from the object store."""

    config: ConfigRef
    peers: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class FetchTargets:
    """Ask the given peers, one after another, for the targets that have registered."""

    peers: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class AskStore:
    """Ask the store at once for the changes of its tables after these versions.

    A version of 0 stands for the whole table. The end of the call is reported by `StoreAnswered` or
    `StoreUnavailable`.
    """

    targets_after: int = 0
    config_after: int = 0


@dataclass(frozen=True, slots=True)
class SetStoreReading:
    """Start or stop waiting for the store's changes on this host."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class RecordAudit:
    """Append an entry to the audit trail and write it to the log."""

    entry: AuditEntry


@dataclass(frozen=True, slots=True)
class ObserveChanges:
    """Count changes in the store by how they were learned.

    Attributes:
      source: How they were learned.
      age: Time since the store was last known not to have them, which is their greatest age.
    """

    source: ChangeSource
    age: timedelta


@dataclass(frozen=True, slots=True)
class CountOvertakenRead:
    """Count a read of the store that was older than what this host knew when it arrived."""


Effect: TypeAlias = (
    SendToTarget
    | StartHedge
    | AbortAttempt
    | QueueRequest
    | DeliverAnswer
    | RefuseRequest
    | ClaimKey
    | ForwardToOwner
    | ForwardToPeer
    | AbandonRequest
    | SendPeerMessage
    | FetchConfig
    | FetchTargets
    | AskStore
    | SetStoreReading
    | RecordAudit
    | ObserveChanges
    | CountOvertakenRead
)
RequestEffect: TypeAlias = (
    SendToTarget
    | StartHedge
    | AbortAttempt
    | QueueRequest
    | DeliverAnswer
    | RefuseRequest
    | ClaimKey
    | ForwardToOwner
    | ForwardToPeer
)
