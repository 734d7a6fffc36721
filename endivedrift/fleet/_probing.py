"""Failure detection: finds out which hosts of the fleet are alive.

Each host probes one other host per period, in shuffled order. If it gets no answer, it asks a few
other hosts to probe on its behalf, so that one broken network path is not mistaken for a dead host.
A host that nobody reaches is suspected, and declared dead if it does not refute the suspicion in
time. Membership updates are piggybacked on datagrams that are sent anyway, so that the load on a
host does not grow with the fleet (Das, Gupta and Motivala, SWIM, 2002). The view may be wrong;
nothing that has to be safe relies on it.
"""

import math
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

from endivedrift.core import HostId, Instant, Member, MemberStatus, MessageKind
from endivedrift.core.effects import Effect
from endivedrift.fleet._datagrams import build_datagram, build_ping, sample_alive
from endivedrift.fleet._dissemination import GOSSIP_FANOUT, apply_report
from endivedrift.fleet._membership import Membership, Probe

PROBE_PERIOD = timedelta(seconds=1)
DIRECT_PROBE_TIMEOUT = timedelta(milliseconds=300)
WATCH_PERIOD = timedelta(milliseconds=300)
WATCH_PERIOD_PER_MEMBER = timedelta(milliseconds=60)
WATCH_TIMEOUT = timedelta(milliseconds=600)
"""Time without a direct or indirect answer after which a watched host is suspected: twice the time
after which other hosts are asked to probe."""
MAX_SUSPECT_NOTICES = 200
"""Hosts of the failure domain that are notified of a suspicion at once; others learn by gossip."""
BASE_SUSPICION_TIMEOUT = timedelta(seconds=2)
FORGET_DEAD_AFTER = timedelta(minutes=10)
SYNC_PERIOD = timedelta(seconds=60)
SYNC_PERIOD_PER_MEMBER = timedelta(milliseconds=300)
ISOLATED_SYNC_PERIOD = timedelta(seconds=1)
RECONNECT_PERIOD = timedelta(seconds=5)
LEAVE_NOTICES = 8

_PROBED_STATUSES = frozenset({MemberStatus.STARTING, MemberStatus.ALIVE})


def advance_membership(view: Membership, at: Instant) -> list[Effect]:
    """Sends the probes that are due and processes those that timed out.

    Args:
      view: The membership view.
      at: Current time.
    Returns:
      Datagrams to send and audit entries.
    """
    effects: list[Effect] = [*_check_probes(view, at), *_expire_members(view, at)]
    if at >= view.next_sync:
        effects += _request_sync(view, at)
    if at >= view.next_reconnect:
        view.next_reconnect = at + RECONNECT_PERIOD
        effects += _try_reconnect(view)
    if at >= view.next_probe:
        view.next_probe = at + PROBE_PERIOD
        effects += _probe_next(view, at)
    expired = [n for n, relay in view.relays.items() if at - relay.sent_at > PROBE_PERIOD]
    for number in expired:
        del view.relays[number]
    return effects


def watch_members(view: Membership, at: Instant, hosts: Iterable[HostId]) -> list[Effect]:
    """Probes the hosts to which callers of this failure domain are sent, more often than others.

    Due at `view.next_watch`. Every host of the failure domain does this. In large domains the
    period grows with the number of hosts, so that the rate of probes at a watched host is limited.

    Args:
      view: The membership view.
      at: Current time.
      hosts: The hosts to watch, other than this one.
    Returns:
      Datagrams to send.
    """
    domain_peer_count = sum(1 for r in view.records.values() if _is_alive_in_domain(view, r.member))
    period = max(WATCH_PERIOD, WATCH_PERIOD_PER_MEMBER * domain_peer_count)
    view.next_watch = at + period * view.random.uniform(0.75, 1.25)
    effects: list[Effect] = []
    for host in hosts:
        record = view.records.get(host)
        if record is None or record.member.status not in _PROBED_STATUSES:
            continue
        view.last_probe_number += 1
        view.probes[view.last_probe_number] = Probe(host, at, is_watched=True)
        effects.append(build_ping(view, record.member, view.last_probe_number, host))
    return effects


def _notify_domain(view: Membership, suspect: Member) -> list[Effect]:
    """Notifies the hosts of this failure domain at once that a watched host is suspected."""
    domain_peers = [r.member for r in view.records.values() if _is_alive_in_domain(view, r.member)]
    return [
        build_datagram(view, other.peer_address, MessageKind.NOTICE, first_updates=(suspect,))
        for other in domain_peers[:MAX_SUSPECT_NOTICES]
        if other.host != suspect.host
    ]


def _is_alive_in_domain(view: Membership, member: Member) -> bool:
    is_in_domain = member.failure_domain == view.me.failure_domain
    return is_in_domain and member.status is MemberStatus.ALIVE


def mark_serving(view: Membership) -> None:
    """Changes this host's status to ALIVE, so that callers may be sent to it."""
    if view.me.status is MemberStatus.STARTING:
        view.me = replace(view.me, status=MemberStatus.ALIVE)
        view.version += 1


