"""Starts a whole deployment of separate processes on loopback: platform, targets and hosts.

Each deployment gets its own loopback address, so that ports of several deployments don't collide.
Processes are killed by their ids.
"""

import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

import curio
from expression import Result

from endivedrift.core import Address
from endivedrift.objects import (
    ObjectSet,
    Target,
    check_sources,
    describe_object_set,
    read_directory,
)
from endivedrift.shell.exchange import ExchangeError, HttpReply, exchange

FIRST_PORT = 20_000
FLEET_KEY = "a-key-for-stand-ins-only"
DEPLOYMENT = "standin"
POLL_S = 0.05
TOOL_COMMAND = (sys.executable, "-c", "from endivedrift.cli import main; main()")


@dataclass(frozen=True, slots=True)
class HostProcess:
    """A host's process with its addresses and its settings file."""

    name: str
    failure_domain: str
    callers: Address
    peers: Address
    operators: Address
    settings: Path
    process: subprocess.Popen[bytes]


@dataclass(slots=True)
class Fleet:
    """A running deployment.

    Attributes:
      ip: Loopback address of all its processes.
      directory: Temporary directory with settings, records and logs.
      entry_max_age_s: Time for which callers may cache an entry answer.
      drain_s: Time that a stopping host has to finish requests after it accepts no new ones.
      next_port: Last port that was tried; the search for a free one starts after it.
      processes: All processes started so far.
      targets: Stand-in address of each target, by name.
      target_processes: Process of each target, by name.
      hosts: Hosts by name, including stopped ones.
      platform: Address of the platform's stand-in.
    """

    ip: str
    directory: Path
    entry_max_age_s: float = 1.0
    drain_s: float = 150.0
    next_port: int = FIRST_PORT
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    targets: dict[str, Address] = field(default_factory=dict)
    target_processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    hosts: dict[str, HostProcess] = field(default_factory=dict)
    platform: Address = Address("")

    def take_port(self) -> int:
        """Returns a port on which nothing listens, a different one each time."""
        while True:
            self.next_port += 1
            with socket.socket() as probe:
                try:
                    probe.bind((self.ip, self.next_port))
                    return self.next_port
                except OSError:
                    continue

    def start_platform(self) -> None:
        """Starts the platform's stand-in."""
        port = self.take_port()
        self.platform = Address(f"{self.ip}:{port}")
        self.start_module("platform", "standins.platform", "--ip", self.ip, "--port", str(port))
        self.wait_listening(self.platform)

    def start_targets(self, objects: ObjectSet, *arguments: str) -> ObjectSet:
        """Starts a process for each target and returns the object set with their addresses."""
        groups = {}
        for name, group in objects.upstream_group.items():
            targets = tuple(self._start_target(target, arguments) for target in group.targets)
            groups[name] = replace(group, targets=targets)
        for address in self.targets.values():
            self.wait_listening(address)
        return replace(objects, upstream_group=groups)

    def start_host(
        self, name: str, failure_domain: str, seeds: list[Address] | None = None
    ) -> HostProcess:
        """Starts a host; its seeds are the hosts started before unless `seeds` is given."""
        seed_addresses = [host.peers for host in self.hosts.values()] if seeds is None else seeds
        callers, peers, operators = (Address(f"{self.ip}:{self.take_port()}") for _ in range(3))
        settings = self.directory / f"{name}.toml"
        settings.write_text(
            f'[host]\nid = "{name}"\nfailure_domain = "{failure_domain}"\nregion = "test"\n'
            f'[listen]\ncallers = "{callers}"\npeers = "{peers}"\noperators = "{operators}"\n'
            f'[platform]\ntable = "{self.platform}"\nobjects = "{self.platform}"\n'
            f'hosts = "{self.platform}"\n'
            f'[fleet]\ndeployment = "{DEPLOYMENT}"\nkey = "{FLEET_KEY}"\n'
            f"seeds = {json.dumps(seed_addresses)}\n"
            f"[limits]\nentry_max_age_s = {self.entry_max_age_s}\ndrain_s = {self.drain_s}\n",
            "utf-8",
        )
        process = self.start_module(name, "endivedrift.daemon", "--settings", str(settings))
        host = HostProcess(name, failure_domain, callers, peers, operators, settings, process)
        self.hosts[name] = host
        self.wait_listening(callers)
        return host

    def restart_host(self, name: str) -> HostProcess:
        """Starts a new process with the same settings for a host that has stopped."""
        old = self.hosts[name]
        process = self.start_module(name, "endivedrift.daemon", "--settings", str(old.settings))
        self.hosts[name] = replace(old, process=process)
        self.wait_listening(old.callers)
        return self.hosts[name]

    def publish(self, objects: ObjectSet, *options: str) -> int:
        """Publishes an object set with the command-line tool and returns the exit status."""
        directory = self.directory / f"objects-{secrets.token_hex(4)}"
        write_object_set(objects, directory)
        return self.run_tool("publish", str(directory), "--author", "test", *options).returncode

    def run_tool(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs the command-line tool and waits until it exits."""
        return subprocess.run(
            [*TOOL_COMMAND, *arguments, "-c", str(self.write_tool_config())],
            capture_output=True,
            text=True,
            check=False,
        )

    def write_tool_config(self) -> Path:
        """Writes the command-line tool's configuration and returns its path."""
        path = self.directory / "tool.toml"
        host = next(iter(self.hosts.values())).operators if self.hosts else ""
        path.write_text(
            f'deployment = "{DEPLOYMENT}"\ntable = "{self.platform}"\n'
            f'objects = "{self.platform}"\nhost = "{host}"\n',
            "utf-8",
        )
        return path

    def call(self, address: Address, method: str, target: str, body: Any = None) -> HttpReply:
        """Sends one HTTP request, with a JSON body if one is given, to any process."""
        data = b"" if body is None else json.dumps(body).encode()
        return curio.run(exchange, address, method, target, data, timedelta(seconds=5))

    def set_target_faults(self, name: str, **faults: Any) -> None:
        """Sets a target's faults and clears those that are not given."""
        self.call(self.targets[name], "PUT", "/control/faults", faults)

    def set_platform_faults(self, **faults: Any) -> None:
        """Sets the platform's faults and clears those that are not given."""
        self.call(self.platform, "PUT", "/control/faults", faults)

    def list_runs(self) -> list[list[str]]:
        """Returns the requests that ran at all targets: method, path, key and attempt id."""
        lines = [
            line
            for path in sorted(self.directory.glob("*.record"))
            for line in path.read_text("utf-8").splitlines()
        ]
        return [json.loads(line) for line in lines]

    def read_state(self, host: HostProcess) -> dict[str, Any]:
        """Returns a host's state, or an empty dictionary if it doesn't answer."""
        try:
            return json.loads(self.call(host.operators, "GET", "/state").body)
        except ExchangeError:
            return {}

    def wait_until(self, condition: str, check: Any, seconds: float = 30.0) -> None:
        """Waits until a check passes.

        Raises:
          TimeoutError: If it doesn't pass in time.
        """
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            if check():
                return
            time.sleep(POLL_S)
        raise TimeoutError(f"timed out after {seconds} s waiting for: {condition}")

    def wait_version(self, version: int, seconds: float = 30.0) -> None:
        """Waits until all running hosts have the version or a newer one in force."""
        self.wait_until(
            f"version {version} in force",
            lambda: all(
                self.read_state(host).get("config_version", 0) >= version
                for host in self.list_running_hosts()
            ),
            seconds,
        )

    def wait_members(self, seconds: float = 30.0) -> None:
        """Waits until all running hosts report each other as alive."""
        names = {host.name for host in self.list_running_hosts()}

        def all_alive() -> bool:
            for host in self.list_running_hosts():
                members = self.read_state(host).get("members", [])
                alive = {m["host"] for m in members if m["status"] == "alive"}
                if alive | {host.name} < names:
                    return False
            return True

        self.wait_until("members known", all_alive, seconds)

    def list_running_hosts(self) -> list[HostProcess]:
        """Returns the hosts whose processes are running."""
        return [host for host in self.hosts.values() if host.process.poll() is None]

    def wait_listening(self, address: Address) -> None:
        """Waits until a process accepts connections."""
        ip, _, port = address.rpartition(":")

        def accepts() -> bool:
            with socket.socket() as probe:
                return probe.connect_ex((ip, int(port))) == 0

        self.wait_until(f"{address} listening", accepts)

    def stop(self) -> None:
        """Kills all processes that are still running, also suspended ones."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def _start_target(self, target: Target, arguments: tuple[str, ...]) -> Target:
        port = self.take_port()
        address = Address(f"{self.ip}:{port}")
        process = self.start_module(
            f"target-{target.name}",
            "standins.target",
            "--ip",
            self.ip,
            "--ports",
            str(port),
            "--record",
            str(self.directory / f"{target.name}.record"),
            *arguments,
        )
        self.targets[target.name] = address
        self.target_processes[target.name] = process
        return replace(target, address=address)

    def start_module(self, name: str, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Starts a Python module as a process whose output is appended to a log file."""
        log = (self.directory / f"{name}.log").open("ab")
        root = Path(__file__).resolve().parent.parent
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], stdout=log, stderr=log, cwd=root
        )
        log.close()
        self.processes.append(process)
        return process


