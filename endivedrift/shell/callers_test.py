"""A stopping host sends each answer completely, and answers each request that it has received.

Guards against requests that are lost around a stop on a connection with pipelined requests, or
while an answer is being written to a caller that reads slowly.
"""

import socket as stdlib_socket
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from datetime import timedelta
from functools import partial
from itertools import product
from random import Random
from typing import Any
from unittest import mock

import curio
from curio import socket

from endivedrift.core import Address, ServiceName, SystemClock
from endivedrift.core.events import StopRequested
from endivedrift.reducer import build_host
from endivedrift.settings import LimitsSection
from endivedrift.shell import _callers, _serving, _targets
from endivedrift.shell._callers import MAX_PIPELINED_REQUESTS, CallerServer
from endivedrift.shell._metrics import Metrics
from endivedrift.shell._runtime import Runtime
from endivedrift.shell._serving import ServingContext, end_requests
from endivedrift.shell._targets import TargetPool
from standins._http_server import StandinReply, StandinRequest, serve_http
from tests.builders import SECRET, build_config_fetched, build_identity, build_object_set

LARGE_BODY = b"z" * 6_000_000
SILENCE_LIMIT_S = 60.0
"""Time without a byte after which a test fails, far beyond any delay of a busy machine."""
REUSED_NUMBERS = 8
"""Connections of which one gets the number of the descriptor that was closed before them."""
WRITE = b"POST /stays/w HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\n"


def write_read(name: str) -> bytes:
    return f"GET /rooms/{name} HTTP/1.1\r\nhost: x\r\n\r\n".encode()


class Served:
    """One stopping host in this process, its target, and a connection of a caller."""

    def __init__(self) -> None:
        self.ran: list[str] = []
        self.bodies: dict[str, bytes] = {}
        self.work_s: dict[str, float] = {}

    async def start(self) -> None:
        ip = f"127.{Random().randrange(1, 250)}.{Random().randrange(250)}.1"
        objects = build_object_set(targets=2, slots=40, queue_length=40)
        group = objects.upstream_group["group"]
        targets = tuple(
            replace(target, address=f"{ip}:{9000 + n}") for n, target in enumerate(group.targets)
        )
        read = replace(objects.route["read"], answer_limit_bytes=2 * len(LARGE_BODY))
        objects = replace(
            objects,
            upstream_group={"group": replace(group, targets=targets)},
            route={**objects.route, "read": read},
        )
        for number in range(2):
            await curio.spawn(serve_http(ip, 9000 + number, self.handle), daemon=True)
        clock = SystemClock()
        state = build_host(build_identity(), SECRET, 1)
        self.runtime = Runtime(state, clock, Metrics())
        claims: Any = None
        pool = TargetPool(clock)
        self.memory = pool.memory
        context = ServingContext(self.runtime, pool, claims, SECRET)
        self.address = (ip, 9100)
        self.server = CallerServer(context, Address(f"{ip}:9100"), LimitsSection())
        await self.runtime.dispatch(build_config_fetched(clock, objects))  # type: ignore[arg-type]
        await curio.spawn(self.server.accept(), daemon=True)
        self.caller = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.caller.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_RCVBUF, 65_536)
        await self.caller.connect(self.address)

    async def handle(self, request: StandinRequest) -> StandinReply:
        name = request.path.rpartition("/")[2]
        self.ran.append(name)
        self.bodies[name] = request.body
        await curio.sleep(self.work_s.get(name, 0.01))
        echo = {"x-request-id": request.headers.get("x-request-id", "")}
        return StandinReply(200, echo, LARGE_BODY if name == "large" else name.encode())

    async def request_stop(self) -> None:
        now = self.runtime.clock.monotonic()
        await self.runtime.dispatch(StopRequested(now, now + timedelta(seconds=5.65)))

    async def receive_all(self) -> bytes:
        """Reads until the host closes the connection.

        Raises:
          AssertionError: If the host neither sends anything nor closes it for a long time.
        """
        received = bytearray()
        try:
            while data := await curio.timeout_after(SILENCE_LIMIT_S, self.caller.recv, 65_536):
                received += data
        except curio.TaskTimeout:
            raise AssertionError(f"silent after {len(received)} bytes, not closed") from None
        except OSError:
            pass
        return bytes(received)


class ServedTest(unittest.TestCase):
    def run_scenario(self, scenario: Callable[[Served], Awaitable[bytes]]) -> tuple[Served, bytes]:
        served = Served()

        async def run() -> bytes:
            await served.start()
            return await scenario(served)

        return served, curio.run(run)


