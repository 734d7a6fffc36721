"""An attempt accepts only complete answers to its own request, and reuses only clean connections.

A target may send truncated, oversized, unframed, duplicate or late answers; none of them may be
treated as the answer to this request or to a later one on the same connection.
"""

import contextlib
import errno
import socket as stdlib_socket
import struct
import unittest
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from itertools import product
from typing import Any
from unittest import mock

import curio
from curio import socket

from endivedrift.core import (
    NO_RATE_LIMIT,
    Address,
    AttemptOutcome,
    Headers,
    RequestId,
    ServiceName,
    SystemClock,
    TargetName,
    Verdict,
    judge_outcome,
)
from endivedrift.core.effects import SendToTarget
from endivedrift.core.events import AttemptFinished
from endivedrift.platform._headers import PLATFORM_CONVENTIONS
from endivedrift.shell import _targets
from endivedrift.shell._conventions import DEFAULT_CONVENTIONS, HttpConventions
from endivedrift.shell._targets import TargetPool, TargetRequest
from tests.fuzzing import inject_fault

BODY = b"whole"
ECHO = "x-request-id: r1.t\r\n"


def write_answer(body: bytes = BODY, status: int = 200, extra: str = ECHO) -> bytes:
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n{extra}\r\n"
    return head.encode() + body


