"""Keeps caller accounts within their quotas, together with the other hosts.

Each account has a few keepers, selected by hash among the hosts, one in each failure domain. A host
reports what it has admitted of an account to its keepers, which reply with the tokens that are left
after the reports of all hosts. Reports contain cumulative counts, so that lost ones do no harm.
A host admits or refuses each request at once, by the latest replies. docs/design/quotas.md gives
the reasons and what happens on failures.
"""

import heapq
import zlib
from datetime import timedelta
from typing import Any

from endivedrift.core import (
    CallerName,
    HostId,
    Instant,
    Member,
    MemberStatus,
    QuotaReport,
    QuotaStatus,
)
from endivedrift.core.effects import Effect
from endivedrift.fleet import (
    find_member,
    list_reachable,
    list_usable,
    select_spread_hosts,
    send_quota_statuses,
    send_quotas,
)
from endivedrift.policy import (
    DEMAND_TIME_S,
    YOUNG_TIME,
    AccountUse,
    Demand,
    KeeperView,
    KeptAccount,
    QuotaDecision,
    QuotaLevel,
    QuotaLimit,
    ReportedUse,
    build_limit,
    compute_first_tokens,
    compute_part,
    count_report,
    decide,
)
from endivedrift.reducer._state import HostState, QuotaCount, QuotaKeepers, RequestState

KEEPER_COUNT = 3
"""Keepers of an account: one in each failure domain of the smallest deployment, so that the loss of
one leaves two thirds of the rate, and a partition along failure domains leaves a keeper on each
side."""
KEEPER_GROUPS = 32
"""Groups of accounts with the same keepers, so that reports on several accounts share a datagram,
and no host keeps many accounts of a fleet of a hundred hosts."""
MAX_CHANGED_SHARE = 1.0 / 16.0
"""Share of hosts that may have joined or been lost before keepers are selected again at once. After
a partition, both sides would otherwise use the whole rate by keepers of their own."""
KEEPER_INTERVAL = timedelta(seconds=5)
"""Time after which hosts that have joined may become keepers. Selecting among 930 hosts takes over
a millisecond for each group, so it is not repeated at each change of the membership."""
SHORT_INTERVAL = timedelta(milliseconds=90)
"""Least time between two reports on an account: just under the interval of ticks."""
LONG_INTERVAL = timedelta(milliseconds=500)
"""Time between two reports on an account with enough tokens."""
SHORT_FACTOR = 4.0
"""Multiple of the requests of a short interval under which tokens count as short, since they might
be used up before the end of a long interval."""
UNREPORTED_SHARE = 0.125
"""Share of the tokens that this host may use without a report before the next tick."""
REPLY_TIMEOUT = timedelta(milliseconds=350)
"""Time without a reply after which a keeper counts as not heard. Four reports at ticks are then
unanswered, which happens in one of 60 cases while a fifth of the datagrams is lost."""
LATE_REPLY_TIME = timedelta(milliseconds=150)
"""Time without a reply after which a keeper counts as three quarters heard, so that both sides of a
partition use less before it is certain."""
RETRY_TIME = timedelta(seconds=1)
"""Time after the latest request for which a report without a reply is repeated at each tick."""
REFUTATION_TIME = timedelta(seconds=2)
"""Time for which a suspected host counts as alive. While a fifth of the datagrams is lost, 10 % of
102 hosts are suspected at any time, and 2 % for longer than this."""
LOST_HOST_TTL = timedelta(minutes=2)
"""Time for which a host that is believed to be dead counts as one that may still admit requests
elsewhere, in a partitioned fleet."""
RECENT_TIME = timedelta(seconds=5)
"""Age up to which the count of a record contains recent requests only."""
CERTAIN_AFTER = timedelta(seconds=30)
"""Age from which a keeper's level is certain in any case, although an account with a large burst
may take longer to fill its bucket."""
IDLE_TTL = timedelta(seconds=15)
"""Time after the last request after which the record of an account is dropped."""
SHORT_IDLE_TTL = timedelta(seconds=60)
"""The same for an account that has more requests elsewhere than its quota allows. Each request of a
host without a record might be admitted."""
MIN_ANNOUNCE_INTERVAL = timedelta(milliseconds=300)
MAX_ANNOUNCE_INTERVAL = timedelta(seconds=5)
"""Least and greatest time between two reports to all hosts on an account that is short. It doubles
each time, since the first reports are sent while the rate of requests is not well known."""
NO_EPOCH = 0
COUNT_INTERVAL = timedelta(milliseconds=500)
MAX_REPORTS_PER_DATAGRAM = 40
"""Limit that keeps reports in one datagram, at up to 150 bytes each."""
SHOWN_ACCOUNTS = 20
"""Accounts that operators see separately: so many by refusals, and so many by use."""
MAX_COUNTED_ACCOUNTS = 512
"""Accounts that are counted separately. If there are more, the half with the fewest requests is
added to the others."""


