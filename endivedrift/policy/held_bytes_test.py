"""Shares of the memory for bodies, and which answers are closed when it is short.

Guards against a caller that fills the memory of a host, and against closing answers that callers
take at a usable rate.
"""

import unittest
from datetime import timedelta

from endivedrift.core import CallerName, Instant, RequestId
from endivedrift.policy import (
    MIN_RATE,
    SAMPLE_PERIOD,
    SMALL_BYTES,
    ByteBudget,
    Holding,
    assign_account,
    compute_budget,
    hold_bytes,
    may_hold,
    measure_rate,
    record_taken,
    select_slowest,
)

MB = 1_000_000
ANSWER_BYTES = 540_000


class ShareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = ByteBudget(compute_budget(200 * MB))
        self.count = 0

    def open(self, connection: int, account: str | None = None) -> Holding:
        self.count += 1
        name = CallerName(account) if account is not None else None
        return Holding(RequestId(f"r{self.count}"), connection, name)

    def fill(self, account: str | None, connection: int | None = None) -> int:
        """Holds large answers until there is no room for one more; returns their bytes."""
        held = 0
        while may_hold(
            self.budget, holding := self.open(connection or self.count, account), 540_000
        ):
            hold_bytes(self.budget, holding, ANSWER_BYTES)
            held += ANSWER_BYTES
        return held

    def test_the_budget_leaves_room_for_the_control_plane(self) -> None:
        self.assertLess(self.budget.limit * 1.25, (200 - 128) * MB)

    def test_one_account_leaves_room_for_others(self) -> None:
        self.fill("a")
        second = self.fill("b")
        self.assertGreaterEqual(second, 10 * ANSWER_BYTES)
        self.assertTrue(may_hold(self.budget, self.open(-1, "c"), ANSWER_BYTES))

    def test_one_connection_leaves_room_for_others_without_accounts(self) -> None:
        self.fill(None, connection=7)
        self.assertTrue(may_hold(self.budget, self.open(-1), ANSWER_BYTES))

    def test_one_alone_may_hold_as_much_as_before_there_were_shares(self) -> None:
        self.assertTrue(may_hold(self.budget, self.open(1, "a"), 32 * 1024 * 1024))

    def test_small_answers_have_room_beside_any_number_of_large_ones_within_a_bound(self) -> None:
        for number in range(40):
            self.fill(f"a{number}")
        count = 0
        while may_hold(self.budget, holding := self.open(-1, "z"), SMALL_BYTES):
            hold_bytes(self.budget, holding, SMALL_BYTES)
            count += 1
        self.assertGreater(count, 100)
        self.assertLessEqual(self.budget.used, self.budget.limit * 1.25)

    def test_no_count_remains_when_all_is_returned(self) -> None:
        holding = self.open(1)
        hold_bytes(self.budget, holding, ANSWER_BYTES)
        assign_account(self.budget, holding, CallerName("a"))
        hold_bytes(self.budget, holding, -ANSWER_BYTES)
        self.assertEqual(
            (self.budget.used, self.budget.by_connection, self.budget.by_account), (0, {}, {})
        )


class SlowestTest(unittest.TestCase):
    def build(self, bytes_per_s: float, seconds: float, size: int = ANSWER_BYTES) -> Holding:
        """Builds an answer of which a caller has taken this much at each measurement."""
        holding = Holding(RequestId("r"), 1, size=size)
        at = Instant(0)
        while at <= timedelta(seconds=seconds):
            record_taken(holding, at, int(at.total_seconds() * bytes_per_s))
            at += SAMPLE_PERIOD
        return holding

    def test_the_slowest_is_closed_first_and_the_largest_of_equals(self) -> None:
        slow, stalled = self.build(MIN_RATE / 2, 1.5), self.build(0, 1.5)
        larger = self.build(0, 1.5, size=ANSWER_BYTES + 1)
        self.assertIs(select_slowest([slow, stalled, larger]), larger)
        larger.is_closing = True
        self.assertIs(select_slowest([slow, stalled, larger]), stalled)

    def test_none_is_closed_that_is_taken_at_a_usable_rate(self) -> None:
        self.assertIsNone(select_slowest([self.build(MIN_RATE * 1.1, 5.0)]))

    def test_none_is_closed_before_it_was_measured_for_a_second(self) -> None:
        self.assertIsNone(select_slowest([self.build(0, 0.9)]))

    def test_what_a_caller_took_earlier_does_not_count(self) -> None:
        holding = self.build(10 * MB, 1.0)
        taken = holding.samples[-1][1]
        for n in range(1, 30):
            record_taken(holding, timedelta(seconds=1) + n * SAMPLE_PERIOD, taken)
        self.assertEqual(measure_rate(holding), 0.0)


if __name__ == "__main__":
    unittest.main()
