"""Computes how few requests resets cost a fleet that knows every outcome as soon as any host does.

One chooser knows the requests in progress, every outcome, and the statistics by which targets fail.
From these it keeps the probability that each target is failing (a hidden Markov model with a target
that never fails, one that is well, and one that is in a period), and selects the least likely one
that has room.
"""

import heapq
import math
import random

from tests.resetting_targets import (
    MEAN_PAUSE_S,
    PERIOD_S,
    RESET_AFTER,
    RESET_SHARE,
    SLOTS,
    WORK_S,
    Load,
)


class _Belief:
    """The probabilities that a target never fails, is between two periods, or is in one."""

    def __init__(self, failing_share: float) -> None:
        period = sum(PERIOD_S) / 2
        inside = period / (period + MEAN_PAUSE_S)
        self.rates = 1.0 / MEAN_PAUSE_S, 1.0 / period
        # Targets start between two periods.
        self.shares = [1.0 - failing_share, failing_share, 0.0]
        self.inside = inside
        self.updated = 0.0

    def predict(self, at: float) -> float:
        """Returns the probability that the target fails a request now."""
        never, well, failing = self.shares
        weight = math.exp(-(at - self.updated) * sum(self.rates))
        settled = (well + failing) * self.inside
        failing = settled + (failing - settled) * weight
        self.shares = [never, 1.0 - never - failing, failing]
        self.updated = at
        return failing * RESET_SHARE

    def observe(self, at: float, is_reset: bool) -> None:
        """Takes in an outcome of a request that was sent now."""
        self.predict(at)
        likelihoods = (0.0, 0.0, RESET_SHARE) if is_reset else (1.0, 1.0, 1.0 - RESET_SHARE)
        shares = [s * p for s, p in zip(self.shares, likelihoods, strict=True)]
        total = sum(shares) or 1.0
        self.shares = [share / total for share in shares]


def count_ideal_losses(load: Load) -> tuple[int, int]:
    """Runs a load.

    Returns:
      The number of requests and of those lost to resets.
    """
    source = random.Random(load.seed)
    periods = list(load.list_periods().items())
    by_number = {int(name[1:]): spans for name, spans in periods}
    beliefs = [_Belief(load.failing_targets / load.targets) for _ in range(load.targets)]
    running = [0] * load.targets
    ends: list[tuple[float, int, bool]] = []
    sent = lost = 0
    at = 0.0
    while (at := at + source.expovariate(load.requests_per_s)) < load.seconds:
        while ends and ends[0][0] <= at:
            end, number, is_reset = heapq.heappop(ends)
            running[number] -= not is_reset
            beliefs[number].observe(end, is_reset)
        free = [n for n in range(load.targets) if running[n] < SLOTS]
        chosen = min(free, key=lambda n: (beliefs[n].predict(at), running[n], source.random()))
        spans = by_number.get(chosen, [])
        is_failing = any(start <= at < end for start, end in spans)
        is_reset = is_failing and source.random() < RESET_SHARE
        sent += 1
        lost += is_reset
        running[chosen] += not is_reset
        due = RESET_AFTER.total_seconds() if is_reset else source.uniform(*WORK_S)
        heapq.heappush(ends, (at + due, chosen, is_reset))
    return sent, lost


if __name__ == "__main__":
    for seed in (1, 2, 3):
        print(seed, *count_ideal_losses(Load(seed=seed)))
