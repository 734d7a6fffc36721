"""Measures how the costs of a host grow with the size of a deployment.

Each cost is measured at four or more sizes and fitted with a straight line. The worst relative
residual is printed, because it shows whether a cost grows other than linearly.
"""

import resource
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial
from random import Random

from endivedrift.core import (
    Address,
    AttemptOutcome,
    ConfigRef,
    FailureDomain,
    HostId,
    IdempotencyKey,
    Incarnation,
    ManualClock,
    Member,
    MemberStatus,
    MessageKind,
    PeerMessage,
    ServiceName,
    Version,
)
from endivedrift.core.effects import SendToTarget
from endivedrift.core.events import AttemptFinished, ConfigFetched, PeerMessageReceived, Ticked
from endivedrift.objects import ObjectSet, Target, digest_bytes, encode_object_set
from endivedrift.policy import choose_target, mint_key
from endivedrift.reducer import rank_service_hosts
from endivedrift.shell import host as _host
from endivedrift.shell._codec import decode_datagram, encode_datagram
from tests.builders import (
    SECRET,
    SERVICE,
    WRITE_PATH,
    HostHarness,
    build_answer,
    build_config_fetched,
    build_object_set,
)
from tests.network import Network

# The planned size of the fleet, to which costs are extrapolated.
FULL_HOSTS = 930
FULL_SERVICES = 190
FULL_TARGETS = 7_500
FULL_ROUTES = 7_000
FULL_CALLERS = 47_000
MEASURED_SECONDS = 120.0


@dataclass(frozen=True, slots=True)
class Slope:
    """Growth of one cost.

    Attributes:
      title: Name of the cost.
      size_name: What the size counts.
      unit: Unit of the cost.
      points: Measured pairs of size and cost.
      full_size: Size for which the cost is extrapolated.
    """

    title: str
    size_name: str
    unit: str
    points: Sequence[tuple[float, float]]
    full_size: float

    def render(self) -> str:
        """Formats the points, the fitted line, its worst residual and the value at full size."""
        sizes = [size for size, _ in self.points]
        values = [value for _, value in self.points]
        line = statistics.linear_regression(sizes, values)
        residual = max(
            abs(line.intercept + line.slope * size - value) / max(abs(value), 1e-9)
            for size, value in self.points
        )
        full_value = line.intercept + line.slope * self.full_size
        measured = ", ".join(f"{size:g}: {value:.4g}" for size, value in self.points)
        return (
            f"{self.title} [{self.unit}] by {self.size_name}\n"
            f"    measured {measured}\n"
            f"    fit {line.intercept:.4g} + {line.slope:.4g} * size, worst residual "
            f"{residual * 100.0:.0f}%; at {self.full_size:g}: {full_value:.4g}"
        )


def main() -> None:
    """Measures all slopes and prints them."""
    for measure in (
        measure_choice,
        measure_request,
        measure_tick,
        measure_ranking,
        measure_keys,
        measure_members,
        measure_member_memory,
        measure_objects,
    ):
        for slope in measure():
            print(slope.render(), flush=True)


def measure_choice() -> list[Slope]:
    """Measures the choice of a target, by group size."""
    points = []
    host_domain, source = FailureDomain("a"), Random(1)
    for targets in (6, 14, 40, 160, 640):
        harness = HostHarness(build_object_set(targets=targets))
        service = harness.state.services[ServiceName(SERVICE)]
        took_s = _measure_cpu_s(
            partial(choose_target, service, host_domain, frozenset(), True, source)
        )
        points.append((targets, took_s * 1e6))
    return [Slope("choice of a target", "targets in the group", "us", points, 40)]


def measure_request() -> list[Slope]:
    """Measures both decisions of a request, at its start and end, by the number of targets."""
    points = []
    for targets in (6, 14, 40, 160):
        harness = HostHarness(build_object_set(targets=targets))
        points.append((targets, _measure_cpu_s(partial(_serve_request, harness)) * 1e6))
    return [Slope("decisions of one request", "targets in the group", "us", points, 40)]


def measure_tick() -> list[Slope]:
    """Measures the processor time of the periodic timer, by the number of services in use."""
    points = []
    for services in (1, 2, 5, 10, 20):
        harness = HostHarness(build_fleet_objects(services, services * 40, services, 0))
        harness.advance(6.0)
        for name in harness.state.services:
            harness.state.active_services.add(name)
        ticked = Ticked(harness.clock.monotonic(), harness.clock.wall())

        def tick(harness: HostHarness = harness, ticked: Ticked = ticked) -> None:
            harness.state.active_services = set(harness.state.services)
            harness.apply(ticked)

        points.append((services, _measure_cpu_s(tick) * 10.0 * 1e3))
    title = "periodic timer, 10 a second"
    return [Slope(title, "services in use at the host, 40 targets each", "ms/s", points, 5)]


