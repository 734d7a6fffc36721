"""Spreads work that callers bring over several cycles of the event loop.

The loop runs every task that is ready before it looks at sockets again. When many callers send at
once, an answer of a target would wait behind all of them, and its slot would stand idle meanwhile.
The turnstile lets only a few requests begin in each cycle; the others keep their order.
"""

from datetime import timedelta

import curio

from endivedrift.core import Clock, Instant

PASSES = 6
WINDOW = timedelta(milliseconds=5)


class Turnstile:
    """Lets a few tasks pass in each cycle of the loop, and all of them while there are few."""

    def __init__(self, clock: Clock) -> None:
        """Starts with no task waiting."""
        self._clock = clock
        self._tokens = curio.Semaphore(PASSES)
        self._window = Instant(0)
        self._passed = 0

    async def enter(self) -> None:
        """Waits for the caller's turn."""
        now = self._clock.monotonic()
        if now - self._window >= WINDOW:
            self._window = now
            self._passed = 0
        self._passed += 1
        if self._passed <= PASSES:
            return
        async with self._tokens:
            await curio.sleep(0)