class FailingStepTest(ServedTest):
    """Each step of serving a request raises an exception that nobody foresaw."""

    steps = (
        (_targets.TargetPool, "attempt"),
        (_targets._AnswerReader, "_classify"),
        (_serving, "_read_result"),
        (_serving, "_perform_effect"),
        (_serving, "_exchange"),
        (_serving, "_record_attempt"),
        (_serving, "_strip_attempt_id"),
        (_callers, "serve_request"),
        (_callers, "build_target_request"),
        (_callers, "read_head"),
        (_callers, "log_request"),
    )

    # Guards against CONFIG: a request without an answer, whose slot stays held for good.
    def test_the_request_is_answered_and_leaves_nothing_behind(self) -> None:
        for (owner, name), request in product(self.steps, (WRITE + b"body", write_read("r"))):

            async def scenario(served: Served, request: bytes = request) -> bytes:
                await served.caller.sendall(request)
                received = await curio.timeout_after(SILENCE_LIMIT_S, served.caller.recv, 65_536)
                await curio.sleep(0.05)
                return bytes(received)

            with (
                self.subTest(step=name, request=request[:4]),
                mock.patch.object(owner, name, side_effect=OverflowError("unforeseen")),
            ):
                served, received = self.run_scenario(scenario)
                self.assertTrue(received.startswith(b"HTTP/1.1 502 "), received[:60])
                state = served.runtime.state
                self.assertEqual((state.requests, served.runtime.mailboxes), ({}, {}))
                service = state.services[ServiceName("rooms")]
                held = [r.name for r in service.targets.values() if r.attempts]
                self.assertEqual((held, service.queued_count), ([], 0))


class FramingTest(ServedTest):
    """Requests that arrive behind one another, cut into pieces at any place."""

    requests = (
        write_read("a"),
        b"POST /stays/b HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody",
        b"POST /stays/c HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
        b"2\r\nbo\r\n2\r\ndy\r\n0\r\nx: y\r\n\r\n",
        b"GET /rooms/d HTTP/1.1\nhost: x\n\n",
        write_read("e"),
    )
    bodies = (("a", b""), ("b", b"body"), ("c", b"body"), ("d", b""), ("e", b""))

    # Guards against bytes of one request that are given to the parser of another.
    def test_each_request_is_served_whole_and_in_order(self) -> None:
        sent = b"".join(self.requests)

        async def scenario(served: Served, rng: Random, most: int) -> bytes:
            received = bytearray()
            begin = 0
            while begin < len(sent):
                end = begin + rng.randint(1, most)
                await served.caller.sendall(sent[begin:end])
                await curio.sleep(0.0005 if most < len(sent) else 0.0)
                begin = end
            while received.count(b"HTTP/1.1 200") < len(self.requests):
                data = await curio.timeout_after(SILENCE_LIMIT_S, served.caller.recv, 65_536)
                self.assertTrue(data, received)
                received += data
            return bytes(received)

        for seed, most in product(range(4), (1, 3, 40, len(sent))):
            with self.subTest(seed=seed, most=most):
                run = partial(scenario, rng=Random(seed), most=most)
                served, received = self.run_scenario(run)
                self.assertEqual(tuple(served.bodies.items()), self.bodies)
                self.assertEqual(
                    [part[-1:] for part in received.split(b"HTTP/1.1 200")[1:]],
                    [b"a", b"b", b"c", b"d", b"e"],
                )
                self.assertEqual(served.server._inputs.used, 0)


class LeavingCallerTest(ServedTest):
    """Guards against hosts that end when a caller leaves while its answer is being written."""

    def test_the_host_serves_on_and_holds_nothing_of_the_answer(self) -> None:
        async def scenario(served: Served) -> bytes:
            await served.caller.sendall(write_read("large"))
            await served.caller.recv(1)
            async with curio.timeout_after(SILENCE_LIMIT_S):
                # The caller has left, and what it does not take blocks the writing task.
                await served.caller.shutdown(stdlib_socket.SHUT_WR)
                while served.server.count_connections():
                    await curio.sleep(0.01)
                for number in range(REUSED_NUMBERS):
                    sock = socket.socket(stdlib_socket.AF_INET, stdlib_socket.SOCK_STREAM)
                    await sock.connect(served.address)
                    await sock.sendall(write_read(f"n{number}"))
                    self.assertIn(b"HTTP/1.1 200 ", await sock.recv(65_536))
                    await sock.close()
                while served.memory.budget.used:
                    await curio.sleep(0.01)
            return b""

        served, _ = self.run_scenario(scenario)
        self.assertEqual(served.ran, ["large", *(f"n{n}" for n in range(REUSED_NUMBERS))])


