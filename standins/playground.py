"""Runs a small deployment on stand-ins for manual experiments until it is interrupted.

Prints the addresses of the processes and the path of a configuration for the command-line tool.
"""

import signal

from standins.fleet import load_example, open_fleet, write_object_set

HOSTS = (("rabat-a-1", "rabat-a"), ("rabat-b-1", "rabat-b"), ("fes-a-1", "fes-a"))
STOP_SIGNALS = frozenset({signal.SIGINT, signal.SIGTERM})


def main() -> None:
    """Starts the deployment, prints its addresses, and waits for SIGINT or SIGTERM."""
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    fleet = open_fleet(entry_max_age_s=5.0)
    try:
        fleet.start_platform()
        objects = fleet.start_targets(load_example("bennani"))
        for name, failure_domain in HOSTS:
            fleet.start_host(name, failure_domain)
        directory = fleet.directory / "objects"
        write_object_set(objects, directory)
        fleet.publish(objects)
        fleet.wait_version(1)
        print(f"export ENDIVEDRIFT_CONFIG={fleet.write_tool_config()}")
        print(f"object set to edit and publish: {directory}")
        for host in fleet.hosts.values():
            print(f"{host.name}: callers http://{host.callers}  operators http://{host.operators}")
        for name in ("availability-1", "reservations-1"):
            print(f"target {name}: http://{fleet.targets[name]}/control/faults takes faults by PUT")
        print("Interrupt to stop.", flush=True)
        signal.sigwait(STOP_SIGNALS)
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
