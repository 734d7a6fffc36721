"""Everything that can happen to a host, as immutable values.

Each event carries the monotonic time at which the shell saw it.
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
    Refusal,
    RequestHead,
    TargetEntry,
    TargetLoad,
)
from endivedrift.core._states import AttemptOutcome, ClaimOutcome, ForwardOutcome


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request was read in full; `wall` dates it for the expiry of minted keys."""

    at: Instant
    wall: datetime
    request: RequestId
    head: RequestHead


@dataclass(frozen=True, slots=True)
class QueueWaitExpired:
    """A queued request reached the end of its wait."""

    at: Instant
    request: RequestId


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt at a target ended; `answer` is set for the outcome ANSWERED only."""

    at: Instant
    request: RequestId
    target: TargetName
    outcome: AttemptOutcome
    latency: timedelta
    answer: Answer | None = None
    leaving: bool = False
    load: TargetLoad | None = None


@dataclass(frozen=True, slots=True)
class AttemptLate:
    """An attempt has taken its share of the request's time and has no answer yet."""

    at: Instant
    request: RequestId
    target: TargetName


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before it had an answer."""

    at: Instant
    request: RequestId


@dataclass(frozen=True, slots=True)
class KeyClaimSettled:
    """The table service settled who owns a key; owner fields are set for TAKEN only."""

    at: Instant
    request: RequestId
    outcome: ClaimOutcome
    owner: HostId = HostId("")
    owner_incarnation: Incarnation = Incarnation(0)
    claim: ClaimId = ClaimId("")


@dataclass(frozen=True, slots=True)
class ForwardFinished:
    """The owner of a key answered, refused, or was lost."""

    at: Instant
    request: RequestId
    outcome: ForwardOutcome
    answer: Answer | None = None
    refusal: Refusal | None = None
    connected: bool = True


@dataclass(frozen=True, slots=True)
class ConfigHeadObserved:
    """The table service named the accepted object set."""

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
    """No source had the bytes of an object set."""

    at: Instant
    config: ConfigRef


@dataclass(frozen=True, slots=True)
class MachineListRead:
    """The platform's list of machines was read."""

    at: Instant
    machines: tuple[ListedMachine, ...]


@dataclass(frozen=True, slots=True)
class TargetsObserved:
    """Targets registered, changed or vanished; `complete` where `entries` are all there are.

    `version` is the store's up to which targets are known by it, and `since` the one after which
    these changes came; both are 0 where the store counts none.
    """

    at: Instant
    entries: tuple[TargetEntry, ...]
    gone: tuple[TargetName, ...] = ()
    complete: bool = False
    version: int = 0
    since: int = 0


@dataclass(frozen=True, slots=True)
class PeerTargetsReceived:
    """Another host told which targets it knows, and up to which version of the store.

    The store's own word goes before one without a version.
    """

    at: Instant
    entries: tuple[TargetEntry, ...]
    version: int = 0


@dataclass(frozen=True, slots=True)
class SeedsRead:
    """The settings name these peer addresses to ask for other hosts."""

    at: Instant
    addresses: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store in which targets register stopped answering this host."""

    at: Instant
    cause: str


@dataclass(frozen=True, slots=True)
class StoreRecovered:
    """The store in which targets register answers this host again."""

    at: Instant


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A datagram of another host passed its authentication."""

    at: Instant
    source: Address
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class Ticked:
    """The periodic timer fired."""

    at: Instant
    wall: datetime


@dataclass(frozen=True, slots=True)
class StopRequested:
    """An operator or the platform asked the process to stop."""

    at: Instant


Event: TypeAlias = (
    RequestArrived
    | QueueWaitExpired
    | AttemptFinished
    | AttemptLate
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
    | StoreRecovered
    | PeerMessageReceived
    | Ticked
    | StopRequested
)
