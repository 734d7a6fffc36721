"""The immutable records of which events, effects and peer messages are composed."""

import math
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import TypeAlias

from endivedrift.core._clock import Instant
from endivedrift.core._ids import (
    AccountKeyDigest,
    Address,
    CallerName,
    Digest,
    FailureDomain,
    HostId,
    IdempotencyKey,
    Incarnation,
    RequestDigest,
    RequestId,
    ServiceName,
    TargetName,
    Version,
)
from endivedrift.core._states import AuditKind, MemberStatus, MessageKind, RefusalReason
from endivedrift.core._verdicts import Verdict

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]
"""Pairs of lower-case header name and value, in the order in which they were received."""

NO_DIGEST = RequestDigest(b"")
ANY_VERSION = Version(0)
"""Stands for whatever version of the object set is in force."""
NO_RATE_LIMIT = math.inf
"""Requests a second that a target takes which states no limit."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The properties of a request on which routing and admission depend.

    Attributes:
      method: HTTP method in upper case.
      path: Path without the query.
      host: Name in the Host header in lower case and without a port, or the empty string.
      caller: Account that the request names or that holds its key, or None.
      account_key: Digest of the account key that the request carries, or None.
      key: Idempotency key that the request carries, or None.
      fingerprint: Digest of caller, method, path, query and body.
      caller_timeout: Time for which the caller still waits, or None if it set no limit, so that
        only the route's deadline applies.
      forwarded: Whether another host forwarded the request because this host owns its key.
      for_peer: Whether another host forwarded the request because it reaches no target, or has no
        retry left.
      earlier_attempts: Attempts at targets that such a host has made.
      config_version: Version of the object set by which such a host wants it served, or 0 for any.
      takes_retry: Whether it is a retry that this host takes from its own budget.
      digest: Digest of host name, caller, method, path, query and body, by which a request is
        recognised when it comes again. Empty if it is not known.
      body_bytes: Size of the body.
    """

    method: str
    path: str
    host: str = ""
    caller: CallerName | None = None
    account_key: AccountKeyDigest | None = None
    key: IdempotencyKey | None = None
    fingerprint: bytes = b""
    caller_timeout: timedelta | None = None
    forwarded: bool = False
    for_peer: bool = False
    earlier_attempts: int = 0
    config_version: Version = ANY_VERSION
    takes_retry: bool = False
    digest: RequestDigest = NO_DIGEST
    body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete response of a target."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error response that a host generates when it has no answer from a target.

    Attributes:
      reason: Why there is no answer from a target.
      verdict: Whether this request, or an earlier one with the same key, may have run.
      attempt_verdict: Whether this request itself may have run.
      retry_after: Time after which the caller may retry, or None if a retry cannot succeed.
      detail: A sentence that explains the refusal to a person.
    """

    reason: RefusalReason
    verdict: Verdict
    attempt_verdict: Verdict
    retry_after: timedelta | None
    detail: str


@dataclass(frozen=True, slots=True)
class ConfigRef:
    """Identifies an accepted object set by version and digest."""

    version: Version
    digest: Digest


NO_CONFIG = ConfigRef(Version(0), Digest(""))


@dataclass(frozen=True, slots=True)
class Member:
    """The membership record of one host, as hosts exchange it.

    `incarnation` identifies one run of the host's process and the state it holds in memory.
    `refutations` counts how often that process has refuted a report of its own failure or announced
    that it leaves. `power` is the processor capacity that the host can use, in cores.
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
        """Returns a sort key: of two reports on a host, the one with the greater key is newer."""
        return (self.incarnation, self.refutations, self.status)

    @property
    def omits_addresses(self) -> bool:
        """Whether the addresses are omitted, as in messages to hosts that already know them."""
        return not self.peer_address

    def with_status(self, status: MemberStatus) -> "Member":
        """Returns a copy of the record with another status."""
        return replace(self, status=status)


@dataclass(frozen=True, slots=True)
class EvidenceDelta:
    """Counts of the outcomes at one target that the sender has seen since its last message.

    Attributes:
      service: Service that was called.
      target: Target that was called.
      good: Number of answers that were neither slow nor server errors.
      bad: Number of failures, server errors and slow answers.
      leaving: Whether the target announced that it is shutting down.
      running: Number of requests that the sender has in progress at the target.
      paused: Whether the sender has paused the target after a failure.
      leaving_started_ms: Start of the process that is shutting down, in Unix milliseconds, or 0 if
        none is or its start is not known.
    """

    service: ServiceName
    target: TargetName
    good: int
    bad: int
    leaving: bool
    running: int = 0
    paused: bool = False
    leaving_started_ms: int = 0


