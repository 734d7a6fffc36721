"""Converts the operator's configuration on the platform into an object set.

The configuration is one JSON row of the store. The rules of its listeners become routes, and its
clusters become services whose targets register themselves. Limits on ejection, draining and retries
are not part of it; they follow from the bounds that hold for the fleet. Its tenants become caller
accounts, whose keys are replaced by their digests.
"""

from dataclasses import replace
from typing import Any

from expression import Result

from endivedrift.core import ConfigRef, Importance, Instant, Version
from endivedrift.core.events import ConfigFetched
from endivedrift.objects import (
    BOUNDS_RULE_NAME,
    MAX_ATTEMPTS,
    MAX_BODY_BYTES,
    MAX_CONNECTION_CAP,
    MAX_DURATION_MS,
    MAX_HEAD_BYTES,
    MAX_REQUESTS_PER_S,
    Caller,
    ConnectionLimit,
    FleetBounds,
    ObjectSet,
    Route,
    Share,
    build_discovered_group,
    build_discovered_service,
    build_drain_rule,
    build_ejection_limit,
    build_hedge_rules,
    build_retry_rule,
    decode_object_set,
    digest_account_key,
    digest_bytes,
    encode_object_set,
)
from endivedrift.platform._fitting import (
    Fitting,
    fit_host_name,
    fit_name,
    fit_path,
    fit_weights,
)
from endivedrift.platform._headers import NOT_RUN_HEADER
from endivedrift.platform._values import (
    WireError,
    escape_text,
    read_any_integer,
    read_any_number,
    read_field,
    read_integer,
)
from endivedrift.shell.running import make_logger

_REPEATABLE_BY_KIND = {"safe": True, "download": True, "unsafe": False}
"""Whether a request may be repeated, by the kind of its rule. A kind that is not listed counts as
not repeatable, which is safe for every request."""

UNASSIGNED = "unassigned"
"""Part of the name of a service without targets, to which a route leads whose weights are 0."""

_log = make_logger("platform")


