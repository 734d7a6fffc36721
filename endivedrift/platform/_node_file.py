"""The settings file that the platform gives each process.

The platform calls a host a node, a failure domain a zone, and the addresses for callers, entry
requests and messages between hosts `front`, `directory` and `control`.
"""

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
"""How long callers may cache an entry answer. It is short because some callers cache one three
times as long, and a stopping host must continue to serve them within its grace period."""
LEAVE_WAIT_SHARE = 0.55
"""Share of the grace period in which a stopping host accepts new requests. This part is longer than
callers cache entry answers, and the rest is longer than the usual deadline of a request."""
EXIT_MARGIN_S = 0.3
"""A stopping host exits at least this long before the end of its grace period."""
MBPS_PER_CORE = 10.0
"""Link bandwidth of the requests that one core serves: 700 per second of the usual 1.5 KB."""
OPERATORS_PORT_VARIABLE = "ENDIVEDRIFT_METRICS_PORT"
"""Environment variable with the port for metrics and state; by default, the last internal port."""


@dataclass(frozen=True, slots=True)
class NodeFile:
    """Contents of the settings file.

    Attributes:
      settings: The host's settings in the project's own format.
      bounds: Bounds that hold for the fleet as a whole.
      store_address: Address of the platform's store.
      readiness_address: Where this host answers the platform's readiness checks.
      entry_address: Where this host answers entry requests of callers.
      internal_address: Reserved by the platform for messages between hosts, which do not use it.
    """

    settings: Settings
    bounds: FleetBounds
    store_address: Address
    readiness_address: Address
    entry_address: Address
    internal_address: Address


def read_node_file(path: Path) -> NodeFile:
    """Reads the settings file.

    Raises:
      WireError: If the file is unreadable or a field is missing or invalid.
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
        store_address=Address(store),
        readiness_address=Address(read_field(document, "listen.ready", str)),
        entry_address=Address(read_field(document, "listen.directory", str)),
        internal_address=Address(read_field(document, "listen.control", str)),
    )


def _read_power(document: dict[str, Any]) -> float:
    """Returns the processor power of one thread in cores, limited to what the link can carry.

    The field `cores` is not read, since one thread serves all requests of a host.
    """
    number_types = (int, float)
    power: float = read_field(document, "limits.cpuShare", number_types)
    link: float = read_field(document, "limits.linkMbps", number_types)
    return min(power, link / MBPS_PER_CORE)


def _build_settings(document: dict[str, Any], store: str) -> Settings:
    grace_s = read_duration(
        read_field(document, "bounds.grace", str), "bounds.grace"
    ).total_seconds()
    ip = read_field(document, "ip", str)
    ports = read_field(document, "internalPortRange", list)
    peer_port = ports[0]
    operators_port = os.environ.get(OPERATORS_PORT_VARIABLE, ports[-1])
    seeds = tuple(f"{seed.rpartition(':')[0]}:{peer_port}" for seed in document.get("seeds", ()))
    leave_wait_s = grace_s * LEAVE_WAIT_SHARE
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
        # The platform provides no secret, so the key only separates fleets of different stores.
        fleet=FleetSection(deployment=DEPLOYMENT, key=f"{DEPLOYMENT} at {store}", seeds=seeds),
        limits=LimitsSection(
            entry_max_age_s=ENTRY_MAX_AGE_S,
            leave_wait_s=leave_wait_s,
            drain_s=max(0.1, grace_s - leave_wait_s - EXIT_MARGIN_S),
        ),
        log=LogSection(),
    )