def charge_account(state: HostState, at: Instant, caller: CallerName) -> timedelta | None:
    """Charges a request to its account.

    Returns:
      None if it is within the quota, or else the time until the account has room.
    """
    limit = _get_limit(state, caller)
    if limit is None:
        return None
    quotas = state.quotas
    use = quotas.uses.get(caller) or _create_use(state, at, caller, limit)
    decision = _decide(state, at, caller, use, limit)
    use.last_decision = decision
    quotas.active.add(caller)
    if use.reported_at is None or at - use.reported_at >= LONG_INTERVAL:
        quotas.urgent.add(caller)
    _count(state, caller, admitted=decision.wait is None)
    return decision.wait


def explain_refusal(state: HostState, at: Instant, caller: CallerName) -> str:
    """Returns a sentence on the refusal that `charge_account` has just decided on."""
    account = state.objects.caller[caller]
    decision = state.quotas.uses[caller].last_decision
    assert decision is not None
    heard, _ = _find_heard(state, at, caller)
    age = f"counts {decision.age.total_seconds():.2f} s old" if decision.age is not None else ""
    return (
        f"the account {caller} is over its quota of {account.requests_per_s:g}/s, burst "
        f"{account.burst}: {decision.tokens:.1f} tokens, {decision.demand:.1f} requests elsewhere, "
        f"by {age or 'no counts of other hosts'}, {len(heard)} keepers heard"
    )


def return_charge(state: HostState, pending: RequestState) -> None:
    """Returns the token of a request that is refused and was not sent."""
    caller, pending.charged_account = pending.charged_account, None
    use = state.quotas.uses.get(caller) if caller is not None else None
    if caller is not None and use is not None and use.created_at <= pending.arrived:
        use.change_admitted(-1)
        state.quotas.active.add(caller)


def move_charge(
    state: HostState, at: Instant, pending: RequestState, caller: CallerName | None
) -> None:
    """Charges a request to another account, since its key has moved there."""
    if pending.charged_account is None or caller is None:
        return
    return_charge(state, pending)
    limit = _get_limit(state, caller)
    if limit is not None:
        use = state.quotas.uses.get(caller) or _create_use(state, at, caller, limit)
        use.change_admitted(1)
        pending.charged_account = caller
        state.quotas.active.add(caller)


def advance_quotas(state: HostState, at: Instant) -> list[Effect]:
    """Reports on the accounts that are due, and tells all hosts of those that are short."""
    quotas = state.quotas
    effects: list[Effect] = []
    if quotas.short:
        effects += _announce_short_accounts(state, at)
    if not quotas.active:
        return effects
    due = []
    for caller in sorted(quotas.active):
        use, limit = quotas.uses.get(caller), _get_limit(state, caller)
        if use is None or limit is None:
            quotas.active.discard(caller)
        elif _is_due(state, at, caller, use, limit):
            due.append(caller)
        elif not _is_unreported(use) and not _awaits_reply(state, at, caller, use):
            quotas.active.discard(caller)
    return effects + _report(state, at, due)


def report_urgent_quotas(state: HostState, at: Instant) -> list[Effect]:
    """Reports on accounts whose first request after a pause has arrived.

    Other hosts at which a burst of the account arrives then know of each other within milliseconds.
    """
    urgent, state.quotas.urgent = state.quotas.urgent, set()
    return _report(state, at, sorted(urgent & state.quotas.uses.keys()))