class ScriptedTarget:
    """Sends an answer, then `late`, for every request; closes the connection if `close` is set.

    The first request gets the first of `answers`, and so on; the last one is repeated.
    """

    def __init__(self, answers: tuple[bytes, ...], close: bool, late: bytes) -> None:
        self.answers = answers
        self.received = 0
        self.late = late
        self.close = close
        self.accepted = 0
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(8)
        ip, port = self.listener.getsockname()
        self.address = Address(f"{ip}:{port}")

    async def serve(self) -> None:
        while True:
            sock, _ = await self.listener.accept()
            self.accepted += 1
            await curio.spawn(self.answer_all(sock), daemon=True)

    async def answer_all(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while await sock.recv(65_536):
                self.received += 1
                await sock.sendall(self.answers[min(self.received, len(self.answers)) - 1])
                await curio.sleep(0.01)
                await sock.sendall(self.late)
                if self.close:
                    break
        await sock.close()


async def never_abort() -> bool:
    return False


def build_effect(address: Address, deadline_s: float) -> SendToTarget:
    return SendToTarget(
        request=RequestId("r1"),
        service=ServiceName("s"),
        target=TargetName("t"),
        address=address,
        deadline=SystemClock().monotonic() + timedelta(seconds=deadline_s),
        late_after=timedelta(seconds=deadline_s),
        answer_limit_bytes=100,
        not_run_header=b"x-not-run",
        draining_header=b"x-draining",
        max_reuse_idle=timedelta(seconds=10),
    )


def run_attempts(
    answer: bytes,
    count: int = 1,
    close: bool = False,
    deadline_s: float = 5.0,
    late: bytes = b"",
    conventions: HttpConventions = DEFAULT_CONVENTIONS,
    headers: Headers = ((b"host", b"x"),),
    next_answers: tuple[bytes, ...] = (),
) -> tuple[list[AttemptFinished], int]:
    """Runs attempts one after the other; returns their results and the connections accepted."""

    async def run() -> tuple[list[AttemptFinished], int]:
        target = ScriptedTarget((answer, *next_answers), close, late)
        serving = await curio.spawn(target.serve(), daemon=True)
        pool = TargetPool(SystemClock(), conventions)
        request = TargetRequest("GET", b"/", headers, b"")
        finished = []
        for _ in range(count):
            effect = build_effect(target.address, deadline_s)
            finished.append(await pool.attempt(effect, request, never_abort))
            await curio.sleep(0.05)
        await pool.close()
        await serving.cancel()
        await target.listener.close()
        return finished, target.accepted

    result: tuple[list[AttemptFinished], int] = curio.run(run)
    return result


class AttemptTest(unittest.TestCase):
    def assert_outcome(self, outcome: AttemptOutcome, answer: bytes, **options: object) -> None:
        finished, _ = run_attempts(answer, **options)  # type: ignore[arg-type]
        self.assertIs(finished[0].outcome, outcome)
        self.assertIsNone(finished[0].answer)

    def test_a_complete_answer_is_accepted(self) -> None:
        finished, _ = run_attempts(write_answer())
        self.assertIs(finished[0].outcome, AttemptOutcome.ANSWERED)
        assert finished[0].answer is not None
        self.assertEqual(finished[0].answer.body, BODY)

    def test_a_truncated_answer_is_reported_as_cut(self) -> None:
        self.assert_outcome(AttemptOutcome.CUT, write_answer()[:-2], close=True)

    def test_an_answer_without_framing_is_rejected(self) -> None:
        answer = b"HTTP/1.1 200 X\r\n\r\nwho knows"
        self.assert_outcome(AttemptOutcome.MALFORMED, answer, close=True)

    def test_an_answer_with_bytes_after_its_end_is_rejected(self) -> None:
        self.assert_outcome(AttemptOutcome.MALFORMED, write_answer() + write_answer())

    def test_an_answer_to_another_request_is_rejected(self) -> None:
        answer = write_answer(extra="x-request-id: other\r\n")
        self.assert_outcome(AttemptOutcome.MALFORMED, answer)

    def test_an_answer_over_the_size_limit_is_rejected(self) -> None:
        self.assert_outcome(AttemptOutcome.TOO_LARGE, write_answer(bytes(101)))

    def test_no_answer_is_a_timeout(self) -> None:
        self.assert_outcome(AttemptOutcome.TIMED_OUT, b"", deadline_s=0.2)

    def test_shedding_and_draining_are_distinguished(self) -> None:
        shed = write_answer(status=503, extra=ECHO + "x-not-run: 1\r\n")
        self.assert_outcome(AttemptOutcome.SHED, shed)
        draining = write_answer(status=503, extra=ECHO + "x-not-run: 1\r\nx-draining: 1\r\n")
        self.assert_outcome(AttemptOutcome.DRAINING, draining)

    def test_a_503_without_the_not_run_header_does_not_count_as_not_run(self) -> None:
        finished, _ = run_attempts(write_answer(status=503))
        self.assertIs(finished[0].outcome, AttemptOutcome.ANSWERED)

    def test_a_closed_port_is_reported_as_not_connected(self) -> None:
        async def run() -> AttemptFinished:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.bind(("127.0.0.1", 0))
            ip, port = sock.getsockname()
            effect = build_effect(Address(f"{ip}:{port}"), 1.0)
            request = TargetRequest("GET", b"/", ((b"host", b"x"),), b"")
            finished = await TargetPool(SystemClock()).attempt(effect, request, never_abort)
            await sock.close()
            return finished

        self.assertIs(curio.run(run).outcome, AttemptOutcome.NOT_CONNECTED)


class AnnouncementTest(unittest.TestCase):
    """Reads what a target of the platform says of itself in its answers."""

    SHED = "endivedrift-attempt-id: a1\r\nx-not-run: 1\r\n"
    SIGNED = "endivedrift-attempt-id: a1\r\nendivedrift-server-signature: s\r\n"

    def attempt(self, status: int, extra: str, close: bool = False) -> AttemptFinished:
        answer = write_answer(status=status, extra=extra)
        headers = ((b"host", b"x"), (b"endivedrift-attempt-id", b"a1"))
        finished, _ = run_attempts(
            answer[:-1] if close else answer,
            close=close,
            conventions=PLATFORM_CONVENTIONS,
            headers=headers,
        )
        return finished[0]

    def test_every_answer_tells_that_its_target_is_leaving(self) -> None:
        for name in ("Server-Leaving", "Endivedrift-Server-Leaving"):
            line = f"{name}: 1\r\n"
            self.assertTrue(self.attempt(200, self.SIGNED + line).leaving)
            self.assertTrue(self.attempt(500, self.SIGNED + line).leaving)
            self.assertTrue(self.attempt(200, self.SIGNED + line, close=True).leaving)
            refused = self.attempt(503, self.SHED + line)
            self.assertIs(refused.outcome, AttemptOutcome.DRAINING)
            self.assertTrue(refused.leaving)
        self.assertFalse(self.attempt(200, self.SIGNED).leaving)
        self.assertFalse(self.attempt(200, self.SIGNED + "Server-Leaving: 0\r\n").leaving)

    # Guards against DRAIN: what the head of an answer said was dropped with a spoiled rest.
    def test_an_answer_that_cannot_be_used_tells_it_too(self) -> None:
        line = "Server-Leaving: 1\r\n"
        for status, extra in (
            (200, "endivedrift-attempt-id: a1\r\n"),
            (503, self.SIGNED),
            (200, self.SIGNED + "content-encoding: gzip\r\n"),
        ):
            with self.subTest(status=status, extra=extra):
                finished = self.attempt(status, extra + line)
                self.assertIs(finished.outcome, AttemptOutcome.MALFORMED)
                self.assertTrue(finished.leaving)

    def test_an_answer_to_another_request_tells_nothing(self) -> None:
        foreign = self.SIGNED.replace("a1", "a2") + "Server-Leaving: 1\r\n"
        finished = self.attempt(200, foreign)
        self.assertIs(finished.outcome, AttemptOutcome.MALFORMED)
        self.assertFalse(finished.leaving)

    def test_retry_after_of_a_refusal_is_read_within_bounds(self) -> None:
        longest = _targets.MAX_RETRY_AFTER
        for value, expected in (
            ("2", timedelta(seconds=2)),
            ("0.25", timedelta(milliseconds=250)),
            ("1000000000", longest),
            ("9" * 14, longest),
            ("9" * 400, None),
            ("-1", None),
            ("1e3", None),
            ("nan", None),
            ("", None),
            ("Fri, 04 Dec 2026 10:00:00 GMT", None),
        ):
            with self.subTest(value):
                finished = self.attempt(503, self.SHED + f"Retry-After: {value}\r\n")
                self.assertIs(finished.outcome, AttemptOutcome.SHED)
                self.assertEqual(finished.retry_after, expected)
        self.assertIsNone(self.attempt(503, self.SHED).retry_after)
        self.assertIsNone(self.attempt(200, self.SIGNED + "Retry-After: 2\r\n").retry_after)

    def test_the_rate_that_a_target_takes_is_read_or_unknown(self) -> None:
        stated = {
            "1": 1.0,
            "1.3": 1.3,
            "0": 0.0,
            "-1": None,
            "1e3": None,
            "nan": None,
            "inf": None,
            "": None,
            "many": None,
            "1, 2": None,
        }
        for name in ("Server-Limit", "Endivedrift-Server-Limit"):
            for value, expected in stated.items():
                with self.subTest(name=name, value=value):
                    head = f"{self.SIGNED}{name}: {value}\r\n"
                    self.assertEqual(self.attempt(200, head).rate_limit, expected)
        refused = self.attempt(503, f"{self.SHED}Server-Limit: 2\r\n")
        self.assertEqual(refused.rate_limit, 2.0)
        self.assertEqual(self.attempt(200, self.SIGNED).rate_limit, NO_RATE_LIMIT)
        self.assertIsNone(self.attempt(200, "Server-Limit: 2\r\n").rate_limit)
        self.assertIsNone(self.attempt(500, "").rate_limit)

    def test_a_signed_answer_that_promises_not_run_is_not_passed_on(self) -> None:
        for status in (408, 429, 503):
            finished = self.attempt(status, self.SIGNED)
            self.assertIs(finished.outcome, AttemptOutcome.MALFORMED)


class OddNumberTest(unittest.TestCase):
    """Answers whose headers hold numbers that fit no duration or no counter."""

    numbers = ("9223372036854775807", "1" * 5000, "-1", "1e9", "\xb2", "", "0" * 30)

    # Guards against CONFIG: requests that were never answered, since a number in a header of their
    # answers was too great for a duration.
    def test_an_answer_with_an_odd_number_is_passed_on(self) -> None:
        for name, number in product(("keep-alive: timeout=", "x-load: 1,2,"), self.numbers):
            with self.subTest(name, number=number[:20]):
                conventions = replace(DEFAULT_CONVENTIONS, load_header=b"x-load")
                answer = write_answer(extra=f"{ECHO}{name}{number}\r\n")
                finished, _ = run_attempts(answer, 2, conventions=conventions)
                outcomes = {attempt.outcome for attempt in finished}
                self.assertEqual(outcomes, {AttemptOutcome.ANSWERED})

    def test_an_answer_with_an_odd_length_is_broken(self) -> None:
        for number in self.numbers:
            with self.subTest(number=number[:20]):
                head = f"HTTP/1.1 200 X\r\ncontent-length: {number}\r\n{ECHO}\r\n"
                finished, _ = run_attempts(head.encode("latin-1"), close=True)
                self.assertNotEqual(finished[0].outcome, AttemptOutcome.TIMED_OUT)

    def test_retry_after_with_an_odd_number_is_ignored_or_bounded(self) -> None:
        for number in self.numbers:
            with self.subTest(number=number[:20]):
                extra = f"{ECHO}x-not-run: 1\r\nretry-after: {number}\r\nx-rate-limit: {number}\r\n"
                finished, _ = run_attempts(write_answer(status=503, extra=extra))
                self.assertEqual(finished[0].outcome, AttemptOutcome.SHED)


class FailingStepTest(unittest.TestCase):
    """Each step of an attempt raises an exception that nobody foresaw."""

    steps = (
        (TargetPool, "_take_idle"),
        (TargetPool, "_open"),
        (TargetPool, "_exchange"),
        (TargetPool, "_send"),
        (TargetPool, "_release"),
        (_targets, "send_message"),
        (_targets, "_read_load"),
        (_targets, "_read_rate_limit"),
        (_targets, "_read_retry_after"),
        (_targets, "strip_hop_headers"),
        (_targets, "copy_headers"),
        (_targets, "is_framed"),
        (_targets._AnswerReader, "read"),
        (_targets._AnswerReader, "_reserve"),
        (_targets._AnswerReader, "_process_event"),
        (_targets._AnswerReader, "_is_trustworthy"),
        (_targets._AnswerReader, "_apply_keep_alive"),
        (_targets._AnswerReader, "states_leaving"),
    )

    # Guards against CONFIG: a request without an answer, whose slot stays held for good.
    def test_the_attempt_ends_as_one_that_may_have_run(self) -> None:
        for owner, name in self.steps:
            for failure in (OverflowError("unforeseen"), KeyError("unforeseen")):
                with (
                    self.subTest(step=name, failure=type(failure).__name__),
                    mock.patch.object(owner, name, side_effect=failure),
                ):
                    finished, _ = run_attempts(write_answer())
                    self.assertEqual(finished[0].outcome, AttemptOutcome.MALFORMED)
                    self.assertIs(judge_outcome(finished[0].outcome), Verdict.MAY_HAVE_RUN)


class ReuseTest(unittest.TestCase):
    def test_a_connection_is_reused_after_an_answer_that_echoes_the_request_id(self) -> None:
        finished, accepted = run_attempts(write_answer(), count=3)
        self.assertEqual([end.outcome for end in finished], [AttemptOutcome.ANSWERED] * 3)
        self.assertEqual(accepted, 1)

    def test_a_connection_is_not_reused_if_the_answer_lacks_the_request_id(self) -> None:
        _, accepted = run_attempts(write_answer(extra=""), count=3)
        self.assertEqual(accepted, 3)

    def test_a_late_second_answer_is_not_used_for_the_next_request(self) -> None:
        finished, _ = run_attempts(write_answer(), count=2, late=write_answer(b"late!"))
        self.assertEqual([e.answer.body for e in finished if e.answer], [BODY, BODY])

    def test_without_the_check_for_unread_bytes_a_late_answer_is_used(self) -> None:
        with inject_fault(_targets, "_is_silent", lambda sock: True):
            finished, _ = run_attempts(write_answer(), count=2, late=write_answer(b"late!"))
        self.assertNotEqual([e.answer.body for e in finished if e.answer], [BODY, BODY])

    def test_without_the_check_of_the_request_id_a_foreign_answer_is_accepted(self) -> None:
        answer = write_answer(extra="x-request-id: other\r\n")
        with inject_fault(_targets._AnswerReader, "_is_trustworthy", lambda *arguments: True):
            finished, _ = run_attempts(answer)
        self.assertIs(finished[0].outcome, AttemptOutcome.ANSWERED)


@dataclass(frozen=True, slots=True)
class Interface:
    """One of the two HTTP conventions, with what requests and answers in it look like."""

    conventions: HttpConventions
    echo: str
    foreign: str
    signature: str = ""
    request_headers: Headers = ((b"host", b"x"),)


INTERFACES = (
    Interface(DEFAULT_CONVENTIONS, ECHO, "x-request-id: earlier.t\r\n"),
    Interface(
        PLATFORM_CONVENTIONS,
        "endivedrift-attempt-id: a1\r\n",
        "endivedrift-attempt-id: a0\r\n",
        "endivedrift-server-signature: s\r\n",
        ((b"host", b"x"), (b"endivedrift-attempt-id", b"a1")),
    ),
)


class UnframedAnswerTest(unittest.TestCase):
    """A target ends an answer without a length by closing its connection."""

    def attempt(self, is_killed: bool, closes_last: bool = False) -> AttemptFinished:
        interface = INTERFACES[1]
        head = f"HTTP/1.1 200 X\r\n{interface.echo}{interface.signature}\r\n".encode()

        async def run() -> AttemptFinished:
            target = ScriptedTarget((head + b"part",), True, b"")

            async def answer() -> None:
                sock, _ = await target.listener.accept()
                await sock.recv(65_536)
                await sock.sendall(head + b"part")
                if is_killed and not closes_last:
                    await target.listener.close()
                await sock.close()
                if is_killed and closes_last:
                    # The connection that waits to be accepted is reset.
                    await curio.traps._read_wait(target.listener.fileno())
                    await target.listener.close()

            answering = await curio.spawn(answer)
            pool = TargetPool(SystemClock(), interface.conventions)
            effect = replace(build_effect(target.address, 5.0), close_delimited=True)
            request = TargetRequest("GET", b"/", interface.request_headers, b"")
            finished = await pool.attempt(effect, request, never_abort)
            await answering.join()
            await pool.close()
            await target.listener.close()
            return finished

        return curio.run(run)

    def test_an_answer_whose_target_is_still_there_is_complete(self) -> None:
        finished = self.attempt(is_killed=False)
        assert finished.answer is not None
        self.assertEqual(finished.answer.body, b"part")
        self.assertFalse(finished.target_ended)

    # Guards against part of an answer that is delivered as a whole one, with a length of its own.
    def test_an_answer_whose_target_was_killed_is_cut(self) -> None:
        for closes_last in (False, True):
            with self.subTest(closes_last=closes_last):
                finished = self.attempt(is_killed=True, closes_last=closes_last)
                self.assertIs(finished.outcome, AttemptOutcome.CUT)
                self.assertIsNone(finished.answer)
                # A reset alone may come from a target that has too many connections.
                self.assertEqual(finished.target_ended, not closes_last)

    # Guards against whole answers that are lost while the host itself has no descriptors.
    def test_an_answer_is_complete_if_its_target_cannot_be_asked(self) -> None:
        for error in (OSError(errno.EMFILE, "none left"), curio.TaskTimeout(0.0)):
            real = TargetPool._connect
            calls: list[object] = []

            async def connect(
                pool: TargetPool,
                *arguments: Any,
                calls: list[object] = calls,
                error: Exception = error,
                real: Any = real,
            ) -> Any:
                calls.append(arguments)
                if len(calls) > 1:
                    raise error
                return await real(pool, *arguments)

            with (
                self.subTest(type(error).__name__),
                mock.patch.object(TargetPool, "_connect", connect),
            ):
                finished = self.attempt(is_killed=False)
                self.assertIs(finished.outcome, AttemptOutcome.ANSWERED)
                self.assertFalse(finished.target_ended)


class OddStatusTest(unittest.TestCase):
    """A status that HTTP does not have is no answer, in either interface.

    Guards against callers that get such a status as the answer of a target.
    """

    def attempt(self, interface: Interface, answer: bytes) -> AttemptFinished:
        finished, _ = run_attempts(
            answer, conventions=interface.conventions, headers=interface.request_headers
        )
        return finished[0]

    def test_it_is_no_answer_with_or_without_what_targets_state(self) -> None:
        statements = ("", "x-not-run: 1\r\n")
        statuses = ("000", "00", "0", "099", "101", "199", "600", "999", "1000", "-20", "2e2")
        for interface, status, stated in product(INTERFACES, statuses, statements):
            for signature in {"", interface.signature}:
                with self.subTest(status=status, stated=stated, signature=signature):
                    extra = interface.echo + signature + stated
                    answer = write_answer(extra=extra).replace(b" 200 ", f" {status} ".encode(), 1)
                    finished = self.attempt(interface, answer)
                    self.assertIs(finished.outcome, AttemptOutcome.MALFORMED)
                    self.assertIsNone(finished.answer)

    def test_the_last_status_is_passed_on_after_interim_answers(self) -> None:
        for interface in INTERFACES:
            answer = write_answer(status=599, extra=interface.echo + interface.signature)
            interim = b"HTTP/1.1 199 X\r\n\r\nHTTP/1.1 100 X\r\n\r\n"
            finished = self.attempt(interface, interim + answer)
            assert finished.answer is not None
            self.assertEqual(finished.answer.status, 599)


class EarlierRefusalTest(unittest.TestCase):
    """A target repeats an earlier refusal on a kept connection while it runs the next request.

    Taken for the answer to that request, it would tell the caller that nothing ran.
    """

    def read_earlier_refusal(
        self, interface: Interface, status: int, earlier_id: str, is_answered: bool
    ) -> tuple[AttemptFinished, int]:
        """Returns the attempt on the kept connection, and the connections accepted."""
        refusal = write_answer(b"full", status, f"{earlier_id}x-not-run: 1\r\n")
        served = write_answer(extra=interface.echo + interface.signature)
        rest = served if is_answered else b""
        finished, accepted = run_attempts(
            served,
            count=2,
            conventions=interface.conventions,
            headers=interface.request_headers,
            next_answers=(refusal + rest,),
        )
        self.assertIs(finished[0].outcome, AttemptOutcome.ANSWERED)
        return finished[1], accepted

    def check_promises_nothing(self, earlier_ids: Callable[[Interface], str]) -> None:
        for interface, status, is_answered in product(INTERFACES, (421, 429, 503), (False, True)):
            with self.subTest(interface=interface.echo, status=status, is_answered=is_answered):
                finished, accepted = self.read_earlier_refusal(
                    interface, status, earlier_ids(interface), is_answered
                )
                self.assertEqual(accepted, 1)
                self.assertIsNone(finished.answer)
                self.assertIs(judge_outcome(finished.outcome), Verdict.MAY_HAVE_RUN)
                self.assertIsNone(finished.retry_after)

    def test_a_refusal_of_another_request_says_that_this_one_did_not_run(self) -> None:
        self.check_promises_nothing(lambda interface: interface.foreign)

    def test_a_refusal_without_an_id_says_that_this_one_did_not_run(self) -> None:
        self.check_promises_nothing(lambda interface: "")

    # Nothing was refused on a new connection before.
    def test_a_refusal_without_an_id_on_a_new_connection_is_believed(self) -> None:
        for interface in INTERFACES:
            finished, _ = run_attempts(
                write_answer(b"full", 503, "x-not-run: 1\r\n"),
                conventions=interface.conventions,
                headers=interface.request_headers,
            )
            self.assertIs(finished[0].outcome, AttemptOutcome.SHED)

    def test_a_connection_is_not_used_again_after_a_refusal(self) -> None:
        for interface in INTERFACES:
            refusal = write_answer(b"full", 503, f"{interface.echo}x-not-run: 1\r\n")
            finished, accepted = run_attempts(
                refusal,
                count=2,
                conventions=interface.conventions,
                headers=interface.request_headers,
                next_answers=(write_answer(extra=interface.echo + interface.signature),),
            )
            self.assertIs(finished[1].outcome, AttemptOutcome.ANSWERED)
            self.assertEqual(accepted, 2)


class CutHeadTest(unittest.TestCase):
    """A target stops anywhere in its answer, mostly in its head, and closes the connection.

    What was read until then must not be passed on as a whole answer with an empty or short body.
    """

    def list_accepted_lengths(self, interface: Interface, answer: bytes, resets: bool) -> list[int]:
        """Returns the lengths of the beginnings of an answer that are taken for a whole one."""

        async def run() -> list[int]:
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listener.bind(("127.0.0.1", 0))
            listener.listen(8)
            ip, port = listener.getsockname()

            async def send_beginnings() -> None:
                while True:
                    sock, _ = await listener.accept()
                    data = await sock.recv(65_536)
                    length = int(data.partition(b" /")[2].partition(b" ")[0] or 0)
                    await sock.sendall(answer[:length])
                    if resets:
                        linger = struct.pack("ii", 1, 0)
                        sock.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, linger)
                    await sock.close()

            serving = await curio.spawn(send_beginnings(), daemon=True)
            accepted = []
            for length in range(len(answer)):
                # A pool of its own, since a cut attempt leaves an open connection in its pool.
                pool = TargetPool(SystemClock(), interface.conventions)
                effect = replace(
                    build_effect(Address(f"{ip}:{port}"), 5.0),
                    close_delimited=interface.conventions.proof_header is not None,
                )
                request = TargetRequest("GET", b"/%d" % length, interface.request_headers, b"")
                finished = await pool.attempt(effect, request, never_abort)
                if finished.answer is not None:
                    accepted.append(length)
                else:
                    assert judge_outcome(finished.outcome) is Verdict.MAY_HAVE_RUN
                await pool.close()
            await serving.cancel()
            await listener.close()
            return accepted

        accepted: list[int] = curio.run(run)
        return accepted

    def check_beginnings(self, framing: str, body: bytes) -> None:
        """Checks both interfaces, with connections that are closed and that are reset.

        Args:
          framing: The header on the length of the answer, empty if it has none.
          body: The body as it is sent.
        """
        for interface in INTERFACES:
            head = f"HTTP/1.1 200 OK\r\n{interface.echo}{interface.signature}{framing}\r\n".encode()
            for resets in (False, True):
                with self.subTest(interface=interface.echo, resets=resets):
                    accepted = self.list_accepted_lengths(interface, head + body, resets)
                    self.assertEqual(accepted, [])

    def test_an_answer_with_a_length_is_cut_and_passed_on(self) -> None:
        self.check_beginnings("content-length: 5\r\n", BODY)

    def test_an_answer_in_chunks_is_cut_and_passed_on(self) -> None:
        self.check_beginnings("transfer-encoding: chunked\r\n", b"5\r\nwhole\r\n0\r\n\r\n")

    # Only its end may be missing, since nothing tells where the body ends.
    def test_an_answer_without_length_is_cut_in_its_head_and_passed_on(self) -> None:
        self.check_beginnings("", b"")


