"""Tests that a host on the platform imports only what it needs, since each start costs time."""

import subprocess
import sys
import unittest

UNNEEDED = ("pydantic", "prometheus_client", "typer", "rich", "click", "matplotlib", "hypothesis")
"""Packages of the tool and of the developers."""

SCRIPT = """
import sys
import endivedrift.platform._command
print(*sorted({name.partition(".")[0] for name in sys.modules}))
"""


class ImportTest(unittest.TestCase):
    def test_a_host_imports_no_package_of_the_tool(self) -> None:
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True
        )
        imported = set(done.stdout.split())
        self.assertIn("curio", imported)
        # structlog imports rich by itself where it is installed, as in the developers' environment.
        self.assertEqual(imported & set(UNNEEDED) - {"rich"}, set())


if __name__ == "__main__":
    unittest.main()
