"""Tests a fleet of real processes under kills, freezes, store outages and faulty targets.

Callers and targets record a history of each run, and `standins.history` checks it.
"""

import json
import random
import signal
import socket
import threading
import time
import unittest
from collections.abc import Callable
from dataclasses import replace

import curio

from endivedrift.core import Address
from endivedrift.objects import ObjectSet
from standins.caller import CallerStandin, Record, Seen
from standins.fleet import Fleet, open_fleet
from standins.history import check_history
from standins.tasks import run_together
from tests.builders import build_object_set

DOMAINS = {"h1": "a", "h2": "b", "h3": "c"}
IN_FORCE_LIMIT_S = 6.0
"""Time in which a published object set must be in force at all running hosts."""
LEAVING_LIMIT_S = 5.0
"""Time after which a target that the platform lists as leaving must get no more requests."""


class FleetTest(unittest.TestCase):
    """Starts a new fleet of three hosts and four targets for each test."""

    def setUp(self) -> None:
        self.fleet: Fleet = open_fleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        chosen = build_object_set(key_required=True, queue_length=64)
        self.objects: ObjectSet = self.fleet.start_targets(chosen)
        for name, domain in DOMAINS.items():
            self.fleet.start_host(name, domain)
        self.assertEqual(self.fleet.publish(self.objects), 0)
        self.fleet.wait_version(1)
        self.fleet.wait_members()
        self.callers = [
            CallerStandin([h.callers for h in self.fleet.hosts.values()]) for _ in range(6)
        ]

    def run_workload(self, seconds: float, inject_faults: Callable[[], None]) -> list[Record]:
        """Runs the callers while faults are injected, and returns the result of each call."""
        records: list[Record] = []
        thread = threading.Thread(target=inject_faults)
        thread.start()
        curio.run(self.run_callers, seconds, records)
        thread.join()
        return records

    async def run_callers(self, seconds: float, records: list[Record]) -> None:
        until = time.monotonic() + seconds
        await run_together(
            self.run_caller(c, n, until, records) for n, c in enumerate(self.callers)
        )

    async def run_caller(
        self, caller: CallerStandin, number: int, until: float, records: list[Record]
    ) -> None:
        count = 0
        while time.monotonic() < until:
            count += 1
            if count % 2:
                path = f"/stays/{number}-{count}"
                records.append(await caller.write("rooms", path, b"{}", repeats=2))
            else:
                records.append(await caller.read("rooms", f"/rooms/{number}-{count}"))
            await curio.sleep(0.02)

    def find_violations(self) -> list[str]:
        history = [record for caller in self.callers for record in caller.history]
        return check_history(history, self.fleet.list_runs())

    def send(self, host: str, path: str, key: str, seconds: float = 10.0) -> Record:
        address = self.fleet.hosts[host].callers
        return curio.run(self.callers[0].send, address, "POST", path, b"{}", key)

    def fetch_key(self, owner: str) -> str:
        hosts = curio.run(self.callers[0].list_hosts, "rooms", 1)
        return next(str(host["keys"][0]) for host in hosts if host["host"] == owner)


