"""The operator side: metrics, health, state and the audit trail over HTTP."""

import contextlib
import json
from datetime import timedelta
from typing import Any
from urllib.parse import parse_qs

import curio
import h11
from curio import socket

from endivedrift.core import Address, HostPhase, StampedEntry
from endivedrift.shell._answers import HttpAnswer
from endivedrift.shell._http import MAX_HEAD_BYTES, READ_BYTES, parse_endpoint
from endivedrift.shell._report import describe_state
from endivedrift.shell._runtime import Runtime

REQUEST_TIMEOUT = timedelta(seconds=10)
MAX_CONNECTIONS = 32


class OperatorSide:
    """Answers operators, one request a connection."""

    def __init__(self, runtime: Runtime, address: Address) -> None:
        """Opens the listening socket.

        Raises:
          OSError: If the address cannot be used.
        """
        self._runtime = runtime
        self._open = 0
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(parse_endpoint(address).pair())
        self._listener.listen(MAX_CONNECTIONS)

    async def accept(self) -> None:
        """Accepts connections until cancelled."""
        while True:
            sock, _ = await self._listener.accept()
            if self._open >= MAX_CONNECTIONS:
                await sock.close()
                continue
            self._open += 1
            await curio.spawn(self._serve(sock), daemon=True)

    async def close(self) -> None:
        """Closes the listening socket."""
        await self._listener.close()

    async def _serve(self, sock: socket.socket) -> None:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        errors = (OSError, h11.RemoteProtocolError, h11.LocalProtocolError, curio.TaskTimeout)
        try:
            with contextlib.suppress(*errors):
                async with curio.timeout_after(REQUEST_TIMEOUT.total_seconds()):
                    await self._answer(sock, http)
        finally:
            self._open -= 1
            with contextlib.suppress(OSError):
                await sock.close()

    async def _answer(self, sock: socket.socket, http: h11.Connection) -> None:
        event = http.next_event()
        while event is h11.NEED_DATA:
            http.receive_data(await sock.recv(READ_BYTES))
            event = http.next_event()
        if not isinstance(event, h11.Request):
            return
        answer = self._route(event)
        headers = [
            *answer.headers,
            (b"content-length", str(len(answer.body)).encode()),
            (b"connection", b"close"),
        ]
        data = http.send(h11.Response(status_code=answer.status, headers=headers))
        if event.method != b"HEAD":
            data += http.send(h11.Data(data=answer.body))
        await sock.sendall(data + http.send(h11.EndOfMessage()))

    def _route(self, request: h11.Request) -> HttpAnswer:
        if request.method not in (b"GET", b"HEAD"):
            return _answer_json(405, {"title": "only GET is served"})
        path, _, query = request.target.decode("ascii").partition("?")
        fields = parse_qs(query)
        if path == "/metrics":
            body = self._runtime.metrics.render(self._runtime.state)
            return HttpAnswer(200, ((b"content-type", b"text/plain; version=0.0.4"),), body)
        if path == "/health":
            phase = self._runtime.state.phase
            return _answer_json(200 if phase is HostPhase.SERVING else 503, {"phase": phase.value})
        if path == "/state":
            return _answer_json(200, describe_state(self._runtime))
        if path == "/audit":
            return _answer_json(200, {"entries": self._list_audit(fields)})
        return _answer_json(404, {"title": "unknown path"})

    def _list_audit(self, fields: dict[str, list[str]]) -> list[dict[str, Any]]:
        wanted = {name: values[0] for name, values in fields.items()}
        return [
            _describe_entry(stamped)
            for stamped in self._runtime.audit
            if all(_describe_entry(stamped).get(name) == value for name, value in wanted.items())
        ]


def _describe_entry(stamped: StampedEntry) -> dict[str, Any]:
    entry = stamped.entry
    return {
        "date": stamped.date.isoformat(timespec="milliseconds"),
        "kind": entry.kind.value,
        "subject": entry.subject,
        "service": entry.service,
        "request": entry.request,
        "cause": entry.cause,
    }


def _answer_json(status: int, body: dict[str, Any]) -> HttpAnswer:
    return HttpAnswer(status, ((b"content-type", b"application/json"),), json.dumps(body).encode())
