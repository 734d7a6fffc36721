"""Stand-in for one target or several: slots, faults, and a truthful record of what ran.

Each port is a target. `/health` and `/load` always tell of a healthy idle target. For `--cold-s`
after its start a target takes several times as long. `PUT /control/faults` takes a JSON object with
members of `Faults`. Each request that runs is appended to the record file before it does its work,
so that the record outlives a killed process. `GET /control/record` returns the number of requests
received.
"""

import argparse
import json
import random
import time
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path

import curio

from standins._http_server import StandinReply, StandinRequest, serve_http
from standins.tasks import run_together

REQUEST_ID = "x-request-id"
COLD_FACTOR = 5.0


@dataclass(slots=True)
class Faults:
    """Faults in force; shares are from 0 to 1.

    Attributes:
      extra_ms: Added to the time of each request.
      fail_share: Requests that run and are answered with status 500.
      cut_share: Requests that run and whose answer is cut in the middle.
      hang_share: Requests that run and are never answered.
      shed_share: Requests that are refused without running.
      crossed_share: Requests that run and are answered with another request's answer.
      doubled_share: Requests that run and whose answer is sent twice.
      draining: Whether requests are refused because the target is shutting down.
    """

    extra_ms: float = 0.0
    fail_share: float = 0.0
    cut_share: float = 0.0
    hang_share: float = 0.0
    shed_share: float = 0.0
    crossed_share: float = 0.0
    doubled_share: float = 0.0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """One request that ran: method, path, idempotency key and attempt id."""

    method: str
    path: str
    key: str
    attempt: str


@dataclass(slots=True)
class TargetStandin:
    """One target."""

    name: str
    work_ms: float
    slots: int
    body_bytes: int
    faults: Faults = field(default_factory=Faults)
    busy: int = 0
    received: int = 0
    waiting: deque[curio.Event] = field(default_factory=deque)
    previous: bytes = b"{}"
    record_file: Path | None = None
    cold_until: float = 0.0
    source: random.Random = field(default_factory=random.Random)

    async def handle(self, request: StandinRequest) -> StandinReply:
        """Answers one request."""
        if request.path.startswith("/control/"):
            return self._control(request)
        if request.path in ("/health", "/load"):
            return StandinReply(200, body=b"ok" if request.path == "/health" else b"0")
        self.received += 1
        echo = {REQUEST_ID: request.headers.get(REQUEST_ID, "")}
        if self.faults.draining:
            return StandinReply(503, {"x-not-run": "1", "x-draining": "1", **echo}, b"draining")
        if self._draw(self.faults.shed_share):
            return StandinReply(503, {"x-not-run": "1", **echo}, b"shed")
        await self._enter()
        try:
            return await self._work(request, echo)
        finally:
            await self._leave()

    async def _work(self, request: StandinRequest, echo: dict[str, str]) -> StandinReply:
        key = request.headers.get("idempotency-key", "")
        run = Run(request.method, request.path, key, echo[REQUEST_ID])
        self._append(run)
        factor = COLD_FACTOR if time.monotonic() < self.cold_until else 1.0
        await curio.sleep((self.work_ms * factor + self.faults.extra_ms) / 1000.0)
        if self._draw(self.faults.hang_share):
            await curio.sleep(3600)
        body = self._make_body(request, run)
        previous, self.previous = self.previous, body
        if self._draw(self.faults.fail_share):
            return StandinReply(500, echo, b"failed")
        if self._draw(self.faults.cut_share):
            return StandinReply(200, echo, body, cut_at=len(body) // 2)
        if self._draw(self.faults.crossed_share):
            return StandinReply(200, {REQUEST_ID: "other-request"}, previous)
        if self._draw(self.faults.doubled_share):
            trailing = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body
            return StandinReply(200, echo, body, trailing=trailing)
        return StandinReply(200, {"content-type": "application/json", **echo}, body)

    def _append(self, run: Run) -> None:
        if self.record_file is None:
            return
        with self.record_file.open("a", encoding="utf-8") as file:
            file.write(json.dumps([run.method, run.path, run.key, run.attempt]) + "\n")

    def _make_body(self, request: StandinRequest, run: Run) -> bytes:
        answer = {
            "target": self.name,
            "path": request.path,
            "query": request.query,
            "key": run.key,
            "padding": "x" * self.body_bytes,
        }
        return json.dumps(answer).encode()

    async def _enter(self) -> None:
        if self.busy >= self.slots:
            turn = curio.Event()
            self.waiting.append(turn)
            await turn.wait()
        else:
            self.busy += 1

    async def _leave(self) -> None:
        if self.waiting:
            await self.waiting.popleft().set()
        else:
            self.busy -= 1

    def _draw(self, share: float) -> bool:
        return share > 0.0 and self.source.random() < share

    def _control(self, request: StandinRequest) -> StandinReply:
        if request.path == "/control/faults":
            self.faults = Faults(**json.loads(request.body))
            return StandinReply(200)
        if request.path == "/control/record":
            body = {"received": self.received}
            return StandinReply(200, body=json.dumps(body).encode())
        return StandinReply(404)


async def _serve_all(arguments: argparse.Namespace) -> None:
    targets = []
    for port in arguments.ports:
        name = f"{arguments.ip}:{port}"
        source = random.Random(f"{arguments.seed}/{name}")
        standin = TargetStandin(
            name,
            arguments.work_ms,
            arguments.slots,
            arguments.body_bytes,
            record_file=arguments.record,
            cold_until=time.monotonic() + arguments.cold_s,
            source=source,
        )
        targets.append(serve_http(arguments.ip, port, standin.handle))
    await run_together(targets)


def main() -> None:
    """Runs targets on the given addresses."""
    parser = argparse.ArgumentParser(description="Stand-in for targets, one for each port.")
    parser.add_argument("--ip", required=True)
    parser.add_argument("--ports", type=int, nargs="+", required=True)
    parser.add_argument("--work-ms", type=float, default=5.0)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--body-bytes", type=int, default=200)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--record", type=Path, default=None)
    parser.add_argument("--seed", type=int, default=1)
    curio.run(_serve_all, parser.parse_args())


if __name__ == "__main__":
    main()
