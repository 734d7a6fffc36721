"""Requests are kept for as long as their route says, for minutes as for seconds."""

import unittest
from dataclasses import replace
from datetime import timedelta

from endivedrift.core import AttemptOutcome
from endivedrift.core.effects import QueueRequest, RefuseRequest, SendToTarget
from endivedrift.core.events import AttemptFinished, QueueWaitExpired
from endivedrift.platform._headers import PLATFORM_CONVENTIONS
from endivedrift.shell._requests import _read_caller_timeout
from tests.builders import HostHarness, build_answer, build_object_set

TIMEOUT_S = 180
DEADLINE = timedelta(seconds=TIMEOUT_S)


def start_host() -> HostHarness:
    """Starts a host with one target that takes one request, and a time-out of three minutes."""
    objects = build_object_set(targets=1, floor=1, slots=1)
    milliseconds = TIMEOUT_S * 1_000
    routes = {
        name: replace(route, deadline_ms=milliseconds, queue_wait_ms=milliseconds - 1)
        for name, route in objects.route.items()
    }
    return HostHarness(replace(objects, route=routes))


class LongRequestTest(unittest.TestCase):
    # Guards against CONFIG: a time-out over two minutes that is in force and cuts requests earlier.
    def test_a_request_is_queued_and_sent_within_its_time_out(self) -> None:
        harness = start_host()
        began = harness.clock.monotonic()
        first, effects = harness.receive_request()
        (sent,) = (e for e in effects if isinstance(e, SendToTarget))
        self.assertEqual(sent.deadline, began + DEADLINE)
        harness.advance(1.0)
        arrived = harness.clock.monotonic()
        second, effects = harness.receive_request()
        (queued,) = (e for e in effects if isinstance(e, QueueRequest))
        self.assertGreater(queued.until, arrived + DEADLINE - timedelta(seconds=2))
        self.assertFalse([e for e in harness.advance(170.0) if isinstance(e, RefuseRequest)])
        finished = AttemptFinished(
            harness.clock.monotonic(),
            first,
            sent.target,
            AttemptOutcome.ANSWERED,
            harness.clock.monotonic() - began,
            build_answer(),
        )
        (sent,) = (e for e in harness.apply(finished) if isinstance(e, SendToTarget))
        self.assertEqual((sent.request, sent.deadline), (second, arrived + DEADLINE))

    def test_a_request_that_finds_no_room_is_refused_at_the_end_of_its_wait(self) -> None:
        harness = start_host()
        harness.receive_request()
        harness.advance(1.0)
        second, effects = harness.receive_request()
        (queued,) = (e for e in effects if isinstance(e, QueueRequest))
        waited = queued.until - harness.clock.monotonic()
        self.assertGreater(waited, DEADLINE - timedelta(seconds=2))
        effects = harness.advance(waited.total_seconds() + 1.0)
        effects += harness.apply(QueueWaitExpired(harness.clock.monotonic(), second))
        refused = [e for e in effects if isinstance(e, RefuseRequest)]
        self.assertEqual([e.request for e in refused], [second])

    def test_a_caller_may_state_a_time_of_hours(self) -> None:
        for stated, seconds in ((b"180000", 180), (b"7200000", 7_200), (b"9" * 20, 86_400)):
            read = _read_caller_timeout(PLATFORM_CONVENTIONS, stated)
            self.assertEqual(read, timedelta(seconds=seconds))


if __name__ == "__main__":
    unittest.main()
