"""Builders of test data, and a harness that drives the reducer of one host."""

from dataclasses import replace
from datetime import timedelta
from random import Random

from endivedrift.core import (
    ANY_VERSION,
    Address,
    Answer,
    ConfigRef,
    Digest,
    EvidenceDelta,
    FailureDomain,
    HostId,
    HostIdentity,
    IdempotencyKey,
    Incarnation,
    ManualClock,
    Member,
    MessageKind,
    PeerMessage,
    RequestDigest,
    RequestHead,
    RequestId,
    ServiceName,
    TargetEntry,
    TargetName,
    Version,
)
from endivedrift.core.effects import Effect
from endivedrift.core.events import (
    ConfigFetched,
    PeerMessageReceived,
    RequestArrived,
    Ticked,
)
from endivedrift.objects import (
    BOUNDS_RULE_NAME,
    Caller,
    DrainRule,
    EjectionLimit,
    FleetBounds,
    ObjectSet,
    RetryRule,
    Route,
    Service,
    Target,
    UpstreamGroup,
    build_discovered_group,
    build_discovered_service,
    build_drain_rule,
    build_ejection_limit,
    build_retry_rule,
    digest_bytes,
    encode_object_set,
)
from endivedrift.reducer import HostState, build_host, reduce

SECRET = b"a-key-for-tests-only"
SERVICE = "rooms"
READ_PATH = "/rooms"
WRITE_PATH = "/stays"


def build_object_set(
    targets: int = 4,
    floor: int = 2,
    slots: int = 2,
    queue_length: int = 4,
    entry_hosts: int = 2,
    max_attempts: int = 3,
    false_ejection_rate: float = 1e-4,
    key_required: bool = False,
) -> ObjectSet:
    """Builds a valid object set with one service, one repeatable route and one that is not."""
    domains = ("a", "b", "c")
    group = UpstreamGroup(
        slots=slots,
        connection_cap=100,
        targets=tuple(
            Target(name=f"t{n}", address=f"127.0.0.1:{9000 + n}", failure_domain=domains[n % 3])
            for n in range(targets)
        ),
    )
    service = Service(
        upstream_group="group",
        ejection_limit="limit",
        drain_rule="drain",
        retry_rule="retry",
        entry_hosts=entry_hosts,
        queue_length=queue_length,
    )
    read = Route(
        service=SERVICE,
        path=READ_PATH,
        methods=("GET",),
        repeatable=True,
        deadline_ms=2000,
        queue_wait_ms=500,
    )
    write = Route(
        service=SERVICE,
        path=WRITE_PATH,
        methods=("POST",),
        repeatable=False,
        key_required=key_required,
        deadline_ms=4000,
        queue_wait_ms=1000,
        importance="critical",
    )
    limit = EjectionLimit(
        floor=floor, false_ejection_rate=false_ejection_rate, detectable_failure_rate=0.3
    )
    return ObjectSet(
        service={SERVICE: service},
        upstream_group={"group": group},
        ejection_limit={"limit": limit},
        drain_rule={"drain": DrainRule(warm_up_ms=1000)},
        retry_rule={"retry": RetryRule(max_attempts=max_attempts)},
        route={"read": read, "write": write},
        caller={"guest": Caller(requests_per_s=10.0, burst=5)},
    )


def build_identity(
    name: str = "h1", incarnation: int = 7, domain: str = "a", power: float = 1.0
) -> HostIdentity:
    """Builds the identity of a host."""
    return HostIdentity(
        HostId(name),
        Incarnation(incarnation),
        FailureDomain(domain),
        Address(f"{name}:1"),
        Address(f"{name}:2"),
        Address(f"{name}:3"),
        power=power,
    )


def build_config_fetched(clock: ManualClock, objects: ObjectSet, version: int = 1) -> ConfigFetched:
    """Builds the event that an object set was fetched."""
    canonical = encode_object_set(objects)
    config = ConfigRef(Version(version), digest_bytes(canonical))
    return ConfigFetched(clock.monotonic(), config, canonical)


