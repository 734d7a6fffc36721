"""A simulated fleet in which each target cannot be reached from some of the hosts."""

from collections import Counter
from dataclasses import replace
from datetime import timedelta
from functools import partial
from random import Random

from endivedrift.core import FailureDomain, ServiceName, TargetEntry, TargetName
from endivedrift.objects import ObjectSet
from tests.builders import SERVICE, build_discovered_set
from tests.crashing_targets import DOMAINS, SentRequest, SimulatedTarget
from tests.partitioned_hosts import PartitionedFleet, PathLoss

SERVICES = (SERVICE, "bills", "mail")
DEADLINE_MS = 2_000
CUT_SHARE = 0.3
"""Share of the hosts that cannot reach a target."""
IDLE_AFTER = timedelta(seconds=2)
MAX_UNSERVED = 0.1
"""Share of unserved requests above which no reachable target may be idle."""


def build_partial_set(entry_hosts: int = 3) -> ObjectSet:
    """Builds an object set with three services, each with a repeatable route and another one."""
    objects = build_discovered_set(max_attempts=3)
    first = replace(objects.service[SERVICE], entry_hosts=entry_hosts)
    group = objects.upstream_group[SERVICE]
    services, groups, routes = {}, {}, {}
    for name in SERVICES:
        services[name] = replace(first, upstream_group=name)
        groups[name] = group
        for kind, route in objects.route.items():
            path = route.path if name == SERVICE else f"/{name}{route.path}"
            wait_ms = DEADLINE_MS - 1
            routes[f"{name}-{kind}"] = replace(
                route, service=name, path=path, deadline_ms=DEADLINE_MS, queue_wait_ms=wait_ms
            )
    return replace(objects, service=services, upstream_group=groups, route=routes)


class PartialFleet(PartitionedFleet):
    """Hosts and targets of three services, with cuts between pairs of them."""

    primary_share = 0.9

    def __init__(
        self, count: int = 32, targets: int = 25, entry_hosts: int = 3, seed: int = 1
    ) -> None:
        """Starts hosts and targets; targets are dealt to the services in turn."""
        super().__init__(count, targets, entry_hosts, seed, build_partial_set(entry_hosts))
        self.cut_pairs = self._draw_pairs(Random(seed))

    def _draw_pairs(self, random: Random) -> set[tuple[str, TargetName]]:
        cut_count = round(CUT_SHARE * len(self.hosts))
        hosts = list(self.hosts)
        return {
            (host, target) for target in self.targets for host in random.sample(hosts, cut_count)
        }

    def build_entry(self, target: SimulatedTarget) -> TargetEntry:
        """Builds the registration of a target with its service."""
        service = ServiceName(SERVICES[target.number % len(SERVICES)])
        domain = FailureDomain(f"d{target.number // len(SERVICES) % DOMAINS}")
        return replace(super().build_entry(target), service=service, failure_domain=domain)

    def send_all_kinds(self, per_s: float, seconds: float) -> None:
        """Schedules requests of both kinds for all services, by the number of their targets."""
        for number, service in enumerate(SERVICES):
            share = len(range(number, len(self.targets), len(SERVICES))) / len(self.targets)
            for write in (True, False):
                self.send_steadily(per_s * share / 2, seconds, write=write, service=service)

    def schedule_cut(self, after_s: float, seconds: float, loss: PathLoss) -> None:
        """Schedules the loss of the drawn paths, and their return."""
        self.schedule(timedelta(seconds=after_s), partial(self.lose_pairs, self.cut_pairs, loss))
        self.schedule(timedelta(seconds=after_s + seconds), self.restore_paths)

    def list_idle_targets(self, since: timedelta, until: timedelta) -> list[str]:
        """Lists targets without work for two seconds while many of their requests are unserved."""
        idle = []
        for name, target in self.targets.items():
            service = SERVICES[target.number % len(SERVICES)]
            starts = sorted(run.at for run in self.runs if run.target == name)
            inner = [at for at in starts if since <= at <= until]
            for start, end in zip([since, *inner], [*inner, until], strict=True):
                begin = start + IDLE_AFTER
                if end <= begin:
                    continue
                meanwhile = [
                    sent
                    for sent in self.sent
                    if sent.service == service and start <= sent.arrived < end
                ]
                unserved = 1.0 - self.count_served(meanwhile) if meanwhile else 0.0
                if unserved > MAX_UNSERVED:
                    idle.append(f"{name} from {start} to {end}: {unserved:.2f} unserved")
        return idle

    def describe_unserved(self, requests: list[SentRequest]) -> str:
        """Describes why requests were not served."""
        reasons = Counter(
            sent.refusal.reason.value if sent.refusal is not None else str(sent.status)
            for sent in requests
            if sent.status != 200
        )
        return ", ".join(f"{reason}: {count}" for reason, count in reasons.most_common())
