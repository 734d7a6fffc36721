"""Crowds of clients that do not behave, and what a host uses while they are there.

Each crowd sends a fixed volume over a fixed number of connections from threads of its own, and
opens a connection again when the host has closed it.
"""

import contextlib
import os
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from itertools import repeat
from pathlib import Path

from standins.proxy import RESET_ON_CLOSE

SEND_TIMEOUT_S = 1.0
"""Time after which a client that can send no more keeps its connection open and sends nothing."""
HOLD_S = 0.5
"""Time for which such a client then keeps its connection open."""
SAMPLE_PERIOD_S = 0.02
PIECE_BYTES = 65_536
CONNECT_TIMEOUT_S = 10.0
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that all send the same.

    Attributes:
      start: What each connection sends first.
      repeated: What it sends again and again after that, empty for nothing.
      connections: Number of connections at a time.
      volume: Bytes that each of them sends in all, also over several connections.
      resets: Whether the clients reset their connections in place of closing them.
    """

    start: bytes
    repeated: bytes = b""
    connections: int = 4
    volume: int = 64_000_000
    resets: bool = False


def send_crowd(address: tuple[str, int], crowd: Crowd) -> None:
    """Sends what a crowd sends, and closes its connections."""
    with ThreadPoolExecutor(crowd.connections) as pool:
        for sending in [pool.submit(_send, address, crowd) for _ in range(crowd.connections)]:
            sending.result()


def _send(address: tuple[str, int], crowd: Crowd) -> None:
    left = crowd.volume
    pieces = max(1, PIECE_BYTES // max(1, len(crowd.repeated)))
    repeated = crowd.repeated * pieces
    while left > 0:
        sock = socket.socket()
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.connect(address)
            sock.settimeout(SEND_TIMEOUT_S)
            left -= max(1, len(crowd.start))
            sock.sendall(crowd.start)
            for piece in repeat(repeated) if repeated else ():
                if left <= 0:
                    break
                left -= len(piece)
                sock.sendall(piece)
            left = left if repeated else 0
            time.sleep(HOLD_S if left <= 0 else 0.0)
        except TimeoutError:
            time.sleep(HOLD_S)
            left = 0
        except OSError:
            left -= PIECE_BYTES
        finally:
            if crowd.resets:
                reset_connection(sock)
            sock.close()


def reset_connection(sock: socket.socket) -> None:
    """Closes a socket so that its connection is reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


@dataclass(slots=True)
class Usage:
    """The greatest use of a process: bytes in memory and in its sockets, and open descriptors."""

    memory: int = 0
    descriptors: int = 0


@dataclass(slots=True)
class UsageMeter:
    """Samples the use of a process in a thread while it is entered.

    Attributes:
      pid: The process.
      ip: Its address; bytes that arrived there and were not read count as its memory.
      greatest: The greatest use so far.
    """

    pid: int
    ip: str
    greatest: Usage = field(default_factory=Usage)
    _ended: threading.Event = field(default_factory=threading.Event)
    _thread: threading.Thread | None = None

    def __enter__(self) -> "UsageMeter":
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._ended.set()
        assert self._thread is not None
        self._thread.join()

    def _run(self) -> None:
        while not self._ended.wait(SAMPLE_PERIOD_S):
            with contextlib.suppress(OSError):
                self._sample()

    def _sample(self) -> None:
        process = Path("/proc") / str(self.pid)
        resident = int((process / "statm").read_text("ascii").split()[1]) * _PAGE_BYTES
        memory = resident + count_unread_bytes(self.ip)
        descriptors = len(os.listdir(process / "fd"))
        self.greatest.memory = max(self.greatest.memory, memory)
        self.greatest.descriptors = max(self.greatest.descriptors, descriptors)


def count_unread_bytes(ip: str) -> int:
    """Counts the bytes that arrived on connections to an address and were not read yet."""
    local = socket.inet_aton(ip)[::-1].hex().upper() + ":"
    lines = Path("/proc/net/tcp").read_text("ascii").splitlines()[1:]
    fields = (line.split() for line in lines)
    return sum(int(f[4].split(":")[1], 16) for f in fields if f[1].startswith(local))


def measure_crowd(pid: int, ip: str, send: Callable[[], None]) -> Usage:
    """Returns the greatest use of a process while something is sent and for a second after."""
    with UsageMeter(pid, ip) as meter:
        send()
        time.sleep(HOLD_S)
    return meter.greatest
