"""Builds the HTTP answers of refusals, with problem details (RFC 9457) and Proxy-Status (RFC 9209).

The reason of a refusal determines the status and the Proxy-Status error; reasons that are not
listed here have the default ones. A status that promises that the request did not run is replaced
where it may have run.
"""

import json
import math
from dataclasses import dataclass
from datetime import timedelta

from endivedrift.core import Headers, Refusal, RefusalReason, RequestId, Verdict

VERDICT_HEADER = b"x-verdict"
PROXY_NAME = "endivedrift"
PROBLEM_TYPE_PREFIX = "urn:endivedrift:refusal:"

_STATUSES = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNKNOWN_CALLER: 403,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.CALLER_LIMIT: 429,
    RefusalReason.KEY_REQUIRED: 400,
    RefusalReason.KEY_EXPIRED: 409,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.KEY_BUSY: 409,
    RefusalReason.KEY_SPENT: 409,
    RefusalReason.OWNER_GONE: 409,
    RefusalReason.OWNER_UNREACHABLE: 502,
    RefusalReason.PEER_UNREACHABLE: 502,
    RefusalReason.TARGET_CUT: 502,
    RefusalReason.TARGET_MALFORMED: 502,
    RefusalReason.TARGET_TOO_LARGE: 502,
    RefusalReason.TARGET_UNREACHABLE: 503,
    RefusalReason.TARGET_TIMEOUT: 504,
    RefusalReason.DEADLINE: 504,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.HEADERS_TOO_LARGE: 431,
    RefusalReason.UNSUPPORTED: 501,
    RefusalReason.SLOW_CALLER: 408,
    RefusalReason.HOST_FAILED: 502,
}
_PROXY_ERRORS = {
    RefusalReason.TARGET_CUT: "connection_terminated",
    RefusalReason.TARGET_MALFORMED: "http_protocol_error",
    RefusalReason.TARGET_TOO_LARGE: "http_response_body_size",
    RefusalReason.TARGET_UNREACHABLE: "connection_refused",
    RefusalReason.TARGET_TIMEOUT: "http_response_timeout",
    RefusalReason.NO_TARGET: "destination_unavailable",
    RefusalReason.CALLER_LIMIT: "http_request_denied",
    RefusalReason.UNKNOWN_CALLER: "http_request_denied",
    RefusalReason.UNKNOWN_KEY: "http_request_denied",
    RefusalReason.BAD_REQUEST: "http_request_error",
    RefusalReason.HOST_FAILED: "proxy_internal_error",
}
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request did not run."""
DEFAULT_STATUS = 503
MAY_HAVE_RUN_STATUS = 502
DEFAULT_PROXY_ERROR = "destination_unavailable"


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An HTTP answer without its framing headers."""

    status: int
    headers: Headers
    body: bytes


def describe_refusal(refusal: Refusal, request: RequestId) -> HttpAnswer:
    """Builds the answer for a refusal.

    Args:
      refusal: The refusal.
      request: Id of the refused request.
    Returns:
      The answer. Retry-After is in whole seconds, at least 1, as HTTP requires; `retry_after_ms` in
      the body is in milliseconds.
    """
    status = _STATUSES.get(refusal.reason, DEFAULT_STATUS)
    if status in NOT_RUN_STATUSES and refusal.attempt_verdict is Verdict.MAY_HAVE_RUN:
        status = MAY_HAVE_RUN_STATUS
    problem: dict[str, object] = {
        "type": PROBLEM_TYPE_PREFIX + refusal.reason.value,
        "title": refusal.reason.value.replace("-", " "),
        "status": status,
        "detail": refusal.detail,
        "verdict": refusal.verdict.value,
        "attempt": refusal.attempt_verdict.value,
        "request": request,
    }
    error = _PROXY_ERRORS.get(refusal.reason, DEFAULT_PROXY_ERROR)
    headers: Headers = (
        (b"content-type", b"application/problem+json"),
        (VERDICT_HEADER, refusal.verdict.value.encode()),
        (
            b"proxy-status",
            f'{PROXY_NAME}; error={error}; details="{refusal.reason.value}"'.encode(),
        ),
        (b"cache-control", b"no-store"),
    )
    if refusal.retry_after is not None:
        seconds = refusal.retry_after.total_seconds()
        problem["retry_after_ms"] = round(seconds * 1000.0)
        headers += ((b"retry-after", str(max(1, math.ceil(seconds))).encode()),)
    return HttpAnswer(status, headers, json.dumps(problem).encode())


def make_refusal(
    reason: RefusalReason, detail: str, retry_after: timedelta | None = None
) -> Refusal:
    """Builds the refusal of a request that is refused before it reaches the reducer."""
    return Refusal(reason, Verdict.NOT_RUN, Verdict.NOT_RUN, retry_after, detail)
