"""Latency and processor time that one host adds to a request, compared with direct calls.

Direct calls to the targets, a minimal relay and a host are measured in alternating rounds of one
run, at the mean request rate of a host at the planned size of the fleet.
"""

import os
import statistics
from dataclasses import dataclass, field

import curio

from endivedrift.core import Address
from lab._load import LoadResult, run_load
from standins.fleet import Fleet, HostProcess, open_fleet
from tests.builders import build_object_set

RATE_PER_S = 204.0
ROUND_SECONDS = 5.0
ROUNDS = 4
WARM_UP_SECONDS = 2.0
TARGETS = 6
PERCENTILES = (50, 90, 99)
REQUESTS = round(RATE_PER_S * ROUND_SECONDS * ROUNDS)
GOAL_ADDED_P99_MS = 1.6


@dataclass(slots=True)
class Side:
    """One side of the comparison.

    Attributes:
      addresses: Destinations of the requests.
      pid: Process whose processor time is measured, or None.
      latencies_s: Latencies over all rounds, in seconds.
      failures: Failed requests over all rounds.
      cpu_ms_per_request: Processor time, in milliseconds.
    """

    addresses: list[Address]
    pid: int | None
    latencies_s: list[float] = field(default_factory=list)
    failures: int = 0
    cpu_ms_per_request: float = 0.0

    def add_round(self, result: LoadResult) -> None:
        """Adds the result of one round."""
        self.latencies_s += result.latencies_s
        self.failures += result.failures

    def compute_percentile_ms(self, percent: int) -> float:
        """Returns a percentile of the latencies in milliseconds."""
        return statistics.quantiles(self.latencies_s, n=100)[percent - 1] * 1000.0


def main() -> None:
    """Runs the measurement and prints a table."""
    fleet = open_fleet()
    try:
        host = _start_fleet(fleet)
        sides = _measure(fleet, host)
    finally:
        fleet.stop()
    print(f"{'':10}" + "".join(f"{f'p{p} ms':>10}" for p in PERCENTILES) + f"{'failed':>10}")
    for name, side in sides.items():
        row = "".join(f"{side.compute_percentile_ms(p):10.2f}" for p in PERCENTILES)
        print(f"{name:10}{row}{side.failures:10}")
    for name in ("relay", "host"):
        added = [
            sides[name].compute_percentile_ms(p) - sides["direct"].compute_percentile_ms(p)
            for p in PERCENTILES
        ]
        row = "".join(f"{value:10.2f}" for value in added)
        print(f"{'+' + name:10}{row}   processor {sides[name].cpu_ms_per_request:.2f} ms a request")
    print(f"goal: host adds {GOAL_ADDED_P99_MS} ms at p99; {REQUESTS} requests a side")


def _start_fleet(fleet: Fleet) -> HostProcess:
    fleet.start_platform()
    objects = fleet.start_targets(build_object_set(targets=TARGETS), "--work-ms", "5")
    host = fleet.start_host("h1", "a")
    fleet.publish(objects)
    fleet.wait_version(1)
    return host


def _measure(fleet: Fleet, host: HostProcess) -> dict[str, Side]:
    targets = list(fleet.targets.values())
    relay_address = Address(f"{fleet.ip}:{fleet.take_port()}")
    relay = fleet.start_module(
        "relay", "lab.relay", "--listen", relay_address, "--targets", *targets
    )
    fleet.wait_listening(relay_address)
    sides = {
        "direct": Side(targets, None),
        "relay": Side([relay_address], relay.pid),
        "host": Side([host.callers], host.process.pid),
    }
    for side in sides.values():
        curio.run(run_load, side.addresses, "/rooms/1", RATE_PER_S, WARM_UP_SECONDS)
    for _ in range(ROUNDS):
        for side in sides.values():
            before = _read_cpu_seconds(side.pid)
            side.add_round(_run_round(side.addresses))
            side.cpu_ms_per_request += (_read_cpu_seconds(side.pid) - before) * 1000.0 / REQUESTS
    return sides


def _run_round(addresses: list[Address]) -> LoadResult:
    return curio.run(run_load, addresses, "/rooms/1", RATE_PER_S, ROUND_SECONDS)


def _read_cpu_seconds(pid: int | None) -> float:
    if pid is None:
        return 0.0
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    main()
