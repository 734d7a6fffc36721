"""Tests that rows of the own table service that cannot be read lead to an error, not to a crash."""

import unittest
from typing import Any
from unittest import mock

import curio

from endivedrift.core import (
    Address,
    ClaimId,
    ClaimOutcome,
    HostId,
    IdempotencyKey,
    Incarnation,
    Version,
)
from endivedrift.shell.exchange import HttpReply
from endivedrift.store import Claim, HttpPlatform, PlatformError, _http_adapter, claim_key
from endivedrift.store._interface import Row

CLAIM = Claim(IdempotencyKey("k"), HostId("h1"), Incarnation(7), ClaimId("c"))
UNREADABLE_CLAIMS: tuple[dict[str, Any], ...] = (
    {},
    {"host": "h2", "claim": "x"},
    {"host": "h2", "incarnation": None, "claim": "x"},
    {"host": "h2", "incarnation": [1], "claim": "x"},
    {"host": "h2", "incarnation": "one", "claim": "x"},
)


class TakenTable:
    """A table service in which the key is taken by a row with the given value."""

    def __init__(self, value: dict[str, Any]) -> None:
        self.value = value

    async def write_rows(self, writes: tuple[object, ...]) -> bool:
        return False

    async def read_row(self, table: str, key: str) -> Row:
        return Row(table, key, Version(3), self.value)


class ClaimTest(unittest.TestCase):
    def test_a_claim_that_cannot_be_read_leaves_the_owner_unknown(self) -> None:
        for value in UNREADABLE_CLAIMS:
            with self.subTest(value):
                result = curio.run(claim_key, TakenTable(value), "d", CLAIM)
                self.assertIs(result.outcome, ClaimOutcome.UNKNOWN)

    def test_a_readable_claim_names_its_owner(self) -> None:
        value = {"host": "h2", "incarnation": 9, "claim": "x"}
        result = curio.run(claim_key, TakenTable(value), "d", CLAIM)
        self.assertIs(result.outcome, ClaimOutcome.TAKEN)


class ListTest(unittest.TestCase):
    def test_lists_that_cannot_be_read_raise_an_error(self) -> None:
        address = Address("127.0.0.1:1")
        platform = HttpPlatform(address, address, address)
        for body in (b"{}", b'{"rows": 7, "machines": null}', b"[]", b'{"rows": [{"key": 1}]}'):
            reply = HttpReply(200, (), body)
            with (
                self.subTest(body),
                mock.patch.object(_http_adapter, "exchange", mock.AsyncMock(return_value=reply)),
            ):
                with self.assertRaises(PlatformError):
                    curio.run(platform.list_rows, "t")
                if b"machines" in body or body == b"{}":
                    with self.assertRaises(PlatformError):
                        curio.run(platform.list_machines)


if __name__ == "__main__":
    unittest.main()
