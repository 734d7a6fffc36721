"""Keeps the requests of all hosts at a target within the rate that the target states.

No host sees the requests of all others, so the rate is divided among a few hosts. Each of these has
a token bucket that fills at its share of the rate, in proportion to the requests that arrive at it
for the service. A host whose reports are missing counts like the busiest one. Hosts without a share
send nothing to the target.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from endivedrift.core import NO_RATE_LIMIT, HostId, Instant
from endivedrift.policy._bucket import TokenBucket

MIN_HOLDER_COUNT = 3
"""Hosts among which the least limit is divided. A host needs a whole token for a request, so all of
them together may send so many requests at once."""
MIN_RATE_PER_S = 0.1
"""Rate at which a target is still tried that states a lower one, since only an answer tells whether
it still does."""
BURST_TIME = timedelta(milliseconds=500)
"""Time for which a share may be saved up, if that is more than one request."""
DEMAND_TTL = timedelta(seconds=2)
"""Time for which another host's report of its demand is valid; it is repeated every half second."""
MIN_WEIGHT_SHARE = 0.1
"""Least weight of a host in the division, as a share of the greatest, so that a host whose first
requests have just arrived can send some of them."""


@dataclass(frozen=True, slots=True)
class ReportedDemand:
    """Requests a second that arrive at another host for the service, by its last report."""

    requests_per_s: float
    received_at: Instant


@dataclass(slots=True)
class RateLimit:
    """The limit that a target states, and this host's share of it.

    Attributes:
      requests_per_s: What it takes from all hosts together; NO_RATE_LIMIT after it has withdrawn an
        earlier limit.
      stated_at: When the latest answer arrived, here or at another host, that states this.
      bucket: What this host may send.
      demands: Demand of other hosts.
    """

    requests_per_s: float
    stated_at: Instant
    bucket: TokenBucket
    demands: dict[HostId, ReportedDemand] = field(default_factory=dict)

    @property
    def is_in_force(self) -> bool:
        """Whether the target has not withdrawn the limit."""
        return self.requests_per_s != NO_RATE_LIMIT

    @property
    def holder_count(self) -> int:
        """Number of hosts among which the limit is divided."""
        return MIN_HOLDER_COUNT + int(self.requests_per_s)

    def may_send(self, at: Instant) -> bool:
        """Tells whether this host may send a request now."""
        return not self.is_in_force or self.bucket.has_token(at)

    def find_next_time(self, at: Instant) -> Instant | None:
        """Returns when this host may send a request, or None if it has no share."""
        if self.may_send(at):
            return at
        return at + self.bucket.wait(at) if self.bucket.rate_per_s > 0.0 else None

    def take(self, at: Instant) -> None:
        """Counts a request that is sent, or for which room is reserved."""
        if self.is_in_force:
            self.bucket.take(at)

    def give_back(self) -> None:
        """Takes back the count of a reservation that was not used."""
        if self.is_in_force:
            self.bucket.add(1.0)


def update_rate_limit(
    known: RateLimit | None, requests_per_s: float, stated_at: Instant, at: Instant
) -> RateLimit | None:
    """Applies a statement of a target, unless a later one is known.

    Args:
      known: What was known before, or None.
      requests_per_s: The limit, or NO_RATE_LIMIT if its answer stated none.
      stated_at: When the answer arrived.
      at: Current time.
    Returns:
      What is known now. Without a share, nothing may be sent.
    """
    if known is None:
        if requests_per_s == NO_RATE_LIMIT:
            return None
        return RateLimit(requests_per_s, stated_at, TokenBucket(0.0, 0.0, 0.0, at))
    if stated_at >= known.stated_at:
        known.stated_at = stated_at
        known.requests_per_s = requests_per_s
    return known


def set_share(
    limit: RateLimit, me: HostId, holders: Iterable[HostId], demand_per_s: float, at: Instant
) -> None:
    """Sets how fast this host's bucket fills.

    Args:
      limit: The limit, which is in force.
      me: This host.
      holders: The hosts among which the limit is divided.
      demand_per_s: Requests a second that arrive here for the service.
      at: Current time.
    """
    weights = {host: _get_demand(limit, host, at) for host in holders}
    share = 0.0
    if me in weights:
        weights[me] = demand_per_s
        greatest = max((w for w in weights.values() if w is not None), default=0.0)
        least = greatest * MIN_WEIGHT_SHARE
        total = sum(max(least, greatest if w is None else w) for w in weights.values())
        rate = max(MIN_RATE_PER_S, limit.requests_per_s)
        share = rate * max(least, demand_per_s) / total if total else rate / len(weights)
    limit.bucket.set_rate(share, max(1.0, share * BURST_TIME.total_seconds()), at)


def _get_demand(limit: RateLimit, host: HostId, at: Instant) -> float | None:
    reported = limit.demands.get(host)
    if reported is None or at - reported.received_at >= DEMAND_TTL:
        return None
    return reported.requests_per_s
