"""The caller side: HTTP/1.1 connections of callers.

Each connection has a task that feeds bytes to the parser and notices when the caller hangs up, a
task that takes requests one after the other, and a task for each request that is being served.
Requests that may be repeated are served while earlier ones still wait; answers go out whole, in the
order of the requests, after the target's answer was read whole.
"""

import contextlib
from collections import deque
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
from endivedrift.core.events import CallerDisconnected
from endivedrift.fleet import NamedRoute, find_route
from endivedrift.objects import ConnectionLimit
from endivedrift.settings import LimitsSection
from endivedrift.shell._answers import HttpAnswer, make_refusal
from endivedrift.shell._entry import ENTRY_PATH, answer_entry
from endivedrift.shell._http import (
    READ_BYTES,
    copy_headers,
    find_header,
    has_both_framings,
    measure_head,
    parse_endpoint,
)
from endivedrift.shell._request_log import log_request
from endivedrift.shell._requests import (
    HeaderError,
    build_target_request,
    read_head,
    read_host,
)
from endivedrift.shell._serving import Serving, serve_request

MAX_UNREAD_BYTES = 131_072
MAX_PIPELINED = 16
"""Requests of one connection that may be served at a time; further ones wait unread."""
WRITE_TIMEOUT = timedelta(seconds=30)
CLOSING_IDLE = timedelta(milliseconds=500)
LISTEN_BACKLOG = 1_024
OVERLOAD_RETRY = timedelta(seconds=1)
LINGER = timedelta(seconds=1)
HEAD_SLACK_BYTES = 1_024
"""Bytes above the limit of a head that the parser takes in, so that a longer head is answered."""

_PLAIN_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})


