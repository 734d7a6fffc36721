"""Serves HTTP/1.1 connections of callers, with pipelining.

Each connection has one task that feeds received bytes to the parser and detects that the caller
closed the connection, one task that reads requests one after the other, and one task for each
request in progress. Requests that may be repeated are served while earlier requests of the
connection are still in progress. Answers are sent in the order of the requests, each only after the
target's answer was read to its end.
"""

import contextlib
import re
import socket
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

import curio
import h11

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
from endivedrift.policy import (
    GUARANTEED_BYTES,
    MIN_RATE,
    SMALL_BYTES,
    ConnectionInput,
    Holding,
    compute_room,
    estimate_request_bytes,
    hold_input,
)
from endivedrift.reducer import is_primary
from endivedrift.settings import LimitsSection
from endivedrift.shell._answers import HttpAnswer, make_refusal
from endivedrift.shell._entry import ENTRY_PATH, answer_entry
from endivedrift.shell._http import (
    EVENTS_PER_TURN,
    READ_BYTES,
    accept_connections,
    build_buffers,
    copy_headers,
    drop_sent_bytes,
    find_header,
    has_both_framings,
    has_departed,
    has_unread_bytes,
    is_chunked,
    measure_head,
    parse_endpoint,
    reset_connection,
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
from endivedrift.shell._sockets import Socket, open_stream_socket

MAX_PENDING_BYTES = 65_536
"""Bytes of one connection that are read and not parsed; further ones are left to the kernel."""
RECEIVE_BUFFER_BYTES = 65_536
"""Bytes of a connection that the kernel holds while it is not read."""
MAX_CHUNKED_PIECE_BYTES = 16_384
"""Bytes of a chunked body that the parser is given at a time. What follows the body stays in the
parser until the request was answered."""
DEPARTURE_CHECK_PERIOD = timedelta(milliseconds=250)
"""Time between two checks whether the caller of a connection that is not read has left."""
UNUSED_TIME = timedelta(seconds=1)
"""Time without a complete request after which a connection may make room for a new one."""
MAX_REFUSED_CONNECTIONS = 32
"""Connections over the limit that are answered at a time; further ones are closed at once."""
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

_HEAD_END = re.compile(rb"\n\r?\n")
_HEAD_END_BYTES = 3
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
      head_bytes: Memory that the request takes besides its body.
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
    head_bytes: int = 0


@dataclass(slots=True, eq=False)
class _Connection:
    """One connection of a caller.

    Attributes:
      http: Parser of the request that is being read.
      input: What the connection holds of the budget for all of them.
      exchanges: Requests whose answers are not yet sent, in the order of arrival.
      wakeup: Set when bytes arrive, an answer was sent, or the connection must end.
      read_resumed: Set when there is room for more bytes, so that reading continues.
      pending: Bytes that were read and not given to the parser.
      parsing_bytes: Bytes given to the parser since its last event.
      head_end: The last bytes given to the parser, which may begin the end of a head.
      body_left: Bytes of the body that the parser was not given; None if the body is chunked.
      received_at: When the first of the pending bytes were read. They may complete the request.
      opened_at: When it was accepted.
      has_sent_request: Whether a complete request has arrived on it.
      is_waiting: Whether a request is being read that needs more bytes.
      is_discarding: Whether all further bytes are dropped.
      lacks_memory: Whether there is no room for what the request needs that is being read.
      is_reading: Whether a request is being read, from its first byte until it is in `exchanges`.
      is_ended: Whether the caller closed the connection, or it can no longer be used.
      is_closing: Whether the host wants to close the connection.
      must_finish: Whether the host closes it without answering requests it has not started.
      close_announced: Whether an answer with `Connection: close` was sent.
      is_writing: Whether a task is sending answers.
      read_deadline: When the request that is being read must be complete.
    """

    sock: Socket
    http: h11.Connection
    exchanges: deque[_Exchange] = field(default_factory=deque)
    wakeup: curio.Event = field(default_factory=curio.Event)
    read_resumed: curio.Event = field(default_factory=curio.Event)
    input: ConnectionInput = field(default_factory=ConnectionInput)
    pending: bytearray = field(default_factory=bytearray)
    parsing_bytes: int = 0
    head_end: bytes = b""
    body_left: int | None = 0
    opened_at: Instant = Instant(0)
    has_sent_request: bool = False
    is_waiting: bool = False
    is_discarding: bool = False
    lacks_memory: bool = False
    received_at: Instant = Instant(0)
    is_reading: bool = False
    is_ended: bool = False
    is_closing: bool = False
    must_finish: bool = False
    close_announced: bool = False
    is_writing: bool = False
    read_deadline: Instant = Instant(0)

    @property
    def has_unparsed_bytes(self) -> bool:
        """Whether bytes of a request were received that has not begun to be served."""
        return bool(self.pending or self.parsing_bytes)


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
        self._inputs = context.pool.memory.inputs
        self._limits = limits
        self._default_limits = ConnectionLimit(
            head_ms=round(limits.head_s * 1000.0), idle_ms=round(limits.idle_s * 1000.0)
        )
        self._serves_entry = serves_entry
        self._connections: dict[int, _Connection] = {}
        self._is_closing = False
        self._listener = open_stream_socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the size of the buffer.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._listener.bind(parse_endpoint(address).to_sockaddr())
        self._listener.listen(LISTEN_BACKLOG)

    async def accept(self) -> None:
        """Accepts connections until cancelled."""
        await accept_connections(self._listener, self._start_connection)

    async def stop_listening(self) -> None:
        """Accepts the connections in the backlog, then closes the listening socket."""
        self._is_closing = True
        waiting = []
        with contextlib.suppress(OSError):
            while True:
                waiting.append(self._listener.raw.accept()[0])
        await self._listener.close()
        for accepted in waiting:
            await self._start_connection(Socket(accepted))
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

    async def _start_connection(self, sock: Socket) -> None:
        over_limit = len(self._connections) - self._limits.caller_connections
        if over_limit >= 0 and await self._end_unused_connection():
            over_limit = -1
        if over_limit >= MAX_REFUSED_CONNECTIONS:
            self._runtime.metrics.closed_connections["too-many"] += 1
            await sock.close()
            return
        now = self._runtime.clock.monotonic()
        connection = _Connection(
            sock, self._new_parser(), is_closing=self._is_closing, opened_at=now
        )
        is_over_limit = over_limit >= 0
        self._connections[id(connection)] = connection
        self._runtime.metrics.connections = len(self._connections)
        await curio.spawn(self._run_connection(connection, is_over_limit), daemon=True)

    async def _end_unused_connection(self) -> bool:
        """Ends the oldest connection that has brought no request for a while, if there is any."""
        latest = self._runtime.clock.monotonic() - UNUSED_TIME
        for connection in self._connections.values():
            if connection.opened_at > latest:
                return False
            if not connection.has_sent_request and not connection.is_ended:
                self._runtime.metrics.closed_connections["unused"] += 1
                await self._abandon(connection)
                return True
        return False

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
            connection.is_ended = True
            self._drop_pending(connection)
            hold_input(self._inputs, connection.input, -connection.parsing_bytes)
            self._release_unsent(connection)
            del self._connections[id(connection)]
            self._runtime.metrics.connections = len(self._connections)

    async def _read_bytes(self, connection: _Connection) -> None:
        """Keeps what arrives for the parser, and reports that the caller disconnected."""
        is_sending_more = False
        while not connection.is_ended:
            # The room may shrink while nothing arrives, except for the guaranteed bytes.
            if is_sending_more:
                await _receive(connection.sock, 1, socket.MSG_PEEK)
            room = self._compute_room(connection)
            if not room:
                await self._await_room(connection)
                continue
            size = room if is_sending_more else min(room, GUARANTEED_BYTES)
            data = await _receive(connection.sock, size)
            is_sending_more = len(data) == size
            if not data:
                await self._abandon(connection)
            elif connection.is_ended or connection.is_discarding:
                # Others must have their turn however fast the caller sends.
                await curio.sleep(0)
            else:
                if not connection.pending:
                    connection.received_at = self._runtime.clock.monotonic()
                connection.pending += data
                hold_input(self._inputs, connection.input, len(data))
                await connection.wakeup.set()

    def _compute_room(self, connection: _Connection) -> int:
        """Returns how many bytes may be read from a connection now."""
        if connection.is_discarding:
            return READ_BYTES
        most = MAX_PENDING_BYTES - len(connection.pending)
        return min(most, compute_room(self._inputs, connection.input))

    async def _await_room(self, connection: _Connection) -> None:
        """Waits until there is room to read on.

        A request that is read and finds no room is refused. Where the caller has sent far ahead of
        its answers, the connection is closed if there is no room for what the kernel holds of it.
        """
        connection.read_resumed.clear()
        if connection.is_waiting and not connection.pending:
            connection.lacks_memory = True
            await connection.wakeup.set()
            await connection.read_resumed.wait()
            return
        held = RECEIVE_BUFFER_BYTES
        if connection.is_reading or not has_unread_bytes(connection.sock):
            held = 0
        if held > compute_room(self._inputs, connection.input):
            await self._close_for_memory(connection)
            return
        hold_input(self._inputs, connection.input, held)
        try:
            async with curio.ignore_after(DEPARTURE_CHECK_PERIOD.total_seconds()):
                await connection.read_resumed.wait()
        finally:
            hold_input(self._inputs, connection.input, -held)
        if has_departed(connection.sock):
            await self._abandon(connection)

    async def _abandon(self, connection: _Connection) -> None:
        """Ends a connection and its requests, also those that were not begun."""
        connection.is_ended = True
        self._drop_pending(connection)
        await connection.wakeup.set()
        await self._cancel_exchanges(connection)

    async def _close_for_memory(self, connection: _Connection) -> None:
        """Resets a connection for which there is no memory."""
        self._runtime.metrics.closed_connections["memory-short"] += 1
        _log.warning(
            "Connection closed: its caller sent far ahead of its answers.",
            in_progress=len(connection.exchanges),
            held_bytes=self._inputs.used,
            budget_bytes=self._inputs.limit,
        )
        await reset_connection(connection.sock)
        await self._abandon(connection)

    def _drop_pending(self, connection: _Connection) -> None:
        """Drops the bytes that were received and not given to the parser."""
        hold_input(self._inputs, connection.input, -len(connection.pending))
        connection.pending.clear()

    async def _discard_input(self, connection: _Connection) -> None:
        """Drops what was received and not parsed, and all that is received from now on."""
        connection.is_discarding = True
        self._drop_pending(connection)
        await connection.read_resumed.set()

    async def _cancel_exchanges(self, connection: _Connection) -> None:
        for exchange in list(connection.exchanges):
            if not exchange.is_done:
                now = self._runtime.clock.monotonic()
                await self._runtime.dispatch(CallerDisconnected(now, exchange.request_id))

    async def _next_event(self, connection: _Connection, timeout: float) -> object:
        event = self._parse_pending(connection)
        if event is not h11.NEED_DATA:
            return event
        if connection.is_ended:
            raise _ConnectionEndedError
        connection.is_waiting = True
        try:
            async with curio.timeout_after(timeout):
                while event is h11.NEED_DATA:
                    await connection.read_resumed.set()
                    await connection.wakeup.wait()
                    if connection.is_ended:
                        raise _ConnectionEndedError
                    if connection.lacks_memory:
                        raise _refuse_for_memory("request")
                    event = self._parse_pending(connection)
        finally:
            connection.is_waiting = False
        return event

    def _parse_pending(self, connection: _Connection) -> object:
        """Returns the next event in the bytes received so far, or NEED_DATA."""
        connection.wakeup.clear()
        event = _parse_event(connection)
        while event is h11.NEED_DATA and connection.pending:
            piece = _take_piece(connection, self._get_limits().head_bytes)
            connection.parsing_bytes += len(piece)
            connection.http.receive_data(piece)
            event = _parse_event(connection)
        if event is not h11.NEED_DATA:
            hold_input(self._inputs, connection.input, -connection.parsing_bytes)
            connection.parsing_bytes = 0
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
        head_bytes = await self._reserve_head(connection, request, headers)
        path = request.target.decode("ascii").partition("?")[0]
        named_route = find_route(self._runtime.state.routes, method, path, read_host(headers))
        http = connection.http
        caller_request_id = find_header(headers, self._context.conventions.request_id_header)
        holding = self._memory.open(request_id, id(connection))
        exchange = _Exchange(http, request_id, caller_request_id, method, holding)
        exchange.head_bytes = head_bytes
        try:
            exchange.body = await self._read_body(connection, headers, named_route, holding)
        except BaseException:
            self._release_exchange(connection, exchange)
            raise
        exchange.received_at = connection.received_at
        if connection.close_announced or connection.is_ended:
            self._release_exchange(connection, exchange)
            return False
        connection.exchanges.append(exchange)
        connection.has_sent_request = True
        connection.is_reading = False
        is_final = http.their_state is not h11.DONE
        has_rest = False
        if is_final:
            await self._discard_input(connection)
        else:
            has_rest = self._start_next_parser(connection)
            # The bytes of this request may have paused the reading, and no parser waits for more.
            await connection.read_resumed.set()
        await curio.spawn(self._serve_exchange(connection, exchange, request, headers), daemon=True)
        if is_final:
            return False
        max_in_progress = (
            MAX_PIPELINED_REQUESTS
            if named_route is not None and named_route.route.repeatable and not has_rest
            else 1
        )
        while len(connection.exchanges) >= max_in_progress and not connection.is_ended:
            connection.wakeup.clear()
            await connection.wakeup.wait()
        return not connection.close_announced

    def _start_next_parser(self, connection: _Connection) -> bool:
        """Creates the parser of the next request; tells whether the last one keeps bytes of it."""
        rest = connection.http.trailing_data[0]
        connection.http = self._new_parser()
        connection.head_end = b""
        connection.pending[:0] = rest
        hold_input(self._inputs, connection.input, len(rest))
        return bool(rest)

    async def _reserve_head(
        self, connection: _Connection, request: h11.Request, headers: Headers
    ) -> int:
        """Holds the memory that a request takes besides its body, and returns it.

        It waits for the answers to earlier requests of the connection if that makes room.
        """
        needed = estimate_request_bytes(measure_head(request.target, headers), len(headers))
        while needed > compute_room(self._inputs, connection.input):
            if not connection.exchanges or connection.is_ended:
                raise _refuse_for_memory("request")
            connection.wakeup.clear()
            await connection.wakeup.wait()
        hold_input(self._inputs, connection.input, needed)
        return needed

    def _release_exchange(self, connection: _Connection, exchange: _Exchange) -> None:
        """Returns all memory of a request; a second call does nothing."""
        self._memory.close(exchange.holding)
        hold_input(self._inputs, connection.input, -exchange.head_bytes)
        exchange.head_bytes = 0

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
            not connection.has_unparsed_bytes
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
        connection.body_left = None if is_chunked(headers) else int(declared or 0)
        if connection.http.they_are_waiting_for_100_continue and not connection.exchanges:
            interim_response = h11.InformationalResponse(status_code=100, headers=[])
            remaining = connection.read_deadline - self._runtime.clock.monotonic()
            async with curio.timeout_after(max(0.0, remaining.total_seconds())):
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
        if compute_room(self._inputs, connection.input) < RECEIVE_BUFFER_BYTES:
            # While this request waits, the kernel would hold more of it than there is room for.
            remaining = timedelta(0)
        if not await self._memory.reserve(holding, needed - holding.size, remaining):
            raise _refuse_for_memory("body")

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
        await self._discard_input(connection)
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
        await self._discard_input(connection)
        async with curio.ignore_after(LINGER_TIMEOUT.total_seconds()):
            while not connection.is_ended:
                connection.wakeup.clear()
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
                self._release_exchange(connection, exchange)
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
                self._release_exchange(connection, exchange)

    def _is_last(self, connection: _Connection, exchange: _Exchange) -> bool:
        """Tells whether the connection ends after this answer, which must be the last one due.

        A request that has arrived, even in part, is answered before the host ends the connection,
        unless the time for that has passed.
        """
        if exchange is not connection.exchanges[-1]:
            return False
        if connection.must_finish or exchange.http.their_state is not h11.DONE:
            return True
        if connection.is_reading or connection.has_unparsed_bytes:
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


def _refuse_for_memory(part: str) -> _RequestRefusedError:
    """Builds the refusal of a request for which, or for a part of which, there is no memory."""
    detail = f"this host has no memory for the {part}"
    return _RequestRefusedError(
        make_refusal(RefusalReason.NO_MEMORY, detail, NO_MEMORY_RETRY_AFTER)
    )


async def _receive(sock: Socket, size: int, flags: int = 0) -> bytes:
    """Receives bytes; returns none if the connection has ended in any way."""
    try:
        return bytes(await sock.recv(size, flags))
    except OSError:
        return b""


def _take_piece(connection: _Connection, head_limit: int) -> bytes:
    """Takes the pending bytes that belong to the request being read, as far as that can be told.

    So the parser, which is kept until the request was answered, keeps nothing of later requests,
    and of a head over the limit no more than it needs to reject it.
    """
    pending = connection.pending
    if connection.http.their_state is h11.IDLE:
        most = head_limit + HEAD_SLACK_BYTES + 1 - connection.parsing_bytes
        size = min(_measure_head_piece(connection), most)
    elif connection.body_left is None:
        size = min(len(pending), MAX_CHUNKED_PIECE_BYTES)
    else:
        size = min(len(pending), connection.body_left)
        connection.body_left -= size
    piece = bytes(pending[:size])
    del pending[:size]
    return piece


def _measure_head_piece(connection: _Connection) -> int:
    """Returns the number of pending bytes up to the end of the head that is being read."""
    pending, before = connection.pending, connection.head_end
    overlap = before + pending[: _HEAD_END_BYTES - 1]
    found = _HEAD_END.search(overlap) if before else None
    if found is not None:
        return found.end() - len(before)
    found = _HEAD_END.search(pending)
    connection.head_end = bytes((before + pending)[-_HEAD_END_BYTES + 1 :])
    return found.end() if found is not None else len(pending)


def _parse_event(connection: _Connection) -> object:
    """Returns the next event in the bytes that the parser was given, or NEED_DATA."""
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
