"""End-to-end tests with separate processes: publish, entry answer, requests, graceful stop."""

import json
import signal
import socket
import subprocess
import sys
import unittest

import curio

from endivedrift.core import Address
from standins.caller import CallerStandin, Seen
from standins.fleet import Fleet, open_fleet
from standins.history import check_history
from tests.builders import build_object_set


class PathTest(unittest.TestCase):
    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = open_fleet()
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start_platform()
        objects = cls.fleet.start_targets(build_object_set(key_required=True))
        for name, domain in (("h1", "a"), ("h2", "b")):
            cls.fleet.start_host(name, domain)
        assert cls.fleet.publish(objects) == 0
        cls.fleet.wait_version(1)
        cls.fleet.wait_members()

    def test_reads_and_writes_are_answered_and_run_once(self) -> None:
        caller = CallerStandin([host.callers for host in self.fleet.hosts.values()])
        for number in range(20):
            read = curio.run(caller.read, "rooms", f"/rooms/{number}?n={number}")
            self.assertEqual(read.seen, Seen.ANSWERED)
            write = curio.run(caller.write, "rooms", f"/stays/{number}", b"{}")
            self.assertEqual(write.seen, Seen.ANSWERED)
        self.assertEqual(check_history(caller.history, self.fleet.list_runs()), [])

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        host = next(iter(self.fleet.hosts.values()))
        ip, _, port = host.callers.rpartition(":")
        requests = [f"GET /rooms/{n} HTTP/1.1\r\nhost: x\r\n\r\n" for n in range(5)]
        received = b""
        with socket.create_connection((ip, int(port)), timeout=10.0) as sock:
            sock.sendall("".join(requests).encode())
            while received.count(b'"path"') < len(requests):
                received += sock.recv(65_536)
        positions = [received.index(f'"/rooms/{n}"'.encode()) for n in range(5)]
        self.assertEqual(positions, sorted(positions))

    def test_a_repeat_through_another_host_gets_the_first_answer(self) -> None:
        caller = CallerStandin([host.callers for host in self.fleet.hosts.values()])
        hosts = curio.run(caller.list_hosts, "rooms", 1)
        key = hosts[0]["keys"][0]
        addresses = [Address(host["address"]) for host in hosts]
        for address in (*addresses, *addresses):
            record = curio.run(caller.send, address, "POST", "/stays/7", b"{}", key)
            self.assertEqual(record.seen, Seen.ANSWERED)
        runs = [run for run in self.fleet.list_runs() if run[2] == key]
        self.assertEqual(len(runs), 1)

    def test_a_key_chosen_by_the_caller_runs_once(self) -> None:
        caller = CallerStandin([host.callers for host in self.fleet.hosts.values()])
        addresses = [host.callers for host in self.fleet.hosts.values()]
        for address in (*addresses, *addresses):
            record = curio.run(caller.send, address, "POST", "/stays/8", b"{}", "my-own-key")
            self.assertEqual(record.seen, Seen.ANSWERED)
        runs = [run for run in self.fleet.list_runs() if run[2] == "my-own-key"]
        self.assertEqual(len(runs), 1)

    def test_tool_shows_the_fleet_and_the_history(self) -> None:
        status = self.fleet.run_tool("status", "--json")
        self.assertEqual(status.returncode, 0, status.stderr)
        self.assertEqual(len(json.loads(status.stdout)), 2)
        history = self.fleet.run_tool("history", "--json")
        self.assertEqual([h["version"] for h in json.loads(history.stdout)["history"]], [1])
        shown = json.loads(self.fleet.run_tool("show", "--json").stdout)
        self.assertEqual(list(shown["objects"]["service"]), ["rooms"])

    def test_tool_explains_a_refused_request(self) -> None:
        caller = CallerStandin([host.callers for host in self.fleet.hosts.values()])
        record = curio.run(caller.send, caller.seeds[0], "POST", "/stays/1", b"{}")
        self.assertEqual((record.seen, record.reason), (Seen.NOT_RUN, "key-required"))
        request = json.loads(record.body)["request"]
        explained = self.fleet.run_tool("explain", request)
        self.assertIn("key-required", explained.stdout)


class StopTest(unittest.TestCase):
    def test_a_host_without_configuration_refuses_and_stops(self) -> None:
        fleet = open_fleet()
        self.addCleanup(fleet.stop)
        fleet.start_platform()
        host = fleet.start_host("h1", "a")
        record = curio.run(CallerStandin([]).send, host.callers, "GET", "/rooms")
        self.assertEqual((record.seen, record.reason), (Seen.NOT_RUN, "no-configuration"))
        host.process.send_signal(signal.SIGTERM)
        self.assertEqual(host.process.wait(timeout=20), 0)

    def test_all_faulty_settings_are_reported(self) -> None:
        fleet = open_fleet()
        path = fleet.directory / "bad.toml"
        path.write_text('[host]\nid = "X!"\nfailure_domain = "a"\n[listen]\ncallers = "h:1"\n')
        result = subprocess.run(
            [sys.executable, "-m", "endivedrift.daemon", "--settings", str(path)],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(result.returncode, 2)
        for field in ("host.id", "host.region", "listen.callers", "listen.peers", "fleet"):
            self.assertIn(field, result.stderr)
