"""The membership view of one host: its records of the other hosts and its pending probes."""

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
    """This host's record of another host.

    Attributes:
      member: The newest report on the other host.
      status_since: Time of its last change of status.
      last_heard: Time at which the last datagram sent by the other host arrived, or None.
      hears_us: Whether the other host receives datagrams of this one: True after a direct ACK, else
        as stated by the last forwarded ACK. None if unknown.
      sequence: Sequence number of its last datagram.
    """

    member: Member
    status_since: Instant
    last_heard: Instant | None = None
    hears_us: bool | None = None
    sequence: int = 0


@dataclass(slots=True)
class Probe:
    """A probe of this host that has no answer yet.

    Attributes:
      host: The probed host.
      sent_at: Time at which the PING was sent.
      is_indirect: Whether other hosts have been asked to probe too.
      is_watched: Whether the host is suspected after the shorter timeout of watched hosts.
    """

    host: HostId
    sent_at: Instant
    is_indirect: bool = False
    is_watched: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """A PING sent on behalf of another host, to which the ACK is forwarded.

    Attributes:
      requester: Peer address of the other host.
      subject: The probed host.
      requester_probe_number: Number of the other host's own probe.
      sent_at: Time at which the PING was sent.
    """

    requester: Address
    subject: HostId
    requester_probe_number: int
    sent_at: Instant


@dataclass(slots=True)
class Membership:
    """The membership view of one host.

    Attributes:
      me: This host's own record.
      own_incarnations: All incarnations that this process has used.
      seeds: Peer addresses from which other hosts are discovered.
      random: Source of random numbers.
      config: Object set in force, which is announced in datagrams.
      records: Records of the other hosts.
      version: Incremented when a host joins or changes its status or incarnation, so that results
        computed from the usable hosts can be cached.
      remaining_transmissions: Number of datagrams in which the newest report on a host is still to
        be included, by host.
      probe_order: Hosts that are still to be probed in the present round.
      probes: Pending probes by number.
      relays: Pending probes on behalf of other hosts by number.
      sequence: Sequence number of the last datagram sent.
      last_probe_number: Number of the last probe sent, direct or on behalf of another host.
      next_probe: Time at which the next host is probed.
      next_watch: Time at which the watched hosts are probed next.
      next_sync: Time at which the full membership is next requested from another host.
      next_reconnect: Time of the next attempt to reach a dead host and an unknown seed.
    """

    me: Member
    own_incarnations: set[Incarnation]
    seeds: tuple[Address, ...]
    random: Random
    config: ConfigRef = NO_CONFIG
    records: dict[HostId, MemberRecord] = field(default_factory=dict)
    version: int = 0
    remaining_transmissions: dict[HostId, int] = field(default_factory=dict)
    probe_order: list[HostId] = field(default_factory=list)
    probes: dict[int, Probe] = field(default_factory=dict)
    relays: dict[int, Relay] = field(default_factory=dict)
    sequence: int = 0
    last_probe_number: int = 0
    next_probe: Instant = Instant(0)
    next_watch: Instant = Instant(0)
    next_sync: Instant = Instant(0)
    next_reconnect: Instant = Instant(0)


def build_membership(identity: HostIdentity, random: Random) -> Membership:
    """Builds the view of a host that knows no other host."""
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


def list_reachable(view: Membership) -> list[Member]:
    """Lists the other hosts that are not known to be dead."""
    members = (record.member for record in view.records.values())
    return [member for member in members if member.status < MemberStatus.DEAD]


def list_usable(view: Membership) -> list[Member]:
    """Lists the hosts that callers may be sent to, including this one while it is ALIVE."""
    usable = [r.member for r in view.records.values() if r.member.status in _USABLE]
    if view.me.status is MemberStatus.ALIVE:
        usable.append(view.me)
    return usable


def find_member(view: Membership, host: HostId) -> Member | None:
    """Returns the newest report on a host, which may be this one, or None if it is unknown."""
    if host == view.me.host:
        return view.me
    record = view.records.get(host)
    return record.member if record is not None else None


def replace_seeds(view: Membership, addresses: tuple[Address, ...]) -> None:
    """Replaces the seed addresses, unless the new list is empty."""
    if addresses:
        view.seeds = addresses
