"""Token buckets of caller accounts that many hosts charge at the same time.

A few hosts, the keepers of an account, add up what all hosts have admitted for it. A host admits by
the level that the keepers reported last, less what it has admitted itself since then. Requests that
arrive elsewhere before the next report would be admitted by the same tokens. A host therefore
admits only as many of its requests as there are tokens for all that arrive in that time.
"""

import math
from dataclasses import dataclass, field
from datetime import timedelta

from endivedrift.core import HostId, Incarnation, Instant

MIN_SAVED_TIME_S = 0.3
"""Time in s for which tokens can be saved up at least. Tokens that arrive between two reports would
otherwise be lost while requests are spread over many hosts, or move to another host."""
LARGE_SAVED_TIME_S = 0.1
LARGE_SAVED_TOKENS = 5.0
"""Limit of that for large quotas: 5 tokens, and those of 0.1 s. The rest of the excess that is
allowed is for the first second of a partition."""
MIN_DEBT_TIME_S = 2.0
"""Time in s in which the greatest debt is paid off, unless the burst is greater: a debt is bounded
so that a wrong count cannot block an account for long."""
DEMAND_TIME_S = 0.15
"""Time in s that a request takes to be known to other hosts: the interval of reports and their
way."""
RATE_TIME_S = 0.5
"""Time in s over which the rate of requests elsewhere is averaged."""
FIRST_SHARE = 0.125
"""Share of the burst that a host may admit of an account before it knows what others have."""
MIN_EXCESS = 10.0
"""Requests that all hosts together may admit too much before they hear of each other: half of the
excess that is allowed in any case."""
EXCESS_SHARE = 0.05
"""Further such requests, as a share of what the account may use in a window: half of the relative
excess that is allowed."""
MIN_FIRST_HOLDERS = 10.0
"""Least number of hosts that hold a token of an account after all were started at once: half of the
excess that is allowed in any case."""
FIRST_HOLDERS_SHARE = 0.05
"""Number of further such hosts, as a share of what the account may use in a window: half of the
relative excess that is allowed."""
WINDOW_S = 5.0
"""Time in s for which the use of an account is bounded."""
FRESH_TIME = timedelta(milliseconds=50)
"""Greatest difference of age of the replies by which a host shares tokens with others. An older
one, whose successor was lost, would still count requests of a host that gets none any more."""
MAX_PART_DELAY_S = 10.0
"""Time in s by which the wait for a token grows at most while only a part of the rate may be used:
by then, a host that reached no keeper has others."""
YOUNG_TIME = timedelta(seconds=5)
"""Age up to which a host has just started: the time for which the use of an account is bounded."""
PART_TIME_S = 0.1
"""Time in s over which a keeper averages the parts of the rate that hosts report to use."""
COUNT_TTL = timedelta(seconds=2)
"""Time after a host's last report after which its next count is not compared with it: what was
admitted in the meantime was admitted by that host's own part of the rate."""
UNHEARD_SHARE = 0.1
"""Share of its part of the rate that a host uses which reaches no keeper and does not know yet that
other hosts are lost. Those may still use the whole rate."""


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """The quota of an account: rate in requests per second, and capacity in requests."""

    rate_per_s: float
    cap: float


@dataclass(slots=True)
class QuotaLevel:
    """A number of tokens, which may be negative, under a quota that may change.

    Attributes:
      tokens: Tokens at `updated`.
      limit: The quota that applies.
      updated: Time of the last refill.
    """

    tokens: float
    limit: QuotaLimit
    updated: Instant

    def refill(self, limit: QuotaLimit, part: float, at: Instant) -> None:
        """Adds the tokens since the last refill, at a part of the rate, and applies the quota.

        A greater burst adds the difference at once, and a smaller one takes the excess away.
        """
        elapsed = max(0.0, (at - self.updated).total_seconds())
        raised = max(0.0, limit.cap - self.limit.cap)
        self.updated, self.limit = at, limit
        self.set(self.tokens + raised + elapsed * limit.rate_per_s * part)

    def set(self, tokens: float) -> None:
        """Sets the number of tokens, within the capacity and the greatest debt."""
        floor = -max(self.limit.cap, MIN_DEBT_TIME_S * self.limit.rate_per_s)
        self.tokens = max(floor, min(self.limit.cap, tokens))


@dataclass(slots=True)
class Demand:
    """Requests that arrived, as two sums that decay exponentially.

    Attributes:
      latest: Requests within about DEMAND_TIME_S, which shows a sudden rush.
      sum: Requests within about RATE_TIME_S.
      updated: Time of the latest ones.
    """

    latest: float
    sum: float
    updated: Instant

    def add(self, count: float, at: Instant) -> None:
        """Adds requests that arrived."""
        latest, rate = self.estimate(at)
        self.latest = latest + count
        self.sum = rate * RATE_TIME_S + count
        self.updated = at

    def estimate(self, at: Instant) -> tuple[float, float]:
        """Returns the number of the latest requests, and the requests per second."""
        elapsed = max(0.0, (at - self.updated).total_seconds())
        latest = self.latest * math.exp(-elapsed / DEMAND_TIME_S)
        return latest, self.sum * math.exp(-elapsed / RATE_TIME_S) / RATE_TIME_S


