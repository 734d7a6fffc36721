"""Settings of one daemon, read from a TOML file and checked as a whole."""

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
    """One fault in a settings file: the field at fault and the cause."""

    file: str
    field: str
    cause: str

    def __str__(self) -> str:
        """Returns the fault on one line."""
        place = f"{self.file}: {self.field}" if self.field else self.file
        return f"{place}: {self.cause}"


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)


class HostSection(_Section):
    """Who this host is.

    Attributes:
      id: Name of the host, unique in the fleet.
      failure_domain: Failure domain it stands in.
      region: Region of the failure domain.
      power: Processor power that the host serves with, in cores.
    """

    id: Name
    failure_domain: Name
    region: Name
    power: Annotated[float, Field(gt=0, le=1_000, strict=False)] = 1.0


class ListenSection(_Section):
    """Addresses that the daemon listens on, as IP:PORT.

    Attributes:
      callers: HTTP for callers (TCP).
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
    """What all hosts of a deployment share.

    Attributes:
      deployment: Name of the deployment; prefix of its rows and objects in the platform.
      key: Secret by which the hosts know one another.
      seeds: Peer addresses asked for members while the platform lists none.
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
    """Limits of the caller side.

    Attributes:
      connections: Caller connections open at a time.
      idle_s: Time after which a connection without a request is closed.
      head_s: Time in which a request must arrive in full once it has begun.
      entry_max_age_s: Time for which callers may keep an entry answer.
      body_bytes: Largest request body where no route says otherwise.
      leave_wait_s: Time for which a stopping host still takes new requests, or 0 for the time that
        entry answers are kept and a second.
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
        """Time for which a stopping host still takes new requests."""
        return timedelta(seconds=self.leave_wait_s or self.entry_max_age_s + LEAVE_MARGIN_S)


class LogSection(_Section):
    """How the daemon writes its log.

    Attributes:
      level: Least level written: debug, info, warning or error.
      format: One JSON object a line, or plain text.
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
    """Reads and checks a settings file.

    Args:
      path: The TOML file.
    Returns:
      The settings, or all faults found.
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