def open_fleet(entry_max_age_s: float = 1.0) -> Fleet:
    """Returns a deployment with its own loopback address, without any process."""
    ip = f"127.{1 + os.getpid() % 250}.{secrets.randbelow(250)}.{1 + secrets.randbelow(250)}"
    return Fleet(ip, Path(tempfile.mkdtemp(prefix="endivedrift-")), entry_max_age_s)


def load_example(name: str) -> ObjectSet:
    """Reads an example object set.

    Raises:
      ValueError: If it is invalid.
    """
    directory = Path(__file__).resolve().parent.parent / "examples" / name
    match read_directory(directory).bind(check_sources):
        case Result(tag="ok", ok=objects):
            return objects
        case Result(tag="error", error=faults):
            raise ValueError("; ".join(str(fault) for fault in faults))
    raise AssertionError("a result is either ok or an error")


def write_object_set(objects: ObjectSet, directory: Path) -> None:
    """Writes an object set as a TOML file that `endivedrift publish` reads."""
    directory.mkdir(parents=True, exist_ok=True)
    lines = []
    for kind, named in describe_object_set(objects).items():
        for name, body in named.items():
            lines.append(f"[{kind}.{name}]")
            lines += [f"{field_name} = {_format_toml(value)}" for field_name, value in body.items()]
    (directory / "objects.toml").write_text("\n".join(lines) + "\n", "utf-8")


def _format_toml(value: Any) -> str:
    if isinstance(value, dict):
        inner = ", ".join(f"{name} = {_format_toml(member)}" for name, member in value.items())
        return f"{{ {inner} }}"
    if isinstance(value, list):
        return f"[{', '.join(_format_toml(member) for member in value)}]"
    return json.dumps(value)
