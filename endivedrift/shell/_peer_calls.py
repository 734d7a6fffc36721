"""Calls between hosts over TCP: forwarded requests, and fetches of object sets and targets.

The called host first sends a random nonce. The call and the reply each carry a length and a keyed
digest that covers the nonce, so that a recorded call cannot be replayed on another connection.
"""

import contextlib
import secrets
from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio

from endivedrift.core import Address
from endivedrift.objects import MAX_BODY_BYTES
from endivedrift.shell._codec import (
    MAC_BYTES,
    Call,
    Reply,
    compute_mac,
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
    verify_mac,
)
from endivedrift.shell._http import parse_endpoint
from endivedrift.shell._sockets import Socket, open_stream_socket

NONCE_BYTES = 16
LENGTH_BYTES = 4
MAX_ENVELOPE_BYTES = 1024 * 1024
"""Bytes of a call or reply besides the body of the request or answer that it carries."""
MAX_CALL_BYTES = MAX_BODY_BYTES + MAX_ENVELOPE_BYTES
MAX_REPLY_BYTES = MAX_BODY_BYTES + MAX_ENVELOPE_BYTES
PEER_CONNECT_TIMEOUT = timedelta(milliseconds=300)
"""Time without a greeting after which another host is asked, or serves a forwarded request: half
the time after which hosts tell one another that a host is silent. A host may end right after it has
announced a new object set, and a change must be in force within two seconds."""
CALL_READ_TIMEOUT = timedelta(seconds=10)
REPLY_WRITE_TIMEOUT = timedelta(seconds=10)
CALL_LABEL = b"call"
REPLY_LABEL = b"reply"


class PeerCallError(Exception):
    """A call received no valid reply.

    Attributes:
      sent: Whether any byte of the call may have reached the peer.
    """

    def __init__(self, cause: str, sent: bool) -> None:
        """Creates an error from its cause and whether the call may have reached the peer."""
        super().__init__(cause)
        self.sent = sent


async def call_peer(
    secret: bytes,
    address: Address,
    call: Call,
    timeout: timedelta,
    reserve: Callable[[int], Awaitable[bool]] | None = None,
    connect_timeout: timedelta | None = None,
) -> Reply:
    """Sends a call to another host and waits for its reply.

    Args:
      secret: Key of the fleet.
      address: Peer address of the host.
      call: The call.
      timeout: Limit of the time from connecting to the end of the reply.
      reserve: Reserves memory for the bytes of the reply; without room, the call fails.
      connect_timeout: Limit of the time from connecting to the nonce, which shows that the process
        of the host runs. By default, only `timeout` applies.
    Returns:
      The reply.
    Raises:
      PeerCallError: If no authentic, readable reply was received in time.
    """
    sock = open_stream_socket()
    sent = False
    limit = min(timeout, connect_timeout or timeout)
    try:
        async with curio.timeout_after(max(0.001, timeout.total_seconds())):
            nonce = b""
            async with curio.ignore_after(max(0.001, limit.total_seconds())):
                await sock.connect(parse_endpoint(address).to_sockaddr())
                nonce = await _read_exactly(sock, NONCE_BYTES)
            if not nonce:
                raise PeerCallError("no connection in time", sent)
            sent = True
            await _write_frame(sock, secret, nonce, CALL_LABEL, encode_call(call))
            reply = decode_reply(
                await _read_frame(sock, secret, nonce, REPLY_LABEL, MAX_REPLY_BYTES, reserve)
            )
    except curio.TaskTimeout:
        raise PeerCallError("no reply in time", sent) from None
    except (OSError, EOFError, ValueError) as error:
        raise PeerCallError(str(error), sent) from None
    finally:
        with contextlib.suppress(OSError):
            await sock.close()
    if reply is None:
        raise PeerCallError("the reply cannot be read", sent)
    return reply


async def serve_call(
    secret: bytes,
    sock: Socket,
    handler: Callable[[Call], Awaitable[Reply]],
    reserve: Callable[[int], Awaitable[bool]],
) -> bool:
    """Receives one call on an accepted connection and sends the reply.

    Args:
      secret: Key of the fleet.
      sock: The connection.
      handler: Handles the call and returns the reply.
      reserve: Reserves memory for bytes of the call; without room, the call is dropped. Only what
        has arrived is reserved, since its sender is not known before its end.
    Returns:
      Whether the call was authentic and readable.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    try:
        async with curio.timeout_after(CALL_READ_TIMEOUT.total_seconds()):
            await sock.sendall(nonce)
            call = decode_call(
                await _read_frame(
                    sock, secret, nonce, CALL_LABEL, MAX_CALL_BYTES, reserve_piece=reserve
                )
            )
    except (curio.TaskTimeout, OSError, EOFError, ValueError):
        return False
    if call is None:
        return False
    reply = await handler(call)
    with contextlib.suppress(OSError, curio.TaskTimeout):
        async with curio.timeout_after(REPLY_WRITE_TIMEOUT.total_seconds()):
            await _write_frame(sock, secret, nonce, REPLY_LABEL, encode_reply(reply))
    return True


async def _write_frame(
    sock: Socket, secret: bytes, nonce: bytes, label: bytes, body: bytes
) -> None:
    mac = compute_mac(secret, nonce, label, body)
    await sock.sendall(len(body).to_bytes(LENGTH_BYTES, "big") + mac + body)


async def _read_frame(
    sock: Socket,
    secret: bytes,
    nonce: bytes,
    label: bytes,
    limit: int,
    reserve: Callable[[int], Awaitable[bool]] | None = None,
    reserve_piece: Callable[[int], Awaitable[bool]] | None = None,
) -> bytes:
    """Reads a frame; its memory is reserved as a whole, or as its pieces arrive."""
    head = await _read_exactly(sock, LENGTH_BYTES + MAC_BYTES)
    length = int.from_bytes(head[:LENGTH_BYTES], "big")
    if length > limit:
        raise ValueError("the frame is too large")
    if reserve is not None and not await reserve(length):
        raise ValueError("this host has no memory for the message")
    body = await _read_exactly(sock, length, reserve_piece)
    if not verify_mac(secret, head[LENGTH_BYTES:], nonce, label, body):
        raise ValueError("the frame is not authentic")
    return body


async def _read_exactly(
    sock: Socket, count: int, reserve_piece: Callable[[int], Awaitable[bool]] | None = None
) -> bytes:
    data = bytearray()
    while len(data) < count:
        chunk = await sock.recv(min(65_536, count - len(data)))
        if not chunk:
            raise EOFError("the connection was closed")
        if reserve_piece is not None and not await reserve_piece(len(chunk)):
            raise ValueError("this host has no memory for the message")
        data += chunk
    return bytes(data)
