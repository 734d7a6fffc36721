"""Stand-in for the store of the users' platform: tables of rows with a change feed, in memory.

It implements the calls `rows-get`, `rows-feed` and `rows-tx` for the tables and sizes that the
tests need. `PUT /control/faults` takes a JSON object with members of `StoreFaults`.
"""

import argparse
import base64
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import curio

from standins._http_server import StandinReply, StandinRequest, serve_http

PAGE_ROWS = 500
POLL_S = 0.02
LOST_CALL_S = 60.0


@dataclass(slots=True)
class StoreFaults:
    """Active faults.

    Attributes:
      status: HTTP status of every answer, or 0 for normal answers.
      silent: Whether calls get no answer, not even afterwards; this includes calls that wait for
        changes when it begins.
      forget: Whether the change history is lost: the next feed call is answered with status 410,
        which clears this fault.
    """

    status: int = 0
    silent: bool = False
    forget: bool = False


@dataclass(slots=True)
class _Row:
    table: str
    key: str
    value: str
    ver: int
    deleted: bool = False

    def describe(self) -> dict[str, Any]:
        body = {"table": self.table, "part": "", "key": self.key, "ver": self.ver}
        return {**body, "deleted": True} if self.deleted else {**body, "value": self.value}


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """A copy of the store's rows and version."""

    rows: dict[tuple[str, str], _Row]
    version: int


@dataclass(slots=True)
class StoreStandin:
    """The store.

    Attributes:
      rows: Rows by table and key, including deleted ones.
      version: Version of the last write.
      faults: Active faults.
      calls: Number of calls received.
      era: Number of times that the store was restored, plus one.
    """

    rows: dict[tuple[str, str], _Row] = field(default_factory=dict)
    version: int = 1
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: int = 0
    era: int = 1

    def take_snapshot(self) -> StoreSnapshot:
        """Returns a copy of the rows and of the version."""
        return StoreSnapshot(dict(self.rows), self.version)

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Goes back to a copy; what was written since is lost, and its versions come again."""
        self.rows = dict(snapshot.rows)
        self.version = snapshot.version
        self.era += 1

    def write(self, table: str, key: str, document: object) -> None:
        """Writes a document as JSON to one row."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._write_rows([{"table": table, "key": key, "value": value}], [])

    def list_keys(self, table: str) -> set[str]:
        """Returns the keys of a table's rows."""
        return {k for (name, k), row in self.rows.items() if name == table and not row.deleted}

    def remove(self, table: str, key: str) -> None:
        """Marks one row as deleted."""
        self._write_rows([], [{"table": table, "key": key}])

    async def handle(self, request: StandinRequest) -> StandinReply:
        """Handles one call according to the active faults."""
        if request.path == "/control/faults":
            self.faults = StoreFaults(**json.loads(request.body))
            return StandinReply(200)
        self.calls += 1
        await self._lose_call_if_silent()
        if self.faults.status:
            return StandinReply(self.faults.status)
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        if request.path == "/endivedrift/rows-get":
            return self._read_rows(query)
        if request.path == "/endivedrift/rows-feed":
            return await self._read_changes(query)
        if request.path == "/endivedrift/rows-tx":
            return self._apply_transaction(json.loads(request.body))
        return StandinReply(404)

    async def _lose_call_if_silent(self) -> None:
        if self.faults.silent:
            await curio.sleep(LOST_CALL_S)

    def _read_rows(self, query: dict[str, str]) -> StandinReply:
        start = query.get("from", "")
        rows = sorted(
            (row.key, row)
            for row in self.rows.values()
            if row.table == query["table"] and row.key >= start and not row.deleted
        )
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        page = [row for _, row in rows[:limit]]
        return self._build_reply(page, truncated=len(rows) > limit)

    async def _read_changes(self, query: dict[str, str]) -> StandinReply:
        if self.faults.forget:
            self.faults.forget = False
            return StandinReply(410)
        after = int(query["after"])
        if after > self.version:
            return StandinReply(410, {"store-era": str(self.era)})
        era = self.era
        remaining_s = int(query["waitMs"]) / 1000.0
        while not self.faults.status:
            await self._lose_call_if_silent()
            if era != self.era:
                return StandinReply(503, {"store-era": str(self.era)})
            rows = [r for r in self.rows.values() if r.table == query["table"] and r.ver > after]
            if rows or remaining_s <= 0.0:
                return self._build_reply(sorted(rows, key=lambda row: row.ver))
            await curio.sleep(POLL_S)
            remaining_s -= POLL_S
        return StandinReply(self.faults.status)

    def _apply_transaction(self, body: dict[str, Any]) -> StandinReply:
        for expected in body.get("expected", ()):
            row = self.rows.get((expected["table"], expected["key"]))
            current_version = row.ver if row is not None and not row.deleted else 0
            if current_version != expected["ver"]:
                return StandinReply(412, body=json.dumps({"rows": []}).encode())
        self._write_rows(body.get("writes", ()), body.get("remove", ()))
        return self._build_reply([])

    def _write_rows(self, writes: Any, removals: Any) -> None:
        self.version += 1
        for write in writes:
            row = _Row(write["table"], write["key"], write["value"], self.version)
            self.rows[(row.table, row.key)] = row
        for removal in removals:
            deleted_row = _Row(removal["table"], removal["key"], "", self.version, deleted=True)
            self.rows[(deleted_row.table, deleted_row.key)] = deleted_row

    def _build_reply(self, rows: list[_Row], truncated: bool = False) -> StandinReply:
        body = {
            "rows": [row.describe() for row in rows],
            "truncated": truncated,
            "ver": self.version,
            "now": "0ms",
        }
        headers = {"content-type": "application/json", "store-era": str(self.era)}
        return StandinReply(200, headers, json.dumps(body).encode())


def main() -> None:
    """Runs an empty store at the given address."""
    parser = argparse.ArgumentParser(description="Stand-in for the users' store.")
    parser.add_argument("--ip", required=True)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    curio.run(serve_http, arguments.ip, arguments.port, StoreStandin().handle)


if __name__ == "__main__":
    main()
