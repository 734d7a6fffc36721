"""Connects the daemon to the platform: store feeds, entry requests and readiness checks.

Two tables of the store are followed: one with the operator's configuration, one with the entries of
targets. Their rows become events for the reducer.
"""

import json
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import curio
import h11

from endivedrift.core import (
    Address,
    ChangeSource,
    ClaimOutcome,
    Digest,
    FailureDomain,
    HostPhase,
    TargetEntry,
    TargetName,
)
from endivedrift.core.effects import AskStore
from endivedrift.core.events import SeedsRead, StoreAnswered, StoreUnavailable, TargetsObserved
from endivedrift.objects import NAME_PATTERN
from endivedrift.platform._configuration import read_configuration
from endivedrift.platform._entries import read_entry
from endivedrift.platform._headers import PLATFORM_CONVENTIONS
from endivedrift.platform._node_file import ENTRY_MAX_AGE_S, NodeFile, read_node_file
from endivedrift.platform._store import (
    LONG_POLL_WAIT,
    HistoryGoneError,
    StoreClient,
    StoreError,
    StoreRow,
    TableRead,
)
from endivedrift.platform._values import WireError, escape_text, read_row_value
from endivedrift.reducer import compute_silence_limit, resolve_entry_hosts
from endivedrift.shell.host import ConfigInstaller
from endivedrift.shell.interface import HttpAnswer, SimpleHttpServer
from endivedrift.shell.running import Runtime, jitter_period, make_logger
from endivedrift.store import Claim, ClaimResult, ClaimTable

OPERATOR_TABLE = "op"
TARGET_TABLE = "servers"
"""The platform calls targets servers."""
CONFIGURATION_KEY = "config"
MIN_FEED_INTERVAL = timedelta(milliseconds=500)
"""Shortest time between two reads of a feed, so that changes in quick succession cost one call. It
is a quarter of the time within which a change must be in force."""
FIRST_FEED_DELAY = timedelta(milliseconds=1_200)
"""Time after the first read of a table until its changes are waited for. Hosts that learn in this
time that others wait need not, which saves each start a call for each table."""
RETRY_PERIOD = timedelta(milliseconds=500)
"""Delay before waiting for changes again after a call that failed."""
SETTINGS_CHECK_PERIOD = timedelta(seconds=2)
"""Time between two checks of the settings file for changes. It may be long, since only the seeds
are reloaded, and a host that knows other hosts does not need them."""

_log = make_logger("platform")


class PlatformEnvironment:
    """Environment of a host on the platform; see `HostEnvironment`."""

    def __init__(self, path: Path, node_file: NodeFile) -> None:
        """Takes the path of the settings file and its contents."""
        self._path = path
        self._modified_ns = _read_modified_ns(path)
        self.conventions = PLATFORM_CONVENTIONS
        self.claims: ClaimTable = self
        self.serves_entry_to_callers = False
        self.store_is_relayed = True
        self.change_limit = node_file.change_limit
        self._node_file = node_file

    async def claim(self, claim: Claim) -> ClaimResult:
        """Returns UNKNOWN, since callers on the platform send no idempotency keys."""
        return ClaimResult(ClaimOutcome.UNKNOWN)

    async def read_object(self, digest: Digest) -> bytes | None:
        """Returns None: object sets come with the feed, and the store has none by digest."""
        return None

    async def reload(self, runtime: Runtime) -> None:
        """Reloads the seeds from the settings file."""
        try:
            node_file = read_node_file(self._path)
        except WireError as error:
            _log.error(
                "Settings file is invalid; the previous settings stay in force.", cause=str(error)
            )
            return
        _log.info("Settings reloaded.", seeds=node_file.settings.fleet.seeds)
        seeds = tuple(Address(seed) for seed in node_file.settings.fleet.seeds)
        await runtime.dispatch(SeedsRead(runtime.clock.monotonic(), seeds))

    async def _watch_file(self, runtime: Runtime) -> None:
        """Reloads the settings file when it has changed, even without a signal."""
        while True:
            await curio.sleep(SETTINGS_CHECK_PERIOD.total_seconds())
            modified_ns = _read_modified_ns(self._path)
            if modified_ns != self._modified_ns:
                self._modified_ns = modified_ns
                await self.reload(runtime)

    def build_loops(
        self, runtime: Runtime, install: ConfigInstaller
    ) -> list[Coroutine[Any, Any, None]]:
        """Builds the loops that follow the store and serve HTTP requests; see `HostEnvironment`."""
        node_file = self._node_file
        feeds = Feeds(node_file, runtime, install)
        handlers = _QueryHandlers(runtime)
        most = node_file.settings.limits.query_connections
        return [
            self._watch_file(runtime),
            *feeds.build_loops().values(),
            SimpleHttpServer(node_file.readiness_address, handlers.answer_readiness, most).accept(),
            SimpleHttpServer(node_file.entry_address, handlers.answer_entry, most).accept(),
            SimpleHttpServer(node_file.internal_address, handlers.answer_internal, most).accept(),
        ]


