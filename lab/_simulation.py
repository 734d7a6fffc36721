"""The hosts that serve one service, scripted targets and callers, on a virtual clock.

The hosts run the daemon's reducer. Targets have slots and a queue; their faults follow a script.
Datagrams between hosts take time and may be lost. There is no platform and no start-up here.
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
NETWORK_S = 0.0005
SPREAD = 0.3
HEAVY_TAIL_SHARE = 0.01
HEAVY_TAIL_FACTOR = 4.0
MAX_TRIES = 8
OK = 200
FAILED = 500


@dataclass(frozen=True, slots=True)
class Fault:
    """What a target does at a time.

    Attributes:
      slow: Factor on the time of work.
      fail: Share of requests answered with an error at once.
      cut: Share of requests whose answer is cut.
      dead_outside: Failure domain whose hosts are served while all others get no answer, or None.
    """

    slow: float = 1.0
    fail: float = 0.0
    cut: float = 0.0
    dead_outside: FailureDomain | None = None

    @property
    def healthy(self) -> bool:
        """Whether this is no fault at all."""
        return self == HEALTHY


HEALTHY = Fault()


@dataclass(slots=True)
class _Target:
    slots: int
    busy: set[tuple[str, RequestId]] = field(default_factory=set)
    queue: deque[tuple[str, SendToTarget]] = field(default_factory=deque)


@dataclass(slots=True)
class Outcome:
    """What a run measured; times in seconds.

    Attributes:
      ejected_at: First time each target was out at all hosts that can see its fault.
      false_ejections: Ejections of targets that were healthy, over all hosts.
      sent: Requests given to each target after the fault began.
      answered: Complete answers by path.
      refused: Final refusals by path.
      calls: Calls by path.
      latencies: Times from first try to answer, by path.
    """

    ejected_at: dict[TargetName, float] = field(default_factory=dict)
    false_ejections: int = 0
    sent: dict[TargetName, int] = field(default_factory=dict)
    answered: dict[str, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)
    latencies: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Traffic:
    """Requests of one kind: rate at a time, method and path."""

    method: str
    path: str
    rate: Callable[[float], float]
    peak: float


class PolicyBench:
    """One run."""

    def __init__(
        self,
        objects: ObjectSet,
        service: str,
        seed: int,
        work_s: float,
        script: Callable[[TargetName, float], Fault],
        baseline: Baseline | None = None,
        fault_from_s: float = 0.0,
        noisy: bool = False,
        domains: tuple[str, ...] = ("a", "b"),
        evidence_loss: float = 0.0,
        observers: frozenset[str] = frozenset({"a", "b"}),
    ) -> None:
        """Starts as many hosts as the service has entry hosts."""
        self._random = Random(seed)
        self._clock = ManualClock()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._now = 0.0
        self._work_s = work_s
        self._script = script
        self._baseline = baseline
        self._fault_from_s = fault_from_s
        self._noisy = noisy
        self._loss = evidence_loss
        self._observers = observers
        self._slow_from_s, self._slow_factor = math.inf, 1.0
        self._service = ServiceName(service)
        self.outcome = Outcome()
        config = build_config_fetched(self._clock, objects)
        self.hosts: dict[str, HostHarness] = {}
        for number in range(objects.service[service].entry_hosts):
            identity = build_identity(f"h{number}", number + 1, domains[number % len(domains)])
            self.hosts[f"h{number}"] = HostHarness(None, identity, self._clock, seed + number)
        for bench in self.hosts.values():
            bench.apply(config)
        self._introduce()
        group = objects.upstream_group[objects.service[service].upstream_group]
        self._targets = {TargetName(t.name): _Target(group.slots) for t in group.targets}
        self._domain = {TargetName(t.name): t.failure_domain for t in group.targets}
        self._calls: dict[RequestId, tuple[Traffic, float, int]] = {}
        self._first = next(iter(self.hosts.values()))

    def slow_all(self, from_s: float, factor: float) -> None:
        """Slows all targets from a time on."""
        self._slow_from_s, self._slow_factor = from_s, factor

    def run(self, seconds: float, traffic: tuple[Traffic, ...]) -> Outcome:
        """Lets time pass and returns what was measured."""
        for kind in traffic:
            self._arrive_next(kind, seconds)
        for name in self.hosts:
            self._tick(name, seconds)
        while self._heap:
            at, _, action = heapq.heappop(self._heap)
            if at > seconds:
                break
            self._clock.advance(timedelta(seconds=at - self._now))
            self._now = at
            action()
        return self.outcome

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self._now + delay, self._count, action))

    def _introduce(self) -> None:
        for name, bench in self.hosts.items():
            for other, receiver in self.hosts.items():
                if other != name:
                    view = bench.state.membership
                    view.sequence += 1
                    message = PeerMessage(
                        MessageKind.NOTICE,
                        view.me,
                        view.sequence,
                        0,
                        HostId(""),
                        False,
                        view.config,
                    )
                    now = self._clock.monotonic()
                    receiver.apply(PeerMessageReceived(now, view.me.peer_address, message))

    def _tick(self, name: str, seconds: float) -> None:
        if self._baseline is not None:
            self._baseline.end_interval(self._clock.monotonic())
        self._apply(name, Ticked(self._clock.monotonic(), self._clock.wall()))
        self._note_ejected()
        self._at(TICK_S, lambda: self._tick(name, seconds))

    def _note_ejected(self) -> None:
        services = [
            bench.state.services[self._service]
            for bench in self.hosts.values()
            if bench.state.identity.failure_domain in self._observers
        ]
        for target in self._targets:
            out = all(s.targets[target].state is TargetState.EJECTED for s in services)
            if out and self._now >= self._fault_from_s:
                self.outcome.ejected_at.setdefault(target, self._now)

    def _arrive_next(self, kind: Traffic, seconds: float) -> None:
        delay = self._random.expovariate(kind.peak)
        if self._now + delay < seconds:
            self._at(delay, lambda: self._arrive(kind, seconds))

    def _arrive(self, kind: Traffic, seconds: float) -> None:
        if self._random.random() < kind.rate(self._now) / kind.peak:
            self.outcome.calls[kind.path] = self.outcome.calls.get(kind.path, 0) + 1
            self._call(kind, self._now, 1)
        self._arrive_next(kind, seconds)

    def _call(self, kind: Traffic, started: float, tries: int) -> None:
        name = self._random.choice(list(self.hosts))
        bench = self.hosts[name]
        request = RequestId(f"{name}-{bench.request_count + 1}")
        self._calls[request] = (kind, started, tries)
        _, effects = bench.receive_request(kind.method, kind.path)
        self._take(name, effects)

    def _apply(self, name: str, event: object) -> None:
        self._take(name, self.hosts[name].apply(event))

    def _take(self, name: str, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendToTarget():
                    self._at(NETWORK_S, lambda e=effect: self._reach(name, e))  # type: ignore[misc]
                case QueueRequest():
                    wait = (effect.until - self._clock.monotonic()).total_seconds()
                    self._at(wait, lambda e=effect: self._give_up(name, e))  # type: ignore[misc]
                case DeliverAnswer():
                    self._end(effect.request, effect.answer.status)
                case RefuseRequest():
                    self._refuse(effect)
                case SendPeerMessage():
                    self._carry(name, effect)
                case RecordAudit():
                    self._note_audit(effect)

    def _reach(self, name: str, effect: SendToTarget) -> None:
        if self._now >= self._fault_from_s:
            sent = self.outcome.sent
            sent[effect.target] = sent.get(effect.target, 0) + 1
        target = self._targets[effect.target]
        left = (effect.deadline - self._clock.monotonic()).total_seconds()
        started = self._now
        self._at(left, lambda: self._time_out(name, effect, started))
        self._watch(name, effect, started)
        fault = self._script(effect.target, self._now)
        home = self.hosts[name].state.identity.failure_domain
        if fault.dead_outside is not None and home != fault.dead_outside:
            return
        if len(target.busy) < target.slots:
            self._work(name, effect, started)
        else:
            target.queue.append((name, effect))

    def _watch(self, name: str, effect: SendToTarget, started: float) -> None:
        """Raises AttemptLate each time that the attempt's `late_after` has passed."""

        def late() -> None:
            held = self.hosts[name].state.requests.get(effect.request)
            if held is None or held.target != effect.target:
                return
            now = self._clock.monotonic()
            event = AttemptLate(now, effect.request, effect.target)
            effects = self.hosts[name].apply(event)
            if any(isinstance(e, AbortAttempt) for e in effects):
                self._time_out(name, effect, started)
            else:
                self._watch(name, effect, started)

        self._at(effect.late_after.total_seconds(), late)

    def _work(self, name: str, effect: SendToTarget, started: float) -> None:
        key = (name, effect.request)
        self._targets[effect.target].busy.add(key)
        fault = self._script(effect.target, self._now)
        failed = self._random.random() < fault.fail
        took = self._draw_work() * (0.2 if failed else fault.slow)
        cut = self._random.random() < fault.cut
        status = FAILED if failed else OK
        outcome = AttemptOutcome.CUT if cut else AttemptOutcome.ANSWERED
        self._at(took, lambda: self._finish(name, effect, started, outcome, status))

    def _draw_work(self) -> float:
        took = self._work_s * math.exp(self._random.gauss(0.0, SPREAD))
        if self._now >= self._slow_from_s:
            took *= self._slow_factor
        if self._noisy and self._random.random() < HEAVY_TAIL_SHARE:
            took *= HEAVY_TAIL_FACTOR * self._random.paretovariate(1.5)
        return took

    def _finish(
        self,
        name: str,
        effect: SendToTarget,
        started: float,
        outcome: AttemptOutcome,
        status: int,
    ) -> None:
        if self._leave(name, effect):
            answer = Answer(status, (), b"") if outcome is AttemptOutcome.ANSWERED else None
            self._report(name, effect, started, outcome, answer)

    def _time_out(self, name: str, effect: SendToTarget, started: float) -> None:
        held = self.hosts[name].state.requests.get(effect.request)
        if held is not None and held.target == effect.target:
            self._leave(name, effect)
            self._report(name, effect, started, AttemptOutcome.TIMED_OUT, None)

    def _leave(self, name: str, effect: SendToTarget) -> bool:
        """Frees the slot of a request that ended or was cancelled."""
        target = self._targets[effect.target]
        key = (name, effect.request)
        target.queue = deque(q for q in target.queue if (q[0], q[1].request) != key)
        if key not in target.busy:
            return False
        target.busy.remove(key)
        if target.queue:
            next_name, next_effect = target.queue.popleft()
            self._work(next_name, next_effect, self._now)
        return True

    def _report(
        self,
        name: str,
        effect: SendToTarget,
        started: float,
        outcome: AttemptOutcome,
        answer: Answer | None,
    ) -> None:
        now = self._clock.monotonic()
        latency = timedelta(seconds=self._now - started + 2.0 * NETWORK_S)
        event = AttemptFinished(now, effect.request, effect.target, outcome, latency, answer)
        if self._baseline is not None:
            state = self.hosts[name].state
            record = state.services[self._service].targets[effect.target]
            self._baseline.observe(state.identity.host, record, event)
        self._apply(name, event)

    def _give_up(self, name: str, effect: QueueRequest) -> None:
        held = self.hosts[name].state.requests.get(effect.request)
        if held is not None and held.target is None:
            self._apply(name, QueueWaitExpired(self._clock.monotonic(), effect.request))

    def _end(self, request: RequestId, status: int) -> None:
        kind, started, _ = self._calls.pop(request)
        book = self.outcome.answered if status == OK else self.outcome.refused
        book[kind.path] = book.get(kind.path, 0) + 1
        if status == OK:
            self.outcome.latencies.append(self._now - started)

    def _refuse(self, effect: RefuseRequest) -> None:
        kind, started, tries = self._calls.pop(effect.request)
        refusal = effect.refusal
        again = kind.method == "GET" or refusal.verdict is Verdict.NOT_RUN
        if again and refusal.retry_after is not None and tries < MAX_TRIES:
            delay = refusal.retry_after.total_seconds()
            self._at(delay, lambda: self._call(kind, started, tries + 1))
            return
        refused = self.outcome.refused
        refused[kind.path] = refused.get(kind.path, 0) + 1

    def _carry(self, sender: str, effect: SendPeerMessage) -> None:
        receiver = effect.address.partition(":")[0]
        if receiver not in self.hosts or self._random.random() < self._loss:
            return
        source = self.hosts[sender].state.identity.peer_address

        def arrive() -> None:
            now = self._clock.monotonic()
            self._apply(receiver, PeerMessageReceived(now, source, effect.message))

        self._at(NETWORK_S, arrive)

    def _note_audit(self, effect: RecordAudit) -> None:
        entry = effect.entry
        if entry.kind is not AuditKind.EJECTED:
            return
        if self._script(TargetName(entry.subject), self._now).healthy:
            self.outcome.false_ejections += 1
