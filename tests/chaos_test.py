"""Runs two recorded histories with pairs of faults; `python -m tests.chaos` runs more."""

import unittest

from tests.chaos import run_history


class ChaosTest(unittest.TestCase):
    def test_recorded_seeds_violate_no_invariant(self) -> None:
        for seed in (3, 17):
            with self.subTest(seed=seed):
                result = run_history(seed)
                self.assertEqual(result.violations, [], result.faults)
                self.assertGreater(result.outcomes["answered"], 0)
