"""Joins the daemon to the platform: feeds of the store, entry questions and readiness."""

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
from endivedrift.platform._values import WireError, read_row_value
from endivedrift.reducer import resolve_entry_hosts
from endivedrift.shell.host import ConfigInstaller
from endivedrift.shell.interface import HttpAnswer, SimpleHttpServer
from endivedrift.shell.running import Runtime, jitter_period, make_logger
from endivedrift.store import Claim, ClaimResult, ClaimTable

OPERATOR_TABLE = "op"
TARGET_TABLE = "servers"
CONFIGURATION_KEY = "config"
GATHER_PERIOD = timedelta(milliseconds=500)
"""Least time between two answers of a feed, a quarter of the bound for a change to be in force, so
that changes in quick succession cost one call."""
RETRY_PERIOD = timedelta(milliseconds=500)
"""Time after which a store that does not answer is asked again."""
FILE_PERIOD = timedelta(seconds=2)
"""Time between two looks at the settings file; only seeds are taken from it, which hosts that know
others do not need."""
MAX_QUESTIONS = 256

_log = make_logger("platform")


class PlatformEnvironment:
    """The platform as a host sees it."""

    def __init__(self, path: Path, node: NodeFile) -> None:
        """Takes the settings file and what was read of it."""
        self._path = path
        self._changed = _date_file(path)
        self.conventions = PLATFORM_CONVENTIONS
        self.claims: ClaimTable = self
        self.serves_entry_to_callers = False
        self.store_is_relayed = True
        self._node = node

    async def claim(self, claim: Claim) -> ClaimResult:
        """Claims nothing: callers have no keys here."""
        return ClaimResult(ClaimOutcome.UNKNOWN)

    async def read_object(self, digest: Digest) -> bytes | None:
        """Returns nothing: the feed brings object sets; the store holds them under no digest."""
        return None

    async def reload(self, runtime: Runtime) -> None:
        """Reads the settings file again and takes the seeds from it."""
        try:
            node = read_node_file(self._path)
        except WireError as error:
            _log.error("Settings refused; the earlier ones stay.", cause=str(error))
            return
        _log.info("Settings read again.", seeds=node.settings.fleet.seeds)
        seeds = tuple(Address(seed) for seed in node.settings.fleet.seeds)
        await runtime.dispatch(SeedsRead(runtime.clock.monotonic(), seeds))

    async def _watch_file(self, runtime: Runtime) -> None:
        """Reads the settings file again when it changed, which may come without a signal."""
        while True:
            await curio.sleep(FILE_PERIOD.total_seconds())
            changed = _date_file(self._path)
            if changed != self._changed:
                self._changed = changed
                await self.reload(runtime)

    def build_loops(
        self, runtime: Runtime, install: ConfigInstaller
    ) -> list[Coroutine[Any, Any, None]]:
        """Builds the loops that follow the store and answer the platform's questions."""
        node = self._node
        feeds = Feeds(node, runtime, install)
        questions = _Questions(runtime)
        return [
            self._watch_file(runtime),
            *feeds.build_loops().values(),
            SimpleHttpServer(node.readiness, questions.answer_readiness, MAX_QUESTIONS).accept(),
            SimpleHttpServer(node.entry, questions.answer_entry, MAX_QUESTIONS).accept(),
            SimpleHttpServer(node.internal, questions.answer_internal, MAX_QUESTIONS).accept(),
        ]


