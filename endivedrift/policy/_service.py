"""The state that one host keeps for each service and target."""

import math
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from endivedrift.core import (
    HostId,
    Importance,
    Instant,
    LeavingSource,
    RequestId,
    ServiceName,
    TargetEntry,
    TargetName,
    TargetState,
)
from endivedrift.objects import (
    DrainRule,
    EjectionLimit,
    ObjectSet,
    RetryRule,
    Service,
    Target,
    UpstreamGroup,
)
from endivedrift.policy._bucket import TokenBucket

INITIAL_TYPICAL = timedelta(milliseconds=25)
PEER_IN_FLIGHT_TTL = timedelta(milliseconds=1_300)
"""Time for which another host's count of requests in progress is believed: hosts tell it again each
half a second, so two messages in a row have to be lost before a count is forgotten."""


@dataclass(slots=True)
class Attempt:
    """A request in progress at a target; `overdue` is how often it was counted as slow."""

    started: Instant
    overdue: int = 0


@dataclass(frozen=True, slots=True)
class PeerInFlight:
    """Requests that another host has in progress at a target, as told at `heard`."""

    running: int
    heard: Instant


@dataclass(slots=True)
class TargetRecord:
    """What a host knows of one target.

    Attributes:
      target: The published object.
      state: Whether it may be given requests.
      since: When it entered the state.
      attempts: Requests in progress from this host.
      own_score: Sequential test over this host's own requests.
      shared_score: Sequential test over the requests of all hosts that share evidence.
      own_bad_rate: Recent share of bad answers among this host's own requests.
      own_count: Own answers seen, up to the length of the window of `own_bad_rate`.
      falls: Times it was ejected without a long healthy stretch between.
      good_in_row: Good answers in a row during probation.
      leaving_source: Latest sign that the target is shutting down.
      leaving_seen: When that sign was last seen.
      answered: When its last answer to this host arrived, or None.
      entry: What it registered, or None where it is published.
      peers_in_flight: Requests in progress from other hosts.
      last_success_at: When its last good answer to any host arrived, or None.
      tried: When a request was last sent to it from any host that tells, or None.
      paused_until: End of the time for which it is left alone after a failure.
      shunned_until: End of the time for which it is used only where a request would wait otherwise.
      pauses: Times it was avoided without a good answer between.
      failed: When it last failed a request.
      told_running: Requests in progress as other hosts were last told.
      unsent_pause: Whether this host began to avoid it since other hosts were told.
      unsent_change: Whether the number of requests in progress changed since other hosts were told.
      latency: Time that answer took.
      unsent_good, unsent_bad: Outcomes not yet told to other hosts.
      unsent_leaving: Whether other hosts have not been told yet that it is leaving.
    """

    target: Target
    state: TargetState
    since: Instant
    attempts: dict[RequestId, Attempt] = field(default_factory=dict)
    own_score: float = 0.0
    shared_score: float = 0.0
    own_bad_rate: float = 0.0
    own_count: int = 0
    falls: int = 0
    good_in_row: int = 0
    leaving_source: LeavingSource = LeavingSource.NONE
    leaving_seen: Instant = Instant(0)
    answered: Instant | None = None
    latency: timedelta = timedelta(0)
    unsent_good: int = 0
    unsent_bad: int = 0
    unsent_leaving: bool = False
    entry: TargetEntry | None = None
    peers_in_flight: dict[HostId, PeerInFlight] = field(default_factory=dict)
    last_success_at: Instant | None = None
    tried: Instant | None = None
    paused_until: Instant = Instant(0)
    shunned_until: Instant = Instant(0)
    pauses: int = 0
    failed: Instant = Instant(0)
    unsent_change: bool = False
    unsent_pause: bool = False
    told_running: int = 0

    @property
    def score(self) -> float:
        """The stronger of the two sequential tests."""
        return max(self.own_score, self.shared_score)

    def count_running(self, at: Instant) -> int:
        """Returns the requests in progress here, from this host and from others that told."""
        running = len(self.attempts)
        for count in self.peers_in_flight.values():
            if count.running and at - count.heard < PEER_IN_FLIGHT_TTL:
                running += count.running
        return running


