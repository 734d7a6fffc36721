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
FLAP_WINDOW = timedelta(seconds=20)
"""Time between two losses of the paths up to which they count as paths that come and go."""
FIRST_HOLD = timedelta(seconds=2)
"""Time for which paths that were lost must work before they are used again. It is doubled after
each further loss. Until then requests are forwarded, which costs them one more hop."""
MAX_HOLD = timedelta(seconds=8)
TRIAL_INTERVAL = timedelta(milliseconds=500)
"""Time between two requests that try whether the path works again."""
UNREPEATABLE_TRIAL_DELAY = timedelta(seconds=1)
"""Time after a trial is due from which a request that must not be repeated makes it."""


@dataclass(slots=True)
class PathState:
    """What a host knows of its own paths to targets.

    Attributes:
      failed_at: When a new connection last failed, by target, since one was last opened.
      last_answer_at: When a target last answered, over whatever connection, or None.
      is_cut: Whether the host reaches no target.
      next_trial_at: When a request may next try whether it does again.
      cut_count: Times that the paths were lost, with less than FLAP_WINDOW between two of them.
      last_cut_at: When they were lost last.
      proven_since: While `is_cut`, since when all trials have succeeded, or None.
    """

    failed_at: dict[TargetName, Instant] = field(default_factory=dict)
    last_answer_at: Instant | None = None
    is_cut: bool = False
    next_trial_at: Instant = Instant(0)
    cut_count: int = 0
    last_cut_at: Instant = Instant(0)
    proven_since: Instant | None = None


def record_connection(path: PathState, at: Instant) -> bool:
    """Notes that a new connection was opened.

    Paths that come and go must work for some time, which doubles with each loss, before the host
    relies on them: each loss costs the requests in progress.

    Returns:
      Whether the host had been cut off until now, and is so no longer.
    """
    path.failed_at.clear()
    if not path.is_cut:
        return False
    if path.proven_since is None:
        path.proven_since = at
    hold = min(FIRST_HOLD * 2 ** (path.cut_count - 1), MAX_HOLD)
    if at - path.proven_since < hold:
        return False
    path.is_cut = False
    return True


def record_failed_connection(path: PathState, target: TargetName, at: Instant) -> None:
    """Notes that no connection to a target could be opened."""
    path.failed_at[target] = at
    path.proven_since = None


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
    path.cut_count = path.cut_count + 1 if at - path.last_cut_at < FLAP_WINDOW else 1
    path.last_cut_at = at
    path.proven_since = None
    path.next_trial_at = at + TRIAL_INTERVAL
    return True


def take_trial(path: PathState, at: Instant, is_repeatable: bool = True) -> bool:
    """Tells whether a request may try the path, and schedules the next trial.

    One that must not be repeated, and may be lost by it, does so only if no other has for long.
    """
    patience = timedelta(0) if is_repeatable else UNREPEATABLE_TRIAL_DELAY
    if at < path.next_trial_at + patience:
        return False
    path.next_trial_at = at + TRIAL_INTERVAL
    return True
