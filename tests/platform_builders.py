"""Builders of the platform's documents: node files, configurations and entries of targets."""

from typing import Any

from endivedrift.objects import FleetBounds

LISTENER_HOST = "rooms.example"
SERVICE = "rooms1a"

BOUNDS = FleetBounds(retry_ratio=0.2, retry_burst=56, floor_share=0.7, entry_hosts=3)


def build_configuration(version: int = 3, **changes: Any) -> dict[str, Any]:
    """Builds a configuration with one safe and one unsafe route to one service.

    Args:
      version: Its version.
      changes: Top-level fields to replace.
    """
    safe = build_rule("read", "safe", "/stays/")
    unsafe = build_rule("book", "unsafe", "/book/")
    document = {
        "version": version,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
        "listeners": [{"host": LISTENER_HOST, "rules": [safe, unsafe]}],
        "clusters": [build_cluster(SERVICE)],
    }
    return {**document, **changes}


def build_cluster(name: str) -> dict[str, Any]:
    """Builds a service, which the platform calls a cluster."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 330,
        "protocol": "h1",
        "tls": False,
    }


def build_rule(name: str, kind: str, prefix: str, **action: Any) -> dict[str, Any]:
    """Builds a route, which the platform calls a rule; `action` replaces fields of its action."""
    return {
        "name": name,
        "kind": kind,
        "targetLatency": "600ms",
        "priority": 1,
        "match": {"prefix": prefix},
        "action": {"service": SERVICE, "timeout": "2000ms", "maxAttempts": 2, **action},
    }


def build_tenant(name: str, *keys: str, **changes: Any) -> dict[str, Any]:
    """Builds a caller account, which the platform calls a tenant."""
    return {
        "name": name,
        "apiKeys": list(keys),
        "priority": 1,
        "ratePerS": 100,
        "burst": 100,
        **changes,
    }


def build_entry(address: str = "127.0.0.1:9000", **changes: Any) -> dict[str, Any]:
    """Builds the entry of a target; `changes` replaces fields of its status."""
    return {
        "address": address,
        "info": {"service": SERVICE, "version": "v1", "zone": "rabat-a", "slots": 2},
        "status": {"state": "ready", "sequence": 4, "warmupLeft": "0ms", **changes},
        "born": 1779015080011,
    }


def build_node_file(
    ip: str,
    store: str,
    seeds: list[str],
    first_port: int,
    zone: str = "rabat-a",
    zones: tuple[str, ...] = ("rabat-a",),
) -> str:
    """Builds the node file of a host.

    Args:
      ip: Its address.
      store: Address of the store.
      seeds: Addresses of the seed hosts.
      first_port: The first of its ten consecutive ports.
      zone: Its failure domain.
      zones: All failure domains.
    """
    regions = "\n".join(f'{name} = "maroc-nord"' for name in zones)
    quoted = ", ".join(f'"{seed}:{first_port + 2}"' for seed in seeds)
    return f"""
node = "front-{ip}"
role = "host"
machineClass = "front"
serves = ["front", "directory", "control"]
ip = "{ip}"
zone = "{zone}"
region = "maroc-nord"
internalPortRange = [{first_port + 4}, {first_port + 9}]
seeds = [{quoted}]
bootstrap = true
heartbeat = "1500ms"
later = "a field that nobody knows"

[zones]
{regions}

[listen]
front = "{ip}:{first_port}"
ready = "{ip}:{first_port + 1}"
control = "{ip}:{first_port + 2}"
directory = "{ip}:{first_port + 3}"

[limits]
cpuShare = 0.86
cores = 1
linkMbps = 1000.0

[bounds]
grace = "6s"
retryBudgetRatio = 0.2
budgetSlack = 56
floorShare = 0.7

[platform]
address = "{store}"
form = "table"
"""
