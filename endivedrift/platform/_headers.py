"""Header names between callers, hosts and targets on the platform, and the format of refusals."""

import json

from endivedrift.core import Refusal, RefusalReason, RequestId, Verdict
from endivedrift.shell.interface import HttpAnswer, HttpConventions

REQUEST_ID_HEADER = b"endivedrift-attempt-id"
"""Names one attempt of the caller, not of a host: hosts pass the caller's value on unchanged."""
NOT_RUN_HEADER = b"endivedrift-not-executed"
LEAVING_HEADERS = (b"server-leaving", b"endivedrift-server-leaving")
"""Names of the header in all answers of a target that is shutting down. The platform names it
without the prefix of its other headers, and may send either."""
RATE_LIMIT_HEADERS = (b"server-limit", b"endivedrift-server-limit")
"""Names of the header in the answers of a target that takes only so many requests a second from all
hosts together. It has no prefix either."""
STORE_ERA_HEADERS = (b"store-era", b"endivedrift-store-era")
"""Names of the header in all answers of the store that counts how often it was restored."""

# Statuses of refusals that the caller caused. All other statuses follow from the verdict.
_CALLER_FAULT_STATUSES = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.UNKNOWN_CALLER: 401,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.HEADERS_TOO_LARGE: 431,
    RefusalReason.UNSUPPORTED: 501,
    RefusalReason.SLOW_CALLER: 408,
}
_TIMEOUT_REASONS = frozenset({RefusalReason.TARGET_TIMEOUT, RefusalReason.DEADLINE})


def describe_refusal(refusal: Refusal, request_id: RequestId) -> HttpAnswer:
    """Builds the response for a refusal; 429 and 503 guarantee that the request did not run."""
    if refusal.reason in _CALLER_FAULT_STATUSES:
        status = _CALLER_FAULT_STATUSES[refusal.reason]
    elif refusal.attempt_verdict is Verdict.NOT_RUN:
        status = 429 if refusal.reason is RefusalReason.CALLER_LIMIT else 503
    else:
        status = 504 if refusal.reason in _TIMEOUT_REASONS else 502
    body = {"error": refusal.reason.value, "detail": refusal.detail, "request": request_id}
    headers: tuple[tuple[bytes, bytes], ...] = ((b"content-type", b"application/json"),)
    if refusal.retry_after is not None and status in (429, 503):
        # Unlike HTTP, the platform allows fractions of a second here.
        seconds = refusal.retry_after.total_seconds()
        headers += ((b"retry-after", f"{seconds:.3f}".encode()),)
    return HttpAnswer(status, headers, json.dumps(body).encode())


PLATFORM_CONVENTIONS = HttpConventions(
    request_id_header=REQUEST_ID_HEADER,
    keeps_request_ids=True,
    deadline_header=b"endivedrift-deadline-ms",
    rejects_invalid_deadlines=False,
    expected_target_header=b"endivedrift-expect-instance",
    load_header=b"endivedrift-server-load",
    leaving_headers=LEAVING_HEADERS,
    rate_limit_headers=RATE_LIMIT_HEADERS,
    proof_header=b"endivedrift-server-signature",
    caller_header=b"endivedrift-tenant",
    trusts_caller_header=False,
    account_key_header=b"x-api-key",
    key_header=None,
    describe_refusal=describe_refusal,
)
"""The platform's header names. It calls a caller account a tenant; its callers send no idempotency
keys."""
