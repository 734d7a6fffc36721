"""The immutable records that events, effects and messages are made of."""

from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import TypeAlias

from endivedrift.core._clock import Instant
from endivedrift.core._ids import (
    Address,
    CallerName,
    Digest,
    FailureDomain,
    HostId,
    IdempotencyKey,
    Incarnation,
    RequestId,
    ServiceName,
    TargetName,
    Version,
)
from endivedrift.core._states import AuditKind, MemberStatus, MessageKind, RefusalReason
from endivedrift.core._verdicts import Verdict

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]
"""Header names in lower case with their values, in the order of arrival."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What the decisions need to know of a request.

    Attributes:
      method: HTTP method in upper case.
      path: Path without the query.
      host: Name in the Host header in lower case and without a port, or the empty string.
      caller: Account the caller named, or None.
      key: Idempotency key the caller sent, or None.
      fingerprint: Digest of caller, method, path, query and body.
      caller_timeout: Time the caller still waits, or None where the route's deadline decides.
      forwarded: Whether another host passed the request on because this host owns its key.
    """

    method: str
    path: str
    host: str = ""
    caller: CallerName | None = None
    key: IdempotencyKey | None = None
    fingerprint: bytes = b""
    caller_timeout: timedelta | None = None
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """A target's complete answer."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer made by a host in place of a target's.

    Attributes:
      reason: Why there is no answer of a target.
      verdict: Whether the request, or an earlier one with the same key, may have run.
      attempt_verdict: Whether this very request may have run.
      retry_after: When to come back, or None where coming back is of no use.
      detail: A sentence for the person who reads it.
    """

    reason: RefusalReason
    verdict: Verdict
    attempt_verdict: Verdict
    retry_after: timedelta | None
    detail: str


@dataclass(frozen=True, slots=True)
class ConfigRef:
    """Names one accepted object set."""

    version: Version
    digest: Digest


NO_CONFIG = ConfigRef(Version(0), Digest(""))


@dataclass(frozen=True, slots=True)
class Member:
    """One host of the fleet as told in messages.

    `incarnation` names one process with its memory. `refutations` grows each time that process
    denies a rumour of its failure. `power` is the processor power it serves with, in cores.
    """

    host: HostId
    incarnation: Incarnation
    refutations: int
    status: MemberStatus
    failure_domain: FailureDomain
    caller_address: Address
    peer_address: Address
    operator_address: Address
    power: float = 1.0

    def precedence(self) -> tuple[int, int, int]:
        """Returns the rank by which one word on a host replaces another."""
        return (self.incarnation, self.refutations, self.status)

    @property
    def is_brief(self) -> bool:
        """Whether the addresses are left out, as in messages to hosts that know them."""
        return not self.peer_address

    def with_status(self, status: MemberStatus) -> "Member":
        """Returns the same member with another status."""
        return replace(self, status=status)


@dataclass(frozen=True, slots=True)
class EvidenceDelta:
    """Counts of one target's outcomes that one host saw since its last message.

    Attributes:
      service: Service that was called.
      target: Target that was called.
      good: Number of timely complete answers.
      bad: Number of failures and slow answers.
      leaving: Whether the target said that it is shutting down.
      running: Requests that the sender has in progress at the target.
      paused: Whether the sender has begun to avoid the target after a failure.
    """

    service: ServiceName
    target: TargetName
    good: int
    bad: int
    leaving: bool
    running: int = 0
    paused: bool = False


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """One target as it registered itself.

    Attributes:
      name: Unique id of the target; another process at the same address has another.
      slots: Requests it works on at a time.
      leaving: Whether it announced that it is shutting down.
      warm_up_left: How much longer it stays slow after its start.
      started_ms: Start of its process in Unix milliseconds; grows when it restarts under the same
        name.
    """

    name: TargetName
    service: ServiceName
    address: Address
    failure_domain: FailureDomain
    slots: int
    leaving: bool
    warm_up_left: timedelta
    started_ms: int


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """What a host that reads the store tells the others of it.

    Attributes:
      version: Version of the store up to which the sender knows the targets.
      since: Version after which `entries` and `gone` hold all changes; equal to `version` where
        there are none to tell, or too many.
      time_since_recovery: Time since the store answered the sender again after it had been away,
        or None.
      entries: Targets that are new or changed.
      gone: Targets whose entries vanished.
    """

    version: int
    since: int
    time_since_recovery: timedelta | None = None
    entries: tuple[TargetEntry, ...] = ()
    gone: tuple[TargetName, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """One datagram between two hosts.

    Attributes:
      kind: What the sender asks or tells.
      sender: The sender's own member record.
      sequence: Grows with each datagram of one sender incarnation.
      probe_number: Number that pairs an ACK with its PING.
      subject: Host that a PING_REQUEST asks about, or on whose behalf a PING or ACK travels.
      heard_subject: In an ACK, whether the sender heard the subject directly of late.
      config: Object set in force at the sender.
      members: News of other members.
      evidence: Outcomes seen by the sender.
      store_update: News of the store, from a host that reads it.
    """

    kind: MessageKind
    sender: Member
    sequence: int
    probe_number: int
    subject: HostId
    heard_subject: bool
    config: ConfigRef
    members: tuple[Member, ...] = ()
    evidence: tuple[EvidenceDelta, ...] = ()
    store_update: StoreUpdate | None = None


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """One entry of the platform's lagging list of live and leaving machines."""

    address: Address
    leaving: bool
    peer_address: Address = Address("")


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Requests that a target works on and that wait there, and how many it works on at a time."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One entry of a host's audit trail."""

    at: Instant
    kind: AuditKind
    subject: str
    cause: str
    service: ServiceName = ServiceName("")
    request: RequestId = RequestId("")


@dataclass(frozen=True, slots=True)
class TimestampedAuditEntry:
    """An audit entry with its date, as kept and shown."""

    date: datetime
    entry: AuditEntry


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """Who this host is, where it listens, and the processor power it serves with, in cores."""

    host: HostId
    incarnation: Incarnation
    failure_domain: FailureDomain
    caller_address: Address
    peer_address: Address
    operator_address: Address
    seeds: tuple[Address, ...] = field(default=())
    power: float = 1.0
