"""Metrics in Prometheus format; names carry their units."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from endivedrift.core import (
    Answer,
    AuditEntry,
    ChangeSource,
    HostPhase,
    Instant,
    MemberStatus,
    Refusal,
    TargetState,
)
from endivedrift.core.events import AttemptFinished
from endivedrift.policy import ByteBudget, InputBudget
from endivedrift.reducer import HostState, list_quota_counts

LATENCY_BUCKETS_SECONDS = (0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
INFINITE_BUCKET = "+Inf"
OTHER_ACCOUNTS = "_other"
"""Label of the accounts that are not counted separately; it is no valid name of an account."""


@dataclass(slots=True)
class Durations:
    """A histogram of durations: how many fell into each bucket, and their sum in seconds."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(LATENCY_BUCKETS_SECONDS) + 1))
    sum_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Counts one duration."""
        self.counts[bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self.sum_s += seconds

    def list_buckets(self) -> list[tuple[str, int]]:
        """Returns the upper bound of each bucket with the number of durations up to it."""
        bounds = [*map(str, map(float, LATENCY_BUCKETS_SECONDS)), INFINITE_BUCKET]
        total, buckets = 0, []
        for bound, count in zip(bounds, self.counts, strict=True):
            total += count
            buckets.append((bound, total))
        return buckets


class Metrics:
    """The metrics of one daemon.

    They are counted in plain tables by label. prometheus_client, which takes long to import,
    formats them when they are first asked for.

    Attributes:
      requests: Requests of callers by service and result.
      request_seconds: Time from a request's arrival to its answer, by service.
      request_wait: Time from the last bytes of a request to the begin of its handling.
      loop_lag: Time by which the periodic timer was late.
      change_ages: Greatest age of changes in the store when they were learned, by how.
      overtaken_reads: Reads of the store that were older than what was known here.
      attempts: Attempts at targets by service and outcome.
      hedges: Hedges by service and outcome: `answered` if the hedge won, `cancelled` if the first
        attempt did.
      audit: Audit entries by kind.
      platform_failures: Calls to the platform without an answer, by service or table.
      peer_bytes: Bytes of datagrams by direction.
      rejected_peer_messages: Datagrams and calls of peers that could not be read.
      connections: Open connections of callers.
      closed_answers: Answers whose connection was closed before the caller took them, by reason.
      closed_connections: Connections of clients that were closed without an answer, by reason.
      held_bytes: Bytes of request bodies and answers, and their limit.
      inputs: Bytes that connections of callers hold besides, and their limit.
    """

    def __init__(self) -> None:
        """Creates all metrics with the value 0."""
        self.requests: Counter[tuple[str, str]] = Counter()
        self.request_seconds: dict[str, Durations] = {}
        self.request_wait = Durations()
        self.loop_lag = Durations()
        self.change_ages: dict[ChangeSource, Durations] = {}
        self.overtaken_reads = 0
        self.attempts: Counter[tuple[str, str]] = Counter()
        self.hedges: Counter[tuple[str, str]] = Counter()
        self.audit: Counter[str] = Counter()
        self.platform_failures: Counter[str] = Counter()
        self.peer_bytes: Counter[str] = Counter()
        self.rejected_peer_messages = 0
        self.connections = 0
        self.closed_answers: Counter[str] = Counter()
        self.closed_connections: Counter[str] = Counter()
        self.held_bytes = ByteBudget(0)
        self.inputs = InputBudget(0)

    def count_audit(self, entry: AuditEntry) -> None:
        """Counts an audit entry."""
        self.audit[entry.kind.value] += 1

    def observe_changes(self, source: ChangeSource, age: timedelta) -> None:
        """Counts changes in the store by how they were learned, with their greatest age."""
        durations = self.change_ages.setdefault(source, Durations())
        durations.observe(age.total_seconds())

    def count_request(self, service: str, result: Answer | Refusal, duration: timedelta) -> None:
        """Counts a finished request by its result, and records its duration."""
        label = "answered" if isinstance(result, Answer) else result.reason.value
        self.requests[service, label] += 1
        durations = self.request_seconds.setdefault(service, Durations())
        durations.observe(duration.total_seconds())

    def count_attempt(self, service: str, finished: AttemptFinished) -> None:
        """Counts a finished attempt by its outcome."""
        self.attempts[service, finished.outcome.value] += 1
        if finished.is_hedge:
            self.hedges[service, finished.outcome.value] += 1

    def render(self, state: HostState, now: Instant) -> bytes:
        """Returns all metrics, and gauges of the state, in the text format."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(_Snapshot([*self._list_counters(state), *_list_gauges(self, state, now)]))
        return prometheus_client.generate_latest(registry)

    def _list_counters(self, state: HostState) -> Iterator[Any]:
        from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily

        for name, text, labels, counts in (
            (
                "endivedrift_requests",
                "Requests of callers by service and result",
                ("service", "result"),
                self.requests,
            ),
            (
                "endivedrift_attempts",
                "Attempts at targets by service and outcome",
                ("service", "outcome"),
                self.attempts,
            ),
            (
                "endivedrift_hedges",
                "Hedges by service and outcome, which count as attempts too",
                ("service", "outcome"),
                self.hedges,
            ),
            ("endivedrift_audit_entries", "Audit entries by kind", ("kind",), self.audit),
            (
                "endivedrift_closed_answers",
                "Answers closed before the caller had taken them",
                ("reason",),
                self.closed_answers,
            ),
            (
                "endivedrift_closed_connections",
                "Connections of clients closed without an answer",
                ("reason",),
                self.closed_connections,
            ),
            ("endivedrift_peer_bytes", "Bytes of datagrams", ("direction",), self.peer_bytes),
            (
                "endivedrift_platform_failures",
                "Calls to the platform without an answer",
                ("service",),
                self.platform_failures,
            ),
        ):
            family = CounterMetricFamily(name, text, labels=labels)
            for key, count in counts.items():
                family.add_metric([key] if isinstance(key, str) else list(key), count)
            yield family
        yield from _list_quota_counters(state)
        text = "Datagrams and calls of peers that failed authentication or could not be read"
        name = "endivedrift_peer_rejected"
        yield CounterMetricFamily(name, text, value=self.rejected_peer_messages)
        text = "Time from a request's arrival to its answer"
        histogram = HistogramMetricFamily("endivedrift_request_seconds", text, labels=("service",))
        for service, durations in self.request_seconds.items():
            histogram.add_metric([service], durations.list_buckets(), durations.sum_s)
        yield histogram
        text = "Greatest age of changes in the store when they were learned, by how"
        histogram = HistogramMetricFamily("endivedrift_change_age_seconds", text, labels=("way",))
        for source, durations in self.change_ages.items():
            histogram.add_metric([source.value], durations.list_buckets(), durations.sum_s)
        yield histogram
        text = "Reads of the store that were older than what this host knew when they arrived"
        name = "endivedrift_store_reads_overtaken"
        yield CounterMetricFamily(name, text, value=self.overtaken_reads)
        for name, text, durations in (
            (
                "endivedrift_request_wait_seconds",
                "Time from the last bytes of a request to the begin of its handling",
                self.request_wait,
            ),
            (
                "endivedrift_loop_lag_seconds",
                "Time by which the periodic timer was late",
                self.loop_lag,
            ),
        ):
            yield HistogramMetricFamily(
                name, text, buckets=durations.list_buckets(), sum_value=durations.sum_s
            )