class EndedTargetTest(unittest.TestCase):
    """A cut attempt tells whether its target ended, or lives and only cut the connection."""

    def run_cut_attempt(self, ends: bool) -> tuple[AttemptFinished, int]:
        """Runs a cut attempt, then one more; returns the first and the number of connections."""

        async def run() -> tuple[AttemptFinished, int]:
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listener.bind(("127.0.0.1", 0))
            listener.listen(8)
            ip, port = listener.getsockname()
            accepted = 0

            async def cut_off_first() -> None:
                nonlocal accepted
                while True:
                    sock, _ = await listener.accept()
                    accepted += 1
                    await sock.recv(65_536)
                    if accepted == 1 and ends:
                        await listener.close()
                        await sock.close()
                        return
                    if accepted > 1:
                        await sock.sendall(write_answer())
                    await sock.close()

            await curio.spawn(cut_off_first(), daemon=True)
            pool = TargetPool(SystemClock())
            request = TargetRequest("GET", b"/", ((b"host", b"x"),), b"")
            effect = build_effect(Address(f"{ip}:{port}"), 5.0)
            first = await pool.attempt(effect, request, never_abort)
            await pool.attempt(effect, request, never_abort)
            await pool.close()
            return first, accepted

        result: tuple[AttemptFinished, int] = curio.run(run)
        return result

    def test_a_target_that_refuses_connections_has_ended(self) -> None:
        first, _ = self.run_cut_attempt(ends=True)
        self.assertIs(first.outcome, AttemptOutcome.CUT)
        self.assertTrue(first.target_ended)

    def test_a_target_that_accepts_them_lives_and_the_connection_is_used(self) -> None:
        first, accepted = self.run_cut_attempt(ends=False)
        self.assertIs(first.outcome, AttemptOutcome.CUT)
        self.assertFalse(first.target_ended)
        self.assertEqual(accepted, 2)


