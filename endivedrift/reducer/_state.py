"""The whole state of one host's decisions."""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random

from endivedrift.core import (
    NO_CONFIG,
    Answer,
    CallerName,
    ConfigRef,
    FailureDomain,
    HostId,
    HostIdentity,
    HostPhase,
    IdempotencyKey,
    Instant,
    ListedMachine,
    Member,
    RequestHead,
    RequestId,
    RouteName,
    ServiceName,
    TargetEntry,
    TargetName,
)
from endivedrift.fleet import (
    Membership,
    NamedRoute,
    RouteTable,
    build_membership,
    list_usable,
    rank_hosts,
)
from endivedrift.objects import ObjectSet
from endivedrift.policy import KeyTable, ServiceState, TokenBucket

MAX_CALLER_BUCKETS = 4_096
READERS_GROUP = "store readers"
READERS_PER_DOMAIN = 2
"""Hosts of a failure domain that read the store: two, so that the loss of one at the moment of a
change delays nothing."""
POWER_STEP = 0.25
"""Step in cores in which the power that a group of services needs is counted, so that a few targets
that come or go change no host's part."""


@dataclass(slots=True)
class RequestState:
    """One request that has no final answer yet.

    Attributes:
      head: The request.
      route: Its route.
      arrived: When it came.
      deadline: Time at which it is given up.
      attempts: Attempts made at targets.
      tried: Targets of these attempts.
      target: Target of the attempt in progress, or None.
      may_have_run: Whether any attempt may have run.
      key: Key whose record this request holds, or None.
      share: Service that the request was dealt to where its route is split, or None.
      unconnected: Targets to which no connection could be opened.
      failure: A target's own failure, which is delivered where no other attempt succeeds.
    """

    head: RequestHead
    route: NamedRoute
    arrived: Instant
    deadline: Instant
    attempts: int = 0
    tried: frozenset[TargetName] = frozenset()
    target: TargetName | None = None
    may_have_run: bool = False
    key: IdempotencyKey | None = None
    share: ServiceName | None = None
    unconnected: int = 0
    failure: Answer | None = None

    @property
    def service(self) -> ServiceName:
        """Name of the service that the request is for."""
        return self.share or ServiceName(self.route.route.service)


@dataclass(frozen=True, slots=True)
class RankedHosts:
    """Hosts of a service, valid for one version of the membership and of the object set.

    `primaries` of them, the first ones, share the service in normal operation; `share` is the
    number of requests this host may have in progress at one target, `named` whether this host is
    one that callers are sent to.
    """

    members: tuple[Member, ...]
    primaries: int
    share: int
    named: bool
    membership: int
    config: ConfigRef


@dataclass(slots=True)
class HostState:
    """Everything the reducer decides by.

    Attributes:
      phase: Life of the process.
      config: Object set in force.
      newest_config: Greatest object set that is known to be accepted.
      head_seen: Whether the table service has named an accepted object set.
      started: Time of the first tick, or None before it.
      fetching: Object set that is being fetched, or None.
      active_services: Services whose targets or queues need the periodic timer.
      machines: The platform's latest list of machines by target address.
      ranking_cache: Cache of the ranked hosts of each service.
      power: Processor power in cores that the hosts of each group of services need.
      discovered: Targets that registered themselves, by name.
      missing: When targets whose entries vanished count as gone, by name.
      store_unavailable: Whether the store in which targets register does not answer.
      targets_seen: Whether the store has named the targets at least once.
      next_ask: When other hosts are next asked for targets.
      store_is_relayed: Whether few hosts read the store and tell the others.
      reads_store: Whether this host follows the store's changes itself.
      targets_version: Version of the store up to which targets are known, or 0.
      update_heard: When a host that reads the store last told no more than is known here.
      next_update: When this host next tells others of the store, if it reads it.
      readers: Hosts that read the store, for one version of the membership.
      store_recovered_at: When it answered again after it had been lost, or None.
      urgent: Targets with news of attempts that other hosts are told at once, by service.
      dealt: Requests dealt to each service of each split route.
    """

    identity: HostIdentity
    random: Random
    keys: KeyTable
    membership: Membership
    phase: HostPhase = HostPhase.STARTING
    config: ConfigRef = NO_CONFIG
    newest_config: ConfigRef = NO_CONFIG
    head_seen: bool = False
    started: Instant | None = None
    fetching: ConfigRef | None = None
    next_fetch: Instant = Instant(0)
    objects: ObjectSet = field(default_factory=ObjectSet)
    routes: RouteTable = field(default_factory=RouteTable)
    services: dict[ServiceName, ServiceState] = field(default_factory=dict)
    active_services: set[ServiceName] = field(default_factory=set)
    requests: dict[RequestId, RequestState] = field(default_factory=dict)
    callers: OrderedDict[CallerName, TokenBucket] = field(default_factory=OrderedDict)
    machines: tuple[ListedMachine, ...] = ()
    ranking_cache: dict[ServiceName, RankedHosts] = field(default_factory=dict)
    power: dict[str, float] = field(default_factory=dict)
    discovered: dict[TargetName, TargetEntry] = field(default_factory=dict)
    missing: dict[TargetName, Instant] = field(default_factory=dict)
    store_unavailable: bool = False
    targets_seen: bool = False
    next_ask: Instant = Instant(0)
    store_recovered_at: Instant | None = None
    store_is_relayed: bool = False
    reads_store: bool = True
    targets_version: int = 0
    update_heard: Instant | None = None
    next_update: Instant = Instant(0)
    readers: tuple[int, tuple[Member, ...]] = (-1, ())
    urgent: dict[ServiceName, set[TargetName]] = field(default_factory=dict)
    dealt: dict[RouteName, dict[ServiceName, float]] = field(default_factory=dict)
    next_evidence: Instant = Instant(0)
    next_cleaning: Instant = Instant(0)


