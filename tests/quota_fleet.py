"""A simulated fleet that gets the requests of caller accounts with quotas, on a virtual clock."""

import bisect
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from endivedrift.core import AttemptOutcome, PeerMessage, Refusal, RequestId
from endivedrift.core.effects import Effect, RefuseRequest, SendToTarget
from endivedrift.core.events import AttemptFinished
from endivedrift.objects import Caller, ObjectSet
from tests.builders import build_answer, build_config_fetched
from tests.crashing_targets import TICK, CrashingFleet, build_crash_set

WINDOW_S = 5.0
DELAY = timedelta(milliseconds=1.4)


class QuotaFleet(CrashingFleet):
    """Hosts whose targets answer at once, so that quotas alone limit the requests that are sent.

    Attributes:
      quotas: Rate and burst of each account.
      admitted: Times in s at which requests of each account were sent, and their hosts.
      refusals: Refusals of each account.
      messages: Messages on quotas that each host has sent.
    """

    def __init__(self, count: int, quotas: dict[str, tuple[float, int]], seed: int = 1) -> None:
        """Starts hosts that know each other and have run for some time."""
        self.quotas = quotas
        self.admitted: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.refusals: dict[str, list[tuple[float, Refusal]]] = defaultdict(list)
        self.messages: Counter[str] = Counter()
        self._callers: dict[tuple[str, RequestId], str] = {}
        super().__init__(count, 3, seed, self.build_objects())
        self.datagram_delay = DELAY
        self.tick = TICK
        self.run(0.5)

    def build_objects(self) -> ObjectSet:
        """Builds the object set with the present quotas."""
        callers = {n: Caller(requests_per_s=r, burst=b) for n, (r, b) in self.quotas.items()}
        return replace(build_crash_set(), caller=callers)

    @property
    def now_s(self) -> float:
        """Time of the simulation in s."""
        return self.now.total_seconds()

    def set_quotas(self, **quotas: tuple[float, int]) -> None:
        """Puts an object set with other quotas in force at all hosts."""
        self.quotas = {**self.quotas, **quotas}
        self.objects = self.build_objects()
        for name, harness in self.hosts.items():
            version = harness.state.config.version + 1
            fetched = build_config_fetched(harness.clock, self.objects, version)
            self.handle_effects(name, harness.apply(fetched))

    def request(self, caller: str, host: str) -> None:
        """Lets a request of an account arrive at a host."""
        harness = self.hosts[host]
        number = harness.request_count + 1
        self._callers[host, RequestId(f"{harness.state.identity.host}-{number}")] = caller
        self.handle_effects(host, harness.receive_request(caller=caller)[1])

    def load(
        self, caller: str, per_s: float, seconds: float, choose: Callable[[], str] | None = None
    ) -> None:
        """Lets requests arrive at random times, at random hosts or those that are chosen."""
        pick = choose or (lambda: self.traffic.choice(list(self.hosts)))
        at = self.traffic.expovariate(per_s)
        while at < seconds:
            self.schedule(timedelta(seconds=at), lambda: self.request(caller, pick()))
            at += self.traffic.expovariate(per_s)

    def age(self, seconds: float) -> None:
        """Lets all hosts have run for longer."""
        for harness in self.hosts.values():
            assert harness.state.started_at is not None
            harness.state.started_at -= timedelta(seconds=seconds)

    def restart(self, names: list[str]) -> None:
        """Starts hosts, or restarts them, which then know all others."""
        for name in names:
            self.start_host(name)
        self._introduce_all()

    def handle_effects(self, sender: str, effects: list[Effect]) -> None:
        """Notes refusals and carries out the effects."""
        for effect in effects:
            if isinstance(effect, RefuseRequest):
                caller = self._callers[sender, effect.request]
                self.refusals[caller].append((self.now_s, effect.refusal))
        super().handle_effects(sender, effects)

    def _end_request(self, host: str, effect: object) -> None:
        """Requests of this fleet have no record."""

    def _start_attempt(self, host: str, effect: SendToTarget) -> None:
        caller = self._callers[host, effect.request]
        self.admitted[caller].append((self.now_s, host))
        harness = self.hosts[host]
        finished = AttemptFinished(
            harness.clock.monotonic(),
            effect.request,
            effect.target,
            AttemptOutcome.ANSWERED,
            timedelta(milliseconds=1),
            build_answer(),
        )
        self.handle_effects(host, harness.apply(finished))

    def deliver(self, sender: str, receiver: str, message: PeerMessage) -> None:
        """Counts the messages on quotas and delivers a datagram."""
        if message.quotas or message.quota_statuses:
            self.messages[sender] += 1
        super().deliver(sender, receiver, message)

    def count(self, caller: str, since: float) -> int:
        """Returns how many requests of an account were sent since a time in s."""
        return sum(at >= since for at, _ in self.admitted[caller])

    def find_worst_share(self, caller: str) -> float:
        """Returns the greatest number sent in a window, as a share of what the page allows."""
        rate, burst = self.quotas[caller]
        times = [at for at, _ in self.admitted[caller]]
        most = max(
            (bisect.bisect_left(times, at + WINDOW_S) - n for n, at in enumerate(times)), default=0
        )
        return most / ((rate * WINDOW_S + burst) * 1.1 + 20)