@dataclass(slots=True)
class KeeperView:
    """What a keeper reported last: its level, less what was admitted here since, and the demand.

    Attributes:
      level: Tokens of the account.
      base: Tokens at the time of the report, less what was admitted here since.
      received_at: Time of the report.
      certain: Whether the keeper has counted for long enough.
      demand: Requests that arrived at other hosts within the time that a report takes.
      requests_per_s: Rate at which requests arrive at other hosts.
    """

    level: QuotaLevel
    base: float
    received_at: Instant
    certain: bool
    demand: float
    requests_per_s: float

    def estimate_share(self, limit: QuotaLimit, part: float, at: Instant) -> float:
        """Estimates how many tokens there are for each request since the report.

        Other hosts share the tokens that the account gains, so that a host with few requests
        must not take all of them for its next one. What the hosts admit too much before they
        hear of each other is paid back later, and stays within the excess that is allowed. A
        keeper that has not counted for long leaves no room for that.
        """
        age = (at - self.received_at).total_seconds()
        tokens = self.base + limit.rate_per_s * part * age
        excess = MIN_EXCESS + EXCESS_SHARE * (limit.rate_per_s * WINDOW_S + limit.cap)
        tokens += excess * part if self.certain else 0.0
        return tokens / (1.0 + self.estimate_demand(at))

    def estimate_demand(self, at: Instant) -> float:
        """Estimates the requests that arrive elsewhere and are not in this host's counts."""
        age = (at - self.received_at).total_seconds()
        return max(self.demand, self.requests_per_s * max(DEMAND_TIME_S, age))


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """Whether a request is within its quota, and why.

    Attributes:
      wait: None if it is, else the time until the account has room.
      tokens: Tokens of the account before the request.
      age: Age of the latest counts, or None if there are none.
      demand: Requests that arrive elsewhere before the next counts.
    """

    wait: timedelta | None
    tokens: float
    age: timedelta | None
    demand: float


@dataclass(slots=True)
class AccountUse:
    """What a host knows of one account for which requests have arrived here.

    Attributes:
      epoch: Distinguishes this record from earlier ones of this process on the account.
      created_at: When the record was made.
      own: Level that applies until a keeper has reported one.
      admitted: Requests admitted since `created_at`, without those whose tokens were returned.
      arrived: Requests that arrived since then.
      reported_admitted, reported_arrived: Both as of the last report.
      reported_at: When they were last reported, or None.
      last_request_at: When the latest request arrived.
      views: What keepers reported.
      last_decision: The latest decision, or None.
    """

    epoch: int
    created_at: Instant
    own: QuotaLevel
    admitted: int = 0
    arrived: int = 0
    reported_admitted: int = 0
    reported_arrived: int = 0
    reported_at: Instant | None = None
    last_request_at: Instant = Instant(0)
    views: dict[HostId, KeeperView] = field(default_factory=dict)
    last_decision: QuotaDecision | None = None

    def refill(self, limit: QuotaLimit, part: float, at: Instant) -> None:
        """Adds the tokens since the last refill."""
        for view in self.views.values():
            view.base += max(0.0, limit.cap - view.level.limit.cap)
        for level in self._list_levels():
            level.refill(limit, part, at)

    def change_admitted(self, count: int) -> None:
        """Counts requests as admitted, or takes that back if the number is negative."""
        self.admitted += count
        for level in self._list_levels():
            level.set(level.tokens - count)
        for view in self.views.values():
            view.base -= count

    def _list_levels(self) -> list[QuotaLevel]:
        return [self.own, *(view.level for view in self.views.values())]


@dataclass(slots=True)
class ReportedUse:
    """A host's latest report to a keeper, and the requests that arrive at that host."""

    process: tuple[Incarnation, int]
    admitted: int
    arrived: int
    received_at: Instant
    demand: Demand


@dataclass(slots=True)
class KeptAccount:
    """What a keeper knows of an account.

    Attributes:
      level: Its tokens.
      part: Part of the rate that is in use, averaged over the latest reports.
      part_at: When it was last reported.
      demand: Requests that arrive at all hosts.
      reports: Latest report of each host.
      next_announcement_at: When all hosts may next be told that the account is short.
      announcement_interval: Time between that and the following one.
    """

    level: QuotaLevel
    part: float
    part_at: Instant
    demand: Demand
    reports: dict[HostId, ReportedUse] = field(default_factory=dict)
    next_announcement_at: Instant = Instant(0)
    announcement_interval: timedelta = timedelta(0)


