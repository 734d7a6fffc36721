"""Serves metrics, health, state and the audit trail to operators over HTTP."""

import json
from typing import Any
from urllib.parse import parse_qs

import h11

from endivedrift.core import Address, HostPhase, TimestampedAuditEntry
from endivedrift.shell._answers import HttpAnswer
from endivedrift.shell._report import describe_state
from endivedrift.shell._route_report import build_queried_head, describe_explanation
from endivedrift.shell._runtime import Runtime
from endivedrift.shell._simple_http_server import SimpleHttpServer


class OperatorServer:
    """HTTP server for operators."""

    def __init__(self, runtime: Runtime, address: Address, max_connections: int) -> None:
        """Opens the listening socket.

        Args:
          runtime: What is reported on.
          address: Address to listen on.
          max_connections: Maximum number of open connections.
        Raises:
          OSError: If the address cannot be used.
        """
        self._runtime = runtime
        self._server = SimpleHttpServer(address, self._handle_request, max_connections)

    async def accept(self) -> None:
        """Accepts connections until cancelled."""
        await self._server.accept()

    async def close(self) -> None:
        """Closes the listening socket."""
        await self._server.close()

    def _handle_request(self, request: h11.Request) -> HttpAnswer:
        if request.method not in (b"GET", b"HEAD"):
            return _answer_json(405, {"title": "only GET is served"})
        path, _, query = request.target.decode("ascii").partition("?")
        fields = parse_qs(query)
        if path == "/metrics":
            body = self._runtime.metrics.render(
                self._runtime.state, self._runtime.clock.monotonic()
            )
            return HttpAnswer(200, ((b"content-type", b"text/plain; version=0.0.4"),), body)
        if path == "/health":
            phase = self._runtime.state.phase
            return _answer_json(200 if phase is HostPhase.SERVING else 503, {"phase": phase.value})
        if path == "/state":
            return _answer_json(200, describe_state(self._runtime))
        if path == "/route":
            return self._explain_route(fields)
        if path == "/audit":
            return _answer_json(200, {"entries": self._list_audit(fields)})
        return _answer_json(404, {"title": "unknown path"})

    def _explain_route(self, fields: dict[str, list[str]]) -> HttpAnswer:
        """Answers where a request would go; 400 if the query does not describe one."""
        filters = {name: values[0] for name, values in fields.items()}
        try:
            head = build_queried_head(filters, self._runtime.state.routes)
        except ValueError as error:
            return _answer_json(400, {"title": str(error)})
        return _answer_json(200, describe_explanation(self._runtime, head))

    def _list_audit(self, fields: dict[str, list[str]]) -> list[dict[str, Any]]:
        filters = {name: values[0] for name, values in fields.items()}
        return [
            _describe_entry(timestamped)
            for timestamped in self._runtime.audit
            if all(
                _describe_entry(timestamped).get(name) == value for name, value in filters.items()
            )
        ]


def _describe_entry(timestamped: TimestampedAuditEntry) -> dict[str, Any]:
    entry = timestamped.entry
    return {
        "date": timestamped.date.isoformat(timespec="milliseconds"),
        "kind": entry.kind.value,
        "subject": entry.subject,
        "service": entry.service,
        "request": entry.request,
        "cause": entry.cause,
    }


def _answer_json(status: int, body: dict[str, Any]) -> HttpAnswer:
    return HttpAnswer(status, ((b"content-type", b"application/json"),), json.dumps(body).encode())
