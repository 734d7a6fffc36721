"""Logs one line for each request: method and path, each attempt at a target, and the result."""

from datetime import timedelta

from endivedrift.core import NO_RATE_LIMIT, Answer, AttemptOutcome, RequestHead, RequestId
from endivedrift.core.events import AttemptFinished
from endivedrift.shell._log import make_logger
from endivedrift.shell._serving import ServedRequest

_log = make_logger("request")


def log_request(
    request: RequestId,
    caller_request_id: bytes | None,
    head: RequestHead,
    service: str,
    served: ServedRequest,
    duration: timedelta,
    waited: timedelta,
    is_primary: bool,
) -> None:
    """Logs a request that ended.

    Args:
      request: Id that this host gave the request.
      caller_request_id: Id that the caller gave the request, or None.
      head: Head of the request.
      service: Service of the request's route, or the empty string if no route matches.
      served: Result and attempts.
      duration: Time from the last bytes of the request to its end.
      waited: Part of this time that passed before the request was handled.
      is_primary: Whether this host is a primary of the service.
    """
    result = served.result
    fields: dict[str, object] = {
        "request": request,
        "caller_id": (caller_request_id or b"").decode("latin-1"),
        "digest": head.digest.hex(),
        "path": f"{head.method} {head.host}{head.path}",
        "service": service,
        "primary": is_primary,
        "account": head.caller or "",
        "took_ms": round(duration.total_seconds() * 1000.0, 1),
        "waited_ms": round(waited.total_seconds() * 1000.0, 1),
        "attempts": [_describe_attempt(end) for end in served.attempts],
    }
    if any(finished.is_hedge for finished in served.attempts):
        fields["won"] = _name_winner(served)
    if served.peers:
        fields["forwarded_to"] = list(served.peers)
    if isinstance(result, Answer):
        _log.info("Answered.", status=result.status, **fields)
        return
    _log.info(
        "Refused.",
        reason=result.reason.value,
        verdict=result.verdict.value,
        detail=result.detail,
        **fields,
    )


def _name_winner(served: ServedRequest) -> str:
    """Returns the target whose answer to a hedged request was delivered, or an empty string."""
    answered = [end for end in served.attempts if end.outcome is AttemptOutcome.ANSWERED]
    # A server error is delivered only if no later attempt was answered.
    return answered[-1].target if answered and isinstance(served.result, Answer) else ""


def _describe_attempt(finished: AttemptFinished) -> str:
    """Formats target, outcome and latency of an attempt, and the load and limit it reported."""
    text = (
        f"{finished.target} {finished.outcome.value} "
        f"{finished.latency.total_seconds() * 1000.0:.1f} ms"
    )
    if finished.is_hedge:
        text += ", hedge"
    if finished.target_ended:
        text += ", target ended"
    if finished.load is not None:
        load = finished.load
        text += f", load {load.running}+{load.waiting}/{load.slots}"
    if finished.rate_limit is not None and finished.rate_limit != NO_RATE_LIMIT:
        text += f", limit {finished.rate_limit:g}/s"
    return text