class HostHarness:
    """Drives a reducer with a manual clock."""

    def __init__(
        self,
        objects: ObjectSet | None = None,
        identity: HostIdentity | None = None,
        clock: ManualClock | None = None,
        seed: int = 1,
        store_is_relayed: bool = False,
    ) -> None:
        """Starts a host.

        Args:
          objects: The object set in force, or None for none.
          identity: Its identity, or None for a default one.
          clock: Its clock, or None for one of its own.
          seed: The seed of its random choices.
          store_is_relayed: Whether few hosts read the store and relay its changes.
        """
        self.clock = clock or ManualClock()
        self.state: HostState = build_host(
            identity or build_identity(), SECRET, seed, store_is_relayed
        )
        self.random = Random(seed)
        self.request_count = 0
        self.notice_count = 0
        if objects is not None:
            self.apply(build_config_fetched(self.clock, objects))

    def apply(self, event: object) -> list[Effect]:
        """Applies an event and returns its effects."""
        return reduce(self.state, event)  # type: ignore[arg-type]

    def advance(self, seconds: float, step: float = 0.1) -> list[Effect]:
        """Advances the clock in steps, with a tick at each, and returns all effects."""
        effects: list[Effect] = []
        for _ in range(round(seconds / step)):
            self.clock.advance(timedelta(seconds=step))
            effects += self.apply(Ticked(self.clock.monotonic(), self.clock.wall()))
        return effects

    def receive_notice(self, member: Member) -> None:
        """Applies a notice by which another host makes itself known."""
        self.receive_evidence(member)

    def receive_evidence(self, sender: Member, *deltas: EvidenceDelta) -> list[Effect]:
        """Applies a notice with what another host has seen at targets."""
        self.notice_count += 1
        message = PeerMessage(
            MessageKind.NOTICE,
            sender,
            self.notice_count,
            0,
            HostId(""),
            False,
            self.state.config,
            evidence=deltas,
        )
        event = PeerMessageReceived(self.clock.monotonic(), sender.peer_address, message)
        return self.apply(event)

    def receive_request(
        self,
        method: str = "GET",
        path: str = READ_PATH,
        key: str | None = None,
        fingerprint: bytes = b"",
        caller_timeout: float | None = None,
        forwarded: bool = False,
        caller: str | None = None,
        digest: bytes = b"",
        for_peer: bool = False,
        earlier_attempts: int = 0,
        config_version: Version = ANY_VERSION,
        takes_retry: bool = False,
    ) -> tuple[RequestId, list[Effect]]:
        """Applies the arrival of a request and returns its id and effects."""
        self.request_count += 1
        request = RequestId(f"{self.state.identity.host}-{self.request_count}")
        head = RequestHead(
            method=method,
            path=path,
            caller=caller,  # type: ignore[arg-type]
            key=IdempotencyKey(key) if key is not None else None,
            fingerprint=fingerprint,
            caller_timeout=(
                timedelta(seconds=caller_timeout) if caller_timeout is not None else None
            ),
            forwarded=forwarded,
            for_peer=for_peer,
            earlier_attempts=earlier_attempts,
            config_version=config_version,
            takes_retry=takes_retry,
            digest=RequestDigest(digest),
        )
        event = RequestArrived(self.clock.monotonic(), self.clock.wall(), request, head)
        return request, self.apply(event)


def build_answer(status: int = 200, body: bytes = b"ok") -> Answer:
    """Builds a target's answer."""
    return Answer(status, (), body)


def build_ref(version: int, digest: str = "d") -> ConfigRef:
    """Builds a reference to an object set."""
    return ConfigRef(Version(version), Digest(digest))


def name_target(number: int) -> TargetName:
    """Returns the name of a target of `build_object_set` or `build_target_entry`."""
    return TargetName(f"t{number}")


def build_discovered_set(
    floor_share: float = 0.7, max_attempts: int = 2, aim_ms: int = 600, service: str = SERVICE
) -> ObjectSet:
    """Builds an object set with one service whose targets register themselves, and two routes."""
    bounds = FleetBounds(retry_ratio=0.2, retry_burst=56, floor_share=floor_share, entry_hosts=2)
    read = Route(
        service=service,
        path=READ_PATH,
        methods=("*",),
        repeatable=True,
        max_attempts=max_attempts,
        deadline_ms=2000,
        aim_ms=aim_ms,
        queue_wait_ms=1999,
    )
    write = replace(read, path=WRITE_PATH, repeatable=False, deadline_ms=2500, queue_wait_ms=2499)
    return ObjectSet(
        service={service: build_discovered_service(service, bounds)},
        upstream_group={service: build_discovered_group(330, "x-not-run")},
        ejection_limit={BOUNDS_RULE_NAME: build_ejection_limit(bounds)},
        drain_rule={BOUNDS_RULE_NAME: build_drain_rule()},
        retry_rule={BOUNDS_RULE_NAME: build_retry_rule(bounds)},
        route={"read": read, "write": write},
    )


def build_target_entry(number: int, leaving: bool = False, born: int = 1) -> TargetEntry:
    """Builds the registration of a target with two slots."""
    return TargetEntry(
        name=name_target(number),
        service=ServiceName(SERVICE),
        address=Address(f"127.0.0.1:{9000 + number}"),
        failure_domain=FailureDomain("abc"[number % 3]),
        slots=2,
        leaving=leaving,
        warm_up_left=timedelta(0),
        started_ms=born,
    )
