"""Tests that a request that ends the targets which run it is kept from them in the whole fleet."""

import unittest
from collections.abc import Callable
from datetime import timedelta

from tests.crashing_targets import (
    ANSWERED,
    CUTTING,
    DEADLY,
    Action,
    Behaviour,
    CrashingFleet,
    SentRequest,
)

DIGEST = b"deadly"
TOLD_AFTER = timedelta(seconds=3)
"""Time after the third end in which all hosts have to know that a request is quarantined."""
MAX_LATE_RUNS = 3
"""Number of times that targets may still get a quarantined request later than that."""
LOST_SHARE = 0.2
STEP = timedelta(milliseconds=1)


class FleetTest(unittest.TestCase):
    host_count = 32
    target_count = 60
    innocent_per_s = 40.0

    def setUp(self) -> None:
        self.fleet = CrashingFleet(self.host_count, self.target_count)

    def find_third_end(self, digest: bytes = DIGEST) -> timedelta:
        third_end = self.fleet.get_third_end(digest)
        assert third_end is not None, "fewer than three targets ended"
        return third_end

    def run_until_third_end(self) -> timedelta:
        while self.fleet.get_third_end(DIGEST) is None:
            self.fleet.run(0.05)
        return self.find_third_end()

    def run_past_third_end(self, seconds: float) -> None:
        """Runs the fleet; the request arrives once at each host as soon as all have to know it."""
        end = self.fleet.now + timedelta(seconds=seconds)
        self.run_until_third_end()
        self.run_for(TOLD_AFTER + STEP)
        for name in self.fleet.hosts:
            self.fleet.send(DIGEST, name)
        self.run_for(end - self.fleet.now)

    def run_for(self, time: timedelta) -> None:
        self.fleet.run(time.total_seconds())

    def check_bound(
        self,
        digest: bytes = DIGEST,
        is_excused: Callable[[str, timedelta], bool] = lambda host, at: False,
    ) -> None:
        """Checks how often targets got a request after all hosts had to know of it.

        Args:
          digest: The request.
          is_excused: Tells whether a host need not know of it yet at a time.
        """
        since = self.find_third_end(digest) + TOLD_AFTER
        late = [
            sent
            for sent in self.fleet.sent
            if sent.digest == digest
            and sent.arrived > since
            and not is_excused(sent.host, sent.arrived)
        ]
        late_runs = [
            run
            for run in self.fleet.runs
            if run.sent.digest == digest
            and run.at > since
            and not is_excused(run.sent.host, run.at)
        ]
        refused = [sent for sent in late if sent.is_quarantined_at_once]
        figures = (
            f"{len(late_runs)} late runs, {len(self.fleet.list_ends(digest))} ends, "
            f"{len(refused)} of {len(late)} late arrivals refused as quarantined"
        )
        self.assertGreaterEqual(len(late), 8, figures)
        self.assertLessEqual(len(late_runs), MAX_LATE_RUNS, figures)
        self.assertGreaterEqual(len(refused), len(late) - MAX_LATE_RUNS, figures)

    def end_targets(self, count: int) -> None:
        """Lets the deadly request end some more targets, one after the other."""
        self.fleet.behaviours[DIGEST] = DEADLY
        wanted = len(self.fleet.list_ends(DIGEST)) + count
        for _ in range(20 * count):
            if len(self.fleet.list_ends(DIGEST)) >= wanted:
                return
            self.fleet.send(DIGEST, write=True)
            self.fleet.run(0.2)
        self.fail("targets did not get the request")

    def send_to_all_hosts(self, digest: bytes = DIGEST) -> list[SentRequest]:
        """Sends a request, which targets answer now, once to each host."""
        self.fleet.behaviours[digest] = ANSWERED
        return [self.fleet.send(digest, name, write=True) for name in self.fleet.hosts]

    def count_quarantined(self, requests: list[SentRequest]) -> int:
        return sum(sent.is_quarantined_at_once for sent in requests)


