"""Settings of the daemon, read from a TOML file and validated as a whole."""

import re
import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from endivedrift.objects import check_address

MIN_KEY_LENGTH = 16
LEAVE_MARGIN_S = 1.0

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$")]


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


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)


class HostSection(_Section):
    """Identity and capacity of this host.

    Attributes:
      id: Name of the host, unique in the fleet.
      failure_domain: Failure domain that the host is in.
      region: Region of the failure domain.
      power: Processor power that the host has for requests, in cores.
    """

    id: Name
    failure_domain: Name
    region: Name
    power: Annotated[float, Field(gt=0, le=1_000, strict=False)] = 1.0


class ListenSection(_Section):
    """Addresses that the daemon listens on, as IP:PORT.

    Attributes:
      callers: HTTP requests of callers (TCP).
      peers: Messages between hosts (UDP and TCP).
      operators: Metrics, health and state (TCP).
    """

    callers: str
    peers: str
    operators: str

    _addresses = field_validator("callers", "peers", "operators")(check_address)


class PlatformSection(_Section):
    """Addresses of the platform's services, as IP:PORT.

    Attributes:
      table: Transactional table service.
      objects: Object store.
      hosts: List of live and leaving machines.
    """

    table: str
    objects: str
    hosts: str

    _addresses = field_validator("table", "objects", "hosts")(check_address)


class FleetSection(_Section):
    """Settings that all hosts of a deployment share.

    Attributes:
      deployment: Name of the deployment; prefix of its tables at the platform.
      key: Secret with which hosts authenticate messages to one another.
      seeds: Peer addresses that are asked for members while the platform lists none.
    """

    deployment: Name
    key: Annotated[str, Field(min_length=MIN_KEY_LENGTH)]
    seeds: Annotated[tuple[str, ...], Field(strict=False)] = ()

    @field_validator("seeds")
    @classmethod
    def _check_seeds(cls, seeds: tuple[str, ...]) -> tuple[str, ...]:
        for seed in seeds:
            check_address(seed)
        return seeds


class LimitsSection(_Section):
    """Limits on callers and on the time that a stopping host takes.

    Attributes:
      connections: Maximum number of open caller connections.
      idle_s: Time after which a connection without a request is closed.
      head_s: Maximum time from the first byte of a request to its last, including the body.
      entry_max_age_s: Time for which callers may cache an entry answer, the list of a service's
        hosts.
      body_bytes: Maximum size of the body of a request without a route.
      leave_wait_s: Time for which a stopping host still accepts new requests; 0 means one second
        more than `entry_max_age_s`.
      drain_s: Time that a stopping host then has to finish requests in progress.
    """

    connections: Annotated[int, Field(ge=1, le=60_000)] = 2_000
    idle_s: Annotated[float, Field(gt=0, le=600, strict=False)] = 60.0
    head_s: Annotated[float, Field(gt=0, le=60, strict=False)] = 10.0
    entry_max_age_s: Annotated[float, Field(gt=0, le=300, strict=False)] = 5.0
    body_bytes: Annotated[int, Field(ge=0)] = 65_536
    leave_wait_s: Annotated[float, Field(ge=0, le=600, strict=False)] = 0.0
    drain_s: Annotated[float, Field(gt=0, le=600, strict=False)] = 150.0

    @property
    def leave_wait(self) -> timedelta:
        """Time for which a stopping host still accepts new requests."""
        return timedelta(seconds=self.leave_wait_s or self.entry_max_age_s + LEAVE_MARGIN_S)


class LogSection(_Section):
    """Level and format of the daemon's log.

    Attributes:
      level: Lowest level that is written: debug, info, warning or error.
      format: json for one JSON object per line, or text.
    """

    level: Annotated[str, Field(pattern=r"^(debug|info|warning|error)$")] = "info"
    format: Annotated[str, Field(pattern=r"^(json|text)$")] = "json"


class Settings(_Section):
    """All settings of one daemon."""

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
    try:
        return Ok(Settings.model_validate(document))
    except ValidationError as error:
        return Error(tuple(_describe_fault(str(path), fault) for fault in error.errors()))


def _describe_fault(file: str, fault: Any) -> SettingsError:
    field = ".".join(str(part) for part in fault["loc"])
    message = "is not a known setting" if fault["type"] == "extra_forbidden" else fault["msg"]
    return SettingsError(file, field, re.sub(r"^Value error, ", "", message))
