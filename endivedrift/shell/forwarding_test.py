"""Tests that a request that is forwarded to its key's owner arrives there as it was sent."""

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import Any
from unittest import mock

import curio
from curio import socket

from endivedrift.core import (
    Address,
    Answer,
    HostId,
    IdempotencyKey,
    Incarnation,
    RequestHead,
    SystemClock,
)
from endivedrift.objects import MAX_BODY_BYTES
from endivedrift.reducer import build_host
from endivedrift.settings import LimitsSection
from endivedrift.shell import _peer_calls, _peers
from endivedrift.shell._codec import ForwardedRequest, ForwardReply, encode_call, encode_reply
from endivedrift.shell._metrics import Metrics
from endivedrift.shell._peer_calls import PeerCallError, call_peer
from endivedrift.shell._peers import PeerTransport
from endivedrift.shell._runtime import Runtime
from endivedrift.shell._serving import ServedRequest, ServingContext
from endivedrift.shell._targets import TargetPool
from standins._http_server import StandinReply, StandinRequest, serve_http
from tests.builders import SECRET, build_config_fetched, build_identity, build_object_set

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


FOR_PEER = replace(FORWARD, method="GET", target="/rooms", key=None, for_peer=True)
DEADLINE_S = 60.0
WAIT_LIMIT_S = 20.0
"""Limit for an event that comes at once, far beyond any delay of a busy machine."""


async def serve_targets(
    handler: Callable[[StandinRequest], Awaitable[StandinReply]],
) -> tuple[Runtime, Address]:
    """Starts two targets and a host that serves forwarded requests at the returned address."""
    ip = f"127.{Random().randrange(1, 250)}.{Random().randrange(250)}.1"
    objects = build_object_set(targets=2)
    read = replace(objects.route["read"], deadline_ms=int(DEADLINE_S * 1_000.0))
    group = objects.upstream_group["group"]
    targets = tuple(
        replace(target, address=f"{ip}:{9000 + n}") for n, target in enumerate(group.targets)
    )
    objects = replace(
        objects,
        route={**objects.route, "read": read},
        upstream_group={"group": replace(group, targets=targets)},
    )
    for number in range(2):
        await curio.spawn(serve_http(ip, 9000 + number, handler), daemon=True)
    clock = SystemClock()
    runtime = Runtime(build_host(build_identity(), SECRET, 1), clock, Metrics())
    claims: Any = None
    context = ServingContext(runtime, TargetPool(clock), claims, SECRET)
    address = Address(f"{ip}:9200")
    transport = PeerTransport(context, address, mock.Mock(), LimitsSection())
    await runtime.dispatch(build_config_fetched(clock, objects))  # type: ignore[arg-type]
    await curio.spawn(transport.accept(), daemon=True)
    return runtime, address


class AbandonedForwardTest(unittest.TestCase):
    def test_a_request_forwarded_for_a_host_whose_caller_has_left_goes_on(self) -> None:
        async def run() -> None:
            has_arrived = curio.Event()

            async def work_long(request: StandinRequest) -> StandinReply:
                await has_arrived.set()
                await curio.sleep(DEADLINE_S)
                return StandinReply(200)

            runtime, address = await serve_targets(work_long)
            timeout = timedelta(seconds=DEADLINE_S)
            call = replace(FOR_PEER, timeout=timeout)
            calling = await curio.spawn(call_peer(SECRET, address, call, timeout))
            async with curio.timeout_after(WAIT_LIMIT_S):
                await has_arrived.wait()
                self.assertEqual(len(runtime.state.requests), 1)
                await calling.cancel()
                while runtime.state.requests:
                    await curio.sleep(0.01)

        curio.run(run)


class LeavingTargetTest(unittest.TestCase):
    # Guards against DRAIN: a host that passed on the answer of a target that another host had used
    # learned only by a datagram that the target leaves.
    def test_the_reply_names_the_target_that_leaves(self) -> None:
        async def leave(request: StandinRequest) -> StandinReply:
            return StandinReply(200, {"x-draining": "1"})

        async def run() -> Any:
            _, address = await serve_targets(leave)
            call = replace(FOR_PEER, timeout=timedelta(seconds=WAIT_LIMIT_S))
            return await call_peer(SECRET, address, call, call.timeout)

        reply = curio.run(run)
        self.assertIsInstance(reply, ForwardReply)
        self.assertIn([process.name for process in reply.leaving], (["t0"], ["t1"]))


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
            curio.run(PeerTransport._serve_forwarded, transport, "r1", FORWARD)
        self.assertEqual((heads[0].host, heads[0].path), ("rooms.example", "/stays"))

    def test_the_greatest_body_and_answer_fit_with_their_headers(self) -> None:
        headers = tuple((b"h%d" % n, b"v" * 100) for n in range(160))
        largest = bytes(MAX_BODY_BYTES)
        call = encode_call(replace(FORWARD, headers=headers, body=largest))
        self.assertLessEqual(len(call), _peer_calls.MAX_CALL_BYTES)
        reply = encode_reply(ForwardReply(Answer(200, headers, largest)))
        self.assertLessEqual(len(reply), _peer_calls.MAX_REPLY_BYTES)


class FrozenPeerTest(unittest.TestCase):
    """The kernel accepts connections for a frozen process, which sends no nonce."""

    def test_a_call_to_a_frozen_host_lasts_until_the_deadline(self) -> None:
        async def run() -> tuple[bool, float]:
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listener.bind(("127.0.0.1", 0))
            listener.listen(8)
            ip, port = listener.getsockname()
            clock = SystemClock()
            began = clock.monotonic()
            sent = True
            try:
                await call_peer(
                    SECRET,
                    Address(f"{ip}:{port}"),
                    FOR_PEER,
                    timedelta(seconds=DEADLINE_S),
                    connect_timeout=timedelta(milliseconds=100),
                )
            except PeerCallError as error:
                sent = error.sent
            await listener.close()
            return sent, (clock.monotonic() - began).total_seconds()

        sent, took = curio.run(run)
        self.assertFalse(sent)
        self.assertLess(took, WAIT_LIMIT_S)


if __name__ == "__main__":
    unittest.main()
