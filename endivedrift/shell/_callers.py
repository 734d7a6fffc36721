"""Serves HTTP/1.1 connections of callers, with pipelining.

Each connection has one task that feeds received bytes to the parser and detects that the caller
closed the connection, one task that reads requests one after the other, and one task for each
request in progress. Requests that may be repeated are served while earlier requests of the
connection are still in progress. Answers are sent in the order of the requests, each only after the
target's answer was read to its end.
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
    ServiceName,
)
from endivedrift.core.events import CallerDisconnected
from endivedrift.fleet import NamedRoute, find_route
from endivedrift.objects import ConnectionLimit
from endivedrift.policy import MIN_RATE, SMALL_BYTES, Holding
from endivedrift.reducer import is_primary
from endivedrift.settings import LimitsSection
from endivedrift.shell._answers import HttpAnswer, make_refusal
from endivedrift.shell._entry import ENTRY_PATH, answer_entry
from endivedrift.shell._http import (
    EVENTS_PER_TURN,
    READ_BYTES,
    build_buffers,
    copy_headers,
    drop_sent_bytes,
    find_header,
    has_both_framings,
    measure_head,
    parse_endpoint,
)
from endivedrift.shell._log import make_logger
from endivedrift.shell._memory import ClosingReason, Sending
from endivedrift.shell._request_log import log_request
from endivedrift.shell._requests import (
    HeaderError,
    build_target_request,
    identify_account,
    read_head,
    read_host,
)
from endivedrift.shell._serving import ServingContext, build_failure, serve_request

MAX_UNPARSED_BYTES = 131_072
MAX_PIPELINED_REQUESTS = 16
"""Maximum number of requests of one connection in progress; further ones are not read."""
WRITE_TIMEOUT = timedelta(seconds=30)
"""Time within which a caller must take the rest of an answer, or at least MIN_RATE of it."""
MAX_UNSENT_BYTES = 131_072
"""Bytes of a large answer that the kernel buffers besides those in transit. More would count as
taken by the caller, and are memory of the host too. The fastest hosts have 35 KB in transit."""
NO_MEMORY_RETRY_AFTER = timedelta(seconds=1)
CLOSING_IDLE_TIMEOUT = timedelta(milliseconds=500)
LISTEN_BACKLOG = 1_024
OVERLOAD_RETRY_AFTER = timedelta(seconds=1)
LINGER_TIMEOUT = timedelta(seconds=1)
HEAD_SLACK_BYTES = 1_024
"""Bytes beyond the head limit that the parser accepts, so that a head over the limit is parsed and
can be refused with an answer."""

_log = make_logger("callers")

_SUPPORTED_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})


class _RequestRefusedError(Exception):
    """A request that is refused before it reaches the reducer; the connection is then closed."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class _ConnectionEndedError(Exception):
    """No further request will be read from the connection."""


@dataclass(slots=True, eq=False)
class _Exchange:
    """One request and its answer.

    Attributes:
      http: Parser that read the request and frames the answer.
      caller_request_id: The request id that the caller sent, or None.
      holding: The bytes that the host holds for the request.
      received_at: When its last bytes were read from the socket.
      body: Body of the request until it is served.
      is_done: Whether serving has ended; if there is no answer then, the request was abandoned.
    """

    http: h11.Connection
    request_id: RequestId
    caller_request_id: bytes | None
    method: str
    holding: Holding
    received_at: Instant = Instant(0)
    body: bytes = b""
    answer: HttpAnswer | None = None
    is_done: bool = False


