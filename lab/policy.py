"""Detection time, false ejections and goodput of the policy against baselines, on the same seeds.

Prints tables; with `--plots` also draws the trade-off of detection time and false ejections.
"""

import argparse
import statistics
from collections.abc import Callable
from dataclasses import dataclass, replace
from multiprocessing import Pool

from endivedrift.core import FailureDomain, TargetName
from endivedrift.objects import ObjectSet
from lab._policies import PolicyName, use_policy
from lab._simulation import HEALTHY, Fault, Outcome, PolicyBench, Traffic
from standins.fleet import load_example

SEEDS = 20
PROCESSES = 5
WORK_S = 0.025
ONSET_S = 5.0
FAULT_SECONDS = 25.0
NOISY_SECONDS = 150.0
NOISY_SEEDS = 8
RUSH_SEEDS = 2
LOAD = 0.4
RUSH_FACTOR = 30.0
RUSH_BASE_LOAD = 0.1
RUSH_FROM_S = 5.0
RUSH_SECONDS = 60.0
NOT_DETECTED = float("inf")
HEAVY_TAILS = "heavy tails"

SERVICES = {
    "bennani": ("availability", "/availability"),
    "blue-mahoe": ("bookings", "/bookings"),
}


@dataclass(frozen=True, slots=True)
class Case:
    """One case: a fault of the first target, or of several, from `ONSET_S` on.

    `observers` are the failure domains whose hosts can see the fault.
    """

    name: str
    fault: Fault
    sick: int = 1
    period_s: float = 0.0
    observers: frozenset[str] = frozenset({"a", "b"})


CASES = (
    Case("slow x3", Fault(slow=3.0)),
    Case("slow x10", Fault(slow=10.0)),
    Case("fails 10 in 100", Fault(fail=0.1)),
    Case("fails 30 in 100", Fault(fail=0.3)),
    Case("fails 100 in 100", Fault(fail=1.0)),
    Case("half answers", Fault(cut=1.0)),
    Case("dead for others", Fault(dead_outside=FailureDomain("a")), observers=frozenset("b")),
    Case("flaps every 4 s", Fault(fail=1.0), period_s=4.0),
    Case("two at once, slow x10", Fault(slow=10.0), sick=2),
)


@dataclass(frozen=True, slots=True)
class Job:
    """One run of a case."""

    deployment: str
    case: Case
    policy: PolicyName
    seed: int


@dataclass(frozen=True, slots=True)
class NoisyJob:
    """One run in which all targets are healthy."""

    deployment: str
    kind: str
    policy: PolicyName
    seed: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Row:
    """What one run of a case measured."""

    detection_s: float
    false_ejections: int
    sent_to_sick: int


