"""Events: everything that the shell reports to the reducer, as immutable values.

Each event carries the monotonic time at which the shell observed it.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import TypeAlias

from endivedrift.core._clock import Instant
from endivedrift.core._ids import Address, ClaimId, HostId, Incarnation, RequestId, TargetName
from endivedrift.core._records import (
    Answer,
    ConfigRef,
    ListedMachine,
    PeerMessage,
    ProcessId,
    Refusal,
    RequestHead,
    TargetEntry,
    TargetLoad,
)
from endivedrift.core._states import AttemptOutcome, ChangeSource, ClaimOutcome, ForwardOutcome


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request was read in full.

    `wall` is used for the expiry of keys. `waited` is how long ago its last bytes were read.
    """

    at: Instant
    wall: datetime
    request: RequestId
    head: RequestHead
    waited: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class QueueWaitExpired:
    """A queued request has waited for as long as it may."""

    at: Instant
    request: RequestId


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt at a target ended.

    `answer` is set only for the outcome ANSWERED. `leaving` tells whether the target stated that it
    is shutting down, `retry_after` for how long it wants no further request from this host.
    `target_ended` tells whether the target refused connections right after it had cut off the
    attempt, as a process does that has ended. `rate_limit` is the number of requests a second that
    the target takes from all hosts together, as its answer states: NO_RATE_LIMIT if it states none,
    None if nothing is known, since there was no answer or its statement could not be read.
    `new_connection` tells whether a connection was opened for the attempt, `is_hedge` whether it is
    a hedge. `started_ms` is the start of the process that got the attempt, in Unix milliseconds, or
    0 if it is not known.
    """

    at: Instant
    request: RequestId
    target: TargetName
    outcome: AttemptOutcome
    latency: timedelta
    answer: Answer | None = None
    leaving: bool = False
    load: TargetLoad | None = None
    retry_after: timedelta | None = None
    target_ended: bool = False
    rate_limit: float | None = None
    new_connection: bool = False
    is_hedge: bool = False
    started_ms: int = 0

    @property
    def states_leaving(self) -> bool:
        """Whether the target stated that it is shutting down."""
        return self.leaving or self.outcome is AttemptOutcome.DRAINING


@dataclass(frozen=True, slots=True)
class AttemptLate:
    """An attempt has used its share of the request's time and has no answer yet."""

    at: Instant
    request: RequestId
    target: TargetName


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """A first attempt has taken so long without an answer that a hedge may help."""

    at: Instant
    request: RequestId
    target: TargetName


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before it received an answer."""

    at: Instant
    request: RequestId


@dataclass(frozen=True, slots=True)
class KeyClaimSettled:
    """An attempt to claim a key ended; the owner fields are set only for the outcome TAKEN."""

    at: Instant
    request: RequestId
    outcome: ClaimOutcome
    owner: HostId = HostId("")
    owner_incarnation: Incarnation = Incarnation(0)
    claim: ClaimId = ClaimId("")


@dataclass(frozen=True, slots=True)
class ForwardFinished:
    """The host to which a request was forwarded answered, refused it, or did not reply.

    `connected` is False if the request certainly did not reach that host. `leaving` are the
    processes that stated on the attempts of that host that they are shutting down.
    """

    at: Instant
    request: RequestId
    outcome: ForwardOutcome
    answer: Answer | None = None
    refusal: Refusal | None = None
    connected: bool = True
    leaving: tuple[ProcessId, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigHeadObserved:
    """The table service returned the version and digest of the accepted object set."""

    at: Instant
    config: ConfigRef


@dataclass(frozen=True, slots=True)
class ConfigFetched:
    """The bytes of an object set were read and match their digest."""

    at: Instant
    config: ConfigRef
    canonical: bytes


@dataclass(frozen=True, slots=True)
class ConfigFetchFailed:
    """No source returned the bytes of an object set."""

    at: Instant
    config: ConfigRef


@dataclass(frozen=True, slots=True)
class MachineListRead:
    """The platform's list of machines was read."""

    at: Instant
    machines: tuple[ListedMachine, ...]


@dataclass(frozen=True, slots=True)
class TargetsObserved:
    """Targets registered, changed, or were removed from the store.

    If `complete` is set, `entries` holds all registered targets. The event covers the changes in
    the store after version `since` and up to `version`; both are 0 if the store has no versions.
    `source` tells how they were learned, and `sender` from which host, if from one.
    """

    at: Instant
    entries: tuple[TargetEntry, ...]
    gone: tuple[TargetName, ...] = ()
    complete: bool = False
    version: int = 0
    since: int = 0
    source: ChangeSource = ChangeSource.READ
    sender: HostId = HostId("")


@dataclass(frozen=True, slots=True)
class PeerTargetsReceived:
    """Another host replied with the targets that it knows, as of a version of the store.

    A reply without a version is used only while no complete list from the store is known.
    """

    at: Instant
    entries: tuple[TargetEntry, ...]
    version: int = 0


@dataclass(frozen=True, slots=True)
class SeedsRead:
    """The configured peer addresses, from which other hosts are discovered, were read."""

    at: Instant
    addresses: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not answer a question of this host."""

    at: Instant
    cause: str


@dataclass(frozen=True, slots=True)
class StoreAnswered:
    """The store answered a question of this host; the changes in its answers have been applied.

    The tables are known up to these versions of the store, and with them all that it had accepted
    by `asked_at`.
    """

    at: Instant
    asked_at: Instant
    targets_version: int = 0
    config_version: int = 0


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A datagram from another host was received and authenticated."""

    at: Instant
    source: Address
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class Ticked:
    """The periodic timer expired, `late` after it was due."""

    at: Instant
    wall: datetime
    late: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class StopRequested:
    """An operator or the platform requested that the process stop.

    `serves_until` is when requests that are still in progress are cut off, or None for no limit.
    """

    at: Instant
    serves_until: Instant | None = None


Event: TypeAlias = (
    RequestArrived
    | QueueWaitExpired
    | AttemptFinished
    | AttemptLate
    | HedgeDue
    | CallerDisconnected
    | KeyClaimSettled
    | ForwardFinished
    | ConfigHeadObserved
    | ConfigFetched
    | ConfigFetchFailed
    | MachineListRead
    | TargetsObserved
    | PeerTargetsReceived
    | SeedsRead
    | StoreUnavailable
    | StoreAnswered
    | PeerMessageReceived
    | Ticked
    | StopRequested
)
