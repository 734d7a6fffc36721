"""Tests over real sockets that a host that is silent does not hold up what others know.

Guards against CONFIG: an older version that stays in force while a host waits for one that has lost
power, or is frozen, and whose connections are still accepted.
"""

import unittest
from datetime import timedelta
from typing import Any
from unittest import mock

import curio
from curio import socket

from endivedrift.core import Address, SystemClock
from endivedrift.core.effects import FetchConfig, FetchTargets
from endivedrift.core.events import TargetsObserved
from endivedrift.reducer import build_host
from endivedrift.settings import LimitsSection
from endivedrift.shell import _peers
from endivedrift.shell._metrics import Metrics
from endivedrift.shell._peer_calls import NONCE_BYTES
from endivedrift.shell._peers import PeerTransport
from endivedrift.shell._runtime import Runtime
from endivedrift.shell._serving import ServingContext
from endivedrift.shell._targets import TargetPool
from tests.builders import (
    SECRET,
    build_config_fetched,
    build_discovered_set,
    build_identity,
    build_target_entry,
)

LONG = timedelta(minutes=10)
WAIT_LIMIT_S = 30.0
"""Limit for what takes half a second, far beyond any delay of a busy machine, and below LONG."""


async def read_nothing(digest: object) -> bytes | None:
    return None


class Host:
    """A host that only exchanges messages with others."""

    def __init__(self, name: str) -> None:
        clock = SystemClock()
        self.runtime = Runtime(build_host(build_identity(name), SECRET, 1), clock, Metrics())
        claims: Any = None
        context = ServingContext(self.runtime, TargetPool(clock), claims, SECRET)
        self.transport = PeerTransport(
            context, Address("127.0.0.1:0"), read_nothing, LimitsSection()
        )
        ip, port = self.transport._tcp.getsockname()
        self.address = Address(f"{ip}:{port}")


class SilentPeerTest(unittest.TestCase):
    async def start(self) -> tuple[Host, Host, Address]:
        """Starts a host, one that knows a set and targets, and one whose process stands still."""
        asker, knowing = Host("h1"), Host("h2")
        fetched: Any = build_config_fetched(self.clock, build_discovered_set(), 9)  # type: ignore[arg-type]
        await knowing.transport.install(fetched)
        observed = TargetsObserved(
            self.clock.monotonic(), (build_target_entry(1),), complete=True, version=3
        )
        await knowing.runtime.dispatch(observed)
        await curio.spawn(knowing.transport.accept(), daemon=True)
        self.silent = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.silent.bind(("127.0.0.1", 0))
        self.silent.listen(8)
        ip, port = self.silent.getsockname()
        return asker, knowing, Address(f"{ip}:{port}")

    async def start_greeting_host(self) -> Address:
        """Starts a host that greets those that call it, and then stands still."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)

        async def greet() -> None:
            while True:
                sock, _ = await listener.accept()
                self.greeted.append(sock)
                await sock.sendall(bytes(NONCE_BYTES))

        await curio.spawn(greet, daemon=True)
        ip, port = listener.getsockname()
        return Address(f"{ip}:{port}")

    def setUp(self) -> None:
        self.clock = SystemClock()
        self.greeted: list[socket.socket] = []
        self.enterContext(mock.patch.object(_peers, "FETCH_TIMEOUT", LONG))

    def test_a_new_object_set_is_fetched_from_the_next_host(self) -> None:
        async def run() -> None:
            asker, knowing, silent = await self.start()
            config = knowing.runtime.state.config
            effect = FetchConfig(config, (silent, knowing.address))
            async with curio.timeout_after(WAIT_LIMIT_S):
                await asker.transport.fetch_config(effect)
            self.assertEqual(asker.runtime.state.config, config)

        curio.run(run)

    def test_targets_are_fetched_from_the_next_host(self) -> None:
        async def run() -> None:
            asker, knowing, silent = await self.start()
            async with curio.timeout_after(WAIT_LIMIT_S):
                await asker.transport.fetch_targets(FetchTargets((silent, knowing.address)))
            self.assertEqual(set(asker.runtime.state.discovered), {"t1"})

        curio.run(run)

    # Guards against CONFIG: a host that stood still after its greeting held up the fetch.
    def test_a_new_object_set_is_fetched_though_a_host_stands_still_after_its_greeting(
        self,
    ) -> None:
        async def run() -> None:
            asker, knowing, _ = await self.start()
            greeting = await self.start_greeting_host()
            config = knowing.runtime.state.config
            effect = FetchConfig(config, (greeting, knowing.address))
            async with curio.timeout_after(WAIT_LIMIT_S):
                await asker.transport.fetch_config(effect)
            self.assertEqual(asker.runtime.state.config, config)
            self.assertTrue(self.greeted)

        curio.run(run)

    # Guards against DRAIN: the same for targets whose changes were missed.
    def test_targets_are_fetched_though_a_host_stands_still_after_its_greeting(self) -> None:
        async def run() -> None:
            asker, knowing, _ = await self.start()
            greeting = await self.start_greeting_host()
            async with curio.timeout_after(WAIT_LIMIT_S):
                await asker.transport.fetch_targets(FetchTargets((greeting, knowing.address)))
            self.assertEqual(set(asker.runtime.state.discovered), {"t1"})
            self.assertTrue(self.greeted)

        curio.run(run)
