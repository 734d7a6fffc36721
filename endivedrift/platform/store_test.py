"""Tests that calls of the store's client end in a reply or in a `StoreError`."""

import contextlib
import socket
import unittest
from datetime import timedelta
from unittest import mock

import curio

from endivedrift.core import Address
from endivedrift.platform import _store
from endivedrift.platform._store import StoreClient, StoreError


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


if __name__ == "__main__":
    unittest.main()
