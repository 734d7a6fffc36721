"""Plays faults between hosts and the store on real processes, and checks when changes are in force.

`python -m tests.late_changes --seeds 1 5` plays each fault once for each seed, in real time, on 44
hosts in three failure domains; `--build DIRECTORY` plays another build. Each host reaches the store
and the other hosts through proxies. Configurations move a route, add one, drop one, change the
shares of one and the time limit of one. What callers see at each host shows which configurations
may be in force there, and each sense of the rule is counted apart.
"""

import argparse
import json
import random
import signal
import sys
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import curio

from endivedrift.shell.exchange import ExchangeError
from standins._http_server import StandinReply, StandinRequest, serve_http
from standins.platform_store import StoreFaults, StoreSnapshot, StoreStandin
from standins.platform_target import PlatformTargetStandin
from standins.proxy import LinkFault, Proxy
from tests.linked_host import LINKS_VARIABLE, PROXY_OFFSET
from tests.platform_builders import (
    build_cluster,
    build_configuration,
    build_entry,
    build_node_file,
    build_rule,
)
from tests.platform_path import FIRST_PORT, ROOT, STORE_PORT, PlatformFleet

DOMAINS = ("kgn-a", "kgn-b", "spt-a")
HOSTS = 44
SERVICES = {"slots": 6, "bookings": 14, "panels": 14}
"""Number of targets of each service."""
ORDER = tuple(SERVICES)
TARGET_PORT = 20_000
STORE_PROXY_PORT = 22_000
PEER_PORT = FIRST_PORT + 4
CONFIG_APPLY_S = 2.0
DOWNGRADE_SLACK_S = 0.25
STABLE_WINDOW_S = 3.0
PROBE_PAUSE_S = 0.25
SLOW_PROBE_PAUSE_S = 3.0
SLOW_WORK_S = 1.2
SLOW_LIMITS_MS = (600, 1_800)
HELD_SLACK_S = 0.5
WEIGHTS = ((80, 20), (20, 80))
MAX_SHARE_DIFFERENCE = 0.2
MIN_SPLIT_REQUESTS = 200
MIN_HELD, HELD_SHARE = 8, 0.25
MIN_ADDED, ADDED_SHARE = 20, 0.25
STORE_LAG_S = 3.0
SETTLING_S = 5.0
WATCH_PERIOD_S = 0.05
MAX_STALL_S = 0.5
"""Time for which a play itself may stand still; after a longer one it shows nothing."""
EVERYWHERE = ""
"""Stands for the store in the list of disruptions: no host is in touch meanwhile."""


@dataclass(frozen=True, slots=True)
class Probe:
    """One request and what came of it; times are in seconds of the monotonic clock.

    `service` is the service that ran it, empty if none did; `status` is 0 if there was no answer.
    """

    host: str
    path: str
    sent_at: float
    ended_at: float
    status: int
    service: str


class SlowPathTarget(PlatformTargetStandin):
    """A target that works for longer on requests below /slow/."""

    async def handle(self, request: StandinRequest) -> StandinReply:
        """Handles one request."""
        if request.path.startswith("/slow/"):
            await curio.sleep(SLOW_WORK_S)
        return await PlatformTargetStandin.handle(self, request)


def build_version(version: int, number: int) -> dict[str, Any]:
    """Builds the configuration that is the `number`-th one."""
    weights = WEIGHTS[number % 2]
    split = [{"service": s, "weight": w} for s, w in zip(ORDER[1:], weights, strict=True)]
    rules = [
        build_rule("first", "safe", "/first/", service=ORDER[1]),
        build_rule("moved", "safe", "/moved/", service=find_moved_service(number)),
        build_rule("split", "safe", "/split/", trafficSplit=split),
        build_rule(
            "slow", "safe", "/slow/", service=ORDER[1], timeout=f"{find_slow_limit_ms(number)}ms"
        ),
        *(
            build_rule(f"added-{n}", "safe", f"/added-{n}/", service=ORDER[2])
            for n in (number, number - 1)
        ),
    ]
    document = build_configuration(version)
    document["listeners"][0]["rules"] = rules
    document["clusters"] = [build_cluster(name) for name in ORDER]
    return document


