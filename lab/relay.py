"""A minimal relay on curio and h11, as a lower bound for the latency that a host adds.

It selects targets round-robin, reuses its connections, and checks nothing.
"""

import argparse
from collections import deque

import curio
import h11
from curio import socket

from endivedrift.core import Address
from endivedrift.shell._http import parse_endpoint

READ_BYTES = 65_536


class Relay:
    """Forwards requests to targets round-robin over persistent connections."""

    def __init__(self, targets: list[Address]) -> None:
        """Starts without open connections."""
        self._targets = targets
        self._idle_connections: dict[Address, deque[tuple[socket.socket, h11.Connection]]] = {
            target: deque() for target in targets
        }
        self._request_count = 0

    async def serve(self, sock: socket.socket, _: object) -> None:
        """Serves one caller connection until it is closed."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        http = h11.Connection(h11.SERVER)
        async with sock:
            while True:
                head, body = await _read_message(sock, http)
                if head is None:
                    return
                response, data = await self._forward(head, body)
                out = http.send(
                    h11.Response(status_code=response.status_code, headers=response.headers)
                )
                out += http.send(h11.Data(data=data)) + http.send(h11.EndOfMessage())
                await sock.sendall(out)
                http.start_next_cycle()

    async def _forward(self, head: h11.Request, body: bytes) -> tuple[h11.Response, bytes]:
        self._request_count += 1
        target = self._targets[self._request_count % len(self._targets)]
        if self._idle_connections[target]:
            sock, http = self._idle_connections[target].pop()
        else:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await sock.connect(parse_endpoint(target).to_sockaddr())
            http = h11.Connection(h11.CLIENT)
        request = h11.Request(method=head.method, target=head.target, headers=head.headers)
        await sock.sendall(http.send(request) + http.send(h11.EndOfMessage()))
        response, data = await _read_message(sock, http)
        http.start_next_cycle()
        self._idle_connections[target].append((sock, http))
        return response, data


async def _read_message(sock: socket.socket, http: h11.Connection):  # type: ignore[no-untyped-def]
    head, body = None, b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await sock.recv(READ_BYTES))
        elif isinstance(event, h11.Request | h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        else:
            return head, body


def main() -> None:
    """Runs the relay."""
    parser = argparse.ArgumentParser(description="Minimal relay.")
    parser.add_argument("--listen", required=True)
    parser.add_argument("--targets", nargs="+", required=True)
    arguments = parser.parse_args()
    endpoint = parse_endpoint(arguments.listen)
    curio.run(curio.tcp_server, endpoint.ip, endpoint.port, Relay(arguments.targets).serve)


if __name__ == "__main__":
    main()
