"""Entries with which targets register themselves in the store.

Each target writes one row under its own id, with its address, slots and state. The platform calls a
target a server and a failure domain a zone.
"""

from datetime import timedelta

from endivedrift.core import Address, FailureDomain, ServiceName, TargetEntry, TargetName
from endivedrift.objects import Target
from endivedrift.platform._values import WireError, read_duration, read_field

_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


def read_entry(name: str, document: object) -> TargetEntry:
    """Reads the entry of one target.

    Args:
      name: Key of its row, which is the target's id.
      document: JSON value of the row.
    Returns:
      The target.
    Raises:
      WireError: If a field is missing, has the wrong type or an invalid value.
    """
    state = read_field(document, "status.state", str)
    if state not in _IS_LEAVING_BY_STATE:
        raise WireError(f"status.state: {state!r} is not known")
    address = read_field(document, "address", str)
    domain = read_field(document, "info.zone", str)
    slots = read_field(document, "info.slots", int)
    warm_up = read_field(document, "status.warmupLeft", str)
    # Write counter of the target's process. It is only validated, since it carries no state.
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
        leaving=_IS_LEAVING_BY_STATE[state],
        warm_up_left=_floor_seconds(read_duration(warm_up, "status.warmupLeft")),
        started_ms=_read_started_ms(document),
    )


def _read_started_ms(document: object) -> int:
    """Returns when the target's process started (`born`), or 0 where the entry lacks it."""
    if not isinstance(document, dict) or "born" not in document:
        return 0
    started_ms: int = read_field(document, "born", int)
    return started_ms


def _floor_seconds(warm_up: timedelta) -> timedelta:
    """Truncates to whole seconds, so that fewer rewrites differ only in the remaining time."""
    return timedelta(seconds=int(warm_up.total_seconds()))
