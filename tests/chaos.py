"""Pairs of faults on real processes, drawn from a seed, while callers repeat their bookings.

`python -m tests.chaos --seeds 1 20` runs a history for each seed and prints what was drawn, what
callers saw, and each violation. Exit status 1 if there was any.
"""

import argparse
import random
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from itertools import combinations

import curio

from endivedrift.core import Address
from standins.caller import CallerStandin, Record, Seen
from standins.fleet import Fleet, open_fleet
from standins.history import check_history
from standins.tasks import run_together
from tests.builders import build_object_set

DOMAINS = {"h1": "a", "h2": "b", "h3": "c"}
CALLERS = 6
WORK_SECONDS = 7.0
FAULT_FROM_S = 1.0
FAULT_SECONDS = 2.5
CALL_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class ChaosFault:
    """A fault by name, and how it begins and ends on a fleet."""

    name: str
    begin: Callable[[Fleet], object]
    end: Callable[[Fleet], object]


def _freeze(fleet: Fleet, host: str) -> None:
    fleet.hosts[host].process.send_signal(signal.SIGSTOP)


def _thaw(fleet: Fleet, host: str) -> None:
    fleet.hosts[host].process.send_signal(signal.SIGCONT)


def _kill(fleet: Fleet, host: str) -> None:
    fleet.hosts[host].process.kill()
    fleet.hosts[host].process.wait()


def _stop(fleet: Fleet, host: str) -> None:
    fleet.hosts[host].process.send_signal(signal.SIGTERM)
    fleet.hosts[host].process.wait()


def _nothing(fleet: Fleet) -> None:
    """Leaves a fault that does not end by itself."""


FAULTS = (
    ChaosFault("kill h1", lambda f: _kill(f, "h1"), lambda f: f.restart_host("h1")),
    ChaosFault("freeze h2", lambda f: _freeze(f, "h2"), lambda f: _thaw(f, "h2")),
    ChaosFault("stop h3", lambda f: _stop(f, "h3"), lambda f: f.restart_host("h3")),
    ChaosFault(
        "store down",
        lambda f: f.set_platform_faults(down=True),
        lambda f: f.set_platform_faults(),
    ),
    ChaosFault(
        "store loses replies",
        lambda f: f.set_platform_faults(lose_replies=True),
        lambda f: f.set_platform_faults(),
    ),
    ChaosFault(
        "store slow",
        lambda f: f.set_platform_faults(slow_ms=700),
        lambda f: f.set_platform_faults(),
    ),
    ChaosFault(
        "freeze target",
        lambda f: f.target_processes["t0"].send_signal(signal.SIGSTOP),
        lambda f: f.target_processes["t0"].send_signal(signal.SIGCONT),
    ),
    ChaosFault("kill target", lambda f: f.target_processes["t1"].kill(), _nothing),
    ChaosFault(
        "half answers",
        lambda f: f.set_target_faults("t2", cut_share=0.5),
        lambda f: f.set_target_faults("t2"),
    ),
    ChaosFault(
        "slow target",
        lambda f: f.set_target_faults("t3", extra_ms=800),
        lambda f: f.set_target_faults("t3"),
    ),
    ChaosFault(
        "crossed and doubled answers",
        lambda f: f.set_target_faults("t3", crossed_share=0.3, doubled_share=0.3),
        lambda f: f.set_target_faults("t3"),
    ),
)


@dataclass(frozen=True, slots=True)
class ChaosResult:
    """What one history came to."""

    seed: int
    faults: tuple[str, str]
    seen: Counter[str]
    violations: list[str]


def run_history(seed: int) -> ChaosResult:
    """Runs one history.

    Args:
      seed: Draws the pair of faults and the callers' choices.
    Returns:
      What callers saw and which invariants were broken.
    """
    source = random.Random(seed)
    pairs = list(combinations(FAULTS, 2))
    chosen = pairs[seed % len(pairs)]
    fleet = open_fleet()
    try:
        callers = _start(fleet)
        thread = threading.Thread(target=_disturb, args=(fleet, chosen, source.random()))
        thread.start()
        curio.run(_work, callers, list(fleet.hosts), fleet, seed)
        thread.join()
        history = [record for caller in callers for record in caller.history]
        violations = check_history(history, fleet.list_runs())
        seen = Counter(record.seen.value for record in history)
        return ChaosResult(seed, (chosen[0].name, chosen[1].name), seen, violations)
    finally:
        fleet.stop()


def _start(fleet: Fleet) -> list[CallerStandin]:
    fleet.start_platform()
    objects = fleet.start_targets(build_object_set(queue_length=64))
    for name, domain in DOMAINS.items():
        fleet.start_host(name, domain)
    fleet.publish(objects)
    fleet.wait_version(1)
    fleet.wait_members()
    return [CallerStandin([h.callers for h in fleet.hosts.values()]) for _ in range(CALLERS)]


def _disturb(fleet: Fleet, chosen: tuple[ChaosFault, ChaosFault], offset: float) -> None:
    time.sleep(FAULT_FROM_S)
    chosen[0].begin(fleet)
    time.sleep(offset)
    chosen[1].begin(fleet)
    time.sleep(FAULT_SECONDS)
    chosen[0].end(fleet)
    chosen[1].end(fleet)


async def _work(callers: list[CallerStandin], hosts: list[str], fleet: Fleet, seed: int) -> None:
    until = time.monotonic() + WORK_SECONDS
    addresses = [fleet.hosts[name].callers for name in hosts]
    await run_together(
        _call_often(caller, number, addresses, until, random.Random(f"{seed}/{number}"))
        for number, caller in enumerate(callers)
    )


async def _call_often(
    caller: CallerStandin,
    number: int,
    addresses: list[Address],
    until: float,
    source: random.Random,
) -> None:
    count = 0
    while time.monotonic() < until:
        count += 1
        path = f"/stays/{number}-{count}"
        if source.random() < 0.3:
            await caller.read("rooms", f"/rooms/{number}-{count}")
        elif source.random() < 0.3:
            await _book(caller, addresses, path, f"own-{number}-{count}", source)
        else:
            hosts = await caller.list_hosts("rooms", keys=1)
            if hosts:
                key = str(source.choice(hosts)["keys"][0])
                await _book(caller, addresses, path, key, source)
        await curio.sleep(0.02)


async def _book(
    caller: CallerStandin, addresses: list[Address], path: str, key: str, source: random.Random
) -> None:
    """Sends a booking through any hosts with one key until it is answered or tried often."""
    for _ in range(3):
        host = source.choice(addresses)
        record: Record = await caller.send(host, "POST", path, b"{}", key)
        if record.seen is Seen.ANSWERED and source.random() < 0.8:
            return


def main() -> None:
    """Runs the wanted seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 10), metavar=("FIRST", "LAST"))
    arguments = parser.parse_args()
    broken = 0
    for seed in range(arguments.seeds[0], arguments.seeds[1] + 1):
        result = run_history(seed)
        broken += bool(result.violations)
        print(f"{seed:4} {' + '.join(result.faults)}: {dict(result.seen)}", flush=True)
        for violation in result.violations:
            print(f"     VIOLATION {violation}", flush=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
