"""The membership view of one host: what it knows of the others."""

from dataclasses import dataclass, field
from random import Random

from endivedrift.core import (
    NO_CONFIG,
    Address,
    ConfigRef,
    HostId,
    HostIdentity,
    Incarnation,
    Instant,
    Member,
    MemberStatus,
)

_USABLE = frozenset({MemberStatus.ALIVE, MemberStatus.SUSPECT})


@dataclass(slots=True)
class MemberRecord:
    """What this host knows of another.

    Attributes:
      member: The latest word on it.
      since: When its status changed last.
      last_heard: When a datagram of its own last arrived, or None.
      hears_us: Whether it told through another host that it hears this one; None if unknown.
      sequence: Sequence number of its last datagram.
    """

    member: Member
    since: Instant
    last_heard: Instant | None = None
    hears_us: bool | None = None
    sequence: int = 0


@dataclass(slots=True)
class Probe:
    """A PING without an answer so far; a watched host is suspected sooner without one."""

    host: HostId
    sent: Instant
    indirect: bool = False
    watched: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """A PING sent on behalf of another host, and where its answer goes."""

    requester: Address
    subject: HostId
    probe: int
    sent: Instant


@dataclass(slots=True)
class Membership:
    """The membership view of one host.

    Attributes:
      me: This host's own record.
      own_incarnations: All incarnations this process has used.
      config: Object set in force, told with each datagram.
      records: The other hosts.
      version: Grows with each change of the set of usable hosts.
      remaining_transmissions: Remaining times that the word on a host is passed on.
    """

    me: Member
    own_incarnations: set[Incarnation]
    seeds: tuple[Address, ...]
    random: Random
    config: ConfigRef = NO_CONFIG
    records: dict[HostId, MemberRecord] = field(default_factory=dict)
    version: int = 0
    remaining_transmissions: dict[HostId, int] = field(default_factory=dict)
    order: list[HostId] = field(default_factory=list)
    probes: dict[int, Probe] = field(default_factory=dict)
    relays: dict[int, Relay] = field(default_factory=dict)
    sequence: int = 0
    probe_count: int = 0
    next_probe: Instant = Instant(0)
    next_watch: Instant = Instant(0)
    next_sync: Instant = Instant(0)
    next_revival: Instant = Instant(0)


def build_membership(identity: HostIdentity, random: Random) -> Membership:
    """Builds the view of a host that knows no other."""
    me = Member(
        host=identity.host,
        incarnation=identity.incarnation,
        refutations=0,
        status=MemberStatus.STARTING,
        failure_domain=identity.failure_domain,
        caller_address=identity.caller_address,
        peer_address=identity.peer_address,
        operator_address=identity.operator_address,
        power=identity.power,
    )
    return Membership(me, {identity.incarnation}, identity.seeds, random)


def list_usable(view: Membership) -> list[Member]:
    """Lists the hosts that callers may be sent to, this one included while it is not leaving."""
    usable = [r.member for r in view.records.values() if r.member.status in _USABLE]
    if view.me.status is MemberStatus.ALIVE:
        usable.append(view.me)
    return usable


def find_member(view: Membership, host: HostId) -> Member | None:
    """Finds the latest word on a host, this one included."""
    if host == view.me.host:
        return view.me
    record = view.records.get(host)
    return record.member if record is not None else None


def replace_seeds(view: Membership, addresses: tuple[Address, ...]) -> None:
    """Replaces the addresses asked for members by those the platform lists."""
    if addresses:
        view.seeds = addresses
