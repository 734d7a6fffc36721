"""Injects pairs of faults into a fleet of real processes while callers send and retry bookings.

`python -m tests.chaos --seeds 1 20` runs one history per seed and prints its faults, the results
that callers saw, and each violated invariant. The exit status is 1 if there was any violation.
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
WORKLOAD_S = 7.0
FAULT_START_S = 1.0
FAULT_DURATION_S = 2.5


@dataclass(frozen=True, slots=True)
class ChaosFault:
    """A fault, and the functions that begin and end it on a fleet."""

    name: str
    begin: Callable[[Fleet], object]
    end: Callable[[Fleet], object]


def _freeze(fleet: Fleet, host: str) -> None:
    fleet.hosts[host].process.send_signal(signal.SIGSTOP)


def _resume(fleet: Fleet, host: str) -> None:
    fleet.hosts[host].process.send_signal(signal.SIGCONT)


def _kill(fleet: Fleet, host: str) -> None:
    fleet.hosts[host].process.kill()
    fleet.hosts[host].process.wait()


def _stop(fleet: Fleet, host: str) -> None:
    fleet.hosts[host].process.send_signal(signal.SIGTERM)
    fleet.hosts[host].process.wait()


def _keep_fault(fleet: Fleet) -> None:
    """Ends nothing: the fault lasts until the end of the history."""


FAULTS = (
    ChaosFault("kill h1", lambda f: _kill(f, "h1"), lambda f: f.restart_host("h1")),
    ChaosFault("freeze h2", lambda f: _freeze(f, "h2"), lambda f: _resume(f, "h2")),
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
    ChaosFault("kill target", lambda f: f.target_processes["t1"].kill(), _keep_fault),
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
    """The result of one history.

    Attributes:
      seed: Its seed.
      faults: The names of its two faults.
      outcomes: How often callers saw each outcome.
      violations: Violated invariants.
    """

    seed: int
    faults: tuple[str, str]
    outcomes: Counter[str]
    violations: list[str]


def run_history(seed: int) -> ChaosResult:
    """Runs one history.

    Args:
      seed: Determines the pair of faults and the callers' choices.
    Returns:
      The outcomes that callers saw and the violated invariants.
    """
    rng = random.Random(seed)
    pairs = list(combinations(FAULTS, 2))
    faults = pairs[seed % len(pairs)]
    fleet = open_fleet()
    try:
        callers = _start_fleet(fleet)
        thread = threading.Thread(target=_inject_faults, args=(fleet, faults, rng.random()))
        thread.start()
        curio.run(_run_callers, callers, list(fleet.hosts), fleet, seed)
        thread.join()
        history = [record for caller in callers for record in caller.history]
        violations = check_history(history, fleet.list_runs())
        outcomes = Counter(record.seen.value for record in history)
        return ChaosResult(seed, (faults[0].name, faults[1].name), outcomes, violations)
    finally:
        fleet.stop()


def _start_fleet(fleet: Fleet) -> list[CallerStandin]:
    fleet.start_platform()
    objects = fleet.start_targets(build_object_set(queue_length=64))
    for name, domain in DOMAINS.items():
        fleet.start_host(name, domain)
    fleet.publish(objects)
    fleet.wait_version(1)
    fleet.wait_members()
    return [CallerStandin([h.callers for h in fleet.hosts.values()]) for _ in range(CALLERS)]


def _inject_faults(fleet: Fleet, faults: tuple[ChaosFault, ChaosFault], offset: float) -> None:
    time.sleep(FAULT_START_S)
    faults[0].begin(fleet)
    time.sleep(offset)
    faults[1].begin(fleet)
    time.sleep(FAULT_DURATION_S)
    faults[0].end(fleet)
    faults[1].end(fleet)


async def _run_callers(
    callers: list[CallerStandin], hosts: list[str], fleet: Fleet, seed: int
) -> None:
    end_time = time.monotonic() + WORKLOAD_S
    addresses = [fleet.hosts[name].callers for name in hosts]
    await run_together(
        _run_caller(caller, number, addresses, end_time, random.Random(f"{seed}/{number}"))
        for number, caller in enumerate(callers)
    )


async def _run_caller(
    caller: CallerStandin,
    number: int,
    addresses: list[Address],
    end_time: float,
    rng: random.Random,
) -> None:
    count = 0
    while time.monotonic() < end_time:
        count += 1
        path = f"/stays/{number}-{count}"
        if rng.random() < 0.3:
            await caller.read("rooms", f"/rooms/{number}-{count}")
        elif rng.random() < 0.3:
            await _send_booking(caller, addresses, path, f"own-{number}-{count}", rng)
        else:
            hosts = await caller.list_hosts("rooms", keys=1)
            if hosts:
                key = str(rng.choice(hosts)["keys"][0])
                await _send_booking(caller, addresses, path, key, rng)
        await curio.sleep(0.02)


async def _send_booking(
    caller: CallerStandin, addresses: list[Address], path: str, key: str, rng: random.Random
) -> None:
    """Sends a booking with one key through random hosts, up to three times.

    A fifth of the answered bookings are repeated too, to check that a repeat does not run again.
    """
    for _ in range(3):
        host = rng.choice(addresses)
        record: Record = await caller.send(host, "POST", path, b"{}", key)
        if record.seen is Seen.ANSWERED and rng.random() < 0.8:
            return


def main() -> None:
    """Runs the seeds given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 10), metavar=("FIRST", "LAST"))
    arguments = parser.parse_args()
    failed_count = 0
    for seed in range(arguments.seeds[0], arguments.seeds[1] + 1):
        result = run_history(seed)
        failed_count += bool(result.violations)
        print(f"{seed:4} {' + '.join(result.faults)}: {dict(result.outcomes)}", flush=True)
        for violation in result.violations:
            print(f"     VIOLATION {violation}", flush=True)
    sys.exit(1 if failed_count else 0)


if __name__ == "__main__":
    main()