class QuarantineTest(FleetTest):
    def test_a_request_that_ended_three_targets_keeps_ending_targets(self) -> None:
        self.fleet.send_innocent(self.innocent_per_s, 8.0)
        self.fleet.send_deadly(DIGEST, 8.0)
        self.run_past_third_end(8.5)
        self.check_bound()

    def test_lost_datagrams_let_a_deadly_request_through(self) -> None:
        self.fleet.is_delivered = lambda sender, receiver: self.fleet.rng.random() >= LOST_SHARE
        self.fleet.send_innocent(self.innocent_per_s, 8.0)
        self.fleet.send_deadly(DIGEST, 8.0)
        self.run_past_third_end(8.5)
        self.check_bound()

    # A host would also learn of the request from ends of its own, so it gets several at once.
    def test_a_host_that_missed_the_ends_lets_a_deadly_request_through(self) -> None:
        cut_off, new = "h5", "h7"
        self.fleet.is_delivered = lambda sender, receiver: receiver != cut_off
        self.fleet.send_innocent(self.innocent_per_s, 9.0)
        self.fleet.send_deadly(DIGEST, 9.0)
        third_end = self.run_until_third_end()
        self.fleet.run(2.0)
        reached_at = self.fleet.now
        self.fleet.is_delivered = lambda sender, receiver: True
        self.fleet.run(2.0)
        started_at = self.fleet.now
        self.fleet.start_host(new)
        for host, known_at in ((cut_off, reached_at + TOLD_AFTER), (new, started_at + TOLD_AFTER)):
            self.run_for(known_at + STEP - self.fleet.now)
            for _ in range(2 * MAX_LATE_RUNS):
                self.fleet.send(DIGEST, host)
        self.run_for(third_end + timedelta(seconds=8.5) - self.fleet.now)

        def is_excused(host: str, at: timedelta) -> bool:
            return (host == cut_off and at <= reached_at + TOLD_AFTER) or (
                host == new and started_at <= at <= started_at + TOLD_AFTER
            )

        self.check_bound(DIGEST, is_excused)

    # Several deadly requests keep coming, of which each is to be quarantined by itself.
    def test_innocent_requests_beside_deadly_ones_are_refused(self) -> None:
        popular = (b"popular 1", b"popular 2")
        deadly = [b"deadly %d" % number for number in range(16)]
        slow = Behaviour(Action.ANSWER, timedelta(milliseconds=400))
        self.fleet.behaviours.update(dict.fromkeys(popular, slow))
        self.fleet.send_innocent(100.0, 10.5, popular, 0.6)
        for number, digest in enumerate(deadly):
            first_after = 0.5 + 0.25 * number
            self.fleet.send_deadly(digest, 10.5 - first_after, first_after=first_after)
        self.fleet.run(11.0)
        ends = [len(self.fleet.list_ends(digest)) for digest in popular]
        self.assertGreaterEqual(min(ends), 3)
        refused = {sent.digest for sent in self.fleet.list_quarantined()} - set(deadly)
        self.assertEqual(refused, set())
        third_ends = [self.find_third_end(digest) for digest in deadly]
        late = [
            sent
            for sent in self.fleet.sent
            if sent.digest not in deadly and sent.arrived > max(third_ends) + TOLD_AFTER
        ]
        served = sum(sent.status == 200 for sent in late)
        self.assertGreater(len(late), 100)
        self.assertGreater(served / len(late), 0.98, f"{served} of {len(late)} served")

    def test_targets_that_cut_off_a_request_but_live_quarantine_it(self) -> None:
        self.fleet.behaviours[DIGEST] = CUTTING
        self.fleet.send_innocent(self.innocent_per_s, 6.0)
        for _ in range(12):
            self.fleet.send(DIGEST)
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

    # The answer is to an attempt that began before the request was quarantined.
    def test_an_answer_leaves_a_request_quarantined_at_other_hosts(self) -> None:
        self.fleet.behaviours[DIGEST] = Behaviour(Action.ANSWER, timedelta(seconds=7))
        # A deadly request may come to the target of one of these.
        slow = [self.fleet.send(DIGEST, host, write=True) for host in ("h3", "h8", "h20")]
        answered_at = self.fleet.now + timedelta(seconds=7)
        self.end_targets(3)
        self.run_for(TOLD_AFTER)
        before = self.send_to_all_hosts()
        self.assertLess(self.fleet.now, answered_at)
        self.run_for(answered_at + TOLD_AFTER - self.fleet.now)
        self.assertIn(200, [sent.status for sent in slow])
        after = self.send_to_all_hosts()
        self.fleet.run(0.5)
        self.assertEqual(self.count_quarantined(before), self.host_count)
        self.assertEqual(sum(sent.is_quarantined for sent in after), 0)
        self.assertGreater(sum(sent.status == 200 for sent in after), 0)

    def test_ends_before_an_answer_count_together_with_later_ones(self) -> None:
        self.end_targets(2)
        self.fleet.behaviours[DIGEST] = Behaviour(Action.ANSWER, status=500)
        answered = self.fleet.send(DIGEST, write=True)
        self.fleet.run(0.5 + TOLD_AFTER.total_seconds())
        self.assertEqual(answered.status, 500)
        self.end_targets(2)
        self.run_for(TOLD_AFTER)
        self.assertEqual(sum(sent.is_quarantined for sent in self.send_to_all_hosts()), 0)

    def test_one_of_two_deadly_requests_keeps_ending_targets(self) -> None:
        digests = (b"deadly 1", b"deadly 2")
        self.fleet.send_innocent(self.innocent_per_s, 8.0)
        for digest in digests:
            self.fleet.send_deadly(digest, 8.0)
        self.fleet.run(8.5)
        for digest in digests:
            self.check_bound(digest)

    def test_requests_without_digest_are_refused_because_of_each_other(self) -> None:
        self.fleet.send_innocent(self.innocent_per_s, 6.0)
        self.fleet.send_deadly(b"", 6.0)
        self.fleet.run(6.5)
        self.assertGreater(len(self.fleet.list_ends(b"")), 12)
        self.assertEqual(self.fleet.list_quarantined(), [])


class LargeFleetQuarantineTest(QuarantineTest):
    is_slow = True
    host_count = 293


class OneTargetTest(FleetTest):
    target_count = 1

    def test_ends_of_one_target_that_restarts_count_once(self) -> None:
        for _ in range(3):
            self.end_targets(1)
            self.fleet.run(3.0)
        self.assertEqual(self.count_quarantined(self.send_to_all_hosts()), self.host_count)


class TwoTargetsTest(FleetTest):
    target_count = 2

    def test_attempts_cut_off_by_the_same_process_count_as_several_ends(self) -> None:
        for name in self.fleet.hosts:
            self.fleet.send(DIGEST, name, write=True)
        self.assertEqual(len(self.fleet.runs), 4)
        for name in self.fleet.targets:
            self.fleet.end_target(name)
        self.run_for(TOLD_AFTER)
        self.assertEqual(sum(sent.cut_count for sent in self.fleet.sent), 4)
        self.assertEqual(sum(sent.is_quarantined for sent in self.send_to_all_hosts()), 0)


if __name__ == "__main__":
    unittest.main()