@dataclass(slots=True)
class _Table:
    """One table that is read.

    Attributes:
      name: Its name.
      apply: Takes the rows, the version after which they changed, or 0 for a whole table, and how
        they were read.
      version: Version of the store up to which the table has been read, or 0.
      waits: Connection on which the store waits for changes.
      questions: Connection for questions that it answers at once.
      waiting: The wait in progress, or None.
      waiting_after: The version that it waits for changes after.
    """

    name: str
    apply: Callable[[TableRead, int, ChangeSource], Coroutine[Any, Any, None]]
    waits: StoreClient
    questions: StoreClient
    version: int = 0
    waiting: curio.Task | None = None
    waiting_after: int = 0

    async def wait_for_changes(self) -> tuple[TableRead, bool] | None:
        """Waits for changes; returns None if `end_wait` was called.

        Raises:
          StoreError: If the store does not answer.
        """
        self.waiting_after = self.version
        self.waiting = await curio.spawn(self._wait, daemon=True)
        try:
            found = await self.waiting.join()
        except curio.TaskError as error:
            if isinstance(error.__cause__, curio.CancelledError):
                return None
            raise
        finally:
            self.waiting = None
        if isinstance(found, StoreError):
            raise found
        return found

    async def _wait(self) -> tuple[TableRead, bool] | StoreError:
        """Waits in a task of its own; a failure is a result, since curio logs those of tasks."""
        try:
            return await _read_updates(self.waits, self.name, self.version, LONG_POLL_WAIT)
        except StoreError as error:
            return error

    def must_have_seen(self, after: int) -> bool:
        """Tells whether a wait is in progress that a change after a version should have ended."""
        return self.waiting is not None and self.waiting_after <= after

    async def end_wait(self) -> None:
        """Ends the wait in progress and closes its connection."""
        if self.waiting is not None:
            await self.waiting.cancel()


