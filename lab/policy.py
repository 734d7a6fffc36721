"""Compares the ejection policy with baselines: detection time, false ejections and goodput.

All policies run with the same seeds. Prints tables.
"""

import argparse
import statistics
from collections.abc import Callable
from dataclasses import dataclass, replace
from multiprocessing import Pool

from endivedrift.core import FailureDomain, TargetName
from endivedrift.objects import ObjectSet
from lab._policies import PolicyName, use_policy
from lab._simulation import HEALTHY, Fault, PolicySimulation, RunResult, Traffic
from standins.fleet import load_example

SEEDS = 20
PROCESSES = 5
MEDIAN_WORK_S = 0.025
FAULT_ONSET_S = 5.0
FAULT_SECONDS = 25.0
NOISY_SECONDS = 150.0
NOISY_SEEDS = 8
RUSH_SEEDS = 2
LOAD_SHARE = 0.4
RUSH_FACTOR = 30.0
RUSH_BASE_LOAD_SHARE = 0.1
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
    """A fault of the first `faulty_targets` targets from `FAULT_ONSET_S` on.

    Attributes:
      name: Name in the printed table.
      fault: The fault.
      faulty_targets: Number of targets that have it.
      period_s: Period in whose first half the fault is present, or 0 for a permanent fault.
      observers: Failure domains whose hosts can see the fault.
    """

    name: str
    fault: Fault
    faulty_targets: int = 1
    period_s: float = 0.0
    observers: frozenset[str] = frozenset({"a", "b"})


CASES = (
    Case("slow x3", Fault(slowdown=3.0)),
    Case("slow x10", Fault(slowdown=10.0)),
    Case("fails 10 in 100", Fault(error_rate=0.1)),
    Case("fails 30 in 100", Fault(error_rate=0.3)),
    Case("fails 100 in 100", Fault(error_rate=1.0)),
    Case("half answers", Fault(cut_rate=1.0)),
    Case("dead for others", Fault(only_served_domain=FailureDomain("a")), observers=frozenset("b")),
    Case("flaps every 4 s", Fault(error_rate=1.0), period_s=4.0),
    Case("two at once, slow x10", Fault(slowdown=10.0), faulty_targets=2),
)


@dataclass(frozen=True, slots=True)
class FaultJob:
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
class FaultResult:
    """Measurements of one run of a case."""

    detection_s: float
    false_ejections: int
    sent_to_faulty: int


def main() -> None:
    """Runs the selected parts and prints their tables."""
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
    policies = (PolicyName.ENDIVEDRIFT, PolicyName.CONSECUTIVE, PolicyName.OUTLIER)
    print("\nOne sick target: detection s median/worst (undetected of runs); false ejections;")
    print("requests given to the sick target after onset, median")
    for deployment in SERVICES:
        for case in CASES:
            for policy in policies:
                jobs = [FaultJob(deployment, case, policy, seed) for seed in range(seeds)]
                results = pool.map(run_fault, jobs)  # type: ignore[attr-defined]
                print(f"{deployment:11}{case.name:24}{policy.value:24}{_format_results(results)}")


def _format_results(results: list[FaultResult]) -> str:
    times_s = sorted(result.detection_s for result in results)
    undetected = sum(1 for value in times_s if value == NOT_DETECTED)
    false_ejections = sum(result.false_ejections for result in results)
    sent = statistics.median(result.sent_to_faulty for result in results)
    median_s = statistics.median_low(times_s)
    return (
        f"{median_s:7.2f} /{times_s[-1]:7.2f} ({undetected:2}/{len(results)}) "
        f"{false_ejections:4} {sent:7.0f}"
    )


def run_fault(job: FaultJob) -> FaultResult:
    """Runs one case with one policy and seed."""
    objects = load_example(job.deployment)
    service, path = SERVICES[job.deployment]
    group = objects.upstream_group[f"{service}-targets"]
    faulty_targets = {
        TargetName(target.name) for target in group.targets[: job.case.faulty_targets]
    }

    def fault_at(target: TargetName, at: float) -> Fault:
        if target not in faulty_targets or at < FAULT_ONSET_S:
            return HEALTHY
        period_s = job.case.period_s
        is_healthy_phase = period_s > 0.0 and (at - FAULT_ONSET_S) % period_s >= period_s / 2.0
        return HEALTHY if is_healthy_phase else job.case.fault

    with use_policy(job.policy) as baseline:
        simulation = PolicySimulation(
            objects,
            service,
            job.seed,
            MEDIAN_WORK_S,
            fault_at,
            baseline,
            fault_onset_s=FAULT_ONSET_S,
            observer_domains=job.case.observers,
        )
        run_result = simulation.run(
            FAULT_SECONDS, (_build_steady_traffic(objects, service, path, LOAD_SHARE),)
        )
    detection_times_s = [
        run_result.ejected_at.get(target, NOT_DETECTED) - FAULT_ONSET_S for target in faulty_targets
    ]
    sent = sum(run_result.sent_after_onset.get(target, 0) for target in faulty_targets)
    return FaultResult(max(detection_times_s), run_result.false_ejections, sent)


