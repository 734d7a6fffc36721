"""HTTP/1.1 helpers for curio and h11: limits, addresses, headers and framing rules.

They are shared by the connections to callers and those to targets.
"""

import contextlib
import errno
import fcntl
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

import curio
import h11

from endivedrift.core import Address, Headers
from endivedrift.policy import SMALL_BYTES
from endivedrift.shell._log import make_logger
from endivedrift.shell._sockets import Socket

READ_BYTES = 65_536
EVENTS_PER_TURN = 128
"""Events of the parser after which other tasks run; tiny chunks take no wait between two events."""
MAX_INTERIM_ANSWERS = 16
"""Interim answers (1xx) that are read before the final one."""
MAX_FRAMING_BYTES = 256 * 1024
"""Bytes beyond its body that an answer may take, as heads, chunk headers and trailers."""
MAX_HEAD_BYTES = 16_384
MIN_FINAL_STATUS, MAX_FINAL_STATUS = 200, 599
"""Statuses of final answers; HTTP has no others (RFC 9110, section 15)."""
MAX_COUNT = 10**9
"""Greatest number that is accepted in a header; as a duration in seconds it is 31 years."""
MAX_COUNT_DIGITS = 20
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""
ACCEPT_RETRY_DELAY = timedelta(milliseconds=50)
_LEFT_STATES = frozenset({7, 8, 9})
"""TCP states of a connection whose other side has closed it: CLOSE, CLOSE_WAIT and LAST_ACK."""
_INT_BYTES = 4
_SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
_CONNECTION_FAULTS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)
"""Faults of the connection that was to be accepted; accept(2) reports them to the listener."""

_log = make_logger("connections")

_BODY_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
"""Headers that no interim answer has (RFC 9110, section 8.6; RFC 9112, section 6.1)."""
_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and a port."""

    ip: str
    port: int

    def to_sockaddr(self) -> tuple[str, int]:
        """Returns the address in the form that socket calls accept."""
        return (self.ip, self.port)


def parse_endpoint(address: Address | str) -> Endpoint:
    """Splits a validated address of the form IP:PORT."""
    ip, _, port = address.rpartition(":")
    return Endpoint(ip, int(port))


def parse_count(text: bytes) -> int | None:
    """Reads a whole number from a header; None if it is none, or greater than `MAX_COUNT`."""
    digits = text.strip()
    if not digits.isdigit() or len(digits) > MAX_COUNT_DIGITS:
        return None
    count = int(digits)
    return count if count <= MAX_COUNT else None


@dataclass(slots=True)
class AnswerBounds:
    """Bounds of what a server may send as one answer besides its body.

    A server may send without end, as heads, interim answers, chunk headers or trailers. The body
    has a bound of its own at each reader.
    """

    received_bytes: int = 0
    interim_count: int = 0
    event_count: int = 0

    async def take_turn(self) -> None:
        """Counts an event of the parser, and lets other tasks run after many of them."""
        self.event_count += 1
        if not self.event_count % EVENTS_PER_TURN:
            await curio.sleep(0)

    def allow_bytes(self, size: int, body_bytes: int) -> bool:
        """Counts received bytes; tells whether those besides the body so far are within bounds."""
        framing_bytes = self.received_bytes - body_bytes
        self.received_bytes += size
        return framing_bytes <= MAX_FRAMING_BYTES

    def allow_interim(self, event: h11.InformationalResponse) -> bool:
        """Counts an interim answer; tells whether it is one, and not one too many."""
        self.interim_count += 1
        is_bodiless = not any(name in _BODY_HEADERS for name, _ in event.headers)
        return is_bodiless and self.interim_count <= MAX_INTERIM_ANSWERS


async def accept_connections(listener: Socket, start: Callable[[Socket], Awaitable[None]]) -> None:
    """Accepts connections and starts to serve each, until cancelled.

    A connection that cannot be accepted or served ends alone.

    Raises:
      OSError: If the listening socket cannot be used.
    """
    while True:
        sock = await _accept_connection(listener)
        try:
            await start(sock)
        except Exception:
            _log.exception("A connection could not be served.")
            await sock.close()


async def _accept_connection(listener: Socket) -> Socket:
    """Waits for a connection; while there are no descriptors for it, it stays in the backlog.

    Raises:
      OSError: If the listening socket cannot be used.
    """
    while True:
        # Connections that are waiting already must not keep other tasks from their turn.
        await curio.sleep(0)
        try:
            sock, _ = await listener.accept()
        except OSError as error:
            if error.errno in _SHORTAGES:
                await curio.sleep(ACCEPT_RETRY_DELAY.total_seconds())
            elif error.errno not in _CONNECTION_FAULTS:
                raise
        else:
            return sock


def has_departed(sock: Socket) -> bool:
    """Tells whether the other side has closed a connection, even if there are unread bytes.

    False if the system does not tell.
    """
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in _LEFT_STATES
    except (OSError, IndexError):
        return False


def has_unread_bytes(sock: Socket) -> bool:
    """Tells whether bytes have arrived that were not read; True if the system does not tell."""
    try:
        return bool(count_buffered_bytes(sock, termios.FIONREAD))
    except OSError:
        return True


def count_buffered_bytes(sock: Socket, buffer: int) -> int:
    """Returns the bytes in a buffer of the kernel.

    Args:
      sock: The connection.
      buffer: FIONREAD for bytes that were not read, TIOCOUTQ for those not acknowledged.
    Raises:
      OSError: If the connection is closed, or the system does not tell.
    """
    descriptor = sock.fileno()
    if descriptor < 0:
        raise OSError(errno.EBADF, "the connection is closed")
    return int.from_bytes(fcntl.ioctl(descriptor, buffer, bytes(_INT_BYTES)), "little")


async def reset_connection(sock: Socket) -> None:
    """Ends a connection, so that closing it resets it and the kernel drops its bytes."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        await sock.shutdown(socket.SHUT_RDWR)


