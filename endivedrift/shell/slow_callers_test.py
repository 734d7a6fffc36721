"""Callers that do not take their answers lose only those, and the memory of the host stays bounded.

Guards against stalled callers that fill the memory of a host, hold its answers for half a minute or
slow down other requests, and against closing an answer that its caller takes.
"""

import json
import re
import socket
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import replace
from datetime import timedelta

import curio

from endivedrift.core import Address, AttemptOutcome, RequestId, SystemClock
from endivedrift.core.events import AttemptFinished
from endivedrift.objects import Caller
from endivedrift.policy import _held_bytes
from endivedrift.shell import _targets
from endivedrift.shell._memory import BodyMemory, ClosingReason
from endivedrift.shell._targets import TargetPool, TargetRequest
from endivedrift.shell.targets_test import (
    ScriptedTarget,
    build_effect,
    never_abort,
    write_answer,
)
from standins.fleet import open_fleet
from tests.builders import build_object_set
from tests.fuzzing import inject_fault

READERS = 200
ANSWER_BYTES = 540_000
UPLOAD_BYTES = 4_000_000
HOST_MEMORY_BYTES = 200_000_000
FLAT_FACTOR = 1.1
WORK_MS = "50"
"""Less than the 180 ms of the quickest service, so that delays at the host weigh more."""
REQUESTS = 1_200
WORKERS = 8
SAMPLE_PERIOD_S = 0.2
EVENT_LIMIT_S = 60.0
"""Time after which a test fails that waits for an event, far beyond any delay of a busy machine."""


def write_get(path: str, account: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: x\r\nx-caller: {account}\r\n\r\n".encode()


class Reader:
    """A blocking connection of a caller."""

    def __init__(self, address: Address, receive_buffer: int = 0) -> None:
        self.sock = socket.socket()
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.settimeout(EVENT_LIMIT_S)
        ip, _, port = address.rpartition(":")
        self.sock.connect((ip, int(port)))

    def get(self, path: str, account: str) -> tuple[int, int]:
        """Returns the status and the bytes of the whole body."""
        return self.exchange(write_get(path, account))

    def exchange(self, request: bytes) -> tuple[int, int]:
        self.sock.sendall(request)
        received = b""
        while b"\r\n\r\n" not in received:
            received += self.receive()
        head, _, body = received.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head)
        assert length is not None
        count = len(body)
        while count < int(length[1]):
            count += len(self.receive())
        return int(head[9:12]), count

    def receive(self) -> bytes:
        data = self.sock.recv(65_536)
        if not data:
            raise ConnectionError("the host closed the connection")
        return data


