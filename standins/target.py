"""Stand-in for one or more targets, with slots, faults, and a record of the requests that ran.

Each port is a target. `/health` and `/load` always report a healthy, idle target. For `--cold-s`
seconds after its start a target needs several times the usual work time. `PUT /control/faults`
takes a JSON object with members of `Faults`. Each request that runs is appended to the record file
before its work starts, so that the record is complete even if the process is killed.
`GET /control/record` returns the number of requests received.
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

REQUEST_ID_HEADER = "x-request-id"
COLD_FACTOR = 5.0


@dataclass(slots=True)
class Faults:
    """Active faults; shares are from 0 to 1.

    Attributes:
      extra_ms: Time added to the work of each request.
      fail_share: Requests that run and are answered with status 500.
      cut_share: Requests that run and whose answer is cut off in the middle.
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
    attempt_id: str


@dataclass(slots=True)
class TargetStandin:
    """One target.

    Attributes:
      name: IP address and port.
      work_ms: Work time of a request.
      slots: Number of requests that run at the same time.
      body_bytes: Length of the padding in each answer.
      faults: Active faults.
      busy_slots: Number of slots in use.
      received: Number of requests received.
      slot_waiters: Events of the requests that wait for a slot, oldest first.
      previous_body: Body of the previous answer, for `Faults.crossed_share`.
      record_file: File to append runs to, or None.
      cold_until_s: Time on the monotonic clock at which the cold start ends.
      rng: Source of the random numbers that select requests for faults.
    """

    name: str
    work_ms: float
    slots: int
    body_bytes: int
    faults: Faults = field(default_factory=Faults)
    busy_slots: int = 0
    received: int = 0
    slot_waiters: deque[curio.Event] = field(default_factory=deque)
    previous_body: bytes = b"{}"
    record_file: Path | None = None
    cold_until_s: float = 0.0
    rng: random.Random = field(default_factory=random.Random)

    async def handle(self, request: StandinRequest) -> StandinReply:
        """Handles one request according to the active faults."""
        if request.path.startswith("/control/"):
            return self._handle_control(request)
        if request.path in ("/health", "/load"):
            return StandinReply(200, body=b"ok" if request.path == "/health" else b"0")
        self.received += 1
        echo = {REQUEST_ID_HEADER: request.headers.get(REQUEST_ID_HEADER, "")}
        if self.faults.draining:
            return StandinReply(503, {"x-not-run": "1", "x-draining": "1", **echo}, b"draining")
        if self._draw_fault(self.faults.shed_share):
            return StandinReply(503, {"x-not-run": "1", **echo}, b"shed")
        await self._acquire_slot()
        try:
            return await self._execute(request, echo)
        finally:
            await self._release_slot()

    async def _execute(self, request: StandinRequest, echo: dict[str, str]) -> StandinReply:
        key = request.headers.get("idempotency-key", "")
        run = Run(request.method, request.path, key, echo[REQUEST_ID_HEADER])
        self._append_to_record(run)
        work_factor = COLD_FACTOR if time.monotonic() < self.cold_until_s else 1.0
        await curio.sleep((self.work_ms * work_factor + self.faults.extra_ms) / 1000.0)
        if self._draw_fault(self.faults.hang_share):
            await curio.sleep(3600)
        body = self._make_body(request, run)
        previous_body, self.previous_body = self.previous_body, body
        if self._draw_fault(self.faults.fail_share):
            return StandinReply(500, echo, b"failed")
        if self._draw_fault(self.faults.cut_share):
            return StandinReply(200, echo, body, cut_at=len(body) // 2)
        if self._draw_fault(self.faults.crossed_share):
            return StandinReply(200, {REQUEST_ID_HEADER: "other-request"}, previous_body)
        if self._draw_fault(self.faults.doubled_share):
            trailing = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body
            return StandinReply(200, echo, body, trailing=trailing)
        return StandinReply(200, {"content-type": "application/json", **echo}, body)

    def _append_to_record(self, run: Run) -> None:
        if self.record_file is None:
            return
        with self.record_file.open("a", encoding="utf-8") as file:
            file.write(json.dumps([run.method, run.path, run.key, run.attempt_id]) + "\n")

    def _make_body(self, request: StandinRequest, run: Run) -> bytes:
        answer = {
            "target": self.name,
            "path": request.path,
            "query": request.query,
            "key": run.key,
            "padding": "x" * self.body_bytes,
        }
        return json.dumps(answer).encode()

    async def _acquire_slot(self) -> None:
        if self.busy_slots >= self.slots:
            slot_freed = curio.Event()
            self.slot_waiters.append(slot_freed)
            await slot_freed.wait()
        else:
            self.busy_slots += 1

    async def _release_slot(self) -> None:
        if self.slot_waiters:
            await self.slot_waiters.popleft().set()
        else:
            self.busy_slots -= 1

    def _draw_fault(self, share: float) -> bool:
        return share > 0.0 and self.rng.random() < share

    def _handle_control(self, request: StandinRequest) -> StandinReply:
        if request.path == "/control/faults":
            self.faults = Faults(**json.loads(request.body))
            return StandinReply(200)
        if request.path == "/control/record":
            body = {"received": self.received}
            return StandinReply(200, body=json.dumps(body).encode())
        return StandinReply(404)


async def _serve_all(arguments: argparse.Namespace) -> None:
    servers = []
    for port in arguments.ports:
        name = f"{arguments.ip}:{port}"
        rng = random.Random(f"{arguments.seed}/{name}")
        standin = TargetStandin(
            name,
            arguments.work_ms,
            arguments.slots,
            arguments.body_bytes,
            record_file=arguments.record,
            cold_until_s=time.monotonic() + arguments.cold_s,
            rng=rng,
        )
        servers.append(serve_http(arguments.ip, port, standin.handle))
    await run_together(servers)


def main() -> None:
    """Runs a target at each of the given ports."""
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