async def send_message(sock: Socket, head: bytes, body: bytes) -> None:
    """Sends a head and a body without a copy of a large body.

    Raises:
      OSError: If the connection is closed.
    """
    buffers = build_buffers(head, body)
    while buffers:
        buffers = drop_sent_bytes(buffers, await sock.sendmsg(buffers))


def build_buffers(head: bytes, body: bytes) -> list[memoryview]:
    """Returns the buffers in which a head and a body are sent; a large body is not copied."""
    if len(body) <= SMALL_BYTES:
        return [memoryview(head + body)]
    return [memoryview(head), memoryview(body)]


def drop_sent_bytes(buffers: list[memoryview], count: int) -> list[memoryview]:
    """Returns what is left of the buffers after their first `count` bytes."""
    rest = []
    for buffer in buffers:
        if count < len(buffer):
            rest.append(buffer[count:])
        count = max(0, count - len(buffer))
    return rest


def strip_hop_headers(headers: Headers) -> Headers:
    """Removes hop-by-hop headers, those named in the Connection header, and Content-Length."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return tuple(
        (name, value) for name, value in headers if name not in _HOP_HEADERS and name not in named
    )


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def measure_head(target: bytes, headers: Headers) -> int:
    """Returns the size in bytes of a request's target, header names and header values."""
    return len(target) + sum(len(name) + len(value) for name, value in headers)


def has_both_framings(headers: Headers) -> bool:
    """Tells whether a message has both Content-Length and Transfer-Encoding."""
    names = [name for name, _ in headers]
    return b"content-length" in names and b"transfer-encoding" in names


def is_chunked(headers: Headers) -> bool:
    """Tells whether the body of a request is chunked."""
    return find_header(headers, b"transfer-encoding") is not None


def is_framed(response: h11.Response, headers: Headers, method: str) -> bool:
    """Tells whether the framing of an answer shows when its body is truncated."""
    bodiless = method == "HEAD" or response.status_code in (204, 304)
    declared = find_header(headers, b"content-length") or find_header(headers, b"transfer-encoding")
    return bodiless or declared is not None


def copy_headers(headers: h11._headers.Headers) -> Headers:
    """Copies h11 headers into a tuple of names and values."""
    return tuple(headers)
