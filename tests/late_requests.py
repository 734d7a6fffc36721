"""Callers that send requests to a host all through its stop, up to the end of its process."""

import signal
import subprocess
import time
from collections.abc import Callable
from dataclasses import dataclass

import curio
from curio import socket

SEND_PERIOD_S = 0.15
READ_TIMEOUT_S = 20.0


@dataclass(slots=True)
class LateRequest:
    """One request.

    Attributes:
      name: Identifies it.
      sent_after_s: Time from the signal to the request.
      is_sent: Whether all of it was sent.
      received: Everything that was received on its connection after it was sent.
      took_s: Time from sending it to the end of its answer or of its connection.
    """

    name: str
    sent_after_s: float
    is_sent: bool = False
    received: bytes = b""
    took_s: float = 0.0

    @property
    def status(self) -> int:
        """Status of the answer if that is whole, or else 0."""
        head, separator, body = self.received.partition(b"\r\n\r\n")
        lines = [line.lower() for line in head.split(b"\r\n")]
        lengths = [int(line[15:]) for line in lines if line.startswith(b"content-length:")]
        if not separator or not lengths or len(body) < lengths[0]:
            return 0
        return int(head.split(b" ")[1])


async def send_through_stop(
    process: subprocess.Popen[bytes],
    address: tuple[str, int],
    connections: int,
    build_request: Callable[[str], bytes],
) -> list[LateRequest]:
    """Stops a host, and sends requests until its process has ended.

    Each time, one request is sent on a connection that was used before the stop, and one on a new
    connection.

    Args:
      process: The process of the host.
      address: Where the host accepts callers.
      connections: Number of connections that are used before.
      build_request: Builds the request of a name.
    Returns:
      The requests that were sent after the signal.
    """
    kept = [await _connect(address) for _ in range(connections)]
    for number, sock in enumerate(kept):
        await sock.sendall(build_request(f"before{number}"))
    for sock in kept:
        assert await sock.recv(65_536)
    process.send_signal(signal.SIGTERM)
    requests: list[LateRequest] = []
    tasks = []
    passed_s = 0.0
    while process.poll() is None:
        for exchange in (_exchange_on_kept, _exchange_on_new):
            request = LateRequest(f"late{len(requests)}", passed_s)
            requests.append(request)
            data = build_request(request.name)
            tasks.append(await curio.spawn(exchange(request, data, address, kept)))
        await curio.sleep(SEND_PERIOD_S)
        passed_s += SEND_PERIOD_S
    for task in tasks:
        await task.join()
    for sock in kept:
        await sock.close()
    return requests


async def _connect(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect(address)
    except OSError:
        await sock.close()
        raise
    return sock


async def _exchange_on_kept(
    request: LateRequest, data: bytes, address: tuple[str, int], kept: list[socket.socket]
) -> None:
    if kept:
        await _exchange(request, data, kept.pop())


async def _exchange_on_new(
    request: LateRequest, data: bytes, address: tuple[str, int], kept: list[socket.socket]
) -> None:
    try:
        sock = await _connect(address)
    except OSError:
        return
    await _exchange(request, data, sock)


async def _exchange(request: LateRequest, data: bytes, sock: socket.socket) -> None:
    began = time.monotonic()
    try:
        await sock.sendall(data)
        request.is_sent = True
        async with curio.ignore_after(READ_TIMEOUT_S):
            while chunk := await sock.recv(65_536):
                request.received += chunk
                if request.status:
                    break
    except OSError:
        pass
    finally:
        request.took_s = time.monotonic() - began
        await sock.close()
