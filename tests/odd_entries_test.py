"""An entry of another writer that makes no sense costs nothing but itself.

Guards against hosts that end, or stop following the list of targets, for one odd entry among many.
"""

import base64
import json
import unittest
from typing import Any

import curio

from tests.platform_builders import build_entry
from tests.platform_path import PlatformFleet

DEEP = "[" * 100_000 + "]" * 100_000
HUGE = 10**400
HOST_COUNT = 4
"""Two hosts read the store; the others are told by them."""


def list_odd_entries(address: str) -> dict[str, Any]:
    """Returns odd entries by key; a text stands for the JSON that it holds."""
    entry = build_entry(address)
    info = entry["info"]
    return {
        "i-deep": DEEP,
        "i-deep-state": json.dumps(entry).replace('"ready"', DEEP),
        "i-huge-slots": {**entry, "info": {**info, "slots": HUGE}},
        "i-huge-sequence": {**entry, "status": {**entry["status"], "sequence": HUGE}},
        "i-huge-start": {**entry, "born": HUGE},
        "i-infinite-slots": json.dumps(entry).replace('"slots": 2', '"slots": 1e999'),
        "i-port": {**entry, "address": address.partition(":")[0] + ":65536"},
        "i-no-port": {**entry, "address": address.partition(":")[0]},
        "i-name": {**entry, "info": {**info, "service": "\ud800"}},
        "i-state": {**entry, "status": {**entry["status"], "state": "odd"}},
        "i-list": [entry],
        "i-null": None,
        "": entry,
        "\ud800": entry,
        "a b": entry,
        "\u00e9" * 100: entry,
    }


class OddEntriesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = PlatformFleet(HOST_COUNT)
        self.addCleanup(self.fleet.stop)

    def write_odd_entries(self) -> None:
        store = self.fleet.store
        for key, document in list_odd_entries(f"{self.fleet.subnet}.1:20000").items():
            if not isinstance(document, str):
                store.write("servers", key, document)
                continue
            value = base64.b64encode(document.encode()).decode()
            store._write_rows([{"table": "servers", "key": key, "value": value}], [])

    async def know_targets(self, names: set[str]) -> bool:
        """Tells whether all hosts have exactly these targets."""
        known = [await self.fleet.list_known_targets(ip) for ip in self.fleet.hosts]
        return known == [names] * HOST_COUNT

    def check_alive(self) -> None:
        for ip, process in self.fleet.hosts.items():
            self.assertIsNone(process.poll(), f"{ip} ended")
            log = (self.fleet.directory / f"{ip}.log").read_text("utf-8")
            self.assertNotIn("A loop failed", log)
            self.assertEqual(log.count("daemon: Started."), 1)

    async def follow_list(self) -> None:
        """Writes odd entries among others, changes and removes some, and removes odd ones."""
        fleet = self.fleet
        await fleet.start()
        await fleet.poll_until(lambda: self.know_targets({"i-1", "i-2"}))
        self.write_odd_entries()
        fleet.store.write("servers", "i-3", build_entry(f"{fleet.subnet}.1:20002"))
        await fleet.poll_until(lambda: self.know_targets({"i-1", "i-2", "i-3"}))
        self.check_alive()
        for key in list_odd_entries(""):
            fleet.store.remove("servers", key)
        fleet.store.remove("servers", "i-3")
        await fleet.poll_until(lambda: self.know_targets({"i-1", "i-2"}))
        fleet.store.write("servers", "i-4", build_entry(f"{fleet.subnet}.1:20003"))
        await fleet.poll_until(lambda: self.know_targets({"i-1", "i-2", "i-4"}))
        self.check_alive()

    def test_the_list_is_followed_by_readers_and_by_hosts_told_by_them(self) -> None:
        curio.run(self.follow_list)

    # Guards against hosts that end at each start while the entry is in the list.
    def test_hosts_start_with_odd_entries_in_the_list(self) -> None:
        async def scenario() -> None:
            self.write_odd_entries()
            await self.fleet.start()
            await self.fleet.poll_until(lambda: self.know_targets({"i-1", "i-2"}))
            self.check_alive()

        curio.run(scenario)

    # Guards against a known target that goes on being used by an entry that makes no sense.
    def test_a_known_entry_that_turns_odd_takes_only_its_target_out(self) -> None:
        async def scenario() -> None:
            await self.fleet.start()
            await self.fleet.poll_until(lambda: self.know_targets({"i-1", "i-2"}))
            entry = build_entry(f"{self.fleet.subnet}.1:70000")
            self.fleet.store.write("servers", "i-2", entry)
            await self.fleet.poll_until(lambda: self.know_targets({"i-1"}))
            self.check_alive()

        curio.run(scenario)
