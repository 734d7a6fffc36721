"""Converts the operator's configuration on the platform into an object set.

The configuration is one JSON row of the store. The rules of its listeners become routes, and its
clusters become services whose targets register themselves. Limits on ejection, draining and retries
are not part of it; they follow from the bounds that hold for the fleet.
"""

from typing import Any

from expression import Result

from endivedrift.core import ConfigRef, Importance, Instant, Version
from endivedrift.core.events import ConfigFetched
from endivedrift.objects import (
    BOUNDS_RULE_NAME,
    MAX_ATTEMPTS,
    MAX_BODY_BYTES,
    MAX_DEADLINE_MS,
    ConnectionLimit,
    FleetBounds,
    ObjectSet,
    Route,
    Service,
    Share,
    UpstreamGroup,
    build_discovered_group,
    build_discovered_service,
    build_drain_rule,
    build_ejection_limit,
    build_retry_rule,
    decode_object_set,
    digest_bytes,
    encode_object_set,
)
from endivedrift.platform._headers import NOT_RUN_HEADER
from endivedrift.platform._values import (
    WireError,
    escape_text,
    read_field,
    read_integer,
    read_milliseconds,
)
from endivedrift.shell.running import make_logger

_REPEATABLE_BY_KIND = {"safe": True, "download": True, "unsafe": False}
"""Whether a request may be repeated, by the kind of its rule. A kind that is not listed counts as
not repeatable, which is safe for every request."""

_log = make_logger("platform")


def read_configuration(document: object, bounds: FleetBounds, at: Instant) -> ConfigFetched:
    """Reads a configuration.

    Args:
      document: JSON value of the configuration row.
      bounds: Bounds that hold for the fleet.
      at: Current time.
    Returns:
      The object set in canonical form, with its version and digest.
    Raises:
      WireError: If a field is missing or its value is invalid.
    """
    version = read_integer(document, "version", least=1)
    try:
        canonical = encode_object_set(_build_objects(document, bounds))
    except WireError as error:
        raise WireError(f"version {version}: {error}") from None
    match decode_object_set(canonical):
        case Result(tag="error", error=cause):
            raise WireError(f"version {version}: {escape_text(cause)}")
    return ConfigFetched(at, ConfigRef(Version(version), digest_bytes(canonical)), canonical)


def _build_objects(document: object, bounds: FleetBounds) -> ObjectSet:
    limits = read_field(document, "limits", dict)
    max_body_bytes = min(MAX_BODY_BYTES, read_integer(limits, "maxBodyBytes"))
    routes: dict[str, Route] = {}
    for listener in read_field(document, "listeners", list):
        # A listener's `host` is a host name of requests, not a host of the fleet.
        host_name = read_field(listener, "host", str).lower()
        for rule in read_field(listener, "rules", list):
            # Rule names are unique only within one host name.
            name = f"{read_field(rule, 'name', str)}.{host_name}"
            routes[name] = _build_route(rule, host_name, max_body_bytes)
    routed_services = {route.service for route in routes.values()}
    routed_services |= {share.service for route in routes.values() for share in route.split}
    services: dict[str, Service] = {}
    groups: dict[str, UpstreamGroup] = {}
    for cluster in read_field(document, "clusters", list):
        name = read_field(cluster, "name", str)
        if name in routed_services:
            services[name] = build_discovered_service(name, bounds)
            connection_cap = read_integer(cluster, "maxConns", least=1)
            groups[name] = build_discovered_group(connection_cap, NOT_RUN_HEADER.decode())
    return ObjectSet(
        service=services,
        upstream_group=groups,
        ejection_limit={BOUNDS_RULE_NAME: build_ejection_limit(bounds)},
        drain_rule={BOUNDS_RULE_NAME: build_drain_rule()},
        retry_rule={BOUNDS_RULE_NAME: build_retry_rule(bounds)},
        route=routes,
        connection_limit={BOUNDS_RULE_NAME: _build_connection_limit(limits)},
    )


def _build_connection_limit(limits: dict[str, Any]) -> ConnectionLimit:
    return ConnectionLimit(
        head_bytes=read_integer(limits, "maxHeaderBytes"),
        head_ms=read_milliseconds(limits, "headerTimeout"),
        idle_ms=read_milliseconds(limits, "idleTimeout"),
    )


def _build_route(rule: Any, host_name: str, max_body_bytes: int) -> Route:
    action = read_field(rule, "action", dict)
    kind = read_field(rule, "kind", str)
    if kind not in _REPEATABLE_BY_KIND:
        _log.warning(
            "Kind of a rule is unknown; its requests are not repeated.", kind=escape_text(kind)
        )
    timeout_ms = read_milliseconds(action, "timeout")
    split = _read_split(action)
    # `priority` 0 is the most urgent; values beyond the last importance mean the last one.
    importance = Importance(min(read_integer(rule, "priority"), max(Importance)))
    return Route(
        service=split[0].service if split else read_field(action, "service", str),
        path=read_field(rule, "match.prefix", str),
        subpaths_only=True,
        hosts=(host_name,),
        split=split,
        max_attempts=min(MAX_ATTEMPTS, read_integer(action, "maxAttempts")),
        methods=("*",),
        repeatable=_REPEATABLE_BY_KIND.get(kind, False),
        deadline_ms=timeout_ms,
        aim_ms=min(MAX_DEADLINE_MS, read_milliseconds(rule, "targetLatency")),
        queue_wait_ms=max(1, timeout_ms - 1),
        importance=importance.name.lower(),
        request_limit_bytes=max_body_bytes,
        answer_limit_bytes=MAX_BODY_BYTES,
    )


def _read_split(action: dict[str, Any]) -> tuple[Share, ...]:
    """Reads the services among which a rule divides its requests; empty if it names only one."""
    if action.get("trafficSplit") is None:
        return ()
    return tuple(
        Share(service=read_field(part, "service", str), weight=read_integer(part, "weight"))
        for part in read_field(action, "trafficSplit", list)
    )
