"""The caller side: HTTP/1.1 connections of callers.

Each connection has two tasks. One reads from the socket and notices when the caller hangs up; the
other takes requests one after the other and answers them. Answers are sent whole, after the
target's answer was read whole.
"""

import contextlib
from dataclasses import dataclass, field
from datetime import timedelta

import curio
import h11
from curio import socket

from endivedrift.core import (
    Address,
    Answer,
    Headers,
    HostPhase,
    Instant,
    Refusal,
    RefusalReason,
    RequestId,
)
from endivedrift.core.events import CallerGone
from endivedrift.fleet import find_route
from endivedrift.settings import LimitsSection
from endivedrift.shell._answers import HttpAnswer, describe_refusal, make_refusal
from endivedrift.shell._entry import ENTRY_PATH, answer_entry
from endivedrift.shell._http import (
    MAX_HEAD_BYTES,
    READ_BYTES,
    copy_headers,
    find_header,
    has_both_framings,
    measure_head,
    parse_endpoint,
)
from endivedrift.shell._requests import HeaderError, build_target_request, read_head
from endivedrift.shell._serving import Serving, serve_request

MAX_UNREAD_BYTES = 131_072
WRITE_TIMEOUT = timedelta(seconds=30)
CLOSING_IDLE = timedelta(milliseconds=500)
LISTEN_BACKLOG = 1_024
OVERLOAD_RETRY = timedelta(seconds=1)
LINGER = timedelta(seconds=1)

_REQUEST_ID = b"x-request-id"
_PLAIN_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})


