"""Hosts of the landed build and of this one side by side, as during a rolling upgrade.

Guards against messages, forwarded requests and rankings that one of two builds does not understand.
"""

import json
import shutil
import signal
import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import curio

from endivedrift.shell.exchange import ExchangeError
from tests.earlier_build import extract_build
from tests.platform_builders import LISTENER_HOST, build_configuration, build_entry, build_rule
from tests.platform_path import PlatformFleet
from tests.platform_path_test import has_ended

OLD_COUNT = 2
HOST_COUNT = 4
ENTRY_QUERY = f"/endivedrift/resolve?name={LISTENER_HOST}&region=maroc-nord&zone=rabat-a"
ADDED_RULE = build_rule("added", "safe", "/added/")


class MixedBuildsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.old_build = extract_build()
        self.addCleanup(shutil.rmtree, self.old_build)
        self.fleet = PlatformFleet(HOST_COUNT)
        self.addCleanup(self.fleet.stop)
        self.old = [f"{self.fleet.subnet}.{2 + number}" for number in range(OLD_COUNT)]
        self.fleet.sources = dict.fromkeys(self.old, self.old_build)
        self.sent = 0

    def run_scenario(self, scenario: Callable[[], Awaitable[None]]) -> None:
        async def run() -> None:
            await self.fleet.start()
            await self.fleet.poll_until(self.know_all_hosts)
            await scenario()

        curio.run(run)

    async def read_states(self) -> list[dict[str, Any]]:
        return [await self.fleet.read_state(ip) for ip in self.fleet.hosts]

    async def know_all_hosts(self) -> bool:
        """Tells whether each host takes all others for alive."""
        return all(
            [member["status"] for member in state["members"]] == ["alive"] * (HOST_COUNT - 1)
            for state in await self.read_states()
        )

    async def list_entry_answers(self) -> list[list[str]]:
        replies = [await self.fleet.query(ip, 3, ENTRY_QUERY) for ip in self.fleet.hosts]
        return [sorted(json.loads(reply.body)["addresses"]) for reply in replies]

    async def call(self, ip: str, method: str, path: str) -> int:
        self.sent += 1
        return (await self.fleet.call(ip, method, path, f"a{self.sent}")).status

    def test_hosts_of_both_builds_know_one_another_and_name_the_same_hosts(self) -> None:
        async def scenario() -> None:
            answers = await self.list_entry_answers()
            self.assertEqual(answers, [answers[0]] * HOST_COUNT)
            for ip in self.fleet.hosts:
                self.assertEqual(await self.call(ip, "GET", "/stays/1"), 200)
                self.assertEqual(await self.call(ip, "POST", "/book/1"), 200)

        self.run_scenario(scenario)

    # Guards against CONFIG: an object set of one build that the other does not put in force.
    def test_a_new_configuration_is_in_force_at_hosts_of_both_builds(self) -> None:
        async def scenario() -> None:
            document = build_configuration(version=9)
            document["listeners"][0]["rules"].append(ADDED_RULE)
            self.fleet.store.write("op", "config", document)

            async def is_added() -> bool:
                statuses = [await self.call(ip, "GET", "/added/1") for ip in self.fleet.hosts]
                return statuses == [200] * HOST_COUNT

            await self.fleet.poll_until(is_added)
            states = await self.read_states()
            self.assertEqual({state["config_version"] for state in states}, {9})
            self.assertEqual(len({state["config_digest"] for state in states}), 1)

        self.run_scenario(scenario)

    # Guards against DRAIN: targets that leave and are used on by hosts of one build.
    def test_a_target_that_leaves_is_left_by_hosts_of_both_builds(self) -> None:
        async def scenario() -> None:
            entry = build_entry(f"{self.fleet.subnet}.1:20000", state="draining")
            self.fleet.store.write("servers", "i-1", entry)

            async def is_left() -> bool:
                return all(
                    service["targets"]["i-1"]["state"] == "leaving"
                    for state in await self.read_states()
                    for service in state["services"].values()
                )

            await self.fleet.poll_until(is_left)
            before = self.fleet.targets["i-1"].received
            for ip in self.fleet.hosts:
                self.assertEqual(await self.call(ip, "GET", "/stays/1"), 200)
            self.assertEqual(self.fleet.targets["i-1"].received, before)

        self.run_scenario(scenario)

    # Guards against requests that are lost or run twice while hosts are replaced in turn.
    def test_a_rolling_upgrade_loses_no_request(self) -> None:
        async def scenario() -> None:
            ending = curio.Event()
            failures: list[str] = []
            senders = [
                await curio.spawn(self.send_requests(number, ending, failures))
                for number in range(3)
            ]
            for ip in self.old:
                process = self.fleet.hosts[ip]
                process.send_signal(signal.SIGTERM)
                await self.fleet.poll_until(partial(has_ended, process))
                self.assertEqual(process.returncode, 0)
                del self.fleet.sources[ip]
                self.fleet.start_host(ip)
                await self.fleet.poll_until(partial(self.fleet.is_ready, ip))
                await self.fleet.poll_until(self.know_all_hosts)
            await ending.set()
            for sender in senders:
                await sender.join()
            self.assertEqual(failures, [])
            ran = [attempt for target in self.fleet.targets.values() for attempt in target.ran]
            booked = [attempt for attempt in ran if attempt.startswith("b")]
            self.assertEqual(len(booked), len(set(booked)))
            self.assertGreater(len(booked), 0)

        self.run_scenario(scenario)

    async def send_requests(self, number: int, ending: curio.Event, failures: list[str]) -> None:
        """Sends requests one after the other to the hosts that a host of this build names."""
        newest = f"{self.fleet.subnet}.{1 + HOST_COUNT}"
        count = 0
        while not ending.is_set():
            answer = json.loads((await self.fleet.query(newest, 3, ENTRY_QUERY)).body)
            for address in answer["addresses"]:
                ip = address.partition(":")[0]
                for method, path in (("GET", "/stays/"), ("POST", "/book/")):
                    count += 1
                    attempt = f"{'b' if method == 'POST' else 'r'}{number}-{count}"
                    try:
                        status = (await self.fleet.call(ip, method, path + "1", attempt)).status
                    except ExchangeError as error:
                        status = 0 if error.sent else 503
                    if status not in (200, 503):
                        failures.append(f"{attempt} at {ip}: {status}")
            await curio.sleep(0.02)