@dataclass(slots=True, eq=False)
class _Connection:
    """One connection of a caller.

    Attributes:
      http: Parser of the request that is being read.
      exchanges: Requests whose answers are not yet sent, in the order of arrival.
      wakeup: Set when bytes arrive, an answer was sent, or the connection must end.
      read_resumed: Set when the parser needs more bytes, so that reading continues.
      unparsed_bytes: Bytes given to the parser since it last asked for more.
      received_at: When the first of these were read. They may complete the request.
      is_reading: Whether a request is being read, from its first byte until it is in `exchanges`.
      is_ended: Whether the caller closed the connection, or it can no longer be used.
      is_closing: Whether the host wants to close the connection.
      must_finish: Whether the host closes it without answering requests it has not started.
      close_announced: Whether an answer with `Connection: close` was sent.
      is_writing: Whether a task is sending answers.
      read_deadline: When the request that is being read must be complete.
    """

    sock: socket.socket
    http: h11.Connection
    exchanges: deque[_Exchange] = field(default_factory=deque)
    wakeup: curio.Event = field(default_factory=curio.Event)
    read_resumed: curio.Event = field(default_factory=curio.Event)
    unparsed_bytes: int = 0
    received_at: Instant = Instant(0)
    is_reading: bool = False
    is_ended: bool = False
    is_closing: bool = False
    must_finish: bool = False
    close_announced: bool = False
    is_writing: bool = False
    read_deadline: Instant = Instant(0)


