"""Tests caller accounts on the platform's interface, with real hosts and stand-ins."""

import unittest
from collections.abc import Awaitable, Callable

import curio

from endivedrift.core import Headers
from tests.platform_builders import build_configuration, build_rule, build_tenant
from tests.platform_path import PlatformFleet

KEY, OTHER_KEY = "thhkmgjqnirth5mgjy5r", "cpihhacruddedev3nax7"
CONFIG_APPLY_S = 2.5
"""Time within which a configuration comes into force."""


def build_document(version: int, *tenants: dict[str, object]) -> dict[str, object]:
    """Builds a configuration with one route that needs a key and one that does not."""
    public = {**build_rule("open", "safe", "/open/"), "public": True}
    document = build_configuration(version, tenants=list(tenants))
    document["listeners"][0]["rules"].append(public)
    return document


class AccountsPathTest(unittest.TestCase):
    def run_scenario(self, scenario: Callable[[PlatformFleet, str], Awaitable[None]]) -> None:
        fleet = PlatformFleet()

        async def run() -> None:
            await fleet.start()
            host = f"{fleet.subnet}.2"
            fleet.store.write("op", "config", build_document(5, build_tenant("acme", KEY)))

            async def is_in_force() -> bool:
                return (await fleet.call(host, "GET", "/stays/1", "probe")).status == 401

            await fleet.poll_until(is_in_force)
            await scenario(fleet, host)

        try:
            curio.run(run)
        finally:
            fleet.stop()

    def test_targets_are_told_the_account_and_never_see_a_key(self) -> None:
        """Guards against keys that reach targets or logs, and accounts that callers choose."""

        async def scenario(fleet: PlatformFleet, host: str) -> None:
            forged: Headers = (
                (b"x-api-key", KEY.encode()),
                (b"Endivedrift-Tenant", b"other"),
                (b"endivedrift-tenant", b"third"),
                (b"endivedrift_tenant", b"fourth"),
            )
            reply = await fleet.call(host, "GET", "/stays/1", "a1", more_headers=forged)
            self.assertEqual(reply.status, 200)
            opened = await fleet.call(host, "GET", "/open/1", "a2", more_headers=forged[1:])
            self.assertEqual(opened.status, 200)
            seen = {
                attempt: headers
                for target in fleet.targets.values()
                for attempt, headers in target.ran_headers.items()
            }
            self.assertEqual(seen["a1"]["endivedrift-tenant"], "acme")
            for headers in seen.values():
                self.assertNotIn("x-api-key", headers)
                self.assertNotIn("endivedrift_tenant", headers)
            self.assertNotIn("endivedrift-tenant", seen["a2"])
            await curio.sleep(0.3)
            for log in fleet.directory.glob("*.log"):
                self.assertNotIn(KEY, log.read_text("utf-8"))

        self.run_scenario(scenario)

    def test_requests_without_a_known_key_are_refused_and_do_not_run(self) -> None:
        async def scenario(fleet: PlatformFleet, host: str) -> None:
            cases: list[Headers] = [
                (),
                ((b"x-api-key", b""),),
                ((b"x-api-key", OTHER_KEY.encode()),),
                ((b"x-api-key", KEY.encode()), (b"x-api-key", KEY.encode())),
                ((b"x-api-key", f"Bearer {KEY}".encode()),),
                ((b"endivedrift-tenant", b"acme"),),
            ]
            for number, headers in enumerate(cases):
                reply = await fleet.call(
                    host, "POST", "/book/1", f"n{number}", more_headers=headers
                )
                self.assertEqual(reply.status, 401, headers)
            ran = {attempt for target in fleet.targets.values() for attempt in target.ran}
            self.assertFalse([attempt for attempt in ran if attempt.startswith("n")])

        self.run_scenario(scenario)

    def test_a_key_is_withdrawn_and_added_within_the_time_of_a_configuration(self) -> None:
        """Guards against withdrawn keys that still serve, and added ones that do not yet."""

        async def scenario(fleet: PlatformFleet, host: str) -> None:
            fleet.store.write("op", "config", build_document(7, build_tenant("acme", OTHER_KEY)))
            await curio.sleep(CONFIG_APPLY_S)
            old = await fleet.call(
                host, "GET", "/stays/1", "o", more_headers=((b"x-api-key", KEY.encode()),)
            )
            new = await fleet.call(
                host, "GET", "/stays/1", "w", more_headers=((b"x-api-key", OTHER_KEY.encode()),)
            )
            self.assertEqual((old.status, new.status), (401, 200))

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
