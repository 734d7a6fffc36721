"""Connects the daemon to the platform: store feeds, entry requests and readiness checks.

Two tables of the store are followed: one with the operator's configuration, one with the entries of
targets. Their rows become events for the reducer.
"""

import json
from collections.abc import Callable, Coroutine
from datetime import timedelta
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import curio
import h11

from endivedrift.core import (
    Address,
    ClaimOutcome,
    Digest,
    FailureDomain,
    HostPhase,
    TargetEntry,
    TargetName,
)
from endivedrift.core.events import SeedsRead, StoreRecovered, StoreUnavailable, TargetsObserved
from endivedrift.objects import NAME_PATTERN
from endivedrift.platform._configuration import read_configuration
from endivedrift.platform._entries import read_entry
from endivedrift.platform._headers import PLATFORM_CONVENTIONS
from endivedrift.platform._node_file import ENTRY_MAX_AGE_S, NodeFile, read_node_file
from endivedrift.platform._store import (
    HistoryGoneError,
    StoreClient,
    StoreError,
    StoreRow,
    TableRead,
)
from endivedrift.platform._values import WireError, escape_text, read_row_value
from endivedrift.reducer import resolve_entry_hosts
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
"""Time after the first read of a table until its changes are followed. Hosts that hear in this time
from those that read the store need not follow it, which saves each start a call for each table. It
is the time without such an update after which a host reads the store itself."""
RETRY_PERIOD = timedelta(milliseconds=500)
"""Delay before another call to a store that did not answer."""
SETTINGS_CHECK_PERIOD = timedelta(seconds=2)
"""Time between two checks of the settings file for changes. It may be long, since only the seeds
are reloaded, and a host that knows other hosts does not need them."""
MAX_QUERY_CONNECTIONS = 256

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
        return [
            self._watch_file(runtime),
            *feeds.build_loops().values(),
            SimpleHttpServer(
                node_file.readiness_address, handlers.answer_readiness, MAX_QUERY_CONNECTIONS
            ).accept(),
            SimpleHttpServer(
                node_file.entry_address, handlers.answer_entry, MAX_QUERY_CONNECTIONS
            ).accept(),
            SimpleHttpServer(
                node_file.internal_address, handlers.answer_internal, MAX_QUERY_CONNECTIONS
            ).accept(),
        ]


class Feeds:
    """Follows tables of the store and converts their rows into events."""

    def __init__(self, node_file: NodeFile, runtime: Runtime, install: ConfigInstaller) -> None:
        """Lets the runtime switch the reading of the store on and off.

        Args:
          node_file: Names the store and the bounds of the fleet.
          runtime: Takes the events.
          install: Puts a configuration in force.
        """
        self._node_file = node_file
        self._runtime = runtime
        self._install = install
        self._reading_enabled = curio.Event()
        runtime.set_store_reading = self._set_reading

    def build_loops(self) -> dict[str, Coroutine[Any, Any, None]]:
        """Builds one loop for each table, by the table's name."""
        return {
            OPERATOR_TABLE: self._follow(OPERATOR_TABLE, self._apply_configuration, False),
            TARGET_TABLE: self._follow(TARGET_TABLE, self._apply_entries, True),
        }

    async def _follow(
        self,
        table: str,
        apply: Callable[[TableRead, int], Coroutine[Any, Any, None]],
        holds_targets: bool,
    ) -> None:
        """Passes what is read from a table to `apply` while this host reads the store.

        Only the feed of the target table reports to the reducer that the store is unavailable,
        since the configuration feed may fail on its own.

        Args:
          table: Name of the table.
          apply: Takes the rows and the version after which they changed, or 0 for a whole table.
          holds_targets: Whether this is the target table.
        """
        client = StoreClient(self._node_file.store_address)
        version: int | None = None
        unavailable = False
        pause = FIRST_FEED_DELAY
        await self._reading_enabled.set()
        while True:
            if not self._reading_enabled.is_set():
                # Updates that other hosts relay meanwhile advance past this version, so the whole
                # table is read afterwards.
                version = None
                await client.close()
                await self._reading_enabled.wait()
            try:
                read, complete = await _read_updates(client, table, version)
            except StoreError as error:
                self._runtime.metrics.platform_failures[table] += 1
                version = None
                if not unavailable:
                    unavailable = True
                    _log.warning("Store unavailable.", table=table, cause=str(error))
                    if holds_targets:
                        await self._runtime.dispatch(StoreUnavailable(self._now(), str(error)))
                await curio.sleep(jitter_period(RETRY_PERIOD))
                continue
            since, version = version or 0, read.version
            if unavailable:
                unavailable = False
                _log.info("Store recovered.", table=table)
                if holds_targets:
                    await self._runtime.dispatch(StoreRecovered(self._now()))
            await apply(read, 0 if complete else since)
            await curio.sleep(pause.total_seconds())
            pause = MIN_FEED_INTERVAL

    async def _set_reading(self, enabled: bool) -> None:
        """Starts following the store, or stops after the call in progress."""
        if enabled:
            await self._reading_enabled.set()
        else:
            self._reading_enabled.clear()

    async def _apply_configuration(self, read: TableRead, since: int) -> None:
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

    async def _apply_entries(self, read: TableRead, since: int) -> None:
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
        event = TargetsObserved(
            self._now(),
            tuple(entries.values()),
            tuple(sorted(removed)),
            complete=not since,
            version=read.version,
            since=since,
        )
        await self._runtime.dispatch(event)

    def _now(self) -> timedelta:
        return self._runtime.clock.monotonic()


async def _read_updates(
    client: StoreClient, table: str, version: int | None
) -> tuple[TableRead, bool]:
    """Reads the changes of a table after a version, or the whole table if they are unavailable.

    Returns:
      The rows, and whether they are the whole table.
    Raises:
      StoreError: If the store does not answer.
    """
    if version is not None:
        try:
            return await client.read_changes(table, version), False
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
