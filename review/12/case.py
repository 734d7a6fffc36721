"""Case 12: an announcement is forgotten when the entry goes while its service has no route."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_3 import (
    DRAIN_S,
    ZONES,
    CaseError,
    Fleet,
    Reply,
    Upstream,
    build_configuration,
    run_case,
)

SERVICE, OTHER = "xano55b", "gowu98c"
RATE_PER_S = 30.0
WORK_S = 0.39
UPSTREAMS = 10
SAFE_SHARE = 0.5
LEAVING_COUNT = 2
"""Upstreams of ten that leave: the site's `scale_in` has shares of 0.13 to 0.25."""
LEAVING_S = 1.5
"""Time from then until the configuration that routes to another service."""
DOWN_S = 4.5
"""Time for which the store is unavailable."""
BACK_S = 1.2
"""Time from its return to the configuration that routes to the service again."""
EXTRA_S = 0.1
"""Time for which an upstream that leaves serves beyond `drain`."""


async def send_load(fleet: Fleet, zone: str, replies: list[Reply], stop: asyncio.Event) -> None:
    """Sends requests of the clients of one zone, each on a new connection."""
    addresses: list[str] = []
    asked_at = -1.0
    tasks: set[asyncio.Task[None]] = set()

    async def send(address: str) -> None:
        is_safe = random.random() < SAFE_SHARE
        path = f"/{'check' if is_safe else 'book'}/{random.randrange(10**9)}"
        replies.append(await fleet.call(address, "GET" if is_safe else "POST", path, 2500))

    while not stop.is_set():
        if fleet.record.now() - asked_at > 1.0:
            addresses = await fleet.resolve(zone) or addresses
            asked_at = fleet.record.now()
        task = asyncio.create_task(send(random.choice(addresses)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(RATE_PER_S / len(ZONES)))
    await asyncio.gather(*tasks)


async def end_later(fleet: Fleet, upstream: Upstream) -> None:
    """Ends an upstream a little later than `drain` after its entry was removed."""
    await asyncio.sleep(DRAIN_S + EXTRA_S)
    await upstream.end()
    fleet.record.write(f"{upstream.name} has ended")


def list_marked(replies: list[Reply]) -> list[Reply]:
    """Lists the answers with `Server-Leaving` that hosts have passed on."""
    return [reply for reply in replies if reply.headers.get("server-leaving") == "1"]


def count_late(fleet: Fleet, upstream: Upstream, replies: list[Reply]) -> int:
    """Counts the requests that reached an upstream too late after a host knew that it leaves.

    They were sent later than `drain` after the host to which they were sent had passed on an
    answer with `Server-Leaving` of that upstream.
    """
    passed_at: dict[str, float] = {}
    for reply in sorted(list_marked(replies), key=lambda r: r.ended_at):
        if reply.headers.get("endivedrift-instance-id") == upstream.name:
            passed_at.setdefault(reply.host, reply.ended_at)
    known = {reply.attempt: reply for reply in replies}
    late = []
    for arrival in upstream.arrivals:
        reply = known.get(arrival.attempt)
        if reply is not None and reply.host in passed_at:
            delay = reply.sent_at - passed_at[reply.host]
            if delay > DRAIN_S:
                late.append(f"{delay:.1f} s (status {reply.status})")
    text = (
        f"{upstream.name}: {len(late)} requests reached it over {DRAIN_S:g} s after the host that "
        f"sent them on had passed on that it leaves: {', '.join(late) or 'none'}"
    )
    print(text)
    fleet.record.write(text)
    return len(late)


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Routes a service away and back while two of its upstreams leave; tells whether it failed."""
    ip = f"{fleet.subnet}.1"
    fleet.upstreams = [
        Upstream(fleet.record, service, ZONES[number % 3], ip, work_s=WORK_S)
        for service in (SERVICE, OTHER)
        for number in range(UPSTREAMS)
    ]
    own = [upstream for upstream in fleet.upstreams if upstream.service == SERVICE]
    await fleet.start(build_configuration(11, SERVICE, (OTHER,)))
    replies: list[Reply] = []
    stop = asyncio.Event()
    loads = [asyncio.create_task(send_load(fleet, zone, replies, stop)) for zone in ZONES]
    await asyncio.sleep(3.0)
    leaving = own[:LEAVING_COUNT]
    for upstream in leaving:
        fleet.record.write(f"{upstream.name} leaves")
        upstream.is_leaving = True
    await asyncio.sleep(LEAVING_S)
    await fleet.store.write("op", "config", build_configuration(13, OTHER, (SERVICE,)))
    fleet.record.write("routes lead to the other service")
    await asyncio.sleep(1.0)
    if trouble:
        fleet.record.write("the store is down")
        await fleet.store.set_down(True)
    removals = [asyncio.create_task(fleet.remove_entry(upstream)) for upstream in leaving]
    await asyncio.sleep(DOWN_S)
    if trouble:
        await fleet.store.set_down(False)
        fleet.record.write("the store is back")
    await asyncio.gather(*removals)
    ends = [asyncio.create_task(end_later(fleet, upstream)) for upstream in leaving]
    await asyncio.sleep(BACK_S)
    await fleet.store.write("op", "config", build_configuration(18, SERVICE, (OTHER,)))
    fleet.record.write("routes lead to the service again")
    await asyncio.sleep(DRAIN_S + 2.0)
    stop.set()
    await asyncio.gather(*loads, *ends)
    served = sum(1 for reply in replies if reply.status == 200)
    print(f"{len(replies)} requests sent, {served} served")
    if not served:
        raise CaseError("no request was served")
    return sum([count_late(fleet, upstream, replies) for upstream in leaving]) > 0


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(play, Path(__file__).resolve().parent, trouble))
