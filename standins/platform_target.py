"""Stand-in for a target of the users' platform; signs its answers, rejects misdirected requests."""

import time
from dataclasses import dataclass, field

import curio

from standins._http_server import StandinReply, StandinRequest

DEADLY_PART = "/crash/"
"""Part of the paths of requests that end the target that begins to run them."""
END_AFTER_S = 0.05
"""Time for which such a request runs until its target ends."""


@dataclass(frozen=True, order=True, slots=True)
class DeadlyArrival:
    """The arrival of a deadly request; `at` is in seconds of the monotonic clock."""

    at: float
    path: str
    attempt_id: str


@dataclass(slots=True)
class PlatformTargetStandin:
    """One target.

    Attributes:
      name: Instance id, which requests must expect.
      work_s: Processing time of a request.
      reset_share_of_ten: Number of each ten requests whose connection is closed without an answer.
      is_leaving: Whether its answers state that it is shutting down.
      ran: Attempt ids of the requests that ran, in order.
      ran_headers: Headers of those requests, by attempt id.
      received: Number of requests received.
      deadly_arrivals: The deadly requests received, whether they ran or not.
      end: Set when a deadly request ends the target. Whoever serves it then closes its address and
        connections.
      ended_by: Path of the deadly request that ended it, empty before.
    """

    name: str
    work_s: float = 0.01
    reset_share_of_ten: int = 0
    is_leaving: bool = False
    ran: list[str] = field(default_factory=list)
    ran_headers: dict[str, dict[str, str]] = field(default_factory=dict)
    received: int = 0
    deadly_arrivals: list[DeadlyArrival] = field(default_factory=list)
    end: curio.Event = field(default_factory=curio.Event)
    ended_by: str = ""

    async def handle(self, request: StandinRequest) -> StandinReply:
        """Handles one request; one for another instance is refused with status 421."""
        self.received += 1
        attempt = request.headers.get("endivedrift-attempt-id", "")
        is_deadly = DEADLY_PART in request.path
        if is_deadly:
            arrival = DeadlyArrival(time.monotonic(), request.path, attempt)
            self.deadly_arrivals.append(arrival)
        if request.headers.get("endivedrift-expect-instance") != self.name:
            return StandinReply(421, {"endivedrift-instance-id": self.name})
        if self.received % 10 < self.reset_share_of_ten:
            return StandinReply(drop=True)
        self.ran.append(attempt)
        self.ran_headers[attempt] = dict(request.headers)
        if is_deadly:
            await self._end(request.path)
        await curio.sleep(self.work_s)
        headers = {
            "endivedrift-attempt-id": attempt,
            "endivedrift-server-signature": f"signed.{self.name}.{attempt}",
            "endivedrift-server-load": "1,0,2",
        }
        if self.is_leaving:
            headers["server-leaving"] = "1"
        body = f"{self.name} {request.method} {request.path} {len(request.body)}"
        return StandinReply(200, headers, body.encode())

    async def _end(self, path: str) -> None:
        await curio.sleep(END_AFTER_S)
        self.ended_by = self.ended_by or path
        await self.end.set()
        # Whoever serves this target cancels this task: a request that ended it gets no answer.
        await curio.Event().wait()
