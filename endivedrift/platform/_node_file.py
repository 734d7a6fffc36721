"""The settings file that the platform gives each process.

The platform calls a host a node, a failure domain a zone, and the addresses for callers, entry
requests and messages between hosts `front`, `directory` and `control`.
"""

import os
import re
import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from endivedrift.core import Address
from endivedrift.objects import FleetBounds
from endivedrift.platform._store import DEFAULT_ROW_BYTES
from endivedrift.platform._values import (
    WireError,
    parse_address,
    read_address,
    read_any_integer,
    read_duration,
    read_field,
    read_integer,
    read_name,
    read_number,
)
from endivedrift.reducer import CHANGE_LIMIT
from endivedrift.settings import (
    MIN_DESCRIPTORS,
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
MIN_CHANGE_LIMIT = timedelta(seconds=1)
MAX_CHANGE_LIMIT = timedelta(seconds=6)
MAX_PORT = 65_535
MBPS_PER_CORE = 10.0
"""Link bandwidth of the requests that one core serves: 700 per second of the usual 1.5 KB."""
OPERATORS_PORT_VARIABLE = "ENDIVEDRIFT_METRICS_PORT"
"""Environment variable with the port for metrics and state; by default, the last internal port."""
MAX_ROW_BYTES = 32 * 1024 * 1024
"""Greatest size of a row that a host reads."""
HEDGE_SHARE_VARIABLE = "ENDIVEDRIFT_HEDGE_SHARE"
"""Environment variable with the share of requests that may be hedged, from 0 to 1; by default 0."""

_DECIMAL = re.compile(r"\d{1,15}(\.\d{1,15})?", re.ASCII)


@dataclass(frozen=True, slots=True)
class NodeFile:
    """Contents of the settings file.

    Attributes:
      settings: The host's settings in the project's own format.
      bounds: Bounds that hold for the fleet as a whole.
      store_address: Address of the platform's store.
      store_row_bytes: Size of its largest rows.
      readiness_address: Where this host answers the platform's readiness checks.
      entry_address: Where this host answers entry requests of callers.
      internal_address: Reserved by the platform for messages between hosts, which do not use it.
      change_limit: Time in which a change of the store must be in force.
    """

    settings: Settings
    bounds: FleetBounds
    store_address: Address
    store_row_bytes: int
    readiness_address: Address
    entry_address: Address
    internal_address: Address
    change_limit: timedelta


def read_node_file(path: Path) -> NodeFile:
    """Reads the settings file.

    Raises:
      WireError: If the file is unreadable, or a field or an environment variable is invalid.
    """
    try:
        document = tomllib.loads(path.read_text("utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise WireError(f"{path}: {error}") from None
    settings = _build_settings(document)
    bounds = FleetBounds(
        retry_ratio=min(1.0, read_number(document, "bounds.retryBudgetRatio")),
        retry_burst=int(read_number(document, "bounds.budgetSlack")),
        floor_share=min(1.0, read_number(document, "bounds.floorShare")),
        entry_hosts=max(1, len(read_field(document, "zones", dict))),
        hedge_share=_read_hedge_share(),
    )
    return NodeFile(
        settings=settings,
        bounds=bounds,
        store_address=read_address(document, "platform.address"),
        store_row_bytes=_read_row_bytes(document),
        readiness_address=read_address(document, "listen.ready"),
        entry_address=read_address(document, "listen.directory"),
        internal_address=read_address(document, "listen.control"),
        change_limit=_read_change_limit(document),
    )


def _read_row_bytes(document: dict[str, Any]) -> int:
    """Returns the size of the store's largest rows, within what a host can read."""
    if "rowBytes" not in read_field(document, "platform", dict):
        return DEFAULT_ROW_BYTES
    return min(read_any_integer(document, "platform.rowBytes"), MAX_ROW_BYTES)


def _read_change_limit(document: dict[str, Any]) -> timedelta:
    """Returns the shorter of the limits for configurations and for targets that leave.

    It is kept within what hosts can meet and what operators rely on.
    """
    bounds = read_field(document, "bounds", dict)
    stated = [read_duration(bounds, n) for n in ("configApply", "drain") if n in bounds]
    return min(MAX_CHANGE_LIMIT, max(MIN_CHANGE_LIMIT, min(stated, default=CHANGE_LIMIT)))


def _read_hedge_share() -> float:
    """Returns the share of requests that may be hedged.

    Raises:
      WireError: If the variable is set to anything but a number from 0 to 1.
    """
    text = os.environ.get(HEDGE_SHARE_VARIABLE, "0").strip()
    if _DECIMAL.fullmatch(text) is None or float(text) > 1.0:
        raise WireError(f"{HEDGE_SHARE_VARIABLE}: {text[:80]!r} is not a number from 0 to 1")
    return float(text)


def _read_power(document: dict[str, Any]) -> float:
    """Returns the processor power of one thread in cores, limited to what the link can carry.

    The field `cores` is not read, since one thread serves all requests of a host.
    """
    power = read_number(document, "limits.cpuShare")
    power = min(power, read_number(document, "limits.linkMbps") / MBPS_PER_CORE)
    if not power:
        raise WireError("limits: the processor share or the link is 0")
    return power


def _read_memory(document: dict[str, Any]) -> float:
    """Returns the memory of the host in MB; that of the smallest hosts if the file has none."""
    if "memoryMb" not in read_field(document, "limits", dict):
        return LimitsSection().memory_mb
    memory_mb = read_number(document, "limits.memoryMb")
    if not memory_mb:
        raise WireError("limits.memoryMb: is 0")
    return memory_mb


def _read_descriptors(document: dict[str, Any]) -> int:
    """Returns the limit on open descriptors; the usual one if the file has none."""
    if "maxFds" not in read_field(document, "limits", dict):
        return LimitsSection().descriptors
    return read_integer(document, "limits.maxFds", least=MIN_DESCRIPTORS)


def _read_internal_ports(document: dict[str, Any]) -> range:
    """Returns the ports that are free for traffic between hosts.

    Raises:
      WireError: If the field is not a first and a last port.
    """
    field = "internalPortRange"
    ports = read_field(document, field, list)
    if len(ports) != 2:
        raise WireError(f"{field}: is not a first and a last port")
    first, last = (read_integer({field: port}, field, least=1, most=MAX_PORT) for port in ports)
    if first > last:
        raise WireError(f"{field}: the first port {first} is greater than the last port {last}")
    return range(first, last + 1)


def _read_seeds(document: dict[str, Any], peer_port: int) -> tuple[str, ...]:
    """Returns the peer addresses of the seeds, which are stated with another port.

    Raises:
      WireError: If a seed is not an address.
    """
    if "seeds" not in document:
        return ()
    seeds = read_field(document, "seeds", list)
    addresses = [parse_address(seed, f"seeds.{n}") for n, seed in enumerate(seeds)]
    return tuple(f"{address.rpartition(':')[0]}:{peer_port}" for address in addresses)


def _build_settings(document: dict[str, Any]) -> Settings:
    store = read_address(document, "platform.address")
    grace_s = read_duration(document, "bounds.grace").total_seconds()
    ip = parse_address(f"{read_field(document, 'ip', str)}:{MAX_PORT}", "ip").rpartition(":")[0]
    ports = _read_internal_ports(document)
    peer_port = ports[0]
    operators_port = os.environ.get(OPERATORS_PORT_VARIABLE, ports[-1])
    operators = parse_address(f"{ip}:{operators_port}", OPERATORS_PORT_VARIABLE)
    leave_wait_s = grace_s * LEAVE_WAIT_SHARE
    return Settings(
        host=HostSection(
            id=read_name(document, "node"),
            failure_domain=read_name(document, "zone"),
            region=read_name(document, "region"),
            power=_read_power(document),
        ),
        listen=ListenSection(
            callers=read_address(document, "listen.front"),
            peers=f"{ip}:{peer_port}",
            operators=operators,
        ),
        platform=PlatformSection(table=store, objects=store, hosts=store),
        # The platform provides no secret, so the key only separates fleets of different stores.
        # The port is left out, since hosts may reach one store through different ports.
        fleet=FleetSection(
            deployment=DEPLOYMENT,
            key=f"{DEPLOYMENT} at {store.rpartition(':')[0]}",
            seeds=_read_seeds(document, peer_port),
        ),
        limits=LimitsSection(
            memory_mb=_read_memory(document),
            descriptors=_read_descriptors(document),
            entry_max_age_s=ENTRY_MAX_AGE_S,
            leave_wait_s=leave_wait_s,
            drain_s=max(0.1, grace_s - leave_wait_s - EXIT_MARGIN_S),
        ),
        log=LogSection(),
    )
