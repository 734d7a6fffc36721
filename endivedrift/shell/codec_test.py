"""Tests that any bytes from the network between hosts are decoded or rejected, and end no loop.

The bytes carry a valid digest, as those of a host of another version or with a fault would.
"""

import random
import unittest
from dataclasses import replace
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from endivedrift.core import (
    NO_RATE_LIMIT,
    Address,
    Answer,
    CallerName,
    Digest,
    EvidenceDelta,
    HostId,
    IdempotencyKey,
    Incarnation,
    MemberStatus,
    MessageKind,
    PeerMessage,
    ProcessId,
    QuotaReport,
    QuotaStatus,
    RateLimitReport,
    Refusal,
    RefusalReason,
    RequestDigest,
    ServiceName,
    StoreAnswer,
    StoreUpdate,
    SuspectReport,
    TargetEnd,
    TargetName,
    Verdict,
    Version,
)
from endivedrift.core.effects import SendPeerMessage
from endivedrift.core.events import PeerMessageReceived
from endivedrift.fleet import build_membership
from endivedrift.shell import _codec
from endivedrift.shell._codec import (
    ConfigBytes,
    ConfigQuery,
    ForwardedRequest,
    ForwardReply,
    KnownTargets,
    TargetsQuery,
    compute_mac,
    decode_call,
    decode_datagram,
    decode_reply,
    encode_call,
    encode_datagram,
    encode_reply,
)
from tests.builders import (
    SECRET,
    SERVICE,
    HostHarness,
    build_discovered_set,
    build_identity,
    build_ref,
    build_target_entry,
    name_target,
)
from tests.fuzzing import fuzz_input


def build_identity_at(name: str, number: int, domain: str = "b"):
    identity = build_identity(name, domain=domain)
    addresses = [Address(f"127.0.0.{number}:{port}") for port in (1, 2, 3)]
    return replace(
        identity,
        caller_address=addresses[0],
        peer_address=addresses[1],
        operator_address=addresses[2],
    )


def build_message(kind: MessageKind = MessageKind.NOTICE) -> PeerMessage:
    sender = build_membership(build_identity_at("h2", 2), random.Random(1)).me
    sender = sender.with_status(MemberStatus.ALIVE)
    me = build_membership(build_identity_at("h1", 1, "a"), random.Random(1)).me
    delta = EvidenceDelta(
        ServiceName(SERVICE), name_target(1), 1, 2, True, 1, True, 1_700_000_000_000
    )
    entries = (build_target_entry(1), build_target_entry(2))
    second = timedelta(seconds=1)
    answer = StoreAnswer(second, HostId("h3"), 2**32 - 1, 9, 8)
    update = StoreUpdate(9, 7, second, second, entries, (TargetName("t3"),), answer, True)
    members = (me, sender)
    ends = (TargetEnd(TargetName("t4"), 1_700_000_000_000, timedelta(milliseconds=20)),)
    suspects = (
        SuspectReport(RequestDigest(b"0123456789abcdef"), ends),
        SuspectReport(RequestDigest(b"fedcba9876543210"), (), timedelta(seconds=2)),
    )
    age = timedelta(milliseconds=300)
    rate_limits = (
        RateLimitReport(ServiceName(SERVICE), TargetName("t5"), 1_700_000_000_000, 1.3, age, 4.5),
        RateLimitReport(ServiceName(SERVICE), TargetName("t6"), 0, NO_RATE_LIMIT, age, 0.0),
    )
    guest = CallerName("guest")
    quotas = (QuotaReport(guest, 3, 70, -2, 90, 0.5, -4.25), QuotaReport(guest, 4, 0, 0, 1, 1.0))
    statuses = (QuotaStatus(guest, 3, 70, -4.25, 2.5, 12.5, True),)
    config = build_ref(1)
    return PeerMessage(
        kind,
        sender,
        5,
        1,
        HostId("h1"),
        True,
        config,
        members,
        (delta,),
        update,
        suspects,
        rate_limits,
        quotas,
        statuses,
    )


MESSAGES = [_codec._encode_message(build_message(kind)) for kind in MessageKind]
FORWARD = ForwardedRequest(
    HostId("h1"),
    Incarnation(7),
    "POST",
    "/stays?x=1",
    ((b"a", b"b"),),
    b"body",
    CallerName("c"),
    IdempotencyKey("k"),
    timedelta(seconds=1),
)
FOR_PEER = replace(
    FORWARD,
    key=None,
    for_peer=True,
    earlier_attempts=2,
    config_version=Version(7),
    takes_retry=True,
)
LEAVING = (ProcessId(TargetName("t1"), 1_700_000_000_000), ProcessId(TargetName("t2"), 0))
REFUSAL = Refusal(
    RefusalReason.DEADLINE, Verdict.NOT_RUN, Verdict.NOT_RUN, timedelta(seconds=1), "d"
)
CALLS = [
    encode_call(call) for call in (FORWARD, FOR_PEER, ConfigQuery(Digest("d")), TargetsQuery())
]
REPLIES = [
    encode_reply(reply)
    for reply in (
        ForwardReply(Answer(200, ((b"a", b"b"),), b"body"), LEAVING),
        ForwardReply(REFUSAL, LEAVING),
        ConfigBytes(b"{}"),
        KnownTargets((build_target_entry(1),), 4),
    )
]


