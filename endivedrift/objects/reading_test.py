"""Tests that hosts and the tool accept the same object sets, and name the field at fault."""

import copy
import json
import unittest
from typing import Any

from expression import Result
from hypothesis import given
from hypothesis import strategies as st

from endivedrift.objects import ObjectSet, decode_object_set, describe_object_set, encode_object_set
from endivedrift.objects._reading import FieldError, build_reader
from endivedrift.objects._validation import validate_json
from tests.builders import build_discovered_set, build_object_set
from tests.fuzzing import fuzz_input, list_paths

SETS = [describe_object_set(build_object_set()), describe_object_set(build_discovered_set())]
VALUES = st.sampled_from(
    [
        None,
        True,
        False,
        0,
        1,
        -1,
        10**9,
        0.5,
        1.0,
        -0.5,
        "",
        "a",
        "a b",
        "127.0.0.1:80",
        [],
        ["*"],
        {},
    ]
)


@st.composite
def draw_changed_sets(draw: st.DrawFn) -> dict[str, Any]:
    """Draws a valid set of which one value was replaced, removed or added."""
    document = copy.deepcopy(draw(st.sampled_from(SETS)))
    path = draw(st.sampled_from([path for path in list_paths(document) if path]))
    parent: Any = document
    for key in path[:-1]:
        parent = parent[key]
    match draw(st.integers(0, 3)):
        case 0:
            del parent[path[-1]]
        case 1 if isinstance(parent, dict):
            parent[draw(st.sampled_from(["x", "a b", "rooms"]))] = draw(VALUES)
        case _:
            parent[path[-1]] = draw(VALUES)
    return document


class ReadingTest(unittest.TestCase):
    @fuzz_input
    @given(draw_changed_sets())
    def test_hosts_and_the_tool_accept_the_same_sets(self, document: dict[str, Any]) -> None:
        checked, faults = validate_json(ObjectSet, json.dumps(document))
        try:
            read = build_reader(ObjectSet)(document)
        except FieldError as error:
            self.assertTrue(faults, str(error))
            return
        self.assertEqual(faults, [])
        self.assertEqual(read, checked)

    def test_a_set_survives_encoding(self) -> None:
        for objects in (build_object_set(), build_discovered_set()):
            decoded = decode_object_set(encode_object_set(objects))
            self.assertEqual(decoded, Result(tag="ok", ok=objects))

    def test_the_first_fault_is_named_with_its_path(self) -> None:
        for path, value, expected in (
            (("route", "read", "deadline_ms"), 0, "route.read.deadline_ms: is out of bounds"),
            (("route", "read", "path"), "rooms", "route.read.path: does not match"),
            (("route", "read", "split"), 7, "route.read.split: must be a list"),
            (("route", "read", "later"), 7, "route.read.later: is not a known field"),
            (("upstream_group", "group", "targets", 1, "address"), "x", "targets.1.address: must"),
            (("service", "a b"), {}, "service.a b: does not match"),
        ):
            document = copy.deepcopy(SETS[0])
            parent: Any = document
            for key in path[:-1]:
                parent = parent[key]
            parent[path[-1]] = value
            with self.assertRaisesRegex(FieldError, expected):
                build_reader(ObjectSet)(document)
        del document["service"]["rooms"]["upstream_group"]
        with self.assertRaisesRegex(FieldError, "service.rooms.upstream_group: is missing"):
            build_reader(ObjectSet)(
                {**document, "service": {"rooms": document["service"]["rooms"]}}
            )


if __name__ == "__main__":
    unittest.main()