def measure_ranking() -> list[Slope]:
    """Measures the ranking of a service's hosts after a membership change, by number of hosts."""
    points = []
    for hosts in (40, 160, 480, FULL_HOSTS):
        harness = _build_host_with_members(hosts)

        def rank(harness: HostHarness = harness) -> None:
            harness.state.membership.version += 1
            rank_service_hosts(harness.state, ServiceName(SERVICE))

        points.append((hosts, _measure_cpu_s(rank) * 1e3))
    return [Slope("ranking of a service's hosts", "hosts", "ms", points, FULL_HOSTS)]


def measure_keys() -> list[Slope]:
    """Measures the memory of remembered idempotency keys with answers of 200 bytes."""
    points = []
    for count in (1_000, 2_000, 4_000, 8_000):
        harness = HostHarness(build_object_set(targets=6))

        def fill(harness: HostHarness = harness, count: int = count) -> None:
            for number in range(count):
                owner = harness.state.identity
                wall = harness.clock.wall()
                key = mint_key(SECRET, owner.host, owner.incarnation, wall, str(number))
                _serve_request(harness, key)

        points.append((count, _measure_memory_bytes(fill) / 1e6))
    return [Slope("memory of remembered keys", "keys", "MB", points, 30_000)]


def measure_members() -> list[Slope]:
    """Measures the datagram bytes and processor time of membership, by the number of hosts."""
    sent_points, cpu_points = [], []
    for hosts in (10, 20, 40, 80):
        network = Network(hosts)
        network.run(10.0)
        while any(host.state.membership.remaining_transmissions for host in network.hosts.values()):
            network.run(10.0)
        measured_network = _MeasuredNetwork(network)
        measured_network.run(MEASURED_SECONDS)
        host_seconds = hosts * MEASURED_SECONDS
        sent_points.append((hosts, (measured_network.bytes * 2.0) / host_seconds))
        cpu_points.append((hosts, measured_network.cpu_s * 1e3 / host_seconds))
    return [
        Slope("datagrams sent and received", "hosts", "bytes/s a node", sent_points, FULL_HOSTS),
        Slope("membership and codec", "hosts", "ms/s a node", cpu_points, FULL_HOSTS),
    ]