class _Snapshot:
    """Hands families of metrics to a registry."""

    def __init__(self, families: list[Any]) -> None:
        self._families = families

    def collect(self) -> list[Any]:
        return self._families


def _list_quota_counters(state: HostState) -> Iterator[Any]:
    """Lists use and refusals of the heaviest accounts, and of all others as one."""
    from prometheus_client.core import CounterMetricFamily

    text = "Requests of accounts with a quota, by account and whether the quota admitted them"
    family = CounterMetricFamily("endivedrift_quota_requests", text, labels=("account", "result"))
    counts, other = list_quota_counts(state)
    for account, count in [*counts.items(), (OTHER_ACCOUNTS, other)]:
        family.add_metric([account, "admitted"], count.admitted)
        family.add_metric([account, "refused"], count.refused)
    yield family


def _list_gauges(metrics: Metrics, state: HostState, now: Instant) -> Iterator[Any]:
    from prometheus_client.core import GaugeMetricFamily

    serving = 1 if state.phase is HostPhase.SERVING else 0
    for name, text, value in (
        ("endivedrift_caller_connections", "Open connections of callers", metrics.connections),
        (
            "endivedrift_config_version",
            "Version of the object set in force",
            state.config.version,
        ),
        (
            "endivedrift_idempotency_keys",
            "Remembered idempotency keys",
            len(state.keys.records),
        ),
        (
            "endivedrift_held_bytes",
            "Bytes of request bodies and answers that are held",
            metrics.held_bytes.used,
        ),
        (
            "endivedrift_held_bytes_limit",
            "Limit on the bytes that are held",
            metrics.held_bytes.limit,
        ),
        (
            "endivedrift_input_bytes",
            "Bytes that connections of callers hold besides bodies",
            metrics.inputs.used,
        ),
        ("endivedrift_input_bytes_limit", "Limit on these bytes", metrics.inputs.limit),
        (
            "endivedrift_admitted_share",
            "Share of the requests for which the host has processor time",
            state.overload.admitted_share,
        ),
        ("endivedrift_serving", "1 while the host serves, else 0", serving),
    ):
        yield GaugeMetricFamily(name, text, value=value)
    if state.store.as_of is not None:
        text = "Age of the latest answer of the store that is known here"
        age_s = (now - state.store.as_of).total_seconds()
        yield GaugeMetricFamily("endivedrift_store_answer_age_seconds", text, value=age_s)
    members = GaugeMetricFamily("endivedrift_members", "Known hosts by status", labels=("status",))
    statuses = Counter(record.member.status for record in state.membership.records.values())
    for status in MemberStatus:
        members.add_metric([status.name.lower()], statuses[status])
    yield members
    text = "Targets by service and state"
    targets = GaugeMetricFamily("endivedrift_targets", text, labels=("service", "state"))
    queued = GaugeMetricFamily(
        "endivedrift_queued_requests", "Waiting requests", labels=("service",)
    )
    for name, service in state.services.items():
        queued.add_metric([name], service.queued_count)
        states = Counter(record.state for record in service.targets.values())
        for target_state in TargetState:
            targets.add_metric([name, target_state.value], states[target_state])
    yield targets
    yield queued
