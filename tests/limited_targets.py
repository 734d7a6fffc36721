"""A simulated fleet some of whose targets state how many requests a second they take."""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

from endivedrift.core import NO_RATE_LIMIT, TargetName
from endivedrift.core.effects import SendToTarget
from tests.builders import HostHarness
from tests.crashing_targets import CrashingFleet, build_crash_set

TOLD_AFTER = timedelta(seconds=3)
"""Time after a target first stated a limit from which the whole fleet keeps to it."""
WINDOW = timedelta(seconds=4)
ALLOWED_FACTOR = 1.5
ALLOWED_MORE = 5
"""A target may get `ALLOWED_FACTOR` times what its limit allows in a window, and so many more."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a target, and the process of the host that sent it."""

    at: timedelta
    host: str
    harness: HostHarness
    target: TargetName


@dataclass(frozen=True, slots=True)
class Statement:
    """A change of the limit that a target states."""

    at: timedelta
    rate_limit: float


class LimitedFleet(CrashingFleet):
    """Hosts that share simulated targets, of which some state limits.

    Attributes:
      arrivals: All requests that reached a running target, whether it had room or not.
      statements: The limits that each target has stated, oldest first.
    """

    def __init__(self, count: int, targets: int, entry_hosts: int, seed: int = 1) -> None:
        """Starts hosts and targets.

        Args:
          count: The number of hosts.
          targets: The number of targets.
          entry_hosts: The number of primaries of the service.
          seed: The seed of requests, answers, losses and clocks.
        """
        self.arrivals: list[Arrival] = []
        self.statements: dict[TargetName, list[Statement]] = {}
        super().__init__(count, targets, seed, build_crash_set(entry_hosts))

    def state_limit(self, target: TargetName, rate_limit: float, after: float = 0.0) -> None:
        """Lets a target state a limit from a number of seconds on; NO_RATE_LIMIT withdraws it."""

        def change() -> None:
            self.targets[target].rate_limit = rate_limit
            self.statements.setdefault(target, []).append(Statement(self.now, rate_limit))

        self.schedule(timedelta(seconds=after), change)

    def _start_attempt(self, host: str, effect: SendToTarget) -> None:
        if self.targets[effect.target].is_up:
            arrival = Arrival(self.now, host, self.hosts[host], effect.target)
            self.arrivals.append(arrival)
        super()._start_attempt(host, effect)

    def count_arrivals(
        self, target: TargetName, since: timedelta, until: timedelta | None = None
    ) -> int:
        """Returns how many requests reached a target in a time."""
        end = self.now if until is None else until
        return sum(a.target == target and since <= a.at < end for a in self.arrivals)

    def find_excess(self, excused: frozenset[str] = frozenset()) -> list[str]:
        """Lists the windows in which a target got more requests than it may get.

        Args:
          excused: Hosts whose requests do not count.
        Returns:
          A sentence for each target whose limit was exceeded, on the worst window.
        """
        found = []
        for target, statements in self.statements.items():
            since = statements[0].at + TOLD_AFTER
            counted = [
                arrival.at
                for arrival in self.arrivals
                if arrival.target == target and arrival.at >= since and arrival.host not in excused
            ]
            worst = Counter[str]()
            for first, start in enumerate(counted):
                limit = self._find_greatest_limit(target, start)
                allowed = ALLOWED_FACTOR * limit * WINDOW.total_seconds() + ALLOWED_MORE
                count = sum(at < start + WINDOW for at in counted[first:])
                if count > allowed:
                    text = f"{target}, limit {limit:g}/s: {count} in 4 s, allowed {allowed:g}"
                    worst[text] = count
            found += [text for text, _ in worst.most_common(1)]
        return found

    def _find_greatest_limit(self, target: TargetName, start: timedelta) -> float:
        """Returns the greatest limit that was in force shortly before or in a window."""
        statements = self.statements[target]
        limits = [
            statement.rate_limit
            for statement, following in zip(statements, [*statements[1:], None], strict=True)
            if statement.at < start + WINDOW
            and (following is None or following.at + TOLD_AFTER > start)
        ]
        return max(limits, default=NO_RATE_LIMIT)
