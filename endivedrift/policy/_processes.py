"""What the processes of targets have stated of themselves.

A statement holds for as long as its process lives, whatever becomes of the target's registration,
of its service or of this host's paths. It is kept in one place, by the name of the target and the
start of its process, and the record of a target refers to it.
"""

from dataclasses import dataclass, field

from endivedrift.core import Instant, ProcessId, TargetEntry, TargetName, identify_process
from endivedrift.policy._rate_limit import RateLimit

MAX_UNREGISTERED = 4_096


@dataclass(slots=True)
class Process:
    """What one process of a target has stated, and what is known of its registration.

    Attributes:
      leaving: Whether it stated that it is shutting down.
      held_until: Until when it wants no request from this host.
      rate_limit: Limit on the requests of all hosts that it states, or None.
      removed_in_era: Era of the store in which its registration was removed, or None if it is
        registered or never was.
    """

    leaving: bool = False
    held_until: Instant = Instant(0)
    rate_limit: RateLimit | None = None
    removed_in_era: int | None = None


@dataclass(slots=True)
class ProcessTable:
    """The processes that are registered, and the latest of those that are not.

    Attributes:
      processes: All of them.
      unregistered: Those without a registration, the latest last.
    """

    processes: dict[ProcessId, Process] = field(default_factory=dict)
    unregistered: dict[ProcessId, None] = field(default_factory=dict)


def get_process(table: ProcessTable, process_id: ProcessId) -> Process:
    """Returns what is known of a process, which need not be registered."""
    process = table.processes.get(process_id)
    if process is None:
        process = table.processes[process_id] = Process()
        _keep_unregistered(table, process_id)
    return process


def add_registration(table: ProcessTable, entry: TargetEntry) -> None:
    """Notes that a process is registered."""
    process_id = identify_process(entry)
    get_process(table, process_id).removed_in_era = None
    table.unregistered.pop(process_id, None)


def note_removal(table: ProcessTable, entry: TargetEntry, era: int) -> None:
    """Notes the first sign that the registration of a process was removed.

    Args:
      table: The processes.
      entry: The registration.
      era: Era of the store.
    """
    process = get_process(table, identify_process(entry))
    if process.removed_in_era is None:
        process.removed_in_era = era


def end_registration(table: ProcessTable, entry: TargetEntry) -> None:
    """Notes that a process is no longer registered.

    It is forgotten if it has not stated its start, since it could not be told from a later process.
    """
    process_id = identify_process(entry)
    if not entry.started_ms:
        table.processes.pop(process_id, None)
    elif process_id in table.processes:
        _keep_unregistered(table, process_id)


def find_unregistered(table: ProcessTable, name: TargetName) -> Process | None:
    """Returns the latest process of a target that has no registration, or None."""
    for process_id in reversed(table.unregistered):
        if process_id.name == name:
            return table.processes[process_id]
    return None


def _keep_unregistered(table: ProcessTable, process_id: ProcessId) -> None:
    """Keeps a process among those without a registration, and forgets the earliest beyond them."""
    table.unregistered.pop(process_id, None)
    table.unregistered[process_id] = None
    if len(table.unregistered) > MAX_UNREGISTERED:
        earliest = next(iter(table.unregistered))
        del table.unregistered[earliest], table.processes[earliest]
