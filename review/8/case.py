"""An operator's change of one time-out keeps the whole configuration out of force."""

import asyncio
import secrets
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    CONFIG_APPLY_S,
    FRONT,
    ZONES,
    Deployment,
    Record,
    build_configuration,
    build_rule,
    run_case,
    send,
)

OLD_SERVICE, NEW_SERVICE, SLOW_SERVICE = "books1a", "desk2b", "exports3c"
USUAL_TIMEOUT, LONG_TIMEOUT = "2000ms", "180s"
BEFORE_S, AFTER_S = 5.0, 8.0
PERIOD_S = 0.2


def build_first() -> dict:
    """Builds the configuration that is in force at the start."""
    rules = [
        build_rule("book", "unsafe", "/book/", OLD_SERVICE, USUAL_TIMEOUT),
        build_rule("past", "unsafe", "/past/", OLD_SERVICE, USUAL_TIMEOUT),
        build_rule("export", "safe", "/export/", SLOW_SERVICE, USUAL_TIMEOUT),
    ]
    return build_configuration(7, rules, [OLD_SERVICE, SLOW_SERVICE])


def build_second(export_timeout: str) -> dict:
    """Builds the change: one route is moved, one dropped, one added, one gets a time-out."""
    rules = [
        build_rule("book", "unsafe", "/book/", NEW_SERVICE, USUAL_TIMEOUT),
        build_rule("desk", "unsafe", "/desk/", NEW_SERVICE, USUAL_TIMEOUT),
        build_rule("export", "safe", "/export/", SLOW_SERVICE, export_timeout),
    ]
    return build_configuration(9, rules, [OLD_SERVICE, NEW_SERVICE, SLOW_SERVICE])


async def send_all(deployment: Deployment, record: Record, seconds: float) -> list[tuple]:
    """Sends a request on each route to each host at a steady pace."""
    sent = []
    until = time.monotonic() + seconds

    async def send_one(ip: str, path: str, method: str) -> None:
        attempt = secrets.token_hex(8)
        reply = await send(f"{ip}:{FRONT}", path, method, b"x" * 200, attempt)
        sent.append((attempt, path, ip, reply.status))
        record.write(f"{method} {path} {attempt} at {ip}: status {reply.status}")

    tasks = []
    while time.monotonic() < until:
        for ip in deployment.hosts:
            for path, method in (
                ("/book/1", "POST"),
                ("/past/1", "POST"),
                ("/desk/1", "POST"),
                ("/export/1", "GET"),
            ):
                tasks.append(asyncio.create_task(send_one(ip, path, method)))
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*tasks)
    return sent


async def play(deployment: Deployment, record: Record, with_trouble: bool) -> bool:
    """Plays the case; tells whether the rule held."""
    deployment.start_store()
    deployment.store.write("op", "config", build_first())
    for service in (OLD_SERVICE, NEW_SERVICE, SLOW_SERVICE):
        for zone in ZONES:
            deployment.start_upstream(service, zone, "--slots=8", "--work-ms=10")
    deployment.start_hosts()
    await deployment.await_ready()
    before = await send_all(deployment, record, BEFORE_S)
    served = sum(1 for _, path, _, status in before if path != "/desk/1" and status == 200)
    expected = sum(1 for _, path, _, _ in before if path != "/desk/1")
    if served < 0.9 * expected:
        raise RuntimeError(f"{served} of {expected} requests were served before the change")
    timeout = LONG_TIMEOUT if with_trouble else USUAL_TIMEOUT
    deployment.store.write("op", "config", build_second(timeout))
    record.write(f"version 9 is acknowledged; the time-out of /export/ is {timeout}")
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    after = await send_all(deployment, record, AFTER_S)
    runs = deployment.list_runs()
    run_by_old = dropped = missing = 0
    for attempt, path, _, status in after:
        services = {run["service"] for run in runs.get(attempt, [])}
        run_by_old += path == "/book/1" and OLD_SERVICE in services
        dropped += path == "/past/1" and bool(services)
        missing += path == "/desk/1" and status == 404
    summary = (
        f"of {len(after)} requests sent later than configApply: {run_by_old} run by the old "
        f"service, {dropped} run with a dropped route, {missing} refused with 404 though the "
        "route is there"
    )
    record.write(summary)
    print(summary)
    return not (run_by_old or dropped or missing)


if __name__ == "__main__":
    run_case(FOLDER, play)
