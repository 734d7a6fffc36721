"""The target side: one attempt at a target over a pooled connection.

An answer counts as complete only when its framing says so and nothing follows it. A connection is
used again only after a complete answer that carried the request id it was sent, so that a late or
doubled answer is never taken for the answer to a later request.
"""

import contextlib
import socket as stdlib_socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta

import curio
import h11
from curio import socket

from endivedrift.core import (
    Address,
    Answer,
    AttemptOutcome,
    Clock,
    Headers,
    Instant,
    RequestId,
    TargetName,
)
from endivedrift.core.effects import SendToTarget
from endivedrift.core.events import AttemptFinished
from endivedrift.shell._http import (
    MAX_HEAD_BYTES,
    READ_BYTES,
    copy_headers,
    find_header,
    is_framed,
    parse_endpoint,
    strip_hop_headers,
)

CONNECT_TIMEOUT = timedelta(seconds=1)
MAX_IDLE = timedelta(seconds=10)
REQUEST_ID_HEADER = b"x-request-id"
DEADLINE_HEADER = b"x-request-deadline-ms"
REFUSING_STATUSES = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request as it is sent to a target; `target` is path and query."""

    method: str
    target: bytes
    headers: Headers
    body: bytes


@dataclass(slots=True)
class _Connection:
    sock: socket.socket
    http: h11.Connection
    idle_since: Instant


@dataclass(frozen=True, slots=True)
class _Ended:
    outcome: AttemptOutcome
    answer: Answer | None = None
    leaving: bool = False


class TargetPool:
    """Connections to targets, kept by address."""

    def __init__(self, clock: Clock) -> None:
        """Starts with no connection."""
        self._clock = clock
        self._idle: dict[Address, deque[_Connection]] = {}

    async def attempt(
        self,
        effect: SendToTarget,
        request: TargetRequest,
        is_given_up: Callable[[], Awaitable[bool]],
    ) -> AttemptFinished:
        """Sends a request to a target and reads its answer.

        Args:
          effect: Target, deadline and limits.
          request: The request.
          is_given_up: Asked each time that the attempt's patience has passed.
        Returns:
          How the attempt ended.
        Raises:
          curio.CancelledError: If the attempt was cancelled; its connection is closed.
        """
        started = self._clock.monotonic()
        ended = await self._run(effect, request, started, is_given_up)
        now = self._clock.monotonic()
        return AttemptFinished(
            now,
            effect.request,
            effect.target,
            ended.outcome,
            now - started,
            ended.answer,
            ended.leaving,
        )

    async def close(self) -> None:
        """Closes all idle connections."""
        for queue in self._idle.values():
            while queue:
                await _close(queue.popleft().sock)

    async def close_expired(self) -> None:
        """Closes connections that were idle for too long."""
        now = self._clock.monotonic()
        for address, queue in list(self._idle.items()):
            while queue and now - queue[0].idle_since > MAX_IDLE:
                await _close(queue.popleft().sock)
            if not queue:
                del self._idle[address]

    async def _run(
        self,
        effect: SendToTarget,
        request: TargetRequest,
        started: Instant,
        is_given_up: Callable[[], Awaitable[bool]],
    ) -> _Ended:
        remaining = (effect.deadline - started).total_seconds()
        if remaining <= 0.0:
            return _Ended(AttemptOutcome.NOT_CONNECTED)
        connection = await self._take_idle(effect) if effect.reuse else None
        if connection is None:
            connection = await self._open(effect, remaining)
        if connection is None:
            return _Ended(AttemptOutcome.NOT_CONNECTED)
        try:
            return await self._exchange(effect, request, connection, is_given_up)
        except BaseException:
            await _close(connection.sock)
            raise

    async def _exchange(
        self,
        effect: SendToTarget,
        request: TargetRequest,
        connection: _Connection,
        is_given_up: Callable[[], Awaitable[bool]],
    ) -> _Ended:
        remaining = (effect.deadline - self._clock.monotonic()).total_seconds()
        if remaining <= 0.0:
            await _close(connection.sock)
            return _Ended(AttemptOutcome.NOT_CONNECTED)
        ended = _Ended(AttemptOutcome.TIMED_OUT)
        reader = _AnswerReader(effect, request, connection)
        try:
            async with curio.ignore_after(remaining):
                await _send(connection, effect, request, remaining)
                answer = None
                while answer is None:
                    async with curio.ignore_after(effect.patience.total_seconds()):
                        answer = await reader.read()
                    if answer is None and await is_given_up():
                        answer = ended
                ended = answer
        except OSError:
            ended = _Ended(AttemptOutcome.CUT)
        except h11.RemoteProtocolError:
            ended = _Ended(AttemptOutcome.MALFORMED)
        await self._release(effect, connection, ended)
        return ended

    async def _release(self, effect: SendToTarget, connection: _Connection, ended: _Ended) -> None:
        echoed = ended.answer is not None and find_header(ended.answer.headers, REQUEST_ID_HEADER)
        http = connection.http
        reusable = http.our_state is h11.DONE and http.their_state is h11.DONE
        if not echoed or not reusable or ended.leaving:
            await _close(connection.sock)
            return
        http.start_next_cycle()
        connection.idle_since = self._clock.monotonic()
        self._idle.setdefault(effect.address, deque()).append(connection)

    async def _take_idle(self, effect: SendToTarget) -> _Connection | None:
        queue = self._idle.get(effect.address)
        while queue:
            connection = queue.pop()
            fresh = self._clock.monotonic() - connection.idle_since <= MAX_IDLE
            if fresh and _is_silent(connection.sock):
                return connection
            await _close(connection.sock)
        return None

    async def _open(self, effect: SendToTarget, remaining: float) -> _Connection | None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        limit = min(remaining, CONNECT_TIMEOUT.total_seconds())
        try:
            async with curio.timeout_after(limit):
                await sock.connect(parse_endpoint(effect.address).pair())
        except (OSError, curio.TaskTimeout):
            await _close(sock)
            return None
        except BaseException:
            await _close(sock)
            raise
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        return _Connection(sock, http, self._clock.monotonic())


def cancel_attempt(at: Instant, request: RequestId, target: TargetName) -> AttemptFinished:
    """Describes an attempt that was cancelled; its latency says nothing and is zero."""
    return AttemptFinished(at, request, target, AttemptOutcome.CANCELLED, timedelta(0))


async def _send(
    connection: _Connection, effect: SendToTarget, request: TargetRequest, remaining: float
) -> None:
    milliseconds = str(max(1, int(remaining * 1000.0))).encode()
    headers = [
        *request.headers,
        (REQUEST_ID_HEADER, _attempt_id(effect)),
        (DEADLINE_HEADER, milliseconds),
    ]
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        headers.append((b"content-length", str(len(request.body)).encode()))
    http = connection.http
    data = http.send(h11.Request(method=request.method, target=request.target, headers=headers))
    if request.body:
        data += http.send(h11.Data(data=request.body))
    data += http.send(h11.EndOfMessage())
    await connection.sock.sendall(data)


@dataclass(slots=True)
class _AnswerReader:
    """Reads one answer; a read that was interrupted may be taken up again."""

    effect: SendToTarget
    request: TargetRequest
    connection: _Connection
    response: h11.Response | None = None
    headers: Headers = ()
    body: bytearray = field(default_factory=bytearray)

    async def read(self) -> _Ended:
        """Reads to the end of the answer."""
        ended = None
        while ended is None:
            event = self.connection.http.next_event()
            if event is h11.NEED_DATA:
                data = await self.connection.sock.recv(READ_BYTES)
                if not data:
                    return _Ended(AttemptOutcome.CUT)
                self.connection.http.receive_data(data)
            else:
                ended = self._take(event)
        return ended

    def _take(self, event: object) -> _Ended | None:
        if isinstance(event, h11.Response):
            self.response = event
            self.headers = copy_headers(event.headers)
            if not _is_trustworthy(self.effect, self.request, event, self.headers):
                return _Ended(AttemptOutcome.MALFORMED)
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > self.effect.answer_limit_bytes:
                return _Ended(AttemptOutcome.TOO_LARGE)
        elif isinstance(event, h11.EndOfMessage) and self.response is not None:
            if self.connection.http.trailing_data[0]:
                return _Ended(AttemptOutcome.MALFORMED)
            status, method = self.response.status_code, self.request.method
            return _classify(self.effect, status, self.headers, bytes(self.body), method)
        elif not isinstance(event, h11.InformationalResponse):
            return _Ended(AttemptOutcome.MALFORMED)
        return None


def _is_trustworthy(
    effect: SendToTarget, request: TargetRequest, response: h11.Response, headers: Headers
) -> bool:
    echoed = find_header(headers, REQUEST_ID_HEADER)
    if echoed is not None and echoed != _attempt_id(effect):
        return False
    return is_framed(response, headers, request.method)


def _classify(
    effect: SendToTarget, status: int, headers: Headers, body: bytes, method: str
) -> _Ended:
    leaving = find_header(headers, effect.draining_header) is not None
    refused = find_header(headers, effect.not_run_header) is not None
    if refused and status in REFUSING_STATUSES:
        outcome = AttemptOutcome.DRAINING if leaving else AttemptOutcome.SHED
        return _Ended(outcome, leaving=leaving)
    kept = strip_hop_headers(headers)
    if method == "HEAD":
        length = find_header(headers, b"content-length")
        kept += ((b"content-length", length),) if length is not None else ()
    return _Ended(AttemptOutcome.ANSWERED, Answer(status, kept, body), leaving)


def _attempt_id(effect: SendToTarget) -> bytes:
    return f"{effect.request}.{effect.target}".encode()


def _is_silent(sock: socket.socket) -> bool:
    """Tells whether an idle connection is open and has nothing to read."""
    try:
        with sock.blocking() as raw:
            raw.setblocking(False)
            raw.recv(1, stdlib_socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


async def _close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        await sock.close()


def without_request_id(answer: Answer) -> Answer:
    """Removes the id of the attempt, which is of no use to the caller."""
    headers = tuple(pair for pair in answer.headers if pair[0] != REQUEST_ID_HEADER)
    return replace(answer, headers=headers)
