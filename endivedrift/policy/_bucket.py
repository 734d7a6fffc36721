"""A token bucket, used for the limits of caller accounts and targets and for retry budgets."""

from dataclasses import dataclass
from datetime import timedelta

from endivedrift.core import Instant


@dataclass(slots=True)
class TokenBucket:
    """A number of tokens that grows at a constant rate up to a cap.

    Attributes:
      cap: Greatest number of tokens.
      rate_per_s: Tokens added per second.
      tokens: Tokens at `updated`.
      updated: Time of the last refill.
    """

    cap: float
    rate_per_s: float
    tokens: float
    updated: Instant

    def take(self, at: Instant) -> bool:
        """Takes one token.

        Returns:
          Whether one was available.
        """
        if not self.has_token(at):
            return False
        self.tokens -= 1.0
        return True

    def has_token(self, at: Instant) -> bool:
        """Tells whether a token is available."""
        self._refill(at)
        return self.tokens >= 1.0

    def set_rate(self, rate_per_s: float, cap: float, at: Instant) -> None:
        """Changes the rate and the cap from now on; tokens beyond the new cap are lost."""
        self._refill(at)
        self.rate_per_s = rate_per_s
        self.cap = cap
        self.tokens = min(self.tokens, cap)

    def add(self, tokens: float) -> None:
        """Adds tokens, up to the cap."""
        self.tokens = min(self.cap, self.tokens + tokens)

    def wait(self, at: Instant) -> timedelta:
        """Returns the time until a token is available, or 0 if the bucket has no refill rate."""
        self._refill(at)
        if self.tokens >= 1.0 or self.rate_per_s <= 0.0:
            return timedelta(0)
        return timedelta(seconds=(1.0 - self.tokens) / self.rate_per_s)

    def _refill(self, at: Instant) -> None:
        elapsed = (at - self.updated).total_seconds()
        self.updated = at
        if elapsed > 0.0:
            self.add(elapsed * self.rate_per_s)
