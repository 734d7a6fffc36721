"""A socket may be closed by any task while others wait in it, on every kind of connection.

Guards against waits that outlive their descriptor: its number is used again by another connection,
whose waits then fail, or end the process.
"""

import ast
import socket
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio

from endivedrift.shell._sockets import (
    CALLS_PER_TURN,
    Socket,
    open_datagram_socket,
    open_stream_socket,
)

PACKAGE = Path(__file__).resolve().parent.parent
EVENT_LIMIT_S = 60.0
"""Time after which a test fails that waits for an event, far beyond any delay of a busy machine."""
FULL_BUFFER = memoryview(bytes(8_000_000))


def open_pair() -> tuple[Socket, Socket]:
    left, right = socket.socketpair()
    return Socket(left), Socket(right)


def listen() -> Socket:
    listener = open_stream_socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    return listener


async def write_until_closed(sock: Socket) -> None:
    while True:
        await sock.sendmsg([FULL_BUFFER])


class ClosingTest(unittest.TestCase):
    """Another task closes a socket, and the next socket gets its number."""

    def check(self, sock: Socket, *waits: Callable[[], Awaitable[object]]) -> None:
        """Closes `sock` during waits that begin in tasks of their own."""

        async def run() -> None:
            tasks = [await curio.spawn(wait) for wait in waits]
            await curio.sleep(0.05)
            number = sock.fileno()
            await sock.close()
            with self.assertRaises(OSError):
                await sock.recv(1)
            async with curio.timeout_after(EVENT_LIMIT_S):
                for task in tasks:
                    await task.wait()
                    self.assertIsInstance(task.exception, OSError)
                self.assertEqual(sock.fileno(), -1)
                await self.use_number(number)

        with self.assertLogs("curio", "ERROR"):
            curio.run(run)

    async def use_number(self, number: int) -> None:
        """Waits in both directions of a connection that has the number of the closed socket."""
        pairs = [open_pair()]
        while number not in [sock.fileno() for pair in pairs for sock in pair]:
            pairs.append(open_pair())
        for left, right in pairs:
            reading = await curio.spawn(left.recv, 1)
            writing = await curio.spawn(write_until_closed, right)
            self.assertEqual(await reading.join(), b"\0")
            await writing.cancel()
            await left.close()
            await right.close()

    def test_while_a_task_reads(self) -> None:
        sock, self.other = open_pair()
        self.check(sock, lambda: sock.recv(1))

    def test_while_a_task_writes(self) -> None:
        sock, self.other = open_pair()
        self.check(sock, lambda: write_until_closed(sock))

    def test_while_one_task_reads_and_one_writes(self) -> None:
        sock, self.other = open_pair()
        self.check(sock, lambda: sock.recv(1), lambda: write_until_closed(sock))

    def test_while_a_task_accepts(self) -> None:
        listener = listen()
        self.check(listener, listener.accept)

    def test_while_a_task_receives_datagrams(self) -> None:
        sock = open_datagram_socket()
        sock.bind(("127.0.0.1", 0))
        self.check(sock, lambda: sock.recvfrom(100))

    def test_while_a_task_connects(self) -> None:
        listener = listen()
        address = listener.getsockname()
        self.addCleanup(listener.raw.close)
        for _ in range(4):
            # These fill the queue of connections that are not accepted.
            waiting = open_stream_socket()
            self.addCleanup(waiting.raw.close)
            with self.assertRaises(BlockingIOError):
                waiting.raw.connect(address)
        sock = open_stream_socket()
        self.check(sock, lambda: sock.connect(address))

    def test_a_task_that_was_woken_and_has_not_run_yet_may_be_cancelled(self) -> None:
        async def run() -> None:
            sock, other = open_pair()
            reading = await curio.spawn(sock.recv, 1)
            await curio.sleep(0.05)
            other.raw.send(b"x")
            number = sock.fileno()
            await curio.sleep(0)
            await reading.cancel(blocking=False)
            await sock.close()
            async with curio.timeout_after(EVENT_LIMIT_S):
                await reading.wait()
                await self.use_number(number)

        curio.run(run)

    def test_the_descriptor_is_kept_until_the_waiting_task_has_left(self) -> None:
        async def run() -> list[int]:
            sock, other = open_pair()
            reading = await curio.spawn(sock.recv, 1)
            await curio.sleep(0.05)
            await reading.cancel(blocking=False)
            await sock.close()
            numbers = [sock.fileno()]
            await reading.wait()
            await other.close()
            return [*numbers, sock.fileno()]

        during, after = curio.run(run)
        self.assertGreaterEqual(during, 0)
        self.assertEqual(after, -1)


class TurnTest(unittest.TestCase):
    # Guards against a host that serves nobody while one connection delivers without a pause.
    def test_a_connection_that_is_always_ready_lets_other_tasks_run(self) -> None:
        left, right = open_pair()
        calls = 0

        async def read() -> None:
            nonlocal calls
            while calls < 100_000:
                left.raw.send(b"x")
                await right.recv(1)
                calls += 1

        async def run() -> None:
            reading = await curio.spawn(read)
            for _ in range(10):
                await curio.sleep(0)
            await reading.cancel()

        curio.run(run)
        self.assertLessEqual(calls, 11 * (CALLS_PER_TURN + 1))


class ImportsTest(unittest.TestCase):
    def test_no_module_waits_in_sockets_of_another_kind(self) -> None:
        users = set()
        for path in PACKAGE.rglob("*.py"):
            if path.name.endswith("_test.py") or path.name == "_sockets.py":
                continue
            for node in ast.walk(ast.parse(path.read_text("utf-8"))):
                if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("curio"):
                    users.add((path.name, node.module))
                elif isinstance(node, ast.Attribute) and ast.unparse(node).startswith(
                    ("curio.socket", "curio.io", "curio.network", "curio.open_connection")
                ):
                    users.add((path.name, ast.unparse(node)))
        self.assertEqual(users, set())


if __name__ == "__main__":
    unittest.main()
