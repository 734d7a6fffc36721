"""Upstreams spoil a header of a few answers; each of these requests must still be answered.

The spoiled header is `Keep-Alive`. Its number is too great for a duration of the host.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    Deployment,
    NotRunError,
    build_configuration,
    build_rule,
    end,
    has_trouble,
    run_case,
)

HOST_COUNT = 3
UPSTREAM_COUNT = 4
SPOILING_COUNT = 2
"""Number of upstreams that spoil answers: a share of 0.5."""
SPOIL_EVERY = 50
"""One answer of so many is spoiled: a share of 0.02."""
TROUBLE_S = 5.0
TROUBLE_COUNT = 3
PAUSE_S = 5.0
SPOILED_KEEP_ALIVE = "timeout=9223372036854775807"
SERVICE = "wuno96b"
PREFIX = "/xapu221/ny95/"
ROUTE_TIMEOUT_S = 2.5
ANSWER_SLACK_S = 0.5
MIN_UNANSWERED = 8
"""The rule CONFIG counts only as many requests or more without a final answer."""
CLIENT_DEADLINE_MS = 4000
SENDING_PERIOD_S = 0.01


async def play(deployment: Deployment) -> bool:
    """Plays the case and tells whether the rule CONFIG was kept."""
    for number in range(UPSTREAM_COUNT):
        deployment.add_upstream(f"i-{number}", SERVICE, slots=4, work_s=0.03)
    rules = [build_rule("r-book", "unsafe", PREFIX, SERVICE)]
    await deployment.start(build_configuration(7, rules, [SERVICE]))
    await asyncio.sleep(5.0)
    record = deployment.record
    upstreams = list(deployment.upstreams.values())
    sending: list[asyncio.Task] = []
    for number in range(TROUBLE_COUNT):
        if number:
            await asyncio.sleep(PAUSE_S)
        for upstream in upstreams[: SPOILING_COUNT if has_trouble() else 0]:
            upstream.spoiled_keep_alive = SPOILED_KEEP_ALIVE
            upstream.spoil_every = SPOIL_EVERY
            record.write(f"{upstream.name} begins to spoil some answers")
        until = record.now() + TROUBLE_S
        while record.now() < until:
            for address in deployment.addresses:
                request = deployment.send(address, "POST", PREFIX + "2f", CLIENT_DEADLINE_MS)
                sending.append(asyncio.create_task(request))
            await asyncio.sleep(SENDING_PERIOD_S)
        for upstream in upstreams:
            upstream.spoil_every = 0
    sent = [await task for task in sending]
    ran = {attempt for upstream in upstreams for _, attempt, _, _ in upstream.ran}
    spoiled = {attempt for upstream in upstreams for attempt in upstream.spoiled}
    late = [(i, a) for i, a in sent if a.got_at - a.sent_at > ROUTE_TIMEOUT_S]
    unanswered = [
        i
        for i, a in late
        if not a.status or a.got_at - a.sent_at > ROUTE_TIMEOUT_S + ANSWER_SLACK_S
    ]
    record.write(
        f"{len(sent)} requests were sent; the answers to {len(spoiled)} were spoiled; "
        f"{len(late)} were not answered within their route's timeout of {ROUTE_TIMEOUT_S} s, "
        f"{len(unanswered)} of these not {ANSWER_SLACK_S} s later either; "
        f"{len(ran & set(unanswered))} of the unanswered ones had run"
    )
    if has_trouble() and not spoiled:
        raise NotRunError("no answer was spoiled")
    return len(unanswered) < MIN_UNANSWERED or len(unanswered) * 2 <= len(late)


def main() -> int:
    """Runs the case; see `run_case`."""
    deployment = Deployment(Path(__file__).resolve().parent, HOST_COUNT)
    return run_case(deployment, lambda: play(deployment), 100.0)


if __name__ == "__main__":
    end(main())