class StoppingTest(ServedTest):
    def receive_large(self, disturb: Callable[[Served], Awaitable[None]] | None) -> bytes:
        """Reads a large answer slowly; `disturb` is called while the host is writing it."""

        async def scenario(served: Served) -> bytes:
            await served.request_stop()
            await served.caller.sendall(write_read("large"))
            await curio.sleep(0.6)
            if disturb is not None:
                await disturb(served)
                await curio.sleep(0.2)
            return await served.receive_all()

        return self.run_scenario(scenario)[1].partition(b"\r\n\r\n")[2]

    def test_a_large_answer_is_sent_completely(self) -> None:
        self.assertEqual(len(self.receive_large(None)), len(LARGE_BODY))

    def test_a_large_answer_is_sent_completely_though_the_host_stops_listening(self) -> None:
        async def stop_listening(served: Served) -> None:
            await served.server.stop_listening()

        self.assertEqual(len(self.receive_large(stop_listening)), len(LARGE_BODY))

    def test_a_large_answer_is_sent_completely_though_a_further_request_arrives(self) -> None:
        async def send_another(served: Served) -> None:
            await served.caller.sendall(write_read("another"))

        body = self.receive_large(send_another)[: len(LARGE_BODY)]
        self.assertEqual(len(body), len(LARGE_BODY))

    def test_requests_beyond_the_pipelining_limit_are_answered(self) -> None:
        count = MAX_PIPELINED_REQUESTS + 1

        async def scenario(served: Served) -> bytes:
            served.work_s["r0"] = 0.5
            await served.caller.sendall(b"".join(write_read(f"r{n}") for n in range(count)))
            await curio.sleep(0.1)
            await served.request_stop()
            return await served.receive_all()

        _, received = self.run_scenario(scenario)
        self.assertEqual(received.count(b"HTTP/1.1 "), count)

    def test_a_read_behind_a_write_is_answered(self) -> None:
        async def scenario(served: Served) -> bytes:
            served.work_s["w"] = 0.3
            await served.caller.sendall(WRITE + b"body" + write_read("r"))
            await curio.sleep(0.1)
            await served.request_stop()
            return await served.receive_all()

        _, received = self.run_scenario(scenario)
        self.assertEqual(received.count(b"HTTP/1.1 "), 2)

    def test_no_request_runs_that_arrives_after_the_end_was_announced(self) -> None:
        # The caller takes it as not sent after the announcement, and sends it again elsewhere.
        async def scenario(served: Served) -> bytes:
            served.work_s["r"] = 0.3
            await served.caller.sendall(write_read("r") + WRITE)
            await curio.sleep(0.1)
            await served.request_stop()
            await curio.sleep(0.5)
            await served.caller.sendall(b"body")
            return await served.receive_all()

        served, received = self.run_scenario(scenario)
        first = received.partition(b"\r\n\r\n")[0]
        if b"connection: close" in first:
            self.assertNotIn("w", served.ran)

    def test_a_write_in_progress_at_the_end_of_a_stop_is_answered_as_one_that_may_have_run(
        self,
    ) -> None:
        async def scenario(served: Served) -> bytes:
            served.work_s["w"] = 3.0
            await served.caller.sendall(WRITE + b"body")
            await curio.sleep(0.1)
            await served.request_stop()
            served.server.finish_connections()
            await end_requests(served.runtime)
            return await served.receive_all()

        served, received = self.run_scenario(scenario)
        self.assertEqual(served.ran, ["w"])
        self.assertTrue(received.startswith(b"HTTP/1.1 502 "), received[:80])
        self.assertIn(b"x-verdict: may-have-run", received)
        self.assertEqual(served.runtime.state.requests, {})

    def test_a_queued_request_at_the_end_of_a_stop_is_answered_as_not_run(self) -> None:
        async def scenario(served: Served) -> bytes:
            for record in served.runtime.state.services[ServiceName("rooms")].targets.values():
                record.held_until = served.runtime.clock.monotonic() + timedelta(seconds=0.4)
            await served.caller.sendall(write_read("r"))
            await curio.sleep(0.1)
            await served.request_stop()
            served.server.finish_connections()
            await end_requests(served.runtime)
            return await served.receive_all()

        served, received = self.run_scenario(scenario)
        self.assertEqual(served.ran, [])
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received[:80])
        self.assertIn(b"x-verdict: not-run", received)
        self.assertEqual(served.runtime.state.requests, {})

    def test_no_request_runs_that_is_complete_after_the_connections_were_finished(self) -> None:
        async def scenario(served: Served) -> bytes:
            served.work_s["r"] = 0.3
            await served.caller.sendall(write_read("r") + WRITE)
            await curio.sleep(0.1)
            await served.request_stop()
            served.server.finish_connections()
            await curio.sleep(0.5)
            await served.caller.sendall(b"body")
            return await served.receive_all()

        served, received = self.run_scenario(scenario)
        self.assertIn(b"connection: close", received)
        self.assertEqual(received.count(b"HTTP/1.1 "), 1)
        self.assertEqual(served.ran, ["r"])
