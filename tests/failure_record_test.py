"""Tests that requests which must not be repeated go to targets with few earlier failures."""

import unittest
from contextlib import ExitStack
from datetime import timedelta
from functools import cache

from endivedrift.policy import _failure_record
from endivedrift.policy._failure_record import MAX_COUNT, FailureRecord
from endivedrift.reducer import _targets
from tests.fuzzing import inject_fault
from tests.resetting_targets import Load, ResettingFleet

PERIODS = Load()
LOST_WITHOUT_RECORDS = 388
LOST_WITHOUT_RECORDS_ALL_PRIMARIES = 217
"""Requests lost to resets in that load by the code without records (674a3dc)."""
SERVED_WITHOUT_RECORDS = 0.9615
"""Share of the requests that it served."""
ONCE = Load(fails_once=True)
ONCE_SERVED_WITHOUT_RECORDS = 0.9866
ONCE_SPREAD_WITHOUT_RECORDS = 0.0995
"""Results of that code if each target fails once for two seconds."""
SOUND = Load(seconds=15.0, failing_targets=0)
MAX_LOST_SHARE = 0.25
"""Share of the requests lost without records that may be lost with them."""
MAX_UNEVENNESS = 1.5
"""Greatest ratio of the requests at the busiest sound target to their mean at sound targets."""


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
        limit = MAX_LOST_SHARE * LOST_WITHOUT_RECORDS
        self.assertLessEqual(run_fleet(PERIODS).count_lost(), limit)

    def test_more_requests_are_refused_than_resets_are_avoided(self) -> None:
        self.assertGreater(run_fleet(PERIODS).served_share, SERVED_WITHOUT_RECORDS)

    def test_a_target_is_left_without_work(self) -> None:
        self.assertTrue(
            all(run_fleet(PERIODS).attempts[name] for name in run_fleet(PERIODS).targets)
        )


class AllPrimariesTest(unittest.TestCase):
    def test_targets_that_reset_again_lose_more_than_a_quarter(self) -> None:
        limit = MAX_LOST_SHARE * LOST_WITHOUT_RECORDS_ALL_PRIMARIES
        self.assertLessEqual(run_fleet(Load(entry_hosts=12)).count_lost(), limit)


class OneFailureTest(unittest.TestCase):
    def test_targets_that_failed_once_stay_out_of_use(self) -> None:
        fleet = run_fleet(ONCE)
        self.assertGreaterEqual(fleet.served_share, ONCE_SERVED_WITHOUT_RECORDS)
        self.assertLessEqual(fleet.compute_spread(), ONCE_SPREAD_WITHOUT_RECORDS)


class SoundTargetsTest(unittest.TestCase):
    def test_targets_that_never_failed_get_unequal_work(self) -> None:
        before, after = run_fleet(SOUND, False), run_fleet(SOUND)
        self.assertGreaterEqual(after.served_share, before.served_share)
        self.assertLessEqual(after.compute_spread(), before.compute_spread())


class LargeFleetTest(unittest.TestCase):
    """A fifth of the targets never fail. They have fewer slots than the load needs."""

    def check_evenness(self, hosts: int) -> None:
        load = Load(
            hosts=hosts,
            busy_share=0.33,
            failing_targets=80,
            seconds=12.0,
            entry_hosts=12,
            at_primaries=True,
        )
        fleet = run_fleet(load)
        sound = [fleet.attempts[name] for name in fleet.targets if name not in fleet.periods]
        self.assertLessEqual(max(sound), MAX_UNEVENNESS * sum(sound) / len(sound))
        unserved = sum(sent.status != 200 for sent in fleet.sent)
        self.assertEqual(unserved, fleet.count_lost(), "refused for want of room")

    def test_54_hosts_converge_on_one_sound_target(self) -> None:
        self.check_evenness(54)

    def test_102_hosts_converge_on_one_sound_target(self) -> None:
        self.check_evenness(102)


class FailureRecordTest(unittest.TestCase):
    START = timedelta(hours=1)

    def find_return_s(self, record: FailureRecord, repeat_share: float) -> int:
        """Returns the seconds until a target without work counts as sound again."""
        at, seconds = record.last_failure_at, 0
        while record.get_level(None, at + timedelta(seconds=seconds), repeat_share):
            seconds += 1
        return seconds

    def test_one_period_is_held_against_a_target_after_its_end(self) -> None:
        record = FailureRecord()
        record.add_failure(self.START)
        self.assertLessEqual(self.find_return_s(record, 0.0), 9)

    def test_a_target_that_failed_often_never_returns(self) -> None:
        record = FailureRecord()
        for number in range(50):
            record.add_failure(self.START + timedelta(seconds=10 * number))
        self.assertLessEqual(record.count, MAX_COUNT)
        self.assertLessEqual(self.find_return_s(record, 1.0), 6 * 60)

    def test_an_answer_to_an_earlier_request_clears_a_target(self) -> None:
        record = FailureRecord()
        record.add_failure(self.START)
        at = self.START + timedelta(seconds=3)
        self.assertGreater(record.get_level(self.START + timedelta(seconds=1), at), 0)
        self.assertEqual(record.get_level(self.START + timedelta(seconds=2.5), at), 0)

    def test_several_failures_of_one_period_count_as_several(self) -> None:
        record = FailureRecord()
        for number in range(4):
            record.add_failure(self.START + timedelta(seconds=2 * number))
        self.assertEqual(record.count, 1.0)


if __name__ == "__main__":
    unittest.main()
