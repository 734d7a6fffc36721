"""A loopback proxy that delays, resets, silences or cuts one way the connections through it."""

import contextlib
import socket as stdlib_socket
import struct
from dataclasses import dataclass, field
from enum import Enum

import curio
from curio import socket

READ_BYTES = 65_536
HOLD_POLL_S = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""


class LinkFault(Enum):
    """What happens to the bytes on a link."""

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    SILENT = "silent"
    NO_ANSWERS = "no-answers"


@dataclass(slots=True)
class Proxy:
    """One link: connections to `address` are passed on to `upstream`.

    Attributes:
      address, upstream: IP and port.
      fault: The fault in force.
      delay_s: Time for which DELAYED holds each piece.
    """

    address: tuple[str, int]
    upstream: tuple[str, int]
    fault: LinkFault = LinkFault.NONE
    delay_s: float = 0.3
    _open: set[socket.socket] = field(default_factory=set)

    async def serve(self) -> None:
        """Serves until cancelled."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(1_024)
        async with listener:
            while True:
                near, _ = await listener.accept()
                await curio.spawn(self._join(near), daemon=True)

    def set_fault(self, fault: LinkFault) -> None:
        """Puts a fault in force; RESET breaks the connections that are open."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for sock in self._open:
                _shut(sock)

    async def _join(self, near: socket.socket) -> None:
        far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._open |= {near, far}
        try:
            if self.fault is LinkFault.RESET:
                return
            await self._hold(LinkFault.SILENT)
            await far.connect(self.upstream)
            there = await curio.spawn(self._pass(near, far, LinkFault.SILENT), daemon=True)
            await self._pass(far, near, LinkFault.NO_ANSWERS)
            await there.cancel()
        except OSError:
            pass
        finally:
            self._open -= {near, far}
            for sock in (near, far):
                _shut(sock)
                with contextlib.suppress(OSError):
                    await sock.close()

    async def _pass(self, source: socket.socket, sink: socket.socket, stop: LinkFault) -> None:
        with contextlib.suppress(OSError):
            while data := await source.recv(READ_BYTES):
                if self.fault is LinkFault.DELAYED:
                    await curio.sleep(self.delay_s)
                await self._hold(LinkFault.SILENT)
                await self._hold(stop)
                await sink.sendall(data)
            with sink.blocking() as raw:
                raw.shutdown(stdlib_socket.SHUT_WR)

    async def _hold(self, fault: LinkFault) -> None:
        while self.fault is fault:
            await curio.sleep(HOLD_POLL_S)


def _shut(sock: socket.socket) -> None:
    """Lets the next close of a connection reset it, and wakes whoever reads from it."""
    with contextlib.suppress(OSError), sock.blocking() as raw:
        raw.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, RESET_ON_CLOSE)
        raw.shutdown(stdlib_socket.SHUT_RDWR)
