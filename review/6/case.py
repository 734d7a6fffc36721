"""Clients leave in the middle of a large answer, and the host that sends it ends."""

import asyncio
import contextlib
import secrets
import socket
import struct
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    FRONT,
    LISTENER_HOST,
    ZONES,
    Deployment,
    Record,
    build_configuration,
    build_rule,
    read_header,
    run_case,
)

PLAY_S = 30.0
KEPT_CLIENTS_PER_HOST = 6
KEPT_DEADLINE_MS = 2_500
DOWNLOADS_AT_A_TIME = 5
"""Downloads that begin together at a host; one of them is left, which is a share of 0.2."""
DOWNLOAD_PERIOD_S = 3.0
DOWNLOAD_BYTES = 540_000
DOWNLOAD_DEADLINE_MS = 4_000
LEAVE_AFTER_S = 0.3
LINK_BYTES_PER_S = 625_000
"""5 Mbit/s, the least bandwidth of a link on the pages."""
LINK_DELAY_S = 0.003
LINK_WINDOW_BYTES = 32_768
PIECE_BYTES = 8_192
MAX_LOST = 3
MAX_OWN_ENDS, MIN_HOSTS_ENDING = 3, 2


class Link:
    """The link of clients to one host, with a delay, a bandwidth for each and a small window.

    It passes on the end of either side, and a reset once the other side has one.
    """

    def __init__(self, ip: str) -> None:
        self._ip = ip

    async def start(self) -> int:
        """Starts to carry connections, and returns the port for clients."""
        server = await asyncio.start_server(self._carry, self._ip, 0)
        return int(server.sockets[0].getsockname()[1])

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LINK_WINDOW_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        upwards = None
        try:
            await loop.sock_connect(sock, (self._ip, FRONT))
            upwards = asyncio.create_task(self._carry_upwards(reader, sock))
            while data := await loop.sock_recv(sock, PIECE_BYTES):
                await asyncio.sleep(len(data) / LINK_BYTES_PER_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            reset = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        finally:
            if upwards is not None:
                upwards.cancel()
            sock.close()
            writer.close()

    async def _carry_upwards(self, reader: asyncio.StreamReader, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(PIECE_BYTES):
                await asyncio.sleep(LINK_DELAY_S)
                await loop.sock_sendall(sock, data)
            await asyncio.sleep(LINK_DELAY_S)
            sock.shutdown(socket.SHUT_WR)


def build_request(method: str, path: str, attempt: str, deadline_ms: int, body: bytes) -> bytes:
    """Builds a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {LISTENER_HOST}",
        f"Endivedrift-Attempt-Id: {attempt}",
        f"Endivedrift-Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def download(record: Record, ip: str, port: int, leaves: bool) -> None:
    """Downloads an answer; a client that leaves closes its connection in the middle of it."""
    attempt = secrets.token_hex(8)
    received = 0
    try:
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(build_request("GET", "/proofs/1", attempt, DOWNLOAD_DEADLINE_MS, b""))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_AFTER_S if leaves else DOWNLOAD_DEADLINE_MS / 1000.0):
                while received < DOWNLOAD_BYTES and (data := await reader.read(65_536)):
                    received += len(data)
        writer.close()
    except OSError as error:
        record.write(f"download {attempt} at {ip}: {type(error).__name__}")
        return
    end = "its client leaves" if leaves else "ends"
    record.write(f"download {attempt} at {ip}: {end} after {received} bytes")


async def send_steadily(
    deployment: Deployment, record: Record, ip: str, until: float, lost: list[str]
) -> None:
    """Sends one request after the other on a kept connection; notes those without an answer."""
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(ip, FRONT)
        except OSError:
            await asyncio.sleep(0.2)
            continue
        attempt = ""
        try:
            while time.monotonic() < until:
                attempt = secrets.token_hex(8)
                writer.write(
                    build_request("POST", "/book/1", attempt, KEPT_DEADLINE_MS, b"x" * 200)
                )
                async with asyncio.timeout(KEPT_DEADLINE_MS / 1000.0 + 1.0):
                    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                    await reader.readexactly(int(read_header(head, "content-length") or 0))
                record.write(f"POST /book/1 {attempt} at {ip}: {head.split(' ', 2)[1]}")
                if (read_header(head, "connection") or "").lower() == "close":
                    break
        except (OSError, EOFError, TimeoutError) as error:
            record.write(f"POST /book/1 {attempt} at {ip}: no answer, {type(error).__name__}")
            if not isinstance(error, TimeoutError):
                lost.append(attempt)
        finally:
            writer.close()


async def play(deployment: Deployment, record: Record, with_trouble: bool) -> bool:
    """Plays the case; tells whether the rule held."""
    deployment.start_store()
    rules = [
        build_rule("proof", "safe", "/proofs/", "proofs1a", "4000ms"),
        build_rule("book", "unsafe", "/book/", "books2b", "2500ms"),
    ]
    configuration = build_configuration(7, rules, ["proofs1a", "books2b"])
    deployment.store.write("op", "config", configuration)
    for zone in ZONES:
        deployment.start_upstream(
            "proofs1a", zone, f"--body-bytes={DOWNLOAD_BYTES}", "--slots=12", "--work-ms=20"
        )
        deployment.start_upstream("books2b", zone, "--slots=12", "--work-ms=200")
    deployment.start_hosts()
    await deployment.await_ready()
    deployment.restart_ended_hosts()
    until = time.monotonic() + PLAY_S
    lost: list[str] = []
    clients = [
        asyncio.create_task(send_steadily(deployment, record, ip, until, lost))
        for ip in deployment.hosts
        for _ in range(KEPT_CLIENTS_PER_HOST)
    ]
    ports = {ip: await Link(ip).start() for ip in deployment.hosts}
    while time.monotonic() < until - DOWNLOAD_PERIOD_S:
        clients += [
            asyncio.create_task(download(record, ip, ports[ip], with_trouble and number == 0))
            for ip in deployment.hosts
            for number in range(DOWNLOADS_AT_A_TIME)
        ]
        await asyncio.sleep(DOWNLOAD_PERIOD_S)
    await asyncio.gather(*clients)
    runs = deployment.list_runs()
    passed_on = sum(1 for attempt in lost if attempt in runs)
    ends = deployment.own_ends
    summary = (
        f"{passed_on} requests of kept connections were passed on to a sound upstream and got no "
        f"answer; own ends of hosts: {sorted(ends.values())}"
    )
    record.write(summary)
    print(summary)
    ending = sum(1 for count in ends.values() if count >= MAX_OWN_ENDS)
    return passed_on <= MAX_LOST and ending < MIN_HOSTS_ENDING


if __name__ == "__main__":
    run_case(FOLDER, play)
