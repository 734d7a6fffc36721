"""A token bucket, used for the limits of caller accounts and for retry budgets."""

from dataclasses import dataclass
from datetime import timedelta

from endivedrift.core import Instant


@dataclass(slots=True)
class TokenBucket:
    """Tokens that may be spent, up to a cap.

    Attributes:
      cap: Most tokens that can be saved up.
      rate_per_s: Tokens added each second.
      tokens: Tokens at `updated`.
      updated: Time of the last refill.
    """

    cap: float
    rate_per_s: float
    tokens: float
    updated: Instant

    def take(self, at: Instant) -> bool:
        """Spends one token.

        Returns:
          Whether there was one.
        """
        self._refill(at)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def add(self, tokens: float) -> None:
        """Adds tokens up to the cap."""
        self.tokens = min(self.cap, self.tokens + tokens)

    def wait(self, at: Instant) -> timedelta:
        """Returns the time until the next token."""
        self._refill(at)
        if self.tokens >= 1.0 or self.rate_per_s <= 0.0:
            return timedelta(0)
        return timedelta(seconds=(1.0 - self.tokens) / self.rate_per_s)

    def _refill(self, at: Instant) -> None:
        elapsed = (at - self.updated).total_seconds()
        self.updated = at
        if elapsed > 0.0:
            self.add(elapsed * self.rate_per_s)
