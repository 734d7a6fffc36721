"""Sockets that any task may close while other tasks wait in them.

The event loop keeps a wait under the number of its descriptor. Were the descriptor closed during
the wait, the next socket could get its number: waits for the new socket would then fail in the
loop itself, and so end the process, or be refused as those of a second task.
"""

import contextlib
import errno
import os
import socket as stdlib_socket
from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

import curio
from curio.traps import _io_release, _read_wait, _write_wait

CALLS_PER_TURN = 32
"""Calls in a row without a wait after which other tasks run, however fast the other side is."""

SocketAddress: TypeAlias = tuple[str, int]


class _Descriptor:
    """Identifies the descriptor of one socket to the loop; a later one with its number differs."""

    __slots__ = ("_number",)

    def __init__(self, number: int) -> None:
        self._number = number

    def fileno(self) -> int:
        return self._number


class Socket:
    """A socket for tasks of the event loop.

    Closing it ends the waits of all tasks in it. Its descriptor is closed after the last of them
    has left, so that no wait outlives the descriptor. Each method raises OSError if the call fails
    or the socket is closed.

    Attributes:
      raw: The socket in non-blocking mode, for calls that need no wait.
    """

    __slots__ = ("_calls", "_descriptor", "_is_closed", "_waiting", "raw")

    def __init__(self, raw: stdlib_socket.socket) -> None:
        """Takes over a socket and makes it non-blocking."""
        raw.setblocking(False)
        self.raw = raw
        self._descriptor = _Descriptor(raw.fileno())
        self._waiting = 0
        self._is_closed = False
        self._calls = 0

    def fileno(self) -> int:
        """Returns the number of the descriptor, or -1 once it is closed."""
        return self.raw.fileno()

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Sets an option."""
        self.raw.setsockopt(level, option, value)

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Returns an option of up to `size` bytes."""
        return self.raw.getsockopt(level, option, size)

    def getsockname(self) -> SocketAddress:
        """Returns the address that the socket is bound to."""
        ip, port = self.raw.getsockname()
        return ip, port

    def bind(self, address: SocketAddress) -> None:
        """Binds the socket to an address."""
        self.raw.bind(address)

    def listen(self, backlog: int) -> None:
        """Starts to listen for connections."""
        self.raw.listen(backlog)

    async def accept(self) -> tuple["Socket", SocketAddress]:
        """Waits for a connection."""
        sock, address = await self._perform(_read_wait, self.raw.accept)
        return Socket(sock), address

    async def connect(self, address: SocketAddress) -> None:
        """Connects, and waits until that has succeeded or failed."""
        self._check_open()
        try:
            self.raw.connect(address)
        except BlockingIOError:
            await self._wait(_write_wait)
            error = self.raw.getsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_ERROR)
            if error:
                raise OSError(error, os.strerror(error)) from None

    async def recv(self, size: int, flags: int = 0) -> bytes:
        """Waits for bytes; returns none at the end of the connection."""
        received: bytes = await self._perform(_read_wait, self.raw.recv, size, flags)
        return received

    async def recvfrom(self, size: int) -> tuple[bytes, SocketAddress]:
        """Waits for a datagram, and returns it with its sender."""
        received: tuple[bytes, SocketAddress]
        received = await self._perform(_read_wait, self.raw.recvfrom, size)
        return received

    async def sendmsg(self, buffers: list[memoryview]) -> int:
        """Sends part of the buffers at least, and returns the number of bytes."""
        sent: int = await self._perform(_write_wait, self.raw.sendmsg, buffers)
        return sent

    async def sendall(self, data: bytes) -> None:
        """Sends all bytes."""
        rest = memoryview(data)
        while rest:
            rest = rest[await self._perform(_write_wait, self.raw.send, rest) :]

    async def shutdown(self, how: int) -> None:
        """Ends one direction of the connection, or both; tasks that wait for it then continue."""
        self._check_open()
        self.raw.shutdown(how)

    async def close(self) -> None:
        """Closes the socket and ends the waits of other tasks; a second call does nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        if not self._waiting:
            await self._close_descriptor()
            return
        # The loop reports a connection that is shut down to those that wait for it.
        with contextlib.suppress(OSError):
            self.raw.shutdown(stdlib_socket.SHUT_RDWR)

    async def _perform(
        self,
        wait: Callable[[_Descriptor], Awaitable[None]],
        call: Callable[..., Any],
        *arguments: Any,
    ) -> Any:
        """Makes a call, if need be after waiting until it can be made."""
        self._calls += 1
        if self._calls > CALLS_PER_TURN:
            self._calls = 0
            await curio.sleep(0)
        while True:
            self._check_open()
            try:
                return call(*arguments)
            except BlockingIOError:
                await self._wait(wait)

    async def _wait(self, wait: Callable[[_Descriptor], Awaitable[None]]) -> None:
        self._calls = 0
        self._waiting += 1
        try:
            await wait(self._descriptor)
        finally:
            self._waiting -= 1
            if self._is_closed and not self._waiting:
                await self._close_descriptor()
        self._check_open()

    def _check_open(self) -> None:
        if self._is_closed:
            raise OSError(errno.EBADF, "the socket was closed by this host")

    async def _close_descriptor(self) -> None:
        # The task that ran last may still be registered with the loop.
        await _io_release(self._descriptor)
        self.raw.close()


def open_stream_socket() -> Socket:
    """Opens a TCP socket.

    Raises:
      OSError: If there is no descriptor.
    """
    return Socket(stdlib_socket.socket(stdlib_socket.AF_INET, stdlib_socket.SOCK_STREAM))


def open_datagram_socket() -> Socket:
    """Opens a UDP socket.

    Raises:
      OSError: If there is no descriptor.
    """
    return Socket(stdlib_socket.socket(stdlib_socket.AF_INET, stdlib_socket.SOCK_DGRAM))