class KillTest(FleetTest):
    def test_killed_and_frozen_hosts_cause_no_duplicates(self) -> None:
        def inject_faults() -> None:
            time.sleep(1.0)
            self.fleet.hosts["h1"].process.kill()
            time.sleep(1.0)
            self.fleet.hosts["h2"].process.send_signal(signal.SIGSTOP)
            time.sleep(1.5)
            self.fleet.restart_host("h1")
            self.fleet.hosts["h2"].process.send_signal(signal.SIGCONT)

        records = self.run_workload(7.0, inject_faults)
        self.assertEqual(self.find_violations(), [])
        answered = sum(1 for record in records if record.seen is Seen.ANSWERED)
        self.assertGreater(answered, len(records) // 2)

    def test_killed_and_frozen_targets_cause_no_duplicates(self) -> None:
        def inject_faults() -> None:
            time.sleep(1.0)
            self.fleet.target_processes["t1"].send_signal(signal.SIGSTOP)
            time.sleep(2.0)
            self.fleet.target_processes["t1"].send_signal(signal.SIGCONT)
            time.sleep(0.5)
            self.fleet.target_processes["t2"].kill()

        records = self.run_workload(5.0, inject_faults)
        self.assertEqual(self.find_violations(), [])
        reads = [record for record in records if not record.key]
        self.assertTrue(all(record.seen is Seen.ANSWERED for record in reads))


class KeyOwnerTest(FleetTest):
    def test_a_frozen_owner_runs_its_key_at_most_once(self) -> None:
        key = self.fetch_key("h2")
        self.fleet.hosts["h2"].process.send_signal(signal.SIGSTOP)
        for host in ("h1", "h3"):
            record = self.send(host, "/stays/1", key)
            self.assertEqual(record.seen, Seen.MAY_HAVE_RUN, record)
        self.fleet.hosts["h2"].process.send_signal(signal.SIGCONT)
        for host in ("h1", "h2", "h3", "h2"):
            self.send(host, "/stays/1", key)
        self.assertEqual(self.find_violations(), [])
        self.assertLessEqual(len([r for r in self.fleet.list_runs() if r[2] == key]), 1)

    def test_a_replaced_owner_never_runs_an_old_key(self) -> None:
        key = self.fetch_key("h2")
        self.assertEqual(self.send("h1", "/stays/1", key).seen, Seen.ANSWERED)
        self.fleet.hosts["h2"].process.kill()
        self.fleet.hosts["h2"].process.wait()
        self.fleet.restart_host("h2")
        for host in ("h1", "h2", "h3"):
            self.assertEqual(self.send(host, "/stays/1", key).seen, Seen.MAY_HAVE_RUN)
        self.assertEqual(len([r for r in self.fleet.list_runs() if r[2] == key]), 1)


class StoreTest(FleetTest):
    def test_bookings_continue_while_the_store_is_down(self) -> None:
        self.fleet.set_platform_faults(down=True)
        records = self.run_workload(2.0, lambda: None)
        self.assertTrue(all(record.seen is Seen.ANSWERED for record in records))
        refused = self.send("h1", "/stays/9", "my-own-key")
        self.assertEqual((refused.seen, refused.reason), (Seen.MAY_HAVE_RUN, "key-store-down"))
        self.assertEqual(json.loads(refused.body)["attempt"], "not-run")
        self.fleet.set_platform_faults()
        self.assertEqual(self.send("h1", "/stays/9", "my-own-key").seen, Seen.ANSWERED)
        self.assertEqual(self.find_violations(), [])

    def test_a_host_started_during_an_outage_gets_its_objects_from_peers(self) -> None:
        self.fleet.set_platform_faults(down=True)
        self.fleet.start_host("h4", "a")
        self.fleet.wait_version(1, 15.0)
        for caller in self.callers:
            record = curio.run(caller.send, self.fleet.hosts["h4"].callers, "GET", "/rooms/1")
            self.assertEqual(record.seen, Seen.ANSWERED)

    def test_lost_replies_of_the_store_cause_no_duplicates(self) -> None:
        self.fleet.set_platform_faults(lose_replies=True)
        for number in range(4):
            for host in ("h1", "h2", "h3", "h1"):
                self.send(host, f"/stays/{number}", f"own-{number}")
        self.fleet.set_platform_faults()
        counts = [len([r for r in self.fleet.list_runs() if r[2] == f"own-{n}"]) for n in range(4)]
        self.assertEqual(counts, [1, 1, 1, 1])
        self.assertEqual(self.find_violations(), [])


class ConfigTest(FleetTest):
    def test_one_of_racing_publishers_wins_and_its_set_is_in_force_in_time(self) -> None:
        statuses: list[int] = []

        def race(number: int) -> None:
            accounts = {f"c{number}": self.objects.caller["guest"]}
            objects = replace(self.objects, caller=accounts)
            statuses.append(self.fleet.publish(objects, "--expected", "1"))

        threads = [threading.Thread(target=race, args=(number,)) for number in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(statuses), [0, 3, 3])
        self.fleet.wait_version(2, IN_FORCE_LIMIT_S)

    def test_a_restored_store_reverts_no_host(self) -> None:
        self.fleet.call(self.fleet.platform, "POST", "/control/backup")
        changed = replace(self.objects, caller={})
        self.assertEqual(self.fleet.publish(changed), 0)
        self.fleet.wait_version(2, IN_FORCE_LIMIT_S)
        self.fleet.call(self.fleet.platform, "POST", "/control/restore")
        time.sleep(3.0)
        self.fleet.wait_version(2, 0.5)
        self.assertEqual(self.fleet.publish(self.objects), 0)
        self.fleet.wait_version(3, IN_FORCE_LIMIT_S)

    def test_a_publish_whose_reply_is_lost_is_reported_truthfully(self) -> None:
        self.fleet.set_platform_faults(lose_replies=True)
        status = self.fleet.publish(replace(self.objects, caller={}))
        self.fleet.set_platform_faults()
        trail = json.loads(self.fleet.run_tool("history", "--json").stdout)["history"]
        self.assertIn((status, len(trail)), [(0, 2), (4, 1), (5, 1), (5, 2)])


class StopTest(FleetTest):
    def test_a_rolling_restart_under_load_loses_nothing(self) -> None:
        statuses: list[int] = []

        def inject_faults() -> None:
            for name in DOMAINS:
                process = self.fleet.hosts[name].process
                process.send_signal(signal.SIGTERM)
                statuses.append(process.wait(timeout=30))
                self.fleet.restart_host(name)
                self.fleet.wait_version(1)
                self.fleet.wait_members()

        records = self.run_workload(22.0, inject_faults)
        self.assertEqual(statuses, [0, 0, 0])
        lost = [record for record in records if record.seen is not Seen.ANSWERED]
        self.assertEqual(lost, [])
        self.assertEqual(self.find_violations(), [])

    def test_requests_in_progress_survive_two_signals(self) -> None:
        for name in self.fleet.targets:
            self.fleet.set_target_faults(name, extra_ms=1_500)
        records: list[Record] = []

        async def call() -> None:
            host = self.fleet.hosts["h1"].callers
            records.append(await self.callers[0].send(host, "GET", "/rooms/1"))

        thread = threading.Thread(target=lambda: curio.run(call))
        thread.start()
        time.sleep(0.5)
        process = self.fleet.hosts["h1"].process
        process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(timeout=30), 0)
        thread.join()
        self.assertEqual([record.seen for record in records], [Seen.ANSWERED])


