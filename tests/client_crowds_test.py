"""Crowds of clients that do not behave end no host, fill no memory and stop no ordinary request.

The machine of these tests has little memory and few descriptors. Its memory counts the bytes that
have arrived at the host and were not read yet.
"""

import secrets
import socket as stdlib_socket
import unittest
from collections.abc import Callable
from functools import partial

import curio

from endivedrift.core import Address
from endivedrift.shell._callers import MAX_PIPELINED_REQUESTS
from endivedrift.shell._codec import KnownTargets, TargetsQuery
from endivedrift.shell._peer_calls import (
    CALL_READ_TIMEOUT,
    LENGTH_BYTES,
    MAC_BYTES,
    MAX_CALL_BYTES,
    PeerCallError,
    call_peer,
)
from endivedrift.shell.exchange import ExchangeError
from tests.client_crowds import Crowd, Usage, measure_crowd, reset_connection, send_crowd
from tests.platform_builders import LISTENER_HOST, build_configuration
from tests.platform_path import FIRST_PORT, PlatformFleet

SENT_REQUESTS = 2_000
SLOW_WORK_S = 0.5
MEMORY_MB = 128
MAX_FDS = 500
RESERVED_FDS = 200
"""Descriptors of the limit that are set aside for files."""
HEAD_LIMIT = 16_384
HEAD = f"GET /stays/1 HTTP/1.1\r\nhost: {LISTENER_HOST}\r\n".encode()
GET = HEAD + b"endivedrift-attempt-id: a\r\n\r\n"
UNKNOWN = f"GET /none/1 HTTP/1.1\r\nhost: {LISTENER_HOST}\r\n\r\n".encode()
POST = f"POST /book/1 HTTP/1.1\r\nhost: {LISTENER_HOST}\r\n".encode()
BODY_BYTES = 60_000

CALLERS, READINESS, CONTROL, ENTRY, PEERS, OPERATORS = 0, 1, 2, 3, 4, 9
"""Listening addresses of a host, as the difference of their port from the first one."""

PATIENT_LIMITS = {
    "maxHeaderBytes": HEAD_LIMIT,
    "maxBodyBytes": 1_000_000,
    "headerTimeout": "100s",
    "idleTimeout": "600s",
}
PATHS = {
    READINESS: "/endivedrift/readiness",
    ENTRY: f"/endivedrift/resolve?name={LISTENER_HOST}&region=maroc-nord&zone=rabat-a",
    OPERATORS: "/health",
}
ANSWER_LIMIT_S = 60.0
"""Time after which an ordinary request counts as unanswered, far beyond what it takes."""

CROWDS = {
    "heads over the limit": Crowd(b"", HEAD + b"x: " + b"y" * (HEAD_LIMIT + 2_000) + b"\r\n\r\n"),
    "header lines": Crowd(HEAD, b"name: value\r\n"),
    "one header line": Crowd(HEAD + b"x: ", b"y" * 1_000),
    "empty lines": Crowd(b"", b"\r\n"),
    "bare line feeds": Crowd(b"", b"\n"),
    "trailers": Crowd(POST + b"transfer-encoding: chunked\r\n\r\n0\r\n", b"name: value\r\n"),
    "requests sent ahead": Crowd(b"", GET, volume=4_000_000),
    "requests without a route sent ahead": Crowd(b"", UNKNOWN, volume=4_000_000),
    "bodies sent ahead": Crowd(
        b"",
        POST + b"content-length: %d\r\n\r\n" % BODY_BYTES + bytes(BODY_BYTES),
        volume=4_000_000,
    ),
    "half heads": Crowd(HEAD + b"x: " + b"y" * 15_000, connections=400, volume=1),
    "half bodies": Crowd(
        POST + b"content-length: %d\r\n\r\n" % BODY_BYTES + bytes(BODY_BYTES - 1),
        connections=400,
        volume=1,
    ),
    "many connections with requests sent ahead": Crowd(b"", GET, connections=200, volume=200_000),
    "a message of no host": Crowd(
        (MAX_CALL_BYTES - 1).to_bytes(LENGTH_BYTES, "big") + bytes(MAC_BYTES), bytes(1_000)
    ),
    "requests of clients that reset": Crowd(b"", GET, volume=4_000_000, resets=True),
}


