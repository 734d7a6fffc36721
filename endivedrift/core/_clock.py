"""The clock interface, which is passed to all code that needs the time.

A clock has two readings. `monotonic` never goes back and orders events within one process. It also
counts the time in which the machine is suspended, since what other machines told ages meanwhile.
`wall` is the date and time of day; it is used for the audit trail and for expiry times that
several hosts have to compare.
"""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol, TypeAlias

MONOTONIC_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The clock that counts the time of a suspended machine, where the operating system has one."""
Instant: TypeAlias = timedelta
"""Time on a monotonic clock with an arbitrary zero; comparable within one process only."""


class Clock(Protocol):
    """A source of monotonic and wall-clock time."""

    def monotonic(self) -> Instant:
        """Returns the time on a clock that never goes back."""

    def wall(self) -> datetime:
        """Returns the date and time in UTC."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> Instant:
        """Returns the time since an arbitrary start."""
        return timedelta(seconds=time.clock_gettime(MONOTONIC_CLOCK))

    def wall(self) -> datetime:
        """Returns the date and time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that only moves when `advance` is called, for tests and benchmarks."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        """Starts the clock at `start` with a monotonic reading of zero."""
        self._start = start
        self._elapsed = timedelta(0)

    def monotonic(self) -> Instant:
        """Returns the time by which the clock was advanced."""
        return self._elapsed

    def wall(self) -> datetime:
        """Returns the start date plus the time by which the clock was advanced."""
        return self._start + self._elapsed

    def advance(self, step: timedelta) -> None:
        """Moves the clock forward by `step`."""
        self._elapsed += step
