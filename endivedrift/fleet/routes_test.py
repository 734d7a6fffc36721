"""Tests that the route of a path is found, at a cost that does not grow with its segments."""

import unittest
from dataclasses import replace
from itertools import product
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from endivedrift.fleet import build_routes, find_route
from endivedrift.fleet._routes import NamedRoute, RouteTable
from endivedrift.objects import ObjectSet
from tests.builders import build_object_set
from tests.fuzzing import fuzz_input

PATHS = st.text("ab/", max_size=8)


def build_set(*paths: str, subpaths_only: bool = False) -> ObjectSet:
    objects = build_object_set()
    read = replace(objects.route["read"], methods=("*",), subpaths_only=subpaths_only)
    routes = {f"r{n}": replace(read, path=f"/{path}") for n, path in enumerate(paths)}
    return replace(objects, route=routes)


def find_by_segments(table: RouteTable, path: str) -> NamedRoute | None:
    """Finds a route by removing one segment after the other."""
    prefix = path.rstrip("/")
    is_whole_path = prefix == path
    while True:
        found = table.routes.get(("", "*", prefix))
        if found is not None and not (is_whole_path and found.route.subpaths_only):
            return found
        if not prefix:
            return None
        is_whole_path = False
        prefix = prefix[: prefix.rfind("/")] if "/" in prefix else ""


class CountingDict(dict[Any, Any]):
    """Counts the lookups, and the characters of the paths that are looked up."""

    lookups = 0
    characters = 0

    def get(self, key: Any, default: Any = None) -> Any:
        self.lookups += 1
        self.characters += len(key[2])
        return super().get(key, default)


class FindRouteTest(unittest.TestCase):
    @fuzz_input
    @given(st.lists(PATHS, max_size=4), PATHS, st.booleans(), st.sampled_from(("/", "")))
    def test_the_longest_prefix_is_found(
        self, prefixes: list[str], path: str, subpaths_only: bool, start: str
    ) -> None:
        table = build_routes(build_set(*prefixes, subpaths_only=subpaths_only))
        expected = find_by_segments(table, start + path)
        self.assertEqual(find_route(table, "GET", start + path), expected)

    # Guards against a few clients with long paths that take all the time of their host.
    def test_a_long_path_costs_few_lookups_of_short_prefixes(self) -> None:
        table = build_routes(build_set("rooms", "rooms/of/one", "stays", "a"))
        for segment, prefix in product(("/", "a/", "/a", "stays/"), ("/rooms/", "/none/", "/")):
            table_routes = CountingDict(table.routes)
            counting = replace(table, routes=table_routes)
            find_route(counting, "GET", prefix + segment * 8_000)
            self.assertLessEqual(table_routes.lookups, 2 * len(table.prefix_lengths))
            self.assertLess(table_routes.characters, 100)


if __name__ == "__main__":
    unittest.main()
