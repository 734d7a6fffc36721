"""Membership: which hosts exist, and which of them are believed to be alive.

Each host probes one other host a period, in shuffled order. Where no answer comes, it asks a few
others to probe on its behalf, so that one broken path is not taken for a dead host. A host that
nobody reaches is suspected, and declared dead when it does not deny the suspicion in time. News
travels on the datagrams that are sent anyway, so that the load on a host does not grow with the
fleet (Das, Gupta and Motivala, SWIM, 2002). Nothing that has to be safe relies on this view.
"""

import math
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

from endivedrift.core import HostId, Instant, Member, MemberStatus, MessageKind
from endivedrift.core.effects import Effect
from endivedrift.fleet._datagrams import ping_member, sample_alive, send_datagram
from endivedrift.fleet._dissemination import INDIRECT_HELPERS, learn_member
from endivedrift.fleet._view import Membership, Probe

PROBE_PERIOD = timedelta(seconds=1)


DIRECT_TIMEOUT = timedelta(milliseconds=300)


WATCH_PERIOD = timedelta(milliseconds=300)
WATCH_PERIOD_PER_MEMBER = timedelta(milliseconds=60)
WATCH_TIMEOUT = timedelta(milliseconds=600)
"""Time without an answer, direct or through helpers, after which a watched host is suspected: twice
the time after which helpers are asked."""
MAX_TOLD = 200
"""Hosts of the domain that are told at once; the others hear by gossip."""


SUSPICION_BASE = timedelta(seconds=2)


FORGET_DEAD_AFTER = timedelta(minutes=10)


SYNC_PERIOD = timedelta(seconds=60)


SYNC_PERIOD_PER_MEMBER = timedelta(milliseconds=300)


LONELY_SYNC_PERIOD = timedelta(seconds=1)


REVIVAL_PERIOD = timedelta(seconds=5)


LEAVE_NOTICES = 8


_UNDER_PROBE = frozenset({MemberStatus.STARTING, MemberStatus.ALIVE})


def advance_membership(view: Membership, at: Instant) -> list[Effect]:
    """Sends the probes that are due and judges those without an answer.

    Args:
      view: The view.
      at: Present time.
    Returns:
      Datagrams to send and audit entries.
    """
    effects: list[Effect] = [*_judge_probes(view, at), *_judge_suspects(view, at)]
    if at >= view.next_sync:
        effects += _request_sync(view, at)
    if at >= view.next_revival:
        view.next_revival = at + REVIVAL_PERIOD
        effects += _try_revival(view)
    if at >= view.next_probe:
        view.next_probe = at + PROBE_PERIOD
        effects += _probe_next(view, at)
    expired = [n for n, relay in view.relays.items() if at - relay.sent > PROBE_PERIOD]
    for number in expired:
        del view.relays[number]
    return effects


def watch_members(view: Membership, at: Instant, hosts: Iterable[HostId]) -> list[Effect]:
    """Probes hosts that callers of this failure domain are told, more often than the others.

    Is due at `view.next_watch`. Each host of the domain does so, the less often the more there are,
    so that the watched host answers about as many probes in a domain of any size.

    Args:
      view: The view.
      at: Present time.
      hosts: The hosts to watch; this one is left out.
    Returns:
      Datagrams to send.
    """
    near = sum(1 for r in view.records.values() if _is_near(view, r.member))
    period = max(WATCH_PERIOD, WATCH_PERIOD_PER_MEMBER * near)
    view.next_watch = at + period * view.random.uniform(0.75, 1.25)
    effects: list[Effect] = []
    for host in hosts:
        record = view.records.get(host)
        if record is None or record.member.status not in _UNDER_PROBE:
            continue
        view.probe_count += 1
        view.probes[view.probe_count] = Probe(host, at, watched=True)
        effects.append(ping_member(view, record.member, view.probe_count, host))
    return effects


def _tell_near(view: Membership, member: Member) -> list[Effect]:
    """Tells the hosts of this failure domain at once that a watched host does not answer."""
    near = [r.member for r in view.records.values() if _is_near(view, r.member)]
    return [
        send_datagram(view, other.peer_address, MessageKind.NOTICE, first=(member,))
        for other in near[:MAX_TOLD]
        if other.host != member.host
    ]


def _is_near(view: Membership, member: Member) -> bool:
    near = member.failure_domain == view.me.failure_domain
    return near and member.status is MemberStatus.ALIVE