def read_configuration(document: object, bounds: FleetBounds, at: Instant) -> ConfigFetched:
    """Reads a configuration.

    Values beyond the bounds of an object set are brought within them, which is logged.

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
    fitting = Fitting()
    try:
        canonical = encode_object_set(_build_objects(document, bounds, fitting))
    except WireError as error:
        raise WireError(f"version {version}: {error}") from None
    match decode_object_set(canonical):
        case Result(tag="error", error=cause):
            raise WireError(f"version {version}: {escape_text(cause)}")
    if fitting.count:
        _log.warning(
            "Values of the configuration were changed.",
            version=version,
            count=fitting.count,
            changes=fitting.shown,
        )
    return ConfigFetched(at, ConfigRef(Version(version), digest_bytes(canonical)), canonical)


def _build_objects(document: object, bounds: FleetBounds, fitting: Fitting) -> ObjectSet:
    limits = read_field(document, "limits", dict)
    max_body_bytes = fitting.read_count(limits, "maxBodyBytes", "limits", 0, MAX_BODY_BYTES)
    callers = _read_callers(document, fitting)
    routes = _build_routes(document, max_body_bytes, bool(callers), fitting)
    routed_services = {route.service for route in routes.values()}
    routed_services |= {share.service for route in routes.values() for share in route.split}
    connection_caps = _read_connection_caps(document, routed_services, fitting)
    for name in sorted(routed_services - set(connection_caps)):
        fitting.note(f"service {name}", "is in no cluster; its connections have no limit")
    return ObjectSet(
        service={name: build_discovered_service(name, bounds) for name in sorted(routed_services)},
        upstream_group={
            name: build_discovered_group(
                connection_caps.get(name, MAX_CONNECTION_CAP), NOT_RUN_HEADER.decode()
            )
            for name in sorted(routed_services)
        },
        ejection_limit={BOUNDS_RULE_NAME: build_ejection_limit(bounds)},
        drain_rule={BOUNDS_RULE_NAME: build_drain_rule()},
        retry_rule={BOUNDS_RULE_NAME: build_retry_rule(bounds)},
        hedge_rule=build_hedge_rules(bounds),
        route=routes,
        caller=callers,
        connection_limit={BOUNDS_RULE_NAME: _build_connection_limit(limits, fitting)},
    )


def _build_connection_limit(limits: dict[str, Any], fitting: Fitting) -> ConnectionLimit:
    most = MAX_DURATION_MS
    return ConnectionLimit(
        head_bytes=fitting.read_count(limits, "maxHeaderBytes", "limits", 1, MAX_HEAD_BYTES),
        head_ms=fitting.read_milliseconds(limits, "headerTimeout", "limits", 1, most),
        idle_ms=fitting.read_milliseconds(limits, "idleTimeout", "limits", 1, most),
    )


def _read_connection_caps(document: object, services: set[str], fitting: Fitting) -> dict[str, int]:
    """Reads how many connections a target of each of the services takes."""
    caps = {}
    for cluster in read_field(document, "clusters", list):
        name = fit_name(read_field(cluster, "name", str))
        if name in services:
            caps[name] = fitting.read_count(
                cluster, "maxConns", f"cluster {name}", 1, MAX_CONNECTION_CAP
            )
    return caps


def _build_routes(
    document: object, max_body_bytes: int, has_accounts: bool, fitting: Fitting
) -> dict[str, Route]:
    """Builds the routes; of several rules for one host name and prefix, the first applies."""
    routes: dict[str, Route] = {}
    matches: set[tuple[str, str]] = set()
    for listener in read_field(document, "listeners", list):
        # A listener's `host` is a host name of requests, not a host of the fleet.
        host_name = fit_host_name(read_field(listener, "host", str))
        for rule in read_field(listener, "rules", list):
            stated_name = f"{read_field(rule, 'name', str)}.{host_name}"
            route = _build_route(rule, stated_name, host_name, fitting)
            match = (host_name, route.path.rstrip("/"))
            if match in matches:
                fitting.note(f"rule {stated_name}", "is left out; an earlier one has its prefix")
                continue
            matches.add(match)
            name = fit_name(stated_name)
            if name in routes:
                name = fit_name(stated_name, route.path)
            routes[name] = replace(
                route,
                request_limit_bytes=max_body_bytes,
                known_callers_only=has_accounts and route.known_callers_only,
            )
    return routes


def _build_route(rule: Any, name: str, host_name: str, fitting: Fitting) -> Route:
    action = read_field(rule, "action", dict)
    kind = read_field(rule, "kind", str)
    if kind not in _REPEATABLE_BY_KIND:
        _log.warning(
            "Kind of a rule is unknown; its requests are not repeated.", kind=escape_text(kind)
        )
    place = f"rule {name}"
    most = MAX_DURATION_MS
    timeout_ms = fitting.read_milliseconds(action, "timeout", place, 1, most)
    split = _read_split(action, place, fitting)
    service = split[0].service if split else fit_name(read_field(action, "service", str))
    if split and not any(share.weight for share in split):
        fitting.note(place, "its requests are refused; each weight is 0")
        service, split = fit_name(name, UNASSIGNED), ()
    return Route(
        service=service,
        path=fit_path(read_field(rule, "match.prefix", str)),
        subpaths_only=True,
        hosts=(host_name,),
        split=split,
        max_attempts=fitting.read_count(action, "maxAttempts", place, 0, MAX_ATTEMPTS),
        methods=("*",),
        repeatable=_REPEATABLE_BY_KIND.get(kind, False),
        deadline_ms=timeout_ms,
        aim_ms=fitting.read_milliseconds(rule, "targetLatency", place, 0, most),
        queue_wait_ms=timeout_ms - 1,
        importance=_read_importance(rule),
        answer_limit_bytes=MAX_BODY_BYTES,
        known_callers_only=not ("public" in rule and read_field(rule, "public", bool)),
    )


def _read_importance(document: object) -> str:
    """Reads a priority: 0 is the most urgent, and values beyond the last importance mean that."""
    priority = min(read_any_integer(document, "priority"), max(Importance))
    return Importance(priority).name.lower()


def _read_callers(document: Any, fitting: Fitting) -> dict[str, Caller]:
    """Reads the tenants by name; empty if the configuration has none, so that no key is needed.

    Raises:
      WireError: If a tenant is invalid, two have one name, or two have one key. The text names the
        tenant's position, and never holds a key.
    """
    if not isinstance(document, dict) or document.get("tenants") is None:
        return {}
    callers: dict[str, Caller] = {}
    owners: dict[str, int] = {}
    for index, tenant in enumerate(read_field(document, "tenants", list)):
        try:
            stated_name = _read_caller_name(tenant)
            name = fit_name(stated_name)
            if name in callers:
                raise WireError("name: another tenant has it too")
            label = stated_name if stated_name != name else ""
            callers[name] = _read_caller(tenant, label, f"tenants.{index}", fitting)
            for digest in callers[name].key_digests:
                if owners.setdefault(digest, index) != index:
                    raise WireError(f"apiKeys: tenants.{owners[digest]} has one of them too")
        except WireError as error:
            raise WireError(f"tenants.{index}.{error}") from None
    return callers


def _read_caller_name(tenant: Any) -> str:
    """Reads the name of a tenant, and returns the bytes of its header value as Latin-1."""
    name: str = read_field(tenant, "name", str)
    if not name or name.strip() != name or not name.isprintable():
        raise WireError("name: is empty, or no header can hold it")
    return name.encode("utf-8").decode("latin-1")


def _read_caller(tenant: Any, label: str, place: str, fitting: Fitting) -> Caller:
    keys = read_field(tenant, "apiKeys", list)
    for position, key in enumerate(keys):
        if not isinstance(key, str) or not key:
            raise WireError(f"apiKeys.{position}: is not a key")
    quota = {
        field: fitting.read_rate(tenant, field, place, MAX_REQUESTS_PER_S)
        for field in ("ratePerS", "burst")
        if tenant.get(field) is not None
    }
    return Caller(
        requests_per_s=quota.get("ratePerS", 0.0),
        burst=int(quota.get("burst", 0.0)),
        key_digests=tuple(dict.fromkeys(digest_account_key(_encode_key(key)) for key in keys)),
        importance=_read_importance(tenant) if tenant.get("priority") is not None else "",
        label=label,
    )


def _encode_key(key: str) -> bytes:
    """Encodes a key as in a header; JSON may hold half of a character, which matches no header."""
    return key.encode("utf-8", "surrogatepass")


def _read_split(action: dict[str, Any], place: str, fitting: Fitting) -> tuple[Share, ...]:
    """Reads the services among which a rule divides its requests; empty if it names only one."""
    if action.get("trafficSplit") is None:
        return ()
    parts = read_field(action, "trafficSplit", list)
    names = [fit_name(read_field(part, "service", str)) for part in parts]
    stated = [read_any_number(part, "weight") for part in parts]
    weights = fit_weights(stated)
    if weights != stated:
        fitting.note(f"{place}.trafficSplit", "whole weights in the same proportions are used")
    return tuple(Share(service=s, weight=w) for s, w in zip(names, weights, strict=True))
