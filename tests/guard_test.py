"""Tests that a failed background task ends the process and logs the cause."""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = """
import curio
from endivedrift.settings import LogSection
from endivedrift.shell import _daemon
from endivedrift.shell.host import configure_logs

async def fail():
    raise ValueError("a row of a new kind")

async def run():
    task = await curio.spawn(_daemon._guard({loop}), daemon=True)
    await curio.sleep({seconds})
    await task.cancel()

configure_logs(LogSection())
curio.run(run)
"""


class GuardTest(unittest.TestCase):
    def run_program(self, loop: str, seconds: float) -> subprocess.CompletedProcess[str]:
        program = PROGRAM.format(loop=loop, seconds=seconds)
        return subprocess.run(
            [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, timeout=60
        )

    def test_a_failed_task_ends_the_process(self) -> None:
        ended = self.run_program("fail()", 30)
        self.assertEqual(ended.returncode, 1)
        self.assertIn("a row of a new kind", ended.stdout)

    def test_a_cancelled_task_does_not_end_the_process(self) -> None:
        self.assertEqual(self.run_program("curio.sleep(3600)", 0).returncode, 0)


if __name__ == "__main__":
    unittest.main()
