"""The metrics and the log show where the time of a request passes that its target does not take."""

import time
import unittest
from datetime import timedelta

import curio

from endivedrift.core import SystemClock
from endivedrift.reducer import build_host
from endivedrift.shell._daemon import _tick
from endivedrift.shell._metrics import Metrics
from endivedrift.shell._runtime import Runtime
from tests.builders import SECRET, build_identity

BLOCKED_S = 0.4


class LoopLagTest(unittest.TestCase):
    # Guards against a host that cannot tell that its event loop is behind.
    def test_a_loop_that_is_blocked_shows_in_the_lag(self) -> None:
        runtime = Runtime(build_host(build_identity(), SECRET, 1), SystemClock(), Metrics())

        async def run() -> None:
            ticking = await curio.spawn(_tick(runtime), daemon=True)
            await curio.sleep(timedelta(milliseconds=50).total_seconds())
            time.sleep(BLOCKED_S)
            await curio.sleep(0.01)
            await ticking.cancel()

        curio.run(run)
        self.assertGreaterEqual(runtime.metrics.loop_lag.sum_s, BLOCKED_S - 0.1)
        text = runtime.metrics.render(runtime.state, runtime.clock.monotonic()).decode()
        self.assertIn("endivedrift_loop_lag_seconds_count 1.0", text)
        self.assertIn("endivedrift_request_wait_seconds_count 0.0", text)
