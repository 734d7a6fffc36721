"""Entries by which targets register themselves in the store."""

from datetime import timedelta

from endivedrift.core import Address, FailureDomain, ServiceName, TargetEntry, TargetName
from endivedrift.objects import Target
from endivedrift.platform._values import WireError, read_duration, read_field

_STATES = {"ready": False, "draining": True}


def read_entry(name: str, document: object) -> TargetEntry:
    """Reads one entry.

    Args:
      name: Key of its row, which is the target's id.
      document: JSON value of the row.
    Returns:
      The target.
    Raises:
      WireError: If a field is missing, of another type, or has a value that is not known.
    """
    state = read_field(document, "status.state", str)
    if state not in _STATES:
        raise WireError(f"status.state: {state!r} is not known")
    address = read_field(document, "address", str)
    domain = read_field(document, "info.zone", str)
    slots = read_field(document, "info.slots", int)
    warm_up = read_field(document, "status.warmupLeft", str)
    # Counts the writes of one target process; changes without telling anything.
    read_field(document, "status.sequence", int)
    try:
        Target(name=name, address=address, failure_domain=domain)
    except ValueError as error:
        raise WireError(f"{name}: {error}") from None
    if slots < 1:
        raise WireError(f"info.slots: {slots} is less than 1")
    return TargetEntry(
        name=TargetName(name),
        service=ServiceName(read_field(document, "info.service", str)),
        address=Address(address),
        failure_domain=FailureDomain(domain),
        slots=slots,
        leaving=_STATES[state],
        warm_up_left=_floor_seconds(read_duration(warm_up, "status.warmupLeft")),
        started_ms=_read_born(document),
    )


def _read_born(document: object) -> int:
    if not isinstance(document, dict) or "born" not in document:
        return 0
    born: int = read_field(document, "born", int)
    return born


def _floor_seconds(warm_up: timedelta) -> timedelta:
    """Drops fractions, so that an entry that only grew older compares equal more often."""
    return timedelta(seconds=int(warm_up.total_seconds()))
