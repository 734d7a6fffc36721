"""Keeps what targets stated on their requests while their service is not in the object set.

The processes of these targets go on, and a later object set may bring the service back.
"""

from dataclasses import replace

from endivedrift.core import LeavingSource
from endivedrift.core.events import AttemptFinished
from endivedrift.policy import ServiceState
from endivedrift.reducer._state import Announcement, HostState


def keep_announcements(state: HostState, service: ServiceState) -> None:
    """Keeps what the targets of a service have stated that leaves the object set."""
    for name, record in service.targets.items():
        leaving = record.leaving_source is LeavingSource.ANNOUNCED
        if leaving or record.held_until or record.rate_limit is not None:
            entry = state.discovered.get(name)
            if entry is not None and entry.service == service.name:
                state.announcements[name] = Announcement(
                    entry.started_ms, leaving, record.held_until, record.rate_limit
                )


def note_late_announcement(state: HostState, event: AttemptFinished) -> None:
    """Keeps that a target is leaving, as the end of an attempt shows after its service left."""
    name = event.target
    entry = state.discovered.get(name)
    if not event.leaving or entry is None:
        return
    kept = state.announcements.get(name)
    if kept is None:
        kept = Announcement(entry.started_ms)
    state.announcements[name] = replace(kept, leaving=True)
