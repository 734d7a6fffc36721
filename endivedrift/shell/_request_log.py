"""One line for each request: what was asked, each attempt at a target, and how it ended."""

from datetime import timedelta

from endivedrift.core import Answer, RequestHead, RequestId
from endivedrift.core.events import AttemptFinished
from endivedrift.shell._log import make_logger
from endivedrift.shell._serving import Served

_log = make_logger("request")


def log_request(
    request: RequestId,
    caller_id: bytes | None,
    head: RequestHead,
    service: str,
    served: Served,
    took: timedelta,
) -> None:
    """Writes the line of a request that ended.

    Args:
      request: Id that this host gave it.
      caller_id: Id that the caller gave it, or None.
      head: The request.
      service: Service of its route, or the empty string.
      served: How it ended.
      took: Time from its arrival to its end.
    """
    result = served.result
    fields: dict[str, object] = {
        "request": request,
        "caller_id": (caller_id or b"").decode("latin-1"),
        "path": f"{head.method} {head.host}{head.path}",
        "service": service,
        "took_ms": round(took.total_seconds() * 1000.0, 1),
        "attempts": [_describe_attempt(end) for end in served.attempts],
    }
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


def _describe_attempt(end: AttemptFinished) -> str:
    """Tells target, outcome and time of an attempt, and the load that the target stated."""
    text = f"{end.target} {end.outcome.value} {end.latency.total_seconds() * 1000.0:.1f} ms"
    if end.load is None:
        return text
    return f"{text}, load {end.load.running}+{end.load.waiting}/{end.load.slots}"
