"""Settings of the daemon, read from a TOML file and validated as a whole."""

import json
import re
import tomllib
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any, ClassVar

from expression import Error, Ok, Result

from endivedrift.objects import STRICT, AddressText, Length, Name, Pattern, Range

MIN_KEY_LENGTH = 16
LEAVE_MARGIN_S = 1.0
RESERVED_DESCRIPTORS = 200
"""Descriptors for files; sockets share the others."""
CALLER_SHARE, QUERY_SHARE, PEER_SHARE, OPERATOR_SHARE = 0.52, 0.066, 0.066, 0.01
"""Shares of the descriptors for sockets, the second for each address that answers short queries.
The rest is for connections to targets, to other hosts and to the platform."""
MAX_QUERY_CONNECTIONS = 256
MAX_PEER_CONNECTIONS = 256
MAX_OPERATOR_CONNECTIONS = 32
MIN_CONNECTIONS = 4
MIN_DESCRIPTORS = 300


@dataclass(frozen=True, slots=True)
class SettingsError:
    """One error in a settings file: the invalid field and the cause."""

    file: str
    field: str
    cause: str

    def __str__(self) -> str:
        """Returns the error on one line."""
        place = f"{self.file}: {self.field}" if self.field else self.file
        return f"{place}: {self.cause}"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSection:
    """Identity and capacity of this host.

    Attributes:
      id: Name of the host, unique in the fleet.
      failure_domain: Failure domain that the host is in.
      region: Region of the failure domain.
      power: Processor power that the host has for requests, in cores.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    id: Name
    failure_domain: Name
    region: Name
    power: Annotated[float, Range(gt=0, le=1_000)] = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ListenSection:
    """Addresses that the daemon listens on, as IP:PORT.

    Attributes:
      callers: HTTP requests of callers (TCP).
      peers: Messages between hosts (UDP and TCP).
      operators: Metrics, health and state (TCP).
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    callers: AddressText
    peers: AddressText
    operators: AddressText


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSection:
    """Addresses of the platform's services, as IP:PORT.

    Attributes:
      table: Transactional table service.
      objects: Object store.
      hosts: List of live and leaving machines.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    table: AddressText
    objects: AddressText
    hosts: AddressText


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSection:
    """Settings that all hosts of a deployment share.

    Attributes:
      deployment: Name of the deployment; prefix of its tables at the platform.
      key: Secret with which hosts authenticate messages to one another.
      seeds: Peer addresses that are asked for members while the platform lists none.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    deployment: Name
    key: Annotated[str, Length(MIN_KEY_LENGTH)] = field(repr=False)
    seeds: tuple[AddressText, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitsSection:
    """Limits on callers and on the time that a stopping host takes.

    Attributes:
      connections: Maximum number of open caller connections. There are fewer if `descriptors` does
        not suffice for them.
      descriptors: Maximum number of descriptors that the process may have open.
      idle_s: Time after which a connection without a request is closed.
      head_s: Maximum time from the first byte of a request to its last, including the body.
      entry_max_age_s: Time for which callers may cache an entry answer, the list of a service's
        hosts.
      memory_mb: Memory that the host may use, in MB; the budget for bodies is derived from it.
      body_bytes: Maximum size of the body of a request without a route.
      leave_wait_s: Time for which a stopping host still accepts new requests; 0 means one second
        more than `entry_max_age_s`.
      drain_s: Time that a stopping host then has to finish requests in progress.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    connections: Annotated[int, Range(ge=1, le=60_000)] = 2_000
    descriptors: Annotated[int, Range(ge=MIN_DESCRIPTORS, le=10_000_000)] = 4_096
    idle_s: Annotated[float, Range(gt=0, le=600)] = 60.0
    head_s: Annotated[float, Range(gt=0, le=60)] = 10.0
    entry_max_age_s: Annotated[float, Range(gt=0, le=300)] = 5.0
    memory_mb: Annotated[float, Range(gt=0, le=1_000_000)] = 200.0
    body_bytes: Annotated[int, Range(ge=0)] = 65_536
    leave_wait_s: Annotated[float, Range(ge=0, le=600)] = 0.0
    drain_s: Annotated[float, Range(gt=0, le=600)] = 150.0

    @property
    def caller_connections(self) -> int:
        """Maximum number of open caller connections."""
        return min(self.connections, self._share_sockets(CALLER_SHARE))

    @property
    def query_connections(self) -> int:
        """Maximum number of open connections to each address that answers short queries."""
        return min(MAX_QUERY_CONNECTIONS, self._share_sockets(QUERY_SHARE))

    @property
    def peer_connections(self) -> int:
        """Maximum number of open connections of other hosts."""
        return min(MAX_PEER_CONNECTIONS, self._share_sockets(PEER_SHARE))

    @property
    def operator_connections(self) -> int:
        """Maximum number of open connections of operators."""
        return min(MAX_OPERATOR_CONNECTIONS, self._share_sockets(OPERATOR_SHARE))

    def _share_sockets(self, share: float) -> int:
        return max(MIN_CONNECTIONS, int((self.descriptors - RESERVED_DESCRIPTORS) * share))

    @property
    def leave_wait(self) -> timedelta:
        """Time for which a stopping host still accepts new requests."""
        return timedelta(seconds=self.leave_wait_s or self.entry_max_age_s + LEAVE_MARGIN_S)


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSection:
    """Level and format of the daemon's log.

    Attributes:
      level: Lowest level that is written: debug, info, warning or error.
      format: json for one JSON object per line, or text.
    """

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    level: Annotated[str, Pattern(r"^(debug|info|warning|error)$")] = "info"
    format: Annotated[str, Pattern(r"^(json|text)$")] = "json"


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of one daemon."""

    __pydantic_config__: ClassVar[dict[str, Any]] = STRICT
    host: HostSection
    listen: ListenSection
    platform: PlatformSection
    fleet: FleetSection
    limits: LimitsSection = LimitsSection()
    log: LogSection = LogSection()


def read_settings(path: Path) -> Result[Settings, tuple[SettingsError, ...]]:
    """Reads and validates a settings file.

    Args:
      path: The TOML file.
    Returns:
      The settings, or all errors found.
    """
    try:
        document = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Error((SettingsError(str(path), "", f"cannot be read: {error}"),))
    except tomllib.TOMLDecodeError as error:
        return Error((SettingsError(str(path), "", f"is not valid TOML: {error}"),))
    # Imports pydantic, which hosts that read their settings elsewhere do not need.
    from endivedrift.objects import _validation

    text = json.dumps(document, default=str)
    settings, faults = _validation.validate_json(Settings, text)
    if faults:
        return Error(tuple(_describe_fault(str(path), fault) for fault in faults))
    return Ok(settings)


def _describe_fault(file: str, fault: Any) -> SettingsError:
    path = ".".join(str(part) for part in fault["loc"])
    is_unknown = fault["type"] == "unexpected_keyword_argument"
    message = "is not a known setting" if is_unknown else fault["msg"]
    return SettingsError(file, path, re.sub(r"^Value error, ", "", message))
