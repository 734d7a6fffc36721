"""Policies that detect faulty targets: the daemon's own, and baselines to compare it with.

A baseline replaces only the decision whether a target is faulty. The retry budget, the floor of
healthy targets, the duration of ejections and the return from them are the daemon's for all
policies.
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

    ENDIVEDRIFT = "endivedrift"
    CONSECUTIVE = "5 consecutive failures"
    OUTLIER = "success-rate outlier"
    NONE = "no ejection"


@dataclass(slots=True)
class _Counts:
    consecutive_failures: int = 0
    successes: int = 0
    failures: int = 0
    is_outlier: bool = False


@dataclass(slots=True)
class Baseline:
    """Detects faulty targets from outcomes counted by host and target.

    Failures are server errors, cut answers and timeouts; a slow answer is not a failure.
    """

    name: PolicyName
    counts: dict[tuple[HostId, TargetName], _Counts] = field(default_factory=dict)
    counts_by_record: dict[int, _Counts] = field(default_factory=dict)
    interval_end_s: float = OUTLIER_INTERVAL_S

    def observe(self, host: HostId, record: TargetRecord, event: AttemptFinished) -> None:
        """Counts the outcome of an attempt."""
        counts = self.counts.setdefault((host, event.target), _Counts())
        self.counts_by_record[id(record)] = counts
        status = event.answer.status if event.answer is not None else 0
        failed = event.outcome is not AttemptOutcome.ANSWERED or status >= SERVER_ERROR
        if failed:
            counts.consecutive_failures += 1
            counts.failures += 1
        else:
            counts.consecutive_failures = 0
            counts.successes += 1

    def end_interval(self, at: Instant) -> None:
        """Marks the outliers by success rate when the current interval has ended."""
        if self.name is not PolicyName.OUTLIER or at.total_seconds() < self.interval_end_s:
            return
        self.interval_end_s += OUTLIER_INTERVAL_S
        for host in {host for host, _ in self.counts}:
            self._mark_outliers([c for (h, _), c in self.counts.items() if h == host])

    def should_eject(self, state: ServiceState, record: TargetRecord, at: Instant) -> bool:
        """Returns whether the baseline ejects a target, and clears the mark or count if so."""
        counts = self.counts_by_record.get(id(record))
        if counts is None or self.name is PolicyName.NONE:
            return False
        if self.name is PolicyName.OUTLIER:
            is_outlier, counts.is_outlier = counts.is_outlier, False
            return is_outlier
        if counts.consecutive_failures < CONSECUTIVE_LIMIT:
            return False
        counts.consecutive_failures = 0
        return True

    def _mark_outliers(self, host_counts: list[_Counts]) -> None:
        eligible_counts = [
            c for c in host_counts if c.successes + c.failures >= OUTLIER_MIN_REQUESTS
        ]
        rates = [c.successes / (c.successes + c.failures) for c in eligible_counts]
        if len(rates) >= 3:
            limit = statistics.mean(rates) - OUTLIER_DEVIATIONS * statistics.pstdev(rates)
            for counts, rate in zip(eligible_counts, rates, strict=True):
                counts.is_outlier = rate < limit
        for counts in host_counts:
            counts.successes = 0
            counts.failures = 0


@contextmanager
def use_policy(name: PolicyName) -> Iterator[Baseline | None]:
    """Makes a policy decide which targets are faulty until the context ends.

    Yields:
      The baseline to feed with outcomes, or None for the daemon's own policy.
    """
    if name is PolicyName.ENDIVEDRIFT:
        yield None
        return
    baseline = Baseline(name)
    with (
        mock.patch.object(_ejection, "should_eject", baseline.should_eject),
        mock.patch.object(_choice, "OVER_THRESHOLD_COST_FACTOR", 1.0),
    ):
        yield baseline
