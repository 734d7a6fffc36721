"""Attributes failures at a target to the target, or to the paths of the hosts that saw them.

For each target, a host keeps what each host last saw there, by its own requests and by the reports
of others. Hosts that fail while more hosts succeed with later requests have lost their path to the
target. Their failures do not count against it. If no host succeeds, the target is at fault. Until
one or the other is known, a failure that another host reported makes the target a last resort.

Only failures without an answer are attributed: an answer, also one with an error, proves the path.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from endivedrift.core import HostId, Instant

THIS_HOST = HostId("")
"""Key of this host's own observations."""
OBSERVATION_TTL = timedelta(seconds=10)
"""Time for which an observation counts, and after which a lost path is used again like any other:
several times the longest period for which targets reset connections."""
START_TOLERANCE = timedelta(milliseconds=50)
"""Difference between two reports of the start of the same request: the jitter of datagrams."""
MIN_TARGET_OBSERVERS = 2
"""Hosts that fail, while none succeeds later, from which the target is held to be at fault."""
MAX_DOUBTFUL_SHARE = 1.0 / 3.0
"""Share of the targets of a service that are paused at the same time on the report of a single
other host each. Further ones are only avoided: a host that loses paths reports many targets."""
FIRST_TRIAL_DELAY = timedelta(seconds=1)
"""Time after the loss of a path until a request tries it; doubled after each trial that fails."""
MAX_TRIAL_DELAY = timedelta(seconds=8)


@dataclass(slots=True)
class Observation:
    """What one host has seen at one target.

    Attributes:
      failed_since: Start of its failures since its last success, or None if it succeeded last.
      failure_count: Number of them.
      last_good_start: Start of its latest request known to have been answered well, or None.
      charged: Evidence in nats by which these failures have raised the shared test.
      is_path_lost: Whether they are attributed to the path between this host and the target.
      updated_at: When it was last heard of.
    """

    failed_since: Instant | None = None
    failure_count: int = 0
    last_good_start: Instant | None = None
    charged: float = 0.0
    is_path_lost: bool = False
    updated_at: Instant = Instant(0)


@dataclass(slots=True)
class TargetPath:
    """The path from this host to one target, and what is known of the paths of other hosts.

    Attributes:
      observations: What each host has seen at the target.
      failing: Hosts whose last request got no answer, for whatever cause.
      lost_at: When this host's failures were attributed to its path, or None while it works.
      next_trial_at: When a request may next try a lost path.
      trial_delay: Time between the latest trial and the next one.
      is_doubtful: Whether the latest pause rests on the report of a single other host.
      unsent_unanswered: Failures without an answer not yet reported to other hosts.
      unsent_far_unanswered: Those reported to hosts that are told of each attempt, but not yet to
        the others.
    """

    observations: dict[HostId, Observation] = field(default_factory=dict)
    failing: set[HostId] = field(default_factory=set)
    lost_at: Instant | None = None
    next_trial_at: Instant = Instant(0)
    trial_delay: timedelta = FIRST_TRIAL_DELAY
    is_doubtful: bool = False
    unsent_unanswered: int = 0
    unsent_far_unanswered: int = 0

    def is_excluded(self, may_try: bool, at: Instant) -> bool:
        """Tells whether a request must not use the path; `may_try` allows a trial of a lost one."""
        if self.lost_at is None:
            return False
        return not may_try or at < self.next_trial_at

    def is_proven(self, since: Instant) -> bool:
        """Tells whether this host's last request succeeded, and one sent after a time did."""
        seen = self.observations.get(THIS_HOST)
        if seen is None or seen.failed_since is not None or seen.last_good_start is None:
            return False
        return seen.last_good_start > since

    def reaches(self, host: HostId) -> bool:
        """Tells whether another host last succeeded at the target."""
        seen = self.observations.get(host)
        return seen is not None and seen.failed_since is None and seen.last_good_start is not None

    @property
    def own_good_start(self) -> Instant | None:
        """Start of this host's latest request that was answered well, or None."""
        seen = self.observations.get(THIS_HOST)
        return seen.last_good_start if seen is not None else None

    @property
    def own_failed_since(self) -> Instant | None:
        """Start of this host's failures since its last success, or None."""
        seen = self.observations.get(THIS_HOST)
        return seen.failed_since if seen is not None else None

    @property
    def fails_here(self) -> bool:
        """Whether this host's last request got no answer."""
        return THIS_HOST in self.failing


