"""Stand-in for callers that request answers and do not read them.

Connections are opened one after the other, with a pause of `--interval-ms`, since many new requests
at one moment delay others by their work alone. Each connection sends one request. With `--again`,
it is opened again when the host has closed it or has answered with another status than 200, so that
the number of unread answers stays the same.
"""

import argparse
import contextlib
import select
import socket
import time

RECEIVE_BUFFER_BYTES = 4_096
POLL_S = 0.05
STATUS_CHECK_S = 0.5


def _connect(arguments: argparse.Namespace) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    ip, _, port = arguments.address.rpartition(":")
    sock.connect((ip, int(port)))
    request = f"GET {arguments.path} HTTP/1.1\r\nhost: x\r\nx-caller: {arguments.account}\r\n\r\n"
    sock.sendall(request.encode())
    return sock


def _is_refused(sock: socket.socket) -> bool:
    with contextlib.suppress(OSError):
        head = sock.recv(12, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        return bool(head) and not head.endswith(b"200")
    return False


def _stall(arguments: argparse.Namespace) -> None:
    poll = select.epoll()
    connections: dict[int, socket.socket] = {}
    checked_at = time.monotonic()
    opened = 0
    while True:
        while len(connections) < arguments.count and (arguments.again or opened < arguments.count):
            opened += 1
            time.sleep(arguments.interval_ms / 1_000.0)
            sock = _connect(arguments)
            connections[sock.fileno()] = sock
            poll.register(sock.fileno(), select.EPOLLRDHUP)
        ended = {number for number, _ in poll.poll(POLL_S)}
        if arguments.again and time.monotonic() - checked_at > STATUS_CHECK_S:
            checked_at = time.monotonic()
            ended |= {number for number, sock in connections.items() if _is_refused(sock)}
        for number in ended:
            poll.unregister(number)
            connections.pop(number).close()


def main() -> None:
    """Stalls until the process is killed."""
    parser = argparse.ArgumentParser(description="Stand-in for callers that read no answer.")
    parser.add_argument("--address", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--account", required=True)
    parser.add_argument("--count", type=int, default=200)
    parser.add_argument("--interval-ms", type=float, default=20.0)
    parser.add_argument("--again", action="store_true")
    _stall(parser.parse_args())


if __name__ == "__main__":
    main()
