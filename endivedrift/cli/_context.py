"""Shared by all commands: options, the tool's configuration, output and exit statuses."""

import json
import tomllib
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
from expression import Result
from pydantic import BaseModel, ConfigDict, ValidationError, field_validator

from endivedrift.core import Address
from endivedrift.objects import ObjectSet, check_address, check_sources, read_directory
from endivedrift.store import HttpPlatform


class ExitStatus(IntEnum):
    """Exit statuses of all commands."""

    OK = 0
    FAULTY = 2
    LOST_RACE = 3
    NOT_RUN = 4
    UNKNOWN = 5
    NOT_FOUND = 6
    REFUSED = 7
    DISAGREE = 8


class ToolConfig(BaseModel):
    """Configuration of the command-line tool, read from a TOML file.

    Attributes:
      deployment: Name of the deployment.
      table: Address of the table service.
      objects: Address of the object store.
      host: Operator address of any host, which is asked for the others. Without it, the commands
        query no hosts.
    """

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)

    deployment: str
    table: str
    objects: str
    host: str = ""

    @field_validator("table", "objects")
    @classmethod
    def _check(cls, value: str) -> str:
        return check_address(value)


@dataclass(frozen=True, slots=True)
class Context:
    """A validated configuration and a client of the services that it names."""

    config: ToolConfig
    platform: HttpPlatform


ConfigOption = Annotated[
    Path,
    typer.Option(
        "--config",
        "-c",
        envvar="ENDIVEDRIFT_CONFIG",
        help="TOML file with the tool's configuration.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]
DirectoryArgument = Annotated[
    Path, typer.Argument(help="Directory with the files of the object set.")
]


def load_context(path: Path) -> Context:
    """Reads the tool's configuration, or exits with FAULTY."""
    try:
        config = ToolConfig.model_validate(tomllib.loads(path.read_text("utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        fail(ExitStatus.FAULTY, f"{path}: {error}")
    except ValidationError as error:
        for fault in error.errors():
            typer.echo(f"{path}: {'.'.join(map(str, fault['loc']))}: {fault['msg']}", err=True)
        raise typer.Exit(ExitStatus.FAULTY) from None
    table, objects = Address(config.table), Address(config.objects)
    return Context(config, HttpPlatform(table, objects, table))


def load_objects(directory: Path) -> ObjectSet:
    """Reads and checks an object set, or prints all errors and exits with FAULTY."""
    match read_directory(directory):
        case Result(tag="error", error=faults):
            _exit_with_faults(faults)
        case Result(tag="ok", ok=files):
            match check_sources(files):
                case Result(tag="error", error=faults):
                    _exit_with_faults(faults)
                case Result(tag="ok", ok=objects):
                    return objects
    raise AssertionError("a result is either ok or an error")


def fail(status: ExitStatus, message: str) -> NoReturn:
    """Prints a message to standard error and exits with a status."""
    typer.echo(message, err=True)
    raise typer.Exit(status)


def print_json(body: Any) -> None:
    """Prints a value as JSON."""
    typer.echo(json.dumps(body, indent=2))


def _exit_with_faults(faults: tuple[object, ...]) -> NoReturn:
    for fault in faults:
        typer.echo(str(fault), err=True)
    fail(ExitStatus.FAULTY, f"{len(faults)} faults")