async def is_answered(fleet: PlatformFleet, ip: str, offset: int) -> bool:
    """Tells whether an ordinary request to an address of a host is answered as it should be."""
    try:
        if offset == PEERS:
            secret = f"endivedrift at {fleet.subnet}.1".encode()
            address = Address(f"{ip}:{FIRST_PORT + PEERS}")
            reply = await call_peer(secret, address, TargetsQuery(), CALL_READ_TIMEOUT)
            return isinstance(reply, KnownTargets)
        if offset == CALLERS:
            answer = await fleet.call(ip, "GET", "/stays/1", secrets.token_hex(4))
            return answer.status == 200
        answer = await fleet.query(ip, offset, PATHS.get(offset, "/"))
    except (ExchangeError, PeerCallError):
        return False
    return answer.status == (404 if offset == CONTROL else 200)


class ClientCrowdsTest(unittest.TestCase):
    """A crowd at a time, each on a host that has just started."""

    runs_alone = True

    def check_crowds(self, offset: int, *names: str) -> None:
        """Checks a host while crowds, one after the other, use one of its addresses."""

        async def run() -> None:
            await fleet.start()
            ip = f"{fleet.subnet}.2"
            await self.check_ordinary_request(fleet, offset)
            for name in names:
                with self.subTest(crowd=name):
                    send = partial(send_crowd, (ip, FIRST_PORT + offset), CROWDS[name])
                    measure = partial(measure_crowd, fleet.hosts[ip].pid, ip, send)
                    usage = await curio.run_in_thread(measure)
                    self.assertIsNone(fleet.hosts[ip].poll(), "the host ended")
                    await self.check_ordinary_request(fleet, offset)
                    self.check_usage(usage)
                    await self.check_nothing_is_held(fleet, ip)

        fleet = CrowdedFleet(1)
        try:
            curio.run(run)
        finally:
            fleet.stop()

    def check_usage(self, usage: Usage) -> None:
        self.assertLessEqual(usage.memory, MEMORY_MB * 1_000_000)
        self.assertLessEqual(usage.descriptors, MAX_FDS - RESERVED_FDS)

    async def check_nothing_is_held(self, fleet: PlatformFleet, ip: str) -> None:
        """Waits until no byte counts as held any more."""
        async with curio.timeout_after(ANSWER_LIMIT_S):
            while await self.count_held_bytes(fleet, ip):
                await curio.sleep(0.05)

    async def count_held_bytes(self, fleet: PlatformFleet, ip: str) -> float:
        text = (await fleet.query(ip, OPERATORS, "/metrics")).body.decode()
        names = ("endivedrift_input_bytes ", "endivedrift_held_bytes ")
        lines = [line for line in text.splitlines() if line.startswith(names)]
        self.assertEqual(len(lines), len(names))
        return sum(abs(float(line.split()[1])) for line in lines)

    async def check_ordinary_request(self, fleet: PlatformFleet, offset: int) -> None:
        """Sends an ordinary request to an address until it is answered as it should be."""
        async with curio.timeout_after(ANSWER_LIMIT_S):
            while not await is_answered(fleet, f"{fleet.subnet}.2", offset):
                await curio.sleep(0.05)

    # Guards against a host that keeps what comes after a request that it has refused.
    def test_callers_heads_over_the_limit(self) -> None:
        self.check_crowds(CALLERS, "heads over the limit")

    # Guards against a host that keeps what comes after a request that it has refused.
    def test_callers_header_lines_without_end(self) -> None:
        self.check_crowds(CALLERS, "header lines")

    # Guards against a host that keeps what comes after a request that it has refused.
    def test_callers_one_header_line_without_end(self) -> None:
        self.check_crowds(CALLERS, "one header line")

    # Guards against a host that keeps what comes after a request that it has refused.
    def test_callers_empty_lines_without_end(self) -> None:
        self.check_crowds(CALLERS, "empty lines")

    # Guards against a host that keeps what comes after a request that it has refused.
    def test_callers_bare_line_feeds_without_end(self) -> None:
        self.check_crowds(CALLERS, "bare line feeds")

    # Guards against a host that keeps what comes after a request that it has refused.
    def test_callers_trailers_without_end(self) -> None:
        self.check_crowds(CALLERS, "trailers")

    # Guards against requests that each keep a copy of all that was sent after them.
    def test_callers_requests_sent_ahead(self) -> None:
        self.check_crowds(CALLERS, "requests sent ahead")

    # Guards against requests that each keep a copy of all that was sent after them.
    def test_callers_requests_without_a_route_sent_ahead(self) -> None:
        self.check_crowds(CALLERS, "requests without a route sent ahead")

    # Guards against requests that each keep a copy of all that was sent after them.
    def test_callers_bodies_sent_ahead(self) -> None:
        self.check_crowds(CALLERS, "bodies sent ahead")

    # Guards against a bound for each connection that all of them together exceed.
    def test_callers_half_heads_on_many_connections(self) -> None:
        self.check_crowds(CALLERS, "half heads")

    # Guards against a bound for each connection that all of them together exceed.
    def test_callers_half_bodies_on_many_connections(self) -> None:
        self.check_crowds(CALLERS, "half bodies")

    # Guards against a bound for each connection that all of them together exceed.
    def test_callers_requests_sent_ahead_on_many_connections(self) -> None:
        self.check_crowds(CALLERS, "many connections with requests sent ahead")

    # Guards against work for clients that have left.
    def test_callers_requests_of_clients_that_reset(self) -> None:
        self.check_crowds(CALLERS, "requests of clients that reset")

    # Guards against addresses that keep what clients send without end.
    def test_readiness_address(self) -> None:
        self.check_crowds(READINESS, *CROWDS)

    # Guards against addresses that keep what clients send without end.
    def test_entry_address(self) -> None:
        self.check_crowds(ENTRY, *CROWDS)

    # Guards against addresses that keep what clients send without end.
    def test_control_address(self) -> None:
        self.check_crowds(CONTROL, *CROWDS)

    # Guards against addresses that keep what clients send without end.
    def test_operator_address(self) -> None:
        self.check_crowds(OPERATORS, *CROWDS)

    # Guards against addresses that keep what clients send without end.
    def test_address_for_other_hosts(self) -> None:
        self.check_crowds(PEERS, *CROWDS)