def apply_quota_reports(
    state: HostState, at: Instant, sender: Member, reports: tuple[QuotaReport, ...]
) -> list[Effect]:
    """Applies what another host has admitted, and replies with the tokens that are left."""
    statuses = []
    for report in reports:
        limit = _get_limit(state, report.account)
        if limit is not None:
            statuses.append(_keep(state, at, sender, report, limit))
    if not statuses:
        return []
    return send_quota_statuses(state.membership, [sender], tuple(statuses))


def apply_quota_statuses(
    state: HostState, at: Instant, keeper: HostId, statuses: tuple[QuotaStatus, ...]
) -> None:
    """Applies the reply of a keeper, or what it tells all hosts."""
    if any(status.epoch != NO_EPOCH for status in statuses):
        state.quotas.unanswered.pop(keeper, None)
    is_other = keeper != state.identity.host
    state.quotas.has_old_peer |= is_other and any(status.certain for status in statuses)
    for status in statuses:
        use, limit = state.quotas.uses.get(status.account), _get_limit(state, status.account)
        if use is None and limit is not None and status.epoch == NO_EPOCH:
            use = _create_use(state, at, status.account, limit)
        if use is None or limit is None or status.epoch not in (use.epoch, NO_EPOCH):
            continue
        known = use.reported_admitted if status.epoch == NO_EPOCH else status.admitted
        level = QuotaLevel(0.0, limit, at)
        level.set(status.tokens - (use.admitted - known))
        use.views[keeper] = KeeperView(
            level, level.tokens, at, status.certain, status.demand, status.requests_per_s
        )


def forget_removed_quotas(state: HostState) -> None:
    """Forgets accounts that a new object set has removed or gives no quota."""
    quotas = state.quotas
    for caller in [*quotas.uses, *quotas.kept]:
        if _get_limit(state, caller) is None:
            quotas.uses.pop(caller, None)
            quotas.kept.pop(caller, None)


def forget_idle_quotas(state: HostState, at: Instant) -> None:
    """Forgets accounts that have been idle, and hosts that have not reported lately.

    A keeper remembers an account until its bucket is full.
    """
    quotas = state.quotas
    for caller, use in list(quotas.uses.items()):
        limit = _get_limit(state, caller)
        rate = max((view.requests_per_s for view in use.views.values()), default=0.0)
        is_short = limit is not None and rate > limit.rate_per_s
        if at - use.last_request_at >= (SHORT_IDLE_TTL if is_short else IDLE_TTL):
            del quotas.uses[caller]
    for caller, kept in list(quotas.kept.items()):
        limit = _get_limit(state, caller)
        kept.reports = {h: r for h, r in kept.reports.items() if at - r.received_at < IDLE_TTL}
        if limit is not None:
            kept.level.refill(limit, kept.part, at)
        if not kept.reports and (limit is None or kept.level.tokens >= limit.cap):
            del quotas.kept[caller]
    for host, since in list(quotas.unanswered.items()):
        if at - since >= IDLE_TTL:
            del quotas.unanswered[host]


def list_quota_counts(state: HostState) -> tuple[dict[CallerName, QuotaCount], QuotaCount]:
    """Returns the counts of the accounts that are heaviest by refusals or use, and of the rest."""
    counts = state.quotas.counts
    shown = set(heapq.nlargest(SHOWN_ACCOUNTS, counts, key=lambda c: counts[c].refused))
    shown |= set(heapq.nlargest(SHOWN_ACCOUNTS, counts, key=lambda c: counts[c].admitted))
    other = state.quotas.other_counts
    rest = [count for caller, count in counts.items() if caller not in shown]
    total = QuotaCount(
        other.admitted + sum(count.admitted for count in rest),
        other.refused + sum(count.refused for count in rest),
    )
    return {caller: counts[caller] for caller in sorted(shown)}, total


def describe_quotas(state: HostState, at: Instant) -> dict[str, Any]:
    """Describes the heaviest accounts for operators, as JSON values."""
    counts, other = list_quota_counts(state)
    accounts: dict[str, Any] = {}
    for caller, count in counts.items():
        described: dict[str, Any] = {"admitted": count.admitted, "refused": count.refused}
        use, limit = state.quotas.uses.get(caller), _get_limit(state, caller)
        keepers = list_keepers(state, at, caller)
        if use is not None and limit is not None and use.last_decision is not None:
            decision = use.last_decision
            heard, part = _find_heard(state, at, caller)
            described |= {
                "tokens": round(decision.tokens, 1),
                "counts_age_s": _round_seconds(decision.age),
                "requests_elsewhere": round(decision.demand, 1),
                "part_of_rate": round(part, 3),
                "keepers_heard": sorted(heard),
            }
        accounts[caller] = {**described, "keepers": [keeper.host for keeper in keepers]}
    others = {"admitted": other.admitted, "refused": other.refused}
    return {"accounts": accounts, "others": others}


