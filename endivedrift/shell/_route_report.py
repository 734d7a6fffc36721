"""Describes where a request would go as JSON values for operators."""

from datetime import timedelta
from typing import Any

from endivedrift.core import (
    AccountKeyDigest,
    AuditKind,
    CallerName,
    Instant,
    RequestHead,
)
from endivedrift.core.effects import ForwardToPeer
from endivedrift.fleet import RouteTable
from endivedrift.policy import TargetCost
from endivedrift.reducer import Explanation, explain_request, is_store_answering
from endivedrift.shell._http import parse_count
from endivedrift.shell._requests import MAX_CALLER_TIMEOUT_MS
from endivedrift.shell._runtime import Runtime


def build_queried_head(fields: dict[str, str], routes: RouteTable) -> RequestHead:
    """Builds the head of the request that a query describes.

    Args:
      fields: `method`, `path`, and optionally `host`, `account`, `key_digest` and `deadline_ms`.
      routes: Routes and caller accounts in force.
    Returns:
      The head.
    Raises:
      ValueError: If a field is missing or invalid.
    """
    method, path = fields.get("method", "GET"), fields.get("path", "")
    if not path.startswith("/"):
        raise ValueError("path must begin with a slash")
    deadline = fields.get("deadline_ms")
    milliseconds = parse_count(deadline.encode()) if deadline is not None else 1
    if milliseconds is None or not 0 < milliseconds <= MAX_CALLER_TIMEOUT_MS:
        raise ValueError(f"deadline_ms must be from 1 to {MAX_CALLER_TIMEOUT_MS}")
    account = fields.get("account")
    caller = CallerName(account) if account is not None else None
    digest = fields.get("key_digest")
    account_key = AccountKeyDigest(digest) if digest is not None else None
    if account_key is not None:
        caller = routes.accounts.get(account_key)
    return RequestHead(
        method=method,
        path=path.partition("?")[0],
        host=fields.get("host", "").lower(),
        caller=caller,
        account_key=account_key,
        caller_timeout=timedelta(milliseconds=milliseconds) if deadline is not None else None,
    )


def describe_explanation(runtime: Runtime, head: RequestHead) -> dict[str, Any]:
    """Returns where a request would go, and why, as JSON values without any key."""
    state, clock = runtime.state, runtime.clock
    at = clock.monotonic()
    found = explain_request(state, at, clock.wall(), head)
    return {
        "host": state.identity.host,
        "config_version": state.config.version,
        "config_age_s": _measure_config_age(runtime),
        "store_available": is_store_answering(state, at),
        "route": found.route.name if found.route is not None else None,
        "service": found.service,
        "other_routes": [{"route": r.name, "cause": r.cause} for r in found.other_routes],
        "account": found.caller,
        "quota": _describe_quota(found),
        "decision": found.decision,
        "refusal": _describe_refusal(found),
        "forward_to": [e.peer for e in found.effects if isinstance(e, ForwardToPeer)],
        "choices": list(found.choices),
        "targets": [_describe_cost(cost, at) for cost in found.costs],
    }


def _measure_config_age(runtime: Runtime) -> float | None:
    """Returns the seconds since the object set came into force, if the trail still has that."""
    for entry in reversed(runtime.audit):
        if entry.entry.kind is AuditKind.CONFIG_APPLIED:
            return round((runtime.clock.wall() - entry.date).total_seconds(), 1)
    return None


def _describe_quota(found: Explanation) -> dict[str, Any] | None:
    quota = found.quota
    if quota is None:
        return None
    tokens = round(quota.tokens, 1) if quota.tokens is not None else None
    return {"requests_per_s": quota.requests_per_s, "burst": quota.burst, "tokens": tokens}


def _describe_refusal(found: Explanation) -> dict[str, Any] | None:
    refusal = found.refusal
    if refusal is None:
        return None
    retry = refusal.retry_after
    return {
        "reason": refusal.reason.value,
        "detail": refusal.detail,
        "retry_after_ms": round(retry.total_seconds() * 1000.0) if retry is not None else None,
    }


def _describe_cost(cost: TargetCost, at: Instant) -> dict[str, Any]:
    record = cost.record
    return {
        "target": cost.name,
        "state": record.state.value,
        "failure_domain": record.target.failure_domain,
        "in_flight": cost.in_flight,
        "has_room": cost.has_room,
        "score": round(record.score, 2),
        "paused_s": max(0.0, round((record.paused_until - at).total_seconds(), 2)),
        "avoided_s": max(0.0, round((record.avoided_until - at).total_seconds(), 2)),
        "held_s": max(0.0, round((record.held_until - at).total_seconds(), 2)),
        "rank": cost.rank,
        "load": cost.load,
    }
