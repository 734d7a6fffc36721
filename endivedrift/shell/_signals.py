"""Delivers operating system signals to curio tasks."""

import signal
import socket
from types import FrameType

from endivedrift.shell._sockets import Socket


class SignalInbox:
    """Queue of received signals, implemented as a socket pair with one byte for each signal."""

    def __init__(self, *signals: signal.Signals) -> None:
        """Installs handlers for the given signals; must be called on the main thread."""
        reader, writer = socket.socketpair()
        self._reader, self._writer = Socket(reader), Socket(writer)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in signals:
            signal.signal(number, _ignore)

    async def wait(self) -> signal.Signals:
        """Waits for the next signal and returns it."""
        return signal.Signals((await self._reader.recv(1))[0])


def _ignore(number: int, frame: FrameType | None) -> None:
    """Replaces the default action; the signal is reported by its byte on the socket pair."""
