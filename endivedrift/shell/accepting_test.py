"""A fault of one connection ends neither the loop that accepts connections nor the process."""

import contextlib
import errno
import io
import socket
import unittest
from typing import Any
from unittest import mock

import curio

from endivedrift.platform import _command
from endivedrift.shell import _daemon
from endivedrift.shell._http import accept_connections
from endivedrift.shell._sockets import Socket, open_stream_socket
from endivedrift.shell.host import ListenError

EVENT_LIMIT_S = 60.0
"""Time after which a test fails that waits for an event, far beyond any delay of a busy machine."""


class FaultyListener:
    """A listening socket whose accept reports faults of connections before it accepts one."""

    def __init__(self, *faults: int) -> None:
        self.faults = list(faults)
        self.listener = open_stream_socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(8)

    async def accept(self) -> tuple[Socket, tuple[str, int]]:
        if self.faults:
            raise OSError(self.faults.pop(), "a fault")
        return await self.listener.accept()


class AcceptingTest(unittest.TestCase):
    # Guards against hosts that end, or accept no more, by a fault of one connection.
    def accept_one(self, listener: Any, failing_starts: int = 0) -> int:
        """Accepts connections until one is served, and returns how many were started."""
        started: list[Socket] = []
        served = curio.Event()

        async def start(sock: Socket) -> None:
            started.append(sock)
            if len(started) <= failing_starts:
                raise RuntimeError("unforeseen")
            await served.set()

        async def run() -> None:
            accepting = await curio.spawn(accept_connections(listener, start))
            clients = [socket.socket() for _ in range(failing_starts + 1)]
            for client in clients:
                client.connect(listener.listener.getsockname())
            async with curio.timeout_after(EVENT_LIMIT_S):
                await served.wait()
            await accepting.cancel()
            for client in clients:
                client.close()

        curio.run(run)
        for sock in started[:failing_starts]:
            self.assertEqual(sock.fileno(), -1)
        return len(started)

    def test_a_connection_that_fails_while_it_is_accepted_is_passed_over(self) -> None:
        faults = (errno.ECONNABORTED, errno.EPROTO, errno.ETIMEDOUT, errno.EHOSTUNREACH)
        self.assertEqual(self.accept_one(FaultyListener(*faults)), 1)

    def test_a_connection_that_cannot_be_served_is_closed_and_the_next_is_served(self) -> None:
        self.assertEqual(self.accept_one(FaultyListener(), failing_starts=2), 3)

    def test_a_listener_that_cannot_be_used_ends_the_loop(self) -> None:
        with self.assertRaises(OSError):
            curio.run(accept_connections, FaultyListener(errno.EBADF), None)


class ExitTest(unittest.TestCase):
    """The process says that an address is in use only if that is so."""

    def run_with(self, error: Exception) -> int:
        settings = mock.Mock()
        with (
            mock.patch.dict("os.environ", {_command.NODE_FILE_VARIABLE: "x"}),
            mock.patch.object(_command, "read_environment", return_value=(settings, None)),
            mock.patch.object(_command, "configure_logs"),
            mock.patch.object(_daemon, "_run", side_effect=error),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            return _command.run_command()

    def test_an_address_in_use(self) -> None:
        self.assertEqual(self.run_with(ListenError("in use")), _command.EXIT_CANNOT_LISTEN)

    def test_a_failing_system_call_later(self) -> None:
        with self.assertRaises(FileNotFoundError):
            self.run_with(FileNotFoundError(errno.ENOENT, "unforeseen"))


if __name__ == "__main__":
    unittest.main()
