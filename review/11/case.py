"""Case 11: an upstream that leaves at the end of its probation gets requests as before."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_3 import DRAIN_S, ZONES, Fleet, Message, Reply, Upstream, build_configuration, run_case

SERVICE = "dele69a"
ZONE = "rabat-a"
UPSTREAMS = 9
RATE_PER_S = 54.0
SAFE_SHARE = 0.6
GREY_S = 6.0
GREY_FAILED, GREY_OF = 7, 10
"""Requests that a grey upstream fails, of each so many."""
SILENCE_S = 1.5
"""Time without a request by which an upstream sees that it was taken out of use."""
LEAVES_AT = 5
"""Number of the answer after that with which it leaves."""
STAYS_S = 8.0
"""Time for which it serves after it has reported that it is draining."""
ROUNDS = 3
ROUND_S = 22.0


class Leaver:
    """An upstream that fails some of its requests for a while, recovers, and leaves later."""

    def __init__(self, fleet: Fleet, upstream: Upstream, is_grey: bool) -> None:
        """Takes the place of the usual answers of an upstream."""
        self.fleet, self.upstream = fleet, upstream
        self.grey_until = fleet.record.now() + GREY_S if is_grey else 0.0
        self.needs_silence = is_grey
        self.failed = 0
        self.count = 0
        self.last_at = fleet.record.now()
        self.leaving: asyncio.Task[None] | None = None
        upstream.behave = self.behave

    async def behave(
        self, upstream: Upstream, message: Message
    ) -> tuple[int, dict[str, str], bytes] | None:
        """Fails a request while grey; decides to leave at the end of another one."""
        now = self.fleet.record.now()
        silence, self.last_at = now - self.last_at, now
        if now < self.grey_until:
            self.failed += 1
            if (self.failed - 1) % GREY_OF < GREY_FAILED:
                return 500, {}, b"failed"
            return None
        if silence > SILENCE_S:
            self.needs_silence, self.count = False, 0
        self.count += 1
        if self.leaving is None and not self.needs_silence and self.count == LEAVES_AT:
            upstream.is_leaving = True
            self.fleet.record.write(f"{upstream.name} leaves")
            self.leaving = asyncio.create_task(self._report())
        return None

    async def _report(self) -> None:
        await asyncio.sleep(0.005)
        await self.fleet.drain(self.upstream)


async def send_load(fleet: Fleet, replies: list[Reply], stop: asyncio.Event) -> None:
    """Sends requests of clients of one zone, each on a new connection."""
    addresses: list[str] = []
    asked_at = -1.0
    tasks: set[asyncio.Task[None]] = set()

    async def send(address: str) -> None:
        is_safe = random.random() < SAFE_SHARE
        path = f"/{'check' if is_safe else 'book'}/{random.randrange(10**9)}"
        replies.append(await fleet.call(address, "GET" if is_safe else "POST", path, 2000))

    while not stop.is_set():
        if fleet.record.now() - asked_at > 1.0:
            addresses = await fleet.resolve(ZONE) or addresses
            asked_at = fleet.record.now()
        task = asyncio.create_task(send(random.choice(addresses)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(RATE_PER_S))
    await asyncio.gather(*tasks)


async def play_round(fleet: Fleet, is_grey: bool) -> Upstream:
    """Lets one upstream turn grey, recover and leave, while another takes its place."""
    upstream = fleet.upstreams[0]
    leaver = Leaver(fleet, upstream, is_grey)
    until = fleet.record.now() + ROUND_S
    while leaver.leaving is None and fleet.record.now() < until:
        await asyncio.sleep(0.05)
    if leaver.leaving is None:
        fleet.record.write(f"{upstream.name} was not taken out of use; it leaves now")
        await fleet.drain(upstream)
    else:
        await leaver.leaving
    await asyncio.sleep(STAYS_S)
    await fleet.take_away(upstream)
    await fleet.add(Upstream(fleet.record, SERVICE, upstream.zone, f"{fleet.subnet}.1"))
    return upstream


def count_late(fleet: Fleet, upstream: Upstream, replies: list[Reply]) -> int:
    """Counts the requests that reached an upstream too late after its report was accepted.

    They were sent to a host and passed on by one without any disruption, later than `drain` after
    the store had accepted the report.
    """
    assert upstream.draining_at is not None
    known = {reply.attempt: reply for reply in replies}
    limit = upstream.draining_at + DRAIN_S
    late = [a.attempt for a in upstream.arrivals if a.at > limit]
    late = [attempt for attempt in late if attempt in known and known[attempt].sent_at > limit]
    lost = [attempt for attempt in late if known[attempt].status != 200]
    text = (
        f"{upstream.name}: {len(late)} requests reached it over {DRAIN_S:g} s after the store had "
        f"accepted that it is draining; {len(lost)} of them were not served"
    )
    print(text)
    fleet.record.write(text)
    return len(late)


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Plays rounds until the rule is broken; tells whether it was."""
    ip = f"{fleet.subnet}.1"
    fleet.upstreams = [
        Upstream(fleet.record, SERVICE, ZONES[number % len(ZONES)], ip)
        for number in range(UPSTREAMS)
    ]
    await fleet.start(build_configuration(11, SERVICE))
    replies: list[Reply] = []
    stop = asyncio.Event()
    load = asyncio.create_task(send_load(fleet, replies, stop))
    await asyncio.sleep(4.0)
    late = 0
    for _ in range(ROUNDS):
        late = count_late(fleet, await play_round(fleet, trouble), replies)
        if late:
            break
    stop.set()
    await load
    served = sum(1 for reply in replies if reply.status == 200)
    print(f"{len(replies)} requests sent, {served} served")
    return late > 0


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(play, Path(__file__).resolve().parent, trouble))
