"""Tests of what hosts know of changes in the store, from whom, and how old that may be."""

import time
import unittest
from datetime import timedelta
from unittest import mock

import curio

from endivedrift.core import (
    Address,
    AuditKind,
    ChangeSource,
    HostId,
    Member,
    MemberStatus,
    MessageKind,
    PeerMessage,
    StoreAnswer,
    StoreUpdate,
    SystemClock,
    TargetName,
)
from endivedrift.core.effects import AskStore, Effect, RecordAudit, SendPeerMessage
from endivedrift.core.events import PeerMessageReceived, StoreAnswered, TargetsObserved
from endivedrift.platform._node_file import MAX_CHANGE_LIMIT
from endivedrift.reducer._change_budget import MIN_BUDGET_LIMIT, list_change_delays
from endivedrift.shell._metrics import Metrics
from endivedrift.shell._runtime import Runtime
from tests.builders import HostHarness, build_discovered_set, build_identity, build_target_entry

TARGET_COUNT = 3
FIRST_VERSION = 100
HOST_COUNT = 930
"""Hosts of the largest fleet that is planned for."""


def build_neighbour(name: str) -> Member:
    """Builds another host of the failure domain of `StoreReader`."""
    me = HostHarness(identity=build_identity(name)).state.membership.me
    return me.with_status(MemberStatus.ALIVE)


class StoreReader:
    """A host that reads a store and has learned of a few targets from it."""

    def __init__(self, host: HostHarness | None = None) -> None:
        """Starts the host with all targets, as of a moment ago."""
        self.host = host or HostHarness(build_discovered_set(), store_is_relayed=True)
        self.host.advance(0.1)
        entries = tuple(build_target_entry(n) for n in range(TARGET_COUNT))
        self.host.apply(TargetsObserved(self.now, entries, complete=True, version=FIRST_VERSION))
        self.host.apply(StoreAnswered(self.now, self.now, FIRST_VERSION, FIRST_VERSION))

    @property
    def now(self) -> timedelta:
        """The time at the host."""
        return self.host.clock.monotonic()

    def receive_answer(self, number: int, age: timedelta) -> list[Effect]:
        """Applies an update of another host that knows of an answer of the store, but no change."""
        answer = StoreAnswer(age, HostId("h2"), number, FIRST_VERSION, FIRST_VERSION)
        message = PeerMessage(
            MessageKind.NOTICE,
            build_neighbour("h2"),
            number,
            0,
            HostId(""),
            False,
            self.host.state.config,
            store_update=StoreUpdate(FIRST_VERSION, FIRST_VERSION, answer=answer),
        )
        return self.host.apply(PeerMessageReceived(self.now, Address("h2:2"), message))

    def read_leaving(
        self, *numbers: int, version: int, source: ChangeSource = ChangeSource.WAIT
    ) -> list[Effect]:
        """Applies a read of the changes after the first version: targets that leave."""
        entries = tuple(build_target_entry(n, leaving=True) for n in numbers)
        event = TargetsObserved(
            self.now, entries, version=version, since=FIRST_VERSION, source=source
        )
        return self.host.apply(event)


class ChangeAgeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = StoreReader()
        self.reader.host.advance(0.7)

    def find_cause(self, effects: list[Effect], target: TargetName) -> str:
        return next(
            e.entry.cause
            for e in effects
            if isinstance(e, RecordAudit)
            and (e.entry.kind, e.entry.subject) == (AuditKind.TARGET_LEAVING, target)
        )

    def test_the_log_tells_how_a_change_was_learned_and_how_old_it_may_be(self) -> None:
        effects = self.reader.read_leaving(1, version=101, source=ChangeSource.QUESTION)
        cause = self.find_cause(effects, build_target_entry(1).name)
        self.assertTrue(cause.endswith("; learned by question, at most 0.700 s old"), cause)

    def test_the_log_names_the_host_that_told_of_it(self) -> None:
        entry = build_target_entry(1, leaving=True)
        event = TargetsObserved(
            self.reader.now,
            (entry,),
            version=101,
            since=FIRST_VERSION,
            source=ChangeSource.UPDATE,
            sender=HostId("h7"),
        )
        cause = self.find_cause(self.reader.host.apply(event), entry.name)
        self.assertIn("; learned by update of h7, at most", cause)

    def test_metrics_count_ages_and_overtaken_reads(self) -> None:
        runtime = Runtime(self.reader.host.state, self.reader.host.clock, Metrics())
        for version in (103, 102):
            entry = build_target_entry(version - 102, leaving=True)
            event = TargetsObserved(
                self.reader.now,
                (entry,),
                version=version,
                since=FIRST_VERSION,
                source=ChangeSource.WAIT,
            )
            curio.run(runtime.dispatch, event)
        text = runtime.metrics.render(runtime.state, self.reader.now).decode()
        self.assertIn('endivedrift_change_age_seconds_bucket{le="1.0",way="wait"} 1.0', text)
        self.assertIn('endivedrift_change_age_seconds_bucket{le="0.5",way="wait"} 0.0', text)
        self.assertIn("endivedrift_store_reads_overtaken_total 1.0", text)


