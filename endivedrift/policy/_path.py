"""Recognises that a host has lost its paths to all targets, as opposed to targets that fail.

New connections to several targets that all fail, or requests at several targets that all get no
answer, tell of the host's own path. A connection that opens proves the path. Open connections may
live on while new ones fail, so answers over them prove nothing on new ones.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from endivedrift.core import Instant, TargetName

MIN_FAILED_TARGETS = 3
"""Targets that must fail, and none work, until the path is taken for the cause. Fewer often end at
the same moment."""
FAILURE_TTL = timedelta(seconds=3)
"""Time for which a failed connection counts: longer than that between two requests of a host to
which callers are sent, shorter than that between the ends of targets that are replaced in turn."""
TRIAL_INTERVAL = timedelta(milliseconds=500)
"""Time between two requests that try whether the path works again."""


@dataclass(slots=True)
class PathState:
    """What a host knows of its own paths to targets.

    Attributes:
      failed_at: When a new connection last failed, by target, since one was last opened.
      last_answer_at: When a target last answered, over whatever connection, or None.
      is_cut: Whether the host reaches no target.
      next_trial_at: When a request may next try whether it does again.
    """

    failed_at: dict[TargetName, Instant] = field(default_factory=dict)
    last_answer_at: Instant | None = None
    is_cut: bool = False
    next_trial_at: Instant = Instant(0)


def record_connection(path: PathState) -> bool:
    """Notes that a new connection was opened.

    Returns:
      Whether the host had been cut off until now.
    """
    was_cut, path.is_cut = path.is_cut, False
    path.failed_at.clear()
    return was_cut


def record_failed_connection(path: PathState, target: TargetName, at: Instant) -> None:
    """Notes that no connection to a target could be opened."""
    path.failed_at[target] = at


def detect_cut(
    path: PathState, silent_targets: Iterable[TargetName], target_count: int, at: Instant
) -> bool:
    """Decides whether the host reaches no target.

    Args:
      path: What is known; `is_cut` is set.
      silent_targets: Targets at which requests are overdue, with no answer of any target meanwhile.
      target_count: Number of targets that the host knows.
      at: Current time.
    Returns:
      Whether the host is cut off and was not before.
    """
    if path.is_cut or not target_count:
        return False
    for target in [t for t, failed_at in path.failed_at.items() if at - failed_at >= FAILURE_TTL]:
        del path.failed_at[target]
    failed = path.failed_at.keys() | set(silent_targets)
    if len(failed) < min(MIN_FAILED_TARGETS, target_count):
        return False
    path.is_cut = True
    path.next_trial_at = at + TRIAL_INTERVAL
    return True


def take_trial(path: PathState, at: Instant) -> bool:
    """Tells whether a request may try the path, and schedules the next trial."""
    if at < path.next_trial_at:
        return False
    path.next_trial_at = at + TRIAL_INTERVAL
    return True
