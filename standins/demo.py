"""The main job on stand-ins: a fleet serves callers while a host dies and a target freezes.

Exit status 0 only if each call ended in a complete answer of its own or an honest verdict, and no
booking ran twice.
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
    """Runs the demonstration and exits with its verdict."""
    fleet = open_fleet()
    try:
        sys.exit(0 if run_demo(fleet) else 1)
    finally:
        fleet.stop()


def run_demo(fleet: Fleet) -> bool:
    """Runs all phases and tells whether every caller was served as it should be."""
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
    disturb = [
        ("quiet", lambda: None),
        ("killing host rabat-b-1", lambda: fleet.hosts["rabat-b-1"].process.kill()),
        ("freezing target reservations-2", lambda: freeze_target(fleet, "reservations-2")),
    ]
    for title, action in disturb:
        print(f"Callers at work: {title}.")
        action()
        curio.run(call_for, callers, PHASE_SECONDS)
    fleet.target_processes["reservations-2"].send_signal(signal.SIGCONT)
    return report(fleet, callers) and stop_gracefully(fleet)


def freeze_target(fleet: Fleet, name: str) -> None:
    """Stops a target without closing its connections."""
    fleet.target_processes[name].send_signal(signal.SIGSTOP)


async def call_for(callers: list[CallerStandin], seconds: float) -> None:
    """Lets all callers work for some time."""
    end = time.monotonic() + seconds
    await run_together(_call_repeatedly(c, number, end) for number, c in enumerate(callers))


async def _call_repeatedly(caller: CallerStandin, number: int, end: float) -> None:
    count = 0
    while time.monotonic() < end:
        count += 1
        tag = f"{number}-{len(caller.history)}"
        if count % 3 == 0:
            await caller.write("reservations", f"/reservations/{tag}", b'{"room": 4}', repeats=2)
        else:
            await caller.read("availability", f"/availability/{tag}")
        await curio.sleep(0.02)


def report(fleet: Fleet, callers: list[CallerStandin]) -> bool:
    """Prints what the callers saw and checks their histories against what ran."""
    history: list[Record] = [record for caller in callers for record in caller.history]
    for seen, count in sorted(Counter(r.seen.value for r in history).items()):
        print(f"  {count:6} {seen}")
    for reason, count in sorted(Counter(r.reason for r in history if r.reason).items()):
        print(f"         {count} refused: {reason}")
    runs = fleet.list_runs()
    faults = check_history(history, runs)
    for fault in faults:
        print(f"  FAULT: {fault}")
    answered = sum(1 for record in history if record.seen is Seen.ANSWERED)
    print(f"  {len(runs)} requests ran at targets; {len(faults)} faults.")
    return not faults and answered > len(history) // 2


def stop_gracefully(fleet: Fleet) -> bool:
    """Stops all hosts by SIGTERM and checks their exit statuses."""
    running = fleet.running_hosts()
    for host in running:
        host.process.send_signal(signal.SIGTERM)
    statuses = {host.name: host.process.wait(timeout=60) for host in running}
    print(f"Stopped gracefully: {json.dumps(statuses)}")
    return all(status == 0 for status in statuses.values())


if __name__ == "__main__":
    main()