class OvertakenReadTest(unittest.TestCase):
    # Guards against DRAIN and FLOOR: an update that names a version and lacks changes before it.
    def test_an_update_holds_all_changes_up_to_the_version_that_it_names(self) -> None:
        reader = StoreReader()
        reader.host.receive_notice(build_neighbour("h2"))
        effects = reader.read_leaving(1, 2, version=102)
        self.assertTrue(self.list_updates(effects))
        effects += reader.read_leaving(1, version=101)
        for update in self.list_updates(effects):
            if update.since < 102 <= update.version:
                self.assertIn(build_target_entry(2, leaving=True), update.entries)

    def list_updates(self, effects: list[Effect]) -> list[StoreUpdate]:
        messages = [e.message for e in effects if isinstance(e, SendPeerMessage)]
        return [m.store_update for m in messages if m.store_update is not None]


class SuspendedHostTest(unittest.TestCase):
    # Guards against DRAIN and CONFIG: a host that was suspended takes an old answer of the store
    # for a recent one, asks late, and passes it on to hosts that then ask late too.
    def test_the_time_of_a_suspended_machine_counts(self) -> None:
        clocks = {time.CLOCK_BOOTTIME: 9.5, time.CLOCK_MONOTONIC: 4.0}
        with (
            mock.patch("time.clock_gettime", clocks.__getitem__),
            mock.patch("time.monotonic", return_value=clocks[time.CLOCK_MONOTONIC]),
        ):
            self.assertEqual(SystemClock().monotonic(), timedelta(seconds=9.5))


class WaitingMessageTest(unittest.TestCase):
    # Guards against DRAIN and CONFIG: a host that stood still counts what it is told by a message
    # that waited meanwhile as recent, asks late, and passes that on.
    def test_an_answer_in_a_message_may_be_as_old_as_the_pause_before(self) -> None:
        reader = StoreReader()
        started, pause = reader.now, timedelta(seconds=3)
        reader.host.clock.advance(pause)
        for number in range(1, 4):
            reader.receive_answer(number, age=timedelta(milliseconds=50))
            reader.host.clock.advance(timedelta(milliseconds=1))
        as_of = reader.host.state.store.as_of
        assert as_of is not None
        self.assertLessEqual(as_of, started)
        self.assertTrue(any(isinstance(e, AskStore) for e in reader.host.advance(0.1)))

    def test_an_answer_counts_in_full_once_the_host_runs_again(self) -> None:
        reader = StoreReader()
        reader.host.clock.advance(timedelta(seconds=3))
        reader.host.advance(1.0)
        reader.receive_answer(1, age=timedelta(milliseconds=50))
        self.assertEqual(reader.host.state.store.as_of, reader.now - timedelta(milliseconds=50))


class ChangeBudgetTest(unittest.TestCase):
    # Guards against DRAIN and CONFIG: delays that fit into the limit each, and not together.
    def test_the_steps_from_a_change_to_the_last_request_fit_into_the_limit(self) -> None:
        stated = [timedelta(seconds=s) for s in (2.0, 2.5, 3.0)]
        for limit in (MIN_BUDGET_LIMIT, *stated, MAX_CHANGE_LIMIT):
            for rank in (0, 1, HOST_COUNT - 1):
                with self.subTest(limit=limit, rank=rank):
                    delays = list_change_delays(limit, rank)
                    self.assertLessEqual(sum(delays.values(), timedelta(0)), limit)

    def test_a_host_that_hears_of_no_other_asks_in_its_time(self) -> None:
        for count in (1, 8, 60):
            with self.subTest(hosts=count):
                reader = StoreReader()
                for number in range(count):
                    reader.host.receive_notice(build_neighbour(f"h{number + 2}"))
                reader.host.apply(
                    StoreAnswered(reader.now, reader.now, FIRST_VERSION, FIRST_VERSION)
                )
                answered_at = reader.now
                while not any(isinstance(e, AskStore) for e in reader.host.advance(0.1)):
                    self.assertLess(reader.now - answered_at, reader.host.state.store.change_limit)
                delays = list_change_delays(reader.host.state.store.change_limit, HOST_COUNT)
                steps = list(delays.values())[:3]
                self.assertLessEqual(reader.now - answered_at, sum(steps, timedelta(0)))