class Feeds:
    """Reads tables of the store and converts their rows into events.

    A host that reads the store for others waits for the changes of each table on a connection of
    its own. Beside that, the reducer has questions asked that the store answers at once, on other
    connections: they tell a store that has nothing new from a connection that delivers nothing.
    """

    def __init__(self, node_file: NodeFile, runtime: Runtime, install: ConfigInstaller) -> None:
        """Lets the runtime ask the store, and switch the waiting for changes on and off.

        Args:
          node_file: Names the store and the bounds of the fleet.
          runtime: Takes the events.
          install: Puts a configuration in force.
        """
        self._node_file = node_file
        self._runtime = runtime
        self._install = install
        self._waiting_enabled = curio.Event()
        address, row_bytes = node_file.store_address, node_file.store_row_bytes
        silence = compute_silence_limit(node_file.change_limit)
        self._tables = {
            name: _Table(
                name,
                apply,
                waits=StoreClient(address, row_bytes),
                questions=StoreClient(address, row_bytes, reuse_silence=silence),
            )
            for name, apply in (
                (OPERATOR_TABLE, self._apply_configuration),
                (TARGET_TABLE, self._apply_entries),
            )
        }
        runtime.set_store_reading = self._set_reading
        runtime.ask_store = self.ask

    def build_loops(self) -> dict[str, Coroutine[Any, Any, None]]:
        """Builds one loop for each table, by the table's name."""
        return {name: self._follow(table) for name, table in self._tables.items()}

    async def ask(self, effect: AskStore) -> None:
        """Asks for the changes of both tables, applies them, and reports whether it was answered.

        A failure of any kind is reported, since no other question is asked before.
        """
        asked_at = self._now()
        targets, config = self._tables[TARGET_TABLE], self._tables[OPERATOR_TABLE]
        targets.version = max(targets.version, effect.targets_after)
        config.version = max(config.version, effect.config_after)
        questions = [await curio.spawn(self._ask_table, table) for table in (config, targets)]
        failures = [failure for q in questions if (failure := await q.join()) is not None]
        now = self._now()
        if failures:
            await self._runtime.dispatch(StoreUnavailable(now, failures[0]))
            return
        await self._runtime.dispatch(StoreAnswered(now, asked_at, targets.version, config.version))

    async def _ask_table(self, table: _Table) -> str | None:
        """Asks for the changes of a table and applies them; returns why that failed, if it did."""
        after = table.version
        try:
            read, complete = await _read_updates(table.questions, table.name, after)
            await self._apply(table, read, after, complete, ChangeSource.QUESTION)
        except StoreError as error:
            cause = str(error)
        except Exception as error:
            _log.exception("Reading the store failed.", table=table.name)
            cause = f"{type(error).__name__}: {error}"
        else:
            if read.rows and not complete and table.must_have_seen(after):
                _log.warning("A connection delivers no changes; it is replaced.", table=table.name)
                await table.end_wait()
            return None
        self._runtime.metrics.platform_failures[table.name] += 1
        return f"{table.name}: {cause}"

    async def _follow(self, table: _Table) -> None:
        """Waits for changes of a table and applies them while this host reads the store."""
        await self._waiting_enabled.set()
        while not table.version:
            await curio.sleep(RETRY_PERIOD.total_seconds())
        await curio.sleep(FIRST_FEED_DELAY.total_seconds())
        while True:
            if not self._waiting_enabled.is_set():
                await table.waits.close()
                await self._waiting_enabled.wait()
            # What other hosts have relayed need not be read again.
            table.version = max(table.version, self._get_known_version(table))
            after = table.version
            try:
                found = await table.wait_for_changes()
            except StoreError as error:
                self._runtime.metrics.platform_failures[table.name] += 1
                _log.info("Waiting for changes failed.", table=table.name, cause=str(error))
                await curio.sleep(jitter_period(RETRY_PERIOD))
                continue
            if found is not None:
                await self._apply(table, found[0], after, found[1], ChangeSource.WAIT)
            await curio.sleep(MIN_FEED_INTERVAL.total_seconds())

    def _get_known_version(self, table: _Table) -> int:
        """Returns the version of the store up to which this host knows a table, read or relayed."""
        state = self._runtime.state
        if table.name == OPERATOR_TABLE:
            return state.store.config_read_to
        return state.targets_read_to

    async def _apply(
        self, table: _Table, read: TableRead, after: int, complete: bool, source: ChangeSource
    ) -> None:
        """Applies rows, unless later ones were applied while these were read."""
        if table.version > after and not complete and read.version <= table.version:
            return
        await table.apply(read, 0 if complete else after, source)
        table.version = max(table.version, read.version)

    async def _set_reading(self, enabled: bool) -> None:
        """Starts waiting for changes, or stops and ends the calls in progress."""
        if enabled:
            await self._waiting_enabled.set()
            return
        self._waiting_enabled.clear()
        for table in self._tables.values():
            await table.end_wait()

    async def _apply_configuration(self, read: TableRead, since: int, source: ChangeSource) -> None:
        """Installs the configuration if its row was read and is valid."""
        for row in read.rows:
            if row.key != CONFIGURATION_KEY or row.deleted:
                continue
            try:
                document = read_row_value(row.value)
                fetched = read_configuration(document, self._node_file.bounds, self._now())
            except WireError as error:
                _log.error("Configuration is invalid; the one in force stays.", cause=str(error))
                continue
            await self._install(fetched)

    async def _apply_entries(self, read: TableRead, since: int, source: ChangeSource) -> None:
        """Reports targets that registered, changed or were removed to the reducer."""
        entries: dict[TargetName, TargetEntry] = {}
        removed: set[TargetName] = set()
        for row in read.rows:
            if NAME_PATTERN.check(row.key) is not None:
                # No target has such a name, which may not even fit a message to other hosts.
                _log.warning("Entry without a valid name.", name=escape_text(row.key))
                continue
            name = TargetName(row.key)
            entry = _read_target(row)
            if entry is None:
                entries.pop(name, None)
                removed.add(name)
            else:
                removed.discard(name)
                entries[name] = entry
        if since and not read.rows:
            return
        event = TargetsObserved(
            self._now(),
            tuple(entries.values()),
            tuple(sorted(removed)),
            complete=not since,
            version=read.version,
            since=since,
            source=source,
        )
        await self._runtime.dispatch(event)

    def _now(self) -> timedelta:
        return self._runtime.clock.monotonic()


