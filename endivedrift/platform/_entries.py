"""Entries with which targets register themselves in the store.

Each target writes one row under its own id, with its address, slots and state. The platform calls a
target a server and a failure domain a zone.
"""

from datetime import timedelta

from endivedrift.core import MAX_SLOTS, FailureDomain, ServiceName, TargetEntry, TargetName
from endivedrift.platform._fitting import fit_name
from endivedrift.platform._values import (
    WireError,
    escape_text,
    read_address,
    read_duration,
    read_field,
    read_integer,
    read_name,
)

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
        raise WireError(f"status.state: {escape_text(state)} is not known")
    # Write counter of the target's process. It is only validated, since it carries no state.
    read_integer(document, "status.sequence")
    return TargetEntry(
        name=TargetName(read_name({"id": name}, "id")),
        service=ServiceName(fit_name(read_field(document, "info.service", str))),
        address=read_address(document, "address"),
        failure_domain=FailureDomain(read_name(document, "info.zone")),
        slots=read_integer(document, "info.slots", least=1, most=MAX_SLOTS),
        leaving=_IS_LEAVING_BY_STATE[state],
        warm_up_left=_floor_seconds(read_duration(document, "status.warmupLeft")),
        started_ms=_read_started_ms(document),
    )


def _read_started_ms(document: object) -> int:
    """Returns when the target's process started (`born`), or 0 where the entry lacks it."""
    if not isinstance(document, dict) or "born" not in document:
        return 0
    return read_integer(document, "born")


def _floor_seconds(warm_up: timedelta) -> timedelta:
    """Truncates to whole seconds, so that fewer rewrites differ only in the remaining time."""
    return timedelta(seconds=int(warm_up.total_seconds()))
