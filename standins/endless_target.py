"""Stand-in for a target that sends bytes without end until its peer closes the connection."""

import contextlib

import curio
from curio import socket

from endivedrift.core import Address

MAX_SENT_BYTES = 200_000_000
"""Ends the stream of a test whose peer does not close the connection."""


class EndlessTarget:
    """Sends `first` once and then `repeated` again and again to every caller.

    Attributes:
      address: Where it listens.
      closed: Set when a caller has closed its connection.
      sent_bytes: Bytes sent to all callers.
    """

    def __init__(self, first: bytes, repeated: bytes, pause_s: float = 0.0) -> None:
        """Listens on a free port; `pause_s` is the time between two repetitions."""
        self._first = first
        self._repeated = repeated
        self._pause_s = pause_s
        self.closed = curio.Event()
        self.sent_bytes = 0
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(8)
        ip, port = self._listener.getsockname()
        self.address = Address(f"{ip}:{port}")

    async def serve(self) -> None:
        """Accepts callers until cancelled."""
        try:
            while True:
                sock, _ = await self._listener.accept()
                await curio.spawn(self._send(sock), daemon=True)
        finally:
            await self._listener.close()

    async def _send(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            await sock.recv(65_536)
            await sock.sendall(self._first)
            while self.sent_bytes < MAX_SENT_BYTES:
                await sock.sendall(self._repeated)
                self.sent_bytes += len(self._repeated)
                await curio.sleep(self._pause_s)
        with contextlib.suppress(OSError):
            await sock.close()
        await self.closed.set()
