"""A simulated fleet of which some hosts lose their paths to all targets.

Connections to targets are kept and used again, so that a path can also be lost to new ones only.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from functools import partial

from endivedrift.core import AttemptOutcome, ForwardOutcome, RequestId, TargetName
from endivedrift.core.effects import (
    AbortAttempt,
    DeliverAnswer,
    Effect,
    ForwardToPeer,
    RefuseRequest,
    SendToTarget,
)
from endivedrift.core.events import AttemptLate, ForwardFinished
from endivedrift.objects import ObjectSet
from tests.crashing_targets import (
    DATAGRAM_DELAY,
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
    SILENT = "new ones open, no response arrives"
    RESET_LATE = "all are reset, new ones open and are reset by the first request"


_HANGING = (PathLoss.HANGING, PathLoss.SILENT)
_RESET = (PathLoss.RESET, PathLoss.RESET_LATE)


RETRANSMITS = tuple(timedelta(seconds=0.2 * 2**number) for number in range(4))
"""Times between the repetitions of a lost packet, with the minimum of TCP's timeout."""
_ANSWERS = (AttemptOutcome.ANSWERED, AttemptOutcome.SHED)


class PartitionedFleet(CrashingFleet):
    """Hosts that share simulated targets, of which some hosts reach none.

    Attributes:
      losses: What has happened to the paths of each host that reaches no target.
      pair_losses: What has happened to the path between one host and one target.
      attempts: When an attempt was made, and at which target.
      forwards: When a request was forwarded, from which host and to which.
    """

    def __init__(
        self,
        count: int,
        targets: int,
        entry_hosts: int,
        seed: int = 1,
        objects: ObjectSet | None = None,
    ) -> None:
        """Starts hosts and targets.

        Args:
          count: The number of hosts.
          targets: The number of targets.
          entry_hosts: The number of primaries of the service.
          seed: The seed of requests, answers, losses and clocks.
          objects: The object set in force, or None for a default one.
        """
        self.losses: dict[str, PathLoss] = {}
        self.pair_losses: dict[tuple[str, TargetName], PathLoss] = {}
        self.attempts: list[tuple[timedelta, TargetName]] = []
        self._is_kept = False
        self._idle: dict[tuple[str, TargetName], list[timedelta]] = defaultdict(list)
        self.forwards: list[tuple[timedelta, str, str]] = []
        self._origins: dict[tuple[str, RequestId], tuple[str, RequestId]] = {}
        self._sends: dict[tuple[str, RequestId], SendToTarget] = {}
        super().__init__(count, targets, seed, objects or build_crash_set(entry_hosts))

    def lose_paths(self, hosts: list[str], loss: PathLoss) -> None:
        """Takes the paths to all targets from some hosts."""
        self.losses.update(dict.fromkeys(hosts, loss))
        if loss in _RESET:
            self._reset({(host, name) for host in hosts for name in self.targets})

    def lose_pairs(self, pairs: set[tuple[str, TargetName]], loss: PathLoss) -> None:
        """Takes the paths between some hosts and some targets."""
        self.pair_losses.update(dict.fromkeys(sorted(pairs), loss))
        if loss in _RESET:
            self._reset(pairs)

    def _reset(self, pairs: set[tuple[str, TargetName]]) -> None:
        """Resets the connections between some hosts and some targets."""
        for name, target in self.targets.items():
            for run in [run for run in target.running if (run.sent.host, name) in pairs]:
                target.running.remove(run)
                self.schedule(FAST_FAILURE, partial(self._report_reset, run))
        for pair in pairs:
            self._idle.pop(pair, None)

    def restore_paths(self, hosts: list[str] | None = None) -> None:
        """Gives some hosts, or all, their paths back."""
        for host in self.hosts if hosts is None else hosts:
            self.losses.pop(host, None)
        if hosts is None:
            self.pair_losses.clear()

    def get_loss(self, host: str, target: TargetName) -> PathLoss | None:
        """Returns what has happened to the path between a host and a target."""
        return self.losses.get(host) or self.pair_losses.get((host, target))

    def _start_attempt(self, host: str, effect: SendToTarget) -> None:
        self._sends[host, effect.request] = effect
        self.attempts.append((self.now, effect.target))
        is_kept = self._is_kept = self._take_idle(host, effect)
        loss = self.get_loss(host, effect.target)
        if loss is None or (loss is PathLoss.KEPT and is_kept):
            super()._start_attempt(host, effect)
            return
        self._queued.pop((host, effect.request), None)
        sent = self._open[host, effect.request]
        run = Run(self.now, sent, self.hosts[host], effect.request, effect.target, not is_kept)
        if loss is PathLoss.RESET_LATE:
            self.schedule(FAST_FAILURE, partial(self._report, run, AttemptOutcome.CUT))
        elif loss not in _HANGING:
            report = partial(self._report, run, AttemptOutcome.NOT_CONNECTED)
            self.schedule(FAST_FAILURE, report)
        elif is_kept or loss is PathLoss.SILENT:
            self._hang(run, effect)
            if loss is PathLoss.HANGING:
                self._retransmit(run, partial(self._deliver, run, effect))
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

    def handle_effects(self, sender: str, effects: list[Effect]) -> None:
        """Carries out the effects that a host returned."""
        super().handle_effects(sender, effects)
        for effect in effects:
            if isinstance(effect, ForwardToPeer):
                self._queued.pop((sender, effect.request), None)
                self.forwards.append((self.now, sender, str(effect.peer)))
                self.schedule(DATAGRAM_DELAY, partial(self._forward, sender, effect))

    def _forward(self, sender: str, effect: ForwardToPeer) -> None:
        """Lets a request arrive at the host to which it is forwarded."""
        sent = self._open.get((sender, effect.request))
        if sent is None:
            return
        peer, harness = str(effect.peer), self.hosts[effect.peer]
        request = RequestId(f"{harness.state.identity.host}-{harness.request_count + 1}")
        copy = SentRequest(peer, sent.digest, self.now, write=sent.write, service=sent.service)
        self._open[peer, request] = copy
        self._origins[peer, request] = (sender, effect.request)
        left = effect.deadline - self.hosts[sender].clock.monotonic()
        method, path = sent.request_line
        effects = harness.receive_request(
            method,
            path,
            digest=sent.digest,
            caller_timeout=left.total_seconds(),
            for_peer=True,
            earlier_attempts=effect.earlier_attempts,
        )[1]
        self.handle_effects(peer, effects)

    def _end_request(self, host: str, effect: DeliverAnswer | RefuseRequest) -> None:
        super()._end_request(host, effect)
        origin = self._origins.pop((host, effect.request), None)
        if origin is not None:
            self.schedule(DATAGRAM_DELAY, partial(self._reply, origin, effect))

    def _reply(self, origin: tuple[str, RequestId], effect: DeliverAnswer | RefuseRequest) -> None:
        """Delivers the reply of the host to which a request was forwarded."""
        host, request = origin
        harness = self.hosts[host]
        now = harness.clock.monotonic()
        if isinstance(effect, DeliverAnswer):
            event = ForwardFinished(now, request, ForwardOutcome.ANSWERED, answer=effect.answer)
        else:
            event = ForwardFinished(now, request, ForwardOutcome.REFUSED, refusal=effect.refusal)
        self.handle_effects(host, harness.apply(event))

    def _report(
        self, run: Run, outcome: AttemptOutcome, status: int = 0, target_ended: bool = False
    ) -> None:
        if outcome in _ANSWERS:
            loss = self.get_loss(run.sent.host, run.target)
            if loss in _HANGING:
                self._hang(run, self._sends[run.sent.host, run.request])
                if loss is PathLoss.HANGING:
                    self._retransmit(run, partial(self._report, run, outcome, status))
                return
            self._idle[run.sent.host, run.target].append(self.now)
        super()._report(run, outcome, status, target_ended)

    def _report_reset(self, run: Run) -> None:
        """Reports a reset connection, after which the next one is refused."""
        super()._report(run, AttemptOutcome.CUT, target_ended=True)

    def _hang(self, run: Run, effect: SendToTarget) -> None:
        """Lets an attempt wait until it is late, and at last until its deadline."""
        left = effect.deadline - run.harness.clock.monotonic()
        report = partial(self._report, run, AttemptOutcome.TIMED_OUT)
        self.schedule(max(left, timedelta(0)), report)
        late = max(effect.late_after - (self.now - run.at), timedelta(0))
        self.schedule(late, partial(self._check_late, run, effect))

    def _retransmit(self, run: Run, deliver: Callable[[], None], tries: int = 0) -> None:
        """Repeats a lost packet at increasing intervals until the path works, as TCP does."""
        if tries == len(RETRANSMITS):
            return

        def repeat() -> None:
            if self.get_loss(run.sent.host, run.target) is None:
                deliver()
            else:
                self._retransmit(run, deliver, tries + 1)

        self.schedule(RETRANSMITS[tries], repeat)

    def _deliver(self, run: Run, effect: SendToTarget) -> None:
        """Starts a request at its target whose packets were lost until now."""
        host, pending = run.sent.host, run.harness.state.requests.get(run.request)
        if self.hosts[host] is run.harness and pending and pending.target == run.target:
            self._is_kept = not run.new_connection
            super()._start_attempt(host, effect)

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
