"""Real hosts on the platform's interface, with store and targets stood in for."""

import os
import secrets
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from pathlib import Path

import curio

from endivedrift.core import Address
from endivedrift.shell.exchange import ExchangeError, HttpReply, exchange
from standins._http_server import serve_http
from standins.platform_store import StoreStandin
from standins.platform_target import PlatformTargetStandin
from tests.platform_builders import LISTENER_HOST, build_configuration, build_entry, build_node_file

ROOT = Path(__file__).resolve().parent.parent
FIRST_PORT = 21_000
PATIENCE_S = 20.0
STORE_PORT = 20_900
CALL_TIMEOUT = timedelta(seconds=5)


class PlatformPath:
    """A store, two targets and two hosts on addresses of their own."""

    def __init__(self) -> None:
        self.net = f"127.{1 + os.getpid() % 250}.{secrets.randbelow(250)}"
        self.store = StoreStandin()
        self.targets = {name: PlatformTargetStandin(name) for name in ("i-1", "i-2")}
        self.directory = Path(tempfile.mkdtemp(prefix="endivedrift-"))
        self.hosts: dict[str, subprocess.Popen[bytes]] = {}

    async def start(self) -> None:
        """Starts everything and waits until both hosts are ready."""
        await curio.spawn(serve_http(f"{self.net}.1", STORE_PORT, self.store.handle), daemon=True)
        self.store.write("op", "config", build_configuration())
        for number, (name, target) in enumerate(self.targets.items()):
            await curio.spawn(
                serve_http(f"{self.net}.1", 20_000 + number, target.handle), daemon=True
            )
            address = f"{self.net}.1:{20_000 + number}"
            self.store.write("servers", name, build_entry(address))
        for ip in (f"{self.net}.2", f"{self.net}.3"):
            self.start_host(ip)
        for ip in self.hosts:
            await self.wait(partial(self.is_ready, ip))

    def start_host(self, ip: str) -> None:
        """Starts a host, or starts it again."""
        node_file = self.directory / f"{ip}.toml"
        seeds = [f"{self.net}.2", f"{self.net}.3"]
        text = build_node_file(ip, f"{self.net}.1:{STORE_PORT}", seeds, FIRST_PORT)
        node_file.write_text(text, "utf-8")
        self.launch(ip, node_file)

    def launch(self, ip: str, node_file: Path) -> None:
        """Starts a host's process with its settings file."""
        with (self.directory / f"{ip}.log").open("ab") as log:
            self.hosts[ip] = subprocess.Popen(
                [sys.executable, "-m", "endivedrift.platform"],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "ENDIVEDRIFT_NODE_FILE": str(node_file)},
            )

    def stop(self) -> None:
        """Ends the hosts that were started here."""
        for process in self.hosts.values():
            process.kill()
            process.wait()

    async def wait(self, holds: Callable[[], Awaitable[bool]]) -> None:
        """Waits until something holds."""
        async with curio.timeout_after(PATIENCE_S):
            while not await holds():
                await curio.sleep(0.05)

    async def is_ready(self, ip: str) -> bool:
        """Tells whether a host says that it takes requests."""
        try:
            return (await self.ask(ip, 1, "/endivedrift/readiness")).status == 200
        except ExchangeError:
            return False

    async def ask(self, ip: str, offset: int, path: str) -> HttpReply:
        """Asks one of a host's addresses, `offset` ports above its first."""
        address = Address(f"{ip}:{FIRST_PORT + offset}")
        return await exchange(address, "GET", path, b"", CALL_TIMEOUT)

    async def call(
        self, ip: str, method: str, path: str, attempt: str, body: bytes = b""
    ) -> HttpReply:
        """Sends a caller's request to a host."""
        headers = (
            (b"endivedrift-attempt-id", attempt.encode()),
            (b"endivedrift-deadline-ms", b"2000"),
        )
        return await exchange(
            Address(f"{ip}:{FIRST_PORT}"), method, path, body, CALL_TIMEOUT, headers, LISTENER_HOST
        )
