"""A planned stop of one host, in calm: what comes late in it is served or never passed on.

A request that a target runs, and whose caller does not get the answer, is lost to the stop. A host
must not take a request that it cannot wait for.
"""

import unittest

import curio

from standins.fleet import open_fleet
from tests.builders import build_object_set
from tests.late_requests import LateRequest, send_through_stop
from tests.platform_builders import LISTENER_HOST, build_configuration
from tests.platform_path import FIRST_PORT, PlatformFleet

CONNECTIONS = 40
WORK_S = 1.9
"""Time that a target works on a request."""
DEADLINE_MS = 2_500
"""Time that its caller allows, at which a host may answer that it is over."""


class LateRequestTest(unittest.TestCase):
    def check(self, requests: list[LateRequest], ran: set[str], accepts_s: float) -> None:
        """Checks the requests that were sent after the signal.

        Args:
          requests: The requests.
          ran: Names of all requests that a target began to run.
          accepts_s: Time after the signal from which requests come on open connections only.
        """
        late = [r for r in requests if r.is_sent and r.sent_after_s > accepts_s]
        self.assertGreater(len(late), 0, "no request was sent late in the stop")
        self.assertGreater(len([r for r in requests if r.status == 200]), 3)
        lost = [
            r
            for r in requests
            if r.name in ran
            and r.status != 200
            and (not r.status or r.took_s * 1000.0 < DEADLINE_MS)
        ]
        self.assertEqual(lost, [], "passed on to a target, and ended without its answer")

    def test_late_requests_are_passed_on_and_cut_at_the_end_of_a_stop(self) -> None:
        fleet = open_fleet()
        self.addCleanup(fleet.stop)
        fleet.drain_s = 1.8
        fleet.start_platform()
        work_ms = str(round(WORK_S * 1000.0))
        objects = build_object_set(slots=16, queue_length=64)
        objects = fleet.start_targets(objects, "--slots", "16", "--work-ms", work_ms)
        for name, domain in (("h1", "a"), ("h2", "b")):
            fleet.start_host(name, domain)
        self.assertEqual(fleet.publish(objects), 0)
        fleet.wait_version(1)
        fleet.wait_members()
        ip, _, port = fleet.hosts["h1"].callers.rpartition(":")

        def build_request(name: str) -> bytes:
            return (
                f"POST /stays/{name} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n"
                f"x-request-deadline-ms: {DEADLINE_MS}\r\n\r\n"
            ).encode()

        requests = curio.run(
            send_through_stop,
            fleet.hosts["h1"].process,
            (ip, int(port)),
            CONNECTIONS,
            build_request,
        )
        ran = {path.rpartition("/")[2] for _, path, _, _ in fleet.list_runs()}
        self.check(requests, ran, 2.0)

    def test_late_requests_on_the_platform_are_passed_on_and_cut_at_the_end_of_a_stop(self) -> None:
        fleet = PlatformFleet(target_count=16)
        self.addCleanup(fleet.stop)

        async def run() -> list[LateRequest]:
            await fleet.start()
            document = build_configuration(version=9)
            for rule in document["listeners"][0]["rules"]:
                rule["action"]["timeout"] = f"{DEADLINE_MS}ms"
            fleet.store.write("op", "config", document)
            await curio.sleep(2.0)
            host = f"{fleet.subnet}.2"

            def build_request(name: str) -> bytes:
                for target in fleet.targets.values():
                    target.work_s = WORK_S if name.startswith("late") else 0.0
                return (
                    f"POST /book/{name} HTTP/1.1\r\nhost: {LISTENER_HOST}\r\ncontent-length: 0\r\n"
                    f"endivedrift-attempt-id: {name}\r\n"
                    f"endivedrift-deadline-ms: {DEADLINE_MS}\r\n\r\n"
                ).encode()

            return await send_through_stop(
                fleet.hosts[host], (host, FIRST_PORT), CONNECTIONS, build_request
            )

        requests = curio.run(run)
        ran = {name for target in fleet.targets.values() for name in target.ran}
        self.check(requests, ran, 3.3)


if __name__ == "__main__":
    unittest.main()
