"""A small HTTP server for requests that are answered immediately, one for each connection."""

import contextlib
import socket
from collections.abc import Callable
from datetime import timedelta

import curio
import h11

from endivedrift.core import Address
from endivedrift.shell._answers import HttpAnswer
from endivedrift.shell._connection_slots import ConnectionSlots
from endivedrift.shell._http import MAX_HEAD_BYTES, accept_connections, parse_endpoint
from endivedrift.shell._sockets import Socket, open_stream_socket

REQUEST_TIMEOUT = timedelta(seconds=10)
PIECE_BYTES = 4_096
"""Bytes that are read at a time; a head is seldom longer."""


class SimpleHttpServer:
    """Answers each request by a function of its head, then closes the connection."""

    def __init__(
        self, address: Address, answer: Callable[[h11.Request], HttpAnswer], max_connections: int
    ) -> None:
        """Opens the listening socket.

        Args:
          address: Address to listen on.
          answer: Builds the answer to a request.
          max_connections: Maximum number of open connections; see `ConnectionSlots`.
        Raises:
          OSError: If the address cannot be used.
        """
        self._answer_request = answer
        self._slots = ConnectionSlots(max_connections)
        self._listener = open_stream_socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the size of the buffer.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_HEAD_BYTES)
        self._listener.bind(parse_endpoint(address).to_sockaddr())
        self._listener.listen(max_connections)

    async def accept(self) -> None:
        """Accepts connections until cancelled."""

        async def start(sock: Socket) -> None:
            await self._slots.start(sock, self._serve)

        await accept_connections(self._listener, start)

    async def close(self) -> None:
        """Closes the listening socket."""
        await self._listener.close()

    async def _serve(self, sock: Socket) -> None:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        errors = (OSError, h11.RemoteProtocolError, h11.LocalProtocolError, curio.TaskTimeout)
        with contextlib.suppress(*errors):
            async with curio.timeout_after(REQUEST_TIMEOUT.total_seconds()):
                await self._answer(sock, http)

    async def _answer(self, sock: Socket, http: h11.Connection) -> None:
        event = http.next_event()
        while event is h11.NEED_DATA:
            http.receive_data(await sock.recv(PIECE_BYTES))
            event = http.next_event()
        if not isinstance(event, h11.Request):
            return
        self._slots.note_request(sock)
        answer = self._answer_request(event)
        headers = [
            *answer.headers,
            (b"content-length", str(len(answer.body)).encode()),
            (b"connection", b"close"),
        ]
        data = http.send(h11.Response(status_code=answer.status, headers=headers))
        if event.method != b"HEAD":
            data += http.send(h11.Data(data=answer.body))
        await sock.sendall(data + http.send(h11.EndOfMessage()))