def main() -> None:
    """Runs the wanted parts and prints their tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", choices=("all", "faults", "noisy", "rush"), default="all")
    parser.add_argument("--seeds", type=int, help=f"default {SEEDS}, and {RUSH_SEEDS} for the rush")
    parser.add_argument("--noisy-seconds", type=float, default=NOISY_SECONDS)
    arguments = parser.parse_args()
    with Pool(PROCESSES) as pool:
        if arguments.part in ("all", "faults"):
            print_faults(pool, arguments.seeds or SEEDS)
        if arguments.part in ("all", "noisy"):
            print_noisy(pool, arguments.noisy_seconds)
        if arguments.part in ("all", "rush"):
            print_rush(pool, arguments.seeds or RUSH_SEEDS)


def print_faults(pool: "Pool", seeds: int) -> None:  # type: ignore[valid-type]
    """Prints detection times and false ejections for all cases, policies and deployments."""
    policies = (PolicyName.OURS, PolicyName.CONSECUTIVE, PolicyName.OUTLIER)
    print("\nOne sick target: detection s median/worst (undetected of runs); false ejections;")
    print("requests given to the sick target after onset, median")
    for deployment in SERVICES:
        for case in CASES:
            for policy in policies:
                jobs = [Job(deployment, case, policy, seed) for seed in range(seeds)]
                rows = pool.map(run_fault, jobs)  # type: ignore[attr-defined]
                print(f"{deployment:11}{case.name:24}{policy.value:24}{_format_rows(rows)}")


def _format_rows(rows: list[Row]) -> str:
    times = sorted(row.detection_s for row in rows)
    missed = sum(1 for value in times if value == NOT_DETECTED)
    false = sum(row.false_ejections for row in rows)
    sent = statistics.median(row.sent_to_sick for row in rows)
    middle = statistics.median_low(times)
    return f"{middle:7.2f} /{times[-1]:7.2f} ({missed:2}/{len(rows)}) {false:4} {sent:7.0f}"


def run_fault(job: Job) -> Row:
    """Runs one case on one seed."""
    objects = load_example(job.deployment)
    service, path = SERVICES[job.deployment]
    group = objects.upstream_group[f"{service}-targets"]
    sick = {TargetName(target.name) for target in group.targets[: job.case.sick]}

    def script(target: TargetName, at: float) -> Fault:
        if target not in sick or at < ONSET_S:
            return HEALTHY
        period = job.case.period_s
        healthy_turn = period > 0.0 and (at - ONSET_S) % period >= period / 2.0
        return HEALTHY if healthy_turn else job.case.fault

    with use_policy(job.policy) as baseline:
        bench = PolicyBench(
            objects,
            service,
            job.seed,
            WORK_S,
            script,
            baseline,
            fault_from_s=ONSET_S,
            observers=job.case.observers,
        )
        outcome = bench.run(FAULT_SECONDS, (_steady(objects, service, path, LOAD),))
    times = [outcome.ejected_at.get(target, NOT_DETECTED) - ONSET_S for target in sick]
    sent = sum(outcome.sent.get(target, 0) for target in sick)
    return Row(max(times), outcome.false_ejections, sent)


def print_noisy(pool: "Pool", seconds: float) -> None:  # type: ignore[valid-type]
    """Prints false ejections where every target is healthy."""
    print("\nAll targets healthy: false ejections, answers, over all seeds")
    seeds = range(NOISY_SEEDS)
    for deployment in SERVICES:
        for kind in (HEAVY_TAILS, "all slow x3 at half-time"):
            for policy in (PolicyName.OURS, PolicyName.CONSECUTIVE, PolicyName.OUTLIER):
                jobs = [NoisyJob(deployment, kind, policy, seed, seconds) for seed in seeds]
                results = pool.map(run_noisy, jobs)  # type: ignore[attr-defined]
                false = sum(r.false_ejections for r in results)
                answers = sum(sum(r.answered.values()) for r in results)
                print(f"{deployment:11}{kind:28}{policy.value:24}{false:6} {answers:10}")


def run_noisy(job: NoisyJob) -> Outcome:
    """Runs healthy targets with heavy-tailed latencies, or all slowed at once."""
    objects = load_example(job.deployment)
    service, path = SERVICES[job.deployment]
    slow = job.kind != HEAVY_TAILS

    def script(target: TargetName, at: float) -> Fault:
        return HEALTHY

    with use_policy(job.policy) as baseline:
        bench = PolicyBench(objects, service, job.seed, WORK_S, script, baseline, noisy=True)
        load = LOAD / 2.0 if slow else LOAD
        if slow:
            bench.slow_all(job.seconds / 2.0, 3.0)
        outcome = bench.run(job.seconds, (_steady(objects, service, path, load),))
    return replace(outcome, latencies=[])


def print_rush(pool: "Pool", seeds: int) -> None:  # type: ignore[valid-type]
    """Prints the share of an omniscient dispatcher's goodput in the rush."""
    print("\nRush: goodput as share of all healthy slots, median/worst; p99 s of answered calls")
    for deployment in SERVICES:
        for gray in (False, True):
            jobs = [(deployment, gray, seed) for seed in range(seeds)]
            rows = pool.map(run_rush, jobs)  # type: ignore[attr-defined]
            shares = [share for share, _ in rows]
            p99 = statistics.median(latency for _, latency in rows)
            kind = "with a gray target" if gray else "alone"
            middle = statistics.median(shares)
            print(f"{deployment:11}{kind:24}{middle:7.3f} /{min(shares):7.3f} {p99:8.2f}")


def run_rush(job: tuple[str, bool, int]) -> tuple[float, float]:
    """Runs a rush; returns its share of the possible goodput and the p99 of its latencies."""
    deployment, gray, seed = job
    objects = load_example(deployment)
    service, path = SERVICES[deployment]
    group = objects.upstream_group[f"{service}-targets"]
    sick = TargetName(group.targets[0].name) if gray else None

    def script(target: TargetName, at: float) -> Fault:
        return Fault(slow=10.0) if target == sick and at >= RUSH_FROM_S else HEALTHY

    base = RUSH_BASE_LOAD * _capacity(objects, service)

    def rate(at: float) -> float:
        rushing = RUSH_FROM_S <= at < RUSH_FROM_S + RUSH_SECONDS
        return base * RUSH_FACTOR if rushing else base

    bench = PolicyBench(objects, service, seed, WORK_S, script)
    end = RUSH_FROM_S + RUSH_SECONDS
    outcome = bench.run(end, (Traffic("GET", path, rate, base * RUSH_FACTOR),))
    healthy = (len(group.targets) - (1 if gray else 0)) / len(group.targets)
    possible = _capacity(objects, service) * healthy * RUSH_SECONDS + base * RUSH_FROM_S
    latencies = sorted(outcome.latencies)
    answered = sum(outcome.answered.values())
    return answered / possible, latencies[int(len(latencies) * 0.99)]


def _capacity(objects: ObjectSet, service: str) -> float:
    """Returns the requests a second that all slots of a service can do."""
    group = objects.upstream_group[f"{service}-targets"]
    mean_work = WORK_S * 1.046
    return len(group.targets) * group.slots / mean_work


def _steady(objects: ObjectSet, service: str, path: str, load: float) -> Traffic:
    value = load * _capacity(objects, service)
    constant: Callable[[float], float] = lambda at: value  # noqa: E731
    return Traffic("GET", path, constant, value)


if __name__ == "__main__":
    main()
