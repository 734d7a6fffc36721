"""Stand-in for the users' store: tables of rows with a feed of changes, kept in memory.

It serves `rows-get`, `rows-feed` and `rows-tx` as the users describe them, for the tables and
sizes that the tests need. `PUT /control/faults` takes a JSON object with members of `StoreFaults`.
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


@dataclass(slots=True)
class StoreFaults:
    """Faults in force.

    Attributes:
      status: Status with which every call is answered, or 0.
      silent: Whether calls get no answer.
      forget: Whether the history is gone, so that feeds are answered 410 once.
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


@dataclass(slots=True)
class StoreStandin:
    """The rows, and the faults in force."""

    rows: dict[tuple[str, str], _Row] = field(default_factory=dict)
    version: int = 1
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: int = 0

    def write(self, table: str, key: str, document: object) -> None:
        """Writes one row as JSON."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([{"table": table, "key": key, "value": value}], [])

    def remove(self, table: str, key: str) -> None:
        """Removes one row."""
        self._apply([], [{"table": table, "key": key}])

    async def handle(self, request: StandinRequest) -> StandinReply:
        """Answers one call."""
        if request.path == "/control/faults":
            self.faults = StoreFaults(**json.loads(request.body))
            return StandinReply(200)
        self.calls += 1
        while self.faults.silent:
            await curio.sleep(POLL_S)
        if self.faults.status:
            return StandinReply(self.faults.status)
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        if request.path == "/endivedrift/rows-get":
            return self._get(query)
        if request.path == "/endivedrift/rows-feed":
            return await self._feed(query)
        if request.path == "/endivedrift/rows-tx":
            return self._transact(json.loads(request.body))
        return StandinReply(404)

    def _get(self, query: dict[str, str]) -> StandinReply:
        start = query.get("from", "")
        rows = sorted(
            (row.key, row)
            for row in self.rows.values()
            if row.table == query["table"] and row.key >= start and not row.deleted
        )
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        page = [row for _, row in rows[:limit]]
        return self._answer(page, truncated=len(rows) > limit)

    async def _feed(self, query: dict[str, str]) -> StandinReply:
        if self.faults.forget:
            self.faults.forget = False
            return StandinReply(410)
        after = int(query["after"])
        remaining = int(query["waitMs"]) / 1000.0
        while remaining > 0.0 and not self.faults.status:
            rows = [r for r in self.rows.values() if r.table == query["table"] and r.ver > after]
            if rows:
                return self._answer(sorted(rows, key=lambda row: row.ver))
            await curio.sleep(POLL_S)
            remaining -= POLL_S
        return StandinReply(self.faults.status) if self.faults.status else self._answer([])

    def _transact(self, body: dict[str, Any]) -> StandinReply:
        for expected in body.get("expected", ()):
            row = self.rows.get((expected["table"], expected["key"]))
            version = row.ver if row is not None and not row.deleted else 0
            if version != expected["ver"]:
                return StandinReply(412, body=json.dumps({"rows": []}).encode())
        self._apply(body.get("writes", ()), body.get("remove", ()))
        return self._answer([])

    def _apply(self, writes: Any, removals: Any) -> None:
        self.version += 1
        for write in writes:
            row = _Row(write["table"], write["key"], write["value"], self.version)
            self.rows[(row.table, row.key)] = row
        for removal in removals:
            gone = _Row(removal["table"], removal["key"], "", self.version, deleted=True)
            self.rows[(gone.table, gone.key)] = gone

    def _answer(self, rows: list[_Row], truncated: bool = False) -> StandinReply:
        body = {
            "rows": [row.describe() for row in rows],
            "truncated": truncated,
            "ver": self.version,
            "now": "0ms",
        }
        headers = {"content-type": "application/json"}
        return StandinReply(200, headers, json.dumps(body).encode())


def main() -> None:
    """Runs a store without rows."""
    parser = argparse.ArgumentParser(description="Stand-in for the users' store.")
    parser.add_argument("--ip", required=True)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    curio.run(serve_http, arguments.ip, arguments.port, StoreStandin().handle)


if __name__ == "__main__":
    main()
