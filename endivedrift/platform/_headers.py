"""Names of headers between callers, hosts and targets, and the form of refusals."""

import json

from endivedrift.core import Refusal, RefusalReason, RequestId, Verdict
from endivedrift.shell.interface import HttpAnswer, HttpConventions

REQUEST_ID_HEADER = b"endivedrift-attempt-id"
NOT_RUN_HEADER = b"endivedrift-not-executed"

# Reasons for which a request is at fault, with their statuses; the others follow from the verdict.
_CALLER_FAULTS = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.HEADERS_TOO_LARGE: 431,
    RefusalReason.UNSUPPORTED: 501,
    RefusalReason.SLOW_CALLER: 408,
}
_TIMEOUTS = frozenset({RefusalReason.TARGET_TIMEOUT, RefusalReason.DEADLINE})


def describe_refusal(refusal: Refusal, request: RequestId) -> HttpAnswer:
    """Builds the answer for a refusal; 503 promises that the request did not run."""
    if refusal.reason in _CALLER_FAULTS:
        status = _CALLER_FAULTS[refusal.reason]
    elif refusal.attempt_verdict is Verdict.NOT_RUN:
        status = 503
    else:
        status = 504 if refusal.reason in _TIMEOUTS else 502
    body = {"error": refusal.reason.value, "detail": refusal.detail, "request": request}
    headers: tuple[tuple[bytes, bytes], ...] = ((b"content-type", b"application/json"),)
    if refusal.retry_after is not None and status == 503:
        # Fractions of a second are allowed here.
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
    proof_header=b"endivedrift-server-signature",
    caller_header=None,
    key_header=None,
    describe_refusal=describe_refusal,
)
"""The platform's names; callers have no accounts and no idempotency keys there."""
