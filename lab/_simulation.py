"""Discrete-event simulation of one service: its hosts, targets and callers on a virtual clock.

The hosts run the daemon's reducer. Each target has slots and a queue, and a function of time sets
its faults. Datagrams between hosts are delayed and may be lost. The platform and the start-up of
the hosts are not simulated.
"""

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from endivedrift.core import (
    Answer,
    AttemptOutcome,
    AuditKind,
    FailureDomain,
    HostId,
    ManualClock,
    MessageKind,
    PeerMessage,
    RequestId,
    ServiceName,
    TargetName,
    TargetState,
    Verdict,
)
from endivedrift.core.effects import (
    AbortAttempt,
    DeliverAnswer,
    Effect,
    QueueRequest,
    RecordAudit,
    RefuseRequest,
    SendPeerMessage,
    SendToTarget,
)
from endivedrift.core.events import (
    AttemptFinished,
    AttemptLate,
    PeerMessageReceived,
    QueueWaitExpired,
    Ticked,
)
from endivedrift.objects import ObjectSet
from lab._policies import Baseline
from tests.builders import HostHarness, build_config_fetched, build_identity

TICK_S = 0.1
NETWORK_DELAY_S = 0.0005
WORK_TIME_SIGMA = 0.3
"""Standard deviation of the natural logarithm of the work time, which is log-normal."""
HEAVY_TAIL_SHARE = 0.01
HEAVY_TAIL_FACTOR = 4.0
MAX_TRIES = 8
OK_STATUS = 200
ERROR_STATUS = 500


@dataclass(frozen=True, slots=True)
class Fault:
    """Behaviour of a target at one time.

    Attributes:
      slowdown: Factor on the work time.
      error_rate: Share of requests answered with an error after a fraction of the work time.
      cut_rate: Share of requests whose answer is cut off.
      only_served_domain: The only failure domain whose hosts get answers, or None for all.
    """

    slowdown: float = 1.0
    error_rate: float = 0.0
    cut_rate: float = 0.0
    only_served_domain: FailureDomain | None = None

    @property
    def is_healthy(self) -> bool:
        """Whether the target works normally."""
        return self == HEALTHY


HEALTHY = Fault()


@dataclass(slots=True)
class _Target:
    slots: int
    executing: set[tuple[str, RequestId]] = field(default_factory=set)
    queue: deque[tuple[str, SendToTarget]] = field(default_factory=deque)


@dataclass(slots=True)
class RunResult:
    """Measurements of one run; times in seconds.

    Attributes:
      ejected_at: First time at which all hosts that can see the target's fault had ejected it.
      false_ejections: Ejections of targets that were healthy, over all hosts.
      sent_after_onset: Requests sent to each target after the onset of the fault.
      answered: Successful answers by path.
      refused: Error answers and final refusals by path.
      calls: Calls by path.
      latencies_s: Times from the first try to the answer, for all successful calls.
    """

    ejected_at: dict[TargetName, float] = field(default_factory=dict)
    false_ejections: int = 0
    sent_after_onset: dict[TargetName, int] = field(default_factory=dict)
    answered: dict[str, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)
    latencies_s: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Traffic:
    """A stream of requests with one method and path.

    Attributes:
      method, path: Of each request.
      rate: Requests per second, as a function of the time in seconds.
      peak_rate: Upper bound of `rate`.
    """

    method: str
    path: str
    rate: Callable[[float], float]
    peak_rate: float


