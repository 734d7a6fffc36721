"""Tests that paths lost between some hosts and some targets are not held to be sick targets."""

import unittest
from datetime import timedelta

from tests.crashing_targets import SentRequest
from tests.partial_paths import PartialFleet
from tests.partitioned_hosts import PathLoss

PER_S = 100.0
FIRST_CUT_S = (8.0, 20.0)
SECOND_CUT_S = (26.0, 36.0)
MIN_SERVED = 0.90
MIN_WRITES_SERVED = 0.88


# Guards against the loss of paths between some hosts and some targets being read as sick targets,
# which were then paused and ejected at all hosts: 0.71 of the requests were served.
class PartialPathTest(unittest.TestCase):
    seed = 1

    def check_load(self, first: PathLoss, second: PathLoss) -> None:
        """Cuts each target off from three hosts in ten, twice, and checks what is served."""
        fleet = PartialFleet(entry_hosts=9, seed=self.seed)
        start = fleet.now
        fleet.send_all_kinds(PER_S, SECOND_CUT_S[1])
        for (since, until), loss in ((FIRST_CUT_S, first), (SECOND_CUT_S, second)):
            fleet.schedule_cut(since, until - since, loss)
        fleet.run(SECOND_CUT_S[1] + 4.0)
        counted = [s for s in fleet.sent if s.arrived - start >= timedelta(seconds=FIRST_CUT_S[0])]
        self.check_served(fleet, counted)
        writes = {sent.digest for sent in fleet.sent if sent.write}
        self.assertEqual(fleet.list_broken_promises(writes), [])
        self.assertEqual([sent for sent in fleet.sent if sent.ended is None], [])

    def check_served(self, fleet: PartialFleet, counted: list[SentRequest]) -> None:
        text = fleet.describe_unserved(counted)
        self.assertGreaterEqual(fleet.count_served(counted), MIN_SERVED, text)
        writes = [sent for sent in counted if sent.write]
        self.assertGreaterEqual(fleet.count_served(writes), MIN_WRITES_SERVED, text)

    def test_lost_packets_and_refused_connections_look_like_sick_targets(self) -> None:
        self.check_load(PathLoss.HANGING, PathLoss.RESET)

    def test_silent_and_reset_connections_look_like_sick_targets(self) -> None:
        self.check_load(PathLoss.SILENT, PathLoss.RESET_LATE)


if __name__ == "__main__":
    unittest.main()
