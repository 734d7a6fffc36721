"""Recognises requests that end the targets that run them.

Such a request comes again, at any host, and would end one target after the other. A request is
suspected when a target ends while it works on it, together with all others in progress there. It is
quarantined when that has happened at several targets and no target has answered it. One that was
answered is harmless: it was in progress at a target that ended for another reason.

The records of all hosts can be merged in any order, any number of times.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta

from endivedrift.core import Instant, RequestDigest, SuspectReport, TargetEnd, TargetName

QUARANTINE_MIN_ENDS = 3
"""Ended targets from which a request is quarantined. Of the requests that were in progress beside
it, hardly one was so at three targets and answered by none."""
QUARANTINE_TIME = timedelta(minutes=10)
"""Time since the last end for which a request is quarantined. It doubles with each further end."""
SUSPICION_TIME = timedelta(minutes=10)
"""Time since the last end after which a request that was not quarantined is forgotten."""
MEMORY_TIME = timedelta(hours=12)
"""Time since the last end after which a request that was quarantined is forgotten."""
HARMLESS_TIME = timedelta(seconds=10)
"""Time after an answer for which ends of targets do not count against a request. It is short since
a new release of a service may fail on a request that the previous one has answered."""
RESTART_TIME = timedelta(seconds=1)
"""Time within which two ends of a target that does not state its start are the same one."""
MAX_SUSPECTS = 1_024
MAX_ENDS = 8
"""Ends that are kept of one request: three to quarantine it, others to extend that time."""
MAX_ANSWERED = 4_096
"""Answered requests that are remembered, for `HARMLESS_TIME` at most."""


@dataclass(frozen=True, slots=True)
class ObservedEnd:
    """The end of one target process; `started_ms` is 0 if its start is not known."""

    target: TargetName
    started_ms: int
    at: Instant


@dataclass(slots=True)
class Suspect:
    """What is known of a request that was in progress at a target that ended.

    Attributes:
      ends: The ended targets.
      answered_at: When a target last answered the request, as far as known, or None.
      is_own: Whether this host observed one of the ends.
    """

    ends: list[ObservedEnd] = field(default_factory=list)
    answered_at: Instant | None = None
    is_own: bool = False

    def list_counted_ends(self) -> list[ObservedEnd]:
        """Lists the ends since the latest answer, the latest last."""
        ends = sorted(self.ends, key=lambda end: end.at)
        if self.answered_at is None:
            return ends
        return [end for end in ends if end.at > self.answered_at + HARMLESS_TIME]


@dataclass(slots=True)
class Quarantine:
    """The suspected requests by digest, and those answered lately with the time of the answer."""

    suspects: OrderedDict[RequestDigest, Suspect] = field(default_factory=OrderedDict)
    answered: OrderedDict[RequestDigest, Instant] = field(default_factory=OrderedDict)


def compute_quarantine_end(
    quarantine: Quarantine, digest: RequestDigest, at: Instant
) -> Instant | None:
    """Returns until when a request is quarantined, or None if it is not."""
    suspect = quarantine.suspects.get(digest)
    if suspect is None:
        return None
    ends = suspect.list_counted_ends()
    if len(ends) < QUARANTINE_MIN_ENDS:
        return None
    until = ends[-1].at + QUARANTINE_TIME * 2 ** (len(ends) - QUARANTINE_MIN_ENDS)
    return until if at < until else None


def record_answer(quarantine: Quarantine, digest: RequestDigest, at: Instant) -> bool:
    """Notes that a target answered a request.

    Returns:
      Whether the request was suspected until now.
    """
    quarantine.answered[digest] = at
    quarantine.answered.move_to_end(digest)
    if len(quarantine.answered) > MAX_ANSWERED:
        quarantine.answered.popitem(last=False)
    suspect = quarantine.suspects.get(digest)
    return suspect is not None and _clear(suspect, at)


def record_end(
    quarantine: Quarantine, digest: RequestDigest, target: TargetName, started_ms: int, at: Instant
) -> bool:
    """Notes that a target ended while it worked on a request from this host.

    Returns:
      Whether that counts against the request.
    """
    suspect = _get_or_add(quarantine, digest)
    suspect.is_own = True
    _add_end(suspect, ObservedEnd(target, started_ms, at))
    return bool(suspect.list_counted_ends())


def merge_report(quarantine: Quarantine, report: SuspectReport, at: Instant) -> bool:
    """Merges what another host knows of a request.

    Returns:
      Whether an answer in the report cleared the request, which was suspected until now.
    """
    if not report.ends and report.answer_age is None:
        return False
    suspect = _get_or_add(quarantine, report.digest)
    for end in report.ends:
        _add_end(suspect, ObservedEnd(end.target, end.started_ms, at - end.age))
    if report.answer_age is None:
        return False
    return _clear(suspect, at - report.answer_age)


def is_known_harmless(quarantine: Quarantine, digest: RequestDigest, at: Instant) -> bool:
    """Tells whether this host itself has had an answer to the request lately."""
    answered_at = quarantine.answered.get(digest)
    return answered_at is not None and at - answered_at < HARMLESS_TIME


def build_report(quarantine: Quarantine, digest: RequestDigest, at: Instant) -> SuspectReport:
    """Builds the report to other hosts on a suspected request."""
    suspect = quarantine.suspects[digest]
    ends = tuple(
        TargetEnd(e.target, e.started_ms, max(timedelta(0), at - e.at)) for e in suspect.ends
    )
    answered_at = suspect.answered_at
    return SuspectReport(
        digest, ends, None if answered_at is None else max(timedelta(0), at - answered_at)
    )


def list_reportable(
    quarantine: Quarantine, at: Instant, changed_within: timedelta
) -> list[RequestDigest]:
    """Lists the requests that are quarantined, and those that were suspected or cleared lately."""
    return [
        digest
        for digest, suspect in quarantine.suspects.items()
        if at - _get_last_change(suspect) < changed_within
        or compute_quarantine_end(quarantine, digest, at) is not None
    ]


def forget_old_suspects(quarantine: Quarantine, at: Instant) -> None:
    """Drops what has become too old to count."""
    for digest, suspect in list(quarantine.suspects.items()):
        was_quarantined = len(suspect.list_counted_ends()) >= QUARANTINE_MIN_ENDS
        limit = MEMORY_TIME if was_quarantined else SUSPICION_TIME
        if at - _get_last_change(suspect) >= limit:
            del quarantine.suspects[digest]
    while quarantine.answered:
        oldest = next(iter(quarantine.answered))
        if at - quarantine.answered[oldest] < HARMLESS_TIME:
            break
        del quarantine.answered[oldest]


def _get_last_change(suspect: Suspect) -> Instant:
    times = [end.at for end in suspect.ends]
    if suspect.answered_at is not None:
        times.append(suspect.answered_at)
    return max(times)


def _get_or_add(quarantine: Quarantine, digest: RequestDigest) -> Suspect:
    """Returns the record of a request. A new one may displace another that is not quarantined."""
    suspect = quarantine.suspects.get(digest)
    if suspect is not None:
        return suspect
    suspect = Suspect(answered_at=quarantine.answered.get(digest))
    if len(quarantine.suspects) >= MAX_SUSPECTS:
        del quarantine.suspects[_find_displaced(quarantine)]
    quarantine.suspects[digest] = suspect
    return suspect


def _find_displaced(quarantine: Quarantine) -> RequestDigest:
    counts = {d: len(s.list_counted_ends()) for d, s in quarantine.suspects.items()}
    return min(counts, key=lambda digest: (counts[digest] >= QUARANTINE_MIN_ENDS))


def _add_end(suspect: Suspect, observed: ObservedEnd) -> None:
    if any(_is_same_end(known, observed) for known in suspect.ends):
        return
    suspect.ends.append(observed)
    if len(suspect.ends) > MAX_ENDS:
        suspect.ends.remove(min(suspect.ends, key=lambda end: end.at))


def _is_same_end(first: ObservedEnd, second: ObservedEnd) -> bool:
    if first.target != second.target or first.started_ms != second.started_ms:
        return False
    return first.started_ms > 0 or abs(first.at - second.at) < RESTART_TIME


def _clear(suspect: Suspect, answered_at: Instant) -> bool:
    was_suspected = bool(suspect.list_counted_ends())
    if suspect.answered_at is None or suspect.answered_at < answered_at:
        suspect.answered_at = answered_at
    return was_suspected and not suspect.list_counted_ends()
