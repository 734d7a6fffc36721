"""The target side: one attempt at a target over a pooled connection.

An answer counts as complete only when its framing says so and nothing follows it. A connection is
used again only after a complete answer that carried the request id it was sent, so that a late or
doubled answer is never taken for the answer to a later request. Where the HTTP conventions name a
header that proves an answer to be the target's own, an answer that has it is complete at the end of
its framing, and bytes after it only cost the connection.
"""

import contextlib
import socket as stdlib_socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
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
    TargetLoad,
    TargetName,
)
from endivedrift.core.effects import SendToTarget
from endivedrift.core.events import AttemptFinished
from endivedrift.shell._conventions import DEFAULT_CONVENTIONS, HttpConventions
from endivedrift.shell._http import (
    MAX_HEAD_BYTES,
    READ_BYTES,
    copy_headers,
    find_header,
    is_framed,
    parse_endpoint,
    strip_hop_headers,
)

MAX_IDLE = timedelta(seconds=10)
KEEP_ALIVE_SHARE = 0.8
"""Part of the idle timeout stated by a target for which a connection is used: the rest covers the
way of a request to the target."""
REFUSING_STATUSES = frozenset({400, 421, 429, 503})
MISDIRECTED_STATUS = 421
SERVER_ERROR = 500
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request did not run."""


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
    max_idle: timedelta = MAX_IDLE


@dataclass(frozen=True, slots=True)
class _Ended:
    outcome: AttemptOutcome
    answer: Answer | None = None
    leaving: bool = False
    load: TargetLoad | None = None


class TargetPool:
    """Connections to targets, kept by address."""

    def __init__(self, clock: Clock, dialect: HttpConventions = DEFAULT_CONVENTIONS) -> None:
        """Starts with no connection."""
        self._clock = clock
        self._dialect = dialect
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
          is_given_up: Asked each time that the attempt's `late_after` has passed.
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
            ended.load,
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
        connection = await self._take_idle(effect) if effect.max_reuse_idle else None
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
        reader = _AnswerReader(self._dialect, effect, request, connection)
        try:
            async with curio.ignore_after(remaining):
                await self._send(connection, effect, request, remaining)
                answer = None
                while answer is None:
                    async with curio.ignore_after(effect.late_after.total_seconds()):
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
        echoed = ended.answer is not None and find_header(
            ended.answer.headers, self._dialect.request_id_header
        )
        http = connection.http
        reusable = http.our_state is h11.DONE and http.their_state is h11.DONE
        if not echoed or not reusable or ended.leaving or http.trailing_data[0]:
            await _close(connection.sock)
            return
        http.start_next_cycle()
        connection.idle_since = self._clock.monotonic()
        self._idle.setdefault(effect.address, deque()).append(connection)

    async def _take_idle(self, effect: SendToTarget) -> _Connection | None:
        queue = self._idle.get(effect.address)
        while queue:
            connection = queue.pop()
            idle = self._clock.monotonic() - connection.idle_since
            if idle > effect.max_reuse_idle and idle <= connection.max_idle:
                queue.append(connection)
                return None
            if idle <= connection.max_idle and _is_silent(connection.sock):
                return connection
            await _close(connection.sock)
        return None

    async def _open(self, effect: SendToTarget, remaining: float) -> _Connection | None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        limit = min(remaining, effect.connect_timeout.total_seconds())
        try:
            async with curio.timeout_after(limit):
                await sock.connect(parse_endpoint(effect.address).to_sockaddr())
        except (OSError, curio.TaskTimeout):
            await _close(sock)
            return None
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
        dialect = self._dialect
        milliseconds = str(max(1, int(remaining * 1000.0))).encode()
        headers = [*request.headers, (dialect.deadline_header, milliseconds)]
        if not dialect.keeps_request_ids:
            headers.append((dialect.request_id_header, _attempt_id(effect)))
        if dialect.expected_target_header is not None:
            headers.append((dialect.expected_target_header, effect.target.encode()))
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        http = connection.http
        data = http.send(h11.Request(method=request.method, target=request.target, headers=headers))
        if request.body:
            data += http.send(h11.Data(data=request.body))
        data += http.send(h11.EndOfMessage())
        await connection.sock.sendall(data)


def cancel_attempt(at: Instant, request: RequestId, target: TargetName) -> AttemptFinished:
    """Describes an attempt that was cancelled; its latency says nothing and is zero."""
    return AttemptFinished(at, request, target, AttemptOutcome.CANCELLED, timedelta(0))


@dataclass(slots=True)
class _AnswerReader:
    """Reads one answer; a read that was interrupted may be taken up again."""

    dialect: HttpConventions
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
                if not data and not self._ends_with_connection():
                    return _Ended(AttemptOutcome.CUT)
                self.connection.http.receive_data(data)
            else:
                ended = self._take(event)
        return ended

    def _ends_with_connection(self) -> bool:
        response = self.response
        return (
            response is not None
            and self.effect.close_delimited
            and not is_framed(response, self.headers, self.request.method)
        )

    def _take(self, event: object) -> _Ended | None:
        if isinstance(event, h11.Response):
            self.response = event
            self.headers = copy_headers(event.headers)
            if not self._is_trustworthy(event):
                return _Ended(AttemptOutcome.MALFORMED)
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > self.effect.answer_limit_bytes:
                return _Ended(AttemptOutcome.TOO_LARGE)
        elif isinstance(event, h11.EndOfMessage) and self.response is not None:
            if self.connection.http.trailing_data[0] and not self._is_proven():
                return _Ended(AttemptOutcome.MALFORMED)
            return self._classify(self.response.status_code)
        elif not isinstance(event, h11.InformationalResponse):
            return _Ended(AttemptOutcome.MALFORMED)
        return None

    def _is_proven(self) -> bool:
        proof = self.dialect.proof_header
        return proof is not None and find_header(self.headers, proof) is not None

    def _is_trustworthy(self, response: h11.Response) -> bool:
        echoed = find_header(self.headers, self.dialect.request_id_header)
        sent = _find_sent_id(self.dialect, self.effect, self.request)
        if echoed is not None and echoed != sent:
            return False
        framed = is_framed(response, self.headers, self.request.method)
        return framed or self.effect.close_delimited

    def _classify(self, status: int) -> _Ended:
        headers, effect = self.headers, self.effect
        leaving = find_header(headers, effect.draining_header) is not None
        refused = find_header(headers, effect.not_run_header) is not None
        self._learn_keep_alive()
        load = _read_load(headers, self.dialect.load_header)
        if status == MISDIRECTED_STATUS and self.dialect.expected_target_header is not None:
            return _Ended(AttemptOutcome.MISDIRECTED)
        if refused and status in REFUSING_STATUSES:
            outcome = AttemptOutcome.DRAINING if leaving else AttemptOutcome.SHED
            return _Ended(outcome, leaving=leaving, load=load)
        if self.dialect.proof_header is not None and not self._may_pass(status):
            return _Ended(AttemptOutcome.MALFORMED)
        kept = strip_hop_headers(headers)
        if self.request.method == "HEAD":
            length = find_header(headers, b"content-length")
            kept += ((b"content-length", length),) if length is not None else ()
        answer = Answer(status, kept, bytes(self.body))
        return _Ended(AttemptOutcome.ANSWERED, answer, leaving, load)

    def _may_pass(self, status: int) -> bool:
        """Tells whether an answer may go to the caller as the target's own.

        A success has to be proven and in no encoding, since callers ask for none. A status that
        promises that the request did not run is not passed on without the target's word for it.
        """
        if not self._is_proven():
            return status >= SERVER_ERROR and status not in PROMISING_STATUSES
        echoed = find_header(self.headers, self.dialect.request_id_header) is not None
        return echoed and find_header(self.headers, b"content-encoding") is None

    def _learn_keep_alive(self) -> None:
        stated = find_header(self.headers, b"keep-alive") or b""
        for part in stated.split(b","):
            name, _, value = part.partition(b"=")
            if name.strip().lower() == b"timeout" and value.strip().isdigit():
                limit = timedelta(seconds=int(value) * KEEP_ALIVE_SHARE)
                self.connection.max_idle = min(MAX_IDLE, limit)


def _find_sent_id(
    dialect: HttpConventions, effect: SendToTarget, request: TargetRequest
) -> bytes | None:
    if dialect.keeps_request_ids:
        return find_header(request.headers, dialect.request_id_header)
    return _attempt_id(effect)


def _read_load(headers: Headers, name: bytes | None) -> TargetLoad | None:
    """Reads running and waiting requests and slots; a value of another form tells nothing."""
    parts = (find_header(headers, name) or b"").split(b",") if name is not None else []
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return TargetLoad(running, waiting, slots)


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
