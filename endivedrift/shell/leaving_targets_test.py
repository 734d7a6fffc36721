"""Tests over real sockets that no request is sent to a target once it is known to be leaving.

Guards against DRAIN: a request that reaches a target after the target has said that it leaves. Time
passes between the choice of a target and the sending, more so on a host that is short of processor
time. What the host has learned meanwhile counts, whatever way the request takes to the target.
"""

import os
import secrets
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any
from unittest import mock

import curio

from endivedrift.core import Address, Answer, Refusal, RequestHead, SystemClock, TargetEntry
from endivedrift.core.effects import SendToTarget
from endivedrift.core.events import TargetsObserved
from endivedrift.reducer import build_host
from endivedrift.shell._metrics import Metrics
from endivedrift.shell._runtime import Runtime
from endivedrift.shell._serving import ServedRequest, ServingContext, serve_request
from endivedrift.shell._targets import TargetPool, TargetRequest
from standins._http_server import StandinReply, StandinRequest, serve_http
from tests.builders import (
    READ_PATH,
    SECRET,
    WRITE_PATH,
    build_config_fetched,
    build_discovered_set,
    build_identity,
    build_target_entry,
)

FIRST_PORT = 20_960


class LeavingTargets:
    """A host and targets in this process; targets leave while a request is on its way to them.

    Attributes:
      ran: Number of requests that reached each target, by its number.
      entries: Registrations in the store, by the number of the target.
      version: Version of the store.
    """

    def __init__(self, count: int) -> None:
        self.ran: dict[int, int] = dict.fromkeys(range(count), 0)
        self.entries: dict[int, TargetEntry] = {}
        self.version = 1
        clock = SystemClock()
        self.runtime = Runtime(build_host(build_identity(), SECRET, 3), clock, Metrics())
        self.pool = TargetPool(clock)
        claims: Any = None
        self.context = ServingContext(self.runtime, self.pool, claims, SECRET)

    async def start(self, ip: str) -> None:
        for number in self.ran:
            port = FIRST_PORT + number
            await curio.spawn(serve_http(ip, port, self._build_handler(number)), daemon=True)
            entry = replace(build_target_entry(number), address=Address(f"{ip}:{port}"))
            self.entries[number] = entry
        await curio.sleep(0.05)
        fetched: Any = build_config_fetched(self.runtime.clock, build_discovered_set())  # type: ignore[arg-type]
        await self.runtime.dispatch(fetched)
        await self.observe()

    def _build_handler(
        self, number: int
    ) -> Callable[[StandinRequest], Awaitable[StandinReply | None]]:
        async def handle(request: StandinRequest) -> StandinReply:
            self.ran[number] += 1
            echo = {"x-request-id": request.headers.get("x-request-id", "")}
            return StandinReply(200, echo, b"whole")

        return handle

    async def observe(self) -> None:
        """Lets the host learn the registrations as they are now."""
        self.version += 1
        now = self.runtime.clock.monotonic()
        entries = tuple(self.entries.values())
        await self.runtime.dispatch(
            TargetsObserved(now, entries, complete=True, version=self.version)
        )

    async def leave(self, address: Address, vanishes: bool) -> None:
        """Lets the target at an address register that it leaves, or remove its registration."""
        number = next(n for n, e in self.entries.items() if e.address == address)
        if vanishes:
            del self.entries[number]
        else:
            self.entries[number] = replace(self.entries[number], leaving=True)
        await self.observe()

    async def serve(self, method: str, path: str) -> ServedRequest:
        request = TargetRequest(method, path.encode(), ((b"host", b"x"),), b"")
        head = RequestHead(method=method, path=path)
        request_id = self.runtime.new_request_id()
        return await serve_request(self.context, request_id, head, request)


class LeavingTargetsTest(unittest.TestCase):
    def run_scenario(
        self, scenario: Callable[[LeavingTargets], Awaitable[None]], count: int = 4
    ) -> LeavingTargets:
        targets = LeavingTargets(count)

        async def run() -> None:
            await targets.start(f"127.{1 + os.getpid() % 250}.{secrets.randbelow(250)}.1")
            await scenario(targets)

        curio.run(run)
        return targets

    def check_connecting(self, method: str, path: str, vanishes: bool = False) -> None:
        """Lets a target leave while the connection to it is opened."""
        left: list[Address] = []

        async def scenario(targets: LeavingTargets) -> None:
            connect = targets.pool._connect

            async def leave_and_connect(address: Address, limit: float) -> Any:
                if not left:
                    left.append(address)
                    await targets.leave(address, vanishes)
                return await connect(address, limit)

            with mock.patch.object(targets.pool, "_connect", leave_and_connect):
                served = await targets.serve(method, path)
            self.assertIsInstance(served.result, Answer)
            outcomes = [end.outcome.value for end in served.attempts]
            self.assertEqual(outcomes, ["withdrawn", "answered"])

        targets = self.run_scenario(scenario)
        self.assertEqual(sum(targets.ran.values()), 1)
        self.assertEqual(targets.runtime.state.requests, {})

    def test_a_target_that_leaves_while_the_connection_opens_gets_no_request(self) -> None:
        for method, path in (("GET", READ_PATH), ("POST", WRITE_PATH)):
            with self.subTest(method):
                self.check_connecting(method, path)

    def test_a_target_whose_registration_vanishes_meanwhile_gets_no_request(self) -> None:
        self.check_connecting("POST", WRITE_PATH, vanishes=True)

    def test_a_kept_connection_is_not_used_once_its_target_leaves(self) -> None:
        async def scenario(targets: LeavingTargets) -> None:
            for _ in range(8):
                await targets.serve("GET", READ_PATH)
            take_idle = targets.pool._take_idle
            left: list[int] = []

            async def leave_and_take(effect: SendToTarget) -> Any:
                if not left:
                    left.append(targets.ran[int(effect.target[1:])])
                    await targets.leave(effect.address, vanishes=False)
                    left.append(int(effect.target[1:]))
                return await take_idle(effect)

            with mock.patch.object(targets.pool, "_take_idle", leave_and_take):
                served = await targets.serve("GET", READ_PATH)
            self.assertIsInstance(served.result, Answer)
            self.assertEqual(targets.ran[left[1]], left[0])

        self.run_scenario(scenario)

    def test_a_request_without_another_target_is_refused_as_not_run(self) -> None:
        async def scenario(targets: LeavingTargets) -> None:
            connect = targets.pool._connect

            async def leave_and_connect(address: Address, limit: float) -> Any:
                await targets.leave(address, vanishes=False)
                return await connect(address, limit)

            with mock.patch.object(targets.pool, "_connect", leave_and_connect):
                served = await targets.serve("POST", WRITE_PATH)
            assert isinstance(served.result, Refusal)
            self.assertEqual(served.result.verdict.value, "not-run")
            self.assertEqual(sum(targets.ran.values()), 0)

        self.run_scenario(scenario, count=1)