class EndCheckTest(unittest.TestCase):
    """The check whether a target has ended takes no time that its request does not have."""

    def test_it_ends_by_the_deadline_of_the_request(self) -> None:
        # A host that stops waits 50 ms beyond the latest deadline, less than the check may take.
        async def run() -> timedelta:
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            waiting: list[stdlib_socket.socket] = []

            async def fill_backlog_and_cut() -> None:
                sock, _ = await listener.accept()
                await sock.recv(65_536)
                # Connections beyond the backlog get no reply, like those to a machine that is gone.
                for _ in range(4):
                    filling = stdlib_socket.socket()
                    filling.setblocking(False)
                    filling.connect_ex(address)
                    waiting.append(filling)
                await curio.sleep(0.28)
                await sock.close()

            cutting = await curio.spawn(fill_backlog_and_cut(), daemon=True)
            effect = build_effect(Address(f"{address[0]}:{address[1]}"), 0.3)
            request = TargetRequest("GET", b"/", ((b"host", b"x"),), b"")
            finished = await TargetPool(SystemClock()).attempt(effect, request, never_abort)
            self.assertIs(finished.outcome, AttemptOutcome.CUT)
            await cutting.join()
            for filling in waiting:
                filling.close()
            await listener.close()
            return finished.at - effect.deadline

        self.assertLess(curio.run(run), timedelta(milliseconds=25))


