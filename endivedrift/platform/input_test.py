"""Tests that any input from the platform yields a value or a `WireError`, and nothing else.

The inputs are JSON values of any shape, and valid documents of which one value is replaced.
"""

import copy
import json
import os
import subprocess
import sys
import tempfile
import tomllib
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import curio
from hypothesis import given
from hypothesis import strategies as st

from endivedrift.core import Instant
from endivedrift.objects import (
    MAX_ATTEMPTS,
    MAX_DURATION_MS,
    build_ejection_limit,
    build_retry_rule,
)
from endivedrift.platform import _environment, _node_file
from endivedrift.platform._configuration import read_configuration
from endivedrift.platform._entries import read_entry
from endivedrift.platform._node_file import read_node_file
from endivedrift.platform._store import StoreError, StoreRow, _read_rows
from endivedrift.platform._values import MAX_INTEGER, WireError, read_row_value
from endivedrift.platform.platform_test import read_objects
from tests.fuzzing import fuzz_input, list_paths
from tests.platform_builders import (
    BOUNDS,
    LISTENER_HOST,
    SERVICE,
    build_cluster,
    build_configuration,
    build_entry,
    build_node_file,
    build_rule,
    build_tenant,
)

ROOT = Path(__file__).resolve().parents[2]
NODE_TEXT = build_node_file("127.0.0.1", "127.0.0.2:80", ["127.0.0.3"], 7000)
DEEP = json.loads("[" * 700 + "]" * 700)
ABSURD = st.sampled_from(
    [
        None,
        True,
        -1,
        0,
        10**30,
        1.5,
        float("inf"),
        float("nan"),
        "",
        "\ud800",
        "\u0661s",
        "9" * 5000,
        "9" * 31 + "s",
        "-1s",
        "x" * 70_000,
        "127.0.0.1",
        "127.0.0.1:0",
        "127.0.0.1:99999",
        [],
        {},
        [None],
        [{}],
        {"a": None},
        DEEP,
    ]
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | ABSURD,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=8,
)


def build_split_configuration() -> dict[str, Any]:
    parts = [{"service": SERVICE, "weight": 9}, {"service": "second", "weight": 1}]
    rules = [
        build_rule("read", "safe", "/stays/", trafficSplit=parts),
        build_rule("book", "unsafe", "/book/"),
    ]
    return build_configuration(
        listeners=[{"host": LISTENER_HOST, "rules": rules}],
        clusters=[build_cluster(SERVICE), build_cluster("second")],
        tenants=[build_tenant("acme", "key-1", "key-2"), build_tenant("globex", "key-3")],
    )


