"""Makes attempts at targets over pooled HTTP/1.1 connections.

An answer is complete only when its framing says so and no bytes follow it. A connection is reused
only after a complete answer that echoes the request id it was sent, and then every answer on it
must echo one, so that a late or duplicate answer is never treated as the answer to a later request.
The HTTP conventions may name a header that proves that an answer comes from the target itself. An
answer with this header is complete at the end of its framing; bytes after it only prevent the reuse
of the connection.
"""

import contextlib
import re
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta

import curio
import h11

from endivedrift.core import (
    NO_RATE_LIMIT,
    Address,
    Answer,
    AttemptOutcome,
    Clock,
    Headers,
    Instant,
    RequestId,
    TargetLoad,
    TargetName,
)
from endivedrift.core.effects import SendToTarget
from endivedrift.core.events import AttemptFinished
from endivedrift.policy import Holding
from endivedrift.shell._answers import NOT_RUN_STATUSES
from endivedrift.shell._conventions import DEFAULT_CONVENTIONS, HttpConventions
from endivedrift.shell._http import (
    MAX_FINAL_STATUS,
    MAX_HEAD_BYTES,
    READ_BYTES,
    AnswerBounds,
    copy_headers,
    find_header,
    is_framed,
    parse_count,
    parse_endpoint,
    send_message,
    strip_hop_headers,
)
from endivedrift.shell._log import make_logger
from endivedrift.shell._memory import BodyMemory
from endivedrift.shell._sockets import Socket, open_stream_socket

MAX_IDLE_TIME = timedelta(seconds=10)
MAX_MEMORY_WAIT = timedelta(seconds=1.5)
"""Limit on the time that an answer waits for memory. Targets cut off an answer that is not read for
some seconds; answers that callers do not take are closed within 1.1 s."""
END_CHECK_TIMEOUT = timedelta(milliseconds=100)
"""Limit on the connection that shows whether a target has ended. A process that has ended refuses
it within a round trip; one that does not answer at all may live."""
EXIT_TIME = timedelta(milliseconds=10)
"""Time in which the kernel closes all sockets of a process that has ended. It may close connections
before the socket that accepts others, which then are reset."""
KEEP_ALIVE_FRACTION = 0.8
"""Fraction of the idle timeout announced by a target during which a connection is reused. The rest
covers the time that a request takes to reach the target."""
REFUSAL_STATUSES = frozenset({400, 421, 429, 503})
MISDIRECTED_STATUS = 421
RETRY_LATER_STATUSES = frozenset({429, 503})
"""Statuses with which a target may state how long it wants no further request."""
MAX_RETRY_AFTER = timedelta(minutes=10)
"""Longest such time that is honoured; a longer one is more likely a fault of the target."""
MIN_SERVER_ERROR_STATUS = 500

_DECIMAL = re.compile(rb"\d{1,15}(\.\d{1,15})?")

