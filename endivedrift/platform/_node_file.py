"""The settings file that the platform gives each process."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from endivedrift.core import Address
from endivedrift.objects import FleetBounds
from endivedrift.platform._values import WireError, read_duration, read_field
from endivedrift.settings import (
    FleetSection,
    HostSection,
    LimitsSection,
    ListenSection,
    LogSection,
    PlatformSection,
    Settings,
)

DEPLOYMENT = "endivedrift"
ENTRY_MAX_AGE_S = 1.0
"""Time for which callers keep an entry answer: short, since some keep one three times as long and a
stopping host has to outlast them within its grace period."""
LEAVE_SHARE = 0.55
"""Part of the grace period in which a stopping host takes new requests: it outlasts the entry
answers, and the rest is longer than the usual deadline of a request."""
EXIT_MARGIN_S = 0.3
"""Time before the end of the grace period at which a stopping host is gone at the latest."""
MBPS_PER_CORE = 10.0
"""Bandwidth that one core of requests fills: 700 a second of the users' usual 1.5 KB."""
OPERATORS_PORT_VARIABLE = "ENDIVEDRIFT_METRICS_PORT"
"""Variable with the port for metrics and state; by default, the last of the internal ports."""


@dataclass(frozen=True, slots=True)
class NodeFile:
    """What the settings file tells.

    Attributes:
      settings: The host's settings in the project's own form.
      bounds: Bounds that hold for the fleet.
      store: Address of the platform's store.
      readiness, entry, internal: Addresses of the platform's other questions.
    """

    settings: Settings
    bounds: FleetBounds
    store: Address
    readiness: Address
    entry: Address
    internal: Address


def read_node_file(path: Path) -> NodeFile:
    """Reads the settings file.

    Raises:
      WireError: If it cannot be read or lacks a field.
    """
    try:
        document = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise WireError(f"{path}: {error}") from None
    store = read_field(document, "platform.address", str)
    zones = read_field(document, "zones", dict)
    bounds = FleetBounds(
        retry_ratio=read_field(document, "bounds.retryBudgetRatio", (int, float)),
        retry_burst=read_field(document, "bounds.budgetSlack", (int, float)),
        floor_share=read_field(document, "bounds.floorShare", (int, float)),
        entry_hosts=max(1, len(zones)),
    )
    return NodeFile(
        settings=_build_settings(document, store),
        bounds=bounds,
        store=Address(store),
        readiness=Address(read_field(document, "listen.ready", str)),
        entry=Address(read_field(document, "listen.directory", str)),
        internal=Address(read_field(document, "listen.control", str)),
    )


def _read_power(document: dict[str, Any]) -> float:
    """Reads the processor power that one thread has in cores, or what the link can carry of it.

    `cores` is not read: requests of one host are served by one thread.
    """
    number = (int, float)
    power: float = read_field(document, "limits.cpuShare", number)
    link: float = read_field(document, "limits.linkMbps", number)
    return min(power, link / MBPS_PER_CORE)


def _build_settings(document: dict[str, Any], store: str) -> Settings:
    grace = read_duration(read_field(document, "bounds.grace", str), "bounds.grace").total_seconds()
    ip = read_field(document, "ip", str)
    ports = read_field(document, "internalPortRange", list)
    peer_port = ports[0]
    operators_port = os.environ.get(OPERATORS_PORT_VARIABLE, ports[-1])
    seeds = tuple(f"{seed.rpartition(':')[0]}:{peer_port}" for seed in document.get("seeds", ()))
    leave_wait = grace * LEAVE_SHARE
    return Settings(
        host=HostSection(
            id=read_field(document, "node", str),
            failure_domain=read_field(document, "zone", str),
            region=read_field(document, "region", str),
            power=_read_power(document),
        ),
        listen=ListenSection(
            callers=read_field(document, "listen.front", str),
            peers=f"{ip}:{peer_port}",
            operators=f"{ip}:{operators_port}",
        ),
        platform=PlatformSection(table=store, objects=store, hosts=store),
        # The platform gives no secret; the key only keeps fleets of two stores apart.
        fleet=FleetSection(deployment=DEPLOYMENT, key=f"{DEPLOYMENT} at {store}", seeds=seeds),
        limits=LimitsSection(
            entry_max_age_s=ENTRY_MAX_AGE_S,
            leave_wait_s=leave_wait,
            drain_s=max(0.1, grace - leave_wait - EXIT_MARGIN_S),
        ),
        log=LogSection(),
    )