class CallerServer:
    """Listens for callers and serves their requests."""

    def __init__(
        self,
        context: ServingContext,
        address: Address,
        limits: LimitsSection,
        serves_entry: bool = True,
    ) -> None:
        """Opens the listening socket.

        Args:
          context: What serving a request needs.
          address: Address to listen on.
          limits: Limits used while the object set has none.
          serves_entry: Whether this server also answers entry requests.
        Raises:
          OSError: If the address cannot be used.
        """
        self._context = context
        self._runtime = context.runtime
        self._memory = context.pool.memory
        self._limits = limits
        self._default_limits = ConnectionLimit(
            head_ms=round(limits.head_s * 1000.0), idle_ms=round(limits.idle_s * 1000.0)
        )
        self._serves_entry = serves_entry
        self._connections: dict[int, _Connection] = {}
        self._is_closing = False
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(parse_endpoint(address).to_sockaddr())
        self._listener.listen(LISTEN_BACKLOG)

    async def accept(self) -> None:
        """Accepts connections until cancelled."""
        while True:
            sock, _ = await self._listener.accept()
            await self._start_connection(sock)

    async def stop_listening(self) -> None:
        """Accepts the connections in the backlog, then closes the listening socket."""
        self._is_closing = True
        with self._listener.blocking() as raw:
            raw.setblocking(False)
            waiting = []
            with contextlib.suppress(OSError):
                while True:
                    waiting.append(raw.accept()[0])
        await self._listener.close()
        for accepted in waiting:
            await self._start_connection(socket.socket(fileno=accepted.detach()))
        for connection in list(self._connections.values()):
            connection.is_closing = True
            await connection.wakeup.set()

    def finish_connections(self) -> None:
        """Ends each connection with the answers to the requests in progress on it."""
        for connection in self._connections.values():
            connection.must_finish = True

    def count_connections(self) -> int:
        """Returns the number of open connections."""
        return len(self._connections)

    async def _start_connection(self, sock: socket.socket) -> None:
        connection = _Connection(sock, self._new_parser(), is_closing=self._is_closing)
        is_over_limit = len(self._connections) >= self._limits.connections
        self._connections[id(connection)] = connection
        self._runtime.metrics.connections = len(self._connections)
        await curio.spawn(self._run_connection(connection, is_over_limit), daemon=True)

    def _new_parser(self) -> h11.Connection:
        limit = self._get_limits().head_bytes + HEAD_SLACK_BYTES
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def _get_limits(self) -> ConnectionLimit:
        """Returns the limits of the object set, or those of the settings where it has none."""
        limits = self._runtime.state.objects.connection_limit.values()
        return next(iter(limits), self._default_limits)

    async def _run_connection(self, connection: _Connection, is_over_limit: bool) -> None:
        with contextlib.suppress(OSError):
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = await curio.spawn(self._read_bytes(connection), daemon=True)
        try:
            if is_over_limit:
                detail = "the host has too many connections"
                reason = RefusalReason.TOO_MANY_CONNECTIONS
                raise _RequestRefusedError(make_refusal(reason, detail, OVERLOAD_RETRY_AFTER))
            while await self._accept_request(connection):
                pass
            await self._await_answers(connection)
            await self._close_gracefully(connection)
        except _RequestRefusedError as refused:
            await self._refuse(connection, refused.refusal)
        except (_ConnectionEndedError, OSError, curio.TaskTimeout, curio.CancelledError):
            pass
        finally:
            await reader.cancel(blocking=False)
            with contextlib.suppress(OSError):
                await connection.sock.close()
            self._release_unsent(connection)
            del self._connections[id(connection)]
            self._runtime.metrics.connections = len(self._connections)

    async def _read_bytes(self, connection: _Connection) -> None:
        """Feeds bytes to the parser, and reports to the reducer that the caller disconnected."""
        while not connection.is_ended:
            try:
                data = await connection.sock.recv(READ_BYTES)
            except OSError:
                data = b""
            connection.is_ended = not data
            if not connection.unparsed_bytes:
                connection.received_at = self._runtime.clock.monotonic()
            connection.unparsed_bytes += len(data)
            try:
                connection.http.receive_data(data)
            except h11.RemoteProtocolError:
                connection.is_ended = True
            await connection.wakeup.set()
            if connection.is_ended:
                await self._cancel_exchanges(connection)
            if connection.unparsed_bytes > MAX_UNPARSED_BYTES:
                connection.read_resumed.clear()
                await connection.read_resumed.wait()

    async def _cancel_exchanges(self, connection: _Connection) -> None:
        for exchange in list(connection.exchanges):
            if not exchange.is_done:
                now = self._runtime.clock.monotonic()
                await self._runtime.dispatch(CallerDisconnected(now, exchange.request_id))

    async def _next_event(self, connection: _Connection, timeout: float) -> object:
        event = _parse_event(connection)
        if event is not h11.NEED_DATA:
            return event
        async with curio.timeout_after(timeout):
            while event is h11.NEED_DATA:
                connection.unparsed_bytes = 0
                if not connection.read_resumed.is_set():
                    await connection.read_resumed.set()
                await connection.wakeup.wait()
                event = _parse_event(connection)
        return event

    async def _accept_request(self, connection: _Connection) -> bool:
        """Reads one request, starts serving it, and tells whether another one may follow."""
        await self._await_bytes(connection)
        if connection.close_announced:
            return False
        connection.is_reading = True
        request = await self._await_request(connection)
        request_id = self._runtime.new_request_id()
        headers = copy_headers(request.headers)
        method = request.method.decode("ascii", "replace")
        self._check_head(request, headers, method)
        path = request.target.decode("ascii").partition("?")[0]
        named_route = find_route(self._runtime.state.routes, method, path, read_host(headers))
        http = connection.http
        caller_request_id = find_header(headers, self._context.conventions.request_id_header)
        holding = self._memory.open(request_id, id(connection))
        exchange = _Exchange(http, request_id, caller_request_id, method, holding)
        try:
            exchange.body = await self._read_body(connection, headers, named_route, holding)
        except BaseException:
            self._memory.close(holding)
            raise
        exchange.received_at = connection.received_at
        if connection.close_announced:
            self._memory.close(holding)
            return False
        connection.exchanges.append(exchange)
        connection.is_reading = False
        is_final = http.their_state is not h11.DONE
        if not is_final:
            self._start_next_parser(connection)
            # The bytes of this request may have paused the reading, and no parser waits for more.
            if not connection.read_resumed.is_set():
                await connection.read_resumed.set()
        await curio.spawn(self._serve_exchange(connection, exchange, request, headers), daemon=True)
        if is_final:
            return False
        max_in_progress = (
            MAX_PIPELINED_REQUESTS
            if named_route is not None and named_route.route.repeatable
            else 1
        )
        while len(connection.exchanges) >= max_in_progress and not connection.is_ended:
            connection.wakeup.clear()
            await connection.wakeup.wait()
        return not connection.close_announced

    def _start_next_parser(self, connection: _Connection) -> None:
        """Creates the parser of the next request and gives it the bytes after this one."""
        rest, closed = connection.http.trailing_data
        connection.http = self._new_parser()
        connection.unparsed_bytes = len(rest)
        if rest:
            connection.http.receive_data(rest)
        if closed:
            connection.http.receive_data(b"")

    def _check_head(self, request: h11.Request, headers: Headers, method: str) -> None:
        limit = self._get_limits().head_bytes
        if measure_head(bytes(request.target), headers) > limit:
            detail = f"the request head is limited to {limit} bytes"
            raise _RequestRefusedError(make_refusal(RefusalReason.HEADERS_TOO_LARGE, detail))
        if has_both_framings(headers):
            detail = "Content-Length and Transfer-Encoding exclude one another"
            raise _RequestRefusedError(make_refusal(RefusalReason.BAD_REQUEST, detail))
        if method not in _SUPPORTED_METHODS:
            raise _RequestRefusedError(make_refusal(RefusalReason.UNSUPPORTED, f"method {method}"))
        if not request.target.startswith(b"/"):
            detail = "the request target must begin with a slash"
            raise _RequestRefusedError(make_refusal(RefusalReason.BAD_REQUEST, detail))

    async def _await_request(self, connection: _Connection) -> h11.Request:
        """Waits for a request head.

        The whole request, with its body, must be complete `head_ms` after reading begins.
        """
        limit = timedelta(milliseconds=self._get_limits().head_ms)
        connection.read_deadline = self._runtime.clock.monotonic() + limit
        event = await self._next_event_before_deadline(connection)
        if not isinstance(event, h11.Request):
            raise _ConnectionEndedError
        return event

    async def _await_bytes(self, connection: _Connection) -> None:
        """Waits until bytes arrive, the caller disconnects, or an answer announces the end.

        Raises:
          curio.TaskTimeout: If the connection was idle for too long.
        """
        idle = timedelta(milliseconds=self._get_limits().idle_ms)
        while (
            not connection.unparsed_bytes
            and not connection.is_ended
            and not connection.close_announced
        ):
            connection.wakeup.clear()
            if connection.exchanges:
                await connection.wakeup.wait()
                continue
            limit = CLOSING_IDLE_TIMEOUT if connection.is_closing else idle
            async with curio.timeout_after(limit.total_seconds()):
                await connection.wakeup.wait()

    async def _read_body(
        self,
        connection: _Connection,
        headers: Headers,
        named_route: NamedRoute | None,
        holding: Holding,
    ) -> bytes:
        limit = (
            self._limits.body_bytes
            if named_route is None
            else named_route.route.request_limit_bytes
        )
        declared = find_header(headers, b"content-length")
        if declared is not None and int(declared) > limit:
            detail = f"the body is limited to {limit} bytes"
            raise _RequestRefusedError(make_refusal(RefusalReason.TOO_LARGE, detail))
        if connection.http.they_are_waiting_for_100_continue and not connection.exchanges:
            interim_response = h11.InformationalResponse(status_code=100, headers=[])
            await connection.sock.sendall(connection.http.send(interim_response))
        body = bytearray()
        event_count = 0
        while True:
            event_count += 1
            if not event_count % EVENTS_PER_TURN:
                await curio.sleep(0)
            event = await self._next_event_before_deadline(connection)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limit:
                    detail = f"the body is limited to {limit} bytes"
                    raise _RequestRefusedError(make_refusal(RefusalReason.TOO_LARGE, detail))
                needed = max(len(body), int(declared or 0))
                if needed > holding.size:
                    await self._reserve_body(connection, headers, holding, needed)
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise _ConnectionEndedError

    async def _reserve_body(
        self, connection: _Connection, headers: Headers, holding: Holding, needed: int
    ) -> None:
        """Waits until the host has room for the body, while no more of it is read."""
        if needed > SMALL_BYTES:
            account = identify_account(
                self._context.conventions, headers, self._runtime.state.routes
            )
            self._memory.assign_account(holding, account)
        remaining = connection.read_deadline - self._runtime.clock.monotonic()
        if not await self._memory.reserve(holding, needed - holding.size, remaining):
            detail = "this host has no memory for the body"
            raise _RequestRefusedError(
                make_refusal(RefusalReason.NO_MEMORY, detail, NO_MEMORY_RETRY_AFTER)
            )

    async def _next_event_before_deadline(self, connection: _Connection) -> object:
        """Returns the next event of the request, which is refused if it misses its deadline."""
        remaining = connection.read_deadline - self._runtime.clock.monotonic()
        try:
            return await self._next_event(connection, max(0.0, remaining.total_seconds()))
        except curio.TaskTimeout:
            detail = "the request did not arrive in time"
            raise _RequestRefusedError(make_refusal(RefusalReason.SLOW_CALLER, detail)) from None

    async def _serve_exchange(
        self,
        connection: _Connection,
        exchange: _Exchange,
        request: h11.Request,
        headers: Headers,
    ) -> None:
        body_bytes = len(exchange.body)
        try:
            exchange.answer = await self._build_answer(exchange, request, headers)
            # A cancellation that came too late to be delivered must not interrupt the write.
            await curio.check_cancellation()
        except curio.CancelledError:
            pass
        except Exception:
            _log.exception("Answering a request failed.", request=exchange.request_id)
            conventions = self._context.conventions
            exchange.answer = conventions.describe_refusal(build_failure(), exchange.request_id)
        finally:
            exchange.is_done = True
            self._memory.release(exchange.holding, body_bytes)
        await self._send_ready_answers(connection)

    async def _build_answer(
        self, exchange: _Exchange, request: h11.Request, headers: Headers
    ) -> HttpAnswer:
        runtime, conventions = self._runtime, self._context.conventions
        body, exchange.body = exchange.body, b""
        path, _, query = request.target.decode("ascii").partition("?")
        if self._serves_entry and path == ENTRY_PATH:
            max_age = timedelta(seconds=self._limits.entry_max_age_s)
            return answer_entry(runtime.state, runtime.clock.wall(), query, max_age)
        routes = runtime.state.routes
        target_request = build_target_request(
            conventions, request, headers, body, routes.has_accounts
        )
        try:
            head = read_head(conventions, headers, target_request, routes)
        except HeaderError as error:
            refusal = make_refusal(RefusalReason.BAD_REQUEST, str(error))
            return conventions.describe_refusal(refusal, exchange.request_id)
        self._memory.assign_account(exchange.holding, head.caller)
        waited = runtime.clock.monotonic() - exchange.received_at
        runtime.metrics.request_wait.observe(waited.total_seconds())
        served = await serve_request(
            self._context, exchange.request_id, head, target_request, waited
        )
        duration = runtime.clock.monotonic() - exchange.received_at
        route = find_route(runtime.state.routes, head.method, path, head.host)
        service = ServiceName(route.route.service if route is not None else "")
        runtime.metrics.count_request(service, served.result, duration)
        log_request(
            exchange.request_id,
            exchange.caller_request_id,
            head,
            service,
            served,
            duration,
            waited,
            service in runtime.state.services and is_primary(runtime.state, service),
        )
        if isinstance(served.result, Answer):
            return HttpAnswer(served.result.status, served.result.headers, served.result.body)
        return conventions.describe_refusal(served.result, exchange.request_id)

    async def _await_answers(self, connection: _Connection) -> None:
        while connection.exchanges and not connection.is_ended:
            connection.wakeup.clear()
            await connection.wakeup.wait()

    async def _refuse(self, connection: _Connection, refusal: Refusal) -> None:
        """Sends a refusal after the answers to earlier requests, and closes the connection."""
        request_id = self._runtime.new_request_id()
        answer = self._context.conventions.describe_refusal(refusal, request_id)
        holding = self._memory.open(request_id, id(connection))
        exchange = _Exchange(
            connection.http, request_id, None, "", holding, answer=answer, is_done=True
        )
        connection.is_closing = True
        with contextlib.suppress(OSError, h11.LocalProtocolError, curio.TaskTimeout):
            await self._await_answers(connection)
            if not connection.close_announced:
                await self._send_answer(connection, exchange, is_last=True)
            await self._close_gracefully(connection)
        self._memory.close(holding)

    async def _close_gracefully(self, connection: _Connection) -> None:
        """Shuts down the sending side and waits until the caller closes the connection.

        Closing a socket with unread bytes sends a reset, which may discard an answer in transit.
        """
        with contextlib.suppress(OSError):
            await connection.sock.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(LINGER_TIMEOUT.total_seconds()):
            while not connection.is_ended:
                connection.wakeup.clear()
                connection.unparsed_bytes = 0
                await connection.read_resumed.set()
                await connection.wakeup.wait()

    async def _send_ready_answers(self, connection: _Connection) -> None:
        """Sends the completed answers at the head of the queue, in the order of the requests."""
        if connection.is_writing:
            return
        connection.is_writing = True
        try:
            while connection.exchanges and connection.exchanges[0].is_done:
                exchange = connection.exchanges[0]
                if exchange.answer is None:
                    connection.is_ended = True
                    break
                await self._send_answer(connection, exchange, self._is_last(connection, exchange))
                connection.exchanges.popleft()
                self._memory.close(exchange.holding)
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            connection.is_ended = True
        except Exception:
            _log.exception("Sending an answer failed; the connection is closed.")
            connection.is_ended = True
        finally:
            connection.is_writing = False
            if connection.is_ended:
                self._release_unsent(connection)
            await connection.wakeup.set()

    def _release_unsent(self, connection: _Connection) -> None:
        """Drops the answers that can no longer be sent; the requests of others go on."""
        for exchange in connection.exchanges:
            if exchange.is_done and not connection.is_writing:
                exchange.answer = None
                self._memory.close(exchange.holding)

    def _is_last(self, connection: _Connection, exchange: _Exchange) -> bool:
        """Tells whether the connection ends after this answer, which must be the last one due.

        A request that has arrived, even in part, is answered before the host ends the connection,
        unless the time for that has passed.
        """
        if exchange is not connection.exchanges[-1]:
            return False
        if connection.must_finish or exchange.http.their_state is not h11.DONE:
            return True
        if connection.is_reading or connection.unparsed_bytes:
            return False
        return connection.is_closing or self._runtime.state.phase is HostPhase.LEAVING

    async def _send_answer(
        self, connection: _Connection, exchange: _Exchange, is_last: bool
    ) -> None:
        answer, http, method = exchange.answer, exchange.http, exchange.method
        assert answer is not None
        connection.close_announced |= is_last
        headers = [*answer.headers, *self._build_id_header(exchange, answer)]
        if method != "HEAD" and answer.status not in (204, 304):
            headers.append((b"content-length", str(len(answer.body)).encode()))
        if is_last:
            headers.append((b"connection", b"close"))
        head = http.send(h11.Response(status_code=answer.status, headers=headers))
        assert head is not None
        body = answer.body if method != "HEAD" else b""
        if body:
            http.send_with_data_passthrough(h11.Data(data=body))
        http.send(h11.EndOfMessage())
        sock = connection.sock
        sending = await self._memory.start_sending(exchange.holding, sock, len(head) + len(body))
        try:
            await self._write(sending, head, body)
        finally:
            self._memory.finish_sending(sending)

    async def _write(self, sending: Sending, head: bytes, body: bytes) -> None:
        """Writes an answer, without a copy of a large body.

        Raises:
          OSError: If the caller or the host closed the connection.
          curio.TaskTimeout: If the caller takes too little of the answer in WRITE_TIMEOUT.
        """
        sock = sending.sock
        if len(body) > SMALL_BYTES:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)
        buffers = build_buffers(head, body)
        taken_before = 0
        while buffers:
            try:
                async with curio.timeout_after(WRITE_TIMEOUT.total_seconds()):
                    while buffers:
                        written = await sock.sendmsg(buffers)
                        sending.written += written
                        buffers = drop_sent_bytes(buffers, written)
            except curio.TaskTimeout:
                taken = sending.count_taken()
                if taken - taken_before < MIN_RATE * WRITE_TIMEOUT.total_seconds():
                    await self._memory.close_sending(sending, ClosingReason.TOO_SLOW)
                    raise
                taken_before = taken

    def _build_id_header(self, exchange: _Exchange, answer: HttpAnswer) -> Headers:
        conventions = self._context.conventions
        name = conventions.request_id_header
        if not conventions.keeps_request_ids:
            return ((name, exchange.request_id.encode()),)
        if exchange.caller_request_id is None or find_header(answer.headers, name) is not None:
            return ()
        return ((name, exchange.caller_request_id),)


def _parse_event(connection: _Connection) -> object:
    """Returns the next event in the bytes received so far, or NEED_DATA."""
    connection.wakeup.clear()
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
