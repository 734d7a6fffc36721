"""Runs the tests and tolerates failures of only those that KNOWN-RED.txt lists.

The classes of tests run in processes of their own, a few at a time, since most tests wait for real
processes. Classes with a true attribute `runs_alone`, which measure what a process uses, run one at
a time after all others. Prints the output of the classes that fail, and each listed test with its
result, to show which ones pass again. The last line counts the tests that passed, failed and were
skipped.
"""

import json
import subprocess
import sys
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PACKAGES = ("endivedrift", "standins", "lab", "tests")
PROCESSES = 4
"""Classes that run at a time; each may run a few hosts, on machines of seven cores or fewer."""
CLASS_TIMEOUT_S = 1_200.0
REPORT_MARK = "test-report: "
"""Begins the last line of a class's output, which holds its outcome as JSON."""
ONE_CLASS_FLAG = "--one-class"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of some tests: how many ran, and the ids of those that failed or were skipped."""

    ran: int = 0
    failed: tuple[str, ...] = ()
    skipped: int = 0
    output: str = field(default="", compare=False)


def main() -> None:
    """Runs the tests named on the command line, or all tests."""
    if sys.argv[1:2] == [ONE_CLASS_FLAG]:
        report_tests(sys.argv[2:])
        return
    loader = unittest.TestLoader()
    if sys.argv[1:]:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = unittest.TestSuite(
            loader.discover(str(ROOT / package), "*_test.py", str(ROOT)) for package in PACKAGES
        )
    cases = list(iterate_cases(suite))
    alone = [case for case in cases if getattr(case, "runs_alone", False)]
    beside = [case for case in cases if not getattr(case, "runs_alone", False)]
    with ThreadPoolExecutor(PROCESSES) as pool:
        outcomes = list(pool.map(run_class, group_by_class(beside)))
    outcomes += [run_class(test_ids) for test_ids in group_by_class(alone)]
    for outcome in outcomes:
        if outcome.failed:
            print(outcome.output)
    failed = {test_id for outcome in outcomes for test_id in outcome.failed}
    known = read_known_red()
    for test_id in sorted(known):
        state = "still fails" if test_id in failed else "passes or was not run"
        print(f"known red: {test_id}: {state}")
    new = failed - known
    for test_id in sorted(new):
        print(f"failed: {test_id}")
    skipped = sum(outcome.skipped for outcome in outcomes)
    passed = sum(outcome.ran for outcome in outcomes) - len(failed) - skipped
    print(f"{passed} passed, {len(new)} failed, {skipped} skipped")
    sys.exit(1 if new or passed <= 0 else 0)


def group_by_class(cases: list[unittest.TestCase]) -> list[list[str]]:
    """Returns the ids of tests, one list for each class.

    Classes with a true attribute `is_slow` take minutes. Each of their tests has a list of its own
    before those of other classes, so that no process has minutes of work left at the end.
    """
    slow: list[list[str]] = []
    groups: dict[type, list[str]] = {}
    for case in cases:
        if getattr(case, "is_slow", False):
            slow.append([case.id()])
        else:
            groups.setdefault(type(case), []).append(case.id())
    return slow + list(groups.values())


def iterate_cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Iterates over the tests of a suite and of the suites in it."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_cases(item)
        else:
            yield item


def run_class(test_ids: list[str]) -> Outcome:
    """Runs the tests of one class in a process and returns their outcome.

    A class whose process ends without a report counts as failed in all its tests.
    """
    command = [sys.executable, "-m", "tests.run", ONE_CLASS_FLAG, *test_ids]
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=CLASS_TIMEOUT_S,
            check=False,
        )
        output = done.stdout.decode("utf-8", "replace")
    except subprocess.TimeoutExpired as expired:
        output = (expired.stdout or b"").decode("utf-8", "replace") + "\ntimed out"
    text, mark, report = output.rpartition(REPORT_MARK)
    if not mark:
        return Outcome(len(test_ids), tuple(test_ids), 0, output)
    values = json.loads(report.splitlines()[0])
    return Outcome(values["ran"], tuple(values["failed"]), values["skipped"], text)


def report_tests(test_ids: list[str]) -> None:
    """Runs tests in this process and prints their outcome on the last line."""
    suite = unittest.TestLoader().loadTestsFromNames(test_ids)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = {find_test_id(case) for case, _ in [*result.failures, *result.errors]}
    failed |= {case.id() for case in result.unexpectedSuccesses}
    outcome = asdict(Outcome(result.testsRun, tuple(sorted(failed)), len(result.skipped)))
    sys.stderr.flush()
    print(f"\n{REPORT_MARK}{json.dumps(outcome)}")


def find_test_id(case: unittest.TestCase) -> str:
    """Returns the id of a test, also for a failed part of it."""
    whole = getattr(case, "test_case", case)
    test_id: str = whole.id()
    return test_id


def read_known_red() -> set[str]:
    """Returns the ids of the tests that KNOWN-RED.txt lists, the first word of each entry."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text("utf-8").splitlines()
    entries = [line for line in lines if line and not line.startswith(("#", " "))]
    return {line.split()[0] for line in entries}


if __name__ == "__main__":
    main()
