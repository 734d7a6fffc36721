"""The state that the reducer of one host works on, and the host rankings derived from it.

The rankings are cached until the membership, the object set or the required power changes.
"""

import math
from dataclasses import dataclass, field
from datetime import timedelta
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
    Importance,
    Instant,
    ListedMachine,
    Member,
    RefusalReason,
    RequestDigest,
    RequestHead,
    RequestId,
    RouteName,
    ServiceName,
    TargetEntry,
    TargetName,
    Version,
)
from endivedrift.fleet import (
    Membership,
    NamedRoute,
    RouteTable,
    build_membership,
    list_first_of_domains,
    list_reachable,
    list_usable,
    order_across_domains,
    rank_hosts,
    sample_alive,
)
from endivedrift.objects import Caller, ObjectSet
from endivedrift.policy import (
    AccountUse,
    KeptAccount,
    KeyTable,
    Overload,
    PathState,
    ProcessTable,
    Quarantine,
    ServiceState,
)

CHANGE_LIMIT = timedelta(seconds=2)
"""Default of the time in which a change of the store must be in force."""
READERS_GROUP_NAME = "store readers"
READERS_PER_DOMAIN = 2
"""Hosts of each failure domain that pass updates on in it: two, so that the failure of one at the
moment of a change causes no delay."""
MIN_WAITING_HOSTS = 2
"""Hosts of the whole fleet, at least, that wait for the store's changes."""
POWER_STEP_CORES = 0.25
"""Step to which the required power of a group of services is rounded up, so that a few targets that
join or leave do not change the ranking of hosts."""


@dataclass(slots=True)
class RequestState:
    """One request that has no final answer yet.

    Attributes:
      head: The request.
      route: Its route.
      arrived: When it arrived.
      deadline: Time after which it is refused.
      attempt_count: Attempts made, without those that could not connect.
      tried_targets: Targets of its attempts, including attempts that could not connect.
      target: Target of the attempt in progress, or None.
      hedge_target: Target of the hedge in progress beside that attempt, or None.
      is_measured: Whether the response time of its first attempt, which is in progress, counts for
        the time after which requests are hedged.
      reserved_target: Target at which room is kept for the retry that follows the abort of the
        attempt in progress, or None. The retry has been taken from the retry budget.
      may_have_run: Whether any attempt may have run.
      key: Key whose record this request holds, or None.
      split_service: Service chosen for the request if its route is split, or None.
      failed_connections: Attempts for which no connection could be opened.
      ended_targets: Targets that ended while they worked on it.
      failure_answer: A target's server error, which is delivered if no other attempt succeeds.
      peer: Host to which it is forwarded at the moment, or None.
      asked_peers: Hosts to which it was forwarded.
      handed_over_for: Why its attempt failed whose retry was handed over to those, or None.
      priority: Its importance in the queue: that of its caller account, or else of its route.
      key_withdrawn: Whether its account key was withdrawn, so that it gets no further attempt.
      charged_account: Account whose quota it was charged to, or None.
      holds_retry: Whether a retry was taken from the budget for it while its attempt is aborted.
    """

    head: RequestHead
    route: NamedRoute
    arrived: Instant
    deadline: Instant
    attempt_count: int = 0
    tried_targets: frozenset[TargetName] = frozenset()
    target: TargetName | None = None
    hedge_target: TargetName | None = None
    is_measured: bool = False
    reserved_target: TargetName | None = None
    may_have_run: bool = False
    key: IdempotencyKey | None = None
    split_service: ServiceName | None = None
    failed_connections: int = 0
    ended_targets: int = 0
    failure_answer: Answer | None = None
    peer: HostId | None = None
    asked_peers: frozenset[HostId] = frozenset()
    handed_over_for: RefusalReason | None = None
    holds_retry: bool = False
    key_withdrawn: bool = False
    priority: Importance = Importance.NORMAL
    charged_account: CallerName | None = None

    @property
    def service(self) -> ServiceName:
        """Name of the service that the request is for."""
        return self.split_service or ServiceName(self.route.route.service)


@dataclass(frozen=True, slots=True)
class RankedHosts:
    """Ranked hosts of a service, valid for one version of the membership and of the object set.

    Attributes:
      members: The hosts, best first.
      primary_count: Number of hosts, from the first, that serve the service in normal operation.
      limit_per_target: Requests that this host may have in progress at one target.
      is_primary: Whether this host is among the primaries, to which callers are sent.
      membership_version: Version of the membership.
      config: The object set.
    """

    members: tuple[Member, ...]
    primary_count: int
    limit_per_target: int
    is_primary: bool
    membership_version: int
    config: ConfigRef


