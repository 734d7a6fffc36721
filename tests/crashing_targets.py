"""A simulated fleet whose targets end when they run certain requests, driven by a virtual clock.

Targets may also state a limit on their requests. Each host has a monotonic clock of its own, since
real hosts have. Datagrams take 1 ms unless a test changes that. Attempts are never reported late,
so that no host aborts one.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from enum import Enum
from functools import partial
from typing import TypeAlias

from endivedrift.core import (
    NO_RATE_LIMIT,
    AttemptOutcome,
    ForwardOutcome,
    HostId,
    Instant,
    ManualClock,
    MessageKind,
    PeerMessage,
    Refusal,
    RequestId,
    ServiceName,
    TargetName,
    Verdict,
)
from endivedrift.core.effects import (
    DeliverAnswer,
    Effect,
    ForwardToPeer,
    QueueRequest,
    RefuseRequest,
    SendToTarget,
)
from endivedrift.core.events import (
    AttemptFinished,
    ForwardFinished,
    PeerMessageReceived,
    QueueWaitExpired,
    TargetsObserved,
    Ticked,
)
from endivedrift.objects import ObjectSet
from endivedrift.reducer import list_primaries
from tests.builders import (
    READ_PATH,
    SERVICE,
    WRITE_PATH,
    HostHarness,
    build_answer,
    build_discovered_set,
    build_target_entry,
    name_target,
)
from tests.network import Network

DOMAINS = 3
SLOTS = 2
TICK = timedelta(milliseconds=100)
LARGE_FLEET = 100
LARGE_FLEET_TICK = timedelta(milliseconds=200)
"""Time between the ticks of a host in a fleet larger than that, to save processor time."""
DATAGRAM_DELAY = timedelta(milliseconds=1)
FAST_FAILURE = timedelta(milliseconds=1)
"""Time in which a refused connection, a refusal, or the end of a target's process is noticed."""
CRASH_AFTER = timedelta(milliseconds=60)
RESTART_AFTER = timedelta(seconds=2)
ANSWER_AFTER_S = (0.15, 0.4)
WRITE_DEADLINE_MS = 8_000
MAX_CLOCK_OFFSET_S = 10_000.0
QUARANTINED = "quarantined"


class Action(Enum):
    """What a target does with a request."""

    ANSWER = "answer"
    CUT = "cut"
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class Behaviour:
    """What targets do with the requests of a digest.

    Attributes:
      action: What they do.
      after: Time after which they do it, or None for the usual time.
      status: Status of an answer.
    """

    action: Action
    after: timedelta | None = None
    status: int = 200


ANSWERED = Behaviour(Action.ANSWER)
DEADLY = Behaviour(Action.CRASH, CRASH_AFTER)
CUTTING = Behaviour(Action.CUT, CRASH_AFTER)


@dataclass(slots=True)
class SentRequest:
    """A request of a caller and its result.

    Attributes:
      host: The host at which it arrived.
      digest: Its content.
      arrived: When it arrived.
      ended: When it was answered or refused, or None.
      status: Status of the answer, or 0.
      refusal: Why it got no answer, or None.
      cut_count: Number of its attempts that a target cut off.
      write: Whether it must not be repeated.
      forwarded: The request of a caller that another host forwarded as this one, or None.
    """

    host: str
    digest: bytes
    arrived: timedelta
    ended: timedelta | None = None
    status: int = 0
    refusal: Refusal | None = None
    cut_count: int = 0
    write: bool = False
    forwarded: "SentRequest | None" = None

    @property
    def is_quarantined(self) -> bool:
        """Whether it was refused as quarantined."""
        return self.refusal is not None and self.refusal.reason.value == QUARANTINED

    @property
    def is_quarantined_at_once(self) -> bool:
        """Whether it was refused as quarantined on arrival, not run, with a time for a retry."""
        return (
            self.is_quarantined
            and self.refusal is not None
            and self.refusal.attempt_verdict is Verdict.NOT_RUN
            and self.refusal.retry_after is not None
            and self.ended == self.arrived
        )


@dataclass(frozen=True, slots=True)
class Run:
    """An attempt that reached a running target; `new_connection` tells whether it opened one."""

    at: timedelta
    sent: SentRequest
    harness: HostHarness
    request: RequestId
    target: TargetName
    new_connection: bool = True


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """The end of the process of a target, with the digests of the requests that it was running."""

    at: timedelta
    target: TargetName
    digests: frozenset[bytes]


