"""A small fleet on the platform's interface: real hosts with stand-ins for store and targets."""

import itertools
import json
import os
import secrets
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import Any

import curio

from endivedrift.core import Address, Headers
from endivedrift.shell.exchange import ExchangeError, HttpReply, exchange
from standins._http_server import serve_http
from standins.platform_store import StoreStandin
from standins.platform_target import DeadlyArrival, PlatformTargetStandin
from tests.platform_builders import LISTENER_HOST, build_configuration, build_entry, build_node_file

ROOT = Path(__file__).resolve().parent.parent
FIRST_PORT = 21_000
OPERATORS_OFFSET = 9
"""Port of metrics and state of a host, above its first port."""
WAIT_TIMEOUT_S = 20.0
STORE_PORT = 20_900
TARGET_AWAY_S = 1.5
"""Time from the end of a target to the start of the next one at its address."""
ENTRY_EXPIRY_S = 3.4
"""Time after which the platform removes the entry of a target that has ended."""
TOLERATED_ENDS = 3
"""Number of targets that a request ends before it is kept from them."""
SPREAD_S = 3.0
"""Time from the last of these ends within which all hosts must know of it."""
MAX_LATER_ARRIVALS = 3
"""Limit on arrivals of the request at targets after that time, over the whole fleet."""
CALL_TIMEOUT = timedelta(seconds=5)


