"""Tests that hosts that reach no target serve their callers all the same."""

import unittest
from datetime import timedelta

from endivedrift.core import TargetState
from endivedrift.reducer import list_primaries
from tests.crashing_targets import SentRequest
from tests.partitioned_hosts import PartitionedFleet, PathLoss

NOTICED_AFTER = timedelta(seconds=3)
"""Time after the loss of its paths from which a host serves its callers as well as others do."""
BEFORE_S = 4.0
CUT_S = 12.0
MAX_LESS_SERVED = 0.05
"""Amount by which the share of served requests may be less at hosts that reach no target."""
MIN_SERVED_ELSEWHERE = 0.9


# Guards against RECOVER: hosts that had lost their paths to all targets refused their callers.
class PartitionTest(unittest.TestCase):
    host_count = 32
    entry_hosts = 3
    target_count = 40
    per_s = 60.0

    def setUp(self) -> None:
        self.fleet = PartitionedFleet(self.host_count, self.target_count, self.entry_hosts)

    def list_primary_hosts(self) -> list[str]:
        service = next(iter(self.fleet.hosts["h0"].state.services))
        return [str(m.host) for m in list_primaries(self.fleet.hosts["h0"].state, service)]

    def list_domain(self, domain: str) -> list[str]:
        """Lists the hosts of a failure domain, its primaries first."""
        primaries = self.list_primary_hosts()
        names = [
            name
            for name, harness in self.fleet.hosts.items()
            if harness.state.identity.failure_domain == domain
        ]
        return sorted(names, key=lambda name: name not in primaries)

    def send_both_kinds(self, seconds: float) -> None:
        self.fleet.send_steadily(self.per_s / 2, seconds)
        self.fleet.send_steadily(self.per_s / 2, seconds, write=False)

    def check_cut(self, cut: list[str], loss: PathLoss) -> None:
        """Cuts hosts off from all targets, and checks that their callers are served."""
        self.send_both_kinds(BEFORE_S + CUT_S + 4.0)
        self.fleet.run(BEFORE_S)
        self.fleet.lose_paths(cut, loss)
        since = self.fleet.now + NOTICED_AFTER
        self.fleet.run(CUT_S)
        until = self.fleet.now
        self.fleet.restore_paths()
        self.fleet.run(4.0 + 8.0)
        counted = [sent for sent in self.fleet.sent if since <= sent.arrived < until]
        here = [sent for sent in counted if sent.host in cut]
        elsewhere = [sent for sent in counted if sent.host not in cut]
        served, usual = self.fleet.count_served(here), self.fleet.count_served(elsewhere)
        text = f"{served:.2f} of {len(here)} served, elsewhere {usual:.2f} of {len(elsewhere)}"
        self.assertGreater(len(here), 20)
        self.assertGreaterEqual(served, usual - MAX_LESS_SERVED, text)
        self.assertGreaterEqual(usual, MIN_SERVED_ELSEWHERE, text)
        self.check_promises()
        after = [sent for sent in self.fleet.sent if sent.arrived >= until + NOTICED_AFTER]
        self.assertGreaterEqual(self.fleet.count_served(after), MIN_SERVED_ELSEWHERE)

    def check_promises(self) -> None:
        writes = {sent.digest for sent in self.fleet.sent if sent.write}
        self.assertEqual(self.fleet.list_broken_promises(writes), [])
        unended: list[SentRequest] = [sent for sent in self.fleet.sent if sent.ended is None]
        self.assertEqual(unended, [])

    def test_a_host_whose_packets_are_lost_refuses_its_callers(self) -> None:
        self.check_cut(self.list_primary_hosts()[:1], PathLoss.HANGING)

    def test_a_host_whose_connections_are_reset_refuses_its_callers(self) -> None:
        self.check_cut(self.list_primary_hosts()[:1], PathLoss.RESET)

    def test_a_host_that_can_open_no_connection_refuses_its_callers(self) -> None:
        self.check_cut(self.list_primary_hosts()[:1], PathLoss.KEPT)

    def test_most_hosts_of_a_domain_whose_packets_are_lost_refuse_their_callers(self) -> None:
        domain = self.list_domain("d0")
        self.check_cut(domain[: len(domain) * 3 // 4], PathLoss.HANGING)

    def test_most_hosts_of_a_domain_whose_connections_are_reset_refuse_their_callers(self) -> None:
        domain = self.list_domain("d1")
        self.check_cut(domain[: len(domain) * 3 // 4], PathLoss.RESET)

    def test_all_hosts_of_a_domain_whose_packets_are_lost_refuse_their_callers(self) -> None:
        self.check_cut(self.list_domain("d0"), PathLoss.HANGING)

    def test_all_hosts_of_a_domain_whose_connections_are_reset_refuse_their_callers(self) -> None:
        self.check_cut(self.list_domain("d1"), PathLoss.RESET)

    def test_all_hosts_of_a_domain_that_can_open_no_connection_refuse_their_callers(self) -> None:
        self.check_cut(self.list_domain("d2"), PathLoss.KEPT)

    def test_failures_of_a_cut_path_take_targets_out_of_use_elsewhere(self) -> None:
        self.send_both_kinds(BEFORE_S + CUT_S)
        self.fleet.run(BEFORE_S)
        cut = self.list_domain("d0")
        self.fleet.lose_paths(cut, PathLoss.RESET)
        self.fleet.run(CUT_S)
        for name, harness in self.fleet.hosts.items():
            if name not in cut:
                service = next(iter(harness.state.services.values()))
                states = [record.state for record in service.targets.values()]
                self.assertNotIn(TargetState.EJECTED, states, name)

    # Nothing tells a host then that its own path is at fault.
    def test_a_service_that_is_down_everywhere_looks_like_a_cut_path(self) -> None:
        self.send_both_kinds(BEFORE_S + CUT_S + 4.0)
        self.fleet.run(BEFORE_S)
        for target in self.fleet.targets.values():
            target.is_up = False
        down_at = self.fleet.now
        self.fleet.run(CUT_S)
        up_at = self.fleet.now
        for target in self.fleet.targets.values():
            target.is_up = True
        self.fleet.run(4.0 + 8.0)
        self.check_promises()
        down = [s for s in self.fleet.sent if down_at + NOTICED_AFTER <= s.arrived < up_at]
        for sent in down[:-200]:
            self.assertIsNotNone(sent.refusal)
        after = [sent for sent in self.fleet.sent if sent.arrived >= up_at + NOTICED_AFTER]
        self.assertGreaterEqual(self.fleet.count_served(after), MIN_SERVED_ELSEWHERE)


class LargeFleetPartitionTest(PartitionTest):
    is_slow = True
    host_count = 293
    entry_hosts = 9
    target_count = 60


if __name__ == "__main__":
    unittest.main()
