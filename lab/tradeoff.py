"""Measures the trade-off between detection time and false ejections.

The two settings of an ejection limit, `false_ejection_rate` and `detectable_failure_rate`, are
varied. Prints a table and draws it to out/tradeoff.png.
"""

import statistics
from dataclasses import dataclass, replace
from multiprocessing import Pool
from pathlib import Path

import matplotlib

from endivedrift.objects import ObjectSet
from lab import policy
from lab._policies import PolicyName
from lab.policy import (
    CASES,
    HEAVY_TAILS,
    NOT_DETECTED,
    PROCESSES,
    SERVICES,
    FaultJob,
    NoisyJob,
    run_fault,
    run_noisy,
)
from standins.fleet import load_example

FALSE_EJECTION_RATES = (1e-2, 1e-4, 1e-6, 1e-8, 1e-10)
DETECTABLE_FAILURE_RATES = (0.1, 0.2, 0.3)
CASE_NAMES = ("slow x3", "fails 10 in 100", "fails 30 in 100", "fails 100 in 100")
FAULT_SEEDS = 10
NOISY_SEEDS = 4
NOISY_SECONDS = 300.0
OUTPUT_DIRECTORY = Path("out")


@dataclass(frozen=True, slots=True)
class Point:
    """Measurements with one pair of settings.

    Attributes:
      deployment: Name of the example deployment.
      false_ejection_rate, detectable_failure_rate: The settings.
      detection_s: Median detection time of each case of `CASE_NAMES`, in seconds.
      false_ejections: False ejections over all runs with healthy targets.
      answers: Answers in these runs.
    """

    deployment: str
    false_ejection_rate: float
    detectable_failure_rate: float
    detection_s: tuple[float, ...]
    false_ejections: int
    answers: int


def main() -> None:
    """Measures all pairs of settings, and prints and draws the results."""
    jobs = [
        (d, r, p) for d in SERVICES for p in DETECTABLE_FAILURE_RATES for r in FALSE_EJECTION_RATES
    ]
    with Pool(PROCESSES) as pool:
        points = pool.map(measure_point, jobs, chunksize=1)
    print(f"{'':12}{'rate':>8}{'share':>7}" + "".join(f"{name:>18}" for name in CASE_NAMES))
    for point in points:
        times = "".join(f"{value:18.2f}" for value in point.detection_s)
        print(
            f"{point.deployment:12}{point.false_ejection_rate:8.0e}"
            f"{point.detectable_failure_rate:7.1f}{times}"
            f"   false {point.false_ejections} in {point.answers}"
        )
    draw(points)


def measure_point(job: tuple[str, float, float]) -> Point:
    """Measures one pair of settings."""
    deployment, rate, detectable = job

    def load_with_settings(name: str) -> ObjectSet:
        objects = load_example(name)
        limits = {
            key: replace(limit, false_ejection_rate=rate, detectable_failure_rate=detectable)
            for key, limit in objects.ejection_limit.items()
        }
        return replace(objects, ejection_limit=limits)

    policy.load_example = load_with_settings
    detection_times_s = []
    for case in (case for case in CASES if case.name in CASE_NAMES):
        case_jobs = [
            FaultJob(deployment, case, PolicyName.ENDIVEDRIFT, seed) for seed in range(FAULT_SEEDS)
        ]
        detection_times_s.append(
            statistics.median_low(run_fault(case_job).detection_s for case_job in case_jobs)
        )
    noisy = [
        run_noisy(NoisyJob(deployment, HEAVY_TAILS, PolicyName.ENDIVEDRIFT, seed, NOISY_SECONDS))
        for seed in range(NOISY_SEEDS)
    ]
    false_ejections = sum(outcome.false_ejections for outcome in noisy)
    answers = sum(sum(outcome.answered.values()) for outcome in noisy)
    return Point(deployment, rate, detectable, tuple(detection_times_s), false_ejections, answers)


def draw(points: list[Point]) -> None:
    """Draws detection time against the false ejection rate, with a panel for each deployment."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, panels = pyplot.subplots(1, len(SERVICES), figsize=(11, 4.5), sharey=True)
    for panel, deployment in zip(panels, SERVICES, strict=True):
        for detectable in DETECTABLE_FAILURE_RATES:
            chosen_points = [
                p
                for p in points
                if (p.deployment, p.detectable_failure_rate) == (deployment, detectable)
            ]
            for index, case in enumerate(CASE_NAMES[:2]):
                detected = [p for p in chosen_points if p.detection_s[index] != NOT_DETECTED]
                panel.plot(
                    [p.false_ejection_rate for p in detected],
                    [p.detection_s[index] for p in detected],
                    marker="o",
                    label=f"{case}, share {detectable}",
                )
        for rate in FALSE_EJECTION_RATES:
            counts = [
                p.false_ejections
                for p in points
                if (p.deployment, p.false_ejection_rate) == (deployment, rate)
            ]
            if any(counts):
                text = f"false:\n{min(counts)} to {max(counts)}"
                panel.annotate(text, (rate, 0.1), fontsize=7, ha="right")
        panel.set_xscale("log")
        panel.set_title(deployment)
        panel.set_xlabel("false_ejection_rate")
    panels[0].set_ylabel("median detection, s")
    panels[0].legend(fontsize=7)
    OUTPUT_DIRECTORY.mkdir(exist_ok=True)
    figure.tight_layout()
    figure.savefig(OUTPUT_DIRECTORY / "tradeoff.png", dpi=110)


if __name__ == "__main__":
    main()
