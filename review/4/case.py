"""A configuration moves a route away from a service and the next one moves it back.

Meanwhile one upstream of the service leaves and says so in its answers, while its path to the store
is cut. A host that has passed such an answer on must send it nothing more after `drain`.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    HEARTBEAT_S,
    Deployment,
    NotRunError,
    build_configuration,
    build_rule,
    end,
    has_trouble,
    run_case,
)

HOST_COUNT = 3
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
EXPIRY_S = 3 * HEARTBEAT_S
"""Time after the last heartbeat of an upstream until the store removes its entry."""
SENDING_PERIOD_S = 0.04
FIRST, SECOND = "wuno96b", "kafi81c"
FIRST_COUNT = 5
"""One of so many upstreams of its service leaves while its path to the store is cut."""
PREFIX = "/xapu221/ny95/"


async def play(deployment: Deployment) -> bool:
    """Plays the case and tells whether the rule DRAIN was kept."""
    for number in range(FIRST_COUNT):
        deployment.add_upstream(f"i-first{number}", FIRST, slots=5, work_s=0.3)
    for number in range(3):
        deployment.add_upstream(f"i-second{number}", SECOND)
    rules = [
        build_rule("r-book", "unsafe", PREFIX, FIRST),
        build_rule("r-list", "safe", "/lepu270/", SECOND),
    ]
    await deployment.start(build_configuration(7, rules, [FIRST, SECOND]))
    await asyncio.sleep(STABLE_WINDOW_S + 3.0)
    store, record = deployment.store, deployment.record
    leaver = deployment.upstreams["i-first0"]
    sending: list[asyncio.Task] = []

    async def send_for(duration_s: float) -> None:
        until = record.now() + duration_s
        while record.now() < until:
            for address in deployment.addresses:
                sending.append(asyncio.create_task(deployment.send(address, "POST", PREFIX + "2f")))
            await asyncio.sleep(SENDING_PERIOD_S)

    await send_for(0.6)
    leaver.is_leaving = True
    leaving_at = record.write(f"{leaver.name} leaves and says so in its answers")
    if has_trouble():
        record.write(f"{leaver.name} cannot reach the store; its entry there stays as it was")
    else:
        await store.put("servers", leaver.name, leaver.build_entry("draining"))
    await send_for(0.6)
    rules[0]["action"]["service"] = SECOND
    await store.put("op", "config", build_configuration(9, rules, [FIRST, SECOND]))
    record.write(f"version 9 is acknowledged: {PREFIX} moves from {FIRST} to {SECOND}")
    await send_for(2.2)
    rules[0]["action"]["service"] = FIRST
    await store.put("op", "config", build_configuration(14, rules, [FIRST, SECOND]))
    record.write(f"version 14 is acknowledged: {PREFIX} moves back to {FIRST}")
    await send_for(leaving_at + EXPIRY_S - 0.2 - record.now())
    if has_trouble():
        await store.drop("servers", leaver.name)
        record.write(f"the store removes the entry of {leaver.name}")
    sent = [await task for task in sending]
    return judge(deployment, sent)


def judge(deployment: Deployment, sent: list) -> bool:
    """Tells whether each host kept to `drain` after it had passed on that the upstream leaves."""
    record, leaver = deployment.record, deployment.upstreams["i-first0"]
    passed_on: dict[str, float] = {}
    for _, answer in sent:
        if "server-leaving" in answer.headers:
            at = min(answer.got_at, passed_on.get(answer.address, answer.got_at))
            passed_on[answer.address] = at
    if not passed_on and has_trouble():
        raise NotRunError("no host passed on that the upstream leaves")
    for address, at in passed_on.items():
        record.write(f"{address} first passed on Server-Leaving at {at:.3f}")
    answers = dict(sent)
    late = [
        attempt
        for _, attempt, _, _ in leaver.arrivals
        if (a := answers[attempt]).address in passed_on
        and a.sent_at > passed_on[a.address] + DRAIN_S
    ]
    record.write(
        f"{len(late)} requests that were sent more than {DRAIN_S} s later to such a host reached "
        f"{leaver.name} from it"
    )
    return not late


def main() -> int:
    """Runs the case; see `run_case`."""
    deployment = Deployment(Path(__file__).resolve().parent, HOST_COUNT)
    return run_case(deployment, lambda: play(deployment), 100.0)


if __name__ == "__main__":
    end(main())
