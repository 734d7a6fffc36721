"""Finds the route of a request: the longest path prefix at a segment boundary."""

from dataclasses import dataclass, field
from itertools import product

from endivedrift.core import RouteName, ServiceName
from endivedrift.objects import ObjectSet, Route

ANY_HOST = ""
ANY_METHOD = "*"


@dataclass(frozen=True, slots=True)
class NamedRoute:
    """A route with its name."""

    name: RouteName
    route: Route


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes by host, method and path prefix.

    Attributes:
      routes: The routes by their place.
      services: A service that the routes of a host lead to, by host.
      ranking_groups: Name under which a service is dealt to hosts, by service. Callers ask for
        hosts by the name that their requests carry, so services that share such a name share their
        hosts.
    """

    routes: dict[tuple[str, str, str], NamedRoute] = field(default_factory=dict)
    services: dict[str, ServiceName] = field(default_factory=dict)
    ranking_groups: dict[ServiceName, str] = field(default_factory=dict)


def build_routes(objects: ObjectSet) -> RouteTable:
    """Builds the table of a checked object set."""
    table = RouteTable()
    for name, route in objects.route.items():
        for host, method in product(route.hosts or (ANY_HOST,), route.methods):
            place = (host, method, route.path.rstrip("/"))
            table.routes[place] = NamedRoute(RouteName(name), route)
            table.services.setdefault(host, ServiceName(route.service))
    table.ranking_groups.update(_group_services(objects))
    return table


def _group_services(objects: ObjectSet) -> dict[ServiceName, str]:
    groups = {ServiceName(name): name for name in objects.service}
    members: dict[str, set[ServiceName]] = {name: {ServiceName(name)} for name in groups}
    first: dict[str, ServiceName] = {}
    for route in objects.route.values():
        named = [ServiceName(s) for s in (route.service, *(share.service for share in route.split))]
        for host in route.hosts:
            named.append(first.setdefault(host, named[0]))
        kept = min(groups[service] for service in named)
        for merged in {groups[service] for service in named} - {kept}:
            for service in members.pop(merged):
                groups[service] = kept
                members[kept].add(service)
    return groups


def find_route(
    table: RouteTable, method: str, path: str, host: str = ANY_HOST
) -> NamedRoute | None:
    """Finds a request's route.

    Args:
      table: The table.
      method: HTTP method.
      path: Path without query.
      host: Host that the request names, in lower case and without a port.
    Returns:
      The route with the longest matching prefix, or None. Of routes with the same prefix, one that
      names the host goes first.
    """
    hosts = (host, ANY_HOST) if host in table.services else (ANY_HOST,)
    prefix = path.rstrip("/")
    exact = prefix == path
    while True:
        for candidate, known in product(hosts, (method, ANY_METHOD)):
            found = table.routes.get((candidate, known, prefix))
            if found is not None and not (exact and found.route.subpaths_only):
                return found
        if not prefix:
            return None
        exact = False
        prefix = prefix[: prefix.rfind("/")] if "/" in prefix else ""
