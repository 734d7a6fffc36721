"""End-to-end tests on the platform's interface: real hosts with stand-ins for store and targets."""

import json
import secrets
import signal
import subprocess
import unittest
from collections.abc import Awaitable, Callable

import curio
from curio import socket

from standins.platform_store import StoreFaults
from tests.platform_builders import LISTENER_HOST, build_configuration, build_entry
from tests.platform_path import FIRST_PORT, PlatformFleet


class PlatformPathTest(unittest.TestCase):
    def run_scenario(self, scenario: Callable[[PlatformFleet], Awaitable[None]]) -> None:
        platform_fleet = PlatformFleet()

        async def run() -> None:
            await platform_fleet.start()
            await scenario(platform_fleet)

        try:
            curio.run(run)
        finally:
            platform_fleet.stop()

    def test_requests_reach_targets_unchanged_and_answers_come_back_signed(self) -> None:
        async def scenario(platform_fleet: PlatformFleet) -> None:
            host = f"{platform_fleet.subnet}.2"
            reply = await platform_fleet.call(host, "GET", "/stays/7?x=1", "a1")
            self.assertEqual(reply.status, 200)
            self.assertIn(b" GET /stays/7 0", reply.body)
            headers = dict(reply.headers)
            self.assertEqual(headers[b"endivedrift-attempt-id"], b"a1")
            self.assertTrue(headers[b"endivedrift-server-signature"].endswith(b".a1"))
            booked = await platform_fleet.call(host, "POST", "/book/7", "a2", b"12345")
            self.assertIn(b" POST /book/7 5", booked.body)
            ran = [attempt for target in platform_fleet.targets.values() for attempt in target.ran]
            self.assertEqual(sorted(ran), ["a1", "a2"])
            platform_fleet.hosts[host].send_signal(signal.SIGHUP)
            unknown = await platform_fleet.call(host, "GET", "/nowhere/", "a3")
            self.assertEqual(unknown.status, 404)
            self.assertIsNone(platform_fleet.hosts[host].poll())

        self.run_scenario(scenario)

    def test_a_stopping_host_leaves_the_entry_answer_and_serves_late_requests(self) -> None:
        async def scenario(platform_fleet: PlatformFleet) -> None:
            query = f"/endivedrift/resolve?name={LISTENER_HOST}&region=maroc-nord&zone=rabat-a"

            async def resolve(ip: str) -> list[str]:
                reply = await platform_fleet.query(ip, 3, query)
                return list(json.loads(reply.body)["addresses"]) if reply.status == 200 else []

            async def hosts_agree() -> bool:
                answers = [await resolve(ip) for ip in platform_fleet.hosts]
                return answers[0] == answers[1] and len(answers[0]) == 1

            await platform_fleet.poll_until(hosts_agree)
            stopping = (await resolve(f"{platform_fleet.subnet}.2"))[0].partition(":")[0]
            other = next(ip for ip in platform_fleet.hosts if ip != stopping)
            platform_fleet.hosts[stopping].send_signal(signal.SIGTERM)
            await platform_fleet.poll_until(
                lambda: equals(resolve(other), [f"{other}:{FIRST_PORT}"])
            )
            reply = await platform_fleet.call(stopping, "GET", "/stays/1", "late")
            self.assertEqual(reply.status, 200)
            self.assertIn((b"connection", b"close"), reply.headers)
            ready = await platform_fleet.query(stopping, 1, "/endivedrift/readiness")
            self.assertEqual(ready.status, 503)
            await platform_fleet.poll_until(lambda: has_ended(platform_fleet.hosts[stopping]))
            self.assertEqual(platform_fleet.hosts[stopping].returncode, 0)

        self.run_scenario(scenario)

    def test_changes_of_the_store_are_in_force_within_two_seconds(self) -> None:
        async def scenario(platform_fleet: PlatformFleet) -> None:
            host = f"{platform_fleet.subnet}.2"
            platform_fleet.store.write(
                "servers", "i-1", build_entry(f"{platform_fleet.subnet}.1:20000", state="draining")
            )
            platform_fleet.store.remove("servers", "none")
            async with curio.timeout_after(2.0):
                while await find_targets(platform_fleet, host) != {"i-2"}:
                    await curio.sleep(0.05)
            document = build_configuration(version=9)
            document["listeners"][0]["rules"].pop()
            platform_fleet.store.write("op", "config", document)

            async def is_route_removed() -> bool:
                return (await platform_fleet.call(host, "POST", "/book/1", "d")).status == 404

            async with curio.timeout_after(2.0):
                while not await is_route_removed():
                    await curio.sleep(0.05)

        self.run_scenario(scenario)

    def test_requests_are_served_while_the_store_is_unavailable_and_after_it_loses_its_history(
        self,
    ) -> None:
        async def scenario(platform_fleet: PlatformFleet) -> None:
            host = f"{platform_fleet.subnet}.2"
            platform_fleet.store.faults = StoreFaults(status=503, forget=True)
            for number in range(5):
                reply = await platform_fleet.call(host, "GET", f"/stays/{number}", f"b{number}")
                self.assertEqual(reply.status, 200)
            platform_fleet.store.faults = StoreFaults(forget=True)
            platform_fleet.store.write(
                "servers", "i-2", build_entry(f"{platform_fleet.subnet}.1:20001", state="draining")
            )
            await platform_fleet.poll_until(
                lambda: equals(find_targets(platform_fleet, host), {"i-1"})
            )

        self.run_scenario(scenario)

    # Guards against CONFIG and DRAIN: hosts that waited for changes on connections that had gone
    # silent for good, and put none in force until their calls ended.
    def test_changes_are_in_force_in_time_after_the_waits_for_them_were_lost(self) -> None:
        async def scenario(platform_fleet: PlatformFleet) -> None:
            host = f"{platform_fleet.subnet}.2"
            store = platform_fleet.store
            await curio.sleep(2.0)
            store.faults = StoreFaults(silent=True)
            await curio.sleep(1.5)
            store.faults = StoreFaults()
            await curio.sleep(3.0)
            address = f"{platform_fleet.subnet}.1:20000"
            store.write("servers", "i-1", build_entry(address, state="draining"))
            store.write("op", "config", build_configuration(version=9))
            async with curio.timeout_after(2.0):
                while (await platform_fleet.read_state(host))["config_version"] != 9:
                    await curio.sleep(0.05)
                while await find_targets(platform_fleet, host) != {"i-2"}:
                    await curio.sleep(0.05)

        self.run_scenario(scenario)

    def book_during_stop(self, second_signal_after_s: float | None, sent_after_s: float) -> bytes:
        """Sends a booking of 2.4 s on a kept connection of a stopping host.

        Args:
          second_signal_after_s: Time from the first to a second SIGTERM, or None for only one.
          sent_after_s: Time from the latest signal to the request.
        Returns:
          The status line of its answer, empty if the connection was closed without one.
        """
        status_lines: list[bytes] = []

        async def scenario(platform_fleet: PlatformFleet) -> None:
            host = f"{platform_fleet.subnet}.2"
            document = build_configuration(version=9)
            for rule in document["listeners"][0]["rules"]:
                rule["action"]["timeout"] = "2500ms"
            platform_fleet.store.write("op", "config", document)
            await curio.sleep(2.0)
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            await sock.connect((host, FIRST_PORT))
            first = await send_booking(sock, "k1")
            self.assertIn(b" 200 ", first.partition(b"\r\n")[0])
            for target in platform_fleet.targets.values():
                target.work_s = 2.4
            platform_fleet.hosts[host].send_signal(signal.SIGTERM)
            if second_signal_after_s is not None:
                await curio.sleep(second_signal_after_s)
                platform_fleet.hosts[host].send_signal(signal.SIGTERM)
            await curio.sleep(sent_after_s)
            second = await send_booking(sock, "k2")
            status_lines.append(second.partition(b"\r\n")[0])
            await sock.close()

        self.run_scenario(scenario)
        return status_lines[0]

    def test_a_request_on_a_kept_connection_late_in_a_stop_gets_an_answer(self) -> None:
        # The host serves callers that know it from a cached answer for 3.3 s, and waits for
        # further requests on kept connections for half a second more.
        self.assertRegex(self.book_during_stop(None, 3.5), rb" (200|503) ")

    def test_a_second_signal_cuts_off_no_request_that_came_after_it(self) -> None:
        self.assertRegex(self.book_during_stop(0.1, 0.3), rb" (200|503) ")

    def read_at_end_of_stop(self, paths: tuple[str, ...], work_s: float) -> bytes:
        """Pipelines reads and stops the host; returns what it sends until it ends.

        Args:
          paths: Paths of the reads. The first takes `work_s`, the others no time.
          work_s: Work of the first read, whose route allows 9 s.
        """
        received = bytearray()

        async def scenario(platform_fleet: PlatformFleet) -> None:
            host = f"{platform_fleet.subnet}.2"
            document = build_configuration(version=9)
            for rule in document["listeners"][0]["rules"]:
                rule["action"]["timeout"] = "9s"
            platform_fleet.store.write("op", "config", document)
            await curio.sleep(2.0)
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            await sock.connect((host, FIRST_PORT))
            for number, path in enumerate(paths):
                for target in platform_fleet.targets.values():
                    target.work_s = 0.0 if number else work_s
                await sock.sendall(build_read(path, f"r{number}", 1500 if number else 9000))
                await curio.sleep(0.2)
                if not number:
                    platform_fleet.hosts[host].send_signal(signal.SIGTERM)
                    await curio.sleep(0.3)
            try:
                while data := await sock.recv(65_536):
                    received.extend(data)
            except OSError:
                pass
            await sock.close()

        self.run_scenario(scenario)
        return bytes(received)

    def test_a_request_still_in_progress_at_the_end_of_a_stop_gets_an_answer(self) -> None:
        received = self.read_at_end_of_stop(("/stays/1",), 8.0)
        self.assertTrue(received.startswith(b"HTTP/1.1 "), "closed without an answer")

    def test_a_request_pipelined_behind_one_that_outlasts_the_stop_gets_an_answer(self) -> None:
        received = self.read_at_end_of_stop(("/stays/1", "/stays/2"), 8.0)
        self.assertEqual(received.count(b"HTTP/1.1 "), 2)

    def test_a_restored_store_is_followed_and_brings_no_target_back(self) -> None:
        async def scenario(platform_fleet: PlatformFleet) -> None:
            host = f"{platform_fleet.subnet}.2"
            store = platform_fleet.store
            copy = store.take_snapshot()
            address = f"{platform_fleet.subnet}.1:20000"
            store.write("servers", "i-1", build_entry(address, state="draining"))
            store.remove("servers", "i-1")
            store.write("op", "config", build_configuration(version=9))

            await platform_fleet.poll_until(
                lambda: equals(platform_fleet.list_known_targets(host), {"i-2"})
            )
            store.restore(copy)
            for _ in range(30):
                await curio.sleep(0.1)
                self.assertEqual(await platform_fleet.list_known_targets(host), {"i-2"})
            # Versions after the copy are given out again; a change at one of them must be read.
            store.write("servers", "i-1", {**build_entry(address), "born": 1779015099999})
            ran_before = len(platform_fleet.targets["i-1"].ran)

            async def is_used_again() -> bool:
                await find_targets(platform_fleet, host)
                return len(platform_fleet.targets["i-1"].ran) > ran_before

            await platform_fleet.poll_until(is_used_again)

        self.run_scenario(scenario)


