"""Runs a host whose datagrams may be lost and whose calls to other hosts pass through proxies.

It is run as a script with the directory of a build in PYTHONPATH, so that it serves any build. The
file that ENDIVEDRIFT_LINKS names holds a JSON object: `loss` is the share of lost datagrams, `cut`
the addresses of hosts that no datagram reaches or leaves.
"""

import json
import os
import random
import runpy
import socket
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

LINKS_VARIABLE = "ENDIVEDRIFT_LINKS"
PROXY_OFFSET = 1_000
"""Difference between the port for messages between hosts and the port of its proxy."""
CHECK_INTERVAL_S = 0.05


class Links:
    """The faults of the links between hosts, read again when their file has changed."""

    def __init__(self, path: Path, ip: str) -> None:
        self._path = path
        self._ip = ip
        self._next_check = 0.0
        self._loss = 0.0
        self._cut: frozenset[str] = frozenset()

    def is_lost(self, ip: str) -> bool:
        """Tells whether a datagram to another host is lost."""
        now = time.monotonic()
        if now >= self._next_check:
            self._next_check = now + CHECK_INTERVAL_S
            faults = json.loads(self._path.read_text("utf-8"))
            self._loss, self._cut = faults["loss"], frozenset(faults["cut"])
        return not self._cut.isdisjoint((self._ip, ip)) or random.random() < self._loss


def redirect_messages(links: Links, peer_port: int) -> None:
    """Applies the faults to datagrams, and redirects calls to the proxies of their hosts."""
    send, connect = socket.socket.sendto, socket.socket.connect

    def send_to(sock: socket.socket, data: bytes, address: Any) -> int:
        if address[1] == peer_port and links.is_lost(address[0]):
            return len(data)
        return send(sock, data, address)

    def connect_to(sock: socket.socket, address: Any) -> None:
        ip, port = address
        connect(sock, (ip, port + PROXY_OFFSET) if port == peer_port else address)

    socket.socket.sendto = send_to  # type: ignore[method-assign,assignment]
    socket.socket.connect = connect_to  # type: ignore[method-assign,assignment]


def main() -> None:
    """Runs the host whose node file the environment names."""
    # The directory of this script holds modules of the tests, which belong to another build.
    del sys.path[0]
    document = tomllib.loads(Path(os.environ["ENDIVEDRIFT_NODE_FILE"]).read_text("utf-8"))
    links = Links(Path(os.environ[LINKS_VARIABLE]), document["ip"])
    redirect_messages(links, document["internalPortRange"][0])
    runpy.run_module("endivedrift.platform", run_name="__main__")


if __name__ == "__main__":
    main()
