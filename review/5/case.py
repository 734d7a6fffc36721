"""One host loses its connections to the store just as entries of upstreams run out there.

The other hosts and the store are sound. A host in touch must send nothing to an upstream later than
`drain` after the store has removed its entry.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    HEARTBEAT_S,
    Deployment,
    NotRunError,
    Upstream,
    build_configuration,
    build_rule,
    end,
    has_trouble,
    run_case,
)

HOST_COUNT = 5
UPSTREAM_COUNT = 14
ROUND_COUNT = 6
ROUND_S = 4.0
DRAIN_S = 2.0
CUT_S = 10.0
"""Time for which an upstream cannot reach the store. Three heartbeats after its begin the store
removes the entry, and at its end the upstream writes it again. At most 3 of 14 are cut off."""
BACK_AFTER_S = CUT_S - 3 * HEARTBEAT_S
"""Time from the removal of an entry until it is back."""
STABLE_WINDOW_S = 3.0
SENDING_PERIOD_S = 0.015
SERVICE = "wuno96b"
PREFIX = "/xapu221/ny95/"


async def play(deployment: Deployment) -> bool:
    """Plays the case and tells whether the rule DRAIN was kept."""
    for number in range(UPSTREAM_COUNT):
        deployment.add_upstream(f"i-{number}", SERVICE, slots=2, work_s=0.1)
    rules = [build_rule("r-book", "unsafe", PREFIX, SERVICE)]
    await deployment.start(build_configuration(7, rules, [SERVICE]))
    await asyncio.sleep(STABLE_WINDOW_S + 3.0)
    store, record = deployment.store, deployment.record
    readers = [a for a, link in deployment.links.items() if store.polling[link.upstream_port]]
    if len(readers) != 2:
        raise NotRunError(f"{len(readers)} hosts read the store")
    others = [address for address in deployment.addresses if address not in readers]
    record.write(f"hosts that wait for changes at the store: {readers}")
    removed: dict[str, float] = {}
    back: dict[str, float] = {}
    returns: list[asyncio.Task] = []
    sending: list[asyncio.Task] = []
    is_over = False

    async def send_all() -> None:
        while not is_over:
            for address in others:
                sending.append(asyncio.create_task(deployment.send(address, "POST", PREFIX + "2f")))
            await asyncio.sleep(SENDING_PERIOD_S)

    async def register_again(upstream: Upstream) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        back[upstream.name] = record.write(f"{upstream.name} reaches the store again")
        await store.put("servers", upstream.name, upstream.build_entry())

    sender = asyncio.create_task(send_all())
    for number in range(ROUND_COUNT):
        gone = deployment.upstreams[f"i-{number}"]
        joining = Upstream(
            f"i-join{number}",
            SERVICE,
            f"{deployment.subnet}.{200 + number}",
            deployment.first_port + 20,
            record,
            work_s=0.1,
        )
        await joining.serve()
        if has_trouble():
            link = deployment.links[readers[0]]
            await link.cut()
            await link.open()
            record.write(f"the connections of {readers[0]} to the store are reset")
        await asyncio.sleep(0.1)
        await store.put("servers", joining.name, joining.build_entry())
        record.write(f"{joining.name} joins")
        await asyncio.sleep(0.1)
        removed[gone.name] = await store.drop("servers", gone.name)
        record.write(f"{gone.name}, cut off from the store, has its entry removed there")
        returns.append(asyncio.create_task(register_again(gone)))
        await asyncio.sleep(ROUND_S)
    await asyncio.gather(*returns)
    is_over = True
    await sender
    answers = dict([await task for task in sending])
    late = 0
    for name, at in removed.items():
        arrivals = [a for a in deployment.upstreams[name].arrivals if a[0] < back[name]]
        assert all(answers[attempt].address in others for _, attempt, _, _ in arrivals)
        late_arrivals = [a for a in arrivals if a[0] > at + DRAIN_S]
        late += len(late_arrivals)
        last = max((a[0] for a in arrivals), default=at)
        record.write(
            f"{name}: last request {last - at:.3f} s after the removal; "
            f"{len(late_arrivals)} later than {DRAIN_S} s, from hosts in touch"
        )
    return not late


def main() -> int:
    """Runs the case; see `run_case`."""
    deployment = Deployment(Path(__file__).resolve().parent, HOST_COUNT)
    return run_case(deployment, lambda: play(deployment), 100.0)


if __name__ == "__main__":
    end(main())
