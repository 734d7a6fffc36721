"""A simulated fleet without faults, half of whose requests come to hosts that are not primaries.

Callers go on using a host for as long as they keep the entry answer that named it, and the answers
of hosts differ while members join and leave.
"""

from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from endivedrift.core import AttemptOutcome, ServiceName
from endivedrift.reducer import list_primaries
from tests.builders import SERVICE
from tests.crashing_targets import SLOTS, Run, SentRequest
from tests.partitioned_hosts import PartitionedFleet

WORK_S = (0.1, 0.22)
"""Bounds of the time that a target works on a request."""


@dataclass(frozen=True, slots=True)
class FloatingLoad:
    """Requests that must not be repeated, at a steady mean rate.

    Attributes:
      hosts, targets, entry_hosts: Numbers of hosts, targets and primaries.
      busy_share: Mean share of the slots that are in use.
      elsewhere_share: Share of the requests that arrive at hosts that are not primaries.
      seconds: How long requests arrive.
      seed: The seed of requests.
    """

    hosts: int
    targets: int = 82
    entry_hosts: int = 4
    busy_share: float = 0.45
    elsewhere_share: float = 0.5
    seconds: float = 8.0
    seed: int = 78

    @property
    def requests_per_s(self) -> float:
        """Rate of arrivals."""
        return self.targets * SLOTS * self.busy_share / (sum(WORK_S) / 2)


class FloatingFleet(PartitionedFleet):
    """Hosts that share simulated targets, and their requests.

    Attributes:
      load: The load.
      primaries: The primaries of the service.
      rejected: Number of attempts that found their target full.
    """

    answer_after_s = WORK_S

    def __init__(self, load: FloatingLoad) -> None:
        """Starts hosts and targets."""
        self.load = load
        self.rejected = 0
        super().__init__(load.hosts, load.targets, load.entry_hosts, load.seed)
        primaries = list_primaries(self.hosts["h0"].state, ServiceName(SERVICE))
        self.primaries = frozenset(str(member.host) for member in primaries)

    def run_load(self) -> None:
        """Sends all requests and waits for the last results."""
        others = [name for name in self.hosts if name not in self.primaries]
        at, number = 0.0, 0
        while (at := at + self.traffic.expovariate(self.load.requests_per_s)) < self.load.seconds:
            number += 1
            is_elsewhere = self.traffic.random() < self.load.elsewhere_share
            host = self.traffic.choice(others if is_elsewhere else sorted(self.primaries))
            self.schedule(
                timedelta(seconds=at), partial(self.send, b"%d" % number, str(host), True)
            )
        self.run(self.load.seconds + 3.0)

    def _report(
        self, run: Run, outcome: AttemptOutcome, status: int = 0, target_ended: bool = False
    ) -> None:
        self.rejected += outcome is AttemptOutcome.SHED
        super()._report(run, outcome, status, target_ended)

    def list_sent(self, to_primaries: bool) -> list[SentRequest]:
        """Returns the requests of callers that came to primaries, or to other hosts."""
        return [s for s in self.sent if (s.host in self.primaries) == to_primaries]
