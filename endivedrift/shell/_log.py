"""Structured logs on standard output: short sentences, each prefixed with the name of its part.

Writing never blocks. Lines are dropped if standard output cannot take them, or if more lines with
the same event were logged in the same second than the limit allows. Dropped lines are counted, and
the count is written with the next line.
"""

import json
import logging
import os
import sys

import structlog

from endivedrift.core import Clock, SystemClock
from endivedrift.settings import LogSection

PREFIX_KEY = "part"
MAX_LINES_PER_SECOND = 200
"""Maximum number of lines with the same event in one second. A host normally serves fewer requests
per second, so that every request is logged."""
MAX_LINE_BYTES = 4_000
"""Of longer lines only the beginning is written, in a line that says so. A pipe accepts writes up
to its atomic size (PIPE_BUF, 4096 bytes on Linux) completely or not at all, so that no partial line
is written."""
MAX_SHOWN_CHARACTERS = 600
"""Characters of a line that is too long which are written; each takes up to six bytes in JSON."""


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    Attributes:
      dropped: Number of lines dropped since the last line was written.
    """

    def __init__(self, descriptor: int) -> None:
        """Sets an open descriptor to non-blocking mode and writes to it."""
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write_line(self, line: str) -> None:
        """Writes a line, or counts it as dropped."""
        try:
            if self.dropped:
                self._write({"event": "log: Lines dropped.", "count": self.dropped})
                self.dropped = 0
            data = line.encode("utf-8", "replace")
            if len(data) <= MAX_LINE_BYTES:
                os.write(self._descriptor, data + b"\n")
            else:
                self._write(
                    {
                        "event": "log: Line too long.",
                        "bytes": len(data),
                        "begin": line[:MAX_SHOWN_CHARACTERS],
                    }
                )
        except OSError:
            self.dropped += 1

    def _write(self, document: dict[str, object]) -> None:
        os.write(self._descriptor, json.dumps(document).encode() + b"\n")

    msg = debug = info = warning = error = critical = fatal = log = write_line


class RateLimiter:
    """Drops lines with the same event beyond a number per second."""

    def __init__(
        self, writer: LineWriter, clock: Clock, lines_per_second: int = MAX_LINES_PER_SECOND
    ) -> None:
        """Creates a limiter that counts dropped lines at `writer`."""
        self._writer = writer
        self._clock = clock
        self._limit = lines_per_second
        self._current_second = 0
        self._counts: dict[object, int] = {}

    def __call__(
        self, logger: object, method: str, event: structlog.types.EventDict
    ) -> structlog.types.EventDict:
        """Returns the event, or drops it.

        Raises:
          structlog.DropEvent: If the limit for this event is reached.
        """
        second = int(self._clock.monotonic().total_seconds())
        if second != self._current_second:
            self._current_second = second
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
    """Configures structlog to write to standard output, or to another writer."""
    writer = writer or LineWriter(sys.stdout.fileno())
    renderer: structlog.types.Processor = (
        structlog.processors.JSONRenderer()
        if settings.format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            RateLimiter(writer, clock or SystemClock()),
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
    """Returns a logger whose events are prefixed with the name of a part of the program."""
    return structlog.get_logger(**{PREFIX_KEY: part})


def _prefix_event(
    logger: object, method: str, event: structlog.types.EventDict
) -> structlog.types.EventDict:
    part = event.pop(PREFIX_KEY, None)
    if part is not None:
        event["event"] = f"{part}: {event['event']}"
    return event