def mark_serving(view: Membership) -> None:
    """Lets this host be told to callers from now on."""
    if view.me.status is MemberStatus.STARTING:
        view.me = replace(view.me, status=MemberStatus.ALIVE)
        view.version += 1


def announce_leaving(view: Membership, at: Instant) -> list[Effect]:
    """Tells several hosts at once that this one is leaving."""
    view.me = replace(view.me, status=MemberStatus.LEAVING, refutations=view.me.refutations + 1)
    view.version += 1
    reachable = [r.member for r in view.records.values() if r.member.status < MemberStatus.DEAD]
    receivers = view.random.sample(reachable, min(LEAVE_NOTICES, len(reachable)))
    return [send_datagram(view, member.peer_address, MessageKind.NOTICE) for member in receivers]


def _judge_probes(view: Membership, at: Instant) -> list[Effect]:
    effects: list[Effect] = []
    for number, probe in list(view.probes.items()):
        record = view.records.get(probe.host)
        if record is None:
            del view.probes[number]
        elif at - probe.sent >= (WATCH_TIMEOUT if probe.watched else PROBE_PERIOD):
            del view.probes[number]
            if record.member.status in _UNDER_PROBE:
                suspect = record.member.with_status(MemberStatus.SUSPECT)
                effects += learn_member(view, at, suspect)
                effects += _tell_near(view, suspect) if probe.watched else []
            elif record.member.status is MemberStatus.LEAVING:
                effects += learn_member(view, at, record.member.with_status(MemberStatus.DEAD))
        elif at - probe.sent >= DIRECT_TIMEOUT and not probe.indirect:
            probe.indirect = True
            effects += _request_indirect_probes(view, number, probe)
    return effects


def _request_indirect_probes(view: Membership, number: int, probe: Probe) -> list[Effect]:
    return [
        send_datagram(
            view, m.peer_address, MessageKind.PING_REQUEST, probe=number, subject=probe.host
        )
        for m in sample_alive(view, INDIRECT_HELPERS, probe.host)
    ]


def _judge_suspects(view: Membership, at: Instant) -> list[Effect]:
    effects: list[Effect] = []
    patience = SUSPICION_BASE * (1.0 + math.log10(len(view.records) + 1))
    for host, record in list(view.records.items()):
        status = record.member.status
        if status is MemberStatus.SUSPECT and at - record.since >= patience:
            effects += learn_member(view, at, record.member.with_status(MemberStatus.DEAD))
        elif status is MemberStatus.DEAD and at - record.since >= FORGET_DEAD_AFTER:
            del view.records[host]
            view.remaining_transmissions.pop(host, None)
    return effects


def _probe_next(view: Membership, at: Instant) -> list[Effect]:
    for _ in range(len(view.order) + 1):
        if not view.order:
            view.order = list(view.records)
            view.random.shuffle(view.order)
        if not view.order:
            return []
        record = view.records.get(view.order.pop())
        if record is not None and record.member.status is not MemberStatus.DEAD:
            break
    else:
        return []
    view.probe_count += 1
    view.probes[view.probe_count] = Probe(record.member.host, at)
    return [ping_member(view, record.member, view.probe_count, record.member.host)]


def _try_revival(view: Membership) -> list[Effect]:
    """Pings a host held to be dead, and a seed, so that the two sides of a healed cut meet."""
    dead = [r.member for r in view.records.values() if r.member.status is MemberStatus.DEAD]
    effects: list[Effect] = []
    if dead:
        effects.append(ping_member(view, view.random.choice(dead), 0, HostId("")))
    known = {r.member.peer_address for r in view.records.values()} | {view.me.peer_address}
    strangers = [address for address in view.seeds if address not in known]
    if strangers and view.records:
        address = view.random.choice(strangers)
        effects.append(send_datagram(view, address, MessageKind.SYNC_REQUEST))
    return effects


def _request_sync(view: Membership, at: Instant) -> list[Effect]:
    chosen_alive = sample_alive(view, 1, view.me.host)
    if chosen_alive:
        period = max(SYNC_PERIOD, SYNC_PERIOD_PER_MEMBER * len(view.records))
        view.next_sync = at + period * view.random.uniform(0.75, 1.25)
        return [send_datagram(view, chosen_alive[0].peer_address, MessageKind.SYNC_REQUEST)]
    view.next_sync = at + LONELY_SYNC_PERIOD
    seeds = [address for address in view.seeds if address != view.me.peer_address]
    chosen = view.random.sample(seeds, min(INDIRECT_HELPERS, len(seeds)))
    return [send_datagram(view, address, MessageKind.SYNC_REQUEST) for address in chosen]
