"""Tests how hosts read the two tables of the store: by waiting for changes, and by questions."""

import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import curio

from endivedrift.core import ManualClock
from endivedrift.core.effects import AskStore
from endivedrift.core.events import StoreAnswered, StoreUnavailable, TargetsObserved
from endivedrift.platform import _environment
from endivedrift.platform._environment import OPERATOR_TABLE, TARGET_TABLE, Feeds
from endivedrift.platform._node_file import read_node_file
from endivedrift.platform._store import StoreClient, StoreError, StoreRow, TableRead
from endivedrift.reducer import build_host
from endivedrift.shell._metrics import Metrics
from endivedrift.shell.running import Runtime
from tests.builders import SECRET, build_identity
from tests.platform_builders import build_node_file

LIMIT_S = 10.0


class FakeStore:
    """Stands for the store's connections.

    Attributes:
      changes: Changed rows by table, which each question gets, and waits only if `delivers_waits`.
      failures: Exceptions that questions for a table raise.
      delivers_waits: Whether waits for changes are answered.
      wait_count: Number of waits that have begun.
      waiting: Number of waits in progress.
      waited_after: The version that the latest wait for each table was after.
    """

    def __init__(self) -> None:
        self.version = 5
        self.changes: dict[str, tuple[StoreRow, ...]] = {}
        self.failures: dict[str, Exception] = {}
        self.delivers_waits = True
        self.wait_count = 0
        self.waiting = 0
        self.waited_after: dict[str, int] = {}

    async def read_table(self, client: StoreClient, table: str) -> TableRead:
        return self.answer(table)

    async def read_changes(
        self,
        client: StoreClient,
        table: str,
        version: int,
        wait: object = _environment.RETRY_PERIOD * 0,
    ) -> TableRead:
        if wait:
            self.wait_count += 1
            self.waited_after[table] = version
            self.waiting += 1
            try:
                while not self.delivers_waits or not self.changes.get(table):
                    await curio.sleep(0.01)
            finally:
                self.waiting -= 1
        return self.answer(table)

    def answer(self, table: str) -> TableRead:
        if table in self.failures:
            raise self.failures[table]
        return TableRead(self.changes.get(table, ()), self.version)


class FeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()
        self.events: list[object] = []

    def run_feeds(self, scenario: Callable[[Feeds], Awaitable[None]]) -> None:
        """Runs a scenario beside the loops of the feeds."""
        with TemporaryDirectory() as directory:
            path = Path(directory) / "local.toml"
            path.write_text(build_node_file("127.0.0.1", "127.0.0.1:1", [], 7000), "utf-8")
            node = read_node_file(path)

        async def dispatch(event: object) -> None:
            self.events.append(event)

        async def read_changes(client: StoreClient, *arguments: object) -> TableRead:
            return await self.store.read_changes(client, *arguments)  # type: ignore[arg-type]

        async def read_table(client: StoreClient, table: str) -> TableRead:
            return await self.store.read_table(client, table)

        self.state = build_host(build_identity(), SECRET, 1, store_is_relayed=True)
        runtime = mock.Mock(spec=Runtime, clock=ManualClock(), metrics=Metrics(), state=self.state)
        runtime.dispatch = dispatch

        async def run() -> None:
            feeds = Feeds(node, runtime, dispatch)
            loops = [await curio.spawn(loop) for loop in feeds.build_loops().values()]
            async with curio.timeout_after(LIMIT_S):
                await scenario(feeds)
            for loop in loops:
                await loop.cancel()

        with (
            mock.patch.object(StoreClient, "read_changes", read_changes),
            mock.patch.object(StoreClient, "read_table", read_table),
            mock.patch.multiple(
                _environment,
                MIN_FEED_INTERVAL=_environment.RETRY_PERIOD * 0,
                FIRST_FEED_DELAY=_environment.RETRY_PERIOD * 0,
                RETRY_PERIOD=_environment.RETRY_PERIOD * 0,
            ),
        ):
            curio.run(run)

    def ask(self) -> list[object]:
        """Asks once and returns the events of it."""

        async def scenario(feeds: Feeds) -> None:
            await feeds.ask(AskStore())

        self.run_feeds(scenario)
        return self.events

    def test_an_answered_question_reports_the_versions_of_both_tables(self) -> None:
        answer = self.ask()[-1]
        self.assertIsInstance(answer, StoreAnswered)
        assert isinstance(answer, StoreAnswered)
        self.assertEqual((answer.targets_version, answer.config_version), (5, 5))

    # Guards against a host that counts as up to date though one of its tables was not read, and
    # against one that asks no more since the end of a question was never reported.
    def test_a_question_that_fails_for_either_table_counts_as_unanswered(self) -> None:
        for table in (OPERATOR_TABLE, TARGET_TABLE):
            for failure in (StoreError("silent"), ValueError("unforeseen")):
                with self.subTest(table=table, failure=failure):
                    self.setUp()
                    self.store.failures = {table: failure}
                    self.assertIsInstance(self.ask()[-1], StoreUnavailable)

    def test_the_rows_of_the_other_table_are_applied_all_the_same(self) -> None:
        self.store.failures = {OPERATOR_TABLE: StoreError("silent")}
        self.assertEqual([type(e) for e in self.ask()], [TargetsObserved, StoreUnavailable])

    def test_a_wait_begins_after_what_other_hosts_have_relayed(self) -> None:
        async def scenario(feeds: Feeds) -> None:
            self.state.store.config_read_to, self.state.store.targets_read_to = 40, 30
            self.state.targets_version = 41
            await feeds.ask(AskStore())
            while self.store.wait_count < 2:
                await curio.sleep(0.01)

        self.run_feeds(scenario)
        self.assertEqual(self.store.waited_after, {OPERATOR_TABLE: 40, TARGET_TABLE: 41})

    # Guards against a host that holds calls to the store long after others wait in its place.
    def test_waits_end_at_once_when_other_hosts_wait(self) -> None:
        async def scenario(feeds: Feeds) -> None:
            await feeds.ask(AskStore())
            while self.store.wait_count < 2:
                await curio.sleep(0.01)
            await feeds._set_reading(False)
            await curio.sleep(0.05)
            self.assertEqual(self.store.waiting, 0)
            await feeds._set_reading(True)
            while self.store.wait_count < 4:
                await curio.sleep(0.01)

        self.run_feeds(scenario)

    # Guards against CONFIG: a host that goes on waiting on a connection that delivers nothing.
    def test_a_wait_that_missed_a_change_is_begun_again(self) -> None:
        async def scenario(feeds: Feeds) -> None:
            await feeds.ask(AskStore())
            while self.store.wait_count < 2:
                await curio.sleep(0.01)
            self.store.delivers_waits = False
            self.store.changes = {TARGET_TABLE: (StoreRow("i-1", "", True),)}
            self.store.version = 6
            await feeds.ask(AskStore())
            while self.store.wait_count < 3:
                await curio.sleep(0.01)

        self.run_feeds(scenario)


if __name__ == "__main__":
    unittest.main()
