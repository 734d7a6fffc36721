"""Structured logs on standard output: short sentences with a fixed prefix for each part.

Writing never waits. Lines for which standard output has no room are left out, and so are lines of
one kind beyond a number a second; both are counted, and the count is written with the next line.
"""

import logging
import os
import sys

import structlog

from endivedrift.core import Clock, SystemClock
from endivedrift.settings import LogSection

PREFIX_KEY = "part"
LINES_PER_SECOND = 200
"""Lines of one kind in a second; a host serves fewer requests than that on the users' machines."""
MAX_LINE_BYTES = 4_000
"""Longer lines are cut: a pipe takes lines below its atomic size whole or not at all."""


class LineWriter:
    """Writes lines to a file descriptor without waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        """Takes an open descriptor, which is switched to non-blocking writes."""
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write_line(self, line: str) -> None:
        """Writes a line, or counts it as left out."""
        if self.dropped:
            line = f'{line}\n{{"event": "log: Lines left out.", "count": {self.dropped}}}'
        data = line.encode("utf-8", "replace")[:MAX_LINE_BYTES] + b"\n"
        try:
            os.write(self._descriptor, data)
            self.dropped = 0
        except OSError:
            self.dropped += 1

    msg = debug = info = warning = error = critical = fatal = log = write_line


class RateLimit:
    """Leaves out lines of one kind beyond a number a second."""

    def __init__(
        self, writer: LineWriter, clock: Clock, lines_per_second: int = LINES_PER_SECOND
    ) -> None:
        """Counts what is left out at `writer`."""
        self._writer = writer
        self._clock = clock
        self._limit = lines_per_second
        self._second = 0
        self._counts: dict[object, int] = {}

    def __call__(
        self, logger: object, method: str, event: structlog.types.EventDict
    ) -> structlog.types.EventDict:
        """Passes an event on or drops it."""
        second = int(self._clock.monotonic().total_seconds())
        if second != self._second:
            self._second = second
            self._counts.clear()
        kind = event.get("event")
        self._counts[kind] = self._counts.get(kind, 0) + 1
        if self._counts[kind] > self._limit:
            self._writer.dropped += 1
            raise structlog.DropEvent
        return event


def configure_logs(
    settings: LogSection, writer: LineWriter | None = None, clock: Clock | None = None
) -> None:
    """Sets up structlog to write to standard output, or to another writer."""
    writer = writer or LineWriter(sys.stdout.fileno())
    renderer: structlog.types.Processor = (
        structlog.processors.JSONRenderer()
        if settings.format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            RateLimit(writer, clock or SystemClock()),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _prefix_event,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[settings.level.upper()]
        ),
        logger_factory=lambda *args: writer,
    )


def make_logger(part: str) -> structlog.typing.FilteringBoundLogger:
    """Returns a logger whose sentences begin with the name of a part."""
    return structlog.get_logger(**{PREFIX_KEY: part})


def _prefix_event(
    logger: object, method: str, event: structlog.types.EventDict
) -> structlog.types.EventDict:
    part = event.pop(PREFIX_KEY, None)
    if part is not None:
        event["event"] = f"{part}: {event['event']}"
    return event