def find_moved_service(number: int) -> str:
    """Returns the service of the moved route in the `number`-th configuration."""
    return ORDER[number % len(ORDER)]


def find_slow_limit_ms(number: int) -> int:
    """Returns the time limit of the slow route in the `number`-th configuration."""
    return SLOW_LIMITS_MS[number % 2]


def allows(number: int, probe: Probe) -> bool:
    """Tells whether the `number`-th configuration allows what was done with a request."""
    name = probe.path.split("/")[1]
    if name == "moved" and probe.service:
        return find_moved_service(number) == probe.service
    if name.startswith("added-"):
        has_route = int(name.removeprefix("added-")) in (number, number - 1)
        if probe.service:
            return has_route
        if probe.status == 404:
            return not has_route
    return name.startswith("added-") or probe.status != 404


class LateChangesFleet(PlatformFleet):
    """Runs 44 hosts with proxies to the store and between hosts.

    Attributes:
      rng: Determines the faults.
      store_links, peer_links: The proxies of each host, to the store and for calls of others to it.
      acknowledged: When each configuration was accepted, in their order.
      probes: What callers saw.
      disruptions: Host, or EVERYWHERE, with start and end of each disruption.
      waiting: Number of waits at the store in progress, by host.
      lagging: Hosts that the store answers from the past.
      longest_stall_s: Longest time for which callers, store and targets themselves stood still.
    """

    def __init__(self, seed: int, build: Path = ROOT, hosts: int = HOSTS) -> None:
        super().__init__(hosts, 0)
        self.rng = random.Random(seed)
        self.build = build
        self.sources = {f"{self.subnet}.{2 + number}": build for number in range(hosts)}
        self.store_links: dict[str, Proxy] = {}
        self.peer_links: dict[str, Proxy] = {}
        self.acknowledged: list[float] = []
        self.probes: list[Probe] = []
        self.disruptions: list[tuple[str, float, float]] = []
        self.waiting: Counter[str] = Counter()
        self.lagging: set[str] = set()
        self.longest_stall_s = 0.0
        self.services: dict[str, str] = {}
        self._past = StoreStandin()
        self._snapshots: deque[tuple[float, StoreSnapshot]] = deque()
        self._probe_count = 0
        self._links_file = self.directory / "links.json"
        self.set_links()

    def set_links(self, loss: float = 0.0, cut: frozenset[str] = frozenset()) -> None:
        """Sets the share of lost datagrams, and the hosts that none reaches or leaves."""
        temporary = self._links_file.with_suffix(".new")
        temporary.write_text(json.dumps({"loss": loss, "cut": sorted(cut)}), "utf-8")
        temporary.rename(self._links_file)

    async def start(self) -> None:
        """Starts store, targets and hosts and waits until all hosts are ready."""
        outside = f"{self.subnet}.1"
        self.write_version()
        number = 0
        for service, count in SERVICES.items():
            for _ in range(count):
                await self._start_target(service, number)
                number += 1
        for number in range(self.host_count):
            ip = f"{self.subnet}.{2 + number}"
            handle = partial(self._answer_store_call, ip)
            port = STORE_PORT + 10 + number
            await curio.spawn(serve_http(outside, port, handle), daemon=True)
            link = Proxy((outside, STORE_PROXY_PORT + number), (outside, port))
            peer_link = Proxy((ip, PEER_PORT + PROXY_OFFSET), (ip, PEER_PORT))
            self.store_links[ip], self.peer_links[ip] = link, peer_link
            await curio.spawn(link.serve(), daemon=True)
            await curio.spawn(peer_link.serve(), daemon=True)
            self.start_host(ip)
        await curio.spawn(self._keep_snapshots(), daemon=True)
        for ip in self.hosts:
            await self.poll_until(partial(self.is_ready, ip))

    async def _start_target(self, service: str, number: int) -> None:
        ip, name = f"{self.subnet}.1", f"i-{1 + number}"
        target = self.targets[name] = SlowPathTarget(name)
        self.services[name] = service
        address = f"{ip}:{TARGET_PORT + number}"
        await curio.spawn(serve_http(ip, TARGET_PORT + number, target.handle), daemon=True)
        entry = build_entry(address)
        entry["info"] |= {"service": service, "zone": DOMAINS[number % len(DOMAINS)], "slots": 8}
        self.store.write("servers", name, entry)

    def build_node_text(self, ip: str) -> str:
        """Returns the text of the node file of a host."""
        number = int(ip.rpartition(".")[2]) - 2
        seeds = [f"{self.subnet}.{2 + n}" for n in range(3)]
        store = f"{self.subnet}.1:{STORE_PROXY_PORT + number}"
        domain = DOMAINS[number % len(DOMAINS)]
        text = build_node_file(ip, store, seeds, FIRST_PORT, domain, DOMAINS)
        return text.replace("[bounds]", '[bounds]\nconfigApply = "2000ms"\ndrain = "2000ms"')

    def launch(self, ip: str, node_file: Path) -> None:
        """Starts the process of a host of the played build, with links that may fail."""
        self.run_host(
            ip,
            node_file,
            str(ROOT / "tests" / "linked_host.py"),
            PYTHONPATH=str(self.build),
            **{LINKS_VARIABLE: str(self._links_file)},
        )

    async def _answer_store_call(self, ip: str, request: StandinRequest) -> StandinReply:
        store = self._past if ip in self.lagging else self.store
        waits = "rows-feed" in request.path and "waitMs=0" not in request.query
        self.waiting[ip] += waits
        try:
            return await store.handle(request)
        finally:
            self.waiting[ip] -= waits

    async def _keep_snapshots(self) -> None:
        """Keeps the state of the store of some seconds ago."""
        while True:
            now = time.monotonic()
            self._snapshots.append((now, self.store.take_snapshot()))
            while len(self._snapshots) > 1 and now - self._snapshots[1][0] >= STORE_LAG_S:
                self._snapshots.popleft()
            past = self._snapshots[0][1]
            self._past.rows, self._past.version = past.rows, past.version
            await curio.sleep(0.1)

    async def watch_stalls(self) -> None:
        """Measures how late the tasks of this process run."""
        while True:
            due = time.monotonic() + WATCH_PERIOD_S
            await curio.sleep(WATCH_PERIOD_S)
            self.longest_stall_s = max(self.longest_stall_s, time.monotonic() - due)

    def write_version(self) -> None:
        """Writes the next configuration; the store accepts it at once."""
        number = len(self.acknowledged)
        self.store.write("op", "config", build_version(3 + 2 * number, number))
        self.acknowledged.append(time.monotonic())

    def list_replacements(self) -> list[float]:
        """Returns when each configuration was replaced by the next one."""
        return [*self.acknowledged[1:], float("inf")]

    def list_waiting(self) -> list[str]:
        """Returns the hosts that wait at the store for changes."""
        return sorted(ip for ip, count in self.waiting.items() if count > 0)

    def disrupt(self, hosts: list[str], began: float) -> None:
        """Records that these hosts were disrupted from a time until now."""
        now = time.monotonic()
        self.disruptions += [(ip, began, now) for ip in hosts]

    async def probe_host(self, ip: str, until: float) -> None:
        """Sends requests to a host one after the other, on all kinds of routes by turns."""
        await curio.sleep(PROBE_PAUSE_S * random.random())
        while time.monotonic() < until:
            for name in ("moved", "added", "split", "dropped", "first"):
                number = len(self.acknowledged) - 1
                if name == "added":
                    name = f"added-{number}"
                elif name == "dropped":
                    name = f"added-{number - 2}"
                await self._probe(ip, f"/{name}/")
                await curio.sleep(PROBE_PAUSE_S * random.uniform(0.5, 1.5))

    async def probe_slow_route(self, ip: str, until: float) -> None:
        """Sends requests to a host that last longer than one of the time limits of their route."""
        await curio.sleep(SLOW_PROBE_PAUSE_S * random.random())
        while time.monotonic() < until:
            await self._probe(ip, "/slow/")
            await curio.sleep(SLOW_PROBE_PAUSE_S)

    async def _probe(self, ip: str, path: str) -> None:
        self._probe_count += 1
        sent_at = time.monotonic()
        status, service = 0, ""
        try:
            reply = await self.call(ip, "GET", path + "1", f"p{self._probe_count}")
        except ExchangeError:
            pass
        else:
            status = reply.status
            if status == 200:
                service = self.services[reply.body.decode().partition(" ")[0]]
        self.probes.append(Probe(ip, path, sent_at, time.monotonic(), status, service))


