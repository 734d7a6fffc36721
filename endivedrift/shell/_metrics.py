"""Metrics in Prometheus format; names carry their units."""

from datetime import timedelta

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from endivedrift.core import (
    Answer,
    AttemptOutcome,
    AuditEntry,
    HostPhase,
    MemberStatus,
    Refusal,
    TargetState,
)
from endivedrift.reducer import HostState

LATENCY_BUCKETS_SECONDS = (0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)


class Metrics:
    """The metrics of one daemon, in a registry of their own."""

    def __init__(self) -> None:
        """Creates all metrics with the value 0."""
        registry = CollectorRegistry()
        self._registry = registry
        self.requests = Counter(
            "endivedrift_requests",
            "Requests of callers by service and result",
            ["service", "result"],
            registry=registry,
        )
        self.request_seconds = Histogram(
            "endivedrift_request_seconds",
            "Time from a request's arrival to its answer",
            ["service"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        )
        self.attempts = Counter(
            "endivedrift_attempts",
            "Attempts at targets by service and outcome",
            ["service", "outcome"],
            registry=registry,
        )
        self.audit = Counter(
            "endivedrift_audit_entries", "Audit entries by kind", ["kind"], registry=registry
        )
        self.rejected_peer_messages = Counter(
            "endivedrift_peer_rejected",
            "Datagrams and calls of peers that failed authentication or could not be read",
            registry=registry,
        )
        self.peer_bytes = Counter(
            "endivedrift_peer_bytes", "Bytes of datagrams", ["direction"], registry=registry
        )
        self.platform_failures = Counter(
            "endivedrift_platform_failures",
            "Calls to the platform without an answer",
            ["service"],
            registry=registry,
        )
        self.connections = Gauge(
            "endivedrift_caller_connections", "Open connections of callers", registry=registry
        )
        self.config_version = Gauge(
            "endivedrift_config_version", "Version of the object set in force", registry=registry
        )
        self.members = Gauge(
            "endivedrift_members", "Known hosts by status", ["status"], registry=registry
        )
        self.targets = Gauge(
            "endivedrift_targets",
            "Targets by service and state",
            ["service", "state"],
            registry=registry,
        )
        self.queued = Gauge(
            "endivedrift_queued_requests", "Waiting requests", ["service"], registry=registry
        )
        self.keys = Gauge(
            "endivedrift_idempotency_keys", "Remembered idempotency keys", registry=registry
        )
        self.serving = Gauge(
            "endivedrift_serving", "1 while the host serves, else 0", registry=registry
        )

    def count_audit(self, entry: AuditEntry) -> None:
        """Counts an audit entry."""
        self.audit.labels(entry.kind.value).inc()

    def count_request(self, service: str, result: Answer | Refusal, duration: timedelta) -> None:
        """Counts a finished request by its result, and records its duration."""
        label = "answered" if isinstance(result, Answer) else result.reason.value
        self.requests.labels(service, label).inc()
        self.request_seconds.labels(service).observe(duration.total_seconds())

    def count_attempt(self, service: str, outcome: AttemptOutcome) -> None:
        """Counts a finished attempt by its outcome."""
        self.attempts.labels(service, outcome.value).inc()

    def render(self, state: HostState) -> bytes:
        """Returns all metrics in the text format, after updating the gauges from the state."""
        self.config_version.set(state.config.version)
        self.keys.set(len(state.keys.records))
        self.serving.set(1 if state.phase is HostPhase.SERVING else 0)
        for status in MemberStatus:
            records = state.membership.records.values()
            count = sum(1 for record in records if record.member.status is status)
            self.members.labels(status.name.lower()).set(count)
        self.targets.clear()
        self.queued.clear()
        for name, service in state.services.items():
            self.queued.labels(name).set(service.queued_count)
            for target_state in TargetState:
                targets = service.targets.values()
                count = sum(1 for record in targets if record.state is target_state)
                self.targets.labels(name, target_state.value).set(count)
        return generate_latest(self._registry)