class _RequestRefusedError(Exception):
    """A request that is refused before the decisions see it; the connection is closed after."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class _ConnectionEndedError(Exception):
    """The connection has no further request."""


@dataclass(slots=True)
class _Connection:
    sock: socket.socket
    http: h11.Connection
    arrived: curio.Event = field(default_factory=curio.Event)
    drained: curio.Event = field(default_factory=curio.Event)
    unread: int = 0
    ended: bool = False
    serving: RequestId | None = None
    closing: bool = False
    read_by: Instant = Instant(0)


class CallerSide:
    """Listens for callers and serves their requests."""

    def __init__(self, serving: Serving, address: Address, limits: LimitsSection) -> None:
        """Opens the listening socket.

        Raises:
          OSError: If the address cannot be used.
        """
        self._serving = serving
        self._runtime = serving.runtime
        self._limits = limits
        self._open: dict[int, _Connection] = {}
        self._closing = False
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(parse_endpoint(address).pair())
        self._listener.listen(LISTEN_BACKLOG)

    async def accept(self) -> None:
        """Accepts connections until cancelled."""
        while True:
            sock, _ = await self._listener.accept()
            await self._start(sock)

    async def stop_listening(self) -> None:
        """Takes the connections that wait to be accepted, then closes the listening socket."""
        self._closing = True
        with self._listener.blocking() as raw:
            raw.setblocking(False)
            waiting = []
            with contextlib.suppress(OSError):
                while True:
                    waiting.append(raw.accept()[0])
        await self._listener.close()
        for accepted in waiting:
            await self._start(socket.socket(fileno=accepted.detach()))
        for connection in list(self._open.values()):
            connection.closing = True
            await connection.arrived.set()

    def count_open(self) -> int:
        """Returns the number of open connections."""
        return len(self._open)

    async def _start(self, sock: socket.socket) -> None:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        connection = _Connection(sock, http, closing=self._closing)
        over = len(self._open) >= self._limits.connections
        self._open[id(connection)] = connection
        self._runtime.metrics.connections.set(len(self._open))
        await curio.spawn(self._run(connection, over), daemon=True)

    async def _run(self, connection: _Connection, over: bool) -> None:
        with contextlib.suppress(OSError):
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = await curio.spawn(self._read(connection), daemon=True)
        try:
            if over:
                detail = "the host has too many connections"
                reason = RefusalReason.TOO_MANY_CONNECTIONS
                raise _RequestRefusedError(make_refusal(reason, detail, OVERLOAD_RETRY))
            while await self._serve_next(connection):
                pass
        except _RequestRefusedError as refused:
            await self._refuse(connection, refused.refusal)
        except (_ConnectionEndedError, OSError, curio.TaskTimeout, curio.CancelledError):
            pass
        finally:
            await reader.cancel(blocking=False)
            with contextlib.suppress(OSError):
                await connection.sock.close()
            del self._open[id(connection)]
            self._runtime.metrics.connections.set(len(self._open))

    async def _read(self, connection: _Connection) -> None:
        """Feeds bytes to the parser and tells the decisions when the caller hangs up."""
        while not connection.ended:
            try:
                data = await connection.sock.recv(READ_BYTES)
            except OSError:
                data = b""
            connection.ended = not data
            connection.unread += len(data)
            try:
                connection.http.receive_data(data)
            except h11.RemoteProtocolError:
                connection.ended = True
            await connection.arrived.set()
            if connection.ended and connection.serving is not None:
                now = self._runtime.clock.monotonic()
                await self._runtime.dispatch(CallerGone(now, connection.serving))
            if connection.unread > MAX_UNREAD_BYTES:
                connection.drained.clear()
                await connection.drained.wait()

    async def _next_event(self, connection: _Connection, timeout: float) -> object:
        event = _parse_event(connection)
        if event is not h11.NEED_DATA:
            return event
        async with curio.timeout_after(timeout):
            while event is h11.NEED_DATA:
                connection.unread = 0
                if not connection.drained.is_set():
                    await connection.drained.set()
                await connection.arrived.wait()
                event = _parse_event(connection)
        return event

    async def _serve_next(self, connection: _Connection) -> bool:
        """Serves one request and tells whether another may follow."""
        request = await self._await_request(connection)
        request_id = self._runtime.new_request_id()
        headers = copy_headers(request.headers)
        method = request.method.decode("ascii", "replace")
        if measure_head(bytes(request.target), headers) > MAX_HEAD_BYTES:
            detail = f"the request head is limited to {MAX_HEAD_BYTES} bytes"
            raise _RequestRefusedError(make_refusal(RefusalReason.HEADERS_TOO_LARGE, detail))
        if has_both_framings(headers):
            detail = "Content-Length and Transfer-Encoding exclude one another"
            raise _RequestRefusedError(make_refusal(RefusalReason.BAD_REQUEST, detail))
        if method not in _PLAIN_METHODS:
            raise _RequestRefusedError(make_refusal(RefusalReason.UNSUPPORTED, f"method {method}"))
        if not request.target.startswith(b"/"):
            detail = "the request target must begin with a slash"
            raise _RequestRefusedError(make_refusal(RefusalReason.BAD_REQUEST, detail))
        body = await self._read_body(connection, request, headers, method)
        answer = await self._answer(connection, request, headers, request_id, body)
        return await self._send(connection, answer, request_id, method)

    async def _await_request(self, connection: _Connection) -> h11.Request:
        """Waits for a request head: long for its first byte, shorter for the rest."""
        connection.unread = len(connection.http.trailing_data[0])
        if not connection.closing:
            await _wait_for_bytes(connection, self._limits.idle_s)
        if connection.closing:
            await _wait_for_bytes(connection, CLOSING_IDLE.total_seconds())
        limit = timedelta(seconds=self._limits.head_s)
        connection.read_by = self._runtime.clock.monotonic() + limit
        event = await self._next_in_time(connection)
        if not isinstance(event, h11.Request):
            raise _ConnectionEndedError
        return event

    async def _read_body(
        self, connection: _Connection, request: h11.Request, headers: Headers, method: str
    ) -> bytes:
        path = request.target.decode("ascii").partition("?")[0]
        found = find_route(self._runtime.state.routes, method, path)
        limit = self._limits.body_bytes if found is None else found.route.request_limit_bytes
        declared = find_header(headers, b"content-length")
        if declared is not None and int(declared) > limit:
            detail = f"the body is limited to {limit} bytes"
            raise _RequestRefusedError(make_refusal(RefusalReason.TOO_LARGE, detail))
        if connection.http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await connection.sock.sendall(connection.http.send(go_on))
        body = bytearray()
        while True:
            event = await self._next_in_time(connection)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limit:
                    detail = f"the body is limited to {limit} bytes"
                    raise _RequestRefusedError(make_refusal(RefusalReason.TOO_LARGE, detail))
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise _ConnectionEndedError

    async def _next_in_time(self, connection: _Connection) -> object:
        """Returns the next parsed event of a request, all of which must arrive in time."""
        remaining = connection.read_by - self._runtime.clock.monotonic()
        try:
            return await self._next_event(connection, max(0.0, remaining.total_seconds()))
        except curio.TaskTimeout:
            detail = "the request did not arrive in time"
            raise _RequestRefusedError(make_refusal(RefusalReason.SLOW_CALLER, detail)) from None

    async def _answer(
        self,
        connection: _Connection,
        request: h11.Request,
        headers: Headers,
        request_id: RequestId,
        body: bytes,
    ) -> HttpAnswer:
        runtime = self._runtime
        path, _, query = request.target.decode("ascii").partition("?")
        if path == ENTRY_PATH:
            max_age = timedelta(seconds=self._limits.entry_max_age_s)
            return answer_entry(runtime.state, runtime.clock.wall(), query, max_age)
        target_request = build_target_request(request, headers, body)
        try:
            head = read_head(request, headers, target_request)
        except HeaderError as error:
            refusal = make_refusal(RefusalReason.BAD_REQUEST, str(error))
            return describe_refusal(refusal, request_id)
        started = runtime.clock.monotonic()
        connection.serving = request_id
        result = await serve_request(self._serving, request_id, head, target_request)
        connection.serving = None
        self._measure(head.method, path, result, runtime.clock.monotonic() - started)
        if isinstance(result, Answer):
            return HttpAnswer(result.status, result.headers, result.body)
        return describe_refusal(result, request_id)

    def _measure(self, method: str, path: str, result: Answer | Refusal, took: timedelta) -> None:
        found = find_route(self._runtime.state.routes, method, path)
        service = found.route.service if found is not None else ""
        label = "answered" if isinstance(result, Answer) else result.reason.value
        self._runtime.metrics.requests.labels(service, label).inc()
        self._runtime.metrics.request_seconds.labels(service).observe(took.total_seconds())

    async def _refuse(self, connection: _Connection, refusal: Refusal) -> None:
        """Answers with a refusal and closes the connection in order."""
        request_id = self._runtime.new_request_id()
        answer = describe_refusal(refusal, request_id)
        connection.closing = True
        with contextlib.suppress(OSError, h11.LocalProtocolError, curio.TaskTimeout):
            await self._send(connection, answer, request_id, "")
            await connection.sock.shutdown(socket.SHUT_WR)
            async with curio.ignore_after(LINGER.total_seconds()):
                while not connection.ended:
                    connection.arrived.clear()
                    await connection.arrived.wait()

    async def _send(
        self, connection: _Connection, answer: HttpAnswer, request_id: RequestId, method: str
    ) -> bool:
        """Sends an answer whole and tells whether the connection stays open."""
        http = connection.http
        leaving = self._runtime.state.phase is HostPhase.LEAVING
        last = connection.closing or leaving or http.our_state is h11.MUST_CLOSE
        headers = [*answer.headers, (_REQUEST_ID, request_id.encode())]
        if method != "HEAD" and answer.status not in (204, 304):
            headers.append((b"content-length", str(len(answer.body)).encode()))
        if last:
            headers.append((b"connection", b"close"))
        data = http.send(h11.Response(status_code=answer.status, headers=headers))
        if method != "HEAD" and answer.body:
            data += http.send(h11.Data(data=answer.body))
        data += http.send(h11.EndOfMessage())
        async with curio.timeout_after(WRITE_TIMEOUT.total_seconds()):
            await connection.sock.sendall(data)
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        return not last


def _parse_event(connection: _Connection) -> object:
    """Returns the next event that the bytes so far hold, or NEED_DATA."""
    connection.arrived.clear()
    try:
        return connection.http.next_event()
    except h11.RemoteProtocolError as error:
        raise _RequestRefusedError(_describe_protocol_error(error)) from None


async def _wait_for_bytes(connection: _Connection, seconds: float) -> None:
    """Waits until bytes arrive, the caller hangs up, or the connection is told to close."""
    if connection.unread or connection.ended:
        return
    connection.arrived.clear()
    async with curio.timeout_after(seconds):
        await connection.arrived.wait()


def _describe_protocol_error(error: h11.RemoteProtocolError) -> Refusal:
    if error.error_status_hint == 431:
        return make_refusal(RefusalReason.HEADERS_TOO_LARGE, "the request head is too large")
    if error.error_status_hint == 501:
        return make_refusal(RefusalReason.UNSUPPORTED, str(error))
    return make_refusal(RefusalReason.BAD_REQUEST, str(error))
