"""Checks that the platform's wire names and imports of it stay within `endivedrift.platform`.

All other modules work with the names of the core, so that a change of the platform's interface
stays within one package.
"""

import ast
import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "endivedrift"
WIRE_NAMES = re.compile(
    r"endivedrift-(attempt|server|not-exec|expect|deadline|instance)|rows-(feed|get|tx)"
    r"|trafficSplit|targetLatency|maxAttempts|warmupLeft|healthPath|internalPortRange",
    re.IGNORECASE,
)


def list_modules(folder: Path) -> list[Path]:
    return [path for path in sorted(folder.rglob("*.py")) if not path.name.endswith("_test.py")]


class BoundaryTest(unittest.TestCase):
    def test_no_other_module_contains_a_wire_name(self) -> None:
        platform_folder = PACKAGE / "platform"
        leaks = [
            str(path.relative_to(PACKAGE))
            for path in list_modules(PACKAGE)
            if platform_folder not in path.parents and WIRE_NAMES.search(path.read_text("utf-8"))
        ]
        self.assertEqual(leaks, [])

    def test_the_pattern_matches_names_of_the_platform_package(self) -> None:
        text = "".join(path.read_text("utf-8") for path in list_modules(PACKAGE / "platform"))
        self.assertGreater(len(set(WIRE_NAMES.findall(text))), 4)

    def test_no_other_package_imports_the_platform_package(self) -> None:
        importers = set()
        for path in list_modules(PACKAGE):
            for node in ast.walk(ast.parse(path.read_text("utf-8"))):
                name = node.module if isinstance(node, ast.ImportFrom) else None
                if name is not None and name.startswith("endivedrift.platform"):
                    importers.add(path.parent.name)
        self.assertEqual(importers, {"platform"})


if __name__ == "__main__":
    unittest.main()
