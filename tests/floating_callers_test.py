"""Callers of hosts that are not primaries of their service are served as well as all others."""

import unittest

from tests.floating_callers import FloatingFleet, FloatingLoad

MIN_SERVED = 0.98
"""Share of the requests that are served. There is room for all of them."""


# Guards against FLOOR: with no fault at all, hosts that were not primaries sent requests to full
# targets, and had no retry left for them.
class FloatingCallersTest(unittest.TestCase):
    def check(self, load: FloatingLoad) -> None:
        fleet = FloatingFleet(load)
        fleet.run_load()
        self.assertEqual(fleet.list_broken_promises({sent.digest for sent in fleet.sent}), [])
        primary = fleet.count_served(fleet.list_sent(to_primaries=True))
        elsewhere = fleet.count_served(fleet.list_sent(to_primaries=False))
        said = f"at primaries {primary:.3f}, elsewhere {elsewhere:.3f}, rejected {fleet.rejected}"
        self.assertGreaterEqual(primary, MIN_SERVED, said)
        self.assertGreaterEqual(elsewhere, MIN_SERVED, said)

    def test_hosts_that_are_not_primaries_refuse_what_fits(self) -> None:
        self.check(FloatingLoad(hosts=32))

    def test_they_refuse_what_fits_into_busy_targets(self) -> None:
        self.check(FloatingLoad(hosts=32, busy_share=0.6))

    def test_they_refuse_what_fits_in_a_large_fleet(self) -> None:
        self.check(FloatingLoad(hosts=109))

    def test_they_refuse_what_fits_into_busy_targets_of_a_large_fleet(self) -> None:
        self.check(FloatingLoad(hosts=109, busy_share=0.6))

    # Here the attempts that find their target full are more than the fleet's retries.
    def test_they_refuse_what_fits_when_the_fleet_has_no_retry_left(self) -> None:
        self.check(FloatingLoad(hosts=109, busy_share=0.6, seed=2))


if __name__ == "__main__":
    unittest.main()