def print_noisy(pool: "Pool", seconds: float) -> None:  # type: ignore[valid-type]
    """Prints the false ejections of runs in which every target is healthy."""
    print("\nAll targets healthy: false ejections, answers, over all seeds")
    seeds = range(NOISY_SEEDS)
    for deployment in SERVICES:
        for kind in (HEAVY_TAILS, "all slow x3 at half-time"):
            for policy in (PolicyName.ENDIVEDRIFT, PolicyName.CONSECUTIVE, PolicyName.OUTLIER):
                jobs = [NoisyJob(deployment, kind, policy, seed, seconds) for seed in seeds]
                results = pool.map(run_noisy, jobs)  # type: ignore[attr-defined]
                false_ejections = sum(r.false_ejections for r in results)
                answers = sum(sum(r.answered.values()) for r in results)
                print(f"{deployment:11}{kind:28}{policy.value:24}{false_ejections:6} {answers:10}")


def run_noisy(job: NoisyJob) -> RunResult:
    """Runs healthy targets with heavy-tailed work times, for one kind also all slowed at once."""
    objects = load_example(job.deployment)
    service, path = SERVICES[job.deployment]
    is_slowed = job.kind != HEAVY_TAILS

    def fault_at(target: TargetName, at: float) -> Fault:
        return HEALTHY

    with use_policy(job.policy) as baseline:
        simulation = PolicySimulation(
            objects, service, job.seed, MEDIAN_WORK_S, fault_at, baseline, heavy_tails=True
        )
        load_share = LOAD_SHARE / 2.0 if is_slowed else LOAD_SHARE
        if is_slowed:
            simulation.slow_all(job.seconds / 2.0, 3.0)
        run_result = simulation.run(
            job.seconds, (_build_steady_traffic(objects, service, path, load_share),)
        )
    return replace(run_result, latencies_s=[])


def print_rush(pool: "Pool", seeds: int) -> None:  # type: ignore[valid-type]
    """Prints the goodput in the rush as a share of what an omniscient dispatcher would reach."""
    print("\nRush: goodput as share of all healthy slots, median/worst; p99 s of answered calls")
    for deployment in SERVICES:
        for has_slow_target in (False, True):
            jobs = [(deployment, has_slow_target, seed) for seed in range(seeds)]
            results = pool.map(run_rush, jobs)  # type: ignore[attr-defined]
            shares = [share for share, _ in results]
            p99_s = statistics.median(latency_s for _, latency_s in results)
            kind = "with a gray target" if has_slow_target else "alone"
            median_share = statistics.median(shares)
            print(f"{deployment:11}{kind:24}{median_share:7.3f} /{min(shares):7.3f} {p99_s:8.2f}")


def run_rush(job: tuple[str, bool, int]) -> tuple[float, float]:
    """Runs the rush: a minute in which requests arrive at `RUSH_FACTOR` times the usual rate.

    Returns:
      The share of the possible goodput, and the 99th percentile of the latencies in seconds.
    """
    deployment, has_slow_target, seed = job
    objects = load_example(deployment)
    service, path = SERVICES[deployment]
    group = objects.upstream_group[f"{service}-targets"]
    slow_target = TargetName(group.targets[0].name) if has_slow_target else None

    def fault_at(target: TargetName, at: float) -> Fault:
        return Fault(slowdown=10.0) if target == slow_target and at >= RUSH_FROM_S else HEALTHY

    base_rate = RUSH_BASE_LOAD_SHARE * _compute_capacity(objects, service)

    def rate(at: float) -> float:
        is_rush = RUSH_FROM_S <= at < RUSH_FROM_S + RUSH_SECONDS
        return base_rate * RUSH_FACTOR if is_rush else base_rate

    simulation = PolicySimulation(objects, service, seed, MEDIAN_WORK_S, fault_at)
    end_s = RUSH_FROM_S + RUSH_SECONDS
    run_result = simulation.run(end_s, (Traffic("GET", path, rate, base_rate * RUSH_FACTOR),))
    healthy_share = (len(group.targets) - (1 if has_slow_target else 0)) / len(group.targets)
    possible_answers = (
        _compute_capacity(objects, service) * healthy_share * RUSH_SECONDS + base_rate * RUSH_FROM_S
    )
    latencies_s = sorted(run_result.latencies_s)
    answered = sum(run_result.answered.values())
    return answered / possible_answers, latencies_s[int(len(latencies_s) * 0.99)]


def _compute_capacity(objects: ObjectSet, service: str) -> float:
    """Returns the requests per second that all slots of a service can serve."""
    group = objects.upstream_group[f"{service}-targets"]
    mean_work_s = MEDIAN_WORK_S * 1.046  # exp(WORK_TIME_SIGMA ** 2 / 2), log-normal mean.
    return len(group.targets) * group.slots / mean_work_s


def _build_steady_traffic(
    objects: ObjectSet, service: str, path: str, load_share: float
) -> Traffic:
    requests_per_s = load_share * _compute_capacity(objects, service)
    constant: Callable[[float], float] = lambda at: requests_per_s  # noqa: E731
    return Traffic("GET", path, constant, requests_per_s)


if __name__ == "__main__":
    main()