def estimate_tokens(state: HostState, at: Instant, caller: CallerName) -> float | None:
    """Estimates the tokens of an account; None if it has no quota, or is not known here."""
    use, limit = state.quotas.uses.get(caller), _get_limit(state, caller)
    if use is None or limit is None:
        return None
    _, part = _find_heard(state, at, caller)
    use.refill(limit, part, at)
    return min((view.level.tokens for view in use.views.values()), default=use.own.tokens)


def list_keepers(state: HostState, at: Instant, caller: CallerName) -> tuple[Member, ...]:
    """Returns the hosts that add up what all hosts have admitted of an account.

    A host that is only suspected stays a keeper. It is replaced when it is declared dead; by then
    the other hosts on its side of a partition are known to be lost as well.
    """
    group = zlib.crc32(caller.encode()) % KEEPER_GROUPS
    cached = state.quotas.keepers.get(group)
    version = state.membership.version
    if cached is not None and cached.version == version:
        return cached.hosts
    alive, _ = _count_hosts(state, at)
    if cached is not None and at < cached.valid_until:
        is_similar = abs(alive - cached.alive) <= cached.alive * MAX_CHANGED_SHARE
        if is_similar and _are_usable(state, cached.hosts):
            return cached.hosts
    usable = list_usable(state.membership)
    hosts = select_spread_hosts(f"quotas {group}", usable, KEEPER_COUNT)
    state.quotas.keepers[group] = QuotaKeepers(hosts, version, at + KEEPER_INTERVAL, alive)
    return hosts


def _are_usable(state: HostState, hosts: tuple[Member, ...]) -> bool:
    for host in hosts:
        member = find_member(state.membership, host.host)
        if member is None or member.incarnation != host.incarnation:
            return False
        if member.status not in (MemberStatus.ALIVE, MemberStatus.SUSPECT):
            return False
    return len(hosts) == KEEPER_COUNT


def _get_limit(state: HostState, caller: CallerName) -> QuotaLimit | None:
    account = state.objects.caller.get(caller)
    if account is None or not account.requests_per_s:
        return None
    return build_limit(account.requests_per_s, account.burst)


def _create_use(state: HostState, at: Instant, caller: CallerName, limit: QuotaLimit) -> AccountUse:
    quotas = state.quotas
    quotas.last_epoch += 1
    _, known = _count_hosts(state, at)
    age, draw = _get_age(state, at), state.random.random()
    first = compute_first_tokens(limit, age, quotas.has_old_peer, known, draw)
    use = AccountUse(quotas.last_epoch, at, QuotaLevel(first, limit, at), last_request_at=at)
    quotas.uses[caller] = use
    if any(keeper.host == state.identity.host for keeper in list_keepers(state, at, caller)):
        _report_to_self(state, at, caller, use, limit)
    return use


def _decide(
    state: HostState, at: Instant, caller: CallerName, use: AccountUse, limit: QuotaLimit
) -> QuotaDecision:
    heard, part = _find_heard(state, at, caller)
    return decide(use, heard, limit, part, state.random.random(), at)


def _find_heard(state: HostState, at: Instant, caller: CallerName) -> tuple[set[HostId], float]:
    """Returns the keepers of an account that reply, and the part of its rate that may be used."""
    keepers = list_keepers(state, at, caller)
    unanswered = state.quotas.unanswered
    heard = {m.host for m in keepers if at - unanswered.get(m.host, at) < REPLY_TIMEOUT}
    late = sum(at - unanswered.get(host, at) >= LATE_REPLY_TIME for host in heard)
    alive, known = _count_hosts(state, at)
    return heard, compute_part(len(heard) - late / 4, len(keepers), alive, known)