def note_success(path: TargetPath, host: HostId, start: Instant, at: Instant) -> float:
    """Notes a good answer to a request of a host.

    Args:
      path: The path.
      host: The host, or THIS_HOST.
      start: When the request was sent.
      at: Current time.
    Returns:
      Evidence in nats to add to the shared test again, since a single failure that was attributed
      to the path was not the path's: a path is not lost for one request.
    """
    seen = path.observations.setdefault(host, Observation())
    seen.updated_at = at
    known = seen.last_good_start
    is_new = known is None or start > known + START_TOLERANCE
    if known is None or start > known:
        seen.last_good_start = start
    if seen.failed_since is None or not (is_new or host == THIS_HOST):
        return 0.0
    path.failing.discard(host)
    was_single = seen.is_path_lost and seen.failure_count == 1
    owed = seen.charged if was_single else 0.0
    seen.failed_since, seen.failure_count = None, 0
    seen.charged, seen.is_path_lost = 0.0, False
    return owed


def note_failure(
    path: TargetPath, host: HostId, since: Instant, at: Instant, count: int = 1, charged: float = 0
) -> None:
    """Notes requests of a host that got no answer.

    Args:
      path: The path.
      host: The host, or THIS_HOST.
      since: When the first of them failed, or was sent if it is still without an answer.
      at: Current time.
      count: Number of the requests.
      charged: Evidence in nats by which they have raised the shared test.
    """
    seen = path.observations.setdefault(host, Observation())
    seen.updated_at = at
    path.failing.add(host)
    if seen.failed_since is None:
        seen.failed_since = since
    seen.failure_count += count
    seen.charged += charged


def attribute_failures(path: TargetPath, at: Instant) -> list[HostId]:
    """Attributes the failures of a minority of hosts to their paths.

    Returns:
      The hosts whose paths are newly held to be lost.
    """
    failing = _list_failing(path, at)
    if not failing:
        return []
    since = min(seen.failed_since for _, seen in failing if seen.failed_since is not None)
    if _count_succeeding(path, since) <= len(failing):
        return []
    # A target that fails some requests of every host leaves most hosts with a failure.
    if _count_succeeding(path, at - OBSERVATION_TTL) <= len(path.failing):
        return []
    for _, seen in failing:
        seen.is_path_lost = True
    return [host for host, _ in failing]


def is_target_at_fault(path: TargetPath, at: Instant) -> bool:
    """Tells whether several hosts fail at a target and none has succeeded since."""
    failing = _list_failing(path, at)
    if len(failing) < MIN_TARGET_OBSERVERS:
        return False
    since = min(seen.failed_since for _, seen in failing if seen.failed_since is not None)
    return not _count_succeeding(path, since)


def is_reached_elsewhere(path: TargetPath) -> bool:
    """Tells whether another host has succeeded since this host's requests began to fail."""
    since = path.own_failed_since
    return since is not None and _count_succeeding(path, since) > 0


def is_path_lost(path: TargetPath, host: HostId) -> bool:
    """Tells whether the failures of a host are attributed to its path."""
    seen = path.observations.get(host)
    return seen is not None and seen.is_path_lost


def mark_lost(path: TargetPath, at: Instant) -> None:
    """Takes the path of this host out of use until a trial succeeds."""
    path.lost_at = at
    path.trial_delay = FIRST_TRIAL_DELAY
    path.next_trial_at = at + FIRST_TRIAL_DELAY
    path.unsent_unanswered = 0


def begin_trial(path: TargetPath, at: Instant) -> None:
    """Schedules the next trial of a lost path, to which a request is being sent."""
    path.trial_delay = min(path.trial_delay * 2, MAX_TRIAL_DELAY)
    path.next_trial_at = at + path.trial_delay


def mark_working(path: TargetPath) -> bool:
    """Puts the path of this host into use again.

    Returns:
      Whether it was lost.
    """
    was_lost, path.lost_at = path.lost_at is not None, None
    return was_lost


def forget_old_observations(path: TargetPath, at: Instant) -> bool:
    """Drops observations that are too old to count.

    Returns:
      Whether the lost path of this host is used again because no request has tried it for long.
    """
    observations = path.observations
    for host in [h for h, o in observations.items() if at - o.updated_at >= OBSERVATION_TTL]:
        del observations[host]
        path.failing.discard(host)
    return THIS_HOST not in observations and mark_working(path)


def _list_failing(path: TargetPath, at: Instant) -> list[tuple[HostId, Observation]]:
    """Lists the hosts that fail and whose path is not known to be the cause."""
    return [
        (host, seen)
        for host, seen in path.observations.items()
        if host in path.failing and not seen.is_path_lost and _is_recent(seen, at)
    ]


def _count_succeeding(path: TargetPath, since: Instant) -> int:
    """Counts the hosts that succeeded with requests sent after a time and have not failed since."""
    succeeding: Iterable[Observation] = path.observations.values()
    return sum(
        1
        for seen in succeeding
        if seen.failed_since is None
        and seen.last_good_start is not None
        and seen.last_good_start > since
    )


def _is_recent(seen: Observation, at: Instant) -> bool:
    return at - seen.updated_at < OBSERVATION_TTL
