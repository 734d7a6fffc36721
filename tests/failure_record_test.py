"""Tests that requests which must not be repeated go to targets with few earlier failures."""

import unittest
from contextlib import ExitStack
from functools import cache

from endivedrift.policy import _failure_record
from endivedrift.reducer import _targets
from tests.fuzzing import inject_fault
from tests.resetting_targets import Load, ResettingFleet

PERIODS = Load()
ONCE = Load(fails_once=True)
SOUND = Load(seconds=15.0, failing_targets=0)
MAX_LOST_SHARE = 0.25
"""Share of the requests lost without records that may be lost with them."""


@cache
def run_fleet(load: Load, with_record: bool = True) -> ResettingFleet:
    """Runs a load, without records of failures if a test compares with that."""
    with ExitStack() as faults:
        if not with_record:
            record = _failure_record.FailureRecord
            faults.enter_context(inject_fault(record, "add_failure", lambda *arguments: None))
            faults.enter_context(inject_fault(_targets, "_tell_users", lambda *arguments: []))
        fleet = ResettingFleet(load)
        fleet.run_load()
    return fleet


class ResetPeriodsTest(unittest.TestCase):
    def test_targets_that_reset_again_lose_more_than_a_quarter(self) -> None:
        before, after = run_fleet(PERIODS, False), run_fleet(PERIODS)
        self.assertLessEqual(after.count_lost(), MAX_LOST_SHARE * before.count_lost())

    def test_more_requests_are_refused_than_resets_are_avoided(self) -> None:
        before, after = run_fleet(PERIODS, False), run_fleet(PERIODS)
        self.assertGreater(after.served_share, before.served_share)


class OtherLoadsTest(unittest.TestCase):
    def check_unchanged(self, load: Load) -> None:
        before, after = run_fleet(load, False), run_fleet(load)
        self.assertGreaterEqual(after.served_share, before.served_share)
        self.assertLessEqual(after.compute_spread(), before.compute_spread())

    def test_targets_that_failed_once_stay_out_of_use(self) -> None:
        self.check_unchanged(ONCE)

    def test_targets_that_never_failed_get_unequal_work(self) -> None:
        self.check_unchanged(SOUND)


if __name__ == "__main__":
    unittest.main()