class SharedBufferTest(unittest.TestCase):
    """Large answers that are being read end no other request."""

    def test_a_small_answer_is_read_while_others_fill_the_memory(self) -> None:
        async def run() -> tuple[AttemptFinished, AttemptFinished]:
            large, small = SlowTarget(b"x" * 95, 0.3), SlowTarget(b"y" * 20, 0.0)
            pool = TargetPool(SystemClock())
            pool.memory.budget.limit = 100
            request = TargetRequest("GET", b"/", ((b"host", b"x"),), b"")
            tasks = []
            for target in (large, small):
                await curio.spawn(target.serve(), daemon=True)
                effect = build_effect(target.address, 5.0)
                tasks.append(await curio.spawn(pool.attempt(effect, request, never_abort)))
                await curio.sleep(0.1)
            return await tasks[0].join(), await tasks[1].join()

        large, small = curio.run(run)
        self.assertIs(large.outcome, AttemptOutcome.ANSWERED)
        self.assertIs(small.outcome, AttemptOutcome.ANSWERED)


class SlowTarget:
    """Sends all but the last byte of an answer, and that after a pause."""

    def __init__(self, body: bytes, pause_s: float) -> None:
        self.answer, self.pause_s = write_answer(body), pause_s
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(8)
        ip, port = self.listener.getsockname()
        self.address = Address(f"{ip}:{port}")

    async def serve(self) -> None:
        sock, _ = await self.listener.accept()
        await sock.recv(65_536)
        with contextlib.suppress(OSError):
            await sock.sendall(self.answer[:-1])
            await curio.sleep(self.pause_s)
            await sock.sendall(self.answer[-1:])