class IdleCallersTest(unittest.TestCase):
    """More callers than there are connections send nothing, or half of a head, and stay."""

    runs_alone = True

    # Guards against idle connections that keep ordinary callers away.
    def test_an_ordinary_request_is_answered_beside_them(self) -> None:
        async def run(sent: bytes) -> None:
            await fleet.start()
            ip = f"{fleet.subnet}.2"
            callers = [self.connect(ip, sent) for _ in range(MAX_FDS)]
            async with curio.timeout_after(ANSWER_LIMIT_S):
                while not await is_answered(fleet, ip, CALLERS):
                    await curio.sleep(0.05)
            self.assertIsNone(fleet.hosts[ip].poll())
            for caller in callers:
                caller.close()

        for sent in (b"", HEAD):
            with self.subTest(sent=sent):
                fleet = PatientFleet(1)
                try:
                    curio.run(run, sent)
                finally:
                    fleet.stop()

    def connect(self, ip: str, sent: bytes) -> stdlib_socket.socket:
        caller = stdlib_socket.create_connection((ip, FIRST_PORT))
        caller.sendall(sent)
        return caller


class DepartedCallersTest(unittest.TestCase):
    """Callers send many requests at once and leave before the first of them is answered."""

    runs_alone = True

    def count_begun(self, leave: Callable[[stdlib_socket.socket], None]) -> int:
        """Returns how many requests of such a caller the host has begun to serve."""

        async def run() -> int:
            await fleet.start()
            for target in fleet.targets.values():
                target.work_s = SLOW_WORK_S
            ip = f"{fleet.subnet}.2"
            caller = stdlib_socket.create_connection((ip, FIRST_PORT))
            caller.sendall(GET * SENT_REQUESTS)
            while not any(target.received for target in fleet.targets.values()):
                await curio.sleep(0.01)
            leave(caller)
            while (await fleet.read_state(ip))["requests"]:
                await curio.sleep(0.05)
            log = (fleet.directory / f"{ip}.log").read_text("utf-8")
            return log.count('"event": "request: ')

        fleet = PlatformFleet(1)
        try:
            return curio.run(run)
        finally:
            fleet.stop()

    # Guards against work for clients that have left.
    def test_no_request_of_a_caller_that_closed_its_connection_is_begun(self) -> None:
        begun = self.count_begun(stdlib_socket.socket.close)
        self.assertLessEqual(begun, MAX_PIPELINED_REQUESTS)

    # Guards against work for clients that have left.
    def test_no_request_of_a_caller_that_reset_its_connection_is_begun(self) -> None:
        begun = self.count_begun(reset_connection)
        self.assertLessEqual(begun, MAX_PIPELINED_REQUESTS)


class CrowdedFleet(PlatformFleet):
    """A fleet whose machines have little memory and few descriptors."""

    def build_node_text(self, ip: str) -> str:
        """Returns the text of the node file of a host."""
        limits = f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {MAX_FDS}\n"
        return super().build_node_text(ip).replace("[limits]\n", limits)


class PatientFleet(CrowdedFleet):
    """A crowded fleet whose configuration lets callers idle for a long time."""

    def write_first_configuration(self) -> None:
        """Writes the configuration that the hosts start with."""
        self.store.write("op", "config", build_configuration(limits=PATIENT_LIMITS))


if __name__ == "__main__":
    unittest.main()
