"""Converts the operator's configuration on the platform into an object set.

The configuration is one JSON row of the store. The rules of its listeners become routes, and its
clusters become services whose targets register themselves. Limits on ejection, draining and retries
are not part of it; they follow from the bounds that hold for the fleet. Its tenants become caller
accounts, whose keys are replaced by their digests.
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
    MAX_REQUESTS_PER_S,
    Caller,
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
    build_hedge_rules,
    build_retry_rule,
    decode_object_set,
    digest_account_key,
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
    read_name,
    read_number,
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
    callers = _read_callers(document)
    routes: dict[str, Route] = {}
    for listener in read_field(document, "listeners", list):
        # A listener's `host` is a host name of requests, not a host of the fleet.
        host_name = read_field(listener, "host", str).lower()
        for rule in read_field(listener, "rules", list):
            # Rule names are unique only within one host name.
            name = f"{read_field(rule, 'name', str)}.{host_name}"
            routes[name] = _build_route(rule, host_name, max_body_bytes, bool(callers))
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
        hedge_rule=build_hedge_rules(bounds),
        route=routes,
        caller=callers,
        connection_limit={BOUNDS_RULE_NAME: _build_connection_limit(limits)},
    )


def _build_connection_limit(limits: dict[str, Any]) -> ConnectionLimit:
    return ConnectionLimit(
        head_bytes=read_integer(limits, "maxHeaderBytes"),
        head_ms=read_milliseconds(limits, "headerTimeout"),
        idle_ms=read_milliseconds(limits, "idleTimeout"),
    )


def _build_route(rule: Any, host_name: str, max_body_bytes: int, has_accounts: bool) -> Route:
    action = read_field(rule, "action", dict)
    kind = read_field(rule, "kind", str)
    if kind not in _REPEATABLE_BY_KIND:
        _log.warning(
            "Kind of a rule is unknown; its requests are not repeated.", kind=escape_text(kind)
        )
    timeout_ms = read_milliseconds(action, "timeout")
    split = _read_split(action)
    is_public = "public" in rule and read_field(rule, "public", bool)
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
        importance=_read_importance(rule),
        request_limit_bytes=max_body_bytes,
        answer_limit_bytes=MAX_BODY_BYTES,
        known_callers_only=has_accounts and not is_public,
    )


def _read_importance(document: object) -> str:
    """Reads a priority: 0 is the most urgent, and values beyond the last importance mean that."""
    return Importance(min(read_integer(document, "priority"), max(Importance))).name.lower()


def _read_callers(document: Any) -> dict[str, Caller]:
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
            name = read_name(tenant, "name")
            if name in callers:
                raise WireError("name: another tenant has it too")
            callers[name] = _read_caller(tenant)
            for digest in callers[name].key_digests:
                if owners.setdefault(digest, index) != index:
                    raise WireError(f"apiKeys: tenants.{owners[digest]} has one of them too")
        except WireError as error:
            raise WireError(f"tenants.{index}.{error}") from None
    return callers


def _read_caller(tenant: Any) -> Caller:
    keys = read_field(tenant, "apiKeys", list)
    for position, key in enumerate(keys):
        if not isinstance(key, str) or not key:
            raise WireError(f"apiKeys.{position}: is not a key")
    rate = read_number(tenant, "ratePerS") if tenant.get("ratePerS") is not None else 0.0
    burst = read_number(tenant, "burst") if tenant.get("burst") is not None else 0.0
    for field, value in (("ratePerS", rate), ("burst", burst)):
        if value > MAX_REQUESTS_PER_S:
            raise WireError(f"{field}: is greater than {MAX_REQUESTS_PER_S}")
    return Caller(
        requests_per_s=rate,
        burst=int(burst),
        key_digests=tuple(dict.fromkeys(digest_account_key(_encode_key(key)) for key in keys)),
        importance=_read_importance(tenant) if tenant.get("priority") is not None else "",
    )


def _encode_key(key: str) -> bytes:
    """Encodes a key as in a header; JSON may hold half of a character, which matches no header."""
    return key.encode("utf-8", "surrogatepass")


def _read_split(action: dict[str, Any]) -> tuple[Share, ...]:
    """Reads the services among which a rule divides its requests; empty if it names only one."""
    if action.get("trafficSplit") is None:
        return ()
    return tuple(
        Share(service=read_field(part, "service", str), weight=read_integer(part, "weight"))
        for part in read_field(action, "trafficSplit", list)
    )