def announce_leaving(view: Membership, at: Instant) -> list[Effect]:
    """Changes this host's status to LEAVING and notifies several hosts at once."""
    view.me = replace(view.me, status=MemberStatus.LEAVING, refutations=view.me.refutations + 1)
    view.version += 1
    reachable = [r.member for r in view.records.values() if r.member.status < MemberStatus.DEAD]
    receivers = view.random.sample(reachable, min(LEAVE_NOTICES, len(reachable)))
    return [build_datagram(view, member.peer_address, MessageKind.NOTICE) for member in receivers]


def _check_probes(view: Membership, at: Instant) -> list[Effect]:
    """Requests indirect probes, and suspects hosts whose probes timed out."""
    effects: list[Effect] = []
    for number, probe in list(view.probes.items()):
        record = view.records.get(probe.host)
        if record is None:
            del view.probes[number]
        elif at - probe.sent_at >= (WATCH_TIMEOUT if probe.is_watched else PROBE_PERIOD):
            del view.probes[number]
            if record.member.status in _PROBED_STATUSES:
                suspect = record.member.with_status(MemberStatus.SUSPECT)
                effects += apply_report(view, at, suspect)
                effects += _notify_domain(view, suspect) if probe.is_watched else []
            elif record.member.status is MemberStatus.LEAVING:
                effects += apply_report(view, at, record.member.with_status(MemberStatus.DEAD))
        elif at - probe.sent_at >= DIRECT_PROBE_TIMEOUT and not probe.is_indirect:
            probe.is_indirect = True
            effects += _request_indirect_probes(view, number, probe)
    return effects


def _request_indirect_probes(view: Membership, number: int, probe: Probe) -> list[Effect]:
    return [
        build_datagram(
            view, m.peer_address, MessageKind.PING_REQUEST, probe_number=number, subject=probe.host
        )
        for m in sample_alive(view, GOSSIP_FANOUT, probe.host)
    ]


def _expire_members(view: Membership, at: Instant) -> list[Effect]:
    """Declares suspects dead that did not refute in time, and drops old records of dead hosts.

    The timeout grows with the number of hosts, since reports then take longer to reach all of them.
    """
    effects: list[Effect] = []
    suspicion_timeout = BASE_SUSPICION_TIMEOUT * (1.0 + math.log10(len(view.records) + 1))
    for host, record in list(view.records.items()):
        status = record.member.status
        if status is MemberStatus.SUSPECT and at - record.status_since >= suspicion_timeout:
            effects += apply_report(view, at, record.member.with_status(MemberStatus.DEAD))
        elif status is MemberStatus.DEAD and at - record.status_since >= FORGET_DEAD_AFTER:
            del view.records[host]
            view.remaining_transmissions.pop(host, None)
    return effects


def _probe_next(view: Membership, at: Instant) -> list[Effect]:
    for _ in range(len(view.probe_order) + 1):
        if not view.probe_order:
            view.probe_order = list(view.records)
            view.random.shuffle(view.probe_order)
        if not view.probe_order:
            return []
        record = view.records.get(view.probe_order.pop())
        if record is not None and record.member.status is not MemberStatus.DEAD:
            break
    else:
        return []
    view.last_probe_number += 1
    view.probes[view.last_probe_number] = Probe(record.member.host, at)
    return [build_ping(view, record.member, view.last_probe_number, record.member.host)]


def _try_reconnect(view: Membership) -> list[Effect]:
    """Pings a dead host and contacts an unknown seed.

    This rejoins the two sides of a network partition after it has healed.
    """
    dead = [r.member for r in view.records.values() if r.member.status is MemberStatus.DEAD]
    effects: list[Effect] = []
    if dead:
        effects.append(build_ping(view, view.random.choice(dead), 0, HostId("")))
    known = {r.member.peer_address for r in view.records.values()} | {view.me.peer_address}
    unknown_seeds = [address for address in view.seeds if address not in known]
    if unknown_seeds and view.records:
        address = view.random.choice(unknown_seeds)
        effects.append(build_datagram(view, address, MessageKind.SYNC_REQUEST))
    return effects


def _request_sync(view: Membership, at: Instant) -> list[Effect]:
    """Requests the full membership from a live host, or from seeds if no live host is known."""
    alive_peers = sample_alive(view, 1, view.me.host)
    if alive_peers:
        period = max(SYNC_PERIOD, SYNC_PERIOD_PER_MEMBER * len(view.records))
        view.next_sync = at + period * view.random.uniform(0.75, 1.25)
        return [build_datagram(view, alive_peers[0].peer_address, MessageKind.SYNC_REQUEST)]
    view.next_sync = at + ISOLATED_SYNC_PERIOD
    seeds = [address for address in view.seeds if address != view.me.peer_address]
    chosen = view.random.sample(seeds, min(GOSSIP_FANOUT, len(seeds)))
    return [build_datagram(view, address, MessageKind.SYNC_REQUEST) for address in chosen]
