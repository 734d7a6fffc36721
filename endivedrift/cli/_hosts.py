"""Questions to live hosts over their operator addresses."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import curio

from endivedrift.core import Address, Version
from endivedrift.shell.exchange import ExchangeError, exchange

TIMEOUT = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class HostReport:
    """What a host said; `body` is None where it gave no answer."""

    address: Address
    body: dict[str, Any] | None


async def ask_hosts(addresses: Sequence[Address], target: str) -> list[HostReport]:
    """Asks several hosts the same at once.

    Args:
      addresses: Operator addresses.
      target: Path and query.
    Returns:
      One report for each address, in the same order.
    """
    tasks = [await curio.spawn(_ask(address, target)) for address in addresses]
    return [await task.join() for task in tasks]


async def find_hosts(seed: Address) -> list[Address]:
    """Returns the operator addresses of the fleet as one host knows it, that host's own first."""
    report = await _ask(seed, "/state")
    if report.body is None:
        return [seed]
    members = [m for m in report.body["members"] if m["status"] != "dead"]
    return [seed, *sorted(Address(m["operator_address"]) for m in members)]


def greatest_version(reports: Sequence[HostReport]) -> Version:
    """Returns the greatest version of an object set in force at any host that answered."""
    bodies = [report.body for report in reports if report.body is not None]
    return Version(max((body["config_version"] for body in bodies), default=0))


async def _ask(address: Address, target: str) -> HostReport:
    try:
        reply = await exchange(address, "GET", target, b"", TIMEOUT)
        return HostReport(address, json.loads(reply.body))
    except (ExchangeError, ValueError):
        return HostReport(address, None)