@dataclass(slots=True)
class SimulatedTarget:
    """A target with two slots.

    Attributes:
      number: Its number.
      born: Identifies its process.
      is_up: Whether its process runs.
      rate_limit: Requests a second that its answers state it takes from all hosts together.
      running: Requests that it is running.
    """

    number: int
    born: int = 1
    is_up: bool = True
    rate_limit: float = NO_RATE_LIMIT
    running: list[Run] = field(default_factory=list)


def build_crash_set(entry_hosts: int = 2) -> ObjectSet:
    """Builds an object set whose requests have up to three attempts, or a long deadline."""
    objects = build_discovered_set(max_attempts=3)
    wait = WRITE_DEADLINE_MS - 1
    write = replace(objects.route["write"], deadline_ms=WRITE_DEADLINE_MS, queue_wait_ms=wait)
    service = replace(objects.service[SERVICE], entry_hosts=entry_hosts)
    routes = {**objects.route, "write": write}
    return replace(objects, service={SERVICE: service}, route=routes)


class HostClock(ManualClock):
    """The clock of a host: one that the whole fleet shares, with an offset."""

    def __init__(self, shared: ManualClock, offset: timedelta) -> None:
        super().__init__()
        self.shared = shared
        self.offset = offset

    def monotonic(self) -> Instant:
        """Returns the time of the shared clock with this host's offset."""
        return self.shared.monotonic() + self.offset

    def wall(self) -> datetime:
        """Returns the date and time in UTC."""
        return self.shared.wall()


Callback: TypeAlias = Callable[[], object]