async def send_booking(sock: socket.socket, attempt_id: str) -> bytes:
    """Sends a booking on an open connection; returns the bytes of its answer, empty if none."""
    head = (
        f"POST /book/1 HTTP/1.1\r\nhost: {LISTENER_HOST}\r\ncontent-length: 0\r\n"
        f"endivedrift-attempt-id: {attempt_id}\r\nendivedrift-deadline-ms: 5000\r\n\r\n"
    )
    try:
        await sock.sendall(head.encode())
        return bytes(await sock.recv(65_536))
    except OSError:
        return b""


def build_read(path: str, attempt_id: str, deadline_ms: int) -> bytes:
    return (
        f"GET {path} HTTP/1.1\r\nhost: {LISTENER_HOST}\r\n"
        f"endivedrift-attempt-id: {attempt_id}\r\nendivedrift-deadline-ms: {deadline_ms}\r\n\r\n"
    ).encode()


async def has_ended(process: subprocess.Popen[bytes]) -> bool:
    return process.poll() is not None


async def equals(found: Awaitable[object], expected: object) -> bool:
    return await found == expected


async def find_targets(platform_fleet: PlatformFleet, host: str) -> set[str]:
    """Returns the ids of the targets that answer four requests."""
    names = set()
    for number in range(4):
        reply = await platform_fleet.call(host, "GET", f"/stays/{number}", secrets.token_hex(8))
        names.add(reply.body.decode().partition(" ")[0])
    return names