async def _read_updates(
    client: StoreClient, table: str, version: int, wait: timedelta = timedelta(0)
) -> tuple[TableRead, bool]:
    """Reads the changes of a table after a version, or the whole table if they are unavailable.

    Args:
      client: The connection.
      table: Name of the table.
      version: The version, or 0 for none.
      wait: How long the store waits for a change if there is none.
    Returns:
      The rows, and whether they are the whole table.
    Raises:
      StoreError: If the store does not answer.
    """
    if version:
        try:
            return await client.read_changes(table, version, wait), False
        except HistoryGoneError:
            _log.info("History is gone; reading the whole table.", table=table, version=version)
    return await client.read_table(table), True


def _read_target(row: StoreRow) -> TargetEntry | None:
    """Returns the entry in a target's row, or None if the row is deleted or invalid."""
    if row.deleted:
        return None
    try:
        return read_entry(row.key, read_row_value(row.value))
    except WireError as error:
        name = escape_text(row.key)
        _log.warning(
            "Entry is invalid; its target counts as removed.", target=name, cause=str(error)
        )
        return None


class _QueryHandlers:
    """Answers HTTP requests of the platform and of callers about hosts."""

    def __init__(self, runtime: Runtime) -> None:
        self._state = runtime.state

    def answer_readiness(self, request: h11.Request) -> HttpAnswer:
        """Answers 200 while this host is in its serving phase, otherwise 503."""
        ready = self._state.phase is HostPhase.SERVING
        return HttpAnswer(200 if ready else 503, (), b"")

    def answer_internal(self, request: h11.Request) -> HttpAnswer:
        """Answers 404: hosts exchange messages on ports of their own, not on this address."""
        return HttpAnswer(404, (), b"")

    def answer_entry(self, request: h11.Request) -> HttpAnswer:
        """Answers an entry request: names the hosts that callers of a host name connect to."""
        query = parse_qs(request.target.decode("ascii").partition("?")[2])
        # `name` is the host name in the caller's requests, `zone` the caller's own failure domain.
        name = query.get("name", [""])[0].lower()
        domain = FailureDomain(query.get("zone", [""])[0])
        members = resolve_entry_hosts(self._state, name, domain)
        headers = ((b"content-type", b"application/json"),)
        if not members:
            body = {"error": "this host knows no host that is ready"}
            return HttpAnswer(503, headers, json.dumps(body).encode())
        answer = {
            "addresses": [member.caller_address for member in members],
            "ttl": f"{round(ENTRY_MAX_AGE_S * 1000)}ms",
        }
        return HttpAnswer(200, headers, json.dumps(answer).encode())


def read_environment(path: Path) -> tuple[NodeFile, PlatformEnvironment]:
    """Reads the settings file and builds the environment from it.

    Raises:
      WireError: If the file is invalid.
    """
    node_file = read_node_file(path)
    return node_file, PlatformEnvironment(path, node_file)


def _read_modified_ns(path: Path) -> int:
    """Returns a file's modification time in nanoseconds, or 0 if it cannot be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