class CrashingFleet(Network):
    """Hosts that share simulated targets, of which some requests end the process.

    Attributes:
      behaviours: What targets do with the requests of a digest, if they don't answer them.
      targets: The targets by name.
      sent: All requests that arrived.
      runs: All attempts that reached a running target.
      ends: All ends of a target's process.
      forwards: When a request was forwarded, from which host and to which.
      traffic: The source of randomness for requests and targets.
      tick: Time between two ticks of a host.
      datagram_delay: Time that a datagram takes.
      answer_after_s: Bounds of the time that a target works on a request.
    """

    answer_after_s = ANSWER_AFTER_S

    def __init__(
        self, count: int, targets: int, seed: int = 1, objects: ObjectSet | None = None
    ) -> None:
        """Starts hosts and targets; all hosts know each other and all targets after 2.5 s.

        Args:
          count: The number of hosts.
          targets: The number of targets.
          seed: The seed of requests, answers, losses and clocks.
          objects: The object set in force, or None for a default one.
        """
        self.traffic = random.Random(seed)
        self.behaviours: dict[bytes, Behaviour] = {}
        self.targets = {name_target(n): SimulatedTarget(n) for n in range(targets)}
        self.sent: list[SentRequest] = []
        self.runs: list[Run] = []
        self.ends: list[TargetEnd] = []
        self.forwards: list[tuple[timedelta, str, str]] = []
        self._open: dict[tuple[str, RequestId], SentRequest] = {}
        self._origins: dict[tuple[str, RequestId], tuple[str, RequestId]] = {}
        self._queued: dict[tuple[str, RequestId], Instant] = {}
        self._agenda: list[tuple[timedelta, int, Callback]] = []
        self._agenda_count = 0
        self.datagram_delay = DATAGRAM_DELAY
        self.tick = TICK if count <= LARGE_FLEET else LARGE_FLEET_TICK
        super().__init__(count, DOMAINS, objects or build_crash_set())
        self.rng = random.Random(seed)
        self.run(1.0)
        self._introduce_all()
        self.run(1.5)

    @property
    def now(self) -> timedelta:
        """Time of the simulation."""
        return self.clock.monotonic()

    def schedule(self, delay: timedelta, callback: Callback) -> None:
        """Calls a function after a time; of several at the same time the first scheduled first."""
        self._agenda_count += 1
        heapq.heappush(self._agenda, (self.now + delay, self._agenda_count, callback))

    def run(self, seconds: float) -> None:
        """Advances the clock from one event to the next; every host ticks ten times a second."""
        end = self.now + timedelta(seconds=seconds)
        while self._agenda and self._agenda[0][0] <= end:
            at, _, callback = heapq.heappop(self._agenda)
            self.clock.advance(at - self.now)
            callback()
        self.clock.advance(end - self.now)

    def start_host(self, name: str) -> None:
        """Starts a host, or restarts it with a new incarnation, and tells it all targets."""
        for key in [key for key in self._open if key[0] == name]:
            del self._open[key]
            if key in self._origins:
                origin = self._origins.pop(key)
                self.schedule(DATAGRAM_DELAY, partial(self._break_forward, origin, connected=True))
        shared = self.clock
        offset = timedelta(seconds=self.traffic.uniform(0.0, MAX_CLOCK_OFFSET_S))
        self.clock = HostClock(shared, offset)
        super().start_host(name)
        self.clock = shared
        harness = self.hosts[name]
        entries = tuple(build_target_entry(t.number, born=t.born) for t in self.targets.values())
        now = harness.clock.monotonic()
        self.handle_effects(name, harness.apply(TargetsObserved(now, entries, (), True)))
        self.schedule(self.tick * self.traffic.random(), partial(self._tick, name, harness))

    def _tick(self, name: str, harness: HostHarness) -> None:
        if self.hosts[name] is not harness:
            return
        self.schedule(self.tick, partial(self._tick, name, harness))
        if name not in self.stopped:
            clock = harness.clock
            self.handle_effects(name, harness.apply(Ticked(clock.monotonic(), clock.wall())))

    def _introduce_all(self) -> None:
        """Makes all hosts known to each other, as in a fleet that has run for minutes."""
        members = [harness.state.membership.me for harness in self.hosts.values()]
        for harness in self.hosts.values():
            view = harness.state.membership
            known = {view.me.host, *view.records}
            unknown = tuple(member for member in members if member.host not in known)
            if unknown:
                message = PeerMessage(
                    MessageKind.NOTICE,
                    unknown[0],
                    1,
                    0,
                    HostId(""),
                    False,
                    harness.state.config,
                    unknown,
                )
                now = harness.clock.monotonic()
                harness.apply(PeerMessageReceived(now, unknown[0].peer_address, message))
            view.remaining_transmissions.clear()

    def deliver(self, sender: str, receiver: str, message: PeerMessage) -> None:
        """Delivers a datagram a little later unless the network drops it."""
        if receiver in self.hosts and self.is_delivered(sender, receiver):
            self.schedule(self.datagram_delay, partial(self._receive, sender, receiver, message))

    def _receive(self, sender: str, receiver: str, message: PeerMessage) -> None:
        if receiver in self.stopped:
            return
        harness = self.hosts[receiver]
        address = self.hosts[sender].state.identity.peer_address
        event = PeerMessageReceived(harness.clock.monotonic(), address, message)
        self.handle_effects(receiver, harness.apply(event))

    def send(self, digest: bytes, host: str | None = None, write: bool = False) -> SentRequest:
        """Sends a request.

        Args:
          digest: Its content.
          host: Its host, or None for any; half of those requests arrive at the service's primaries.
          write: Whether the request must not be repeated, so that it gets a single attempt.
        Returns:
          The request, whose result is set when it ends.
        """
        name = host or self._choose_host()
        sent = SentRequest(name, digest, self.now, write=write)
        self.sent.append(sent)
        harness = self.hosts[name]
        request = RequestId(f"{harness.state.identity.host}-{harness.request_count + 1}")
        self._open[name, request] = sent
        method, path = ("POST", WRITE_PATH) if write else ("GET", READ_PATH)
        self.handle_effects(name, harness.receive_request(method, path, digest=digest)[1])
        return sent

    def _choose_host(self) -> str:
        if self.traffic.random() < 0.5:
            primaries = list_primaries(self.hosts["h0"].state, ServiceName(SERVICE))
            return str(self.traffic.choice(primaries).host)
        return self.traffic.choice(list(self.hosts))

    def handle_effects(self, sender: str, effects: list[Effect]) -> None:
        """Carries out the effects that a host returned."""
        super().handle_effects(sender, effects)
        for effect in effects:
            if isinstance(effect, SendToTarget):
                self._start_attempt(sender, effect)
            elif isinstance(effect, QueueRequest):
                self._queued[sender, effect.request] = effect.until
                delay = effect.until - self.hosts[sender].clock.monotonic()
                self.schedule(delay, partial(self._expire, sender, effect))
            elif isinstance(effect, DeliverAnswer | RefuseRequest):
                self._end_request(sender, effect)
            elif isinstance(effect, ForwardToPeer):
                self._queued.pop((sender, effect.request), None)
                self.forwards.append((self.now, sender, str(effect.peer)))
                self.schedule(self.datagram_delay, partial(self._forward, sender, effect))

    def _end_request(self, host: str, effect: DeliverAnswer | RefuseRequest) -> None:
        sent = self._open.pop((host, effect.request))
        sent.ended = self.now
        if isinstance(effect, DeliverAnswer):
            sent.status = effect.answer.status
        else:
            sent.refusal = effect.refusal
        origin = self._origins.pop((host, effect.request), None)
        if origin is not None:
            self.schedule(self.datagram_delay, partial(self._reply, origin, effect))

    def _forward(self, sender: str, effect: ForwardToPeer) -> None:
        """Lets a request arrive at the host to which it is forwarded, unless that is stopped."""
        sent = self._open.get((sender, effect.request))
        if sent is None:
            return
        peer, harness = str(effect.peer), self.hosts[effect.peer]
        if peer in self.stopped:
            self._break_forward((sender, effect.request), connected=False)
            return
        request = RequestId(f"{harness.state.identity.host}-{harness.request_count + 1}")
        copy = SentRequest(peer, sent.digest, self.now, write=sent.write, forwarded=sent)
        self._open[peer, request] = copy
        self._origins[peer, request] = (sender, effect.request)
        left = effect.deadline - self.hosts[sender].clock.monotonic()
        method, path = ("POST", WRITE_PATH) if sent.write else ("GET", READ_PATH)
        effects = harness.receive_request(
            method,
            path,
            digest=sent.digest,
            caller_timeout=left.total_seconds(),
            for_peer=True,
            earlier_attempts=effect.earlier_attempts,
            config_version=effect.config_version,
            takes_retry=effect.takes_retry,
        )[1]
        self.handle_effects(peer, effects)

    def _break_forward(self, origin: tuple[str, RequestId], connected: bool) -> None:
        """Tells a host that another one did not reply."""
        if origin in self._open:
            host, request = origin
            now = self.hosts[host].clock.monotonic()
            event = ForwardFinished(now, request, ForwardOutcome.BROKEN, connected=connected)
            self.handle_effects(host, self.hosts[host].apply(event))

    def _reply(self, origin: tuple[str, RequestId], effect: DeliverAnswer | RefuseRequest) -> None:
        """Delivers the reply of the host to which a request was forwarded."""
        host, request = origin
        harness = self.hosts[host]
        now = harness.clock.monotonic()
        if isinstance(effect, DeliverAnswer):
            event = ForwardFinished(now, request, ForwardOutcome.ANSWERED, answer=effect.answer)
        else:
            event = ForwardFinished(now, request, ForwardOutcome.REFUSED, refusal=effect.refusal)
        self.handle_effects(host, harness.apply(event))

    def _expire(self, host: str, effect: QueueRequest) -> None:
        if self._queued.get((host, effect.request)) != effect.until:
            return
        del self._queued[host, effect.request]
        if (host, effect.request) in self._open:
            harness = self.hosts[host]
            event = QueueWaitExpired(harness.clock.monotonic(), effect.request)
            self.handle_effects(host, harness.apply(event))

    def _start_attempt(self, host: str, effect: SendToTarget) -> None:
        self._queued.pop((host, effect.request), None)
        harness = self.hosts[host]
        target = self.targets[effect.target]
        sent = self._open[host, effect.request]
        is_new = self.opens_connection(host, effect)
        run = Run(self.now, sent, harness, effect.request, effect.target, is_new)
        if not target.is_up or len(target.running) >= SLOTS:
            outcome = AttemptOutcome.SHED if target.is_up else AttemptOutcome.NOT_CONNECTED
            self.schedule(FAST_FAILURE, partial(self._report, run, outcome))
            return
        self.runs.append(run)
        target.running.append(run)
        behaviour = self.behaviours.get(sent.digest, ANSWERED)
        usual = timedelta(seconds=self.traffic.uniform(*self.answer_after_s))
        due = behaviour.after if behaviour.after is not None else usual
        left = effect.deadline - harness.clock.monotonic()
        if left < due:
            self.schedule(left, partial(self._finish, target, run, AttemptOutcome.TIMED_OUT))
        elif behaviour.action is Action.CRASH:
            self.schedule(due, partial(self._crash, target, run))
        elif behaviour.action is Action.CUT:
            self.schedule(due, partial(self._finish, target, run, AttemptOutcome.CUT))
        else:
            finish = partial(self._finish, target, run, AttemptOutcome.ANSWERED, behaviour.status)
            self.schedule(due, finish)

    def opens_connection(self, host: str, effect: SendToTarget) -> bool:
        """Tells whether an attempt opens a connection: here, each does."""
        return True

    def _crash(self, target: SimulatedTarget, run: Run) -> None:
        if run in target.running:
            self.end_target(name_target(target.number))

    def end_target(self, name: TargetName) -> None:
        """Ends the process of a target, which cuts off all its requests, and restarts it later."""
        target = self.targets[name]
        target.is_up = False
        cut, target.running = target.running, []
        self.ends.append(TargetEnd(self.now, name, frozenset(run.sent.digest for run in cut)))
        for run in cut:
            report = partial(self._report, run, AttemptOutcome.CUT, target_ended=True)
            self.schedule(FAST_FAILURE, report)
        self.schedule(RESTART_AFTER, partial(self._restart_target, target))

    def _restart_target(self, target: SimulatedTarget) -> None:
        target.is_up = True
        target.born = max(target.born + 1, round(self.now / timedelta(milliseconds=1)))
        entry = build_target_entry(target.number, born=target.born)
        for name, harness in self.hosts.items():
            if name not in self.stopped:
                event = TargetsObserved(harness.clock.monotonic(), (entry,))
                self.handle_effects(name, harness.apply(event))

    def _finish(
        self, target: SimulatedTarget, run: Run, outcome: AttemptOutcome, status: int = 0
    ) -> None:
        if run in target.running:
            target.running.remove(run)
            self._report(run, outcome, status)

    def _report(
        self, run: Run, outcome: AttemptOutcome, status: int = 0, target_ended: bool = False
    ) -> None:
        """Reports the end of an attempt to its host, unless that has been restarted since."""
        host = run.sent.host
        if self.hosts[host] is not run.harness:
            return
        for sent in filter(None, (run.sent, run.sent.forwarded)):
            sent.cut_count += outcome is AttemptOutcome.CUT
        is_from_target = outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.SHED)
        event = AttemptFinished(
            run.harness.clock.monotonic(),
            run.request,
            run.target,
            outcome,
            self.now - run.at,
            build_answer(status) if outcome is AttemptOutcome.ANSWERED else None,
            target_ended=target_ended,
            rate_limit=self.targets[run.target].rate_limit if is_from_target else None,
            new_connection=run.new_connection and outcome is not AttemptOutcome.NOT_CONNECTED,
        )
        self.handle_effects(host, run.harness.apply(event))

    def send_deadly(self, digest: bytes, seconds: float, first_after: float = 0.0) -> None:
        """Schedules arrivals of a request that ends targets, twice a second at random hosts.

        Every third time it arrives at four hosts at the same moment, as a caller's retries may.

        Args:
          digest: Its content.
          seconds: For how long it arrives.
          first_after: Seconds until it arrives for the first time.
        """
        self.behaviours[digest] = DEADLY
        for number in range(round(2 * seconds)):
            delay = timedelta(seconds=first_after + (number + self.traffic.random()) / 2)
            for _ in range(4 if number % 3 == 2 else 1):
                self.schedule(delay, partial(self.send, digest))

    def send_innocent(
        self, per_s: float, seconds: float, popular: tuple[bytes, ...] = (), share: float = 0.5
    ) -> None:
        """Schedules requests at a steady rate at random hosts, which targets answer.

        Args:
          per_s: The rate.
          seconds: For how long they arrive.
          popular: Digests that a share of the requests have; all others have one of their own.
          share: That share.
        """
        for number in range(round(per_s * seconds)):
            digest = b"unique %d %d" % (self._agenda_count, number)
            if popular and self.traffic.random() < share:
                digest = self.traffic.choice(popular)
            self.schedule(timedelta(seconds=number / per_s), partial(self.send, digest))

    def send_steadily(
        self, per_s: float, seconds: float, host: str | None = None, write: bool = True
    ) -> None:
        """Schedules requests of different content at a steady rate.

        Args:
          per_s: The rate.
          seconds: For how long they arrive.
          host: The host at which they arrive, or None for any.
          write: Whether they must not be repeated.
        """
        for number in range(round(per_s * seconds)):
            digest = b"steady %d %d" % (self._agenda_count, number)
            send = partial(self.send, digest, host, write)
            self.schedule(timedelta(seconds=number / per_s), send)

    def list_ends(self, digest: bytes) -> list[timedelta]:
        """Returns when processes ended that were running a request of a digest."""
        return [end.at for end in self.ends if digest in end.digests]

    def get_third_end(self, digest: bytes) -> timedelta | None:
        """Returns when the third process ended that was running a request, or None before."""
        ends = self.list_ends(digest)
        return ends[2] if len(ends) > 2 else None

    def list_quarantined(self) -> list[SentRequest]:
        """Returns the requests that were refused as quarantined."""
        return [sent for sent in self.sent if sent.is_quarantined]
