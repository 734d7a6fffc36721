"""The object types that operators publish, as immutable records.

Objects are written in TOML tables named `KIND.NAME` and refer to one another by name. Each type
checks its own fields here; references between objects are checked in `_consistency`.
"""

import ipaddress
from dataclasses import field
from datetime import timedelta
from typing import Annotated

from pydantic import ConfigDict, Field, TypeAdapter, field_validator
from pydantic.dataclasses import dataclass

from endivedrift.core import Importance

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_DEADLINE_MS = 120_000

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$")]
Milliseconds = Annotated[int, Field(ge=1, le=MAX_DEADLINE_MS)]
Probability = Annotated[float, Field(gt=0.0, lt=1.0)]


def check_address(text: str) -> str:
    """Checks that `text` is an IPv4 address and a port.

    Raises:
      ValueError: If it is not.
    """
    ip, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError("must be written as IP:PORT")
    if not 0 < int(port) < 65536:
        raise ValueError("the port must be from 1 to 65535")
    ipaddress.IPv4Address(ip)
    return text


_STRICT = ConfigDict(extra="forbid", strict=True)


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class Target:
    """One target of an upstream group.

    Attributes:
      name: Name, unique in the group.
      address: IPv4 address and port.
      failure_domain: Failure domain it stands in.
      draining: Whether the operator takes it out of use.
    """

    name: Name
    address: str
    failure_domain: Name
    draining: bool = False

    _address = field_validator("address")(check_address)


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class UpstreamGroup:
    """Targets that are able to answer the same requests.

    Attributes:
      slots: Requests that one target works on at a time.
      connection_cap: Connections that one target accepts from the whole fleet.
      not_run_header: Header by which a target's 429 or 503 tells that it did not run the request.
      draining_header: Header by which a target's answer tells that it is shutting down.
      discovered: Whether targets register themselves in place of being published.
      close_delimited: Whether an answer without a length is complete when its connection is closed.
      connect_ms: Longest time to open a connection to a target.
      reuse_unrepeatable_ms: Longest time for which a connection was idle that may carry a request
        that is not repeatable; 0 gives each such request a connection of its own.
      targets: The targets.
    """

    slots: Annotated[int, Field(ge=1, le=10_000)]
    connection_cap: Annotated[int, Field(ge=1, le=100_000)]
    not_run_header: Annotated[str, Field(pattern=r"^[a-z0-9-]+$")] = "x-not-run"
    draining_header: Annotated[str, Field(pattern=r"^[a-z0-9-]+$")] = "x-draining"
    discovered: bool = False
    close_delimited: bool = False
    connect_ms: Milliseconds = 1_000
    reuse_unrepeatable_ms: Annotated[int, Field(ge=0, le=60_000)] = 0
    targets: tuple[Target, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class EjectionLimit:
    """How readily and how far targets are taken out of use.

    Attributes:
      floor: Number of usable targets that each host keeps, whatever the evidence.
      floor_share: Share of the targets that each host keeps, where that is more than the floor.
      pause_ms: Time for which a target is avoided after a single failure; 0 never avoids one.
      false_ejection_rate: Accepted probability of ejecting a target that is as good as its group,
        per target and restart of the sequential test.
      detectable_failure_rate: Share of bad answers that marks a sick target.
      slow_factor: An answer that takes this many times the group's typical time is bad.
      base_stay_ms: First stay outside; it doubles each time the target falls sick again.
      max_stay_ms: Longest stay outside.
    """

    floor: Annotated[int, Field(ge=1)]
    floor_share: Annotated[float, Field(ge=0.0, le=1.0)] = 0.0
    pause_ms: Annotated[int, Field(ge=0, le=60_000)] = 0
    false_ejection_rate: Probability
    detectable_failure_rate: Probability
    slow_factor: Annotated[float, Field(gt=1.0, le=100.0)] = 3.0
    base_stay_ms: Milliseconds = 5_000
    max_stay_ms: Milliseconds = 60_000


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class DrainRule:
    """How a host treats leaving and new targets.

    Attributes:
      warm_up_ms: Time during which a new target gets one request at a time.
    """

    warm_up_ms: Milliseconds = 5_000


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class RetryRule:
    """How often a request is tried again.

    Attributes:
      max_attempts: Attempts for one request, the first included.
      budget_ratio: Retries allowed for each request.
      budget_cap: Retries that may be saved up.
    """

    max_attempts: Annotated[int, Field(ge=1, le=10)] = 3
    budget_ratio: Annotated[float, Field(ge=0.0, le=1.0)] = 0.1
    budget_cap: Annotated[int, Field(ge=0, le=10_000)] = 20


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class Service:
    """One service that callers reach.

    Attributes:
      upstream_group, ejection_limit, drain_rule, retry_rule: Names of other objects.
      entry_hosts: Hosts that the entry answer names first for this service, at the least.
      slots_per_core: Slots of targets for which a core of processor power is needed at the hosts;
        where they have less, more hosts are named. 0 where the number of hosts is fixed.
      queue_length: Requests that may wait at one host.
      share_at_once: Whether the entry hosts tell one another of each attempt as it begins and ends.
    """

    upstream_group: Name
    ejection_limit: Name
    drain_rule: Name
    retry_rule: Name
    entry_hosts: Annotated[int, Field(ge=1, le=1_000)] = 2
    slots_per_core: Annotated[int, Field(ge=0, le=1_000_000)] = 0
    queue_length: Annotated[int, Field(ge=0, le=100_000)] = 256
    share_at_once: bool = False


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class Share:
    """A service's part of the requests of a route, in proportion to the weights."""

    service: Name
    weight: Annotated[int, Field(ge=0)]


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class Route:
    """Requests that go to one service.

    Attributes:
      service: Name of the service.
      path: Path prefix, matched at segment boundaries; the longest prefix wins.
      subpaths_only: Whether a prefix that ends with a slash leaves out the path without it.
      hosts: Names in the Host header, in lower case; empty for any.
      split: Services that share the requests; empty where all go to `service`.
      max_attempts: Attempts for one request, the first included; 0 leaves it to the retry rule.
      methods: HTTP methods, or an asterisk for any.
      repeatable: Whether running the request twice does no harm.
      key_required: Whether a request must carry an idempotency key.
      deadline_ms: Longest time from arrival to answer.
      queue_wait_ms: Longest time in the queue.
      aim_ms: Time within which an answer is of full use, or 0 for the deadline. Where many requests
        wait for long, only those are queued that can still be answered within it.
      importance: Order in the queue: critical, normal or deferrable.
      request_limit_bytes, answer_limit_bytes: Largest bodies.
      known_callers_only: Whether a request must name a published caller account.
    """

    service: Name
    path: Annotated[str, Field(pattern=r"^/[A-Za-z0-9._~/%!$&'()*+,;=:@-]*$")]
    methods: Annotated[
        tuple[Annotated[str, Field(pattern=r"^([A-Z]+|\*)$")], ...], Field(min_length=1)
    ]
    subpaths_only: bool = False
    hosts: tuple[str, ...] = ()
    split: tuple[Share, ...] = ()
    max_attempts: Annotated[int, Field(ge=0, le=10)] = 0
    repeatable: bool
    key_required: bool = False
    deadline_ms: Milliseconds
    queue_wait_ms: Milliseconds
    aim_ms: Annotated[int, Field(ge=0, le=MAX_DEADLINE_MS)] = 0
    importance: Annotated[str, Field(pattern=r"^(critical|normal|deferrable)$")] = "normal"
    request_limit_bytes: Annotated[int, Field(ge=0, le=MAX_BODY_BYTES)] = 65_536
    answer_limit_bytes: Annotated[int, Field(ge=0, le=MAX_BODY_BYTES)] = 1_048_576
    known_callers_only: bool = False

    @property
    def deadline(self) -> timedelta:
        """Longest time from arrival to answer."""
        return timedelta(milliseconds=self.deadline_ms)

    @property
    def aim(self) -> timedelta:
        """Time within which an answer is of full use."""
        return timedelta(milliseconds=self.aim_ms or self.deadline_ms)

    @property
    def queue_wait(self) -> timedelta:
        """Longest time in the queue."""
        return timedelta(milliseconds=self.queue_wait_ms)

    @property
    def queue_priority(self) -> Importance:
        """Order in the queue."""
        return Importance[self.importance.upper()]


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class ConnectionLimit:
    """Limits of callers' connections, in place of those of the settings.

    Attributes:
      head_bytes: Largest request line and headers together.
      head_ms: Longest time in which a request's head must arrive once it has begun.
      idle_ms: Time after which a connection without a request is closed.
    """

    head_bytes: Annotated[int, Field(ge=256, le=1_048_576)] = 16_384
    head_ms: Milliseconds = 10_000
    idle_ms: Annotated[int, Field(ge=1, le=3_600_000)] = 60_000


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class Caller:
    """A caller's account and its limits at one host.

    Attributes:
      requests_per_s: Sustained rate.
      burst: Requests that may come at once.
    """

    requests_per_s: Annotated[float, Field(gt=0.0)]
    burst: Annotated[int, Field(ge=1)]


@dataclass(frozen=True, slots=True, kw_only=True, config=_STRICT)
class ObjectSet:
    """All objects that are published together."""

    service: dict[Name, Service] = field(default_factory=dict)
    upstream_group: dict[Name, UpstreamGroup] = field(default_factory=dict)
    ejection_limit: dict[Name, EjectionLimit] = field(default_factory=dict)
    drain_rule: dict[Name, DrainRule] = field(default_factory=dict)
    retry_rule: dict[Name, RetryRule] = field(default_factory=dict)
    route: dict[Name, Route] = field(default_factory=dict)
    caller: dict[Name, Caller] = field(default_factory=dict)
    connection_limit: dict[Name, ConnectionLimit] = field(default_factory=dict)


OBJECT_SET = TypeAdapter(ObjectSet)
"""Validates object sets from JSON and turns them into plain JSON values."""
