"""A small HTTP/1.1 server for the stand-ins, with one task per connection."""

import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TypeAlias

import h11
from curio import socket

from standins.tasks import serve_connections

MAX_HEAD_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class StandinRequest:
    """A request as received by a stand-in."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class StandinReply:
    """A reply, optionally with faulty framing.

    Attributes:
      status, headers, body: The reply.
      cut_at: Number of body bytes after which the connection is closed, or None.
      drop: Whether the connection is closed without a reply.
      trailing: Bytes sent after the complete reply.
    """

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    cut_at: int | None = None
    drop: bool = False
    trailing: bytes = b""


Handler: TypeAlias = Callable[[StandinRequest], Awaitable[StandinReply]]


async def serve_http(ip: str, port: int, handler: Handler) -> None:
    """Serves connections until cancelled; then the address refuses them and open ones close."""
    await serve_connections((ip, port), partial(_serve_connection, handler=handler))


async def _serve_connection(sock: socket.socket, handler: Handler) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    try:
        while True:
            request = await _read_request(sock, http)
            if request is None:
                break
            reply = await handler(request)
            if reply.drop or not await _send_reply(sock, http, request, reply):
                break
            http.start_next_cycle()
    except (OSError, h11.RemoteProtocolError):
        pass
    finally:
        with contextlib.suppress(OSError):
            await sock.close()


async def _read_request(sock: socket.socket, http: h11.Connection) -> StandinRequest | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await sock.recv(65_536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            path, _, query = head.target.decode("latin-1").partition("?")
            headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
            return StandinRequest(head.method.decode(), path, query, headers, bytes(body))
        else:
            return None


async def _send_reply(
    sock: socket.socket, http: h11.Connection, request: StandinRequest, reply: StandinReply
) -> bool:
    headers = [(name.encode(), value.encode()) for name, value in reply.headers.items()]
    headers.append((b"content-length", str(len(reply.body)).encode()))
    data = http.send(h11.Response(status_code=reply.status, headers=headers))
    if reply.cut_at is not None:
        data += reply.body[: reply.cut_at]
        await sock.sendall(data)
        return False
    if request.method != "HEAD" and reply.body:
        data += http.send(h11.Data(data=reply.body))
    data += http.send(h11.EndOfMessage())
    await sock.sendall(data + reply.trailing)
    return http.our_state is h11.DONE and http.their_state is h11.DONE
