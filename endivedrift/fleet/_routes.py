"""Finds the route of a request: the longest path prefix at a segment boundary."""

from dataclasses import dataclass, field

from endivedrift.core import RouteName
from endivedrift.objects import ObjectSet, Route


@dataclass(frozen=True, slots=True)
class NamedRoute:
    """A route with its name."""

    name: RouteName
    route: Route


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes by method and path prefix."""

    routes: dict[tuple[str, str], NamedRoute] = field(default_factory=dict)


def build_routes(objects: ObjectSet) -> RouteTable:
    """Builds the table of a checked object set."""
    routes = {}
    for name, route in objects.route.items():
        for method in route.methods:
            routes[(method, route.path.rstrip("/"))] = NamedRoute(RouteName(name), route)
    return RouteTable(routes)


def find_route(table: RouteTable, method: str, path: str) -> NamedRoute | None:
    """Finds a request's route.

    Args:
      table: The table.
      method: HTTP method.
      path: Path without query.
    Returns:
      The route with the longest matching prefix, or None.
    """
    prefix = path.rstrip("/")
    while True:
        found = table.routes.get((method, prefix))
        if found is not None or not prefix:
            return found
        prefix = prefix[: prefix.rfind("/")] if "/" in prefix else ""