@dataclass(frozen=True, slots=True)
class Waiting:
    """A queued request: the time at which it is given up and its final deadline."""

    request: RequestId
    until: Instant
    deadline: Instant


RECENT_WINDOW = timedelta(seconds=2)


@dataclass(slots=True)
class RecentEnds:
    """Requests that ended of late, weighed down with age, and those that were not served.

    Attributes:
      ended, unserved: Weighed counts at `updated`.
    """

    ended: float = 0.0
    unserved: float = 0.0
    updated: Instant = Instant(0)

    def add(self, served: bool, at: Instant) -> None:
        """Counts the end of a request."""
        fade = math.exp(-(at - self.updated) / RECENT_WINDOW)
        self.updated = at
        self.ended = self.ended * fade + 1.0
        self.unserved = self.unserved * fade + (0.0 if served else 1.0)

    @property
    def unserved_share(self) -> float:
        """Share of the recent requests that were not served."""
        return self.unserved / self.ended if self.ended else 0.0


@dataclass(slots=True)
class ServiceState:
    """What a host knows of one service.

    Attributes:
      threshold: Score at which a target is held to be sick, in nats.
      typical_latency: Estimate of the median time of an answer, over all targets.
      learned: Answers from which `typical_latency` was learned, up to a few.
      usual_bad_rate: Median over the targets of the recent share of bad answers.
      queues: Waiting requests by importance.
      limit_per_target: Requests this host may have in progress at one target.
      service_time: Moving average of the time of an answer.
      queued_since: Since when requests have been waiting without a break, or None.
      turn_time: Moving average of the time between two turns of waiting requests.
      turned: When a waiting request last got its turn.
      recent_outcomes: Ends of requests of late, which tell whether the service is failing.
    """

    name: ServiceName
    service: Service
    group: UpstreamGroup
    ejection: EjectionLimit
    drain: DrainRule
    retry: RetryRule
    targets: dict[TargetName, TargetRecord]
    threshold: float
    retry_budget: TokenBucket
    typical_latency: timedelta = INITIAL_TYPICAL
    learned: int = 0
    usual_bad_rate: float = 0.0
    queues: dict[Importance, deque[Waiting]] = field(
        default_factory=lambda: {rank: deque() for rank in Importance}
    )
    limit_per_target: int = 1
    service_time: timedelta = INITIAL_TYPICAL
    queued_since: Instant | None = None
    turn_time: timedelta | None = None
    turned: Instant = Instant(0)
    recent_outcomes: RecentEnds = field(default_factory=RecentEnds)

    @property
    def queued_count(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue) for queue in self.queues.values())

    @property
    def floor(self) -> int:
        """Number of usable targets that are kept, whatever the evidence."""
        share = self.ejection.floor_share
        if not share:
            return self.ejection.floor
        able = sum(1 for r in self.targets.values() if r.state is not TargetState.LEAVING)
        return max(self.ejection.floor, math.ceil(share * able))

    def find_slots(self, record: TargetRecord) -> int:
        """Returns the slots of a target: those it registered, or else those of its group."""
        return record.entry.slots if record.entry is not None else self.group.slots

    def count_slots(self) -> int:
        """Returns the slots of all targets that are not leaving."""
        staying = (r for r in self.targets.values() if r.state is not TargetState.LEAVING)
        return sum(self.find_slots(record) for record in staying)

    @property
    def healthy_count(self) -> int:
        """Number of targets that count as capacity."""
        return sum(1 for r in self.targets.values() if r.state is TargetState.HEALTHY)


