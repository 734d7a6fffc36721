"""The state that one host keeps for each service and target."""

import math
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
    Route,
    Service,
    Target,
    UpstreamGroup,
)
from endivedrift.policy._bucket import TokenBucket
from endivedrift.policy._failure_record import FailureRecord
from endivedrift.policy._fair_queue import FairQueue, ServedShares
from endivedrift.policy._hedging import Hedging
from endivedrift.policy._processes import Process
from endivedrift.policy._rate_limit import RateLimit

INITIAL_LATENCY = timedelta(milliseconds=25)
PEER_IN_FLIGHT_TTL = timedelta(milliseconds=1_300)
"""Time for which another host's count of requests in progress is valid. Hosts repeat it every half
second, so a count expires only after two messages in a row are lost."""


@dataclass(slots=True)
class Attempt:
    """A request in progress at a target.

    Attributes:
      started: When it was sent.
      overdue_count: How often it was counted as slow.
      body_bytes: Size of its body.
    """

    started: Instant
    overdue_count: int = 0
    body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class PeerInFlight:
    """Number of requests that another host has in progress at a target, by its last report."""

    in_flight: int
    received_at: Instant


@dataclass(slots=True)
class TargetRecord:
    """The state that a host keeps of one target.

    Attributes:
      target: The published object.
      state: Whether it may get requests.
      state_since: When it entered the state.
      attempts: Requests in progress from this host.
      own_score: Sequential test over this host's own requests.
      shared_score: Sequential test over the requests of all hosts that share evidence.
      own_bad_rate: Recent share of bad answers among this host's own requests.
      own_outcome_count: Own outcomes seen, up to the length of the window of `own_bad_rate`.
      ejection_count: Ejections without a long healthy period in between.
      consecutive_good: Good answers in a row during probation.
      leaving_source: Source of the latest sign that the target is shutting down.
      leaving_seen_at: When that sign was last seen.
      last_answer_at: When its last answer to this host arrived, or None.
      last_latency: Latency of that answer.
      entry: Its registration, or None if it is listed in the object set.
      peers_in_flight: Requests in progress from other hosts, by host.
      last_success_at: When its last good answer to this or a reporting host was noted, or None.
      last_request_at: When this or a reporting host last sent it a request, or None.
      paused_until: End of the pause after a failure.
      avoided_until: End of the time for which it is used only if a request would otherwise wait.
      repeated_pauses: Further pauses since the last one that followed a good answer.
      last_failure_at: When it last failed a request.
      failures: The periods in which it failed requests at any host.
      process: What its process has stated of itself.
      reported_in_flight: Requests in progress as last reported to other hosts.
      unsent_pause: Whether this host has paused it since the last report.
      unsent_in_flight: Whether the number of requests in progress changed since the last report.
      unsent_good, unsent_bad: Outcomes not yet reported to other hosts.
      unsent_far_good, unsent_far_bad: Outcomes reported to hosts that are told of each attempt, but
        not yet to the others.
      reported_far_in_flight: Requests in progress as last reported to those others.
      unsent_leaving: Whether it is still to be reported to other hosts that it is leaving.
    """

    target: Target
    state: TargetState
    state_since: Instant
    attempts: dict[RequestId, Attempt] = field(default_factory=dict)
    own_score: float = 0.0
    shared_score: float = 0.0
    own_bad_rate: float = 0.0
    own_outcome_count: int = 0
    ejection_count: int = 0
    consecutive_good: int = 0
    leaving_source: LeavingSource = LeavingSource.NONE
    leaving_seen_at: Instant = Instant(0)
    last_answer_at: Instant | None = None
    last_latency: timedelta = timedelta(0)
    unsent_good: int = 0
    unsent_bad: int = 0
    unsent_leaving: bool = False
    entry: TargetEntry | None = None
    peers_in_flight: dict[HostId, PeerInFlight] = field(default_factory=dict)
    last_success_at: Instant | None = None
    last_request_at: Instant | None = None
    paused_until: Instant = Instant(0)
    avoided_until: Instant = Instant(0)
    repeated_pauses: int = 0
    last_failure_at: Instant = Instant(0)
    failures: FailureRecord = field(default_factory=FailureRecord)
    process: Process = field(default_factory=Process)
    unsent_in_flight: bool = False
    unsent_pause: bool = False
    reported_in_flight: int = 0
    unsent_far_good: int = 0
    unsent_far_bad: int = 0
    reported_far_in_flight: int = 0

    @property
    def score(self) -> float:
        """The stronger of the two sequential tests."""
        return max(self.own_score, self.shared_score)

    @property
    def started_ms(self) -> int:
        """Start of its process in Unix milliseconds, or 0 if that is not known."""
        return self.entry.started_ms if self.entry is not None else 0

    @property
    def held_until(self) -> Instant:
        """Until when it wants no request from this host, as it stated in a refusal."""
        return self.process.held_until

    @held_until.setter
    def held_until(self, until: Instant) -> None:
        self.process.held_until = until

    @property
    def rate_limit(self) -> RateLimit | None:
        """Limit on the requests of all hosts that it states, or None."""
        return self.process.rate_limit

    @rate_limit.setter
    def rate_limit(self, limit: RateLimit | None) -> None:
        self.process.rate_limit = limit

    def get_risk_level(self, at: Instant, repeat_share: float) -> int:
        """Returns the level of the risk that it fails a request; see `FailureRecord`."""
        return self.failures.get_level(self.last_success_at, at, repeat_share)

    def takes_requests(self, at: Instant) -> bool:
        """Tells whether this host may send it a request, as far as the target has stated."""
        if self.process.leaving or self.held_until > at:
            return False
        return self.rate_limit is None or self.rate_limit.may_send(at)

    def count_in_flight(self, at: Instant) -> int:
        """Returns the number of requests in progress, of this host and as reported by others."""
        total = len(self.attempts)
        for peer in self.peers_in_flight.values():
            if peer.in_flight and at - peer.received_at < PEER_IN_FLIGHT_TTL:
                total += peer.in_flight
        return total