class PlatformFleet:
    """Runs a store, targets and hosts, each host on a loopback address of its own.

    A target that a deadly request ends is away for a while, then another runs at its address.

    Attributes:
      subnet: The first three numbers of all addresses; random, so that runs don't share addresses.
      store: The store.
      targets: The targets by id, including those that have ended.
      ends: Path and time of each end of a target by a deadly request.
      directory: Holds node files and logs of the hosts.
      hosts: The processes of the hosts by address.
      sources: Directory of the program of a host, if it is not the one of these tests, by address.
    """

    def __init__(self, host_count: int = 2, target_count: int = 2) -> None:
        self.host_count = host_count
        self.subnet = f"127.{1 + os.getpid() % 250}.{secrets.randbelow(250)}"
        self.store = StoreStandin()
        names = [f"i-{1 + number}" for number in range(target_count)]
        self.targets = {name: PlatformTargetStandin(name) for name in names}
        self.ends: list[tuple[str, float]] = []
        self.directory = Path(tempfile.mkdtemp(prefix="endivedrift-"))
        self.hosts: dict[str, subprocess.Popen[bytes]] = {}
        self.sources: dict[str, Path] = {}

    async def start(self) -> None:
        """Starts store, targets and hosts and waits until all hosts are ready."""
        await curio.spawn(
            serve_http(f"{self.subnet}.1", STORE_PORT, self.store.handle), daemon=True
        )
        self.write_first_configuration()
        for number, (name, target) in enumerate(self.targets.items()):
            self.store.write("servers", name, build_entry(f"{self.subnet}.1:{20_000 + number}"))
            await curio.spawn(self._run_targets(target, 20_000 + number), daemon=True)
        for number in range(self.host_count):
            self.start_host(f"{self.subnet}.{2 + number}")
        for ip in self.hosts:
            await self.poll_until(partial(self.is_ready, ip))

    def write_first_configuration(self) -> None:
        """Writes the configuration that the hosts start with."""
        self.store.write("op", "config", build_configuration())

    async def _run_targets(self, target: PlatformTargetStandin, port: int) -> None:
        """Runs one target after the other at an address, each until a request ends it."""
        ip, first_name = f"{self.subnet}.1", target.name
        for restarts in itertools.count(1):
            serving = await curio.spawn(serve_http(ip, port, target.handle), daemon=True)
            await target.end.wait()
            await self.end_target(serving, target)
            name = f"{first_name}-{restarts}"
            target = self.targets[name] = PlatformTargetStandin(name)
            entry = build_entry(f"{ip}:{port}")
            self.store.write("servers", name, {**entry, "born": entry["born"] + restarts})

    async def end_target(self, serving: curio.Task, target: PlatformTargetStandin) -> None:
        """Closes address and connections of a target that ends; waits until another may start."""
        await serving.cancel()
        self.ends.append((target.ended_by, time.monotonic()))
        await curio.spawn(self._remove_entry(target.name), daemon=True)
        await curio.sleep(TARGET_AWAY_S)

    async def _remove_entry(self, name: str) -> None:
        await curio.sleep(ENTRY_EXPIRY_S)
        self.store.remove("servers", name)

    def list_later_arrivals(self, path: str) -> list[tuple[float, DeadlyArrival]]:
        """Returns the arrivals of a deadly request at targets after it should be kept from them.

        Returns:
          Each later than `SPREAD_S` after the last tolerated end, with the time after that end.
        """
        ends = sorted(at for ended_by, at in self.ends if ended_by == path)
        if len(ends) < TOLERATED_ENDS:
            return []
        arrivals = [a for t in self.targets.values() for a in t.deadly_arrivals if a.path == path]
        delays = sorted((a.at - ends[TOLERATED_ENDS - 1], a) for a in arrivals)
        return [(delay_s, arrival) for delay_s, arrival in delays if delay_s > SPREAD_S]

    def start_host(self, ip: str) -> None:
        """Starts or restarts a host."""
        node_file = self.directory / f"{ip}.toml"
        node_file.write_text(self.build_node_text(ip), "utf-8")
        self.launch(ip, node_file)

    def build_node_text(self, ip: str) -> str:
        """Returns the text of the node file of a host."""
        seeds = [f"{self.subnet}.{2 + number}" for number in range(self.host_count)]
        return build_node_file(ip, f"{self.subnet}.1:{STORE_PORT}", seeds, FIRST_PORT)

    def launch(self, ip: str, node_file: Path) -> None:
        """Starts the process of a host with its node file."""
        self.run_host(ip, node_file, "-m", "endivedrift.platform")

    def run_host(self, ip: str, node_file: Path, *arguments: str, **environment: str) -> None:
        """Runs Python for a host, in the directory of its program, and keeps its log.

        Args:
          ip: Address of the host.
          node_file: Its node file.
          arguments: What Python runs.
          environment: Variables besides those of this process.
        """
        with (self.directory / f"{ip}.log").open("ab") as log:
            self.hosts[ip] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                cwd=self.sources.get(ip, ROOT),
                env={**os.environ, "ENDIVEDRIFT_NODE_FILE": str(node_file), **environment},
            )

    def stop(self) -> None:
        """Kills all hosts of this fleet."""
        for process in self.hosts.values():
            process.kill()
            process.wait()

    async def poll_until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Polls until a condition holds.

        Args:
          condition: Tells whether it holds.
        Raises:
          curio.TaskTimeout: If it doesn't hold within `WAIT_TIMEOUT_S`.
        """
        async with curio.timeout_after(WAIT_TIMEOUT_S):
            while not await condition():
                await curio.sleep(0.05)

    async def is_ready(self, ip: str) -> bool:
        """Tells whether a host reports that it is ready."""
        try:
            return (await self.query(ip, 1, "/endivedrift/readiness")).status == 200
        except ExchangeError:
            return False

    async def query(self, ip: str, offset: int, path: str) -> HttpReply:
        """Sends a GET request to the port of a host that is `offset` above its first."""
        address = Address(f"{ip}:{FIRST_PORT + offset}")
        return await exchange(address, "GET", path, b"", CALL_TIMEOUT)

    async def read_state(self, ip: str) -> dict[str, Any]:
        """Returns what a host tells operators of its state."""
        state: dict[str, Any] = json.loads((await self.query(ip, OPERATORS_OFFSET, "/state")).body)
        return state

    async def list_known_targets(self, ip: str) -> set[str]:
        """Returns the targets that a host knows."""
        services = (await self.read_state(ip))["services"].values()
        return {name for service in services for name in service["targets"]}

    async def call(
        self,
        ip: str,
        method: str,
        path: str,
        attempt_id: str,
        body: bytes = b"",
        more_headers: Headers = (),
    ) -> HttpReply:
        """Sends a caller's request to a host."""
        headers = (
            (b"endivedrift-attempt-id", attempt_id.encode()),
            (b"endivedrift-deadline-ms", b"2000"),
            *more_headers,
        )
        return await exchange(
            Address(f"{ip}:{FIRST_PORT}"), method, path, body, CALL_TIMEOUT, headers, LISTENER_HOST
        )