@dataclass(frozen=True, slots=True)
class QuotaCount:
    """Requests of an account that were admitted and refused by its quota at this host."""

    admitted: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class QuotaKeepers:
    """The keepers of a group of accounts.

    Attributes:
      hosts: The keepers.
      version: Version of the membership that they were selected by.
      valid_until: Until when a later version changes nothing, unless one of them is lost.
      alive: Number of hosts that were alive then.
    """

    hosts: tuple[Member, ...]
    version: int
    valid_until: Instant
    alive: int


@dataclass(slots=True)
class QuotaTable:
    """What a host knows of the quotas of caller accounts.

    Attributes:
      uses: Accounts of which requests have arrived here lately.
      kept: Accounts that this host keeps, of which requests have arrived anywhere lately.
      active: Accounts with requests that are not reported, or with a report that got no reply.
      urgent: Those that are reported at once.
      unanswered: When the first report was sent that a keeper has not replied to since, by host.
      keepers: Cache of the keepers of each group of accounts.
      host_counts: Hosts that are alive, and hosts with those that were lost lately.
      next_count_at: When the hosts are counted again.
      short: Accounts kept here that have more requests than tokens, of which all hosts are told.
      counts: Admitted and refused requests of the accounts that are counted separately.
      other_counts: Those of all other accounts together.
      has_old_peer: Whether a host that has run for some time has replied to this process.
      last_epoch: Number of the last record in `uses`.
    """

    uses: dict[CallerName, AccountUse] = field(default_factory=dict)
    kept: dict[CallerName, KeptAccount] = field(default_factory=dict)
    active: set[CallerName] = field(default_factory=set)
    urgent: set[CallerName] = field(default_factory=set)
    unanswered: dict[HostId, Instant] = field(default_factory=dict)
    keepers: dict[int, QuotaKeepers] = field(default_factory=dict)
    host_counts: tuple[int, int] = (1, 1)
    next_count_at: Instant = Instant(0)
    short: set[CallerName] = field(default_factory=set)
    counts: dict[CallerName, QuotaCount] = field(default_factory=dict)
    other_counts: QuotaCount = QuotaCount()
    has_old_peer: bool = False
    last_epoch: int = 0


@dataclass(slots=True)
class StoreContact:
    """What a host knows of its contact with the store.

    Attributes:
      change_limit: Time in which a change of the store must be in force.
      as_of: All that the store had accepted by then is known here, or None if nothing was read.
      source: Host whose question the answer was to that showed this.
      number: Number of that answer among those to its host.
      targets_read_to: Version of the store up to which the table of targets was read, or 0.
      config_read_to: The same of the table with the configuration.
      asked_at: When this host's question in progress was asked, or None if there is none.
      next_ask_at: When the store may next be asked.
      failure_count: Questions of this host in a row that were not answered.
      answer_count: Number of this host's latest answer.
      next_inquiry_at: When other hosts may next be asked for a later answer.
      answered_at: When the store last answered any host, as far as known, or None.
      answering_since: Since when it has answered some host or other without a longer pause.
      behind_since: As of when the store was known here when this host began to be behind, or None.
      last_event_at: When this host last had a tick or a message from another host, or None.
      pause: How long it did not run before its latest event after a pause.
      pause_ended_at: When that was.
    """

    change_limit: timedelta = CHANGE_LIMIT
    as_of: Instant | None = None
    source: HostId = HostId("")
    number: int = 0
    targets_read_to: int = 0
    config_read_to: int = 0
    asked_at: Instant | None = None
    next_ask_at: Instant = Instant(0)
    failure_count: int = 0
    answer_count: int = 0
    next_inquiry_at: Instant = Instant(0)
    answered_at: Instant | None = None
    answering_since: Instant = Instant(0)
    behind_since: Instant | None = None
    last_event_at: Instant | None = None
    pause: timedelta = timedelta(0)
    pause_ended_at: Instant = Instant(0)


