"""Tests membership on a simulated network with cuts and losses."""

import unittest

from endivedrift.core import (
    Address,
    HostId,
    MemberStatus,
    MessageKind,
    PeerMessage,
)
from endivedrift.core.events import PeerMessageReceived, StopRequested
from endivedrift.fleet import _dissemination, _probing
from tests.builders import build_config_fetched, build_object_set
from tests.fuzzing import inject_fault
from tests.network import Network

DETECTION_LIMIT_S = 15.0


class MembershipTest(unittest.TestCase):
    def test_all_hosts_discover_each_other(self) -> None:
        network = Network(20)
        network.run(10.0)
        for name in network.hosts:
            self.assertEqual(network.collect_statuses(name), {MemberStatus.ALIVE}, name)

    def test_a_dead_host_is_known_everywhere_in_time(self) -> None:
        network = Network(20)
        network.run(10.0)
        network.stopped.add("h3")
        network.run(DETECTION_LIMIT_S * 2)
        self.assertEqual(network.collect_statuses("h3"), {MemberStatus.DEAD})
        self.assertEqual(network.count_declared_dead(), 19)

    def test_a_one_way_cut_declares_no_host_dead_and_is_detected(self) -> None:
        network = Network(8)
        network.run(10.0)
        network.is_delivered = lambda sender, receiver: (sender, receiver) != ("h1", "h2")
        network.run(60.0)
        self.assertEqual(network.count_declared_dead(), 0)
        self.assertEqual(network.collect_statuses("h1"), {MemberStatus.ALIVE})
        hears_us = network.hosts["h1"].state.membership.records[HostId("h2")].hears_us
        self.assertIs(hears_us, False)

    def test_loss_of_datagrams_declares_no_host_dead(self) -> None:
        network = Network(12)
        network.run(10.0)
        network.is_delivered = lambda sender, receiver: network.rng.random() > 0.1
        network.run(120.0)
        self.assertEqual(network.count_declared_dead(), 0)

    def test_without_indirect_probes_a_lossy_network_declares_hosts_dead(self) -> None:
        no_indirect_probes = inject_fault(
            _probing, "_request_indirect_probes", lambda view, number, probe: []
        )
        no_refutation = inject_fault(_dissemination, "_refute_report", lambda view, report: [])
        with no_indirect_probes, no_refutation:
            network = Network(12)
            network.run(10.0)
            network.is_delivered = lambda sender, receiver: network.rng.random() > 0.1
            network.run(120.0)
        self.assertGreater(network.count_declared_dead(), 0)

    def test_a_restarted_host_replaces_its_old_incarnation(self) -> None:
        network = Network(10)
        network.run(10.0)
        network.start_host("h4")
        network.run(20.0)
        new = network.hosts["h4"].state.identity.incarnation
        for name, harness in network.hosts.items():
            if name != "h4":
                member = harness.state.membership.records[HostId("h4")].member
                self.assertEqual((member.incarnation, member.status), (new, MemberStatus.ALIVE))

    def test_a_partitioned_failure_domain_rejoins(self) -> None:
        network = Network(12)
        network.run(10.0)

        def is_same_side(sender: str, receiver: str) -> bool:
            return (int(sender[1:]) % 3 == 0) == (int(receiver[1:]) % 3 == 0)

        network.is_delivered = is_same_side
        network.run(40.0)
        self.assertEqual(network.get_status("h1", "h0"), MemberStatus.DEAD)
        network.is_delivered = lambda sender, receiver: True
        network.run(90.0)
        for name in network.hosts:
            self.assertEqual(network.collect_statuses(name), {MemberStatus.ALIVE}, name)

    def test_a_leaving_host_is_known_everywhere_within_four_seconds(self) -> None:
        network = Network(40)
        network.run(15.0)
        event = StopRequested(network.clock.monotonic())
        network.handle_effects("h5", network.hosts["h5"].apply(event))
        network.run(4.0)
        self.assertEqual(network.collect_statuses("h5"), {MemberStatus.LEAVING})

    def test_a_forged_or_replayed_datagram_changes_nothing(self) -> None:
        network = Network(3)
        network.run(5.0)
        harness = network.hosts["h0"]
        record = harness.state.membership.records[HostId("h1")]
        member = record.member.with_status(MemberStatus.DEAD)
        old = PeerMessage(
            MessageKind.NOTICE,
            member,
            record.sequence,
            0,
            HostId(""),
            False,
            harness.state.config,
        )
        now = network.clock.monotonic()
        harness.apply(PeerMessageReceived(now, Address("h1:2"), old))
        self.assertEqual(network.get_status("h0", "h1"), MemberStatus.ALIVE)

    def test_a_newer_object_set_reaches_all_without_the_store(self) -> None:
        network = Network(40)
        network.run(15.0)
        event = build_config_fetched(network.clock, build_object_set(queue_length=9), version=2)
        network.canonical = event.canonical
        network.handle_effects("h0", network.hosts["h0"].apply(event))
        network.run(6.0)
        versions = {harness.state.config.version for harness in network.hosts.values()}
        self.assertEqual(versions, {2})