def build_service(
    name: ServiceName, objects: ObjectSet, previous: ServiceState | None, at: Instant
) -> ServiceState:
    """Builds the state of a service from an object set, keeping what is known of its targets.

    Args:
      name: Name of the service.
      objects: A checked object set that holds it.
      previous: State under the earlier set, or None.
      at: Present time.
    Returns:
      The state under the new set; its queues and attempts are those of the earlier one.
    """
    service = objects.service[name]
    group = objects.upstream_group[service.upstream_group]
    retry = objects.retry_rule[service.retry_rule]
    ejection = objects.ejection_limit[service.ejection_limit]
    state = ServiceState(
        name=name,
        service=service,
        group=group,
        ejection=ejection,
        drain=objects.drain_rule[service.drain_rule],
        retry=retry,
        targets={},
        threshold=math.log(1.0 / ejection.false_ejection_rate),
        retry_budget=_build_budget(service, retry, at),
    )
    if previous is not None:
        _carry_over(state, previous)
    for target in group.targets:
        record = _build_target(target, previous, at)
        state.targets[TargetName(target.name)] = record
    return state


def _build_budget(service: Service, retry: RetryRule, at: Instant) -> TokenBucket:
    """Builds the retry budget of a host that has just started.

    Where the budget is one of the whole fleet, it starts empty: the process before may have spent
    what requests of the last seconds earned.
    """
    cap = float(retry.budget_cap)
    return TokenBucket(cap, 0.0, 0.0 if service.share_at_once else cap, at)


def place_entry(state: ServiceState, entry: TargetEntry, at: Instant) -> bool:
    """Adds a target that registered itself, or takes in what it changed.

    Args:
      state: The service it belongs to.
      entry: What it registered.
      at: Present time.
    Returns:
      Whether it is new or started again, so that nothing known of before holds.
    """
    known = state.targets.get(entry.name)
    if known is not None and known.entry is not None:
        same = known.entry.started_ms == entry.started_ms and known.entry.address == entry.address
        if same:
            known.entry = entry
            return False
    target = Target(name=entry.name, address=entry.address, failure_domain=entry.failure_domain)
    record = TargetRecord(target, TargetState.HEALTHY, at, entry=entry)
    if entry.warm_up_left > timedelta(0):
        record.state = TargetState.WARMING
        record.since = at + entry.warm_up_left - timedelta(milliseconds=state.drain.warm_up_ms)
    state.targets[entry.name] = record
    return True


def _carry_over(state: ServiceState, previous: ServiceState) -> None:
    state.typical_latency = previous.typical_latency
    state.learned = previous.learned
    state.usual_bad_rate = previous.usual_bad_rate
    state.service_time = previous.service_time
    state.queues = previous.queues
    state.queued_since = previous.queued_since
    state.turn_time = previous.turn_time
    state.turned = previous.turned
    state.limit_per_target = previous.limit_per_target
    state.recent_outcomes = previous.recent_outcomes
    if state.group.discovered:
        state.targets.update({n: r for n, r in previous.targets.items() if r.entry is not None})
    state.retry_budget.tokens = min(state.retry_budget.cap, previous.retry_budget.tokens)


def _build_target(target: Target, previous: ServiceState | None, at: Instant) -> TargetRecord:
    known = previous.targets.get(TargetName(target.name)) if previous is not None else None
    if known is not None and known.target.address == target.address:
        known.target = target
    else:
        first = TargetState.HEALTHY if previous is None else TargetState.WARMING
        known = TargetRecord(target, first, at)
    if target.draining and known.state is not TargetState.LEAVING:
        known.state = TargetState.LEAVING
        known.since = at
    elif not target.draining and known.leaving_source is LeavingSource.NONE:
        _return_undrained(known, at)
    return known


def _return_undrained(record: TargetRecord, at: Instant) -> None:
    """Lets a target warm up that an earlier object set had taken out of use."""
    if record.state is TargetState.LEAVING:
        record.state = TargetState.WARMING
        record.since = at