def build_host(
    identity: HostIdentity, secret: bytes, seed: int, store_is_relayed: bool = False
) -> HostState:
    """Builds the state of a host that has just started.

    Args:
      identity: Who the host is.
      secret: Key of the fleet.
      seed: Seed of the source of randomness.
      store_is_relayed: Whether few hosts read the store and tell the others.
    Returns:
      A state with no object set and no other host known.
    """
    random = Random(seed)
    view = build_membership(identity, random)
    return HostState(identity, random, KeyTable(secret), view, store_is_relayed=store_is_relayed)


def rank_service_hosts(state: HostState, name: ServiceName) -> tuple[Member, ...]:
    """Returns the hosts that callers of a service are told, best first."""
    return _rank(state, name).members


def list_primaries(state: HostState, name: ServiceName) -> tuple[Member, ...]:
    """Returns the hosts that share a service in normal operation."""
    ranked = _rank(state, name)
    return ranked.members[: ranked.primaries]


def list_entry_hosts(
    state: HostState, name: ServiceName, domain: FailureDomain
) -> tuple[Member, ...]:
    """Returns the hosts of a service for callers of a failure domain: those in it, if any."""
    primaries = list_primaries(state, name)
    near = tuple(member for member in primaries if member.failure_domain == domain)
    return near or primaries


def resolve_entry_hosts(state: HostState, host: str, domain: FailureDomain) -> tuple[Member, ...]:
    """Returns the hosts for callers of a failure domain whose requests name `host`.

    A name that no route knows gets the hosts of any service, which refuse its requests truly.
    """
    service = state.routes.services.get(host)
    if service is None and state.services:
        service = min(state.services)
    return list_entry_hosts(state, service, domain) if service is not None else ()


def list_watched(state: HostState) -> list[HostId]:
    """Returns the other hosts that this one names to callers of its own failure domain."""
    domain = state.identity.failure_domain
    named = {
        member.host
        for name in state.services
        if state.services[name].service.share_at_once
        for member in list_entry_hosts(state, name, domain)
        if member.failure_domain == domain
    }
    return sorted(named - {state.identity.host})


def list_readers(state: HostState) -> tuple[Member, ...]:
    """Returns the hosts that read the store for the others: a few of each failure domain."""
    version, readers = state.readers
    if version != state.membership.version:
        usable = list_usable(state.membership)
        domains = len({member.failure_domain for member in usable})
        ranking = rank_hosts(READERS_GROUP, usable, READERS_PER_DOMAIN * domains)
        readers = tuple(ranking.hosts[: ranking.primary_count])
        state.readers = (state.membership.version, readers)
    return readers


def share_slots(state: HostState, name: ServiceName) -> int:
    """Returns the requests that this host may have in progress at one target of a service."""
    return _rank(state, name).share


def is_named(state: HostState, name: ServiceName) -> bool:
    """Tells whether callers of a service are sent to this host in normal operation."""
    return _rank(state, name).named


def _rank(state: HostState, name: ServiceName) -> RankedHosts:
    cached = state.ranking_cache.get(name)
    version = state.membership.version
    if cached is not None and cached.membership == version and cached.config == state.config:
        return cached
    service = state.services[name]
    group = state.routes.ranking_groups.get(name, name)
    usable = list_usable(state.membership)
    power = state.power.get(group, 0.0)
    ranking = rank_hosts(group, usable, service.service.entry_hosts, power)
    primaries = ranking.hosts[: ranking.primary_count]
    named = any(member.host == state.identity.host for member in primaries)
    share = max(1, service.group.slots // len(primaries)) if named else 1
    ranked = RankedHosts(
        tuple(ranking.hosts), ranking.primary_count, share, named, version, state.config
    )
    state.ranking_cache[name] = ranked
    return ranked


def measure_power(state: HostState) -> None:
    """Works out the power that the hosts of each group of services need for its targets' slots.

    Must be called now and then; the ranked hosts follow where the power changed.
    """
    needed: dict[str, float] = {}
    for name, service in state.services.items():
        if service.service.slots_per_core:
            group = state.routes.ranking_groups.get(name, name)
            cores = service.count_slots() / service.service.slots_per_core
            needed[group] = needed.get(group, 0.0) + cores
    stepped = {group: math.ceil(c / POWER_STEP) * POWER_STEP for group, c in needed.items()}
    if stepped != state.power:
        state.power = stepped
        state.ranking_cache.clear()
