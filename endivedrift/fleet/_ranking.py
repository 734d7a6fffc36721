"""Ranks the hosts of the fleet for each service.

Callers of a service are sent to a few hosts only. These hosts see most of its requests, so they
know the load of its targets and gather evidence quickly. Hosts are ranked by rendezvous hashing
(Thaler and Ravishankar, 1998), so that a host that joins or leaves moves only its own share.
"""

import hashlib
import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from endivedrift.core import FailureDomain, HostId, Member, MemberStatus

FALLBACKS_PER_DOMAIN = 2
STRONG_POWER_SHARE = 0.75
"""Share of the greatest power of any host. A host below it ranks after the stronger ones, so that
it is a primary only if those do not suffice."""


@dataclass(frozen=True, slots=True)
class Ranking:
    """Hosts of a service, best first.

    The first `primary_count` are its primaries, which serve it in normal operation.
    """

    hosts: list[Member]
    primary_count: int


def list_first_of_domains(
    group: str, members: Iterable[Member], count_per_domain: int
) -> tuple[Member, ...]:
    """Lists the best hosts of each failure domain.

    Args:
      group: Hash key of the ranking.
      members: Usable hosts.
      count_per_domain: Number of hosts of each domain.
    Returns:
      Up to that many hosts of each domain, in the same order as `rank_hosts` prefers them.
    """
    first: dict[FailureDomain, list[Member]] = {}
    for member in _order_members(group, members):
        chosen = first.setdefault(member.failure_domain, [])
        if len(chosen) < count_per_domain:
            chosen.append(member)
    return tuple(member for chosen in first.values() for member in chosen)


def order_across_domains(group: str, members: Iterable[Member]) -> list[Member]:
    """Orders hosts as `list_first_of_domains` prefers them, those of the domains in turn."""
    return _interleave_domains(_order_members(group, members))


def select_spread_hosts(group: str, members: Iterable[Member], count: int) -> tuple[Member, ...]:
    """Selects hosts of different failure domains, the same ones whoever asks.

    Strong and weak hosts are selected equally often, so that the load of many groups is spread.

    Args:
      group: Hash key of the matter.
      members: Hosts to select from.
      count: Number of hosts. If there are fewer failure domains, some contribute several.
    Returns:
      Up to that many hosts, best first.
    """
    domains: dict[FailureDomain, list[Member]] = {}
    for member in members:
        domains.setdefault(member.failure_domain, []).append(member)
    per_domain = -(-count // max(1, len(domains)))
    chosen = [
        (rank, -_weigh(group, member.host), member.host, member)
        for hosts in domains.values()
        for rank, member in enumerate(
            heapq.nlargest(per_domain, hosts, key=lambda m: (_weigh(group, m.host), m.host))
        )
    ]
    return tuple(entry[-1] for entry in sorted(chosen, key=lambda entry: entry[:3])[:count])


def select_near_hosts(
    group: str, members: Iterable[Member], domain: FailureDomain, count: int
) -> tuple[HostId, ...]:
    """Selects hosts for a matter that few hosts handle, the same ones whoever asks.

    Args:
      group: Hash key of the matter.
      members: Hosts to select from.
      domain: Failure domain whose hosts are preferred.
      count: Greatest number of hosts.
    Returns:
      The selected hosts, best first.
    """
    ordered = sorted(
        members, key=lambda m: (m.failure_domain != domain, -_weigh(group, m.host), m.host)
    )
    return tuple(member.host for member in ordered[:count])


def rank_hosts(
    group: str, members: Iterable[Member], min_primary_count: int, min_power: float = 0.0
) -> Ranking:
    """Ranks the hosts to which callers of a service are sent.

    Strong hosts rank first: a few of them know more about the targets than many weak ones, since
    each sees a greater share of the requests.

    Args:
      group: Hash key of the ranking; services with the same group get the same ranking.
      members: Usable hosts.
      min_primary_count: Minimum number of primaries.
      min_power: Minimum processor capacity of the primaries together, in cores. It is divided
        evenly among the failure domains. A domain that has less contributes all its hosts.
    Returns:
      The primaries, spread over the failure domains, then a few fallbacks of each domain. Suspected
      hosts rank last in both parts.
    """
    ordered = _order_members(group, members)
    interleaved = _interleave_domains(ordered)
    primaries = interleaved[:min_primary_count] + _select_extra_primaries(
        interleaved, min_primary_count, min_power
    )
    chosen = {member.host for member in primaries}
    remaining = [member for member in ordered if member.host not in chosen]
    return Ranking(primaries + _limit_fallbacks(remaining), len(primaries))


def _order_members(group: str, members: Iterable[Member]) -> list[Member]:
    """Orders hosts: suspected ones last, strong ones before weak ones, then by their hash."""
    members = list(members)
    strong_power = STRONG_POWER_SHARE * max((m.power for m in members), default=0.0)
    return sorted(
        members,
        key=lambda m: (
            m.status is not MemberStatus.ALIVE,
            m.power < strong_power,
            -_weigh(group, m.host),
            m.host,
        ),
    )


def _select_extra_primaries(
    interleaved: list[Member], primary_count: int, min_power: float
) -> list[Member]:
    """Selects the further primaries that each failure domain needs for its share of `min_power`."""
    domains = {member.failure_domain for member in interleaved}
    missing_power = dict.fromkeys(domains, min_power / len(domains)) if domains else {}
    for member in interleaved[:primary_count]:
        missing_power[member.failure_domain] -= member.power
    added = []
    for member in interleaved[primary_count:]:
        if missing_power[member.failure_domain] > 0.0:
            missing_power[member.failure_domain] -= member.power
            added.append(member)
    return added


@lru_cache(maxsize=16_384)
def _weigh(group: str, host: HostId) -> int:
    digest = hashlib.blake2b(f"{group}/{host}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def _interleave_domains(ordered: list[Member]) -> list[Member]:
    """Reorders ranked hosts so that failure domains alternate and suspected hosts are last."""
    counts: dict[FailureDomain, int] = {}
    keyed = []
    for position, member in enumerate(ordered):
        domain_position = counts.get(member.failure_domain, 0)
        counts[member.failure_domain] = domain_position + 1
        keyed.append((member.status is not MemberStatus.ALIVE, domain_position, position, member))
    return [entry[-1] for entry in sorted(keyed, key=lambda entry: entry[:3])]


def _limit_fallbacks(ordered: list[Member]) -> list[Member]:
    """Keeps the first hosts of each failure domain."""
    counts: dict[FailureDomain, int] = {}
    kept = []
    for member in ordered:
        count = counts.get(member.failure_domain, 0)
        if count < FALLBACKS_PER_DOMAIN:
            counts[member.failure_domain] = count + 1
            kept.append(member)
    return kept