class EarlyStopTest(unittest.TestCase):
    def test_a_stop_during_start_up_and_during_an_outage_is_graceful(self) -> None:
        fleet = open_fleet()
        self.addCleanup(fleet.stop)
        fleet.start_platform()
        fleet.set_platform_faults(down=True)
        host = fleet.start_host("h1", "a")
        host.process.send_signal(signal.SIGTERM)
        self.assertEqual(host.process.wait(timeout=20), 0)
        again = fleet.restart_host("h1")
        time.sleep(1.5)
        again.process.send_signal(signal.SIGINT)
        self.assertEqual(again.process.wait(timeout=20), 0)


class TargetTest(FleetTest):
    def test_faulty_answers_never_reach_a_caller(self) -> None:
        faults = [
            {"crossed_share": 0.3},
            {"doubled_share": 0.3},
            {"cut_share": 0.3},
            {"crossed_share": 0.2, "cut_share": 0.2, "doubled_share": 0.2},
        ]
        for name, fault in zip(self.fleet.targets, faults, strict=True):
            self.fleet.set_target_faults(name, **fault)
        self.run_workload(4.0, lambda: None)
        self.assertEqual(self.find_violations(), [])

    def test_a_leaving_target_gets_no_new_request(self) -> None:
        counts: list[int] = []

        def inject_faults() -> None:
            time.sleep(1.0)
            entry = {"address": self.fleet.targets["t1"], "leaving": True}
            body = {"machines": [entry]}
            self.fleet.call(self.fleet.platform, "PUT", "/control/machines", body)
            time.sleep(LEAVING_LIMIT_S)
            counts.append(self.count_received("t1"))

        self.run_workload(8.0, inject_faults)
        self.assertGreater(counts[0], 0)
        self.assertEqual(self.count_received("t1"), counts[0])

    def count_received(self, target: str) -> int:
        reply = self.fleet.call(self.fleet.targets[target], "GET", "/control/record")
        return int(json.loads(reply.body)["received"])


class DisconnectTest(FleetTest):
    def test_callers_that_disconnect_leave_no_requests_behind(self) -> None:
        for name in self.fleet.targets:
            self.fleet.set_target_faults(name, extra_ms=50)
        host = self.fleet.hosts["h1"]
        ip, _, port = host.callers.rpartition(":")
        rng = random.Random(23)
        for _ in range(40):
            socks = [socket.create_connection((ip, int(port)), timeout=5.0) for _ in range(12)]
            for sock in socks:
                sock.sendall(b"GET /rooms/1 HTTP/1.1\r\nhost: x\r\n\r\n")
            time.sleep(rng.uniform(0.0, 0.06))
            for sock in socks:
                sock.close()

        def is_idle() -> bool:
            state = self.fleet.read_state(host)
            targets = state["services"]["rooms"]["targets"].values()
            busy = sum(target["in_progress"] for target in targets)
            return state["requests"] == 0 and busy == 0 and not state["services"]["rooms"]["queued"]

        self.fleet.wait_until("no request is left", is_idle, 10.0)
        record = curio.run(self.callers[0].send, host.callers, "GET", "/rooms/1")
        self.assertEqual(record.seen, Seen.ANSWERED)


