"""Finds the route of a request.

The route with the longest path prefix that ends at a segment boundary applies.
"""

from dataclasses import dataclass, field
from itertools import product

from endivedrift.core import AccountKeyDigest, CallerName, RouteName, ServiceName
from endivedrift.objects import ObjectSet, Route

ANY_HOST = ""
ANY_METHOD = "*"


@dataclass(frozen=True, slots=True)
class NamedRoute:
    """A route and its name."""

    name: RouteName
    route: Route


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Index of the routes of an object set.

    Attributes:
      routes: Routes by host, method and path prefix without a trailing slash.
      prefix_lengths: Lengths of these prefixes, the greatest first.
      services: Service of the first route of each name in the Host header.
      ranking_groups: Group in which a service is ranked onto hosts, by service. Callers look up the
        hosts for a name in the Host header, so services that share such a name share their hosts.
      accounts: Caller accounts by the digests of their keys.
      keyed_callers: Caller accounts that have keys, so that no request may merely name them.
      greatest_quota_per_s: Greatest quota of an account, or 1 if none has a quota. An account
        without one counts as if it had this.
      has_accounts: Whether there are caller accounts, so that requests may carry account keys.
    """

    routes: dict[tuple[str, str, str], NamedRoute] = field(default_factory=dict)
    services: dict[str, ServiceName] = field(default_factory=dict)
    ranking_groups: dict[ServiceName, str] = field(default_factory=dict)
    accounts: dict[AccountKeyDigest, CallerName] = field(default_factory=dict)
    keyed_callers: set[CallerName] = field(default_factory=set)
    prefix_lengths: tuple[int, ...] = ()
    has_accounts: bool = False
    greatest_quota_per_s: float = 1.0


def build_routes(objects: ObjectSet) -> RouteTable:
    """Builds the route table of a validated object set."""
    lengths = {len(route.path.rstrip("/")) for route in objects.route.values()}
    table = RouteTable(
        prefix_lengths=tuple(sorted(lengths, reverse=True)),
        has_accounts=bool(objects.caller),
        greatest_quota_per_s=max((c.requests_per_s for c in objects.caller.values()), default=0.0)
        or 1.0,
    )
    for name, route in objects.route.items():
        for host, method in product(route.hosts or (ANY_HOST,), route.methods):
            key = (host, method, route.path.rstrip("/"))
            table.routes[key] = NamedRoute(RouteName(name), route)
            table.services.setdefault(host, ServiceName(route.service))
    table.ranking_groups.update(_group_services(objects))
    for caller, account in objects.caller.items():
        for digest in account.key_digests:
            table.accounts[AccountKeyDigest(digest)] = CallerName(caller)
            table.keyed_callers.add(CallerName(caller))
    return table


def _group_services(objects: ObjectSet) -> dict[ServiceName, str]:
    """Merges services into one group if they share a route or a name in the Host header."""
    groups = {ServiceName(name): name for name in objects.service}
    members: dict[str, set[ServiceName]] = {name: {ServiceName(name)} for name in groups}
    first_by_host: dict[str, ServiceName] = {}
    for route in objects.route.values():
        linked = [
            ServiceName(s) for s in (route.service, *(share.service for share in route.split))
        ]
        for host in route.hosts:
            linked.append(first_by_host.setdefault(host, linked[0]))
        kept = min(groups[service] for service in linked)
        for merged in {groups[service] for service in linked} - {kept}:
            for service in members.pop(merged):
                groups[service] = kept
                members[kept].add(service)
    return groups


def find_route(
    table: RouteTable, method: str, path: str, host: str = ANY_HOST
) -> NamedRoute | None:
    """Finds the route of a request.

    Args:
      table: The route table.
      method: HTTP method.
      path: Path without query.
      host: Name in the Host header, in lower case and without a port.
    Returns:
      The route with the longest matching prefix, or None. Of routes with the same prefix, one for
      the given host takes precedence over one for any host, then one for the given method over one
      for any method.
    """
    hosts = (host, ANY_HOST) if host in table.services else (ANY_HOST,)
    longest = path.rstrip("/")
    for length in table.prefix_lengths:
        # A path may be far longer than any prefix, and have as many segments as half its length.
        if length > len(longest) or (0 < length < len(longest) and longest[length] != "/"):
            continue
        prefix = longest[:length]
        is_whole_path = prefix == path
        for candidate_host, candidate_method in product(hosts, (method, ANY_METHOD)):
            found = table.routes.get((candidate_host, candidate_method, prefix))
            if found is not None and not (is_whole_path and found.route.subpaths_only):
                return found
    return None
