"""Tests the start of a host's process: a SIGHUP during the imports must not end it."""

import subprocess
import sys
import unittest

SCRIPT = """
import signal, sys
from endivedrift.platform.__main__ import main
assert "curio" not in sys.modules
assert main() == 2
assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
"""


class StartTest(unittest.TestCase):
    def test_sighup_during_the_imports_does_not_end_the_process(self) -> None:
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT], env={}, capture_output=True, text=True
        )
        self.assertEqual((done.returncode, done.stderr.count("Assertion")), (0, 0), done.stderr)


if __name__ == "__main__":
    unittest.main()
