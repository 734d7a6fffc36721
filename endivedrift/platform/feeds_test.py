"""Tests the feeds of the store's two tables.

Only the feed of the target table may report the store as unavailable, since the entries of targets
may expire from then on.
"""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import mock

import curio

from endivedrift.core import ManualClock
from endivedrift.core.events import StoreRecovered, StoreUnavailable
from endivedrift.platform import _environment
from endivedrift.platform._environment import OPERATOR_TABLE, TARGET_TABLE, Feeds
from endivedrift.platform._node_file import read_node_file
from endivedrift.platform._store import StoreError, TableRead
from endivedrift.shell._metrics import Metrics
from endivedrift.shell.running import Runtime
from tests.platform_builders import build_node_file


class FeedTest(unittest.TestCase):
    def follow(self, table: str, replies: list[StoreError | TableRead]) -> list[type]:
        """Follows a table through the given replies and returns the types of the events."""
        with TemporaryDirectory() as directory:
            path = Path(directory) / "local.toml"
            path.write_text(build_node_file("127.0.0.1", "127.0.0.1:1", [], 7000), "utf-8")
            node = read_node_file(path)
        events: list[object] = []

        async def dispatch(event: object) -> None:
            events.append(event)

        async def reply(*arguments: Any) -> tuple[TableRead, bool]:
            if not replies:
                raise curio.TaskCancelled
            given = replies.pop(0)
            if isinstance(given, StoreError):
                raise given
            return given, True

        runtime = mock.Mock(spec=Runtime, clock=ManualClock(), metrics=Metrics())
        runtime.dispatch = dispatch
        feeds = Feeds(node, runtime, dispatch)

        async def run() -> None:
            loops = feeds.build_loops()
            loop = loops.pop(table)
            for other in loops.values():
                other.close()
            with self.assertRaises(curio.TaskCancelled):
                await loop

        without_delays = mock.patch.multiple(
            _environment,
            _read_updates=reply,
            MIN_FEED_INTERVAL=_environment.RETRY_PERIOD * 0,
            FIRST_FEED_DELAY=_environment.RETRY_PERIOD * 0,
            RETRY_PERIOD=_environment.RETRY_PERIOD * 0,
        )
        with without_delays:
            curio.run(run)
        return [
            type(event) for event in events if isinstance(event, StoreUnavailable | StoreRecovered)
        ]

    def test_the_target_feed_reports_that_the_store_is_unavailable(self) -> None:
        replies = [StoreError("silent"), StoreError("silent"), TableRead((), 3)]
        self.assertEqual(
            self.follow(TARGET_TABLE, list(replies)), [StoreUnavailable, StoreRecovered]
        )

    def test_the_configuration_feed_does_not_report_the_store(self) -> None:
        replies = [StoreError("silent"), TableRead((), 3)]
        self.assertEqual(self.follow(OPERATOR_TABLE, list(replies)), [])


if __name__ == "__main__":
    unittest.main()