RECENT_TIME_CONSTANT = timedelta(seconds=2)


@dataclass(slots=True)
class RecentOutcomes:
    """Exponentially decaying counts of the requests that ended and of those not served.

    Attributes:
      ended, unserved: The counts as of `updated`.
      updated: When the last request was counted.
    """

    ended: float = 0.0
    unserved: float = 0.0
    updated: Instant = Instant(0)

    def add(self, served: bool, at: Instant) -> None:
        """Counts the end of a request."""
        decay = math.exp(-(at - self.updated) / RECENT_TIME_CONSTANT)
        self.updated = at
        self.ended = self.ended * decay + 1.0
        self.unserved = self.unserved * decay + (0.0 if served else 1.0)

    def estimate_rate_per_s(self, at: Instant) -> float:
        """Estimates how many requests ended in a second lately."""
        decay = math.exp(-(at - self.updated) / RECENT_TIME_CONSTANT)
        return self.ended * decay / RECENT_TIME_CONSTANT.total_seconds()

    @property
    def unserved_share(self) -> float:
        """Share of the recent requests that were not served."""
        return self.unserved / self.ended if self.ended else 0.0


@dataclass(slots=True)
class ServiceState:
    """The state that a host keeps of one service.

    Attributes:
      threshold: Score from which a target counts as failing, in nats.
      typical_latency: Estimate of the median latency of answers, over all targets.
      latency_samples: Answers from which `typical_latency` was learned, up to a few.
      usual_bad_rate: Median over the targets of the recent share of bad answers.
      queues: Queued requests by importance.
      served_shares: What caller accounts were served lately.
      limit_per_target: Requests that this host may have in progress at one target.
      primary_count: Number of hosts that serve the service in normal operation.
      service_time: Moving average of the latency of answers.
      queued_since: Since when requests have been queued without a break, or None.
      dequeue_interval: Moving average of the time between two dequeued requests.
      last_dequeue_at: When a queued request was last sent to a target.
      recent_outcomes: Recent ends of requests, which show whether the service is failing.
      repeat_share: Share of the targets that failed in the last minutes that failed again.
      users: When each other host last reported requests or outcomes of the service.
      hedging: Its hedged requests, or None if it has none.
      is_below_floor: Whether it was found to fail with fewer targets in use than its floor.
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
    typical_latency: timedelta = INITIAL_LATENCY
    latency_samples: int = 0
    usual_bad_rate: float = 0.0
    queues: dict[Importance, FairQueue] = field(
        default_factory=lambda: {priority: FairQueue() for priority in Importance}
    )
    served_shares: ServedShares = field(default_factory=ServedShares)
    limit_per_target: int = 1
    primary_count: int = 1
    service_time: timedelta = INITIAL_LATENCY
    queued_since: Instant | None = None
    dequeue_interval: timedelta | None = None
    last_dequeue_at: Instant = Instant(0)
    recent_outcomes: RecentOutcomes = field(default_factory=RecentOutcomes)
    repeat_share: float = 0.0
    users: dict[HostId, Instant] = field(default_factory=dict)
    hedging: Hedging | None = None
    is_below_floor: bool = False

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return sum(len(queue) for queue in self.queues.values())

    @property
    def floor(self) -> int:
        """Minimum number of healthy targets that is kept regardless of evidence."""
        share = self.ejection.floor_share
        if not share:
            return self.ejection.floor
        staying = sum(1 for r in self.targets.values() if r.state is not TargetState.LEAVING)
        return max(self.ejection.floor, math.ceil(share * staying))

    def get_slots(self, record: TargetRecord) -> int:
        """Returns the slots that a target registered, or else those of its group."""
        return record.entry.slots if record.entry is not None else self.group.slots

    def count_slots(self) -> int:
        """Returns the slots of all targets that are not leaving."""
        staying = (r for r in self.targets.values() if r.state is not TargetState.LEAVING)
        return sum(self.get_slots(record) for record in staying)

    @property
    def healthy_count(self) -> int:
        """Number of healthy targets, which count as capacity."""
        return sum(1 for r in self.targets.values() if r.state is TargetState.HEALTHY)


def build_service(
    name: ServiceName, objects: ObjectSet, previous: ServiceState | None, at: Instant
) -> ServiceState:
    """Builds the state of a service from an object set and keeps what was learned before.

    Args:
      name: Name of the service.
      objects: A validated object set that contains it.
      previous: State under the previous set, or None.
      at: Current time.
    Returns:
      The state under the new set, with the queues and attempts of the previous one.
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
        hedging=_build_hedging(service, objects),
    )
    if previous is not None:
        _copy_learned_state(state, previous, objects.route)
    for target in group.targets:
        record = _build_target(target, previous, at)
        state.targets[TargetName(target.name)] = record
    return state


