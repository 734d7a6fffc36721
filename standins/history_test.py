"""The history checker finds each kind of violation, and none in a correct history."""

import json
import unittest

from standins.caller import Record, Seen
from standins.history import check_history


def build_record(key: str, seen: Seen, path: str = "/stays/1", body: bytes | None = None) -> Record:
    answer = {"path": path, "query": "", "key": key}
    data = json.dumps(answer).encode() if body is None else body
    status = 200 if seen is Seen.ANSWERED else 503
    return Record(key, path, "host", seen, status, data, 0.0, 1.0)


def build_run(key: str, path: str = "/stays/1") -> list[str]:
    return ["POST", path, key, "attempt"]


class CheckHistoryTest(unittest.TestCase):
    def test_a_sound_history_has_no_violation(self) -> None:
        history = [
            build_record("a", Seen.ANSWERED),
            build_record("b", Seen.NOT_RUN),
            build_record("c", Seen.MAY_HAVE_RUN),
            build_record("d", Seen.LOST),
            build_record("", Seen.ANSWERED, "/rooms/1"),
        ]
        self.assertEqual(check_history(history, [build_run("a"), build_run("c")]), [])

    def test_a_key_that_ran_twice_is_found(self) -> None:
        violations = check_history(
            [build_record("a", Seen.ANSWERED)], [build_run("a"), build_run("a")]
        )
        self.assertEqual(violations, ["key a ran 2 times"])

    def test_a_false_not_run_is_found(self) -> None:
        violations = check_history([build_record("a", Seen.NOT_RUN)], [build_run("a")])
        self.assertEqual(violations, ["key a was called not run and ran"])

    def test_an_answer_without_a_run_is_found(self) -> None:
        violations = check_history([build_record("a", Seen.ANSWERED)], [])
        self.assertEqual(violations, ["key a was answered and never ran"])

    def test_an_answer_of_another_is_found(self) -> None:
        body = json.dumps({"path": "/stays/2", "query": "", "key": "a"}).encode()
        violations = check_history([build_record("a", Seen.ANSWERED, body=body)], [build_run("a")])
        self.assertEqual(violations, ["the answer to /stays/1 belongs to /stays/2"])

    def test_half_an_answer_is_found(self) -> None:
        violations = check_history(
            [build_record("a", Seen.ANSWERED, body=b'{"path": "/st')], [build_run("a")]
        )
        self.assertEqual(violations, ["the answer to /stays/1 is not whole"])
