"""Tests that a store that sends bytes without end costs its calls, and neither memory nor turns.

Guards against hosts that run out of memory, or that serve no request while they read.
"""

import json
import tracemalloc
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from unittest import mock

import curio

from endivedrift.core import Address, build_store_version
from endivedrift.platform import _store
from endivedrift.platform._store import HistoryGoneError, StoreClient, StoreError
from standins.endless_target import EndlessTarget

EVENT_LIMIT_S = 60.0
"""Time after which a test fails that waits for an event, far beyond any delay of a busy machine."""
MAX_MEMORY_BYTES = 4 * _store.MIN_ANSWER_LIMIT_BYTES
VERSION = build_store_version(0, 7)
HEAD = b"HTTP/1.1 200 OK\r\n"
STREAMS = {
    "a body without a length": (HEAD + b"\r\n", b"[" * 10_000),
    "chunks": (HEAD + b"transfer-encoding: chunked\r\n\r\n", b"3e8\r\n" + b"y" * 1_000 + b"\r\n"),
    "tiny chunks": (HEAD + b"transfer-encoding: chunked\r\n\r\n", b"1\r\nz\r\n" * 2_000),
    "a declared length": (HEAD + b"content-length: 9999999999\r\n\r\n", b"y" * 10_000),
    "a body of a failure": (b"HTTP/1.1 503 Busy\r\n\r\n", b"y" * 10_000),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "no status line": (b"", b"zzzz" * 500),
    "header lines": (HEAD, b"x-more: " + b"y" * 1_000 + b"\r\n"),
    "trailers": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\n",
        b"x-more: " + b"y" * 1_000 + b"\r\n",
    ),
}


class EndlessStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        # Only what is read may end a call here, not the time that it takes.
        for name in ("CALL_TIMEOUT", "QUESTION_TIMEOUT", "MAX_ANSWER_TIME"):
            limit = timedelta(seconds=EVENT_LIMIT_S)
            self.enterContext(mock.patch.object(_store, name, limit))

    def read(
        self,
        stream: tuple[bytes, bytes],
        call: Callable[[StoreClient], Awaitable[object]],
        error: type[Exception],
    ) -> tuple[int, int]:
        """Makes a call that fails; returns the greatest memory meanwhile, and turns of others."""
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                await curio.sleep(0)
                turns += 1

        async def run() -> int:
            store = EndlessTarget(*stream)
            serving = await curio.spawn(store.serve(), daemon=True)
            counting = await curio.spawn(count_turns(), daemon=True)
            client = StoreClient(store.address)
            tracemalloc.start()
            with self.assertRaises(error):
                await call(client)
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            async with curio.timeout_after(EVENT_LIMIT_S):
                await store.closed.wait()
            await counting.cancel()
            await serving.cancel()
            return peak

        return curio.run(run), turns

    def test_a_table_ends_in_bounded_memory(self) -> None:
        for name, stream in STREAMS.items():
            with self.subTest(name):
                peak, turns = self.read(stream, lambda c: c.read_table("op"), StoreError)
                self.assertLess(peak, MAX_MEMORY_BYTES)
                self.assertGreater(turns, 0)

    def test_changes_that_are_too_large_are_read_as_pages_of_the_whole_table(self) -> None:
        for name in ("a body without a length", "chunks", "a declared length"):
            with self.subTest(name):
                peak, _ = self.read(
                    STREAMS[name], lambda c: c.read_changes("op", VERSION), HistoryGoneError
                )
                self.assertLess(peak, MAX_MEMORY_BYTES)

    def test_a_table_of_pages_without_end_ends(self) -> None:
        client = StoreClient(Address("127.0.0.1:1"))
        count = 0

        async def exchange(target: str, silence: timedelta) -> tuple[int, bytes]:
            nonlocal count
            count += 1
            rows = [{"key": f"{count:020d}", "value": "x" * 100_000, "ver": 4}]
            return 200, json.dumps({"rows": rows, "ver": 4, "truncated": True}).encode()

        with mock.patch.object(client, "_exchange", exchange), self.assertRaises(StoreError):
            curio.run(client.read_table, "op")
        self.assertLess(count * 100_000, 2 * _store.MAX_TABLE_BYTES)

    def test_an_answer_up_to_the_limit_is_read(self) -> None:
        row = {"key": "config", "value": "x" * (_store.MIN_ANSWER_LIMIT_BYTES - 1_000), "ver": 4}
        body = json.dumps({"rows": [row], "ver": 4}).encode()
        answer = HEAD + f"content-length: {len(body)}\r\n\r\n".encode() + body

        async def run() -> str:
            store = EndlessTarget(answer, b"", EVENT_LIMIT_S)
            serving = await curio.spawn(store.serve(), daemon=True)
            read = await StoreClient(store.address).read_table("op")
            await serving.cancel()
            return read.rows[0].value

        self.assertEqual(curio.run(run), row["value"])

    def test_rows_of_any_size_that_the_store_keeps_fit(self) -> None:
        client = StoreClient(Address("127.0.0.1:1"), row_bytes=50_000_000)
        self.assertGreater(client.answer_limit_bytes, 50_000_000 * 4 / 3)


if __name__ == "__main__":
    unittest.main()
