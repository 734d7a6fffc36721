"""End-to-end test of a request that ends every target that begins to run it."""

import itertools
import json
import unittest
from collections import Counter

import curio

from endivedrift.shell.exchange import ExchangeError
from tests.platform_path import MAX_LATER_ARRIVALS, SPREAD_S, TOLERATED_ENDS, PlatformFleet

HOSTS = 3
TARGETS = 6
DEADLY_CALLS = 15
DEADLY_PAUSE_S = 0.55
AFTERMATH_S = 4.0
FINAL_CALLS = 12


class CrashingRequestTest(unittest.TestCase):
    # Guards against a request that comes again and again, each time ending up to three targets,
    # until none is left to serve the others.
    def test_a_safe_one_is_kept_from_targets_after_its_third_end(self) -> None:
        self.check_deadly_request("/stays/crash/7")

    def test_an_unsafe_one_is_kept_from_targets_after_its_third_end(self) -> None:
        self.check_deadly_request("/book/crash/7")

    def check_deadly_request(self, path: str) -> None:
        """Checks that the deadly request is held back and that no other request is refused."""
        scenario = _Scenario(path)
        try:
            curio.run(scenario.run)
        finally:
            scenario.fleet.stop()
        ends = scenario.fleet.ends
        deadly_statuses = [status for status, _ in scenario.deadly]
        self.assertGreaterEqual(len(ends), TOLERATED_ENDS, deadly_statuses)
        later = [round(delay_s, 1) for delay_s, _ in scenario.fleet.list_later_arrivals(path)]
        figures = (
            f"{len(ends)} targets ended; arrivals more than {SPREAD_S} s after the third end, in"
            f" seconds after it: {later}; answers to the deadly"
            f" request: {deadly_statuses}; to others: {count_statuses(scenario.innocent)}, at the"
            f" end: {count_statuses(scenario.final)}"
        )
        self.assertLessEqual(len(later), MAX_LATER_ARRIVALS, figures)
        quarantined = [
            reply for reply in scenario.innocent + scenario.final if is_quarantined(reply)
        ]
        self.assertEqual(quarantined, [], figures)
        self.assertEqual([status for status, _ in scenario.final], [200] * FINAL_CALLS, figures)


class _Scenario:
    """Sends the deadly request at changing hosts, and others beside it.

    Attributes:
      deadly, innocent, final: Status and body of the answers to the deadly request, to others
        beside it, and to others after it; status 0 is no answer.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.fleet = PlatformFleet(HOSTS, TARGETS)
        self.deadly: list[tuple[int, bytes]] = []
        self.innocent: list[tuple[int, bytes]] = []
        self.final: list[tuple[int, bytes]] = []
        self.is_over = False

    async def run(self) -> None:
        await self.fleet.start()
        others = [await curio.spawn(self.send_innocent(number)) for number in range(HOSTS)]
        calls = []
        for number in range(DEADLY_CALLS):
            calls.append(await curio.spawn(self.send(f"d{number}", self.path, number, self.deadly)))
            await curio.sleep(DEADLY_PAUSE_S)
        for call in calls:
            await call.join()
        self.is_over = True
        for other in others:
            await other.join()
        await curio.sleep(AFTERMATH_S)
        for number in range(FINAL_CALLS):
            await self.send(f"f{number}", f"/stays/{number}", number, self.final)

    async def send_innocent(self, number: int) -> None:
        """Sends requests to a host: every second one is always the same, the others differ."""
        for count in itertools.count():
            if self.is_over:
                break
            path = "/stays/popular" if count % 2 else f"/stays/{number}-{count}"
            await self.send(f"i{number}-{count}", path, number, self.innocent)
            await curio.sleep(0.05)

    async def send(
        self, attempt_id: str, path: str, number: int, replies: list[tuple[int, bytes]]
    ) -> None:
        """Sends one request to a host by number and records its answer."""
        ip = sorted(self.fleet.hosts)[number % HOSTS]
        method, body = ("POST", b"12345") if path.startswith("/book/") else ("GET", b"")
        try:
            reply = await self.fleet.call(ip, method, path, attempt_id, body)
        except ExchangeError:
            replies.append((0, b""))
        else:
            replies.append((reply.status, reply.body))


def count_statuses(replies: list[tuple[int, bytes]]) -> dict[int, int]:
    """Returns how often each status occurs."""
    return dict(Counter(status for status, _ in replies))


def is_quarantined(reply: tuple[int, bytes]) -> bool:
    """Tells whether an answer refuses a request as one that ends targets."""
    status, body = reply
    return status == 503 and json.loads(body or b"{}").get("error") == "quarantined"


if __name__ == "__main__":
    unittest.main()
