"""Large request bodies in progress at one target are bounded.

Guards against a target that ends because the requests that it holds exceed its memory, and against
large bodies that delay other requests while they wait for room.
"""

import unittest
from random import Random

from endivedrift.core import AttemptOutcome, MemberStatus, RequestHead, RequestId
from endivedrift.core.effects import Effect, QueueRequest, SendToTarget
from endivedrift.core.events import AttemptFinished, RequestArrived, TargetsObserved
from endivedrift.fleet import build_membership
from endivedrift.policy._choice import BODY_BYTES_PER_SLOT, LARGE_BODY_BYTES
from tests.builders import (
    READ_PATH,
    SERVICE,
    WRITE_PATH,
    HostHarness,
    build_answer,
    build_discovered_set,
    build_identity,
    build_object_set,
    build_target_entry,
)

TARGETS = 3
SLOTS = 4
UPLOAD_BYTES = SLOTS * BODY_BYTES_PER_SLOT


class UploadTest(unittest.TestCase):
    def setUp(self) -> None:
        objects = build_object_set(targets=TARGETS, slots=SLOTS, queue_length=20, floor=1)
        self.host = HostHarness(objects)
        self.host.advance(2.0)
        self.count = 0

    def send(self, body_bytes: int, path: str = WRITE_PATH) -> tuple[RequestId, list[Effect]]:
        self.count += 1
        request = RequestId(f"r{self.count}")
        method = "POST" if path == WRITE_PATH else "GET"
        head = RequestHead(method=method, path=path, body_bytes=body_bytes)
        clock = self.host.clock
        return request, self.host.apply(
            RequestArrived(clock.monotonic(), clock.wall(), request, head)
        )

    def finish(self, sent: SendToTarget) -> list[Effect]:
        now = self.host.clock.monotonic()
        answered = AttemptOutcome.ANSWERED
        return self.host.apply(
            AttemptFinished(now, sent.request, sent.target, answered, now - now, build_answer())
        )

    def list_sent(self, effects: list[Effect]) -> list[SendToTarget]:
        return [effect for effect in effects if isinstance(effect, SendToTarget)]

    def fill(self) -> list[SendToTarget]:
        return [s for _ in range(TARGETS) for s in self.list_sent(self.send(UPLOAD_BYTES)[1])]

    def test_each_target_holds_no_more_than_it_has_room_for(self) -> None:
        sent = self.fill()
        self.assertEqual(len({s.target for s in sent}), TARGETS)
        _, effects = self.send(UPLOAD_BYTES)
        self.assertEqual([type(effect) for effect in effects], [QueueRequest])

    def test_several_bodies_share_the_room_of_a_target(self) -> None:
        size = LARGE_BODY_BYTES + 1
        for _ in range(40):
            self.send(size)
        for record in self.host.state.services[SERVICE].targets.values():  # type: ignore[index]
            held = sum(attempt.body_bytes for attempt in record.attempts.values())
            self.assertLessEqual(held, SLOTS * BODY_BYTES_PER_SLOT)
            self.assertGreater(len(record.attempts), 1)

    def test_hosts_share_the_slots_that_a_target_registered(self) -> None:
        self.host = HostHarness(build_discovered_set())
        other = build_membership(build_identity("h2", domain="b"), Random(1)).me
        self.host.receive_notice(other.with_status(MemberStatus.ALIVE))
        now = self.host.clock.monotonic()
        entries = tuple(build_target_entry(number) for number in range(TARGETS))
        self.host.apply(TargetsObserved(now, entries, (), complete=True, version=1, since=0))
        self.host.advance(2.0)
        for _ in range(40):
            self.send(LARGE_BODY_BYTES + 1)
        for record in self.host.state.services[SERVICE].targets.values():  # type: ignore[index]
            held = sum(attempt.body_bytes for attempt in record.attempts.values())
            self.assertTrue(0 < held <= entries[0].slots * BODY_BYTES_PER_SLOT / 2, held)

    def test_a_body_larger_than_the_room_of_a_target_is_sent_alone(self) -> None:
        self.assertEqual(len(self.list_sent(self.send(50 * UPLOAD_BYTES)[1])), 1)

    def test_waiting_uploads_delay_no_other_request(self) -> None:
        self.fill()
        for _ in range(3):
            self.send(UPLOAD_BYTES)
        for path in (READ_PATH, WRITE_PATH, READ_PATH):
            request, effects = self.send(100, path)
            self.assertEqual([s.request for s in self.list_sent(effects)], [request])

    def test_a_waiting_upload_is_sent_when_another_has_ended(self) -> None:
        sent = self.fill()
        first, _ = self.send(UPLOAD_BYTES)
        self.send(UPLOAD_BYTES)
        following = self.list_sent(self.finish(sent[1]))
        self.assertEqual([(s.request, s.target) for s in following], [(first, sent[1].target)])


if __name__ == "__main__":
    unittest.main()