@dataclass(frozen=True, slots=True)
class StoreReaders:
    """Who reads the store, for one version of the membership.

    Attributes:
      version: The version.
      members: Hosts that read the store for the others, a few of each failure domain.
      waiting: Those of them that wait for its changes.
      rank: Number of hosts that are to ask the store before this one.
    """

    version: int = -1
    members: tuple[Member, ...] = ()
    waiting: tuple[Member, ...] = ()
    rank: int = 0


@dataclass(slots=True)
class HostState:
    """The complete state of the reducer.

    Attributes:
      phase: Phase of the process from its start to its end.
      config: Object set in force.
      newest_config: Newest object set known to be accepted, in force or not.
      newest_config_at: When it was named here, or None if it was read at the store itself.
      rejected_version: Version of the latest object set that this host cannot read, or 0.
      serves_until: When a stopping host cuts off requests in progress, or None.
      has_read_head: Whether the table service has reported an accepted object set.
      started_at: Time of the first tick, or None before it.
      fetching: Object set that is being fetched, or None.
      next_fetch_at: When a failed fetch is next retried.
      active_services: Services whose targets or queues need the periodic timer.
      quotas: What is known of the quotas of caller accounts.
      machines: The platform's latest machine list.
      ranking_cache: Cache of the ranked hosts of each service.
      required_power: Processor power in cores that each group of services needs at its hosts.
      discovered: Targets that registered themselves, by name.
      removal_times: When targets are removed whose registrations lapsed, by name.
      processes: What the processes of these targets, and of earlier ones, stated of themselves.
      store: What is known of the contact with the store in which targets register.
      store_unavailable: Whether the store does not answer.
      has_read_targets: Whether the store has listed all targets at least once.
      next_ask_at: When other hosts may next be asked for targets.
      store_is_relayed: Whether a few hosts read the store and relay it to the others.
      reads_store: Whether this host waits for the store's changes.
      targets_version: Version of the store up to which targets are known, or 0. It contains the
        era, so that it grows although a restored store counts from an earlier number.
      next_update_at: When this host next sends updates, if it is a reader.
      readers_cache: Cache of the hosts that read the store.
      changed_targets: Targets whose requests in progress are reported at once, by service.
      split_positions: Position of the latest request in the interval that the services of a split
        route divide by weight, by route.
      next_evidence_at: When evidence is next sent to other hosts.
      next_cleanup_at: When expired key records are next dropped.
      quarantine: Requests during which targets ended.
      unsent_suspects: Those of them of which the other hosts are told at the next tick.
      next_suspects_at: When reports on them are next repeated to a few hosts.
      limited_targets: Targets that state a limit or have withdrawn one, by service.
      unsent_limits: Those of them of which the other hosts are told at the next tick.
      next_limits_at: When reports on limits are next repeated.
      path: What is known of this host's own paths to targets.
      overload: What is known of the load of this host's own processor.
      unconfirmed_failures: Bad outcomes, and whether the target was paused, that are not reported
        to other hosts yet since this host's path may be the cause, by service and target.
      unable_peers: Until when nothing is forwarded to a host that could not serve a request.
      forwarding_blocked: Until when requests for a service are not forwarded, since another host
        reached none of its targets either.
    """

    identity: HostIdentity
    random: Random
    keys: KeyTable
    membership: Membership
    phase: HostPhase = HostPhase.STARTING
    serves_until: Instant | None = None
    config: ConfigRef = NO_CONFIG
    newest_config: ConfigRef = NO_CONFIG
    newest_config_at: Instant | None = None
    rejected_version: Version = Version(0)
    has_read_head: bool = False
    started_at: Instant | None = None
    fetching: ConfigRef | None = None
    next_fetch_at: Instant = Instant(0)
    objects: ObjectSet = field(default_factory=ObjectSet)
    routes: RouteTable = field(default_factory=RouteTable)
    services: dict[ServiceName, ServiceState] = field(default_factory=dict)
    active_services: set[ServiceName] = field(default_factory=set)
    requests: dict[RequestId, RequestState] = field(default_factory=dict)
    quotas: QuotaTable = field(default_factory=QuotaTable)
    machines: tuple[ListedMachine, ...] = ()
    ranking_cache: dict[ServiceName, RankedHosts] = field(default_factory=dict)
    required_power: dict[str, float] = field(default_factory=dict)
    discovered: dict[TargetName, TargetEntry] = field(default_factory=dict)
    removal_times: dict[TargetName, Instant] = field(default_factory=dict)
    processes: ProcessTable = field(default_factory=ProcessTable)
    store: StoreContact = field(default_factory=StoreContact)
    store_unavailable: bool = False
    has_read_targets: bool = False
    next_ask_at: Instant = Instant(0)
    store_is_relayed: bool = False
    reads_store: bool = True
    targets_version: int = 0
    next_update_at: Instant = Instant(0)
    readers_cache: StoreReaders = StoreReaders()
    changed_targets: dict[ServiceName, set[TargetName]] = field(default_factory=dict)
    split_positions: dict[RouteName, float] = field(default_factory=dict)
    next_evidence_at: Instant = Instant(0)
    next_cleanup_at: Instant = Instant(0)
    quarantine: Quarantine = field(default_factory=Quarantine)
    unsent_suspects: set[RequestDigest] = field(default_factory=set)
    next_suspects_at: Instant = Instant(0)
    limited_targets: dict[ServiceName, set[TargetName]] = field(default_factory=dict)
    unsent_limits: set[tuple[ServiceName, TargetName]] = field(default_factory=set)
    next_limits_at: Instant = Instant(0)
    path: PathState = field(default_factory=PathState)
    overload: Overload = field(default_factory=Overload)
    unconfirmed_failures: dict[tuple[ServiceName, TargetName], tuple[int, bool]] = field(
        default_factory=dict
    )
    unable_peers: dict[HostId, Instant] = field(default_factory=dict)
    forwarding_blocked: dict[ServiceName, Instant] = field(default_factory=dict)

    @property
    def targets_read_to(self) -> int:
        """Version of the store up to which the targets are known, read here or relayed, or 0."""
        return max(self.store.targets_read_to, self.targets_version)

    @property
    def misses_config(self) -> bool:
        """Whether a newer object set is known that is not in force, though it could be."""
        newest = self.newest_config.version
        return newest > max(self.config.version, self.rejected_version)


