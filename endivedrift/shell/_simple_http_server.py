"""A small HTTP server for requests that are answered immediately, one for each connection."""

import contextlib
from collections.abc import Callable
from datetime import timedelta

import curio
import h11
from curio import socket

from endivedrift.core import Address
from endivedrift.shell._answers import HttpAnswer
from endivedrift.shell._http import MAX_HEAD_BYTES, READ_BYTES, parse_endpoint

REQUEST_TIMEOUT = timedelta(seconds=10)


class SimpleHttpServer:
    """Answers each request by a function of its head, then closes the connection."""

    def __init__(
        self, address: Address, answer: Callable[[h11.Request], HttpAnswer], max_connections: int
    ) -> None:
        """Opens the listening socket.

        Args:
          address: Address to listen on.
          answer: Builds the answer to a request.
          max_connections: Maximum number of open connections; further ones are closed at once.
        Raises:
          OSError: If the address cannot be used.
        """
        self._answer_request = answer
        self._max_connections = max_connections
        self._open_connections = 0
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(parse_endpoint(address).to_sockaddr())
        self._listener.listen(max_connections)

    async def accept(self) -> None:
        """Accepts connections until cancelled."""
        while True:
            sock, _ = await self._listener.accept()
            if self._open_connections >= self._max_connections:
                await sock.close()
                continue
            self._open_connections += 1
            await curio.spawn(self._serve(sock), daemon=True)

    async def close(self) -> None:
        """Closes the listening socket."""
        await self._listener.close()

    async def _serve(self, sock: socket.socket) -> None:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        errors = (OSError, h11.RemoteProtocolError, h11.LocalProtocolError, curio.TaskTimeout)
        try:
            with contextlib.suppress(*errors):
                async with curio.timeout_after(REQUEST_TIMEOUT.total_seconds()):
                    await self._answer(sock, http)
        finally:
            self._open_connections -= 1
            with contextlib.suppress(OSError):
                await sock.close()

    async def _answer(self, sock: socket.socket, http: h11.Connection) -> None:
        event = http.next_event()
        while event is h11.NEED_DATA:
            http.receive_data(await sock.recv(READ_BYTES))
            event = http.next_event()
        if not isinstance(event, h11.Request):
            return
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
