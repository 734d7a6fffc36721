"""Which hosts serve which service.

Callers are sent to few hosts for each service, so that these see most of its requests: they then
know how busy its targets are, and gather evidence fast. The hosts are ranked by rendezvous hashing
(Thaler and Ravishankar, 1998), so that a host that comes or goes moves only its own share.
"""

import hashlib
from collections.abc import Iterable

from endivedrift.core import FailureDomain, HostId, Member, MemberStatus

FALLBACKS_PER_DOMAIN = 2


def rank_hosts(group: str, members: Iterable[Member], primaries: int) -> list[Member]:
    """Ranks the hosts that callers of a service are told.

    Args:
      group: Name under which services are dealt to hosts together.
      members: Usable hosts.
      primaries: Number of hosts that share the service in normal operation.
    Returns:
      The primaries, spread over failure domains, then fallbacks of every domain, suspected hosts
      last.
    """
    ordered = sorted(
        members,
        key=lambda m: (m.status is not MemberStatus.ALIVE, -_weigh(group, m.host), m.host),
    )
    first = _spread_domains(ordered)[:primaries]
    chosen = {member.host for member in first}
    rest = [member for member in ordered if member.host not in chosen]
    return first + _limit_domains(rest)


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