def replace_value(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Returns a copy of a document in which the value at a path is replaced."""
    if not path:
        return value
    changed = copy.deepcopy(document)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return changed


def draw_documents(document: Any) -> st.SearchStrategy[Any]:
    paths = sorted(list_paths(document), key=str)
    damaged = st.builds(replace_value, st.just(document), st.sampled_from(paths), ABSURD | JSON)
    return JSON | damaged


def read_or_reject(read: Callable[[], object]) -> bool:
    """Tells whether a document was read; only `WireError` may reject it."""
    try:
        read()
    except WireError as error:
        assert len(str(error)) < 1_000, "the error repeats the input"
        return False
    return True


class DecoderTest(unittest.TestCase):
    @fuzz_input
    @given(draw_documents(build_split_configuration()))
    def test_any_configuration_is_read_or_rejected(self, document: Any) -> None:
        read_or_reject(lambda: read_configuration(document, BOUNDS, Instant(0)))

    @fuzz_input
    @given(draw_documents(build_entry()), st.text())
    def test_any_entry_is_read_or_rejected(self, document: Any, name: str) -> None:
        read_or_reject(lambda: read_entry(name, document))
        read_or_reject(lambda: read_entry("i-1", document))

    @fuzz_input
    @given(st.text() | st.binary().map(lambda data: data.decode("latin-1")))
    def test_any_row_value_is_read_or_rejected(self, text: str) -> None:
        read_or_reject(lambda: read_row_value(text))

    @fuzz_input
    @given(
        draw_documents(
            {"rows": [{"key": "i-1", "value": "e30=", "ver": 4}], "ver": 4, "truncated": False}
        )
    )
    def test_any_reply_of_the_store_is_read_or_rejected(self, document: Any) -> None:
        if not isinstance(document, dict):
            return
        try:
            read = _read_rows(document, 1)
        except StoreError:
            return
        for row in read.rows:
            _environment._read_target(row)

    @fuzz_input
    @given(draw_documents(tomllib.loads(NODE_TEXT)))
    def test_any_settings_are_read_or_rejected(self, document: Any) -> None:
        if not isinstance(document, dict):
            return
        with mock.patch.object(_node_file.tomllib, "loads", return_value=document):
            try:
                with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
                    node = read_node_file(Path(file.name))
            except WireError as error:
                self.assertNotIn("\n", str(error)[:1_000])
                return
        build_retry_rule(node.bounds)
        build_ejection_limit(node.bounds)

    def test_rows_that_ended_hosts_are_rejected(self) -> None:
        rules = {
            "split": build_rule("r", "safe", "/a/", trafficSplit=7),
            "priority": {**build_rule("r", "safe", "/a/"), "priority": -1},
            "timeout": build_rule("r", "safe", "/a/", timeout="1" + "0" * 5_000 + "s"),
            "attempts": build_rule("r", "safe", "/a/", maxAttempts=-1),
        }
        for name, rule in rules.items():
            document = build_configuration(listeners=[{"host": LISTENER_HOST, "rules": [rule]}])
            with self.subTest(name), self.assertRaisesRegex(WireError, "version 3: "):
                read_configuration(document, BOUNDS, Instant(0))
        # The store may hold these. Numbers that no type holds are brought within bounds.
        rule = build_rule("r", "safe", "/a/", timeout="1" + "0" * 30 + "s", maxAttempts=10**30)
        document = build_configuration(listeners=[{"host": LISTENER_HOST, "rules": [rule]}])
        (route,) = read_objects(document).route.values()
        self.assertEqual((route.deadline_ms, route.max_attempts), (MAX_DURATION_MS, MAX_ATTEMPTS))
        row = StoreRow("i-1", read_row_value.__name__, False)
        self.assertIsNone(_environment._read_target(row))

    # Guards against readers that stop following a table for one row among many.
    def test_a_row_without_a_key_costs_only_itself(self) -> None:
        row = {"key": "i-1", "value": "e30=", "ver": 4}
        for odd in ({**row, "key": 7}, {**row, "key": None}, {"ver": 4}, [row], None, DEEP):
            with self.subTest(type(odd).__name__):
                read = _read_rows({"rows": [odd, row, odd], "ver": 4}, 1)
                self.assertEqual([found.key for found in read.rows], ["i-1"])

    def test_an_entry_with_a_number_too_large_is_rejected(self) -> None:
        entry = build_entry()
        with self.assertRaisesRegex(WireError, "status.sequence"):
            read_entry("i-1", build_entry(sequence=10**400))
        for changes in ({"born": 10**400}, {"info": {**entry["info"], "slots": 10**400}}):
            with self.assertRaises(WireError):
                read_entry("i-1", {**entry, **changes})

    def test_invalid_tenants_are_rejected_with_their_field_and_without_their_keys(self) -> None:
        tenants = {
            "tenants.0.name": [build_tenant("", "k1")],
            "tenants.0.ratePerS": [build_tenant("a", "k1", ratePerS=-1)],
            "tenants.0.burst": [build_tenant("a", "k1", burst=float("inf"))],
            "tenants.0.apiKeys.1": [build_tenant("a", "k1", "")],
            "tenants.1.apiKeys": [build_tenant("a", "k1"), build_tenant("b", "k1")],
            "tenants.1.name": [build_tenant("a", "k1"), build_tenant("a", "k2")],
            "tenants": {"a": build_tenant("a", "k1")},
        }
        for field, value in tenants.items():
            document = build_configuration(tenants=value)
            with self.subTest(field), self.assertRaises(WireError) as caught:
                read_configuration(document, BOUNDS, Instant(0))
            self.assertIn(f"version 3: {field}", str(caught.exception))
            self.assertNotIn("k1", str(caught.exception))

    def test_a_rule_without_a_split_may_say_so(self) -> None:
        rule = build_rule("r", "safe", "/a/", trafficSplit=None)
        document = build_configuration(listeners=[{"host": LISTENER_HOST, "rules": [rule]}])
        read_configuration(document, BOUNDS, Instant(0))

    def test_numbers_that_no_message_holds_are_rejected(self) -> None:
        for changes in ({"version": MAX_INTEGER + 1}, {"version": -1}):
            with self.assertRaises(WireError):
                read_configuration({**build_configuration(), **changes}, BOUNDS, Instant(0))
        with self.assertRaises(WireError):
            read_entry("i-1", {**build_entry(), "born": 2**63})


class SettingsFileTest(unittest.TestCase):
    def run_host(self, text: str, **variables: str) -> subprocess.CompletedProcess[str]:
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            return subprocess.run(
                [sys.executable, "-m", "endivedrift.platform"],
                env={**os.environ, "ENDIVEDRIFT_NODE_FILE": file.name, **variables},
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=60,
            )

    def test_invalid_settings_end_the_start_with_one_line_that_names_the_field(self) -> None:
        for field, replaced, by in (
            ("seeds.0", '"127.0.0.3:7002"', '"127.0.0.3"'),
            ("internalPortRange", "[7004, 7009]", "[]"),
            ("internalPortRange", "[7004, 7009]", "[7009, 7004]"),
            ("bounds.budgetSlack", "budgetSlack = 56", "budgetSlack = nan"),
            ("bounds.grace", 'grace = "6s"', 'grace = "1000000000000000s"'),
            ("node", 'node = "front-127.0.0.1"', 'node = "a b"'),
        ):
            self.assertIn(replaced, NODE_TEXT)
            with self.subTest(by):
                done = self.run_host(NODE_TEXT.replace(replaced, by))
                self.assertEqual(done.returncode, 2, done.stderr)
                self.assertEqual(done.stderr.count("\n"), 1, done.stderr)
                self.assertIn(field, done.stderr)

    def test_an_invalid_share_of_hedges_ends_the_start_with_one_line_that_names_it(self) -> None:
        done = self.run_host(NODE_TEXT, ENDIVEDRIFT_HEDGE_SHARE="5%")
        self.assertEqual(done.returncode, 2, done.stderr)
        self.assertEqual(done.stderr.count("\n"), 1, done.stderr)
        self.assertIn("ENDIVEDRIFT_HEDGE_SHARE", done.stderr)


class ReloadTest(unittest.TestCase):
    def test_an_invalid_file_leaves_the_settings_in_force(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "local.toml"
            path.write_text(NODE_TEXT, "utf-8")
            environment = _environment.PlatformEnvironment(path, read_node_file(path))
            path.write_text(NODE_TEXT.replace("[7004, 7009]", "[]"), "utf-8")
            runtime = mock.Mock()
            with mock.patch.object(_environment, "_log") as log:
                curio.run(environment.reload, runtime)
            log.error.assert_called_once()
            self.assertIn("internalPortRange", log.error.call_args.kwargs["cause"])
            runtime.dispatch.assert_not_called()


if __name__ == "__main__":
    unittest.main()
