"""Demonstration on stand-ins: a fleet serves callers while a host is killed and a target freezes.

Exits with status 0 only if each call ended in its own complete answer or a correct verdict, no
booking ran twice, more than half of the calls were answered, and the hosts stopped cleanly.
"""

import json
import signal
import sys
import time
from collections import Counter

import curio

from standins.caller import CallerStandin, Record, Seen
from standins.fleet import Fleet, load_example, open_fleet
from standins.history import check_history
from standins.tasks import run_together

HOSTS = (
    ("rabat-a-1", "rabat-a"),
    ("rabat-b-1", "rabat-b"),
    ("fes-a-1", "fes-a"),
    ("rabat-a-2", "rabat-a"),
)
CALLERS = 8
PHASE_SECONDS = 4.0


def main() -> None:
    """Runs the demonstration and exits with status 0 if it passed."""
    fleet = open_fleet()
    try:
        sys.exit(0 if run_demo(fleet) else 1)
    finally:
        fleet.stop()


def run_demo(fleet: Fleet) -> bool:
    """Runs all phases and returns whether every check passed."""
    print("Starting the platform, 25 targets and 4 hosts in 3 failure domains.")
    fleet.start_platform()
    objects = fleet.start_targets(load_example("bennani"))
    for name, failure_domain in HOSTS:
        fleet.start_host(name, failure_domain)
    print("Publishing the object set of examples/bennani.")
    if fleet.publish(objects) != 0:
        return False
    fleet.wait_version(1)
    fleet.wait_members()
    callers = [CallerStandin([h.callers for h in fleet.hosts.values()]) for _ in range(CALLERS)]
    phases = [
        ("quiet", lambda: None),
        ("killing host rabat-b-1", lambda: fleet.hosts["rabat-b-1"].process.kill()),
        ("freezing target reservations-2", lambda: freeze_target(fleet, "reservations-2")),
    ]
    for phase_title, inject_fault in phases:
        print(f"Callers at work: {phase_title}.")
        inject_fault()
        curio.run(run_callers, callers, PHASE_SECONDS)
    fleet.target_processes["reservations-2"].send_signal(signal.SIGCONT)
    return report(fleet, callers) and stop_gracefully(fleet)


def freeze_target(fleet: Fleet, name: str) -> None:
    """Suspends a target's process, which leaves its connections open."""
    fleet.target_processes[name].send_signal(signal.SIGSTOP)


async def run_callers(callers: list[CallerStandin], seconds: float) -> None:
    """Lets all callers send requests for some time."""
    end_s = time.monotonic() + seconds
    await run_together(_call_repeatedly(c, number, end_s) for number, c in enumerate(callers))


async def _call_repeatedly(caller: CallerStandin, number: int, end_s: float) -> None:
    count = 0
    while time.monotonic() < end_s:
        count += 1
        tag = f"{number}-{len(caller.history)}"
        if count % 3 == 0:
            await caller.write("reservations", f"/reservations/{tag}", b'{"room": 4}', repeats=2)
        else:
            await caller.read("availability", f"/availability/{tag}")
        await curio.sleep(0.02)


def report(fleet: Fleet, callers: list[CallerStandin]) -> bool:
    """Prints what the callers observed and checks their histories against what ran."""
    history: list[Record] = [record for caller in callers for record in caller.history]
    for seen, count in sorted(Counter(r.seen.value for r in history).items()):
        print(f"  {count:6} {seen}")
    for reason, count in sorted(Counter(r.reason for r in history if r.reason).items()):
        print(f"         {count} refused: {reason}")
    runs = fleet.list_runs()
    violations = check_history(history, runs)
    for violation in violations:
        print(f"  FAULT: {violation}")
    answered = sum(1 for record in history if record.seen is Seen.ANSWERED)
    print(f"  {len(runs)} requests ran at targets; {len(violations)} faults.")
    return not violations and answered > len(history) // 2


def stop_gracefully(fleet: Fleet) -> bool:
    """Stops all hosts by SIGTERM and returns whether all exited with status 0."""
    running = fleet.list_running_hosts()
    for host in running:
        host.process.send_signal(signal.SIGTERM)
    statuses = {host.name: host.process.wait(timeout=60) for host in running}
    print(f"Stopped gracefully: {json.dumps(statuses)}")
    return all(status == 0 for status in statuses.values())


if __name__ == "__main__":
    main()
