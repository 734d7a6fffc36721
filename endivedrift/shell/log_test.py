"""Logging never blocks on the reader of the log, and its volume is limited."""

import contextlib
import io
import json
import os
import unittest
from datetime import timedelta

import structlog

from endivedrift.core import ManualClock
from endivedrift.settings import LogSection
from endivedrift.shell._log import (
    MAX_LINE_BYTES,
    LineWriter,
    RateLimiter,
    configure_logs,
    make_logger,
)


class LogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer_end = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer_end)
        self.addCleanup(structlog.reset_defaults)
        self.writer = LineWriter(self.writer_end)

    def test_a_reader_that_stops_does_not_block_the_writer(self) -> None:
        line = "x" * 1_000
        for _ in range(1_000):  # Far more than the buffer of a pipe holds.
            self.writer.write_line(line)
        self.assertGreater(self.writer.dropped, 500)

    def test_the_number_of_dropped_lines_is_logged_when_the_reader_resumes(self) -> None:
        while not self.writer.dropped:
            self.writer.write_line("x" * 1_000)
        dropped = self.writer.dropped
        os.read(self.reader, 65_536)
        self.writer.write_line("again")
        text = os.read(self.reader, 65_536).decode()
        self.assertIn(f'"count": {dropped}', text)
        self.assertEqual(self.writer.dropped, 0)

    def test_a_line_that_is_too_long_stays_json_and_keeps_the_count_of_dropped_lines(self) -> None:
        self.writer.dropped = 3
        self.writer.write_line(json.dumps({"event": "Long.", "path": "\u20ac" * 9_000}))
        lines = os.read(self.reader, 65_536).decode().splitlines()
        documents = [json.loads(line) for line in lines]
        self.assertEqual(documents[0], {"event": "log: Lines dropped.", "count": 3})
        self.assertEqual(documents[1]["event"], "log: Line too long.")
        self.assertIn("Long.", documents[1]["begin"])
        self.assertTrue(all(len(line.encode()) <= MAX_LINE_BYTES for line in lines))

    def test_lines_beyond_the_rate_limit_of_their_event_are_dropped_and_counted(self) -> None:
        clock = ManualClock()
        limit = RateLimiter(self.writer, clock, lines_per_second=10)
        passed = []
        for number in range(15):
            with contextlib.suppress(structlog.DropEvent):
                limit(None, "info", {"event": "Answered."})
                passed.append(number)
        limit(None, "info", {"event": "Another event."})
        self.assertEqual(passed, list(range(10)))
        self.assertEqual(self.writer.dropped, 5)
        clock.advance(timedelta(seconds=1))
        limit(None, "info", {"event": "Answered."})

    def test_a_line_is_one_json_object(self) -> None:
        configure_logs(LogSection(), self.writer)
        make_logger("request").info("Answered.", request="h1-1", status=200)
        line = io.BytesIO(os.read(self.reader, 65_536)).readline()
        document = json.loads(line)
        self.assertEqual(document["event"], "request: Answered.")
        self.assertEqual(document["status"], 200)


if __name__ == "__main__":
    unittest.main()