class Feeds:
    """Follows tables of the store and turns their rows into events."""

    def __init__(self, node: NodeFile, runtime: Runtime, install: ConfigInstaller) -> None:
        """Takes the settings, where events go, and what puts a configuration in force."""
        self._node = node
        self._runtime = runtime
        self._install = install
        self._reading = curio.Event()
        runtime.set_store_reading = self._choose_reading

    def build_loops(self) -> dict[str, Coroutine[Any, Any, None]]:
        """Builds the loops that follow the tables, by table."""
        return {
            OPERATOR_TABLE: self._follow(OPERATOR_TABLE, self._take_configuration, False),
            TARGET_TABLE: self._follow(TARGET_TABLE, self._take_entries, True),
        }

    async def _follow(
        self,
        table: str,
        take: Callable[[TableRead, int], Coroutine[Any, Any, None]],
        holds_targets: bool,
    ) -> None:
        """Gives each state and change of a table to `take` while this host reads the store.

        Changes come with the version after which they were made, and whole tables with 0.
        Only the feed of the targets' table tells the decisions that the store was away, since the
        other one may lose it alone.
        """
        client = StoreClient(self._node.store)
        version: int | None = None
        lost = False
        await self._reading.set()
        while True:
            if not self._reading.is_set():
                # What other hosts tell meanwhile goes on from another version.
                version = None
                await client.close()
                await self._reading.wait()
            try:
                read, complete = await _read_on(client, table, version)
            except StoreError as error:
                self._runtime.metrics.platform_failures.labels(table).inc()
                version = None
                if not lost:
                    lost = True
                    _log.warning("Store lost.", table=table, cause=str(error))
                    if holds_targets:
                        await self._runtime.dispatch(StoreUnavailable(self._now(), str(error)))
                await curio.sleep(jitter_period(RETRY_PERIOD))
                continue
            since, version = version or 0, read.version
            if lost:
                lost = False
                _log.info("Store regained.", table=table)
                if holds_targets:
                    await self._runtime.dispatch(StoreRecovered(self._now()))
            await take(read, 0 if complete else since)
            await curio.sleep(GATHER_PERIOD.total_seconds())

    async def _choose_reading(self, reading: bool) -> None:
        """Begins to follow the store, or stops after the question that it holds."""
        if reading:
            await self._reading.set()
        else:
            self._reading.clear()

    async def _take_configuration(self, read: TableRead, since: int) -> None:
        """Installs the configuration where its row is new."""
        for row in read.rows:
            if row.key != CONFIGURATION_KEY or row.deleted:
                continue
            try:
                document = read_row_value(row.value)
                fetched = read_configuration(document, self._node.bounds, self._now())
            except WireError as error:
                _log.error("Configuration refused; the one in force stays.", cause=str(error))
                continue
            await self._install(fetched)

    async def _take_entries(self, read: TableRead, since: int) -> None:
        """Tells the decisions of targets that registered, changed or vanished."""
        entries: dict[TargetName, TargetEntry] = {}
        gone: set[TargetName] = set()
        for row in read.rows:
            name = TargetName(row.key)
            entry = _read_target(row)
            if entry is None:
                entries.pop(name, None)
                gone.add(name)
            else:
                gone.discard(name)
                entries[name] = entry
        event = TargetsObserved(
            self._now(),
            tuple(entries.values()),
            tuple(sorted(gone)),
            complete=not since,
            version=read.version,
            since=since,
        )
        await self._runtime.dispatch(event)

    def _now(self) -> timedelta:
        return self._runtime.clock.monotonic()


async def _read_on(client: StoreClient, table: str, version: int | None) -> tuple[TableRead, bool]:
    """Reads the changes of a table after a version, or all of it where they cannot be had.

    Returns:
      The rows, and whether they are the whole table.
    Raises:
      StoreError: If the store does not answer.
    """
    if version is not None:
        try:
            return await client.read_changes(table, version), False
        except HistoryGoneError:
            _log.info("History is gone; the table is read whole.", table=table, version=version)
    return await client.read_table(table), True


def _read_target(row: StoreRow) -> TargetEntry | None:
    """Reads a target's row, or None where it is deleted or names no target."""
    if row.deleted:
        return None
    try:
        return read_entry(row.key, read_row_value(row.value))
    except WireError as error:
        _log.warning("Entry is unreadable and names no target.", target=row.key, cause=str(error))
        return None


class _Questions:
    """Answers the platform's and the callers' questions about hosts."""

    def __init__(self, runtime: Runtime) -> None:
        self._state = runtime.state

    def answer_readiness(self, request: h11.Request) -> HttpAnswer:
        """Tells whether this host takes requests."""
        ready = self._state.phase is HostPhase.SERVING
        return HttpAnswer(200 if ready else 503, (), b"")

    def answer_internal(self, request: h11.Request) -> HttpAnswer:
        """Answers nothing: hosts speak to one another on ports of their own."""
        return HttpAnswer(404, (), b"")

    def answer_entry(self, request: h11.Request) -> HttpAnswer:
        """Names the hosts that callers of a name connect to."""
        query = parse_qs(request.target.decode("ascii").partition("?")[2])
        # `name` is the host that the caller will put into its requests, and `zone` its own place.
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
    """Reads the settings file and joins the platform that it names.

    Raises:
      WireError: If the file cannot be used.
    """
    node = read_node_file(path)
    return node, PlatformEnvironment(path, node)


def _date_file(path: Path) -> int:
    """Returns the time of a file's last change in nanoseconds, or 0 where there is no file."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
