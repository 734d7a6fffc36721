"""A simulated fleet of which some hosts lose their paths to all targets.

Connections to targets are kept and used again, so that a path can also be lost to new ones only.
"""

from collections import Counter, defaultdict
from datetime import timedelta
from enum import Enum
from functools import partial

from endivedrift.core import AttemptOutcome, Instant, RequestId, TargetName
from endivedrift.core.effects import AbortAttempt, SendToTarget
from endivedrift.core.events import AttemptLate
from tests.crashing_targets import (
    FAST_FAILURE,
    CrashingFleet,
    Run,
    SentRequest,
    build_crash_set,
)


class PathLoss(Enum):
    """What happens to the connections between a host and all targets."""

    HANGING = "no packet arrives"
    RESET = "all are reset, new ones are refused"
    KEPT = "open ones live on, new ones are refused"


_ANSWERS = (AttemptOutcome.ANSWERED, AttemptOutcome.SHED)


class PartitionedFleet(CrashingFleet):
    """Hosts that share simulated targets, of which some hosts reach none.

    Attributes:
      losses: What has happened to the paths of each host that reaches no target.
    """

    def __init__(self, count: int, targets: int, entry_hosts: int, seed: int = 1) -> None:
        """Starts hosts and targets.

        Args:
          count: The number of hosts.
          targets: The number of targets.
          entry_hosts: The number of primaries of the service.
          seed: The seed of requests, answers, losses and clocks.
        """
        self.losses: dict[str, PathLoss] = {}
        self._is_kept = False
        self._idle: dict[tuple[str, TargetName], list[timedelta]] = defaultdict(list)
        self._deadlines: dict[tuple[str, RequestId], Instant] = {}
        super().__init__(count, targets, seed, build_crash_set(entry_hosts))

    def lose_paths(self, hosts: list[str], loss: PathLoss) -> None:
        """Takes the paths to all targets from some hosts."""
        self.losses.update(dict.fromkeys(hosts, loss))
        if loss is not PathLoss.RESET:
            return
        for target in self.targets.values():
            for run in [run for run in target.running if run.sent.host in hosts]:
                target.running.remove(run)
                self.schedule(FAST_FAILURE, partial(self._report_reset, run))
        for host, name in list(self._idle):
            if host in hosts:
                del self._idle[host, name]

    def restore_paths(self) -> None:
        """Gives all hosts their paths back."""
        self.losses.clear()

    def _start_attempt(self, host: str, effect: SendToTarget) -> None:
        self._deadlines[host, effect.request] = effect.deadline
        is_kept = self._is_kept = self._take_idle(host, effect)
        loss = self.losses.get(host)
        if loss is None or (loss is PathLoss.KEPT and is_kept):
            super()._start_attempt(host, effect)
            return
        self._queued.pop((host, effect.request), None)
        sent = self._open[host, effect.request]
        run = Run(self.now, sent, self.hosts[host], effect.request, effect.target, not is_kept)
        if loss is not PathLoss.HANGING:
            report = partial(self._report, run, AttemptOutcome.NOT_CONNECTED)
            self.schedule(FAST_FAILURE, report)
        elif is_kept:
            self._hang(run)
            self.schedule(effect.late_after, partial(self._check_late, run, effect))
        else:
            report = partial(self._report, run, AttemptOutcome.NOT_CONNECTED)
            self.schedule(effect.connect_timeout, report)

    def opens_connection(self, host: str, effect: SendToTarget) -> bool:
        """Tells whether no kept connection is used for an attempt."""
        return not self._is_kept

    def _take_idle(self, host: str, effect: SendToTarget) -> bool:
        """Uses a kept connection, if there is one that was not idle for too long."""
        idle = self._idle[host, effect.target]
        while idle:
            if self.now - idle.pop() <= effect.max_reuse_idle:
                return True
        return False

    def _report(
        self, run: Run, outcome: AttemptOutcome, status: int = 0, target_ended: bool = False
    ) -> None:
        if outcome in _ANSWERS:
            if self.losses.get(run.sent.host) is PathLoss.HANGING:
                self._hang(run)
                return
            self._idle[run.sent.host, run.target].append(self.now)
        super()._report(run, outcome, status, target_ended)

    def _report_reset(self, run: Run) -> None:
        """Reports a reset connection, after which the next one is refused."""
        super()._report(run, AttemptOutcome.CUT, target_ended=True)

    def _hang(self, run: Run) -> None:
        left = self._deadlines[run.sent.host, run.request] - run.harness.clock.monotonic()
        report = partial(self._report, run, AttemptOutcome.TIMED_OUT)
        self.schedule(max(left, timedelta(0)), report)

    def _check_late(self, run: Run, effect: SendToTarget) -> None:
        """Reports a late attempt, which the host may abort."""
        host = run.sent.host
        pending = run.harness.state.requests.get(run.request)
        if self.hosts[host] is not run.harness or pending is None or pending.target != run.target:
            return
        now = run.harness.clock.monotonic()
        effects = run.harness.apply(AttemptLate(now, run.request, run.target))
        self.handle_effects(host, effects)
        if any(isinstance(effect, AbortAttempt) for effect in effects):
            self._report(run, AttemptOutcome.TIMED_OUT)
        else:
            self.schedule(effect.late_after, partial(self._check_late, run, effect))

    def count_served(self, requests: list[SentRequest]) -> float:
        """Returns the share of requests that were answered well."""
        return sum(sent.status == 200 for sent in requests) / len(requests)

    def list_broken_promises(self, writes: set[bytes]) -> list[str]:
        """Lists requests that ran twice though they must not, or ran though they were refused.

        Args:
          writes: Content of the requests that must not be repeated.
        """
        counts = Counter(run.sent.digest for run in self.runs)
        broken = [f"{digest!r} ran twice" for digest in writes if counts[digest] > 1]
        for sent in self.sent:
            is_not_run = sent.refusal is not None and sent.refusal.attempt_verdict.name == "NOT_RUN"
            if is_not_run and counts[sent.digest]:
                broken.append(f"{sent.digest!r} was refused as not run and ran")
        return broken
