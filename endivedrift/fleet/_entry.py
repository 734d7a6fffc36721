"""Which hosts serve which service.

Callers are sent to few hosts for each service, so that these see most of its requests: they then
know how busy its targets are, and gather evidence fast. The hosts are ranked by rendezvous hashing
(Thaler and Ravishankar, 1998), so that a host that comes or goes moves only its own share.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from endivedrift.core import FailureDomain, HostId, Member, MemberStatus

FALLBACKS_PER_DOMAIN = 2
WEAK_SHARE = 0.75
"""Part of the greatest power of any host below which a host is named only where stronger ones do
not suffice."""


@dataclass(frozen=True, slots=True)
class Ranking:
    """Hosts of a service, best first; the first `primary_count` share it in normal operation."""

    hosts: list[Member]
    primary_count: int


def rank_hosts(
    group: str, members: Iterable[Member], primaries: int, power: float = 0.0
) -> Ranking:
    """Ranks the hosts that callers of a service are told.

    Few strong hosts know more of the targets than many weak ones, so strong ones go first.

    Args:
      group: Name under which services are dealt to hosts together.
      members: Usable hosts.
      primaries: Least number of hosts that share the service in normal operation.
      power: Processor power in cores that these hosts have together at the least, each failure
        domain its part, as far as there are hosts.
    Returns:
      The primaries, spread over failure domains, then fallbacks of every domain, suspected hosts
      last.
    """
    members = list(members)
    strong = WEAK_SHARE * max((m.power for m in members), default=0.0)
    ordered = sorted(
        members,
        key=lambda m: (
            m.status is not MemberStatus.ALIVE,
            m.power < strong,
            -_weigh(group, m.host),
            m.host,
        ),
    )
    spread = _spread_domains(ordered)
    first = spread[:primaries] + _add_power(spread, primaries, power)
    chosen = {member.host for member in first}
    rest = [member for member in ordered if member.host not in chosen]
    return Ranking(first + _limit_domains(rest), len(first))


def _add_power(spread: list[Member], primaries: int, power: float) -> list[Member]:
    """Finds the hosts that each failure domain needs besides the first ones."""
    domains = {member.failure_domain for member in spread}
    missing = dict.fromkeys(domains, power / len(domains)) if domains else {}
    for member in spread[:primaries]:
        missing[member.failure_domain] -= member.power
    added = []
    for member in spread[primaries:]:
        if missing[member.failure_domain] > 0.0:
            missing[member.failure_domain] -= member.power
            added.append(member)
    return added


def _weigh(group: str, host: HostId) -> int:
    digest = hashlib.blake2b(f"{group}/{host}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def _spread_domains(ordered: list[Member]) -> list[Member]:
    turns: dict[FailureDomain, int] = {}
    keyed = []
    for position, member in enumerate(ordered):
        turn = turns.get(member.failure_domain, 0)
        turns[member.failure_domain] = turn + 1
        keyed.append((member.status is not MemberStatus.ALIVE, turn, position, member))
    return [entry[-1] for entry in sorted(keyed, key=lambda entry: entry[:3])]


def _limit_domains(ordered: list[Member]) -> list[Member]:
    counts: dict[FailureDomain, int] = {}
    kept = []
    for member in ordered:
        count = counts.get(member.failure_domain, 0)
        if count < FALLBACKS_PER_DOMAIN:
            counts[member.failure_domain] = count + 1
            kept.append(member)
    return kept