Play = Callable[[LateChangesFleet], Awaitable[None]]


async def _leave_calm(fleet: LateChangesFleet) -> None:
    """Disrupts nothing."""


async def _silence_store(fleet: LateChangesFleet) -> None:
    """The store answers no call for some seconds, and none of these afterwards."""
    began = time.monotonic()
    fleet.store.faults = StoreFaults(silent=True)
    await curio.sleep(fleet.rng.uniform(1.0, 4.5))
    fleet.store.faults = StoreFaults()
    fleet.disrupt([EVERYWHERE], began)


async def _fail_store(fleet: LateChangesFleet) -> None:
    """The store answers 503 for some seconds, also to the waits in progress."""
    began = time.monotonic()
    fleet.store.faults = StoreFaults(status=503)
    await curio.sleep(fleet.rng.uniform(0.2, 4.0))
    fleet.store.faults = StoreFaults()
    fleet.disrupt([EVERYWHERE], began)


async def _close_waits(fleet: LateChangesFleet) -> None:
    """The connections to the store of the hosts that wait there are reset, some times in a row."""
    began, hosts = time.monotonic(), fleet.list_waiting()
    for _ in range(fleet.rng.randrange(1, 6)):
        await _fault_links(fleet.store_links, fleet.list_waiting(), LinkFault.RESET, 0.1)
        await curio.sleep(fleet.rng.uniform(0.1, 1.0))
        hosts += fleet.list_waiting()
    fleet.disrupt(sorted(set(hosts)), began)


