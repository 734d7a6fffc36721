"""Tests that calls of the store's client end in a reply or in a `StoreError`."""

import contextlib
import json
import os
import secrets
import socket
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from unittest import mock

import curio

from endivedrift.core import Address
from endivedrift.platform import _store
from endivedrift.platform._store import HistoryGoneError, StoreClient, StoreError
from standins._http_server import serve_http
from standins.platform_store import StoreStandin

PORT = 20_950
_BODY = json.dumps({"rows": [{"key": "config", "value": "", "ver": 4}], "ver": 4}).encode()
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(_BODY) + _BODY
UNREACHED_LIMIT = timedelta(seconds=60)
"""Limit of a call that gets a reply, far beyond any delay of a busy machine."""


class UnreachableStoreTest(unittest.TestCase):
    def test_a_store_that_accepts_no_connection_raises_a_store_error(self) -> None:
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            for _ in range(4):  # Fills the accept queue, so that the next connection hangs.
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(address)
            client = StoreClient(Address(f"{address[0]}:{address[1]}"))
            short = timedelta(milliseconds=50)
            with mock.patch.object(_store, "CONNECT_TIMEOUT", short), self.assertRaises(StoreError):
                curio.run(client.read_table, "op")


class OddPagesTest(unittest.TestCase):
    """Reads a table of several pages that hold rows with odd keys."""

    def read_table(self, pages: list[dict[str, object]]) -> list[str]:
        client = StoreClient(Address("127.0.0.1:1"))
        replies = iter(pages)

        async def exchange(target: str, silence: timedelta) -> tuple[int, bytes]:
            target.encode("ascii")
            return 200, json.dumps({"ver": 4, **next(replies)}).encode()

        with mock.patch.object(client, "_exchange", exchange):
            return [row.key for row in curio.run(client.read_table, "servers").rows]

    # Guards against a reader that ends at a page whose last key is no valid text.
    def test_a_page_may_end_with_a_key_that_no_encoding_can_write(self) -> None:
        pages: list[dict[str, object]] = [
            {"rows": [{"key": "a"}, {"key": "\ud800"}], "truncated": True},
            {"rows": [{"key": "\ud800b"}]},
        ]
        self.assertEqual(self.read_table(pages), ["a", "\ud800", "\ud800b"])

    # Guards against a list that is taken for complete, or read for ever.
    def test_a_page_that_does_not_go_on_is_an_error(self) -> None:
        for rows in ([], [{"key": 7}], [{"key": "a"}]):
            pages: list[dict[str, object]] = [
                {"rows": [{"key": "a"}], "truncated": True},
                {"rows": rows, "truncated": True},
            ]
            with self.subTest(rows), self.assertRaises(StoreError):
                self.read_table(pages)


class RestoredStoreTest(unittest.TestCase):
    """Reads a store that is restored from an older copy."""

    def run_scenario(
        self, scenario: Callable[[StoreStandin, StoreClient], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            store = StoreStandin()
            store.write("op", "config", {"version": 1})
            address = f"127.{1 + os.getpid() % 250}.{secrets.randbelow(250)}.1"
            serving = await curio.spawn(serve_http(address, PORT, store.handle), daemon=True)
            await curio.sleep(0.05)
            await scenario(store, StoreClient(Address(f"{address}:{PORT}")))
            await serving.cancel()

        with (
            mock.patch.object(_store, "CALL_TIMEOUT", UNREACHED_LIMIT),
            mock.patch.object(_store, "QUESTION_TIMEOUT", UNREACHED_LIMIT),
            mock.patch.object(_store, "CONNECT_TIMEOUT", UNREACHED_LIMIT),
        ):
            curio.run(run)

    def test_a_version_that_is_given_out_again_is_a_newer_one(self) -> None:
        async def scenario(store: StoreStandin, client: StoreClient) -> None:
            copy = store.take_snapshot()
            store.write("op", "a", {})
            before = await client.read_table("op")
            store.restore(copy)
            store.write("op", "b", {})
            with self.assertRaises(HistoryGoneError):
                await client.read_changes("op", before.version)
            after = await client.read_table("op")
            self.assertEqual({row.key for row in after.rows}, {"config", "b"})
            self.assertGreater(after.version, before.version)
            store.write("op", "c", {})
            changes = await client.read_changes("op", after.version)
            self.assertEqual([row.key for row in changes.rows], ["c"])

        self.run_scenario(scenario)

    def test_a_version_that_the_restored_store_does_not_have_is_gone(self) -> None:
        async def scenario(store: StoreStandin, client: StoreClient) -> None:
            copy = store.take_snapshot()
            store.write("op", "a", {})
            before = await client.read_table("op")
            store.restore(copy)
            with self.assertRaises(HistoryGoneError):
                await client.read_changes("op", before.version)

        self.run_scenario(scenario)


class SilentConnectionTest(unittest.TestCase):
    # Guards against hosts that learn of no change after their connections to the store went silent
    # for good, without a reset, while new ones work, or learn of it too late (DRAIN) as a question
    # that failed was asked again only after a pause.
    def test_a_silent_connection_costs_no_question(self) -> None:
        accepted: list[int] = []

        async def answer(sock: curio.socket.socket, address: object) -> None:
            accepted.append(sock.fileno())
            is_first = len(accepted) == 1
            while await sock.recv(65_536):
                await sock.sendall(ANSWER)
                if is_first:
                    await curio.sleep(UNREACHED_LIMIT.total_seconds())

        async def run() -> None:
            address = (f"127.{1 + os.getpid() % 250}.{secrets.randbelow(250)}.1", PORT)
            serving = await curio.spawn(curio.tcp_server, *address, answer, daemon=True)
            await curio.sleep(0.05)
            endpoint = Address(f"{address[0]}:{address[1]}")
            client = StoreClient(endpoint, reuse_silence=timedelta(milliseconds=100))
            version = (await client.read_table("op")).version
            with mock.patch.object(_store, "QUESTION_TIMEOUT", UNREACHED_LIMIT):
                changes = await client.read_changes("op", version)
            self.assertEqual([row.key for row in changes.rows], ["config"])
            self.assertEqual(len(accepted), 2)
            await client.close()
            await serving.cancel()

        curio.run(run)


if __name__ == "__main__":
    unittest.main()
