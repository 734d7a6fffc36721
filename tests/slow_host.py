"""One host on a slow processor: an event loop whose work takes time on a manual clock.

Each turn of the loop polls first: it reads what has arrived in sockets, and finds the timers that
are due. It then does the work that this has made ready, and what arrives meanwhile waits for the
next turn. A request is read in one turn and handled in the next, like its answer.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count

from endivedrift.core import (
    AttemptOutcome,
    Importance,
    Instant,
    RequestHead,
    RequestId,
)
from endivedrift.core.effects import (
    DeliverAnswer,
    Effect,
    QueueRequest,
    RefuseRequest,
    SendToTarget,
)
from endivedrift.core.events import (
    AttemptFinished,
    QueueWaitExpired,
    RequestArrived,
    TargetsObserved,
    Ticked,
)
from endivedrift.objects import ObjectSet
from endivedrift.policy import TICK_PERIOD
from tests.builders import HostHarness, build_answer, build_config_fetched, build_target_entry

READ_COST = timedelta(milliseconds=2)
REFUSE_COST = timedelta(milliseconds=1)
SEND_COST = timedelta(milliseconds=4)
ANSWER_COST = timedelta(milliseconds=4)
TICK_COST = timedelta(microseconds=200)
INSTALL_COST = timedelta(milliseconds=20)
FETCH_TURNS = 4
SERVE_COST = READ_COST + SEND_COST + ANSWER_COST
"""Processor time of a request that is served."""


@dataclass(slots=True)
class SentRequest:
    """A request of a caller.

    Attributes:
      sent_at: When it was sent; it is in the host's socket at once.
      importance: The importance of its route.
      timeout: The time limit of its route.
      ended_at: When its answer was sent, or None.
      refusal: Reason of its refusal, or None if a target's answer was delivered.
    """

    sent_at: Instant
    path: str
    importance: Importance
    timeout: timedelta
    ended_at: Instant | None = None
    refusal: str | None = None

    def is_served(self) -> bool:
        """Tells whether a target's answer was delivered within the route's time limit."""
        in_time = self.ended_at is not None and self.ended_at - self.sent_at <= self.timeout
        return in_time and self.refusal is None

    def is_open(self, after: timedelta) -> bool:
        """Tells whether it has no answer yet when `after` has passed since it was sent."""
        return self.ended_at is None or self.ended_at - self.sent_at > after


@dataclass(slots=True)
class SlowHost:
    """A host with targets that have room for all requests and answer after `work`.

    Attributes:
      requests: All requests that were sent, in order.
      installed_after: Time from the publication of the latest object set until it was in force.
    """

    objects: ObjectSet
    targets: int
    work: timedelta = timedelta(milliseconds=100)
    installed_after: timedelta | None = None
    requests: list[SentRequest] = field(default_factory=list)
    harness: HostHarness = field(init=False)
    _by_id: dict[RequestId, SentRequest] = field(default_factory=dict)
    _socket: deque[SentRequest] = field(default_factory=deque)
    _ready: deque[Callable[[], None]] = field(default_factory=deque)
    _timers: list[tuple[Instant, int, Callable[[], None]]] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=count)

    def __post_init__(self) -> None:
        self.harness = HostHarness(self.objects)
        entries = tuple(build_target_entry(number) for number in range(self.targets))
        observed = TargetsObserved(self._now(), entries, complete=True, version=1)
        self.harness.apply(observed)
        self._schedule_tick()

    def run(self, seconds: float, interval_s: float, routes: tuple[str, ...]) -> None:
        """Lets callers send a request to each of the routes in turn, one in each interval."""
        end = self._now() + timedelta(seconds=seconds)
        next_at = self._now()
        numbers = count()
        while self._now() < end:
            while next_at <= self._now() and next_at < end:
                self._send(next_at, routes[next(numbers) % len(routes)])
                next_at += timedelta(seconds=interval_s)
            if not self._turn():
                due = [timer[0] for timer in self._timers[:1]]
                self._wait_until(min([next_at, end, *due]))

    def publish(self, objects: ObjectSet, version: int) -> None:
        """Lets a new object set arrive as at a host that fetches it from another one.

        The turns are those of the announcement, the connection, its nonce, the reply, and the
        installation; the other host replies at once.
        """
        sent_at = self._now()

        def install() -> None:
            self._spend(INSTALL_COST)
            fetched = build_config_fetched(self.harness.clock, objects, version)
            self._perform(self.harness.apply(fetched))
            self.installed_after = self._now() - sent_at

        def go_on(turns_left: int) -> None:
            self._spend(READ_COST)
            following = (lambda: go_on(turns_left - 1)) if turns_left else install
            self._ready.append(following)

        self._at(sent_at, lambda: go_on(FETCH_TURNS - 1))

    def pause(self, seconds: float, interval_s: float, routes: tuple[str, ...]) -> None:
        """Stops the process for a while; requests that are sent meanwhile wait in its socket."""
        start = self._now()
        self.harness.clock.advance(timedelta(seconds=seconds))
        for number in range(int(seconds / interval_s)):
            at = start + timedelta(seconds=interval_s * number)
            self._send(at, routes[number % len(routes)])

    def _now(self) -> Instant:
        return self.harness.clock.monotonic()

    def _wait_until(self, at: Instant) -> None:
        if at > self._now():
            self.harness.clock.advance(at - self._now())

    def _spend(self, cost: timedelta) -> None:
        self.harness.clock.advance(cost)

    def _send(self, at: Instant, name: str) -> None:
        route = self.objects.route[name]
        importance = Importance[route.importance.upper()]
        sent = SentRequest(at, route.path, importance, route.deadline)
        self.requests.append(sent)
        self._socket.append(sent)

    def _turn(self) -> bool:
        """Runs one turn of the loop, and tells whether there was any work."""
        work = list(self._ready)
        self._ready.clear()
        polled_at = self._now()
        work += [self._build_reading(sent, polled_at) for sent in self._socket]
        self._socket.clear()
        while self._timers and self._timers[0][0] <= polled_at:
            work.append(heapq.heappop(self._timers)[2])
        for step in work:
            step()
        return bool(work)

    def _at(self, due: Instant, step: Callable[[], None]) -> None:
        heapq.heappush(self._timers, (due, next(self._numbers), step))

    def _schedule_tick(self) -> None:
        due = self._now() + TICK_PERIOD

        def tick() -> None:
            clock = self.harness.clock
            self._spend(TICK_COST)
            late = clock.monotonic() - due
            self._perform(self.harness.apply(Ticked(clock.monotonic(), clock.wall(), late)))
            self._schedule_tick()

        self._at(due, tick)

    def _build_reading(self, sent: SentRequest, received_at: Instant) -> Callable[[], None]:
        def read() -> None:
            self._spend(READ_COST)
            self._ready.append(lambda: self._handle(sent, received_at))

        return read

    def _handle(self, sent: SentRequest, received_at: Instant) -> None:
        request = RequestId(f"r{next(self._numbers)}")
        self._by_id[request] = sent
        clock = self.harness.clock
        head = RequestHead(method="GET", path=sent.path)
        now = clock.monotonic()
        event = RequestArrived(now, clock.wall(), request, head, now - received_at)
        self._perform(self.harness.apply(event))

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendToTarget():
                    self._spend(SEND_COST)
                    self._start_attempt(effect)
                case QueueRequest():
                    self._start_wait(effect)
                case DeliverAnswer():
                    self._spend(ANSWER_COST)
                    self._by_id[effect.request].ended_at = self._now()
                case RefuseRequest():
                    self._spend(REFUSE_COST)
                    sent = self._by_id[effect.request]
                    sent.ended_at, sent.refusal = self._now(), effect.refusal.reason.value

    def _start_attempt(self, effect: SendToTarget) -> None:
        started = self._now()
        in_time = started + self.work <= effect.deadline
        outcome = AttemptOutcome.ANSWERED if in_time else AttemptOutcome.TIMED_OUT
        answer = build_answer() if in_time else None

        def finish() -> None:
            now = self._now()
            event = AttemptFinished(
                now, effect.request, effect.target, outcome, now - started, answer
            )
            self._perform(self.harness.apply(event))

        ended_at = min(started + self.work, effect.deadline)
        self._at(ended_at, lambda: self._ready.append(finish))

    def _start_wait(self, effect: QueueRequest) -> None:
        def expire() -> None:
            self._perform(self.harness.apply(QueueWaitExpired(self._now(), effect.request)))

        self._at(effect.until, expire)
