"""Single HTTP requests, each over a new connection, for store calls and the command line."""

import contextlib
from dataclasses import dataclass
from datetime import timedelta

import curio
import h11

from endivedrift.core import Address, Headers
from endivedrift.shell._http import READ_BYTES, AnswerBounds, copy_headers, parse_endpoint
from endivedrift.shell._sockets import Socket, open_stream_socket

MAX_REPLY_BYTES = 64 * 1024 * 1024


class ExchangeError(Exception):
    """No complete reply was received.

    Attributes:
      sent: Whether any byte of the request may have reached the server.
    """

    def __init__(self, cause: str, sent: bool) -> None:
        """Creates an error from its cause and whether the request may have reached the server."""
        super().__init__(cause)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete HTTP response, as received from a server."""

    status: int
    headers: Headers
    body: bytes


async def exchange(
    address: Address,
    method: str,
    target: str,
    body: bytes,
    timeout: timedelta,
    headers: Headers = (),
    host: str = "",
) -> HttpReply:
    """Sends one request and reads its reply.

    Args:
      address: IP:PORT of the server.
      method, target, headers, body: The request.
      timeout: Limit of the time from connecting to the end of the reply.
      host: Value of the Host header; by default, the address.
    Returns:
      The reply.
    Raises:
      ExchangeError: If no complete reply was received in time.
    """
    sock = open_stream_socket()
    sent = False
    try:
        async with curio.timeout_after(timeout.total_seconds()):
            await sock.connect(parse_endpoint(address).to_sockaddr())
            sent = True
            http = h11.Connection(h11.CLIENT)
            all_headers = [
                (b"host", (host or address).encode()),
                (b"connection", b"close"),
                (b"content-length", str(len(body)).encode()),
                *headers,
            ]
            data = http.send(h11.Request(method=method, target=target, headers=all_headers))
            data += http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage())
            await sock.sendall(data)
            return await _read_reply(sock, http)
    except curio.TaskTimeout:
        raise ExchangeError(f"{address} did not reply in time", sent) from None
    except (OSError, h11.RemoteProtocolError) as error:
        raise ExchangeError(f"{address}: {error}", sent) from None
    finally:
        with contextlib.suppress(OSError):
            await sock.close()


async def _read_reply(sock: Socket, http: h11.Connection) -> HttpReply:
    status = 0
    headers: Headers = ()
    body = bytearray()
    bounds = AnswerBounds()
    while True:
        await bounds.take_turn()
        event = http.next_event()
        if event is h11.NEED_DATA:
            data = await sock.recv(READ_BYTES)
            if not bounds.allow_bytes(len(data), len(body)):
                raise h11.RemoteProtocolError("the reply has too many bytes besides its body")
            http.receive_data(data)
        elif isinstance(event, h11.InformationalResponse):
            if not bounds.allow_interim(event):
                raise h11.RemoteProtocolError("too many interim replies")
        elif isinstance(event, h11.Response):
            status, headers = event.status_code, copy_headers(event.headers)
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_REPLY_BYTES:
                raise h11.RemoteProtocolError("the reply is too large")
        elif isinstance(event, h11.EndOfMessage):
            return HttpReply(status, headers, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("the connection was closed")