_log = make_logger("targets")


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request as it is sent to a target; `target` is the path with the query."""

    method: str
    target: bytes
    headers: Headers
    body: bytes


@dataclass(slots=True)
class _Connection:
    sock: Socket
    http: h11.Connection
    idle_since: Instant
    max_idle_time: timedelta = MAX_IDLE_TIME
    has_answered: bool = False


@dataclass(frozen=True, slots=True)
class _AttemptResult:
    outcome: AttemptOutcome
    answer: Answer | None = None
    leaving: bool = False
    load: TargetLoad | None = None
    retry_after: timedelta | None = None
    rate_limit: float | None = None
    new_connection: bool = False
    memory_wait: timedelta = timedelta(0)
    is_close_delimited: bool = False


class TargetPool:
    """Idle connections to targets, by address."""

    def __init__(
        self,
        clock: Clock,
        conventions: HttpConventions = DEFAULT_CONVENTIONS,
        memory: BodyMemory | None = None,
    ) -> None:
        """Creates an empty pool; answers are held in `memory`, by default one of the pool's own."""
        self.memory = memory or BodyMemory(clock)
        self._clock = clock
        self._conventions = conventions
        self._idle: dict[Address, deque[_Connection]] = {}

    async def attempt(
        self,
        effect: SendToTarget,
        request: TargetRequest,
        is_aborted: Callable[[], Awaitable[bool]],
        may_send: Callable[[], bool] = lambda: True,
    ) -> AttemptFinished:
        """Sends a request to a target and reads its answer.

        An unforeseen failure of this host ends the attempt like an answer that cannot be read.

        Args:
          effect: Target, deadline and limits.
          request: The request.
          is_aborted: Called each time that `late_after` passes without a complete answer; tells
            whether to end the attempt as timed out.
          may_send: Called when the request can be sent; tells whether to send it.
        Returns:
          How the attempt ended.
        Raises:
          curio.CancelledError: If the attempt was cancelled; its connection is closed.
        """
        started = self._clock.monotonic()
        try:
            attempt_result = await self._connect_and_exchange(
                effect, request, started, is_aborted, may_send
            )
        except Exception:
            _log.exception("An attempt failed.", request=effect.request, target=effect.target)
            attempt_result = _AttemptResult(AttemptOutcome.MALFORMED)
        # The wait for memory says nothing about the target.
        latency = self._clock.monotonic() - started - attempt_result.memory_wait
        target_ended = False
        if attempt_result.outcome is AttemptOutcome.CUT:
            target_ended = await self._refuses_connections(effect)
        elif attempt_result.answer is not None and attempt_result.is_close_delimited:
            # The kernel closes the connections of a process that is killed in the same way.
            try:
                is_cut = await self._ends_connections(effect)
            except ConnectionRefusedError:
                is_cut = target_ended = True
            if is_cut:
                attempt_result = replace(attempt_result, outcome=AttemptOutcome.CUT, answer=None)
        return AttemptFinished(
            self._clock.monotonic(),
            effect.request,
            effect.target,
            attempt_result.outcome,
            latency,
            attempt_result.answer,
            attempt_result.leaving,
            attempt_result.load,
            attempt_result.retry_after,
            target_ended,
            attempt_result.rate_limit,
            attempt_result.new_connection,
            started_ms=effect.started_ms,
        )

    async def close(self) -> None:
        """Closes all idle connections."""
        for queue in self._idle.values():
            while queue:
                await _close(queue.popleft().sock)

    async def close_expired(self) -> None:
        """Closes connections that were idle for longer than the limit."""
        now = self._clock.monotonic()
        for address, queue in list(self._idle.items()):
            while queue and now - queue[0].idle_since > MAX_IDLE_TIME:
                await _close(queue.popleft().sock)
            if not queue:
                del self._idle[address]

    async def _connect_and_exchange(
        self,
        effect: SendToTarget,
        request: TargetRequest,
        started: Instant,
        is_aborted: Callable[[], Awaitable[bool]],
        may_send: Callable[[], bool],
    ) -> _AttemptResult:
        remaining = (effect.deadline - started).total_seconds()
        if remaining <= 0.0:
            return _AttemptResult(AttemptOutcome.NOT_CONNECTED)
        connection = await self._take_idle(effect) if effect.max_reuse_idle else None
        is_new = connection is None
        if connection is None:
            connection = await self._open(effect, remaining)
        if connection is None:
            return _AttemptResult(AttemptOutcome.NOT_CONNECTED)
        if not may_send():
            await _close(connection.sock)
            return _AttemptResult(AttemptOutcome.WITHDRAWN)
        try:
            attempt_result = await self._exchange(effect, request, connection, is_aborted)
            return replace(attempt_result, new_connection=is_new)
        except BaseException:
            await _close(connection.sock)
            raise

    async def _exchange(
        self,
        effect: SendToTarget,
        request: TargetRequest,
        connection: _Connection,
        is_aborted: Callable[[], Awaitable[bool]],
    ) -> _AttemptResult:
        remaining = (effect.deadline - self._clock.monotonic()).total_seconds()
        if remaining <= 0.0:
            await _close(connection.sock)
            return _AttemptResult(AttemptOutcome.NOT_CONNECTED)
        attempt_result = _AttemptResult(AttemptOutcome.TIMED_OUT)
        holding = self.memory.find(effect.request)
        owned = self.memory.open(effect.request, id(connection)) if holding is None else None
        reader = _AnswerReader(
            self._conventions,
            effect,
            request,
            connection,
            self.memory,
            holding or owned or Holding(effect.request, id(connection)),
            self._clock,
        )
        try:
            async with curio.ignore_after(remaining):
                await self._send(connection, effect, request, remaining)
                read_result = None
                while read_result is None:
                    async with curio.ignore_after(effect.late_after.total_seconds()):
                        read_result = await reader.read()
                    if read_result is None and not reader.waits_for_memory and await is_aborted():
                        read_result = attempt_result
                attempt_result = read_result
        except OSError:
            attempt_result = _AttemptResult(AttemptOutcome.CUT)
        except h11.RemoteProtocolError:
            attempt_result = _AttemptResult(AttemptOutcome.MALFORMED)
        finally:
            reader.release_buffer(attempt_result.answer is not None)
            if owned is not None:
                self.memory.close(owned)
        if attempt_result.outcome is AttemptOutcome.TIMED_OUT and reader.waits_for_memory:
            attempt_result = _AttemptResult(AttemptOutcome.NO_MEMORY)
        attempt_result = replace(
            attempt_result,
            memory_wait=reader.memory_wait,
            is_close_delimited=reader.is_close_delimited(),
        )
        if attempt_result.outcome is not AttemptOutcome.MISDIRECTED and reader.states_leaving():
            attempt_result = replace(attempt_result, leaving=True)
        await self._release(effect, connection, attempt_result)
        return attempt_result

    async def _release(
        self, effect: SendToTarget, connection: _Connection, attempt_result: _AttemptResult
    ) -> None:
        echoed = attempt_result.answer is not None and find_header(
            attempt_result.answer.headers, self._conventions.request_id_header
        )
        http = connection.http
        reusable = http.our_state is h11.DONE and http.their_state is h11.DONE
        if not echoed or not reusable or attempt_result.leaving or http.trailing_data[0]:
            await _close(connection.sock)
            return
        http.start_next_cycle()
        connection.has_answered = True
        connection.idle_since = self._clock.monotonic()
        self._idle.setdefault(effect.address, deque()).append(connection)

    async def _take_idle(self, effect: SendToTarget) -> _Connection | None:
        queue = self._idle.get(effect.address)
        while queue:
            connection = queue.pop()
            idle = self._clock.monotonic() - connection.idle_since
            if idle > effect.max_reuse_idle and idle <= connection.max_idle_time:
                queue.append(connection)
                return None
            if idle <= connection.max_idle_time and _is_silent(connection.sock):
                return connection
            await _close(connection.sock)
        return None

    async def _refuses_connections(self, effect: SendToTarget) -> bool:
        """Tells whether a target refuses connections; if it accepts one, that is kept for later."""
        limit = min(END_CHECK_TIMEOUT, effect.deadline - self._clock.monotonic())
        if limit <= timedelta(0):
            return False
        try:
            connection = await self._connect(effect.address, limit.total_seconds())
        except ConnectionRefusedError:
            return True
        except (OSError, curio.TaskTimeout):
            return False
        self._idle.setdefault(effect.address, deque()).append(connection)
        return False

    async def _ends_connections(self, effect: SendToTarget) -> bool:
        """Tells whether a target resets a new connection in the time that a process takes to exit.

        One that stays open is kept for later. A target that has too many connections resets new
        ones too, so this does not show that it has ended.

        Raises:
          ConnectionRefusedError: If it refuses the connection, which shows that.
        """
        try:
            connection = await self._connect(effect.address, END_CHECK_TIMEOUT.total_seconds())
        except ConnectionRefusedError:
            raise
        except ConnectionResetError:
            return True
        except (OSError, curio.TaskTimeout):
            return False
        has_ended = True
        try:
            has_ended = await _ends_within(connection.sock, EXIT_TIME)
        finally:
            if has_ended:
                await _close(connection.sock)
        if not has_ended:
            self._idle.setdefault(effect.address, deque()).append(connection)
        return has_ended

    async def _open(self, effect: SendToTarget, remaining: float) -> _Connection | None:
        limit = min(remaining, effect.connect_timeout.total_seconds())
        try:
            return await self._connect(effect.address, limit)
        except (OSError, curio.TaskTimeout):
            return None

    async def _connect(self, address: Address, limit: float) -> _Connection:
        """Opens a connection within `limit` seconds.

        Raises:
          OSError: If the target refuses it or cannot be reached.
          curio.TaskTimeout: If the target does not answer in time.
        """
        sock = open_stream_socket()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with curio.timeout_after(limit):
                await sock.connect(parse_endpoint(address).to_sockaddr())
        except BaseException:
            await _close(sock)
            raise
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        return _Connection(sock, http, self._clock.monotonic())

    async def _send(
        self,
        connection: _Connection,
        effect: SendToTarget,
        request: TargetRequest,
        remaining: float,
    ) -> None:
        conventions = self._conventions
        milliseconds = str(max(1, int(remaining * 1000.0))).encode()
        headers = [*request.headers, (conventions.deadline_header, milliseconds)]
        if not conventions.keeps_request_ids:
            headers.append((conventions.request_id_header, _format_attempt_id(effect)))
        if conventions.expected_target_header is not None:
            headers.append((conventions.expected_target_header, effect.target.encode()))
        if conventions.caller_header is not None and effect.caller is not None:
            headers.append((conventions.caller_header, effect.caller.encode("latin-1")))
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        http = connection.http
        head = http.send(h11.Request(method=request.method, target=request.target, headers=headers))
        assert head is not None
        if request.body:
            http.send_with_data_passthrough(h11.Data(data=request.body))
        http.send(h11.EndOfMessage())
        await send_message(connection.sock, head, request.body)


