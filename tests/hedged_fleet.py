"""A simulated fleet that hedges requests, some of whose responses take much longer than others."""

from collections import defaultdict
from dataclasses import replace
from datetime import timedelta
from functools import partial

from endivedrift.core import Instant, RequestId, TargetName
from endivedrift.core.effects import DeliverAnswer, Effect, RefuseRequest, SendToTarget, StartHedge
from endivedrift.core.events import HedgeDue
from endivedrift.objects import BOUNDS_RULE_NAME, HedgeRule, ObjectSet
from tests.builders import SERVICE, HostHarness
from tests.crashing_targets import Action, Behaviour, CrashingFleet, SentRequest, build_crash_set

RESPONSE_S = (0.08, 0.16)


def build_hedged_set(share: float, entry_hosts: int = 2) -> ObjectSet:
    """Builds an object set in which a share of the requests of its service may be hedged."""
    objects = build_crash_set(entry_hosts)
    if not share:
        return objects
    service = replace(objects.service[SERVICE], hedge_rule=BOUNDS_RULE_NAME)
    rule = HedgeRule(max_extra_share=share)
    return replace(objects, service={SERVICE: service}, hedge_rule={BOUNDS_RULE_NAME: rule})


class HedgedFleet(CrashingFleet):
    """Hosts whose requests take different times at simulated targets.

    Attributes:
      slow_share: Share of the responses that take ten times as long.
      slowdown: Factor on all response times.
      hedge_after: Time after which every attempt is reported as late, or None for the host's own.
      hedges: When each hedge started, and of which request.
      attempts: Targets at which a request is in progress, by host and request.
    """

    def __init__(
        self, count: int, targets: int, share: float, entry_hosts: int = 2, seed: int = 1
    ) -> None:
        """Starts hosts and targets.

        Args:
          count: The number of hosts.
          targets: The number of targets.
          share: Share of the requests that may be hedged.
          entry_hosts: The number of primaries of the service.
          seed: The seed of requests, answers, losses and clocks.
        """
        self.slow_share = 0.02
        self.slowdown = 1.0
        self.hedge_after: timedelta | None = None
        self.hedges: list[tuple[timedelta, SentRequest]] = []
        self.attempts: dict[tuple[str, RequestId], list[TargetName]] = defaultdict(list)
        super().__init__(count, targets, seed, build_hedged_set(share, entry_hosts))

    def handle_effects(self, sender: str, effects: list[Effect]) -> None:
        """Carries out the effects that a host returned."""
        super().handle_effects(sender, effects)
        for effect in effects:
            if isinstance(effect, StartHedge):
                self.hedges.append((self.now, self._open[sender, effect.request]))
                self._start_attempt(sender, effect.attempt)

    def _start_attempt(self, host: str, effect: SendToTarget) -> None:
        sent = self._open[host, effect.request]
        seconds = self.traffic.uniform(*RESPONSE_S) * self.slowdown
        if self.traffic.random() < self.slow_share:
            seconds *= 10.0
        self.behaviours[sent.digest] = Behaviour(Action.ANSWER, timedelta(seconds=seconds))
        self.attempts[host, effect.request].append(effect.target)
        super()._start_attempt(host, effect)
        del self.behaviours[sent.digest]
        if effect.hedge_after is not None:
            report = partial(self._report_late, host, self.hosts[host], effect)
            self.schedule(self.hedge_after or effect.hedge_after, report)

    def _report_late(self, host: str, harness: HostHarness, effect: SendToTarget) -> None:
        if self.hosts[host] is harness:
            event = HedgeDue(harness.clock.monotonic(), effect.request, effect.target)
            self.handle_effects(host, harness.apply(event))

    def _end_request(self, host: str, effect: DeliverAnswer | RefuseRequest) -> None:
        """Notes the result, and cancels the attempt that is still in progress."""
        super()._end_request(host, effect)
        for name in self.attempts.pop((host, effect.request), []):
            target = self.targets[name]
            target.running = [
                run
                for run in target.running
                if run.request != effect.request or run.sent.host != host
            ]

    def compute_p99(self, since: timedelta) -> float:
        """Returns the p99 of the response times in seconds; requests without one count as slowest.

        Args:
          since: Arrival of the first request that counts.
        """
        times = sorted(
            (sent.ended - sent.arrived).total_seconds() if sent.status == 200 else float("inf")
            for sent in self.sent
            if sent.arrived >= since and sent.ended is not None
        )
        return times[int(len(times) * 0.99)]

    def compute_extra(self, since: Instant, until: Instant | None = None) -> float:
        """Returns the number of hedges per request that arrived in a time."""
        end = until if until is not None else self.now
        hedges = sum(since <= at < end for at, _ in self.hedges)
        return hedges / sum(since <= sent.arrived < end for sent in self.sent)