class SlowCallersTest(unittest.TestCase):
    """A host process of 200 MB with two services, of small answers and of 540 KB."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = open_fleet()
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start_platform()
        small = build_object_set(targets=3, slots=24, queue_length=256)
        small = cls.fleet.start_targets(small, "--work-ms", WORK_MS, "--slots", "24")
        group = small.upstream_group["group"]
        targets = tuple(replace(t, name=f"e{n}") for n, t in enumerate(group.targets))
        large = replace(small, upstream_group={"large": replace(group, targets=targets)})
        large = cls.fleet.start_targets(
            large, "--work-ms", WORK_MS, "--slots", "24", "--body-bytes", str(ANSWER_BYTES)
        )
        service = small.service["rooms"]
        export = replace(
            small.route["read"],
            service="exports",
            path="/exports",
            deadline_ms=8_000,
            queue_wait_ms=7_999,
        )
        write = replace(
            small.route["write"],
            request_limit_bytes=UPLOAD_BYTES,
            deadline_ms=60_000,
            queue_wait_ms=59_999,
        )
        objects = replace(
            small,
            service={"rooms": service, "exports": replace(service, upstream_group="large")},
            upstream_group={**small.upstream_group, **large.upstream_group},
            route={"read": small.route["read"], "export": export, "write": write},
            caller={name: Caller() for name in ("a", "b")},
        )
        cls.host = cls.fleet.start_host("h1", "a")
        assert cls.fleet.publish(objects) == 0
        cls.fleet.wait_version(1)

    def setUp(self) -> None:
        # Readers of an earlier test may have left answers that are still held.
        self.fleet.wait_until("memory is free", lambda: not self.read_held(), EVENT_LIMIT_S)

    def start_stalled_readers(self) -> None:
        """Starts callers of the account `a` that read no answer."""
        process = self.fleet.start_module(
            "stalled",
            "standins.stalled_callers",
            *("--address", self.host.callers, "--path", "/exports/x", "--account", "a"),
            *("--count", str(READERS)),
        )

        def stop() -> None:
            process.kill()
            process.wait()

        self.addCleanup(stop)

    def measure_p99(self) -> float:
        """Returns the p99 in seconds of small requests on connections that stay open."""

        def work(number: int) -> list[float]:
            reader, times = Reader(self.host.callers), []
            for _ in range(REQUESTS // WORKERS):
                started = time.monotonic()
                status, _ = reader.get("/rooms/x", "ab"[number % 2])
                times.append(time.monotonic() - started)
                self.assertEqual(status, 200)
            return times

        with ThreadPoolExecutor(WORKERS) as pool:
            times = sorted(t for part in pool.map(work, range(WORKERS)) for t in part)
        return times[len(times) * 99 // 100]

    def read_resident_bytes(self) -> int:
        with open(f"/proc/{self.host.process.pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * 4_096

    def count_closed(self) -> int:
        body = self.fleet.call(self.host.operators, "GET", "/metrics").body.decode()
        found = re.search(r'endivedrift_closed_answers_total{reason="memory-short"} (\d+)', body)
        return int(found[1]) if found else 0

    def read_held(self) -> float:
        body = self.fleet.call(self.host.operators, "GET", "/metrics").body.decode()
        found = re.search(r"\nendivedrift_held_bytes (\S+)", body)
        assert found is not None
        return float(found[1])

    def test_stalled_readers_slow_down_no_other_request_and_memory_is_flat(self) -> None:
        closed = self.count_closed()
        before = self.measure_p99()
        self.start_stalled_readers()
        resident = []
        with ThreadPoolExecutor(1) as pool:
            measuring = pool.submit(self.measure_p99)
            while not measuring.done():
                resident.append(self.read_resident_bytes())
                time.sleep(SAMPLE_PERIOD_S)
        after, half = measuring.result(), len(resident) // 2
        print(
            f"p99 {before * 1e3:.1f} ms without stalled readers, {after * 1e3:.1f} ms with them; "
            f"resident {[r // 1_000_000 for r in resident[:: max(1, half // 2)]]} MB; "
            f"closed {self.count_closed() - closed}"
        )
        self.assertGreater(self.count_closed(), closed)
        self.assertLessEqual(after, 2 * before)
        self.assertLess(max(resident), HOST_MEMORY_BYTES)
        self.assertLess(max(resident[half:]), max(resident[:half]) * FLAT_FACTOR)

    def test_neighbours_of_stalled_readers_get_their_large_answers(self) -> None:
        before = self.count_closed()
        self.start_stalled_readers()
        self.fleet.wait_until(
            "answers are closed", lambda: self.count_closed() > before, EVENT_LIMIT_S
        )

        def fetch(account: str) -> list[tuple[int, bool]]:
            reader = Reader(self.host.callers)
            answers = [reader.get("/exports/x", account) for _ in range(20)]
            return [(status, count >= ANSWER_BYTES) for status, count in answers]

        with ThreadPoolExecutor(2) as pool:
            served = {account: pool.submit(fetch, account) for account in ("a", "b")}
            for account, future in served.items():
                self.assertEqual(future.result(), [(200, True)] * 20, account)

    def test_large_uploads_are_served_beside_other_requests(self) -> None:
        head = f"POST /stays/x HTTP/1.1\r\nhost: x\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n"
        upload = head.encode() + bytes(UPLOAD_BYTES)

        def send() -> list[int]:
            reader = Reader(self.host.callers)
            return [reader.exchange(upload)[0] for _ in range(3)]

        with ThreadPoolExecutor(12) as pool:
            uploads = [pool.submit(send) for _ in range(10)]
            reader = Reader(self.host.callers)
            while not all(upload.done() for upload in uploads):
                self.assertEqual(reader.get("/rooms/x", "b")[0], 200)
            self.assertEqual([upload.result() for upload in uploads], [[200] * 3] * 10)
        self.fleet.wait_until("memory is free", lambda: not self.read_held(), EVENT_LIMIT_S)

    def test_each_closed_answer_is_logged_with_its_reason_and_is_visibly_cut(self) -> None:
        reader = Reader(self.host.callers, receive_buffer=4_096)
        reader.sock.sendall(write_get("/exports/x", "a"))
        before = self.count_closed()
        self.start_stalled_readers()
        self.fleet.wait_until(
            "answers were closed",
            lambda: self.count_closed() >= before + READERS // 2,
            EVENT_LIMIT_S,
        )
        received = 0
        with suppress(ConnectionError):
            while received <= ANSWER_BYTES:
                received += len(reader.receive())
        self.assertLess(received, ANSWER_BYTES)
        log = (self.fleet.directory / "h1.log").read_text("utf-8").splitlines()
        closed = [json.loads(line) for line in log if "Answer closed." in line]
        self.assertGreaterEqual(len(closed), before + READERS // 2)
        self.assertEqual({line["reason"] for line in closed}, {ClosingReason.MEMORY_SHORT.value})
        self.assertEqual({line["account"] for line in closed}, {"a"})


LONG_WAIT_S = 4.0
"""Time in which an attempt reaches its wait for memory also on a busy machine."""


class WaitingTest(unittest.TestCase):
    """An answer that waits for memory frees its target's connection soon, and blames nobody."""

    def attempt(self, frees_memory: bool, deadline_s: float = EVENT_LIMIT_S) -> AttemptFinished:
        async def run() -> AttemptFinished:
            answer = write_answer(bytes(ANSWER_BYTES), extra="x-draining: 1\r\n")
            target = ScriptedTarget((answer,), False, b"")
            serving = await curio.spawn(target.serve(), daemon=True)
            pool = TargetPool(SystemClock())
            other = pool.memory.open(RequestId("other"), 1)
            pool.memory.add(other, pool.memory.budget.limit)
            effect = replace(
                build_effect(target.address, deadline_s), answer_limit_bytes=ANSWER_BYTES
            )
            request = TargetRequest("GET", b"/", ((b"host", b"x"),), b"")
            task = await curio.spawn(pool.attempt(effect, request, never_abort))
            async with curio.timeout_after(EVENT_LIMIT_S):
                while not pool.memory._waiters:
                    await curio.sleep(0.01)
                if frees_memory:
                    pool.memory.close(other)
                finished: AttemptFinished = await task.join()
            pool.memory.close(other)
            self.assertEqual(pool.memory.budget.used, 0)
            await serving.cancel()
            return finished

        return curio.run(run)

    def test_an_answer_is_read_when_memory_becomes_free(self) -> None:
        finished = self.attempt(frees_memory=True)
        assert finished.answer is not None
        self.assertEqual(len(finished.answer.body), ANSWER_BYTES)

    def test_an_answer_without_memory_ends_and_the_wait_is_not_the_targets_latency(self) -> None:
        with inject_fault(_targets, "MAX_MEMORY_WAIT", timedelta(seconds=LONG_WAIT_S)):
            finished = self.attempt(frees_memory=False)
        self.assertIs(finished.outcome, AttemptOutcome.NO_MEMORY)
        self.assertTrue(finished.leaving)
        self.assertLess(finished.latency, timedelta(seconds=LONG_WAIT_S))

    def test_a_deadline_that_ends_the_wait_is_not_the_targets_time_out(self) -> None:
        with inject_fault(_targets, "MAX_MEMORY_WAIT", timedelta(seconds=EVENT_LIMIT_S)):
            finished = self.attempt(frees_memory=False, deadline_s=LONG_WAIT_S)
        self.assertIs(finished.outcome, AttemptOutcome.NO_MEMORY)