class _MeasuredNetwork:
    """Counts the datagram bytes and the processor time of a simulated network."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self.bytes = 0
        self.cpu_s = 0.0
        self._deliver = network.deliver
        network.deliver = self._count_and_deliver  # type: ignore[method-assign]

    def run(self, seconds: float) -> None:
        """Advances the simulated time and adds up the processor time spent."""
        before = time.process_time()
        self._network.run(seconds)
        self.cpu_s += time.process_time() - before

    def _count_and_deliver(self, sender: str, receiver: str, message: PeerMessage) -> None:
        datagram = encode_datagram(SECRET, message)
        self.bytes += len(datagram)
        decoded = decode_datagram(SECRET, datagram)
        assert decoded is not None
        self._deliver(sender, receiver, decoded)


def measure_member_memory() -> list[Slope]:
    """Measures the memory of the membership view, by the number of hosts."""
    points = []
    for hosts in (100, 300, 600, FULL_HOSTS):
        memory_bytes = _measure_memory_bytes(partial(_build_host_with_members, hosts))
        points.append((hosts, memory_bytes / 1e6))
    return [Slope("memory of the membership view", "hosts", "MB", points, FULL_HOSTS)]


def measure_objects() -> list[Slope]:
    """Measures the size, apply time and memory of an object set, by share of the full size."""
    size_points, cpu_points, memory_points = [], [], []
    for share in (0.125, 0.25, 0.5, 1.0):
        objects = build_fleet_objects(
            round(FULL_SERVICES * share),
            round(FULL_TARGETS * share),
            round(FULL_ROUTES * share),
            round(FULL_CALLERS * share),
        )
        canonical = encode_object_set(objects)
        size_points.append((share, len(canonical) / 1e6))
        clock = ManualClock()
        event = build_config_fetched(clock, objects)
        harness = HostHarness(None, clock=clock)
        before = time.process_time()
        harness.apply(event)
        cpu_points.append((share, (time.process_time() - before) * 1e3))
        memory_points.append((share, _measure_process_memory_mb(objects)))
    return [
        Slope("canonical object set", "share of the full size", "MB", size_points, 1.0),
        Slope("decode, check and apply", "share of the full size", "ms", cpu_points, 1.0),
        Slope("resident memory of a process", "share of the full size", "MB", memory_points, 1.0),
    ]


def build_fleet_objects(services: int, targets: int, routes: int, callers: int) -> ObjectSet:
    """Builds an object set with the given numbers of objects, spread evenly over the services."""
    base = build_object_set()
    group = base.upstream_group["group"]
    names = [f"s{n}" for n in range(services)]
    members: dict[str, list[Target]] = {name: [] for name in names}
    for n in range(targets):
        address = f"10.{n // 65536}.{n // 256 % 256}.{n % 256}:80"
        target = Target(name=f"t{n}", address=address, failure_domain=f"d{n % 6}")
        members[names[n % services]].append(target)
    groups = {name: replace(group, targets=tuple(chosen)) for name, chosen in members.items()}
    route = base.route["read"]
    service = base.service[SERVICE]
    return replace(
        base,
        upstream_group=groups,
        service={name: replace(service, upstream_group=name) for name in names},
        route={
            f"r{n}": replace(route, service=names[n % services], path=f"/{names[n % services]}/{n}")
            for n in range(routes)
        },
        caller={f"c{n}": base.caller["guest"] for n in range(callers)},
    )


def _serve_request(harness: HostHarness, key: IdempotencyKey | None = None) -> None:
    method, path = ("GET", "/rooms/1") if key is None else ("POST", WRITE_PATH)
    request, effects = harness.receive_request(method, path, key=key)
    sent = effects[0]
    assert isinstance(sent, SendToTarget)
    latency = timedelta(milliseconds=5)
    answer = build_answer(body=bytes(200))
    outcome = AttemptOutcome.ANSWERED
    now = harness.clock.monotonic()
    harness.apply(AttemptFinished(now, request, sent.target, outcome, latency, answer))


def _build_host_with_members(hosts: int) -> HostHarness:
    """Builds a host that has received a message from each of many others."""
    harness = HostHarness(build_object_set())
    for number in range(hosts):
        member = Member(
            HostId(f"domain-a-host-{number}"),
            Incarnation(number + 1),
            0,
            MemberStatus.ALIVE,
            FailureDomain(f"d{number % 6}"),
            Address(f"10.0.{number // 256}.{number % 256}:8080"),
            Address(f"10.0.{number // 256}.{number % 256}:8081"),
            Address(f"10.0.{number // 256}.{number % 256}:8082"),
        )
        message = PeerMessage(
            MessageKind.NOTICE, member, 1, 0, HostId(""), False, harness.state.config
        )
        now = harness.clock.monotonic()
        harness.apply(PeerMessageReceived(now, member.peer_address, message))
    return harness


def _measure_cpu_s(call: Callable[[], object]) -> float:
    """Returns the median processor time of one call in seconds, over several batches."""
    call()
    once = time.process_time()
    call()
    batch = max(1, int(0.02 / max(1e-6, time.process_time() - once)))
    batches = []
    for _ in range(7):
        before = time.process_time()
        for _ in range(batch):
            call()
        batches.append((time.process_time() - before) / batch)
    return statistics.median(batches)


def _measure_memory_bytes(call: Callable[[], object]) -> float:
    """Returns the bytes that remain allocated after a call while its result is referenced."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = call()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return after - before


def _measure_process_memory_mb(objects: ObjectSet) -> float:
    """Returns the peak resident memory in MB of a process that applies a set three times."""
    with tempfile.NamedTemporaryFile() as file:
        file.write(encode_object_set(objects))
        file.flush()
        command = [sys.executable, "-m", "lab.slopes", "--hold", file.name]
        output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    return float(output)


def _print_process_memory_mb(path: str) -> None:
    assert _host.run_daemon is not None  # Loads the daemon's modules, which are part of its memory.
    clock = ManualClock()
    harness = HostHarness(None, clock=clock)
    for version in (1, 2, 3):
        with open(path, "rb") as file:
            canonical = file.read()
        config = ConfigRef(Version(version), digest_bytes(canonical))
        harness.apply(ConfigFetched(clock.monotonic(), config, canonical))
    print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0)


if __name__ == "__main__":
    if len(sys.argv) == 3 and sys.argv[1] == "--hold":
        _print_process_memory_mb(sys.argv[2])
    else:
        main()
