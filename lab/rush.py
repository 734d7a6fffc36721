"""The minute of the rush on real processes, shortened: goodput against what all slots could do.

Callers arrive in an open loop at many times the usual rate and do not come back. Cases: alone, with
a host killed, and with the store down. Load comes from processes of its own.
"""

import statistics
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from multiprocessing import Pool

import curio

from endivedrift.core import Address
from lab._load import LoadResult, run_load
from standins.caller import CallerStandin
from standins.fleet import Fleet, load_example, open_fleet

HOSTS = (("h1", "rabat-a"), ("h2", "rabat-b"), ("h3", "fes-a"))
SERVICE = "availability"
PATH = "/availability/1"
WORK_MS = 25.0
LOADS = (0.5, 1.0, 3.0)
SECONDS = 12
WARM_UP_SECONDS = 2
GENERATORS = 3
DISTURB_AT_S = 3.0
STAND_IN_OVERHEAD_MS = 0.5


@dataclass(frozen=True, slots=True)
class Load:
    """One load generator's share; `seeds` are the hosts it asks for entry addresses."""

    seeds: tuple[Address, ...]
    rate_per_s: float
    seconds: int


def main() -> None:
    """Runs all cases and prints a table."""
    titles = ("offered", "possible", "goodput", "share", "p50 ms", "p99 ms")
    print(f"{'case':16}" + "".join(f"{title:>9}" for title in titles))
    cases: tuple[tuple[str, Callable[[Fleet], object]], ...] = (
        ("alone", lambda fleet: None),
        ("host killed", lambda fleet: fleet.hosts["h1"].process.kill()),
        ("store down", lambda fleet: fleet.set_platform_faults(down=True)),
    )
    for name, disturb in cases:
        for load in LOADS if name == "alone" else LOADS[-1:]:
            _run_case(name, disturb, load)


def _run_case(name: str, disturb: Callable[[Fleet], object], load: float) -> None:
    fleet = open_fleet()
    try:
        possible = _start(fleet)
        seeds = tuple(host.callers for host in fleet.hosts.values())
        _generate(seeds, possible * 0.2, WARM_UP_SECONDS)
        timer = threading.Timer(DISTURB_AT_S, disturb, [fleet])
        timer.start()
        results = _generate(seeds, possible * load, SECONDS)
        timer.join()
    finally:
        fleet.stop()
    latencies = sorted(latency for result in results for latency in result.latencies)
    goodput = len(latencies) / SECONDS
    percentiles = statistics.quantiles(latencies, n=100)
    print(
        f"{name:16}{possible * load:9.0f}{possible:9.0f}{goodput:9.0f}"
        f"{goodput / min(possible, possible * load):9.2f}"
        f"{percentiles[49] * 1000.0:9.1f}{percentiles[98] * 1000.0:9.1f}",
        flush=True,
    )


def _start(fleet: Fleet) -> float:
    """Starts the fleet and returns the requests a second that all slots could do."""
    fleet.start_platform()
    example = load_example("bennani")
    objects = fleet.start_targets(example, "--work-ms", str(WORK_MS))
    for name, domain in HOSTS:
        fleet.start_host(name, domain)
    fleet.publish(objects)
    fleet.wait_version(1)
    fleet.wait_members()
    time.sleep(1.0)
    group = objects.upstream_group[f"{SERVICE}-targets"]
    return len(group.targets) * group.slots * 1000.0 / (WORK_MS + STAND_IN_OVERHEAD_MS)


def _generate(seeds: tuple[Address, ...], rate_per_s: float, seconds: int) -> list[LoadResult]:
    share = Load(seeds, rate_per_s / GENERATORS, seconds)
    with Pool(GENERATORS) as pool:
        return pool.map(_run_generator, [share] * GENERATORS)


def _run_generator(load: Load) -> LoadResult:
    return curio.run(_generate_load, load)


async def _generate_load(load: Load) -> LoadResult:
    """Asks for entry addresses each second and sends that second's requests to the primaries."""
    caller = CallerStandin(list(load.seeds))
    primaries = load_example("bennani").service[SERVICE].entry_hosts
    slices = []
    for _ in range(load.seconds):
        hosts = await caller.list_hosts(SERVICE)
        addresses = [Address(host["address"]) for host in hosts[:primaries]]
        sending = run_load(addresses, PATH, load.rate_per_s, 1.0)
        slices.append(await curio.spawn(sending))
        await curio.sleep(1.0)
    results = [await task.join() for task in slices]
    latencies = [latency for result in results for latency in result.latencies]
    return LoadResult(latencies, sum(result.failures for result in results))


if __name__ == "__main__":
    main()