class _RequestRefusedError(Exception):
    """A request that is refused before the decisions see it; the connection is closed after."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class _ConnectionEndedError(Exception):
    """The connection has no further request."""


@dataclass(slots=True, eq=False)
class _Exchange:
    """One request and its answer.

    Attributes:
      http: Parser that read the request and frames the answer.
      caller_id: The caller's own id of the request, or None.
      done: Whether it was served; without an answer, the request was abandoned.
    """

    http: h11.Connection
    request_id: RequestId
    caller_id: bytes | None
    method: str
    answer: HttpAnswer | None = None
    done: bool = False


@dataclass(slots=True, eq=False)
class _Connection:
    """One connection of a caller.

    Attributes:
      http: Parser of the request that is being read.
      exchanges: Requests without an answer on the wire, in the order they came.
      arrived: Set when bytes arrive, an answer was sent, or the connection has to end.
      unread: Bytes given to the parser since it last asked for more.
      ended: Whether the caller hung up.
      closing: Whether the host wants the connection to end.
      last: Whether an answer that announces the end was sent.
    """

    sock: socket.socket
    http: h11.Connection
    exchanges: deque[_Exchange] = field(default_factory=deque)
    arrived: curio.Event = field(default_factory=curio.Event)
    drained: curio.Event = field(default_factory=curio.Event)
    unread: int = 0
    ended: bool = False
    closing: bool = False
    last: bool = False
    writing: bool = False
    read_by: Instant = Instant(0)


class CallerSide:
    """Listens for callers and serves their requests."""

    def __init__(
        self, serving: Serving, address: Address, limits: LimitsSection, entry: bool = True
    ) -> None:
        """Opens the listening socket.

        Args:
          serving: What serving a request needs.
          address: Where to listen.
          limits: Limits that hold while the object set names none.
          entry: Whether the entry question is answered here too.
        Raises:
          OSError: If the address cannot be used.
        """
        self._serving = serving
        self._runtime = serving.runtime
        self._limits = limits
        self._default_limit = ConnectionLimit(
            head_ms=round(limits.head_s * 1000.0), idle_ms=round(limits.idle_s * 1000.0)
        )
        self._entry = entry
        self._open: dict[int, _Connection] = {}
        self._closing = False
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(parse_endpoint(address).to_sockaddr())
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
        connection = _Connection(sock, self._new_parser(), closing=self._closing)
        over = len(self._open) >= self._limits.connections
        self._open[id(connection)] = connection
        self._runtime.metrics.connections.set(len(self._open))
        await curio.spawn(self._run(connection, over), daemon=True)

    def _new_parser(self) -> h11.Connection:
        limit = self._find_limit().head_bytes + HEAD_SLACK_BYTES
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def _find_limit(self) -> ConnectionLimit:
        """Returns the limits of the object set, or those of the settings where it has none."""
        limits = self._runtime.state.objects.connection_limit.values()
        return next(iter(limits), self._default_limit)

    async def _run(self, connection: _Connection, over: bool) -> None:
        with contextlib.suppress(OSError):
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = await curio.spawn(self._read(connection), daemon=True)
        try:
            if over:
                detail = "the host has too many connections"
                reason = RefusalReason.TOO_MANY_CONNECTIONS
                raise _RequestRefusedError(make_refusal(reason, detail, OVERLOAD_RETRY))
            while await self._take_request(connection):
                pass
            await self._await_answers(connection)
            await self._linger(connection)
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
            if connection.ended:
                await self._drop_exchanges(connection)
            if connection.unread > MAX_UNREAD_BYTES:
                connection.drained.clear()
                await connection.drained.wait()

    async def _drop_exchanges(self, connection: _Connection) -> None:
        for exchange in list(connection.exchanges):
            if not exchange.done:
                now = self._runtime.clock.monotonic()
                await self._runtime.dispatch(CallerDisconnected(now, exchange.request_id))

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

    async def _take_request(self, connection: _Connection) -> bool:
        """Reads one request, lets it be served, and tells whether another may follow."""
        request = await self._await_request(connection)
        request_id = self._runtime.new_request_id()
        headers = copy_headers(request.headers)
        method = request.method.decode("ascii", "replace")
        self._check_head(request, headers, method)
        path = request.target.decode("ascii").partition("?")[0]
        found = find_route(self._runtime.state.routes, method, path, read_host(headers))
        body = await self._read_body(connection, headers, found)
        http = connection.http
        caller_id = find_header(headers, self._serving.dialect.request_id_header)
        exchange = _Exchange(http, request_id, caller_id, method)
        connection.exchanges.append(exchange)
        final = http.their_state is not h11.DONE
        if not final:
            self._start_next_parser(connection)
        await curio.spawn(self._serve(connection, exchange, request, headers, body), daemon=True)
        if final:
            return False
        depth = MAX_PIPELINED if found is not None and found.route.repeatable else 1
        while len(connection.exchanges) >= depth and not connection.ended:
            connection.arrived.clear()
            await connection.arrived.wait()
        return not connection.last

    def _start_next_parser(self, connection: _Connection) -> None:
        """Gives the bytes behind a whole request to a parser of their own."""
        rest, closed = connection.http.trailing_data
        connection.http = self._new_parser()
        connection.unread = len(rest)
        if rest:
            connection.http.receive_data(rest)
        if closed:
            connection.http.receive_data(b"")

    def _check_head(self, request: h11.Request, headers: Headers, method: str) -> None:
        limit = self._find_limit().head_bytes
        if measure_head(bytes(request.target), headers) > limit:
            detail = f"the request head is limited to {limit} bytes"
            raise _RequestRefusedError(make_refusal(RefusalReason.HEADERS_TOO_LARGE, detail))
        if has_both_framings(headers):
            detail = "Content-Length and Transfer-Encoding exclude one another"
            raise _RequestRefusedError(make_refusal(RefusalReason.BAD_REQUEST, detail))
        if method not in _PLAIN_METHODS:
            raise _RequestRefusedError(make_refusal(RefusalReason.UNSUPPORTED, f"method {method}"))
        if not request.target.startswith(b"/"):
            detail = "the request target must begin with a slash"
            raise _RequestRefusedError(make_refusal(RefusalReason.BAD_REQUEST, detail))

    async def _await_request(self, connection: _Connection) -> h11.Request:
        """Waits for a request head: long for its first byte, shorter for the rest."""
        await self._await_bytes(connection)
        limit = timedelta(milliseconds=self._find_limit().head_ms)
        connection.read_by = self._runtime.clock.monotonic() + limit
        event = await self._next_in_time(connection)
        if not isinstance(event, h11.Request):
            raise _ConnectionEndedError
        return event

    async def _await_bytes(self, connection: _Connection) -> None:
        """Waits until bytes arrive, the caller hangs up, or the connection has been idle."""
        idle = timedelta(milliseconds=self._find_limit().idle_ms)
        while not connection.unread and not connection.ended and not connection.last:
            connection.arrived.clear()
            if connection.exchanges:
                await connection.arrived.wait()
                continue
            limit = CLOSING_IDLE if connection.closing else idle
            async with curio.timeout_after(limit.total_seconds()):
                await connection.arrived.wait()
        if connection.last:
            raise _ConnectionEndedError

    async def _read_body(
        self, connection: _Connection, headers: Headers, found: NamedRoute | None
    ) -> bytes:
        limit = self._limits.body_bytes if found is None else found.route.request_limit_bytes
        declared = find_header(headers, b"content-length")
        if declared is not None and int(declared) > limit:
            detail = f"the body is limited to {limit} bytes"
            raise _RequestRefusedError(make_refusal(RefusalReason.TOO_LARGE, detail))
        if connection.http.they_are_waiting_for_100_continue and not connection.exchanges:
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

    async def _serve(
        self,
        connection: _Connection,
        exchange: _Exchange,
        request: h11.Request,
        headers: Headers,
        body: bytes,
    ) -> None:
        try:
            exchange.answer = await self._answer(exchange, request, headers, body)
        except curio.CancelledError:
            pass
        finally:
            exchange.done = True
        await self._send_ready(connection)

    async def _answer(
        self, exchange: _Exchange, request: h11.Request, headers: Headers, body: bytes
    ) -> HttpAnswer:
        runtime, dialect = self._runtime, self._serving.dialect
        path, _, query = request.target.decode("ascii").partition("?")
        if self._entry and path == ENTRY_PATH:
            max_age = timedelta(seconds=self._limits.entry_max_age_s)
            return answer_entry(runtime.state, runtime.clock.wall(), query, max_age)
        target_request = build_target_request(dialect, request, headers, body)
        try:
            head = read_head(dialect, headers, target_request)
        except HeaderError as error:
            refusal = make_refusal(RefusalReason.BAD_REQUEST, str(error))
            return dialect.describe_refusal(refusal, exchange.request_id)
        started = runtime.clock.monotonic()
        served = await serve_request(self._serving, exchange.request_id, head, target_request)
        took = runtime.clock.monotonic() - started
        route = find_route(runtime.state.routes, head.method, path, head.host)
        service = route.route.service if route is not None else ""
        runtime.metrics.count_request(service, served.result, took)
        log_request(exchange.request_id, exchange.caller_id, head, service, served, took)
        if isinstance(served.result, Answer):
            return HttpAnswer(served.result.status, served.result.headers, served.result.body)
        return dialect.describe_refusal(served.result, exchange.request_id)

    async def _await_answers(self, connection: _Connection) -> None:
        while connection.exchanges and not connection.ended:
            connection.arrived.clear()
            await connection.arrived.wait()

    async def _refuse(self, connection: _Connection, refusal: Refusal) -> None:
        """Answers with a refusal, after the answers to earlier requests, and closes in order."""
        request_id = self._runtime.new_request_id()
        answer = self._serving.dialect.describe_refusal(refusal, request_id)
        exchange = _Exchange(connection.http, request_id, None, "", answer, done=True)
        connection.closing = True
        with contextlib.suppress(OSError, h11.LocalProtocolError, curio.TaskTimeout):
            await self._await_answers(connection)
            await self._send(connection, exchange, last=True)
            await self._linger(connection)

    async def _linger(self, connection: _Connection) -> None:
        """Ends the sending side and waits for the caller's end, so that no answer is reset."""
        with contextlib.suppress(OSError):
            await connection.sock.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(LINGER.total_seconds()):
            while not connection.ended:
                connection.arrived.clear()
                connection.unread = 0
                await connection.drained.set()
                await connection.arrived.wait()

    async def _send_ready(self, connection: _Connection) -> None:
        """Sends the answers that are ready and whose turn it is."""
        if connection.writing:
            return
        connection.writing = True
        try:
            while connection.exchanges and connection.exchanges[0].done:
                exchange = connection.exchanges[0]
                if exchange.answer is None:
                    connection.ended = True
                    break
                await self._send(connection, exchange, self._is_last(connection, exchange))
                connection.exchanges.popleft()
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            connection.ended = True
        finally:
            connection.writing = False
            await connection.arrived.set()

    def _is_last(self, connection: _Connection, exchange: _Exchange) -> bool:
        """Tells whether the connection ends after an answer: never before one that is due."""
        if exchange is not connection.exchanges[-1]:
            return False
        leaving = self._runtime.state.phase is HostPhase.LEAVING
        final = exchange.http.their_state is not h11.DONE
        return connection.closing or leaving or final

    async def _send(self, connection: _Connection, exchange: _Exchange, last: bool) -> None:
        answer, http, method = exchange.answer, exchange.http, exchange.method
        assert answer is not None
        connection.last |= last
        headers = [*answer.headers, *self._name_request(exchange, answer)]
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

    def _name_request(self, exchange: _Exchange, answer: HttpAnswer) -> Headers:
        dialect = self._serving.dialect
        name = dialect.request_id_header
        if not dialect.keeps_request_ids:
            return ((name, exchange.request_id.encode()),)
        if exchange.caller_id is None or find_header(answer.headers, name) is not None:
            return ()
        return ((name, exchange.caller_id),)


def _parse_event(connection: _Connection) -> object:
    """Returns the next event that the bytes so far hold, or NEED_DATA."""
    connection.arrived.clear()
    try:
        return connection.http.next_event()
    except h11.RemoteProtocolError as error:
        raise _RequestRefusedError(_describe_protocol_error(error)) from None


def _describe_protocol_error(error: h11.RemoteProtocolError) -> Refusal:
    if error.error_status_hint == 431:
        return make_refusal(RefusalReason.HEADERS_TOO_LARGE, "the request head is too large")
    if error.error_status_hint == 501:
        return make_refusal(RefusalReason.UNSUPPORTED, str(error))
    return make_refusal(RefusalReason.BAD_REQUEST, str(error))
