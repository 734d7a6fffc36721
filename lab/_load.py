"""Open-loop load over persistent connections: requests start on schedule, answered or not."""

import time
from collections import deque
from dataclasses import dataclass, field

import curio
from curio import socket

from endivedrift.core import Address
from endivedrift.shell._http import parse_endpoint

HEAD_END = b"\r\n\r\n"


@dataclass(slots=True)
class LoadResult:
    """Latencies in seconds from each request's scheduled start, and the number of failures."""

    latencies_s: list[float] = field(default_factory=list)
    failures: int = 0


async def run_load(
    addresses: list[Address], path: str, rate_per_s: float, seconds: float
) -> LoadResult:
    """Sends GET requests at a fixed rate, round-robin over the addresses.

    Args:
      addresses: Destinations.
      path: Path of the requests.
      rate_per_s: Requests started per second.
      seconds: Time during which requests are started.
    Returns:
      Latencies of the answers with status 200; all other requests count as failures.
    """
    result = LoadResult()
    idle: dict[Address, deque[socket.socket]] = {address: deque() for address in addresses}
    start_s = time.monotonic()
    tasks = []
    for number in range(round(rate_per_s * seconds)):
        due_s = start_s + number / rate_per_s
        await curio.sleep(max(0.0, due_s - time.monotonic()))
        address = addresses[number % len(addresses)]
        tasks.append(await curio.spawn(_send_request(result, idle, address, path, due_s)))
    for task in tasks:
        await task.join()
    for sockets in idle.values():
        for sock in sockets:
            await sock.close()
    return result


async def _send_request(
    result: LoadResult,
    idle: dict[Address, deque[socket.socket]],
    address: Address,
    path: str,
    due_s: float,
) -> None:
    try:
        sock = idle[address].pop() if idle[address] else await _connect(address)
        head = f"GET {path} HTTP/1.1\r\nhost: load\r\nx-request-id: load\r\n\r\n"
        await sock.sendall(head.encode())
        status = await _read_answer(sock)
        idle[address].append(sock)
    except OSError:
        status = 0
    if status == 200:
        result.latencies_s.append(time.monotonic() - due_s)
    else:
        result.failures += 1


async def _connect(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await sock.connect(parse_endpoint(address).to_sockaddr())
    return sock


async def _read_answer(sock: socket.socket) -> int:
    data = b""
    while HEAD_END not in data:
        chunk = await sock.recv(65_536)
        if not chunk:
            raise OSError("connection closed by peer")
        data += chunk
    head, _, body = data.partition(HEAD_END)
    lines = head.lower().split(b"\r\n")
    lengths = [line for line in lines if line.startswith(b"content-length:")]
    length = int(lengths[0].partition(b":")[2])
    while len(body) < length:
        chunk = await sock.recv(65_536)
        if not chunk:
            raise OSError("connection closed by peer within a body")
        body += chunk
    return int(lines[0].split()[1])
