"""A loopback TCP proxy that delays, resets or blocks the connections through it."""

import contextlib
import socket as stdlib_socket
import struct
from dataclasses import dataclass, field
from enum import Enum

import curio
from curio import socket

from standins.tasks import serve_connections

READ_BYTES = 65_536
FAULT_POLL_S = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes close() send RST: enabled, with a timeout of 0 seconds."""


class LinkFault(Enum):
    """Fault of a link.

    SILENT blocks the bytes in both directions, NO_ANSWERS only those from the upstream, and
    GREETING_ONLY those that the upstream sends after the first ones of a connection.
    """

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    SILENT = "silent"
    NO_ANSWERS = "no-answers"
    GREETING_ONLY = "greeting-only"


@dataclass(slots=True)
class Proxy:
    """One link: connections to `address` are relayed to `upstream`.

    Attributes:
      address, upstream: IP address and port.
      fault: The active fault.
      delay_s: Time by which DELAYED delays each chunk.
    """

    address: tuple[str, int]
    upstream: tuple[str, int]
    fault: LinkFault = LinkFault.NONE
    delay_s: float = 0.3
    _open_sockets: set[socket.socket] = field(default_factory=set)

    async def serve(self) -> None:
        """Relays connections until cancelled; then refuses them and resets the open ones."""
        await serve_connections(self.address, self._relay_connection)

    def set_fault(self, fault: LinkFault) -> None:
        """Activates a fault; RESET also resets the open connections."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for sock in self._open_sockets:
                _prepare_reset(sock)

    async def _relay_connection(self, client_sock: socket.socket) -> None:
        upstream_sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._open_sockets |= {client_sock, upstream_sock}
        upstream_task: curio.Task | None = None
        try:
            if self.fault is LinkFault.RESET:
                return
            await self._wait_while(LinkFault.SILENT)
            await upstream_sock.connect(self.upstream)
            upstream_task = await curio.spawn(
                self._copy(client_sock, upstream_sock, LinkFault.SILENT), daemon=True
            )
            await self._copy(upstream_sock, client_sock, LinkFault.NO_ANSWERS)
        except OSError:
            pass
        finally:
            if upstream_task is not None:
                await upstream_task.cancel()
            self._open_sockets -= {client_sock, upstream_sock}
            for sock in (client_sock, upstream_sock):
                _prepare_reset(sock)
                with contextlib.suppress(OSError):
                    await sock.close()

    async def _copy(
        self, source: socket.socket, sink: socket.socket, blocking_fault: LinkFault
    ) -> None:
        is_first = True
        with contextlib.suppress(OSError):
            while data := await source.recv(READ_BYTES):
                if blocking_fault is LinkFault.NO_ANSWERS and not is_first:
                    await self._wait_while(LinkFault.GREETING_ONLY)
                is_first = False
                if self.fault is LinkFault.DELAYED:
                    await curio.sleep(self.delay_s)
                await self._wait_while(LinkFault.SILENT)
                await self._wait_while(blocking_fault)
                await sink.sendall(data)
            with sink.blocking() as raw:
                raw.shutdown(stdlib_socket.SHUT_WR)

    async def _wait_while(self, fault: LinkFault) -> None:
        while self.fault is fault:
            await curio.sleep(FAULT_POLL_S)


def _prepare_reset(sock: socket.socket) -> None:
    """Makes the next close of a socket reset its connection, and wakes the task that reads it."""
    with contextlib.suppress(OSError), sock.blocking() as raw:
        raw.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, RESET_ON_CLOSE)
        raw.shutdown(stdlib_socket.SHUT_RDWR)