def _build_budget(service: Service, retry: RetryRule, at: Instant) -> TokenBucket:
    """Builds the retry budget of a host that has just started.

    A budget that the fleet shares starts empty, since the previous process may already have spent
    what the requests of the last seconds added.
    """
    cap = float(retry.budget_cap)
    return TokenBucket(cap, 0.0, 0.0 if service.share_at_once else cap, at)


def _build_hedging(service: Service, objects: ObjectSet) -> Hedging | None:
    rule = objects.hedge_rule.get(service.hedge_rule)
    return Hedging(rule.max_extra_share) if rule is not None and rule.max_extra_share else None


def register_target(state: ServiceState, entry: TargetEntry, process: Process, at: Instant) -> bool:
    """Adds a target that registered itself, or updates its registration.

    Args:
      state: The service of the target.
      entry: Its registration.
      process: What its process has stated of itself.
      at: Current time.
    Returns:
      Whether the target is new or has restarted, so that earlier knowledge of it is void.
    """
    known = state.targets.get(entry.name)
    if known is not None and known.entry is not None:
        is_same_process = (
            known.entry.started_ms == entry.started_ms and known.entry.address == entry.address
        )
        if is_same_process:
            known.entry = entry
            return False
    target = Target(name=entry.name, address=entry.address, failure_domain=entry.failure_domain)
    record = TargetRecord(target, TargetState.HEALTHY, at, entry=entry, process=process)
    if entry.warm_up_left > timedelta(0):
        record.state = TargetState.WARMING
        record.state_since = (
            at + entry.warm_up_left - timedelta(milliseconds=state.drain.warm_up_ms)
        )
    state.targets[entry.name] = record
    return True


def _copy_learned_state(
    state: ServiceState, previous: ServiceState, routes: dict[str, Route]
) -> None:
    state.typical_latency = previous.typical_latency
    state.latency_samples = previous.latency_samples
    state.usual_bad_rate = previous.usual_bad_rate
    state.service_time = previous.service_time
    state.queues = previous.queues
    state.served_shares = previous.served_shares
    state.queued_since = previous.queued_since
    state.dequeue_interval = previous.dequeue_interval
    state.last_dequeue_at = previous.last_dequeue_at
    state.limit_per_target = previous.limit_per_target
    state.primary_count = previous.primary_count
    state.recent_outcomes = previous.recent_outcomes
    state.is_below_floor = previous.is_below_floor
    state.repeat_share = previous.repeat_share
    state.users = previous.users
    if state.hedging is not None and previous.hedging is not None:
        state.hedging.late_share = previous.hedging.late_share
        state.hedging.routes = {
            name: known for name, known in previous.hedging.routes.items() if name in routes
        }
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
        known.state_since = at
    elif not target.draining and known.leaving_source is LeavingSource.NONE:
        _restore_undrained_target(known, at)
    return known


def _restore_undrained_target(record: TargetRecord, at: Instant) -> None:
    """Starts the warm-up of a target that an earlier object set had drained."""
    if record.state is TargetState.LEAVING:
        record.state = TargetState.WARMING
        record.state_since = at