def _count_hosts(state: HostState, at: Instant) -> tuple[int, int]:
    """Returns how many hosts are alive, and how many are alive or may be."""
    quotas = state.quotas
    if at < quotas.next_count_at:
        return quotas.host_counts
    quotas.next_count_at = at + COUNT_INTERVAL
    alive, lost = 1, 0
    for record in state.membership.records.values():
        status = record.member.status
        if status is MemberStatus.ALIVE:
            alive += 1
        elif status is MemberStatus.SUSPECT:
            is_lost = at - record.status_since >= REFUTATION_TIME
            alive, lost = alive + (not is_lost), lost + is_lost
        elif status is MemberStatus.DEAD:
            lost += at - record.status_since < LOST_HOST_TTL
    quotas.host_counts = (alive, alive + lost)
    return quotas.host_counts


def _is_unreported(use: AccountUse) -> bool:
    return (use.admitted, use.arrived) != (use.reported_admitted, use.reported_arrived)


def _awaits_reply(state: HostState, at: Instant, caller: CallerName, use: AccountUse) -> bool:
    if at - use.last_request_at >= RETRY_TIME:
        return False
    return any(keeper.host in state.quotas.unanswered for keeper in list_keepers(state, at, caller))


def _is_due(
    state: HostState, at: Instant, caller: CallerName, use: AccountUse, limit: QuotaLimit
) -> bool:
    if use.reported_at is None:
        return True
    elapsed = at - use.reported_at
    if elapsed < SHORT_INTERVAL:
        return False
    if _awaits_reply(state, at, caller, use):
        return True
    if not _is_unreported(use):
        return False
    decision = use.last_decision
    if elapsed >= LONG_INTERVAL or decision is None:
        return True
    unreported = use.admitted - use.reported_admitted
    arrived = use.arrived - use.reported_arrived
    if unreported >= decision.tokens * UNREPORTED_SHARE:
        return True
    return decision.tokens < SHORT_FACTOR * (1.0 + decision.demand + arrived)


def _report(state: HostState, at: Instant, callers: list[CallerName]) -> list[Effect]:
    """Sends the counts of accounts to their keepers, and counts them here if this is one."""
    batches: dict[tuple[Member, ...], list[QuotaReport]] = {}
    for caller in callers:
        use, limit = state.quotas.uses[caller], _get_limit(state, caller)
        if limit is None:
            continue
        keepers = list_keepers(state, at, caller)
        others = tuple(keeper for keeper in keepers if keeper.host != state.identity.host)
        batches.setdefault(others, []).append(_build_report(state, at, caller, use))
        if len(others) < len(keepers):
            _report_to_self(state, at, caller, use, limit)
        use.reported_admitted, use.reported_arrived = use.admitted, use.arrived
        use.reported_at = at
    effects: list[Effect] = []
    for keepers, reports in batches.items():
        for keeper in keepers:
            state.quotas.unanswered.setdefault(keeper.host, at)
        for first in range(0, len(reports), MAX_REPORTS_PER_DATAGRAM):
            chunk = tuple(reports[first : first + MAX_REPORTS_PER_DATAGRAM])
            effects += send_quotas(state.membership, list(keepers), chunk)
    return effects


def _build_report(
    state: HostState, at: Instant, caller: CallerName, use: AccountUse
) -> QuotaReport:
    _, part = _find_heard(state, at, caller)
    is_new = at - use.created_at < RECENT_TIME
    recent = use.admitted - (0 if is_new else use.reported_admitted)
    tokens = min((view.level.tokens for view in use.views.values()), default=None)
    return QuotaReport(caller, use.epoch, use.admitted, recent, use.arrived, part, tokens)


def _report_to_self(
    state: HostState, at: Instant, caller: CallerName, use: AccountUse, limit: QuotaLimit
) -> None:
    report = _build_report(state, at, caller, use)
    status = _keep(state, at, state.membership.me, report, limit)
    apply_quota_statuses(state, at, state.identity.host, (status,))