def build_host(
    identity: HostIdentity,
    secret: bytes,
    seed: int,
    store_is_relayed: bool = False,
    change_limit: timedelta = CHANGE_LIMIT,
) -> HostState:
    """Builds the state of a host that has just started.

    Args:
      identity: Who the host is.
      secret: Key of the fleet.
      seed: Seed of the source of randomness.
      store_is_relayed: Whether a few hosts read the store and relay it to the others.
      change_limit: Time in which a change of the store must be in force.
    Returns:
      A state with no object set, in which no other host is known.
    """
    random = Random(seed)
    view = build_membership(identity, random)
    return HostState(
        identity,
        random,
        KeyTable(secret),
        view,
        store=StoreContact(change_limit=change_limit),
        store_is_relayed=store_is_relayed,
    )


def find_account(state: HostState, caller: CallerName | None) -> Caller | None:
    """Finds a caller account of the object set in force; None if there is none of that name."""
    return state.objects.caller.get(caller) if caller is not None else None


def rank_service_hosts(state: HostState, name: ServiceName) -> tuple[Member, ...]:
    """Returns the hosts that callers of a service may use, best first."""
    return _get_ranking(state, name).members


def list_primaries(state: HostState, name: ServiceName) -> tuple[Member, ...]:
    """Returns the primaries of a service: the hosts that serve it in normal operation."""
    ranked = _get_ranking(state, name)
    return ranked.members[: ranked.primary_count]


def count_primaries(state: HostState, name: ServiceName) -> int:
    """Returns the number of primaries of a service."""
    return _get_ranking(state, name).primary_count


def list_entry_hosts(
    state: HostState, name: ServiceName, domain: FailureDomain
) -> tuple[Member, ...]:
    """Returns the primaries of a service in the callers' failure domain, or else all of them."""
    primaries = list_primaries(state, name)
    near = tuple(member for member in primaries if member.failure_domain == domain)
    return near or primaries


def resolve_entry_hosts(state: HostState, host: str, domain: FailureDomain) -> tuple[Member, ...]:
    """Returns the hosts for callers of a failure domain whose requests have the Host `host`.

    A name without a route resolves to the hosts of some service, which refuse its requests with the
    right reason.
    """
    service = state.routes.services.get(host)
    if service is None and state.services:
        service = min(state.services)
    return list_entry_hosts(state, service, domain) if service is not None else ()