def cancel_attempt(at: Instant, request: RequestId, target: TargetName) -> AttemptFinished:
    """Builds the event of a cancelled attempt; its latency is meaningless and therefore zero."""
    return AttemptFinished(at, request, target, AttemptOutcome.CANCELLED, timedelta(0))


@dataclass(slots=True)
class _AnswerReader:
    """Reads one answer; `read` may be called again after it was interrupted by a timeout.

    A target may send bytes without end, as heads, chunk headers or a body. Each of these is bounded
    by its size, and all together by the deadline of the attempt.
    """

    conventions: HttpConventions
    effect: SendToTarget
    request: TargetRequest
    connection: _Connection
    memory: BodyMemory
    holding: Holding
    clock: Clock
    needed_bytes: int = 0
    reserved_bytes: int = 0
    memory_wait: timedelta = timedelta(0)
    bounds: AnswerBounds = field(default_factory=AnswerBounds)
    response: h11.Response | None = None
    is_trusted: bool = False
    headers: Headers = ()
    body: bytearray = field(default_factory=bytearray)

    async def read(self) -> _AttemptResult:
        """Reads up to the end of the answer and classifies it."""
        attempt_result = None
        while attempt_result is None:
            if self.waits_for_memory and not await self._reserve():
                return _AttemptResult(AttemptOutcome.NO_MEMORY)
            await self.bounds.take_turn()
            event = self.connection.http.next_event()
            if event is h11.NEED_DATA:
                data = await self.connection.sock.recv(READ_BYTES)
                if not data and not self.is_close_delimited():
                    return _AttemptResult(AttemptOutcome.CUT)
                self.connection.http.receive_data(data)
                if not self.bounds.allow_bytes(len(data), len(self.body)):
                    return _AttemptResult(AttemptOutcome.TOO_LARGE)
            else:
                attempt_result = self._process_event(event)
        return attempt_result

    @property
    def waits_for_memory(self) -> bool:
        """Whether the answer needs memory that is not reserved yet."""
        return self.needed_bytes > self.reserved_bytes

    async def _reserve(self) -> bool:
        """Reserves the memory that the answer needs, and tells whether there was room in time."""
        size = self.needed_bytes - self.reserved_bytes
        began = self.clock.monotonic()
        try:
            reserved = await self.memory.reserve(
                self.holding, size, MAX_MEMORY_WAIT - self.memory_wait
            )
        finally:
            self.memory_wait += self.clock.monotonic() - began
        self.reserved_bytes += size if reserved else 0
        return reserved

    def is_close_delimited(self) -> bool:
        """Tells whether the answer has no length, so that it ends with its connection."""
        response = self.response
        return (
            response is not None
            and self.effect.close_delimited
            and not is_framed(response, self.headers, self.request.method)
        )

    def _process_event(self, event: object) -> _AttemptResult | None:
        if isinstance(event, h11.Response):
            self.response = event
            self.headers = copy_headers(event.headers)
            if event.status_code > MAX_FINAL_STATUS or not self._is_trustworthy(event):
                return _AttemptResult(AttemptOutcome.MALFORMED)
            self.is_trusted = True
            # Memory is reserved for the whole answer at once where its size is known. Otherwise
            # many answers, each read in part, could wait for one another.
            if self.request.method != "HEAD" and event.status_code not in (204, 304):
                declared = find_header(self.headers, b"content-length")
                self.needed_bytes = int(declared) if declared is not None else 0
            if self.needed_bytes > self.effect.answer_limit_bytes:
                return _AttemptResult(AttemptOutcome.TOO_LARGE)
        elif isinstance(event, h11.Data):
            self.body += event.data
            self.needed_bytes = max(self.needed_bytes, len(self.body))
            if len(self.body) > self.effect.answer_limit_bytes:
                return _AttemptResult(AttemptOutcome.TOO_LARGE)
        elif isinstance(event, h11.EndOfMessage) and self.response is not None:
            if self.connection.http.trailing_data[0] and not self._has_proof_header():
                return _AttemptResult(AttemptOutcome.MALFORMED)
            return self._classify(self.response.status_code)
        elif isinstance(event, h11.InformationalResponse):
            if not self.bounds.allow_interim(event):
                return _AttemptResult(AttemptOutcome.MALFORMED)
        else:
            return _AttemptResult(AttemptOutcome.MALFORMED)
        return None

    def release_buffer(self, is_answered: bool) -> None:
        """Drops the buffer when the attempt has ended.

        The bytes of an answer stay counted until it has been sent to the caller.
        """
        if not is_answered:
            self.memory.release(self.holding, self.reserved_bytes)
        self.body = bytearray()

    def _has_proof_header(self) -> bool:
        proof = self.conventions.proof_header
        return proof is not None and find_header(self.headers, proof) is not None

    def _is_trustworthy(self, response: h11.Response) -> bool:
        """Tells whether an answer is to this request, and says where it ends.

        An answer without a request id may be to an earlier request on the connection, if there was
        one.
        """
        echoed = find_header(self.headers, self.conventions.request_id_header)
        sent = _find_sent_id(self.conventions, self.effect, self.request)
        if echoed != sent and (echoed is not None or self.connection.has_answered):
            return False
        framed = is_framed(response, self.headers, self.request.method)
        return framed or self.effect.close_delimited

    def _classify(self, status: int) -> _AttemptResult:
        headers, effect = self.headers, self.effect
        leaving = self.states_leaving()
        refused = find_header(headers, effect.not_run_header) is not None
        retry_after = _read_retry_after(status, headers)
        self._apply_keep_alive()
        load = _read_load(headers, self.conventions.load_header)
        rate_limit = None
        if refused or self.conventions.proof_header is None or self._has_proof_header():
            rate_limit = _read_rate_limit(headers, self.conventions.rate_limit_headers)
        if status == MISDIRECTED_STATUS and self.conventions.expected_target_header is not None:
            return _AttemptResult(AttemptOutcome.MISDIRECTED)
        if refused and status in REFUSAL_STATUSES:
            outcome = AttemptOutcome.DRAINING if leaving else AttemptOutcome.SHED
            return _AttemptResult(outcome, None, leaving, load, retry_after, rate_limit)
        if self.conventions.proof_header is not None and not self._may_be_passed_on(status):
            return _AttemptResult(AttemptOutcome.MALFORMED, retry_after=retry_after)
        kept = strip_hop_headers(headers)
        if self.request.method == "HEAD":
            length = find_header(headers, b"content-length")
            kept += ((b"content-length", length),) if length is not None else ()
        answer = Answer(status, kept, bytes(self.body))
        return _AttemptResult(AttemptOutcome.ANSWERED, answer, leaving, load, rate_limit=rate_limit)

    def states_leaving(self) -> bool:
        """Tells whether the head of the answer states that the target is shutting down.

        It counts also if the answer cannot be used, unless it is the answer to another request.
        """
        if not self.is_trusted:
            return False
        names = (self.effect.draining_header, *self.conventions.leaving_headers)
        values = [find_header(self.headers, name) for name in names]
        return any(value is not None and value.strip() != b"0" for value in values)

    def _may_be_passed_on(self, status: int) -> bool:
        """Tells whether an answer may be passed on to the caller as the target's own.

        A status that tells the caller that its request did not run is passed on in no answer, since
        the target has not stated that. An answer with the proof header must also echo the request
        id and have no content encoding, since callers request none. Without the proof header, only
        server errors are passed on.
        """
        if status in NOT_RUN_STATUSES:
            return False
        if not self._has_proof_header():
            return status >= MIN_SERVER_ERROR_STATUS
        echoed = find_header(self.headers, self.conventions.request_id_header) is not None
        return echoed and find_header(self.headers, b"content-encoding") is None

    def _apply_keep_alive(self) -> None:
        stated = find_header(self.headers, b"keep-alive") or b""
        for part in stated.split(b","):
            name, _, value = part.partition(b"=")
            seconds = parse_count(value)
            if name.strip().lower() == b"timeout" and seconds is not None:
                limit = timedelta(seconds=seconds * KEEP_ALIVE_FRACTION)
                self.connection.max_idle_time = min(MAX_IDLE_TIME, limit)


