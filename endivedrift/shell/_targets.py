"""The target side: one attempt at a target over a pooled connection.

An answer counts as complete only when its framing says so and nothing follows it. A connection is
used again only after a complete answer that carried the request id it was sent, so that a late or
doubled answer is never taken for the answer to a later request.
"""

import contextlib
import socket as stdlib_socket
from collections import deque
from dataclasses import dataclass, replace
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

    async def attempt(self, effect: SendToTarget, request: TargetRequest) -> AttemptFinished:
        """Sends a request to a target and reads its answer.

        Args:
          effect: Target, deadline and limits.
          request: The request.
        Returns:
          How the attempt ended.
        Raises:
          curio.CancelledError: If the attempt was cancelled; its connection is closed.
        """
        started = self._clock.monotonic()
        ended = await self._run(effect, request, started)
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

    def count_idle(self) -> int:
        """Returns the number of idle connections."""
        return sum(len(queue) for queue in self._idle.values())

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

    async def _run(self, effect: SendToTarget, request: TargetRequest, started: Instant) -> _Ended:
        remaining = (effect.deadline - started).total_seconds()
        if remaining <= 0.0:
            return _Ended(AttemptOutcome.NOT_CONNECTED)
        connection = await self._take_idle(effect) if effect.reuse else None
        if connection is None:
            connection = await self._open(effect, remaining)
        if connection is None:
            return _Ended(AttemptOutcome.NOT_CONNECTED)
        try:
            return await self._exchange(effect, request, connection)
        except BaseException:
            await _close(connection.sock)
            raise

    async def _exchange(
        self, effect: SendToTarget, request: TargetRequest, connection: _Connection
    ) -> _Ended:
        remaining = (effect.deadline - self._clock.monotonic()).total_seconds()
        if remaining <= 0.0:
            await _close(connection.sock)
            return _Ended(AttemptOutcome.NOT_CONNECTED)
        ended = _Ended(AttemptOutcome.TIMED_OUT)
        try:
            async with curio.ignore_after(remaining):
                await _send(connection, effect, request, remaining)
                ended = await _read_answer(connection, effect, request)
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


async def _read_answer(
    connection: _Connection, effect: SendToTarget, request: TargetRequest
) -> _Ended:
    http = connection.http
    response: h11.Response | None = None
    headers: Headers = ()
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            data = await connection.sock.recv(READ_BYTES)
            if not data:
                return _Ended(AttemptOutcome.CUT)
            http.receive_data(data)
        elif isinstance(event, h11.Response):
            response = event
            headers = copy_headers(response.headers)
            if not _is_trustworthy(effect, request, response, headers):
                return _Ended(AttemptOutcome.MALFORMED)
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > effect.answer_limit_bytes:
                return _Ended(AttemptOutcome.TOO_LARGE)
        elif isinstance(event, h11.EndOfMessage) and response is not None:
            if http.trailing_data[0]:
                return _Ended(AttemptOutcome.MALFORMED)
            return _classify(effect, response.status_code, headers, bytes(body), request.method)


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
