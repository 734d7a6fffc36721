"""Tests that object sets are validated as a whole and that all faults are reported at once."""

import unittest
from pathlib import Path

from endivedrift.objects import (
    SourceFile,
    check_sources,
    compare_object_sets,
    decode_object_set,
    encode_object_set,
    read_directory,
)
from tests.builders import build_object_set

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"

FAULTY = """
[service.rooms]
upstream_group = "missing"
ejection_limit = "limit"
drain_rule = "drain"
retry_rule = "retry"

[upstream_group.group]
slots = 2
connection_cap = 10
targets = [
  { name = "a", address = "127.0.0.1:1", failure_domain = "x" },
  { name = "a", address = "127.0.0.1:1", failure_domain = "x" },
]

[ejection_limit.limit]
floor = 5
false_ejection_rate = 0.001
detectable_failure_rate = 0.2

[drain_rule.drain]
[retry_rule.retry]

[service.lonely]
upstream_group = "group"
ejection_limit = "limit"
drain_rule = "drain"
retry_rule = "retry"

[route.r]
service = "rooms"
path = "/rooms"
methods = ["GET"]
repeatable = true
deadline_ms = 100
queue_wait_ms = 100
"""


def list_faults(*texts: str) -> list[str]:
    files = [SourceFile(f"{number}.toml", text) for number, text in enumerate(texts)]
    result = check_sources(files)
    return [str(fault) for fault in result.error] if result.is_error() else []


class CheckTest(unittest.TestCase):
    def test_examples_are_valid(self) -> None:
        for name in ("bennani", "blue-mahoe"):
            with self.subTest(name):
                result = read_directory(EXAMPLES / name).bind(check_sources)
                self.assertTrue(result.is_ok(), result)

    def test_all_faults_between_objects_are_reported(self) -> None:
        self.assertEqual(
            list_faults(FAULTY),
            [
                "0.toml: route.r: queue_wait_ms: must be shorter than the deadline of 100 ms",
                "0.toml: service.lonely: no route leads to it",
                "0.toml: service.lonely: ejection_limit: its floor of 5 is above the 2 targets"
                " that are not draining",
                "0.toml: service.rooms: upstream_group: there is no upstream_group.missing",
                "0.toml: upstream_group.group: targets.1.address: 127.0.0.1:1 is the address of"
                " upstream_group.group targets.0 too",
                "0.toml: upstream_group.group: targets.1.name: the name a is used twice in the"
                " group",
            ],
        )

    def test_field_faults_name_file_object_and_field(self) -> None:
        faults = list_faults("[drain_rule.d]\nwarm_up_ms = 'x'\nspeed = 1\n", "[wheel.w]\n")
        self.assertEqual(
            faults,
            [
                "0.toml: drain_rule.d: speed: is not a known field",
                "0.toml: drain_rule.d: warm_up_ms: Input should be a valid integer",
                "1.toml: wheel: is not a known kind of object",
            ],
        )

    def test_a_name_in_two_files_is_a_fault(self) -> None:
        faults = list_faults("[drain_rule.d]\n", "[drain_rule.d]\n")
        self.assertEqual(faults, ["1.toml: drain_rule.d: is defined in 0.toml too"])

    def test_text_that_is_not_toml_is_a_fault(self) -> None:
        self.assertIn("0.toml: is not valid TOML", list_faults("[[[")[0])


class CanonicalTest(unittest.TestCase):
    def test_round_trip_keeps_the_set(self) -> None:
        objects = build_object_set()
        self.assertEqual(decode_object_set(encode_object_set(objects)).ok, objects)

    def test_bytes_that_do_not_hold_a_set_are_refused(self) -> None:
        self.assertTrue(decode_object_set(b"{}").is_ok())
        self.assertTrue(decode_object_set(b"[").is_error())
        self.assertTrue(decode_object_set(b'{"wheel":{}}').is_error())

    def test_difference_names_objects_and_fields(self) -> None:
        changes = compare_object_sets(build_object_set(), build_object_set(floor=3))
        self.assertEqual([str(c) for c in changes], ["changed ejection_limit.limit (floor)"])
