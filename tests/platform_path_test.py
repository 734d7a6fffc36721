"""The whole path on the platform's interface: real hosts, with store and targets stood in for."""

import json
import secrets
import signal
import subprocess
import unittest
from collections.abc import Awaitable, Callable

import curio

from standins.platform_store import StoreFaults
from tests.platform_builders import LISTENER_HOST, build_configuration, build_entry
from tests.platform_path import FIRST_PORT, PlatformPath


class PlatformPathTest(unittest.TestCase):
    def run_path(self, scenario: Callable[[PlatformPath], Awaitable[None]]) -> None:
        path = PlatformPath()

        async def run() -> None:
            await path.start()
            await scenario(path)

        try:
            curio.run(run)
        finally:
            path.stop()

    def test_requests_reach_targets_unchanged_and_answers_come_back_proven(self) -> None:
        async def scenario(path: PlatformPath) -> None:
            host = f"{path.net}.2"
            reply = await path.call(host, "GET", "/stays/7?x=1", "a1")
            self.assertEqual(reply.status, 200)
            self.assertIn(b" GET /stays/7 0", reply.body)
            headers = dict(reply.headers)
            self.assertEqual(headers[b"endivedrift-attempt-id"], b"a1")
            self.assertTrue(headers[b"endivedrift-server-signature"].endswith(b".a1"))
            booked = await path.call(host, "POST", "/book/7", "a2", b"12345")
            self.assertIn(b" POST /book/7 5", booked.body)
            ran = [attempt for target in path.targets.values() for attempt in target.ran]
            self.assertEqual(sorted(ran), ["a1", "a2"])
            path.hosts[host].send_signal(signal.SIGHUP)
            unknown = await path.call(host, "GET", "/nowhere/", "a3")
            self.assertEqual(unknown.status, 404)
            self.assertIsNone(path.hosts[host].poll())

        self.run_path(scenario)

    def test_a_stopping_host_leaves_the_entry_answer_and_serves_what_still_comes(self) -> None:
        async def scenario(path: PlatformPath) -> None:
            question = f"/endivedrift/resolve?name={LISTENER_HOST}&region=maroc-nord&zone=rabat-a"

            async def named_by(ip: str) -> list[str]:
                reply = await path.ask(ip, 3, question)
                return list(json.loads(reply.body)["addresses"]) if reply.status == 200 else []

            async def agree() -> bool:
                answers = [await named_by(ip) for ip in path.hosts]
                return answers[0] == answers[1] and len(answers[0]) == 1

            await path.wait(agree)
            leaving = (await named_by(f"{path.net}.2"))[0].partition(":")[0]
            other = next(ip for ip in path.hosts if ip != leaving)
            path.hosts[leaving].send_signal(signal.SIGTERM)
            await path.wait(lambda: _is(named_by(other), [f"{other}:{FIRST_PORT}"]))
            reply = await path.call(leaving, "GET", "/stays/1", "late")
            self.assertEqual(reply.status, 200)
            self.assertIn((b"connection", b"close"), reply.headers)
            ready = await path.ask(leaving, 1, "/endivedrift/readiness")
            self.assertEqual(ready.status, 503)
            await path.wait(lambda: _ended(path.hosts[leaving]))
            self.assertEqual(path.hosts[leaving].returncode, 0)

        self.run_path(scenario)

    def test_changes_of_the_store_are_in_force_within_two_seconds(self) -> None:
        async def scenario(path: PlatformPath) -> None:
            host = f"{path.net}.2"
            path.store.write("servers", "i-1", build_entry(f"{path.net}.1:20000", state="draining"))
            path.store.remove("servers", "none")
            async with curio.timeout_after(2.0):
                while await _named(path, host) != {"i-2"}:
                    await curio.sleep(0.05)
            document = build_configuration(version=9)
            document["listeners"][0]["rules"].pop()
            path.store.write("op", "config", document)

            async def dropped() -> bool:
                return (await path.call(host, "POST", "/book/1", "d")).status == 404

            async with curio.timeout_after(2.0):
                while not await dropped():
                    await curio.sleep(0.05)

        self.run_path(scenario)

    def test_requests_are_served_while_the_store_is_away_and_after_its_history_is_gone(
        self,
    ) -> None:
        async def scenario(path: PlatformPath) -> None:
            host = f"{path.net}.2"
            path.store.faults = StoreFaults(status=503, forget=True)
            for number in range(5):
                reply = await path.call(host, "GET", f"/stays/{number}", f"b{number}")
                self.assertEqual(reply.status, 200)
            path.store.faults = StoreFaults(forget=True)
            path.store.write("servers", "i-2", build_entry(f"{path.net}.1:20001", state="draining"))
            await path.wait(lambda: _is(_named(path, host), {"i-1"}))

        self.run_path(scenario)


async def _ended(process: subprocess.Popen[bytes]) -> bool:
    return process.poll() is not None


async def _is(found: Awaitable[object], wanted: object) -> bool:
    return await found == wanted


async def _named(path: PlatformPath, host: str) -> set[str]:
    """Returns the targets that answer a few requests."""
    names = set()
    for number in range(4):
        reply = await path.call(host, "GET", f"/stays/{number}", secrets.token_hex(8))
        names.add(reply.body.decode().partition(" ")[0])
    return names
