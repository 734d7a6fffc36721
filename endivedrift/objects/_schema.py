"""The types of object that operators publish, as immutable records.

Objects are written as TOML tables with the name `KIND.NAME` and refer to one another by name. The
constraints on their fields are checked where the records are read; references between objects are
checked in `_consistency`.
"""

import hashlib
import ipaddress
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Annotated, Any, ClassVar

from endivedrift.core import AccountKeyDigest, Importance
from endivedrift.objects._constraints import (
    OMIT_DEFAULT,
    STRICT,
    Checked,
    Length,
    Pattern,
    Range,
)

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_DURATION_MS = 86_400_000
"""Longest time that a caller may be kept waiting, or its connection open: a day."""
MAX_CONNECTION_CAP = 100_000
MAX_HEAD_BYTES = 1_048_576
MAX_INTERNAL_MS = 120_000
"""Longest duration of what hosts do by themselves, such as connecting, warming up or ejecting."""
MAX_ATTEMPTS = 10
MAX_REQUESTS_PER_S = 1_000_000_000
"""Greatest quota of an account, far above what a fleet serves."""
ACCOUNT_KEY_DIGEST_BYTES = 16

NAME_PATTERN = Pattern(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$")
OPTIONAL_NAME_PATTERN = Pattern(r"^(|[A-Za-z0-9][A-Za-z0-9._-]{0,126})$")
KEY_DIGEST_PATTERN = Pattern(r"^[0-9a-f]{32}$")
Name = Annotated[str, NAME_PATTERN]
OptionalName = Annotated[str, OPTIONAL_NAME_PATTERN]
Milliseconds = Annotated[int, Range(ge=1, le=MAX_INTERNAL_MS)]
CallerMilliseconds = Annotated[int, Range(ge=1, le=MAX_DURATION_MS)]
Probability = Annotated[float, Range(gt=0.0, lt=1.0)]
ShareOfAll = Annotated[float, Range(ge=0.0, le=1.0)]


def check_address(text: str) -> str:
    """Checks that `text` consists of an IPv4 address and a port.

    Args:
      text: The address, as IP:PORT.
    Returns:
      The text as it was passed.
    Raises:
      ValueError: If it does not.
    """
    ip, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError("must be written as IP:PORT")
    if not 0 < int(port) < 65536:
        raise ValueError("the port must be from 1 to 65535")
    ipaddress.IPv4Address(ip)
    return text


def digest_account_key(key: bytes) -> AccountKeyDigest:
    """Returns the digest by which object sets and hosts know the key of a caller account.

    Hosts look digests up in a table, so that the time of a lookup tells nothing of the keys.
    """
    digest = hashlib.blake2b(key, digest_size=ACCOUNT_KEY_DIGEST_BYTES)
    return AccountKeyDigest(digest.hexdigest())


AddressText = Annotated[str, Checked(check_address)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One target of an upstream group.

    Attributes:
      name: Name, unique within the group.
      address: IPv4 address and port.
      failure_domain: Failure domain in which the target runs.
      draining: Whether the operator is taking the target out of use.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    name: Name
    address: AddressText
    failure_domain: Name
    draining: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamGroup:
    """A group of interchangeable targets.

    Attributes:
      slots: Number of requests that one target processes concurrently.
      connection_cap: Number of connections that one target accepts from the whole fleet.
      not_run_header: Header of a 429 or 503 that states that the target did not run the request.
      draining_header: Header of an answer that states that the target is shutting down.
      discovered: Whether targets register themselves instead of being published.
      close_delimited: Whether an answer without a length ends when the target closes the
        connection.
      connect_ms: Timeout for opening a connection to a target.
      reuse_unrepeatable_ms: Maximum idle time of a connection that is reused for a request that is
        not repeatable; 0 opens a new connection for each such request.
      targets: The published targets.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    slots: Annotated[int, Range(ge=1, le=10_000)]
    connection_cap: Annotated[int, Range(ge=1, le=MAX_CONNECTION_CAP)]
    not_run_header: Annotated[str, Pattern(r"^[a-z0-9-]+$")] = "x-not-run"
    draining_header: Annotated[str, Pattern(r"^[a-z0-9-]+$")] = "x-draining"
    discovered: bool = False
    close_delimited: bool = False
    connect_ms: Milliseconds = 1_000
    reuse_unrepeatable_ms: Annotated[int, Range(ge=0, le=60_000)] = 0
    targets: tuple[Target, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class EjectionLimit:
    """Limits and sensitivity of ejecting and pausing targets.

    Attributes:
      floor: Minimum number of targets that each host keeps usable, whatever the evidence.
      floor_share: Share of the targets that each host keeps usable, if that exceeds `floor`.
      pause_ms: Time for which a target is paused after a failure; 0 disables pauses.
      false_ejection_rate: Accepted probability of ejecting a target that is as good as its group,
        per target and restart of the sequential test.
      detectable_failure_rate: Share of otherwise good answers that are bad at a failing target; the
        sequential test is designed to detect targets that reach it.
      slow_factor: An answer is bad if it takes longer than the group's typical latency times this.
      base_stay_ms: Duration of a first ejection; it doubles with each further ejection.
      max_stay_ms: Maximum duration of an ejection.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    floor: Annotated[int, Range(ge=1)]
    floor_share: Annotated[float, Range(ge=0.0, le=1.0)] = 0.0
    pause_ms: Annotated[int, Range(ge=0, le=60_000)] = 0
    false_ejection_rate: Probability
    detectable_failure_rate: Probability
    slow_factor: Annotated[float, Range(gt=1.0, le=100.0)] = 3.0
    base_stay_ms: Milliseconds = 5_000
    max_stay_ms: Milliseconds = 60_000


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainRule:
    """How hosts treat new targets.

    Attributes:
      warm_up_ms: Slow start: time during which a new target is given one request at a time.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    warm_up_ms: Milliseconds = 5_000


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryRule:
    """How often requests are retried.

    Attributes:
      max_attempts: Maximum number of attempts for one request, including the first.
      budget_ratio: Tokens that each request adds to the retry budget; a retry takes one.
      budget_cap: Maximum number of tokens in the retry budget.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    max_attempts: Annotated[int, Range(ge=1, le=MAX_ATTEMPTS)] = 3
    budget_ratio: Annotated[float, Range(ge=0.0, le=1.0)] = 0.1
    budget_cap: Annotated[int, Range(ge=0, le=10_000)] = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeRule:
    """How much extra work hedged requests may cause.

    Attributes:
      max_extra_share: Share of a service's requests that may be hedged, over the whole fleet; 0
        disables hedging.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    max_extra_share: ShareOfAll = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service that callers can reach.

    Attributes:
      upstream_group, ejection_limit, drain_rule, retry_rule: Names of other objects.
      hedge_rule: Name of the rule on hedged requests; empty for no hedging.
      entry_hosts: Minimum number of primaries: the hosts that serve the service, and that callers
        are sent to, in normal operation.
      slots_per_core: Number of target slots for which the primaries need one core of processor
        capacity. If they have less, more hosts become primaries. 0 leaves their number fixed.
      queue_length: Maximum number of requests that wait at one host.
      share_at_once: Whether the primaries are notified at once when an attempt begins or ends.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    upstream_group: Name
    ejection_limit: Name
    drain_rule: Name
    retry_rule: Name
    hedge_rule: OptionalName = ""
    entry_hosts: Annotated[int, Range(ge=1, le=1_000)] = 2
    slots_per_core: Annotated[int, Range(ge=0, le=1_000_000)] = 0
    queue_length: Annotated[int, Range(ge=0, le=100_000)] = 256
    share_at_once: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """A service to which a share of a route's requests goes, in proportion to its weight."""

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    service: Name
    weight: Annotated[int, Range(ge=0)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A route, which matches requests and determines the service they go to.

    Attributes:
      service: Name of the service.
      path: Path prefix, which matches at segment boundaries; the longest prefix takes precedence.
      subpaths_only: Whether the path that equals the prefix, without a trailing slash, is excluded.
      hosts: Names in the Host header, in lower case; empty matches any.
      split: Services among which the requests are divided; empty if all go to `service`.
      max_attempts: Maximum number of attempts for one request, including the first; 0 applies the
        retry rule's.
      max_hedge_share: Share of the route's requests that may be hedged, if that is less than the
        service's hedge rule allows; 0 disables hedging.
      methods: HTTP methods, or an asterisk for any.
      repeatable: Whether the request is idempotent, so that it may run more than once.
      key_required: Whether a request must carry an idempotency key.
      deadline_ms: Maximum time from arrival to answer.
      queue_wait_ms: Maximum time in the queue.
      aim_ms: Latency up to which an answer is fully useful, or 0 for the deadline. While there is a
        standing queue, only requests that can be answered within this latency are queued.
      importance: Priority in the queue: critical, normal or deferrable.
      request_limit_bytes, answer_limit_bytes: Maximum size of the bodies.
      known_callers_only: Whether a request must name a published caller account, or carry the key
        of one.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    service: Name
    path: Annotated[str, Pattern(r'^/[!"$->@-~]*$')]
    methods: Annotated[tuple[Annotated[str, Pattern(r"^([A-Z]+|\*)$")], ...], Length(1)]
    subpaths_only: bool = False
    hosts: tuple[str, ...] = ()
    split: tuple[Share, ...] = ()
    max_attempts: Annotated[int, Range(ge=0, le=MAX_ATTEMPTS)] = 0
    max_hedge_share: ShareOfAll = 1.0
    repeatable: bool
    key_required: bool = False
    deadline_ms: CallerMilliseconds
    queue_wait_ms: Annotated[int, Range(ge=0, le=MAX_DURATION_MS)]
    aim_ms: Annotated[int, Range(ge=0, le=MAX_DURATION_MS)] = 0
    importance: Annotated[str, Pattern(r"^(critical|normal|deferrable)$")] = "normal"
    request_limit_bytes: Annotated[int, Range(ge=0, le=MAX_BODY_BYTES)] = 65_536
    answer_limit_bytes: Annotated[int, Range(ge=0, le=MAX_BODY_BYTES)] = 1_048_576
    known_callers_only: bool = False

    @property
    def deadline(self) -> timedelta:
        """Maximum time from arrival to answer."""
        return timedelta(milliseconds=self.deadline_ms)

    @property
    def aim(self) -> timedelta:
        """Latency up to which an answer is fully useful."""
        return timedelta(milliseconds=self.aim_ms or self.deadline_ms)

    @property
    def queue_wait(self) -> timedelta:
        """Maximum time in the queue."""
        return timedelta(milliseconds=self.queue_wait_ms)

    @property
    def queue_priority(self) -> Importance:
        """Priority in the queue."""
        return Importance[self.importance.upper()]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimit:
    """Limits of callers' connections, which replace those of the settings.

    Attributes:
      head_bytes: Maximum size of the request target, header names and header values together.
      head_ms: Maximum time from the first byte of a request to its last, including the body.
      idle_ms: Time after which a connection without a request is closed.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    head_bytes: Annotated[int, Range(ge=1, le=MAX_HEAD_BYTES)] = 16_384
    head_ms: CallerMilliseconds = 10_000
    idle_ms: CallerMilliseconds = 60_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """A caller account with its keys and its quota, which applies to the fleet as a whole.

    Attributes:
      requests_per_s: Sustained rate, at which tokens are added to the bucket; 0 for no limit.
      burst: Capacity of the token bucket, in requests; at least one request always fits.
      key_digests: Digests of the account's keys, as `digest_account_key` returns them. An account
        without any is named by its callers, which then have to be trusted.
      importance: Priority in the queue, which takes precedence over that of the route; empty for
        the route's.
      label: Name by which targets are told of the account, if it differs from the object's: the
        bytes of a header value, as Latin-1.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    requests_per_s: Annotated[float, Range(ge=0.0, le=MAX_REQUESTS_PER_S)] = 0.0
    burst: Annotated[int, Range(ge=0, le=MAX_REQUESTS_PER_S)] = 0
    key_digests: tuple[Annotated[str, KEY_DIGEST_PATTERN], ...] = ()
    importance: Annotated[str, Pattern(r"^(|critical|normal|deferrable)$")] = ""
    label: Annotated[str, Pattern(r"^[ -~\x80-\xff]*$")] = field(default="", metadata=OMIT_DEFAULT)

    @property
    def queue_priority(self) -> Importance | None:
        """Priority in the queue, or None for that of the route."""
        return Importance[self.importance.upper()] if self.importance else None


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectSet:
    """All objects that are published together, by kind and name."""

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    service: dict[Name, Service] = field(default_factory=dict)
    upstream_group: dict[Name, UpstreamGroup] = field(default_factory=dict)
    ejection_limit: dict[Name, EjectionLimit] = field(default_factory=dict)
    drain_rule: dict[Name, DrainRule] = field(default_factory=dict)
    retry_rule: dict[Name, RetryRule] = field(default_factory=dict)
    hedge_rule: dict[Name, HedgeRule] = field(default_factory=dict)
    route: dict[Name, Route] = field(default_factory=dict)
    caller: dict[Name, Caller] = field(default_factory=dict)
    connection_limit: dict[Name, ConnectionLimit] = field(default_factory=dict)
