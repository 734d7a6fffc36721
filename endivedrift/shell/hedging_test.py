"""Tests over real sockets that only one attempt of a hedged request is left at its end.

Guards against connections of losing attempts that stay open, at which targets go on working.
"""

import contextlib
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from datetime import timedelta
from typing import Any
from unittest import mock

import curio
from curio import socket

from endivedrift.core import Address, Answer, RequestHead, RouteName, SystemClock
from endivedrift.objects import HedgeRule, ObjectSet
from endivedrift.policy import TokenBucket
from endivedrift.policy._hedging import MIN_SAMPLES, RouteHedging
from endivedrift.reducer import build_host
from endivedrift.shell import _request_log
from endivedrift.shell._metrics import Metrics
from endivedrift.shell._request_log import log_request
from endivedrift.shell._runtime import Runtime
from endivedrift.shell._serving import ServedRequest, ServingContext, serve_request
from endivedrift.shell._targets import TargetPool, TargetRequest
from tests.builders import (
    READ_PATH,
    SECRET,
    SERVICE,
    build_config_fetched,
    build_identity,
    build_object_set,
)

DELAY_S = 0.05
WAIT_LIMIT_S = 20.0
"""Limit for an event that comes at once, far beyond any delay of a busy machine."""


class HeldTargets:
    """Two targets that get one attempt each, of which only the `answering`th ever answers.

    Attributes:
      arrived: How many attempts have arrived.
      closed: Released each time that the host closes the connection of an attempt.
    """

    def __init__(self, answering: int | None) -> None:
        self.answering = answering
        self.arrived = 0
        self.both_arrived = curio.Event()
        self.closed = curio.Semaphore(0)
        self.listeners = [socket.socket(socket.AF_INET, socket.SOCK_STREAM) for _ in range(2)]
        for listener in self.listeners:
            listener.bind(("127.0.0.1", 0))
            listener.listen(8)

    async def serve(self, listener: socket.socket) -> None:
        while True:
            sock, _ = await listener.accept()
            await curio.spawn(self.handle(sock), daemon=True)

    async def handle(self, sock: socket.socket) -> None:
        await sock.recv(65_536)
        number = self.arrived
        self.arrived += 1
        if self.arrived == 2:
            await self.both_arrived.set()
        await self.both_arrived.wait()
        if number == self.answering:
            await sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole")
        with contextlib.suppress(OSError):
            while await sock.recv(65_536):
                pass
        await self.closed.release()
        await sock.close()

    def build_set(self) -> ObjectSet:
        objects = build_object_set(targets=2)
        group = objects.upstream_group["group"]
        targets = tuple(
            replace(target, address=Address("{}:{}".format(*listener.getsockname())))
            for target, listener in zip(group.targets, self.listeners, strict=True)
        )
        read = replace(objects.route["read"], deadline_ms=60_000)
        return replace(
            objects,
            route={**objects.route, "read": read},
            service={SERVICE: replace(objects.service[SERVICE], hedge_rule="h")},
            hedge_rule={"h": HedgeRule(max_extra_share=1.0)},
            upstream_group={"group": replace(group, targets=targets)},
        )


class LosingConnectionTest(unittest.TestCase):
    def run_request(
        self,
        answering: int | None,
        check: Callable[[HeldTargets, Runtime, curio.Task], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            targets = HeldTargets(answering)
            for listener in targets.listeners:
                await curio.spawn(targets.serve(listener), daemon=True)
            clock = SystemClock()
            runtime = Runtime(build_host(build_identity(), SECRET, 1), clock, Metrics())
            fetched: Any = build_config_fetched(clock, targets.build_set())  # type: ignore[arg-type]
            await runtime.dispatch(fetched)
            (service,) = runtime.state.services.values()
            assert service.hedging is not None
            budget = TokenBucket(2.0, 0.0, 2.0, clock.monotonic())
            service.hedging.routes[RouteName("read")] = RouteHedging(
                budget, 0.1, [], MIN_SAMPLES, DELAY_S, DELAY_S, DELAY_S, clock.monotonic()
            )
            claims: Any = None
            context = ServingContext(runtime, TargetPool(clock), claims, SECRET)
            request = TargetRequest("GET", READ_PATH.encode(), ((b"host", b"x"),), b"")
            head = RequestHead(method="GET", path=READ_PATH)
            request_id = runtime.new_request_id()
            serving = await curio.spawn(serve_request, context, request_id, head, request)
            async with curio.timeout_after(WAIT_LIMIT_S):
                await check(targets, runtime, serving)
            self.assertEqual(runtime.state.requests, {})
            self.assertEqual(runtime.mailboxes, {})
            self.assertFalse(any(record.attempts for record in service.targets.values()))

        curio.run(run)

    def check_winner(self, answering: int, hedge_outcome: str) -> ServedRequest:
        result: list[ServedRequest] = []

        async def check(targets: HeldTargets, runtime: Runtime, serving: curio.Task) -> None:
            served = await serving.join()
            # A target that does not echo the request id gets a connection for each request, so that
            # the winner's is closed too.
            await targets.closed.acquire()
            await targets.closed.acquire()
            self.assertEqual(runtime.metrics.hedges, {(SERVICE, hedge_outcome): 1})
            self.assertEqual(sum(runtime.metrics.attempts.values()), 2)
            result.append(served)

        self.run_request(answering, check)
        answer = result[0].result
        assert isinstance(answer, Answer)
        self.assertEqual(answer.body, b"whole")
        return result[0]

    def test_the_first_attempt_is_closed_if_the_hedge_wins(self) -> None:
        served = self.check_winner(1, "answered")
        self.assertEqual([end.is_hedge for end in served.attempts], [True, False])
        with mock.patch.object(_request_log, "_log") as log:
            head = RequestHead(method="GET", path=READ_PATH)
            log_request("r", None, head, SERVICE, served, timedelta(0), timedelta(0), True)  # type: ignore[arg-type]
        fields = log.info.call_args.kwargs
        self.assertEqual(fields["won"], served.attempts[0].target)
        self.assertTrue(fields["attempts"][0].endswith(", hedge"), fields)

    def test_the_hedge_is_closed_if_the_first_attempt_wins(self) -> None:
        served = self.check_winner(0, "cancelled")
        self.assertEqual([end.is_hedge for end in served.attempts], [False, True])

    def test_both_are_closed_if_the_caller_disconnects(self) -> None:
        async def check(targets: HeldTargets, runtime: Runtime, serving: curio.Task) -> None:
            await targets.both_arrived.wait()
            await serving.cancel()
            await targets.closed.acquire()
            await targets.closed.acquire()

        self.run_request(None, check)


if __name__ == "__main__":
    unittest.main()