class SendingTest(unittest.TestCase):
    def test_a_caller_that_takes_its_answer_steadily_is_not_closed_beside_stalled_ones(
        self,
    ) -> None:
        clock = SystemClock()
        memory = BodyMemory(clock)
        memory.budget.limit = 2 * ANSWER_BYTES

        async def send(number: int, sock: curio.socket.socket, data: bytes) -> ClosingReason | None:
            holding = memory.open(RequestId(f"r{number}"), number)
            memory.add(holding, len(data))
            sending = await memory.start_sending(holding, sock, len(data))
            with suppress(OSError):
                while sending.written < len(data):
                    sending.written += await sock.send(data[sending.written :])
            memory.finish_sending(sending)
            memory.close(holding)
            return sending.reason

        async def take(sock: curio.socket.socket, size: int) -> None:
            while size:
                size -= len(await sock.recv(min(8_192, size)))
                await curio.sleep(0.02)

        async def run() -> list[ClosingReason | None]:
            pairs = [curio.socket.socketpair() for _ in range(3)]
            sizes = [ANSWER_BYTES * 3, ANSWER_BYTES * 2, ANSWER_BYTES * 2]
            tasks = [
                await curio.spawn(send(n, pairs[n][0], bytes(sizes[n]))) for n in range(len(pairs))
            ]
            taking = await curio.spawn(take(pairs[0][1], sizes[0]))
            async with curio.timeout_after(EVENT_LIMIT_S):
                reasons = [await task.join() for task in tasks]
                await taking.join()
            self.assertEqual(memory.budget.used, 0)
            return reasons

        # The window is far longer than any delay of the task that takes the answer.
        with inject_fault(_held_bytes, "RATE_WINDOW", timedelta(seconds=3)):
            reasons = curio.run(run)
        self.assertEqual(reasons, [None, *[ClosingReason.MEMORY_SHORT] * 2])


if __name__ == "__main__":
    unittest.main()