def list_watched_hosts(state: HostState) -> list[HostId]:
    """Returns the other entry hosts for callers of this host's own failure domain."""
    domain = state.identity.failure_domain
    watched_hosts = {
        member.host
        for name in state.services
        if state.services[name].service.share_at_once
        for member in list_entry_hosts(state, name, domain)
        if member.failure_domain == domain
    }
    return sorted(watched_hosts - {state.identity.host})


def list_readers(state: HostState) -> tuple[Member, ...]:
    """Returns the hosts that read the store for the others, a few of each failure domain."""
    return _get_readers(state).members


def list_waiting_hosts(state: HostState) -> tuple[Member, ...]:
    """Returns the readers that wait for the store's changes.

    Each change costs a call of each, so there is one in each failure domain, or two in a fleet with
    a single one. What they miss is found by the next question; see `_store_contact`.
    """
    return _get_readers(state).waiting


def is_reader(state: HostState) -> bool:
    """Tells whether this host reads the store for the others."""
    me = state.identity.host
    return any(member.host == me for member in list_readers(state))


def get_asking_rank(state: HostState) -> int:
    """Returns the number of hosts that are to ask the store before this one.

    Hosts of the failure domains take turns, so that each domain has some of the first ones.
    """
    return _get_readers(state).rank


def _get_readers(state: HostState) -> StoreReaders:
    if state.readers_cache.version != state.membership.version:
        usable = list_usable(state.membership)
        members = list_first_of_domains(READERS_GROUP_NAME, usable, READERS_PER_DOMAIN)
        hosts = [m.host for m in order_across_domains(READERS_GROUP_NAME, usable)]
        me = state.identity.host
        rank = hosts.index(me) if me in hosts else len(hosts)
        # The readers of each domain stand together, the first one before the others.
        waiting = tuple({m.failure_domain: m for m in reversed(members)}.values())
        if len(waiting) < MIN_WAITING_HOSTS:
            waiting = members[:MIN_WAITING_HOSTS]
        state.readers_cache = StoreReaders(state.membership.version, members, waiting, rank)
    return state.readers_cache


def draw_repeat_receivers(state: HostState) -> list[Member]:
    """Draws the hosts to which reports are repeated: one of this failure domain and one of any."""
    view = state.membership
    domain = state.identity.failure_domain
    near = [member for member in list_reachable(view) if member.failure_domain == domain]
    receivers = {m.host: m for m in sample_alive(view, 1, state.identity.host)}
    if near:
        member = state.random.choice(near)
        receivers[member.host] = member
    return list(receivers.values())


def get_limit_per_target(state: HostState, name: ServiceName) -> int:
    """Returns how many requests this host may have in progress at one target of a service."""
    return _get_ranking(state, name).limit_per_target


def is_primary(state: HostState, name: ServiceName) -> bool:
    """Tells whether this host is a primary of a service."""
    return _get_ranking(state, name).is_primary


def _get_ranking(state: HostState, name: ServiceName) -> RankedHosts:
    cached = state.ranking_cache.get(name)
    version = state.membership.version
    if (
        cached is not None
        and cached.membership_version == version
        and cached.config == state.config
    ):
        return cached
    service = state.services[name]
    group = state.routes.ranking_groups.get(name, name)
    usable = list_usable(state.membership)
    power = state.required_power.get(group, 0.0)
    ranking = rank_hosts(group, usable, service.service.entry_hosts, power)
    primaries = ranking.hosts[: ranking.primary_count]
    this_host_is_primary = any(member.host == state.identity.host for member in primaries)
    limit_per_target = max(1, service.group.slots // len(primaries)) if this_host_is_primary else 1
    ranked = RankedHosts(
        tuple(ranking.hosts),
        ranking.primary_count,
        limit_per_target,
        this_host_is_primary,
        version,
        state.config,
    )
    state.ranking_cache[name] = ranked
    return ranked


def update_required_power(state: HostState) -> None:
    """Computes the power that each group of services needs at its hosts for its targets' slots.

    Must be called periodically. The rankings are recomputed if the power has changed.
    """
    needed: dict[str, float] = {}
    for name, service in state.services.items():
        if service.service.slots_per_core:
            group = state.routes.ranking_groups.get(name, name)
            cores = service.count_slots() / service.service.slots_per_core
            needed[group] = needed.get(group, 0.0) + cores
    stepped = {
        group: math.ceil(c / POWER_STEP_CORES) * POWER_STEP_CORES for group, c in needed.items()
    }
    if stepped != state.required_power:
        state.required_power = stepped
        state.ranking_cache.clear()
