"""Estimates from earlier failures how likely a target is to fail the next request.

Targets fail in periods of seconds, and often the same ones again. The estimate is the sum of two
probabilities: that the period of the last failure has not ended, which falls to zero within the
longest usual period or with the next good answer, and that another one has begun, which is the rate
of earlier periods times their usual length. The rate is a count that decays over minutes.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from endivedrift.core import Instant

MAX_PERIOD = timedelta(seconds=9)
"""Time after a failure from which its period has ended: periods last one to eight seconds, and
failures were seen up to nine seconds after the first one."""
PROOF_DELAY = timedelta(seconds=2)
"""Time after a failure before which a good answer proves nothing: the target was still at work on
requests that it got before. It is the usual pause, in which it gets no others."""
MEAN_PERIOD = timedelta(seconds=4.5)
"""Mean length of the usual periods."""
DECAY_TIME = timedelta(minutes=2)
"""Time constant with which the number of earlier periods decays."""
MAX_COUNT = 6.0
"""Greatest number of earlier periods that is kept, so that every target is regarded as sound again
at most six minutes after its last failure."""
NEGLIGIBLE_RISK = 0.05
"""Probability up to which a target is regarded as sound. One earlier period is below it, so that a
target that failed once gets as much work as the others when that period has ended, unless many
targets fail again."""
REPEAT_WEIGHT = 2.0
"""Weight of the share of targets that failed again, in the rate of periods that is expected of one
that has failed. Where most fail again, it is not regarded as sound after one period."""
MIN_COUNT = 0.25
"""Decayed number of periods below which a record is dropped. Its risk is negligible."""
MIN_REPEATED_COUNT = 1.2
"""Number of periods, decayed until the last one, from which a target has failed again: the one
before was counted within the last three minutes."""
RISK_LEVELS = 8
"""Number of levels of greater probabilities. Targets of one level are chosen by their load."""


@dataclass(slots=True)
class FailureRecord:
    """The periods in which a target failed.

    Attributes:
      count: Number of periods, decayed until `counted_at`.
      counted_at: When the last period was counted.
      last_failure_at: When the target last failed a request, other than for want of room.
    """

    count: float = 0.0
    counted_at: Instant = Instant(0)
    last_failure_at: Instant = Instant(0)

    def add_failure(self, at: Instant) -> None:
        """Records a failure, which counts as a new period if the last one must have ended."""
        self.last_failure_at = at
        if not self.count or at - self.counted_at >= MAX_PERIOD:
            self.count = min(MAX_COUNT, self._decay_count(at) + 1.0)
            self.counted_at = at

    def estimate_risk(
        self, last_success_at: Instant | None, at: Instant, repeat_share: float = 0.0
    ) -> float:
        """Estimates the probability that the target fails now.

        Args:
          last_success_at: When it last gave a good answer, or None.
          at: Current time.
          repeat_share: Share of the targets that failed in its group that failed again.
        """
        if not self.count:
            return 0.0
        rate = self._decay_count(at) * (1.0 + REPEAT_WEIGHT * repeat_share)
        risk = rate * (MEAN_PERIOD / DECAY_TIME)
        if last_success_at is None or last_success_at < self.last_failure_at + PROOF_DELAY:
            risk += max(0.0, 1.0 - (at - self.last_failure_at) / MAX_PERIOD)
        return min(1.0, risk)

    def get_level(
        self, last_success_at: Instant | None, at: Instant, repeat_share: float = 0.0
    ) -> int:
        """Returns the level of the risk, from 0 for a sound target to RISK_LEVELS."""
        risk = self.estimate_risk(last_success_at, at, repeat_share)
        return math.ceil(risk * RISK_LEVELS) if risk > NEGLIGIBLE_RISK else 0

    def forget(self, at: Instant) -> None:
        """Drops a record that is too old to matter."""
        if at - self.last_failure_at >= MAX_PERIOD and self._decay_count(at) < MIN_COUNT:
            self.count = 0.0

    def _decay_count(self, at: Instant) -> float:
        return self.count * math.exp(-(at - self.counted_at) / DECAY_TIME)


def compute_repeat_share(records: Iterable[FailureRecord]) -> float:
    """Returns the share of the targets that failed in the last minutes that failed again."""
    counts = [record.count for record in records if record.count]
    repeated = sum(count >= MIN_REPEATED_COUNT for count in counts)
    return repeated / len(counts) if counts else 0.0