class HostileInputTest(FleetTest):
    """Malformed, random or slow input on any listener does not affect other clients."""

    CASES = (
        (
            b"POST /stays/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (
            b"POST /stays/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n",
            b"400",
        ),
        (b"GET /rooms HTTP/1.1\r\nhost: x\r\nx-big: " + b"a" * 40_000 + b"\r\n\r\n", b"431"),
        (b"POST /stays/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n", b"413"),
        (b"GET /rooms HTTP/1.1\r\n\r\n", b"400"),
        (b"CONNECT /rooms HTTP/1.1\r\nhost: x\r\n\r\n", b"501"),
        (b"GET http://other/ HTTP/1.1\r\nhost: x\r\n\r\n", b"400"),
        (b"GET /rooms HTTP/1.1\r\nhost: x\r\nx-request-deadline-ms: soon\r\n\r\n", b"400"),
        (b"\x16\x03\x01\x02\x00\x01\x00", b"400"),
    )

    def exchange(self, address: Address, data: bytes, seconds: float = 5.0) -> bytes:
        ip, _, port = address.rpartition(":")
        with socket.create_connection((ip, int(port)), timeout=seconds) as sock:
            try:
                sock.sendall(data)
                return sock.recv(65_536)
            except OSError:
                return b""

    def test_malformed_requests_are_rejected(self) -> None:
        host = self.fleet.hosts["h1"]
        for data, status in self.CASES:
            with self.subTest(data[:60]):
                self.assertEqual(self.exchange(host.callers, data).split(b" ")[1:2], [status])

    def test_random_bytes_and_datagrams_do_not_stop_a_host(self) -> None:
        rng = random.Random(11)
        host = self.fleet.hosts["h1"]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        ip, _, port = host.peers.rpartition(":")
        valid = b"GET /rooms HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc"
        for _ in range(150):
            data = bytearray(valid if rng.random() < 0.5 else rng.randbytes(200))
            for _ in range(rng.randrange(6)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            for address in (host.callers, host.operators, host.peers):
                self.send_and_close(address, bytes(data))
            udp.sendto(bytes(data), (ip, int(port)))
        udp.close()
        self.fleet.wait_until(
            "operators are answered again", lambda: "members" in self.fleet.read_state(host), 15.0
        )
        self.assertEqual(len(self.fleet.read_state(host)["members"]), 2)
        record = curio.run(self.callers[0].send, host.callers, "GET", "/rooms/1")
        self.assertEqual(record.seen, Seen.ANSWERED)
        metrics = self.fleet.call(host.operators, "GET", "/metrics").body.decode()
        rejected = [x for x in metrics.splitlines() if x.startswith("endivedrift_peer_rejected_t")]
        self.assertGreaterEqual(float(rejected[0].split()[1]), 150.0)

    def send_and_close(self, address: Address, data: bytes) -> None:
        ip, _, port = address.rpartition(":")
        with socket.create_connection((ip, int(port)), timeout=5.0) as sock:
            try:
                sock.sendall(data)
            except OSError:
                return

    def test_slow_senders_do_not_block_others(self) -> None:
        host = self.fleet.hosts["h1"]
        ip, _, port = host.callers.rpartition(":")
        slow = [socket.create_connection((ip, int(port)), timeout=5.0) for _ in range(200)]
        for sock in slow:
            sock.sendall(b"GET /rooms HT")
        record = curio.run(self.callers[0].send, host.callers, "GET", "/rooms/1")
        self.assertEqual(record.seen, Seen.ANSWERED)
        slow[0].settimeout(20.0)
        self.assertIn(b"408", slow[0].recv(4096))
        for sock in slow:
            sock.close()

    def test_a_sender_of_single_bytes_is_timed_out(self) -> None:
        host = self.fleet.hosts["h1"]
        ip, _, port = host.callers.rpartition(":")
        answered = b""
        with socket.create_connection((ip, int(port)), timeout=1.0) as sock:
            sock.sendall(b"GET /rooms HTTP/1.1\r\nx-long: ")
            end = time.monotonic() + 20.0
            while not answered and time.monotonic() < end:
                sock.sendall(b"a")
                try:
                    answered = sock.recv(4096)
                except TimeoutError:
                    continue
        self.assertIn(b"408", answered)