@st.composite
def damage(draw: st.DrawFn, valid: list[bytes]) -> bytes:
    """Draws a valid message with a few bytes changed, inserted or cut off, or any bytes."""
    if draw(st.integers(0, 9)) == 0:
        return draw(st.binary(max_size=200))
    data = bytearray(draw(st.sampled_from(valid)))
    for _ in range(draw(st.integers(0, 4))):
        place = draw(st.integers(0, len(data)))
        match draw(st.integers(0, 3)):
            case 0:
                del data[place:]
            case 1:
                data[place:place] = draw(st.binary(max_size=8))
            case 2:
                data[place : place + 8] = b"\xff" * len(data[place : place + 8])
            case _:
                data[place : place + 1] = bytes([draw(st.integers(0, 255))])
    return bytes(data)


class DecoderTest(unittest.TestCase):
    @fuzz_input
    @given(st.lists(damage(MESSAGES), min_size=1, max_size=4))
    def test_any_datagram_is_rejected_or_leaves_the_host_able_to_send(
        self, bodies: list[bytes]
    ) -> None:
        harness = HostHarness(
            build_discovered_set(), build_identity_at("h1", 1, "a"), store_is_relayed=True
        )
        for body in bodies:
            message = decode_datagram(SECRET, compute_mac(SECRET, body) + body)
            if message is None:
                continue
            event = PeerMessageReceived(harness.clock.monotonic(), Address("127.0.0.2:2"), message)
            effects = harness.apply(event) + harness.advance(1.5)
            for effect in effects:
                if isinstance(effect, SendPeerMessage):
                    sent = encode_datagram(SECRET, effect.message)
                    self.assertLessEqual(len(sent), _codec.MAX_DATAGRAM_BYTES)
                    self.assertIsNotNone(decode_datagram(SECRET, sent))

    def test_calls_are_decoded_as_they_were_sent(self) -> None:
        for call in (FORWARD, FOR_PEER):
            self.assertEqual(decode_call(encode_call(call)), call)

    def test_replies_to_forwarded_requests_are_decoded_as_they_were_sent(self) -> None:
        for result in (Answer(200, ((b"a", b"b"),), b"body"), REFUSAL):
            reply = ForwardReply(result, LEAVING)
            self.assertEqual(decode_reply(encode_reply(reply)), reply)

    @fuzz_input
    @given(damage(CALLS))
    def test_any_call_is_decoded_or_rejected(self, body: bytes) -> None:
        decode_call(body)

    @fuzz_input
    @given(damage(REPLIES))
    def test_any_reply_is_decoded_or_rejected(self, body: bytes) -> None:
        decode_reply(body)

    def test_every_kind_of_message_survives_encoding(self) -> None:
        for kind in MessageKind:
            message = build_message(kind)
            self.assertEqual(decode_datagram(SECRET, encode_datagram(SECRET, message)), message)

    def test_a_list_that_unpacks_to_a_million_items_is_rejected(self) -> None:
        datagram = _codec._schema.Datagram.new_message()
        datagram.init("evidence", 100_000)
        body = datagram.to_bytes_packed()
        self.assertIsNone(decode_datagram(SECRET, compute_mac(SECRET, body) + body))

    def test_a_datagram_that_ends_early_is_rejected(self) -> None:
        # pycapnp ends the process when it reads such a message.
        for body in MESSAGES:
            for length in range(len(body)):
                cut = body[:length]
                self.assertIsNone(decode_datagram(SECRET, compute_mac(SECRET, cut) + cut))

    def test_a_message_of_several_segments_is_read(self) -> None:
        delta = EvidenceDelta(ServiceName(SERVICE), name_target(1), 1, 2, True, 1, True)
        message = replace(build_message(), evidence=(delta,) * 300)
        self.assertEqual(decode_datagram(SECRET, encode_datagram(SECRET, message)), message)

    def test_numbers_that_leave_no_room_for_the_next_one_are_rejected(self) -> None:
        message = build_message()
        for changes in ({"refutations": 2**32 - 1}, {"incarnation": 2**64 - 1}):
            bad = replace(message, members=(replace(message.sender, **changes),))
            self.assertIsNone(decode_datagram(SECRET, encode_datagram(SECRET, bad)))

    # Guards against a caller without an answer: what another host said cannot be written as one.
    def test_a_status_that_no_answer_can_have_is_rejected(self) -> None:
        for status in (0, 100, 199, 600, 999, 1000, 65_535):
            reply = ForwardReply(Answer(status, (), b""))
            self.assertIsNone(decode_reply(encode_reply(reply)))

    # Guards against a host that ends at a rate too great to count with.
    def test_a_rate_beyond_all_counts_is_rejected(self) -> None:
        message = build_message()
        for rate in (1e300, -1.0, float("nan")):
            report = replace(message.rate_limits[0], requests_per_s=rate)
            bad = replace(message, rate_limits=(report,))
            self.assertIsNone(decode_datagram(SECRET, encode_datagram(SECRET, bad)))


class ForgeryTest(unittest.TestCase):
    def test_a_datagram_without_the_key_of_the_fleet_is_rejected(self) -> None:
        forged = encode_datagram(b"another key of sixteen", build_message())
        self.assertIsNone(decode_datagram(SECRET, forged))
        genuine = encode_datagram(SECRET, build_message())
        self.assertIsNotNone(decode_datagram(SECRET, genuine))
        for place in range(len(genuine)):
            changed = bytearray(genuine)
            changed[place] ^= 1
            self.assertIsNone(decode_datagram(SECRET, bytes(changed)))


if __name__ == "__main__":
    unittest.main()
