"""An upstream of the second review's scripts, as a process of its own.

It registers itself, renews its entry, rejects requests that are meant for another instance, serves
up to `slots` requests at a time, and writes each run to a file before it answers.
"""

import argparse
import asyncio
import contextlib
import hashlib
import json
import time
from pathlib import Path
from typing import Any

HEARTBEAT_S = 1.5
QUEUE = 8


def build_body(attempt: str, size: int) -> bytes:
    """Returns the whole body of the answer to a request, which clients can compute as well."""
    seed = hashlib.sha256(attempt.encode()).hexdigest().encode()
    return (seed * (size // len(seed) + 1))[:size]


class Upstream:
    """Serves requests as its options say."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._slots = asyncio.Semaphore(options.slots)
        self._waiting = 0
        self._running = 0

    async def serve(self) -> None:
        """Serves requests and renews the entry until the process ends."""
        ip, _, port = self._options.address.rpartition(":")
        server = await asyncio.start_server(self._serve_connection, ip, int(port))
        async with server:
            await self._register()

    async def _register(self) -> None:
        """Renews the entry in the store at each heartbeat."""
        options = self._options
        entry: dict[str, Any] = {
            "address": options.address,
            "info": {
                "service": options.service,
                "version": "v1",
                "zone": options.zone,
                "slots": options.slots,
            },
            "status": {"state": "ready", "sequence": 0, "warmupLeft": "0ms"},
            "born": round(time.time() * 1000),
        }
        ip, _, port = options.store.rpartition(":")
        while True:
            entry["status"]["sequence"] += 1
            data = json.dumps(entry).encode()
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(ip, int(port))
                head = f"PUT /beat/{options.name} HTTP/1.1\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await reader.readline()
                writer.close()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError):
            while await self._serve_request(reader, writer):
                pass
        writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; tells whether the connection stays open."""
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        pairs = (line.partition(":") for line in lines[1:] if line)
        headers = {key.strip().lower(): value.strip() for key, _, value in pairs}
        await reader.readexactly(int(headers.get("content-length", 0)))
        options = self._options
        attempt = headers.get("endivedrift-attempt-id", "")
        echo = f"Endivedrift-Attempt-Id: {attempt}\r\n"
        if path == "/health":
            writer.write(
                f"HTTP/1.1 200 OK\r\nEndivedrift-Instance-Id: {options.name}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        if headers.get("endivedrift-expect-instance", options.name) != options.name:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\n{echo}"
                f"Endivedrift-Instance-Id: {options.name}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        if self._waiting >= QUEUE:
            writer.write(
                f"HTTP/1.1 503 Service Unavailable\r\n{echo}Endivedrift-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            try:
                return await self._run(method, path, attempt, echo, writer)
            finally:
                self._running -= 1

    async def _run(
        self, method: str, path: str, attempt: str, echo: str, writer: asyncio.StreamWriter
    ) -> bool:
        options = self._options
        # The monotonic clock is the same for all processes of a machine.
        run = {
            "upstream": options.name,
            "service": options.service,
            "attempt": attempt,
            "at": time.monotonic(),
        }
        with Path(options.runs).open("a", encoding="utf-8") as runs:
            runs.write(json.dumps({**run, "method": method, "path": path}) + "\n")
        await asyncio.sleep(options.work_ms / 1000.0)
        body = build_body(attempt, options.body_bytes)
        load = f"{self._running},{self._waiting},{options.slots}"
        framing = "Connection: close" if options.unframed else f"Content-Length: {len(body)}"
        writer.write(
            f"HTTP/1.1 200 OK\r\n{echo}Endivedrift-Server-Signature: {options.name}.{attempt}\r\n"
            f"Endivedrift-Server-Load: {load}\r\n{framing}\r\n\r\n".encode()
        )
        pieces = max(1, options.pieces)
        size = -(-len(body) // pieces)
        for start in range(0, len(body), size):
            writer.write(body[start : start + size])
            await writer.drain()
            if pieces > 1:
                await asyncio.sleep(options.piece_ms / 1000.0)
        return not options.unframed


def main() -> None:
    """Runs an upstream until the process is ended."""
    parser = argparse.ArgumentParser(description="Stand-in for an upstream.")
    for name in ("name", "service", "zone", "address", "store", "runs"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--work-ms", type=float, default=50.0)
    parser.add_argument("--body-bytes", type=int, default=400)
    parser.add_argument("--pieces", type=int, default=1)
    parser.add_argument("--piece-ms", type=float, default=50.0)
    parser.add_argument("--unframed", action="store_true")

    async def serve() -> None:
        await Upstream(parser.parse_args()).serve()

    asyncio.run(serve())


if __name__ == "__main__":
    main()
