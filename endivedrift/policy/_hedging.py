"""Decides when a request is late enough for a hedge, and how many hedges there may be.

A host measures the response times of the first attempts on each route of a service. A hedge starts
at a quantile of them that about half as many requests exceed as may be hedged. A hedge takes a
token, and each request of the route that this host sends adds its share of one. The bucket starts
empty, so that the hedges of all hosts together stay within the limit without any messages, whatever
is lost or restarted.

Hedges of a service that is slow as a whole would only add load. It counts as slow while the median
response time is well above its usual value, or while many of the latest first attempts exceed the
quantile. Attempts in progress count for both as soon as they exceed it.

The quantiles are estimated by steps on a logarithmic scale (Robbins and Monro, A stochastic
approximation method, 1951), which takes constant memory for each route.
"""

import math
from dataclasses import dataclass, field
from datetime import timedelta

from endivedrift.core import Instant, RouteName
from endivedrift.policy._bucket import TokenBucket

TAIL_PER_SHARE = 0.5
"""Requests later than the delay, per request that may be hedged. With all of the limit, a bucket
that fills as fast as it is emptied would be empty half of the time."""
MAX_TAIL = 0.1
"""Greatest share of requests that count as late, however many may be hedged."""
MIN_SAMPLES = 40
"""Response times from which the first estimates are made; no request is hedged before."""
FIRST_DELAY_RANK = 0.9
"""Quantile of the first samples from which the delay is tracked: the highest one that a few slow
responses among them do not raise."""
DELAY_STEP = 0.1
"""Step of the logarithm of the delay, weighted by the share of responses on its other side."""
LEARNING_STEPS = 6.0
"""Sum of steps that the number of samples divides, while that gives a longer step."""
MEDIAN_STEP = 0.05
"""Step of the logarithm of the median: a service that is 1.5 times slower is noticed after about
eight responses, and the estimate of an unchanged one varies by a tenth."""
USUAL_TIME_CONSTANT = timedelta(minutes=10)
"""Time constant with which the usual median follows the present one. A rush takes minutes."""
SLOW_FACTOR = 1.5
"""Multiple of the usual median from which a service is slow as a whole."""
LATE_SHARE_WEIGHT = 0.02
"""Weight of one response in the share of late ones."""
LATE_SHARE_FACTOR = 2.0
LATE_SHARE_MARGIN = 0.08
"""A service is slow as a whole if the share of late responses exceeds the expected one times
`LATE_SHARE_FACTOR` plus `LATE_SHARE_MARGIN`: after about five late responses in a row."""
SAVED_HEDGES = 20.0
"""Hedges that the primaries may together have saved up for a route."""
MIN_SAVED_HEDGES = 2.0
"""Least number of hedges that a primary may save up. With one, a third of the late requests would
find the bucket empty after an earlier one."""


@dataclass(slots=True)
class RouteHedging:
    """What a host knows of the response times of a route, and its hedges.

    Attributes:
      budget: Hedges that this host may start.
      tail: Share of the requests that are expected to be late.
      samples: The first response times in seconds, until there are enough.
      sample_count: Number of response times seen.
      delay_s: Time after which a request is late, in seconds.
      median_s: Present median response time in seconds.
      usual_s: Usual median in seconds.
      updated: When the usual median was last updated.
    """

    budget: TokenBucket
    tail: float
    samples: list[float] = field(default_factory=list)
    sample_count: int = 0
    delay_s: float = 0.0
    median_s: float = 0.0
    usual_s: float = 0.0
    updated: Instant = Instant(0)

    @property
    def delay(self) -> timedelta | None:
        """Time after which a request is late, or None before it has been measured."""
        return timedelta(seconds=self.delay_s) if self.sample_count >= MIN_SAMPLES else None


@dataclass(slots=True)
class Hedging:
    """The hedges of a service at one host.

    Attributes:
      max_share: Share of the requests that may be hedged.
      late_share: Recent share of late responses, over all routes.
      routes: What is known of each route.
    """

    max_share: float
    late_share: float = 0.0
    routes: dict[RouteName, RouteHedging] = field(default_factory=dict)

    @property
    def tail(self) -> float:
        """Greatest share of a route's requests that are expected to be late."""
        return _compute_tail(self.max_share)


def earn_hedge(
    hedging: Hedging, name: RouteName, route_share: float, primary_count: int, at: Instant
) -> RouteHedging:
    """Adds what one request of a route contributes to its hedges.

    Args:
      hedging: The hedges of the service.
      name: The route.
      route_share: Share of the route's requests that may be hedged, if that is less.
      primary_count: Number of primaries of the service, of which this host is one.
      at: Current time.
    Returns:
      What is known of the route.
    """
    share = min(hedging.max_share, route_share)
    route = hedging.routes.get(name)
    if route is None:
        bucket = TokenBucket(0.0, 0.0, 0.0, at)
        route = hedging.routes[name] = RouteHedging(bucket, 0.0, updated=at)
    route.tail = _compute_tail(share)
    route.budget.cap = max(MIN_SAVED_HEDGES, SAVED_HEDGES / max(1, primary_count))
    route.budget.add(share)
    return route


def observe_response(hedging: Hedging, name: RouteName, latency: timedelta, at: Instant) -> None:
    """Notes the response time of a first attempt that was not late before."""
    route = hedging.routes.get(name)
    if route is None:
        return
    seconds = max(latency.total_seconds(), 1e-6)
    if route.sample_count < MIN_SAMPLES:
        _learn(route, seconds, at)
        return
    _update(hedging, route, seconds > route.delay_s, seconds > route.median_s, at)


def observe_late(hedging: Hedging, name: RouteName, at: Instant) -> None:
    """Notes that a first attempt is late; its response time is not known and not noted later."""
    route = hedging.routes.get(name)
    if route is not None and route.sample_count >= MIN_SAMPLES:
        _update(hedging, route, True, True, at)


def is_service_slow(hedging: Hedging, name: RouteName) -> bool:
    """Tells whether a service is slow as a whole, as the requests of a route show."""
    if hedging.late_share > hedging.tail * LATE_SHARE_FACTOR + LATE_SHARE_MARGIN:
        return True
    route = hedging.routes[name]
    return route.median_s > route.usual_s * SLOW_FACTOR


def _compute_tail(share: float) -> float:
    return min(share * TAIL_PER_SHARE, MAX_TAIL)


def _learn(route: RouteHedging, seconds: float, at: Instant) -> None:
    route.sample_count += 1
    route.samples.append(seconds)
    if route.sample_count < MIN_SAMPLES:
        return
    ordered = sorted(route.samples)
    route.samples = []
    route.median_s = route.usual_s = ordered[len(ordered) // 2]
    route.delay_s = ordered[int(len(ordered) * FIRST_DELAY_RANK)]
    route.updated = at


def _update(
    hedging: Hedging, route: RouteHedging, is_late: bool, is_over_median: bool, at: Instant
) -> None:
    route.sample_count += 1
    hedging.late_share += (float(is_late) - hedging.late_share) * LATE_SHARE_WEIGHT
    step = max(DELAY_STEP, LEARNING_STEPS / route.sample_count)
    route.delay_s *= math.exp(step * (1.0 - route.tail if is_late else -route.tail))
    route.median_s *= math.exp(MEDIAN_STEP if is_over_median else -MEDIAN_STEP)
    weight = 1.0 - math.exp(-(at - route.updated) / USUAL_TIME_CONSTANT)
    route.usual_s += (route.median_s - route.usual_s) * weight
    route.updated = at
