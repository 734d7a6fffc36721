"""Tests that a request that is forwarded to its key's owner arrives there as it was sent."""

import unittest
from dataclasses import replace
from datetime import timedelta
from unittest import mock

import curio

from endivedrift.core import Answer, HostId, IdempotencyKey, Incarnation, RequestHead
from endivedrift.objects import MAX_BODY_BYTES
from endivedrift.shell import _peer_calls, _peers
from endivedrift.shell._codec import ForwardedRequest, encode_call, encode_reply
from endivedrift.shell._peers import PeerTransport
from endivedrift.shell._serving import ServedRequest

FORWARD = ForwardedRequest(
    HostId("h1"),
    Incarnation(7),
    "POST",
    "/stays?x=1",
    ((b"host", b"Rooms.example:80"), (b"a", b"b")),
    b"body",
    None,
    IdempotencyKey("k"),
    timedelta(seconds=1),
)


class ForwardingTest(unittest.TestCase):
    def test_the_owner_routes_by_the_host_name_of_the_request(self) -> None:
        heads: list[RequestHead] = []

        async def serve(
            context: object, request_id: str, head: RequestHead, request: object
        ) -> ServedRequest:
            heads.append(head)
            return ServedRequest(Answer(200, (), b""))

        transport = mock.Mock(_runtime=mock.Mock())
        with mock.patch.object(_peers, "serve_request", serve):
            curio.run(PeerTransport._serve_forwarded, transport, FORWARD)
        self.assertEqual((heads[0].host, heads[0].path), ("rooms.example", "/stays"))

    def test_the_greatest_body_and_answer_fit_with_their_headers(self) -> None:
        headers = tuple((b"h%d" % n, b"v" * 100) for n in range(160))
        largest = bytes(MAX_BODY_BYTES)
        call = encode_call(replace(FORWARD, headers=headers, body=largest))
        self.assertLessEqual(len(call), _peer_calls.MAX_CALL_BYTES)
        reply = encode_reply(Answer(200, headers, largest))
        self.assertLessEqual(len(reply), _peer_calls.MAX_REPLY_BYTES)


if __name__ == "__main__":
    unittest.main()