def build_limit(rate_per_s: float, burst: int) -> QuotaLimit:
    """Builds the quota of an account; one request is always possible."""
    large = LARGE_SAVED_TOKENS + rate_per_s * LARGE_SAVED_TIME_S
    saved = min(rate_per_s * MIN_SAVED_TIME_S, large)
    return QuotaLimit(rate_per_s, max(1.0, float(burst), saved))


def compute_part(heard: float, keepers: int, alive: int, known: int) -> float:
    """Computes the part of the rate that a host may use.

    Each part of a partitioned fleet has some of the keepers, and uses as much of the rate. Later,
    it knows which hosts are lost, chooses its keepers among the others, and uses the part of the
    rate that belongs to those.

    Args:
      heard: Number of keepers that reply; a late one counts as three quarters.
      keepers: Number of keepers.
      alive: Number of hosts that are believed to be alive, including this one.
      known: Number of hosts, including those that were lost lately.
    Returns:
      The part, greater than 0 and up to 1.
    """
    if not heard:
        return UNHEARD_SHARE / max(1, known)
    return max(1.0 / max(1, known), min(heard / max(1, keepers), alive / max(1, known)))


def compute_first_tokens(
    limit: QuotaLimit, age: timedelta, has_old_peer: bool, known_hosts: int, draw: float
) -> float:
    """Computes the tokens of an account that has no record at a host.

    Args:
      limit: Its quota.
      age: Age of the process. A host that has just started holds at most one token.
      has_old_peer: Whether another host is known to have run for longer. If none is, all may have
        been started at once, and only some of them hold a token.
      known_hosts: Number of hosts.
      draw: Random number from 0 to 1.
    Returns:
      The number of tokens.
    """
    if age >= YOUNG_TIME:
        return max(1.0, limit.cap * FIRST_SHARE)
    if has_old_peer:
        return 1.0
    window = limit.rate_per_s * WINDOW_S + limit.cap
    holders = MIN_FIRST_HOLDERS + FIRST_HOLDERS_SHARE * window
    return 1.0 if draw * known_hosts < holders else 0.0


def decide(
    use: AccountUse, heard: set[HostId], limit: QuotaLimit, part: float, draw: float, at: Instant
) -> QuotaDecision:
    """Decides on a request and counts it.

    Args:
      use: What this host knows of the account.
      heard: Keepers that reply.
      limit: The quota.
      part: Part of the rate that this host may use.
      draw: Random number from 0 to 1.
      at: Current time.
    Returns:
      The decision.
    """
    use.refill(limit, part, at)
    use.arrived += 1
    use.last_request_at = at
    views = [view for host, view in use.views.items() if host in heard]
    views = views or list(use.views.values())
    views = [view for view in views if view.certain] or views
    tokens = min((view.level.tokens for view in views), default=use.own.tokens)
    latest = max((view.received_at for view in views), default=at)
    fresh = [view for view in views if latest - view.received_at < FRESH_TIME]
    demand = max((view.estimate_demand(at) for view in fresh), default=0.0)
    share = min((view.estimate_share(limit, part, at) for view in fresh), default=1.0)
    age = at - latest if views else None
    if tokens >= 1.0 and draw < share:
        use.change_admitted(1)
        return QuotaDecision(None, tokens, age, demand)
    missing = min(limit.cap, 1.0 + demand) - tokens if tokens >= 1.0 else 1.0 - tokens
    wait_s = missing / limit.rate_per_s
    wait = timedelta(seconds=max(0.0, min(wait_s / part, wait_s + MAX_PART_DELAY_S)))
    return QuotaDecision(wait, tokens, age, demand)


def count_report(
    kept: KeptAccount,
    host: HostId,
    report: ReportedUse,
    recent: int,
    part: float,
    limit: QuotaLimit,
) -> None:
    """Charges what a host reports to the account at its keeper.

    Args:
      kept: What the keeper knows of the account.
      host: The host.
      report: Its report, which is newer than all earlier ones.
      recent: Requests that it has admitted lately, used if its last report is not known.
      part: Part of the rate that it uses.
      limit: The quota.
    """
    at = report.received_at
    elapsed = max(0.0, (at - kept.part_at).total_seconds())
    kept.part += (part - kept.part) * (1.0 - math.exp(-elapsed / PART_TIME_S))
    kept.part_at = at
    kept.level.refill(limit, kept.part, at)
    before = kept.reports.get(host)
    if before is None or before.process != report.process or at - before.received_at >= COUNT_TTL:
        admitted, arrived = recent, max(0, recent)
    else:
        admitted = report.admitted - before.admitted
        arrived = max(0, report.arrived - before.arrived)
    if before is not None:
        report.demand = before.demand
    report.demand.add(arrived, at)
    kept.reports[host] = report
    kept.level.set(kept.level.tokens - admitted)
    kept.demand.add(arrived, at)
