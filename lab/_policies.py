"""Ways to tell sick targets: the daemon's own, and baselines to compare it with.

A baseline replaces only the question whether a target is sick; budget, floor, stays and return
are the daemon's, and the same for all.
"""

import statistics
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum
from unittest import mock

from endivedrift.core import AttemptOutcome, HostId, Instant, TargetName
from endivedrift.core.events import AttemptFinished
from endivedrift.policy import ServiceState, TargetRecord, _choice, _ejection

CONSECUTIVE_LIMIT = 5
OUTLIER_INTERVAL_S = 10.0
OUTLIER_MIN_REQUESTS = 20
OUTLIER_DEVIATIONS = 1.9
SERVER_ERROR = 500


class PolicyName(Enum):
    """The policies that are compared."""

    OURS = "endivedrift"
    CONSECUTIVE = "5 consecutive failures"
    OUTLIER = "success-rate outlier"
    NONE = "no ejection"


@dataclass(slots=True)
class _Counts:
    consecutive: int = 0
    good: int = 0
    bad: int = 0
    marked: bool = False


@dataclass(slots=True)
class Baseline:
    """Counts of outcomes by host and target, for the baselines.

    Failures are errors, cuts and timeouts; a slow answer is no failure to them.
    """

    name: PolicyName
    counts: dict[tuple[HostId, TargetName], _Counts] = field(default_factory=dict)
    by_record: dict[int, _Counts] = field(default_factory=dict)
    next_interval: float = OUTLIER_INTERVAL_S

    def observe(self, host: HostId, record: TargetRecord, event: AttemptFinished) -> None:
        """Counts the end of an attempt."""
        counts = self.counts.setdefault((host, event.target), _Counts())
        self.by_record[id(record)] = counts
        status = event.answer.status if event.answer is not None else 0
        failed = event.outcome is not AttemptOutcome.ANSWERED or status >= SERVER_ERROR
        if failed:
            counts.consecutive += 1
            counts.bad += 1
        else:
            counts.consecutive = 0
            counts.good += 1

    def end_interval(self, at: Instant) -> None:
        """Marks outliers by success rate at the end of each interval."""
        if self.name is not PolicyName.OUTLIER or at.total_seconds() < self.next_interval:
            return
        self.next_interval += OUTLIER_INTERVAL_S
        for host in {host for host, _ in self.counts}:
            self._mark_outliers([c for (h, _), c in self.counts.items() if h == host])

    def should_eject(self, state: ServiceState, record: TargetRecord) -> bool:
        """Tells whether the baseline would eject a target."""
        counts = self.by_record.get(id(record))
        if counts is None or self.name is PolicyName.NONE:
            return False
        if self.name is PolicyName.OUTLIER:
            marked, counts.marked = counts.marked, False
            return marked
        if counts.consecutive < CONSECUTIVE_LIMIT:
            return False
        counts.consecutive = 0
        return True

    def _mark_outliers(self, group: list[_Counts]) -> None:
        judged = [c for c in group if c.good + c.bad >= OUTLIER_MIN_REQUESTS]
        rates = [c.good / (c.good + c.bad) for c in judged]
        if len(rates) >= 3:
            limit = statistics.mean(rates) - OUTLIER_DEVIATIONS * statistics.pstdev(rates)
            for counts, rate in zip(judged, rates, strict=True):
                counts.marked = rate < limit
        for counts in group:
            counts.good = 0
            counts.bad = 0


@contextmanager
def use_policy(name: PolicyName) -> Iterator[Baseline | None]:
    """Lets a policy decide which targets are sick, for as long as the context lasts."""
    if name is PolicyName.OURS:
        yield None
        return
    baseline = Baseline(name)
    with (
        mock.patch.object(_ejection, "should_eject", baseline.should_eject),
        mock.patch.object(_choice, "OVER_THRESHOLD_COST_FACTOR", 1.0),
    ):
        yield baseline
