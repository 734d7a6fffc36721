"""Tests the tool's queries to hosts: refused answers, and names that need quoting."""

import unittest
from typing import Any
from unittest import mock
from urllib.parse import parse_qs

import curio

from endivedrift.cli import _hosts, _watching
from endivedrift.cli._hosts import HostReport, ask_hosts
from endivedrift.core import Address
from endivedrift.shell.exchange import HttpReply

HOST = Address("127.0.0.1:1")


class QueryTest(unittest.TestCase):
    def ask(self, status: int, body: bytes) -> Any:
        reply = HttpReply(status, (), body)
        with mock.patch.object(_hosts, "exchange", mock.AsyncMock(return_value=reply)):
            return curio.run(ask_hosts, [HOST], "/state")[0].body

    def test_only_a_successful_reply_with_an_object_is_an_answer(self) -> None:
        self.assertEqual(self.ask(200, b'{"a": 1}'), {"a": 1})
        self.assertIsNone(self.ask(404, b'{"title": "unknown path"}'))
        self.assertIsNone(self.ask(503, b'{"phase": "leaving"}'))
        self.assertIsNone(self.ask(200, b"[]"))

    def test_names_are_quoted_in_the_query(self) -> None:
        asked: list[str] = []

        def ask_fleet(config: object, path: str) -> list[HostReport]:
            asked.append(path)
            entry = {"date": "d", "kind": "k", "subject": "s", "cause": "c"}
            return [HostReport(HOST, {"entries": [entry]})]

        with mock.patch.object(_watching, "_ask_fleet", ask_fleet):
            _watching.explain("config", "a&b=c d", "t#1")
        query = parse_qs(asked[0].partition("?")[2])
        self.assertEqual(query, {"service": ["a&b=c d"], "subject": ["t#1"]})


if __name__ == "__main__":
    unittest.main()