class PolicySimulation:
    """One simulation run."""

    def __init__(
        self,
        objects: ObjectSet,
        service: str,
        seed: int,
        median_work_s: float,
        fault_at: Callable[[TargetName, float], Fault],
        baseline: Baseline | None = None,
        fault_onset_s: float = 0.0,
        heavy_tails: bool = False,
        domains: tuple[str, ...] = ("a", "b"),
        datagram_loss_share: float = 0.0,
        observer_domains: frozenset[str] = frozenset({"a", "b"}),
    ) -> None:
        """Starts as many hosts as the service has entry hosts.

        Args:
          objects: Object set that all hosts apply.
          service: Name of the simulated service.
          seed: Seed of the random numbers.
          median_work_s: Median work time of a request at a healthy target.
          fault_at: Fault of a target at a time in seconds.
          baseline: Baseline to feed with outcomes, or None.
          fault_onset_s: Time from which ejections and sent requests are recorded.
          heavy_tails: Whether some work times are drawn from a heavy-tailed distribution.
          domains: Failure domains over which the hosts are spread in turn.
          datagram_loss_share: Share of the datagrams between hosts that are lost.
          observer_domains: Failure domains whose hosts can see the fault.
        """
        self._random = Random(seed)
        self._clock = ManualClock()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._timer_count = 0
        self._now_s = 0.0
        self._median_work_s = median_work_s
        self._fault_at = fault_at
        self._baseline = baseline
        self._fault_onset_s = fault_onset_s
        self._heavy_tails = heavy_tails
        self._datagram_loss_share = datagram_loss_share
        self._observer_domains = observer_domains
        self._slow_from_s, self._slow_factor = math.inf, 1.0
        self._service = ServiceName(service)
        self.run_result = RunResult()
        config = build_config_fetched(self._clock, objects)
        self.hosts: dict[str, HostHarness] = {}
        for number in range(objects.service[service].entry_hosts):
            identity = build_identity(f"h{number}", number + 1, domains[number % len(domains)])
            self.hosts[f"h{number}"] = HostHarness(None, identity, self._clock, seed + number)
        for host in self.hosts.values():
            host.apply(config)
        self._introduce_hosts()
        group = objects.upstream_group[objects.service[service].upstream_group]
        self._targets = {TargetName(t.name): _Target(group.slots) for t in group.targets}
        self._calls: dict[RequestId, tuple[Traffic, float, int]] = {}

    def slow_all(self, from_s: float, factor: float) -> None:
        """Slows all targets by a factor from a time on."""
        self._slow_from_s, self._slow_factor = from_s, factor

    def run(self, seconds: float, traffic: tuple[Traffic, ...]) -> RunResult:
        """Runs the simulation for a time and returns the measurements."""
        for stream in traffic:
            self._schedule_arrival(stream, seconds)
        for host_name in self.hosts:
            self._tick(host_name, seconds)
        while self._timers:
            at, _, action = heapq.heappop(self._timers)
            if at > seconds:
                break
            self._clock.advance(timedelta(seconds=at - self._now_s))
            self._now_s = at
            action()
        return self.run_result

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        self._timer_count += 1
        heapq.heappush(self._timers, (self._now_s + delay_s, self._timer_count, action))

    def _introduce_hosts(self) -> None:
        for sender_name, sender in self.hosts.items():
            for receiver_name, receiver in self.hosts.items():
                if receiver_name != sender_name:
                    membership = sender.state.membership
                    membership.sequence += 1
                    message = PeerMessage(
                        MessageKind.NOTICE,
                        membership.me,
                        membership.sequence,
                        0,
                        HostId(""),
                        False,
                        membership.config,
                    )
                    now = self._clock.monotonic()
                    receiver.apply(PeerMessageReceived(now, membership.me.peer_address, message))

    def _tick(self, host_name: str, seconds: float) -> None:
        if self._baseline is not None:
            self._baseline.end_interval(self._clock.monotonic())
        self._apply_event(host_name, Ticked(self._clock.monotonic(), self._clock.wall()))
        self._record_ejections()
        self._schedule(TICK_S, lambda: self._tick(host_name, seconds))

    def _record_ejections(self) -> None:
        services = [
            host.state.services[self._service]
            for host in self.hosts.values()
            if host.state.identity.failure_domain in self._observer_domains
        ]
        for target in self._targets:
            is_ejected = all(s.targets[target].state is TargetState.EJECTED for s in services)
            if is_ejected and self._now_s >= self._fault_onset_s:
                self.run_result.ejected_at.setdefault(target, self._now_s)

    def _schedule_arrival(self, stream: Traffic, seconds: float) -> None:
        delay_s = self._random.expovariate(stream.peak_rate)
        if self._now_s + delay_s < seconds:
            self._schedule(delay_s, lambda: self._handle_arrival(stream, seconds))

    def _handle_arrival(self, stream: Traffic, seconds: float) -> None:
        if self._random.random() < stream.rate(self._now_s) / stream.peak_rate:
            self.run_result.calls[stream.path] = self.run_result.calls.get(stream.path, 0) + 1
            self._send_call(stream, self._now_s, 1)
        self._schedule_arrival(stream, seconds)

    def _send_call(self, stream: Traffic, started_s: float, tries: int) -> None:
        host_name = self._random.choice(list(self.hosts))
        host = self.hosts[host_name]
        request = RequestId(f"{host_name}-{host.request_count + 1}")
        self._calls[request] = (stream, started_s, tries)
        _, effects = host.receive_request(stream.method, stream.path)
        self._apply_effects(host_name, effects)

    def _apply_event(self, host_name: str, event: object) -> None:
        self._apply_effects(host_name, self.hosts[host_name].apply(event))

    def _apply_effects(self, host_name: str, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendToTarget():
                    self._schedule(
                        NETWORK_DELAY_S,
                        lambda e=effect: self._start_attempt(host_name, e),  # type: ignore[misc]
                    )
                case QueueRequest():
                    wait_s = (effect.until - self._clock.monotonic()).total_seconds()
                    self._schedule(
                        wait_s,
                        lambda e=effect: self._expire_queue_wait(host_name, e),  # type: ignore[misc]
                    )
                case DeliverAnswer():
                    self._finish_call(effect.request, effect.answer.status)
                case RefuseRequest():
                    self._handle_refusal(effect)
                case SendPeerMessage():
                    self._send_datagram(host_name, effect)
                case RecordAudit():
                    self._count_false_ejection(effect)

    def _start_attempt(self, host_name: str, effect: SendToTarget) -> None:
        if self._now_s >= self._fault_onset_s:
            sent = self.run_result.sent_after_onset
            sent[effect.target] = sent.get(effect.target, 0) + 1
        target = self._targets[effect.target]
        time_left_s = (effect.deadline - self._clock.monotonic()).total_seconds()
        started_s = self._now_s
        self._schedule(time_left_s, lambda: self._time_out_attempt(host_name, effect, started_s))
        self._schedule_late_event(host_name, effect, started_s)
        fault = self._fault_at(effect.target, self._now_s)
        host_domain = self.hosts[host_name].state.identity.failure_domain
        if fault.only_served_domain is not None and host_domain != fault.only_served_domain:
            return
        if len(target.executing) < target.slots:
            self._execute(host_name, effect, started_s)
        else:
            target.queue.append((host_name, effect))

    def _schedule_late_event(self, host_name: str, effect: SendToTarget, started_s: float) -> None:
        """Raises AttemptLate whenever another `late_after` passes before the attempt ends."""

        def raise_late() -> None:
            request = self.hosts[host_name].state.requests.get(effect.request)
            if request is None or request.target != effect.target:
                return
            now = self._clock.monotonic()
            event = AttemptLate(now, effect.request, effect.target)
            effects = self.hosts[host_name].apply(event)
            if any(isinstance(e, AbortAttempt) for e in effects):
                self._time_out_attempt(host_name, effect, started_s)
            else:
                self._schedule_late_event(host_name, effect, started_s)

        self._schedule(effect.late_after.total_seconds(), raise_late)

    def _execute(self, host_name: str, effect: SendToTarget, started_s: float) -> None:
        key = (host_name, effect.request)
        self._targets[effect.target].executing.add(key)
        fault = self._fault_at(effect.target, self._now_s)
        failed = self._random.random() < fault.error_rate
        work_s = self._draw_work_s() * (0.2 if failed else fault.slowdown)
        cut = self._random.random() < fault.cut_rate
        status = ERROR_STATUS if failed else OK_STATUS
        outcome = AttemptOutcome.CUT if cut else AttemptOutcome.ANSWERED
        self._schedule(
            work_s, lambda: self._finish_execution(host_name, effect, started_s, outcome, status)
        )

    def _draw_work_s(self) -> float:
        work_s = self._median_work_s * math.exp(self._random.gauss(0.0, WORK_TIME_SIGMA))
        if self._now_s >= self._slow_from_s:
            work_s *= self._slow_factor
        if self._heavy_tails and self._random.random() < HEAVY_TAIL_SHARE:
            work_s *= HEAVY_TAIL_FACTOR * self._random.paretovariate(1.5)
        return work_s

    def _finish_execution(
        self,
        host_name: str,
        effect: SendToTarget,
        started_s: float,
        outcome: AttemptOutcome,
        status: int,
    ) -> None:
        if self._release_slot(host_name, effect):
            answer = Answer(status, (), b"") if outcome is AttemptOutcome.ANSWERED else None
            self._report_attempt(host_name, effect, started_s, outcome, answer)

    def _time_out_attempt(self, host_name: str, effect: SendToTarget, started_s: float) -> None:
        request = self.hosts[host_name].state.requests.get(effect.request)
        if request is not None and request.target == effect.target:
            self._release_slot(host_name, effect)
            self._report_attempt(host_name, effect, started_s, AttemptOutcome.TIMED_OUT, None)

    def _release_slot(self, host_name: str, effect: SendToTarget) -> bool:
        """Frees the slot of a request that ended or was cancelled, and starts the next one.

        Returns:
          Whether the request held a slot.
        """
        target = self._targets[effect.target]
        key = (host_name, effect.request)
        target.queue = deque(q for q in target.queue if (q[0], q[1].request) != key)
        if key not in target.executing:
            return False
        target.executing.remove(key)
        if target.queue:
            next_host_name, next_effect = target.queue.popleft()
            self._execute(next_host_name, next_effect, self._now_s)
        return True

    def _report_attempt(
        self,
        host_name: str,
        effect: SendToTarget,
        started_s: float,
        outcome: AttemptOutcome,
        answer: Answer | None,
    ) -> None:
        now = self._clock.monotonic()
        latency = timedelta(seconds=self._now_s - started_s + 2.0 * NETWORK_DELAY_S)
        event = AttemptFinished(now, effect.request, effect.target, outcome, latency, answer)
        if self._baseline is not None:
            state = self.hosts[host_name].state
            record = state.services[self._service].targets[effect.target]
            self._baseline.observe(state.identity.host, record, event)
        self._apply_event(host_name, event)

    def _expire_queue_wait(self, host_name: str, effect: QueueRequest) -> None:
        request = self.hosts[host_name].state.requests.get(effect.request)
        if request is not None and request.target is None:
            self._apply_event(host_name, QueueWaitExpired(self._clock.monotonic(), effect.request))

    def _finish_call(self, request: RequestId, status: int) -> None:
        stream, started_s, _ = self._calls.pop(request)
        counts = self.run_result.answered if status == OK_STATUS else self.run_result.refused
        counts[stream.path] = counts.get(stream.path, 0) + 1
        if status == OK_STATUS:
            self.run_result.latencies_s.append(self._now_s - started_s)

    def _handle_refusal(self, effect: RefuseRequest) -> None:
        stream, started_s, tries = self._calls.pop(effect.request)
        refusal = effect.refusal
        may_retry = stream.method == "GET" or refusal.verdict is Verdict.NOT_RUN
        if may_retry and refusal.retry_after is not None and tries < MAX_TRIES:
            delay_s = refusal.retry_after.total_seconds()
            self._schedule(delay_s, lambda: self._send_call(stream, started_s, tries + 1))
            return
        refused = self.run_result.refused
        refused[stream.path] = refused.get(stream.path, 0) + 1

    def _send_datagram(self, sender: str, effect: SendPeerMessage) -> None:
        receiver = effect.address.partition(":")[0]
        if receiver not in self.hosts or self._random.random() < self._datagram_loss_share:
            return
        source = self.hosts[sender].state.identity.peer_address

        def arrive() -> None:
            now = self._clock.monotonic()
            self._apply_event(receiver, PeerMessageReceived(now, source, effect.message))

        self._schedule(NETWORK_DELAY_S, arrive)

    def _count_false_ejection(self, effect: RecordAudit) -> None:
        entry = effect.entry
        if entry.kind is not AuditKind.EJECTED:
            return
        if self._fault_at(TargetName(entry.subject), self._now_s).is_healthy:
            self.run_result.false_ejections += 1
