"""The store's client: whatever the store does ends in an answer or in a named failure."""

import contextlib
import socket
import unittest
from datetime import timedelta
from unittest import mock

import curio

from endivedrift.core import Address
from endivedrift.platform import _store
from endivedrift.platform._store import StoreClient, StoreError


class DarkStoreTest(unittest.TestCase):
    def test_a_store_that_takes_no_connection_is_a_named_failure(self) -> None:
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            for _ in range(4):  # Fills the queue, so that the next connection hangs.
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(address)
            client = StoreClient(Address(f"{address[0]}:{address[1]}"))
            short = timedelta(milliseconds=50)
            with mock.patch.object(_store, "CONNECT_TIMEOUT", short), self.assertRaises(StoreError):
                curio.run(client.read_table, "op")


if __name__ == "__main__":
    unittest.main()
