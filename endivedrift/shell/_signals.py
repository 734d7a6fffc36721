"""Delivers operating system signals to a curio task."""

import signal
from types import FrameType

from curio import socket


class SignalInbox:
    """Signals that arrived, one byte with the number of each on a socket pair."""

    def __init__(self, *signals: signal.Signals) -> None:
        """Takes over the given signals; must be called on the main thread."""
        self._reader, self._writer = socket.socketpair()
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in signals:
            signal.signal(number, _ignore)

    async def wait(self) -> signal.Signals:
        """Waits for the next signal."""
        return signal.Signals((await self._reader.recv(1))[0])


def _ignore(number: int, frame: FrameType | None) -> None:
    """Keeps the default action from being taken; the wakeup byte tells of the signal."""
