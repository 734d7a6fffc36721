"""A simulated fleet of which some targets reset most connections for seconds at a time.

All requests must not be repeated, so that each reset loses one. Hosts do not know which targets
fail, and no request can be used to find out.
"""

import random
from collections import Counter
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial

from endivedrift.core import (
    AttemptOutcome,
    FailureDomain,
    RefusalReason,
    RequestId,
    ServiceName,
    TargetEntry,
    TargetName,
)
from endivedrift.core.effects import SendToTarget
from endivedrift.core.events import TargetsObserved
from endivedrift.reducer import list_primaries
from tests.builders import SERVICE, build_discovered_set, build_target_entry
from tests.crashing_targets import FAST_FAILURE, CrashingFleet, Run

SLOTS = 3
WORK_S = (0.3, 0.9)
"""Bounds of the time that a target works on a request."""
RESET_AFTER = timedelta(milliseconds=5)
RESET_SHARE = 0.9
"""Share of the requests that a failing target resets."""
PERIOD_S = (1.0, 8.0)
"""Bounds of the time for which a target resets connections."""
MEAN_PAUSE_S = 12.0
"""Mean time between two such periods of a target."""


@dataclass(frozen=True, slots=True)
class Load:
    """Requests to one service, and the targets that fail.

    Attributes:
      hosts, targets: Their numbers.
      busy_share: Mean share of the slots that are in use.
      failing_targets: Number of targets that fail in periods, from the first on.
      seconds: How long requests arrive.
      fails_once: Whether every target fails once, for two seconds, instead.
      entry_hosts: Least number of primaries.
      repeatable_share: Share of the requests that can be repeated elsewhere.
      at_primaries: Whether all requests arrive at the service's primaries, and not only half.
      seed: The seed of requests and failures.
    """

    hosts: int = 12
    targets: int = 100
    busy_share: float = 0.4
    failing_targets: int = 40
    seconds: float = 60.0
    fails_once: bool = False
    entry_hosts: int = 2
    repeatable_share: float = 0.0
    at_primaries: bool = False
    seed: int = 1

    @property
    def requests_per_s(self) -> float:
        """Rate of arrivals."""
        return self.targets * SLOTS * self.busy_share / (sum(WORK_S) / 2)

    def list_periods(self) -> dict[TargetName, list[tuple[float, float]]]:
        """Returns the periods in which targets fail, in seconds from the start of the load."""
        source = random.Random(self.seed)
        names = [build_target_entry(number).name for number in range(self.targets)]
        if self.fails_once:
            starts = [source.uniform(1.0, self.seconds - 5.0) for _ in names]
            return {n: [(start, start + 2.0)] for n, start in zip(names, starts, strict=True)}
        periods: dict[TargetName, list[tuple[float, float]]] = {}
        for name in names[: self.failing_targets]:
            start = source.expovariate(1.0 / MEAN_PAUSE_S)
            while start < self.seconds:
                end = start + source.uniform(*PERIOD_S)
                periods.setdefault(name, []).append((start, end))
                start = end + source.expovariate(1.0 / MEAN_PAUSE_S)
        return periods


class ResettingFleet(CrashingFleet):
    """Hosts that share simulated targets, some of which reset connections in periods.

    Attributes:
      load: The load.
      resets: When and at which target a request was lost.
      attempts: Attempts by target, without those that found it full.
      sheds: Number of attempts that found their target full.
    """

    def __init__(self, load: Load) -> None:
        """Starts hosts and targets."""
        self.load = load
        self.resets: list[tuple[timedelta, TargetName]] = []
        self.attempts: Counter[TargetName] = Counter()
        self.sheds = 0
        self.periods: dict[TargetName, list[tuple[timedelta, timedelta]]] = {}
        objects = build_discovered_set(aim_ms=1_000)
        service = replace(objects.service[SERVICE], entry_hosts=load.entry_hosts)
        super().__init__(
            load.hosts, load.targets, load.seed, replace(objects, service={SERVICE: service})
        )
        entries = tuple(self.build_entry(number) for number in range(load.targets))
        for name, harness in self.hosts.items():
            event = TargetsObserved(harness.clock.monotonic(), entries, (), True)
            self.handle_effects(name, harness.apply(event))

    def build_entry(self, number: int) -> TargetEntry:
        """Builds the registration of a target in one of the hosts' failure domains."""
        domain = FailureDomain(f"d{number % self.domain_count}")
        entry = build_target_entry(number, born=2)
        return replace(entry, slots=SLOTS, failure_domain=domain)

    def run_load(self) -> None:
        """Sends all requests and waits for the last results."""
        self.periods = {
            name: [
                (self.now + timedelta(seconds=a), self.now + timedelta(seconds=b))
                for a, b in periods
            ]
            for name, periods in self.load.list_periods().items()
        }
        at = 0.0
        while (at := at + self.traffic.expovariate(self.load.requests_per_s)) < self.load.seconds:
            share = self.load.repeatable_share
            is_write = not share or self.traffic.random() >= share
            self.schedule(timedelta(seconds=at), partial(self.send, b"", None, is_write))
        self.run(self.load.seconds + 3.0)

    def _choose_host(self) -> str:
        if not self.load.at_primaries:
            return super()._choose_host()
        primaries = list_primaries(self.hosts["h0"].state, ServiceName(SERVICE))
        return str(self.traffic.choice(primaries).host)

    def is_failing(self, target: TargetName) -> bool:
        """Tells whether a target is in one of its periods of failures."""
        return any(start <= self.now < end for start, end in self.periods.get(target, ()))

    def _start_attempt(self, host: str, effect: SendToTarget) -> None:
        self._queued.pop((host, effect.request), None)
        harness, target = self.hosts[host], self.targets[effect.target]
        run = Run(
            self.now,
            self._open[host, effect.request],
            harness,
            RequestId(effect.request),
            effect.target,
        )
        if self.is_failing(effect.target) and self.traffic.random() < RESET_SHARE:
            self.attempts[effect.target] += 1
            self.resets.append((self.now, effect.target))
            self.schedule(RESET_AFTER, partial(self._report, run, AttemptOutcome.CUT))
        elif len(target.running) >= SLOTS:
            self.sheds += 1
            self.schedule(FAST_FAILURE, partial(self._report, run, AttemptOutcome.SHED))
        else:
            self.attempts[effect.target] += 1
            target.running.append(run)
            due = timedelta(seconds=self.traffic.uniform(*WORK_S))
            finish = partial(self._finish, target, run, AttemptOutcome.ANSWERED, 200)
            self.schedule(due, finish)

    def count_lost(self) -> int:
        """Returns the number of requests that ended as lost to a reset."""
        reason = RefusalReason.TARGET_CUT
        return sum(s.refusal is not None and s.refusal.reason is reason for s in self.sent)

    @property
    def served_share(self) -> float:
        """Share of the requests that were answered."""
        return sum(sent.status == 200 for sent in self.sent) / len(self.sent)

    def compute_spread(self) -> float:
        """Returns the standard deviation of the requests by target, as a share of their mean."""
        counts = [self.attempts[name] for name in self.targets]
        mean = sum(counts) / len(counts)
        return (sum((c - mean) ** 2 for c in counts) / len(counts)) ** 0.5 / mean