def _keep(
    state: HostState, at: Instant, sender: Member, report: QuotaReport, limit: QuotaLimit
) -> QuotaStatus:
    """Counts a report at a keeper and returns the tokens that are left."""
    kept = state.quotas.kept.get(report.account)
    if kept is None:
        gained = limit.rate_per_s * _get_age(state, at).total_seconds()
        known = report.tokens + report.recent if report.tokens is not None else limit.cap
        level = QuotaLevel(min(limit.cap, 1.0 + gained, known), limit, at)
        demand = Demand(0.0, 0.0, at)
        kept = KeptAccount(
            level, report.part, at, demand, announcement_interval=MIN_ANNOUNCE_INTERVAL
        )
        state.quotas.kept[report.account] = kept
    process = (sender.incarnation, report.epoch)
    reported = ReportedUse(process, report.admitted, report.arrived, at, Demand(0.0, 0.0, at))
    count_report(kept, sender.host, reported, report.recent, report.part, limit)
    latest, rate = kept.demand.estimate(at)
    if kept.level.tokens < 1.0 and rate > limit.rate_per_s and len(kept.reports) > 1:
        state.quotas.short.add(report.account)
    own_latest, own_rate = reported.demand.estimate(at)
    return QuotaStatus(
        report.account,
        report.epoch,
        report.admitted,
        kept.level.tokens,
        max(0.0, latest - own_latest),
        max(0.0, rate - own_rate),
        _is_certain(state, at, limit),
    )


def _is_certain(state: HostState, at: Instant, limit: QuotaLimit) -> bool:
    """Tells whether this keeper has counted for as long as it takes to fill a bucket."""
    filled_after = min(CERTAIN_AFTER, timedelta(seconds=limit.cap / limit.rate_per_s))
    return _get_age(state, at) >= max(YOUNG_TIME, filled_after)


def _announce_short_accounts(state: HostState, at: Instant) -> list[Effect]:
    """Tells all hosts which accounts are short, if this host is their first keeper.

    A host that gets its first request of such an account would otherwise admit it.
    """
    quotas = state.quotas
    short, quotas.short = quotas.short, set()
    statuses = []
    for caller in sorted(short & quotas.kept.keys()):
        limit, keepers = _get_limit(state, caller), list_keepers(state, at, caller)
        if limit is None or not keepers or keepers[0].host != state.identity.host:
            continue
        kept = quotas.kept[caller]
        if at < kept.next_announcement_at:
            continue
        if at - kept.next_announcement_at >= MAX_ANNOUNCE_INTERVAL:
            kept.announcement_interval = MIN_ANNOUNCE_INTERVAL
        kept.next_announcement_at = at + kept.announcement_interval
        kept.announcement_interval = min(MAX_ANNOUNCE_INTERVAL, 2 * kept.announcement_interval)
        kept.level.refill(limit, kept.part, at)
        latest, rate = kept.demand.estimate(at)
        rate = max(rate, latest / DEMAND_TIME_S)
        certain = _is_certain(state, at, limit)
        tokens = kept.level.tokens
        statuses.append(QuotaStatus(caller, NO_EPOCH, 0, tokens, latest, rate, certain))
    effects: list[Effect] = []
    for first in range(0, len(statuses), MAX_REPORTS_PER_DATAGRAM):
        chunk = tuple(statuses[first : first + MAX_REPORTS_PER_DATAGRAM])
        receivers = list_reachable(state.membership)
        effects += send_quota_statuses(state.membership, receivers, chunk)
    return effects


def _get_age(state: HostState, at: Instant) -> timedelta:
    return at - state.started_at if state.started_at is not None else timedelta(0)


def _count(state: HostState, caller: CallerName, admitted: bool) -> None:
    """Counts a request for operators."""
    quotas = state.quotas
    before = quotas.counts.get(caller, QuotaCount())
    quotas.counts[caller] = QuotaCount(before.admitted + admitted, before.refused + (not admitted))
    if len(quotas.counts) <= MAX_COUNTED_ACCOUNTS:
        return
    ordered = sorted(
        quotas.counts, key=lambda c: (quotas.counts[c].refused, quotas.counts[c].admitted)
    )
    for light in ordered[: MAX_COUNTED_ACCOUNTS // 2]:
        count = quotas.counts.pop(light)
        other = quotas.other_counts
        quotas.other_counts = QuotaCount(
            other.admitted + count.admitted, other.refused + count.refused
        )


def _round_seconds(time: timedelta | None) -> float | None:
    return round(time.total_seconds(), 2) if time is not None else None
