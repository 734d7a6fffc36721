"""Tests that a request that ends the targets which run it is kept from them in the whole fleet."""

import unittest
from datetime import timedelta

from tests.crashing_targets import CUTTING, CrashingFleet

DEADLY = b"deadly"
TOLD_AFTER = timedelta(seconds=3)
"""Time after the third end in which all hosts have to know that a request is quarantined."""
MAX_LATE_RUNS = 3
"""Number of times that targets may still get a quarantined request later than that."""


class QuarantineTest(unittest.TestCase):
    host_count = 32
    target_count = 60
    innocent_per_s = 40.0

    def setUp(self) -> None:
        self.fleet = CrashingFleet(self.host_count, self.target_count)
        self.fleet.run(4.0)

    def check_bound(
        self, digest: bytes = DEADLY, known_since: dict[str, timedelta] | None = None
    ) -> None:
        """Checks how often targets got a request after all hosts had to know of it.

        Args:
          digest: The request.
          known_since: When hosts had to know of it that learn it later than the others.
        """
        third_end = self.fleet.get_third_end(digest)
        assert third_end is not None
        known = known_since or {}
        usual = third_end + TOLD_AFTER
        late_runs = [
            (run.at.total_seconds(), run.sent.host)
            for run in self.fleet.runs
            if run.sent.digest == digest and run.at > known.get(run.sent.host, usual)
        ]
        late = [
            sent
            for sent in self.fleet.sent
            if sent.digest == digest and sent.arrived > known.get(sent.host, usual)
        ]
        refused = [sent for sent in late if sent.is_quarantined_at_once]
        figures = (
            f"{len(late_runs)} late runs, {len(self.fleet.list_ends(digest))} ends, "
            f"{len(refused)} of {len(late)} late arrivals refused as quarantined"
        )
        self.assertGreaterEqual(len(late), 8, figures)
        self.assertLessEqual(len(late_runs), MAX_LATE_RUNS, figures)
        self.assertGreaterEqual(len(refused), len(late) - MAX_LATE_RUNS, figures)

    def test_a_request_that_ended_three_targets_keeps_ending_targets(self) -> None:
        self.fleet.send_innocent(self.innocent_per_s, 9.0)
        self.fleet.send_deadly(DEADLY, 9.0)
        self.fleet.run(9.5)
        self.check_bound()

    def test_targets_that_cut_off_a_request_but_live_quarantine_it(self) -> None:
        self.fleet.behaviours[DEADLY] = CUTTING
        self.fleet.send_innocent(self.innocent_per_s, 6.0)
        for _ in range(12):
            self.fleet.send(DEADLY)
            self.fleet.run(0.5)
        self.assertGreater(sum(sent.cut_count for sent in self.fleet.sent), 12)
        self.assertGreater(len({run.target for run in self.fleet.runs}), 3)
        self.assertEqual(self.fleet.list_quarantined(), [])

    # Targets also end for causes of their own, and cut off whatever they are running then.
    def test_ends_of_targets_that_ran_various_requests_quarantine_one(self) -> None:
        self.fleet.send_innocent(self.innocent_per_s, 7.0)
        for _ in range(28):
            self.fleet.run(0.25)
            busy = [name for name, target in self.fleet.targets.items() if target.running]
            self.fleet.end_target(self.fleet.traffic.choice(busy))
        self.assertGreater(len(self.fleet.ends), 20)
        self.assertGreater(sum(sent.cut_count for sent in self.fleet.sent), 20)
        self.assertEqual(self.fleet.list_quarantined(), [])


class LargeFleetQuarantineTest(QuarantineTest):
    host_count = 293
    target_count = 120


if __name__ == "__main__":
    unittest.main()