def _find_sent_id(
    conventions: HttpConventions, effect: SendToTarget, request: TargetRequest
) -> bytes | None:
    if conventions.keeps_request_ids:
        return find_header(request.headers, conventions.request_id_header)
    return _format_attempt_id(effect)


def _read_load(headers: Headers, name: bytes | None) -> TargetLoad | None:
    """Reads the running and waiting requests and the slots; an invalid value is ignored."""
    parts = (find_header(headers, name) or b"").split(b",") if name is not None else []
    counts = [count for part in parts if (count := parse_count(part)) is not None]
    if len(counts) != 3 or len(parts) != 3:
        return None
    running, waiting, slots = counts
    return TargetLoad(running, waiting, slots)


def _read_rate_limit(headers: Headers, names: tuple[bytes, ...]) -> float | None:
    """Reads how many requests a second a target takes from all hosts together.

    Returns:
      The number, NO_RATE_LIMIT if the answer states none, or None if the statement is no number.
    """
    values = [find_header(headers, name) for name in names]
    stated = next((value.strip() for value in values if value is not None), None)
    if stated is None:
        return NO_RATE_LIMIT
    return float(stated) if _DECIMAL.fullmatch(stated) is not None else None


def _read_retry_after(status: int, headers: Headers) -> timedelta | None:
    """Reads for how long a target that refused a request wants no further one.

    The value is in seconds, with fractions. An invalid one, or a date, is ignored.
    """
    value = (find_header(headers, b"retry-after") or b"").strip()
    if status not in RETRY_LATER_STATUSES or _DECIMAL.fullmatch(value) is None:
        return None
    return min(MAX_RETRY_AFTER, timedelta(seconds=min(float(value), 1e6)))


def _format_attempt_id(effect: SendToTarget) -> bytes:
    return f"{effect.request}.{effect.target}".encode()


def _is_silent(sock: Socket) -> bool:
    """Tells whether an idle connection is open and has nothing to read."""
    try:
        sock.raw.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


async def _ends_within(sock: Socket, time: timedelta) -> bool:
    """Tells whether a connection ends in a time in which nothing is due on it."""
    has_ended = False
    async with curio.ignore_after(time.total_seconds()):
        with contextlib.suppress(OSError):
            await sock.recv(1, socket.MSG_PEEK)
        has_ended = True
    return has_ended


async def _close(sock: Socket) -> None:
    with contextlib.suppress(OSError):
        await sock.close()