MAX_SLOTS = 1_000_000
"""Most slots that a target may register."""


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """The registration of one target.

    Attributes:
      name: Unique id of the target; another process at the same address has another id.
      slots: Number of requests that the target processes concurrently.
      leaving: Whether the target announced that it is shutting down.
      warm_up_left: Time for which the target is still slow after its start.
      started_ms: Start of the target's process in Unix milliseconds; greater after a restart under
        the same name.
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
class ProcessId:
    """Identifies one process of a target.

    Attributes:
      name: The target.
      started_ms: Start of the process in Unix milliseconds, or 0 if it does not state it.
      address: Its address if it does not state its start, or else the empty string.
    """

    name: TargetName
    started_ms: int
    address: Address = Address("")


def identify_process(entry: TargetEntry) -> ProcessId:
    """Returns the id of the process that a registration is of."""
    address = Address("") if entry.started_ms else entry.address
    return ProcessId(entry.name, entry.started_ms, address)


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """An answer of the store to a question of some host, which asked for all changes.

    Attributes:
      age: Time since the question was asked. All that the store had accepted by then is known to
        the sender.
      source: The host that was answered.
      number: Number of the answer among those to that host.
      targets_version: Version of the store up to which the answer covers the targets.
      config_version: The same for the configuration.
    """

    age: timedelta
    source: HostId
    number: int
    targets_version: int
    config_version: int


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """A report on the store, sent to other hosts by a host that reads it.

    Attributes:
      version: Version of the store up to which the sender knows the targets.
      since: `entries` and `gone` hold all changes after this version. Equal to `version` if there
        are no changes, or too many for one message.
      answering_for: Time since the store began to answer some host or other without a longer
        pause, or None if the sender knows of no answer.
      answered_age: Time since the latest answer to any host that the sender knows of, or None.
      entries: Targets that were added or changed.
      gone: Targets whose entries were removed.
      answer: The latest answer of the store that the sender knows of, or None.
      is_question: Whether the sender wants to be told of a later answer.
    """

    version: int
    since: int
    answering_for: timedelta | None = None
    answered_age: timedelta | None = None
    entries: tuple[TargetEntry, ...] = ()
    gone: tuple[TargetName, ...] = ()
    answer: StoreAnswer | None = None
    is_question: bool = False


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """The end of a target process while it worked on some request.

    Attributes:
      target: The target.
      started_ms: Start of the process in Unix milliseconds, or 0 if it is not known.
      age: Time since the end.
    """

    target: TargetName
    started_ms: int
    age: timedelta


@dataclass(frozen=True, slots=True)
class SuspectReport:
    """What a host knows of a request that was in progress at a target that ended.

    Attributes:
      digest: Digest of the request.
      ends: The ended targets.
      answer_age: Time since a target last answered the request, or None if none is known to have.
    """

    digest: RequestDigest
    ends: tuple[TargetEnd, ...]
    answer_age: timedelta | None = None


@dataclass(frozen=True, slots=True)
class RateLimitReport:
    """What a host knows of the limit that a target states.

    Attributes:
      service: Service of the target.
      target: The target.
      started_ms: Start of its process in Unix milliseconds, or 0 if it is not known.
      requests_per_s: What it takes from all hosts together; NO_RATE_LIMIT if it has withdrawn an
        earlier limit.
      age: Time since the latest answer that is known to state this.
      demand_per_s: Requests a second that arrive at the sender for the service.
    """

    service: ServiceName
    target: TargetName
    started_ms: int
    requests_per_s: float
    age: timedelta
    demand_per_s: float


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """What a host has admitted of a caller account, sent to the keepers of the account.

    Attributes:
      account: The account.
      epoch: Distinguishes the sender's present counts from earlier ones of the same process.
      admitted: Requests admitted in this epoch, without those whose tokens were returned.
      recent: Change of `admitted` that a keeper without an earlier report may not know of.
      arrived: Requests that arrived in this epoch.
      part: Part of the account's rate that the sender uses, up to 1.
      tokens: Tokens of the account as the sender knows it, or None if no keeper has told it. A host
        that has become a keeper begins with them.
    """

    account: CallerName
    epoch: int
    admitted: int
    recent: int
    arrived: int
    part: float
    tokens: float | None = None


@dataclass(frozen=True, slots=True)
class QuotaStatus:
    """The tokens of a caller account, sent by a keeper in reply to a report or to all hosts.

    Attributes:
      account: The account.
      epoch, admitted: As in the latest report of the receiver; both 0 in a status for all hosts.
      tokens: Tokens of the account, after what all hosts have reported; negative if it has a debt.
      demand: Requests that arrived at other hosts within the time that a report takes.
      requests_per_s: Rate at which requests arrive at other hosts.
      certain: Whether the sender has counted for long enough to know of all earlier requests.
    """

    account: CallerName
    epoch: int
    admitted: int
    tokens: float
    demand: float
    requests_per_s: float
    certain: bool


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """One datagram between two hosts.

    Attributes:
      kind: Kind of the message.
      sender: The sender's own member record.
      sequence: Sequence number, which increases with each datagram of one sender incarnation.
      probe_number: Number that an ACK copies from its PING.
      subject: In a PING_REQUEST, the host to probe. In a PING, the host on whose behalf it is sent,
        or its receiver if the probe is direct. In an ACK, the subject of the PING, or the probed
        host if the ACK is forwarded.
      heard_subject: In an ACK, whether the sender recently received a datagram from the subject. In
        a forwarded ACK, whether the probed host recently received one from the requester.
      config: Object set in force at the sender.
      members: Membership updates on other hosts.
      evidence: Outcomes that the sender has seen at targets.
      store_update: Report on the store, from a host that reads it.
      suspects: Reports on requests during which targets ended.
      rate_limits: Reports on limits that targets state.
      quotas: What the sender has admitted of caller accounts that the receiver keeps.
      quota_statuses: Tokens of caller accounts that the sender keeps.
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
    suspects: tuple[SuspectReport, ...] = ()
    rate_limits: tuple[RateLimitReport, ...] = ()
    quotas: tuple[QuotaReport, ...] = ()
    quota_statuses: tuple[QuotaStatus, ...] = ()


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """One entry of the platform's list of live and leaving machines, which may be out of date."""

    address: Address
    leaving: bool
    peer_address: Address = Address("")


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """A target's load: requests it processes, requests it queues, and its concurrency limit."""

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
    """An audit entry with its wall-clock time, as it is stored and shown to operators."""

    date: datetime
    entry: AuditEntry


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """This host's identity, addresses, and the processor capacity that it can use, in cores."""

    host: HostId
    incarnation: Incarnation
    failure_domain: FailureDomain
    caller_address: Address
    peer_address: Address
    operator_address: Address
    seeds: tuple[Address, ...] = field(default=())
    power: float = 1.0
