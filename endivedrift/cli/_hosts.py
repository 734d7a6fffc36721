"""Queries to running hosts over their operator addresses."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import curio

from endivedrift.core import Address, Version
from endivedrift.shell.exchange import ExchangeError, exchange

HTTP_OK = 200
HOST_TIMEOUT = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class HostReport:
    """Reply of one host; `body` is None if the host sent no valid reply."""

    address: Address
    body: dict[str, Any] | None


async def ask_hosts(addresses: Sequence[Address], path: str) -> list[HostReport]:
    """Sends the same query to several hosts concurrently.

    Args:
      addresses: Operator addresses.
      path: Path and query of the URL.
    Returns:
      One report for each address, in the same order.
    """
    tasks = [await curio.spawn(_ask_host(address, path)) for address in addresses]
    return [await task.join() for task in tasks]


async def find_hosts(seed: Address) -> list[Address]:
    """Returns the operator addresses of all hosts that one host knows, starting with its own."""
    report = await _ask_host(seed, "/state")
    if report.body is None:
        return [seed]
    members = [m for m in report.body["members"] if m["status"] != "dead"]
    return [seed, *sorted(Address(m["operator_address"]) for m in members)]


def find_greatest_version(reports: Sequence[HostReport]) -> Version:
    """Returns the greatest object set version in force at any host that answered."""
    bodies = [report.body for report in reports if report.body is not None]
    return Version(max((body["config_version"] for body in bodies), default=0))


async def _ask_host(address: Address, path: str) -> HostReport:
    try:
        reply = await exchange(address, "GET", path, b"", HOST_TIMEOUT)
        body = json.loads(reply.body) if reply.status == HTTP_OK else None
        return HostReport(address, body if isinstance(body, dict) else None)
    except (ExchangeError, ValueError):
        return HostReport(address, None)