async def _lose_readers(fleet: LateChangesFleet) -> None:
    """The hosts that wait at the store lose it; new connections are refused, or all is silent."""
    began, hosts = time.monotonic(), fleet.list_waiting()
    fault = fleet.rng.choice((LinkFault.RESET, LinkFault.SILENT))
    await _fault_links(fleet.store_links, hosts, fault, fleet.rng.uniform(2.0, 5.5))
    fleet.disrupt(hosts, began)


async def _lose_store_widely(fleet: LateChangesFleet) -> None:
    """Many hosts lose the store, those that wait there among them."""
    began, waiting = time.monotonic(), fleet.list_waiting()
    others = sorted(set(fleet.hosts) - set(waiting))
    hosts = waiting + fleet.rng.sample(others, len(others) // 2)
    await _fault_links(fleet.store_links, hosts, LinkFault.SILENT, fleet.rng.uniform(2.0, 5.5))
    fleet.disrupt(hosts, began)


async def _fault_links(
    links: dict[str, Proxy], hosts: list[str], fault: LinkFault, seconds: float
) -> None:
    """Puts a fault on the links of some hosts for a time."""
    for ip in hosts:
        links[ip].set_fault(fault)
    await curio.sleep(seconds)
    for ip in hosts:
        links[ip].set_fault(LinkFault.NONE)


async def _freeze_readers(fleet: LateChangesFleet) -> None:
    """The hosts that wait at the store freeze, as soon as they may have read a change."""
    began, hosts = time.monotonic(), fleet.list_waiting()
    for ip in hosts:
        fleet.hosts[ip].send_signal(signal.SIGSTOP)
    await curio.sleep(fleet.rng.uniform(1.0, 4.0))
    for ip in hosts:
        fleet.hosts[ip].send_signal(signal.SIGCONT)
    fleet.disrupt(hosts, began)


async def _slow_readers(fleet: LateChangesFleet) -> None:
    """The hosts that wait at the store, and some others, run for a tenth of the time only."""
    began, waiting = time.monotonic(), fleet.list_waiting()
    others = sorted(set(fleet.hosts) - set(waiting))
    hosts = waiting + fleet.rng.sample(others, 4)
    until = began + fleet.rng.uniform(3.0, 6.0)
    while time.monotonic() < until:
        for ip in hosts:
            fleet.hosts[ip].send_signal(signal.SIGSTOP)
        await curio.sleep(0.09)
        for ip in hosts:
            fleet.hosts[ip].send_signal(signal.SIGCONT)
        await curio.sleep(0.01)
    fleet.disrupt(hosts, began)


async def _kill_readers(fleet: LateChangesFleet) -> None:
    """The hosts that wait at the store are killed, and start again."""
    began, hosts = time.monotonic(), fleet.list_waiting()
    for ip in hosts:
        fleet.hosts[ip].kill()
        fleet.hosts[ip].wait()
    await curio.sleep(fleet.rng.uniform(0.1, 2.0))
    for ip in hosts:
        fleet.start_host(ip)
    await curio.sleep(2.0)
    fleet.disrupt(hosts, began)


async def _lose_datagrams(fleet: LateChangesFleet) -> None:
    """One datagram in five between hosts is lost; no host counts as disrupted by that."""
    fleet.set_links(loss=0.2)
    await curio.sleep(fleet.rng.uniform(3.0, 6.0))
    fleet.set_links()


async def _cut_readers(fleet: LateChangesFleet) -> None:
    """No datagram or call reaches the hosts that wait at the store, or leaves them."""
    fleet.set_links(cut=frozenset(fleet.list_waiting()))
    await _fault_calls(fleet, LinkFault.SILENT)
    fleet.set_links()


async def _silence_calls(fleet: LateChangesFleet) -> None:
    """Calls to the hosts that wait at the store get no reply, though their datagrams arrive."""
    await _fault_calls(fleet, LinkFault.NO_ANSWERS)


async def _silence_replies(fleet: LateChangesFleet) -> None:
    """The hosts that wait at the store greet those that call them, and reply nothing."""
    await _fault_calls(fleet, LinkFault.GREETING_ONLY)


async def _fault_calls(fleet: LateChangesFleet, fault: LinkFault) -> None:
    """Calls to the hosts that wait at the store meet a fault for some seconds."""
    began, hosts = time.monotonic(), fleet.list_waiting()
    await _fault_links(fleet.peer_links, hosts, fault, fleet.rng.uniform(2.0, 5.0))
    fleet.disrupt(hosts, began)


async def _answer_from_the_past(fleet: LateChangesFleet) -> None:
    """The store answers the hosts that wait there, and a third of the others, from the past."""
    began, waiting = time.monotonic(), fleet.list_waiting()
    others = sorted(set(fleet.hosts) - set(waiting))
    hosts = waiting + fleet.rng.sample(others, len(others) // 3)
    fleet.lagging = set(hosts)
    await _fault_links(fleet.store_links, hosts, LinkFault.RESET, 0.05)
    await curio.sleep(fleet.rng.uniform(3.0, 6.0))
    fleet.lagging = set()
    fleet.disrupt(hosts, began)


PLAYS: dict[str, Play] = {
    "calm": _leave_calm,
    "silent-store": _silence_store,
    "failing-store": _fail_store,
    "closed-waits": _close_waits,
    "lost-readers": _lose_readers,
    "lost-widely": _lose_store_widely,
    "frozen-readers": _freeze_readers,
    "slow-readers": _slow_readers,
    "killed-readers": _kill_readers,
    "lost-datagrams": _lose_datagrams,
    "cut-readers": _cut_readers,
    "silent-calls": _silence_calls,
    "silent-replies": _silence_replies,
    "lagging-store": _answer_from_the_past,
}


def is_in_touch(fleet: LateChangesFleet, ip: str, since: float, until: float) -> bool:
    """Tells whether neither the store nor a host was disrupted lately before or in a span."""
    return not any(
        host in (ip, EVERYWHERE) and began <= until and ended >= since - STABLE_WINDOW_S
        for host, began, ended in fleet.disruptions
    )


def find_violations(fleet: LateChangesFleet) -> dict[str, list[str]]:
    """Finds what breaks the rule, by its senses."""
    found: dict[str, list[str]] = {}
    judged = [
        probe
        for probe in sorted(fleet.probes, key=lambda probe: probe.sent_at)
        if is_in_touch(fleet, probe.host, probe.sent_at, probe.ended_at)
    ]
    seen: dict[str, list[tuple[float, int]]] = {}
    for probe in judged:
        acknowledged = [at for at in fleet.acknowledged if at <= probe.ended_at]
        allowing = [n for n in range(len(acknowledged)) if allows(n, probe)]
        newest = max(allowing, default=-1)
        due = sum(at + CONFIG_APPLY_S < probe.sent_at for at in acknowledged) - 1
        if newest < due:
            late_s = probe.sent_at - fleet.acknowledged[newest + 1]
            sense = "refused" if probe.status == 404 else "ran as before"
            found.setdefault(sense, []).append(f"{probe.host} {probe.path} {late_s:.2f} s")
        shown = [n for at, n in seen.get(probe.host, []) if probe.sent_at > at + DOWNGRADE_SLACK_S]
        if shown and newest < max(shown):
            found.setdefault("came back older", []).append(f"{probe.host} {probe.path}")
        if probe.service:
            entry = (probe.ended_at, min(allowing, default=0))
            seen.setdefault(probe.host, []).append(entry)
    for sense, violations in (
        ("held past the time limit", _find_held(fleet, judged)),
        ("added routes not served", _find_unserved(judged)),
        ("share off its weight", _find_wrong_shares(fleet, judged)),
    ):
        if violations:
            found[sense] = violations
    return found


def _find_held(fleet: LateChangesFleet, judged: list[Probe]) -> list[str]:
    """Finds requests without an answer half a second after the time limit of their route."""
    lasting, held = 0, 0
    replaced_at = fleet.list_replacements()
    for probe in judged:
        if probe.path != "/slow/":
            continue
        limit_s = max(
            find_slow_limit_ms(number) / 1000.0
            for number, at in enumerate(fleet.acknowledged)
            if at <= probe.ended_at and replaced_at[number] + CONFIG_APPLY_S > probe.sent_at
        )
        if limit_s < SLOW_WORK_S:
            lasting += 1
            held += probe.ended_at - probe.sent_at > limit_s + HELD_SLACK_S
    if held >= MIN_HELD and held > HELD_SHARE * lasting:
        return [f"{held} of {lasting}"]
    return []


def _find_unserved(judged: list[Probe]) -> list[str]:
    added = [probe for probe in judged if probe.path.startswith("/added-") and probe.status != 404]
    first = [probe for probe in judged if probe.path == "/first/"]
    if len(added) < MIN_ADDED or not first:
        return []
    shares = [sum(bool(p.service) for p in probes) / len(probes) for probes in (added, first)]
    return [f"{shares[0]:.2f} of {shares[1]:.2f}"] if shares[0] < ADDED_SHARE * shares[1] else []


def _find_wrong_shares(fleet: LateChangesFleet, judged: list[Probe]) -> list[str]:
    """Finds differences from the weights, each while one configuration must be in force."""
    served = [probe for probe in judged if probe.path == "/split/" and probe.service]
    counts: dict[int, Counter[str]] = {}
    spans = zip(fleet.acknowledged, fleet.list_replacements(), strict=True)
    for number, (at, end) in enumerate(spans):
        kept = [p.service for p in served if p.sent_at > at + CONFIG_APPLY_S and p.ended_at < end]
        counts.setdefault(number % 2, Counter()).update(kept)
    found = []
    for parity, count in counts.items():
        total = sum(count.values())
        wanted = WEIGHTS[parity][0] / 100.0
        share = count[ORDER[1]] / max(1, total)
        if total >= MIN_SPLIT_REQUESTS and abs(share - wanted) > MAX_SHARE_DIFFERENCE:
            found.append(f"{share:.2f} in place of {wanted}")
    return found


async def _run_play(fleet: LateChangesFleet, play: Play, seconds: float) -> None:
    await fleet.start()
    await curio.sleep(SETTLING_S)
    await curio.spawn(fleet.watch_stalls(), daemon=True)
    until = time.monotonic() + seconds
    tasks = []
    for ip in sorted(fleet.hosts):
        tasks.append(await curio.spawn(fleet.probe_host(ip, until)))
        tasks.append(await curio.spawn(fleet.probe_slow_route(ip, until)))
    await curio.sleep(1.0)
    while time.monotonic() < until - 4.0:
        fleet.write_version()
        # The fault begins before, while or just after the change becomes known.
        await curio.sleep(fleet.rng.choice((0.0, 0.02, 0.1, 0.3, 0.6)))
        fault = await curio.spawn(play(fleet))
        await curio.sleep(fleet.rng.uniform(0.3, 3.5))
        fleet.write_version()
        await fault.join()
        await curio.sleep(fleet.rng.uniform(0.2, 1.0))
        fleet.write_version()
        await curio.sleep(STABLE_WINDOW_S + fleet.rng.uniform(0.5, 2.5))
    for task in tasks:
        await task.join()


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one play.

    Attributes:
      found: What broke the rule, by its senses.
      statuses: How often callers saw each status; 0 is no answer.
      longest_stall_s: See `LateChangesFleet`.
      directory: Where the logs of the hosts are.
    """

    found: dict[str, list[str]]
    statuses: Counter[int]
    longest_stall_s: float
    directory: Path

    @property
    def is_stalled(self) -> bool:
        """Whether the play shows nothing, since its own callers stood still."""
        return self.longest_stall_s > MAX_STALL_S


def run_play(
    name: str, seed: int, seconds: float = 24.0, build: Path = ROOT, hosts: int = HOSTS
) -> Result:
    """Runs one play."""
    fleet = LateChangesFleet(seed, build, hosts)
    try:
        curio.run(_run_play, fleet, PLAYS[name], seconds)
    finally:
        fleet.stop()
    statuses = Counter(probe.status for probe in fleet.probes)
    return Result(find_violations(fleet), statuses, fleet.longest_stall_s, fleet.directory)


def main() -> None:
    """Runs the plays given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 1), metavar=("FIRST", "LAST"))
    parser.add_argument("--plays", nargs="*", default=list(PLAYS), choices=list(PLAYS))
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--build", type=Path, default=ROOT)
    parser.add_argument("--hosts", type=int, default=HOSTS)
    options = parser.parse_args()
    failed = False
    for seed in range(options.seeds[0], options.seeds[1] + 1):
        for name in options.plays:
            build = options.build.resolve()
            result = run_play(name, seed, options.seconds, build, options.hosts)
            failed |= bool(result.found) or result.is_stalled
            counts = {sense: len(violations) for sense, violations in result.found.items()}
            outcome = "shows nothing" if result.is_stalled else counts or "kept"
            stall = f"stall {result.longest_stall_s:.2f} s"
            print(f"{name} {seed}: {outcome} {dict(sorted(result.statuses.items()))} {stall}")
            for sense, violations in result.found.items():
                print(f"    {sense}: {'; '.join(violations[:4])} ({result.directory})")
            sys.stdout.flush()
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
