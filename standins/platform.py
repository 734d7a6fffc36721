"""Stand-in for the platform: table service, object store and machine list in one process.

`PUT /control/faults` sets the faults by a JSON object with members of `Faults`.
`PUT /control/machines` sets the machine list. `POST /control/restore` resets the tables to their
state at the last `POST /control/backup`. `/control/counts` returns the numbers of reads and writes.
"""

import argparse
import copy
import json
from dataclasses import dataclass, field
from typing import Any

import curio

from standins._http_server import StandinReply, StandinRequest, serve_http


@dataclass(slots=True)
class Faults:
    """Active faults.

    Attributes:
      down: Whether connections are closed without a reply.
      slow_ms: Delay before each reply in milliseconds.
      lose_replies: Whether writes take effect but are not answered.
      stale: Whether reads return the state of the time when this fault was set.
    """

    down: bool = False
    slow_ms: int = 0
    lose_replies: bool = False
    stale: bool = False


@dataclass(slots=True)
class PlatformState:
    """State of the stand-in.

    Attributes:
      tables: Rows by table and key.
      objects: Objects by digest.
      machines: The machine list.
      faults: Active faults.
      stale_tables: Snapshot that is read while `Faults.stale` is set.
      backup: Snapshot of the last backup.
      reads, writes: Number of GET requests and of all others.
    """

    tables: dict[str, dict[str, dict[str, Any]]] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    machines: list[dict[str, Any]] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)
    stale_tables: dict[str, dict[str, dict[str, Any]]] = field(default_factory=dict)
    backup: dict[str, dict[str, dict[str, Any]]] = field(default_factory=dict)
    reads: int = 0
    writes: int = 0


class PlatformStandin:
    """Serves the platform's clients and the control requests of tests."""

    def __init__(self) -> None:
        """Starts with no data and no faults."""
        self.state = PlatformState()

    async def handle(self, request: StandinRequest) -> StandinReply:
        """Handles one request according to the active faults."""
        if request.path.startswith("/control/"):
            return self._handle_control(request)
        faults = self.state.faults
        if faults.slow_ms:
            await curio.sleep(faults.slow_ms / 1000.0)
        if faults.down:
            return StandinReply(drop=True)
        reply = self._serve_client(request)
        if faults.lose_replies and request.method != "GET":
            return StandinReply(drop=True)
        return reply

    def _serve_client(self, request: StandinRequest) -> StandinReply:
        parts = request.path.strip("/").split("/")
        if request.method == "GET":
            self.state.reads += 1
        else:
            self.state.writes += 1
        match (request.method, parts):
            case ("GET", ["table", table]):
                rows = self._visible_tables().get(table, {})
                return _reply_json(
                    {"rows": [_describe_row(key, rows[key]) for key in sorted(rows)]}
                )
            case ("GET", ["table", table, key]):
                row = self._visible_tables().get(table, {}).get(key)
                return _reply_json(_describe_row(key, row or {"version": 0, "value": {}}))
            case ("POST", ["transaction"]):
                return self._apply_transaction(json.loads(request.body)["writes"])
            case ("PUT", ["objects", digest]):
                self.state.objects[digest] = request.body
                return _reply_json({})
            case ("GET", ["objects", digest]):
                data = self.state.objects.get(digest)
                return StandinReply(404) if data is None else StandinReply(200, body=data)
            case ("GET", ["hosts"]):
                return _reply_json({"machines": self.state.machines})
        return StandinReply(404)

    def _visible_tables(self) -> dict[str, dict[str, dict[str, Any]]]:
        return self.state.stale_tables if self.state.faults.stale else self.state.tables

    def _apply_transaction(self, writes: list[dict[str, Any]]) -> StandinReply:
        tables = self.state.tables
        for write in writes:
            row = tables.get(write["table"], {}).get(write["key"])
            current_version = row["version"] if row else 0
            if current_version != write["expected_version"]:
                return _reply_json({"applied": False}, 409)
        for write in writes:
            row = {"version": write["expected_version"] + 1, "value": write["value"]}
            tables.setdefault(write["table"], {})[write["key"]] = row
        return _reply_json({"applied": True})

    def _handle_control(self, request: StandinRequest) -> StandinReply:
        body = json.loads(request.body) if request.body else {}
        match request.path:
            case "/control/faults":
                if body.get("stale") and not self.state.faults.stale:
                    self.state.stale_tables = copy.deepcopy(self.state.tables)
                self.state.faults = Faults(**body)
            case "/control/machines":
                self.state.machines = body["machines"]
            case "/control/backup":
                self.state.backup = copy.deepcopy(self.state.tables)
            case "/control/restore":
                self.state.tables = copy.deepcopy(self.state.backup)
            case "/control/counts":
                return _reply_json({"reads": self.state.reads, "writes": self.state.writes})
            case _:
                return StandinReply(404)
        return _reply_json({})


def _describe_row(key: str, row: dict[str, Any]) -> dict[str, Any]:
    return {"key": key, "version": row["version"], "value": row["value"]}


def _reply_json(body: dict[str, Any], status: int = 200) -> StandinReply:
    data = json.dumps(body).encode()
    return StandinReply(status, {"content-type": "application/json"}, data)


def main() -> None:
    """Runs the stand-in at the given address."""
    parser = argparse.ArgumentParser(description="Stand-in for the platform.")
    parser.add_argument("--ip", required=True)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    standin = PlatformStandin()
    curio.run(serve_http, arguments.ip, arguments.port, standin.handle)


if __name__ == "__main__":
    main()
