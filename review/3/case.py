"""The hosts that read the store for the others lose their paths to it.

The other hosts reach the store all the while. A request that is sent to one of them more than
`configApply` after the acknowledgement of a configuration must not be handled as only an older one
allows.
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

HOST_COUNT = 5
CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
CUT_S = 5.5
CHANGE_AFTER_S = 0.5
SENDING_PERIOD_S = 0.1
OLD, NEW = "wuno96b", "kafi81c"
PREFIX = "/xapu221/ny95/"


async def play(deployment: Deployment) -> bool:
    """Plays the case and tells whether the rule CONFIG was kept."""
    for number in range(3):
        deployment.add_upstream(f"i-old{number}", OLD)
        deployment.add_upstream(f"i-new{number}", NEW)
    rules = [
        build_rule("r-book", "unsafe", PREFIX, OLD),
        build_rule("r-list", "safe", "/lepu270/", NEW),
    ]
    await deployment.start(build_configuration(7, rules, [OLD, NEW]))
    await asyncio.sleep(STABLE_WINDOW_S + 5.0)
    store, record = deployment.store, deployment.record
    readers = [a for a, link in deployment.links.items() if store.polling[link.upstream_port]]
    others = [address for address in deployment.addresses if address not in readers]
    record.write(f"hosts that wait for changes at the store: {readers}")
    if not others or len(readers) > 2:
        raise NotRunError("all hosts read the store")
    if has_trouble():
        for address in readers:
            await deployment.links[address].cut()
            record.write(f"{address} is cut off from the store for {CUT_S} s")
    cut_at = record.now()
    await asyncio.sleep(CHANGE_AFTER_S)
    rules[0]["action"]["service"] = NEW
    acked_at = await store.put("op", "config", build_configuration(12, rules, [OLD, NEW]))
    record.write(f"version 12 is acknowledged: {PREFIX} moves from {OLD} to {NEW}")
    sending = []
    while record.now() < cut_at + CUT_S - 0.2:
        for address in others:
            sending.append(asyncio.create_task(deployment.send(address, "POST", PREFIX + "2f")))
        await asyncio.sleep(SENDING_PERIOD_S)
    sent = [await task for task in sending]
    if has_trouble():
        for address in readers:
            await deployment.links[address].open()
            record.write(f"{address} reaches the store again")
    ran_by = {
        attempt: upstream.service
        for upstream in deployment.upstreams.values()
        for _, attempt, _, _ in upstream.ran
    }
    late = [(i, a) for i, a in sent if a.sent_at > acked_at + CONFIG_APPLY_S]
    stale = [i for i, _ in late if ran_by.get(i) == OLD]
    record.write(
        f"{len(late)} requests were sent to hosts in touch more than {CONFIG_APPLY_S} s after the "
        f"acknowledgement; {len(stale)} of them were run by {OLD}"
    )
    if not late:
        raise NotRunError("no request was sent late enough")
    return not stale


def main() -> int:
    """Runs the case; see `run_case`."""
    deployment = Deployment(Path(__file__).resolve().parent, HOST_COUNT)
    return run_case(deployment, lambda: play(deployment), 100.0)


if __name__ == "__main__":
    end(main())
