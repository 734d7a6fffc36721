"""Stand-in for a target of the users' platform; signs its answers, rejects misdirected requests."""

from dataclasses import dataclass, field

import curio

from standins._http_server import StandinReply, StandinRequest


@dataclass(slots=True)
class PlatformTargetStandin:
    """One target.

    Attributes:
      name: Instance id, which requests must expect.
      work_s: Processing time of a request.
      reset_share_of_ten: Number of each ten requests whose connection is closed without an answer.
      is_leaving: Whether its answers state that it is shutting down.
      ran: Attempt ids of the requests that ran, in order.
      received: Number of requests received.
    """

    name: str
    work_s: float = 0.01
    reset_share_of_ten: int = 0
    is_leaving: bool = False
    ran: list[str] = field(default_factory=list)
    received: int = 0

    async def handle(self, request: StandinRequest) -> StandinReply:
        """Handles one request; one for another instance is refused with status 421."""
        self.received += 1
        if request.headers.get("endivedrift-expect-instance") != self.name:
            return StandinReply(421, {"endivedrift-instance-id": self.name})
        attempt = request.headers.get("endivedrift-attempt-id", "")
        if self.received % 10 < self.reset_share_of_ten:
            return StandinReply(drop=True)
        self.ran.append(attempt)
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
