"""Limits the open connections to an address that serves one request on each.

Where all slots are taken, the oldest connection that has not sent its request yet makes room for a
new one. So clients that connect and send nothing, or too little, keep no others away.
"""

import contextlib
from collections.abc import Awaitable, Callable

import curio

from endivedrift.shell._sockets import Socket


class ConnectionSlots:
    """The open connections to one address."""

    def __init__(self, limit: int) -> None:
        """Creates slots for `limit` connections."""
        self._limit = limit
        self._tasks: dict[Socket, curio.Task] = {}
        self._without_request: dict[Socket, None] = {}

    async def start(self, sock: Socket, serve: Callable[[Socket], Awaitable[None]]) -> None:
        """Serves a new connection in a task of its own, and closes it afterwards.

        It is closed at once if all slots are taken by connections that have sent their requests.
        """
        if len(self._tasks) >= self._limit:
            oldest = next(iter(self._without_request), None)
            if oldest is None:
                await sock.close()
                return
            await self._tasks[oldest].cancel()
            # A task that was cancelled before it began has run nothing.
            await self._end(oldest)
        self._without_request[sock] = None
        self._tasks[sock] = await curio.spawn(self._serve, sock, serve, daemon=True)

    def note_request(self, sock: Socket) -> None:
        """Notes that the request of a connection has arrived."""
        self._without_request.pop(sock, None)

    async def _serve(self, sock: Socket, serve: Callable[[Socket], Awaitable[None]]) -> None:
        try:
            await serve(sock)
        finally:
            await self._end(sock)

    async def _end(self, sock: Socket) -> None:
        self._without_request.pop(sock, None)
        self._tasks.pop(sock, None)
        with contextlib.suppress(OSError):
            await sock.close()
