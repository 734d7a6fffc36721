"""Interfaces of the services that a fleet needs: table service, object store, machine list."""

from dataclasses import dataclass
from typing import Any, Protocol

from endivedrift.core import Digest, ListedMachine, Version


class PlatformError(Exception):
    """A call to one of the platform's services failed.

    Attributes:
      may_have_run: Whether a write may have taken effect nevertheless.
    """

    def __init__(self, cause: str, may_have_run: bool) -> None:
        """Sets the cause and whether a write may have taken effect."""
        super().__init__(cause)
        self.may_have_run = may_have_run


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service; `version` 0 means that the row does not exist."""

    table: str
    key: str
    version: Version
    value: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Write:
    """A conditional write, which takes effect only if the row has the expected version."""

    table: str
    key: str
    expected: Version
    value: dict[str, Any]


class TableService(Protocol):
    """Tables of versioned rows, with transactions of conditional writes."""

    async def read_row(self, table: str, key: str) -> Row:
        """Reads a row.

        Raises:
          PlatformError: If the call failed.
        """

    async def list_rows(self, table: str) -> tuple[Row, ...]:
        """Reads all rows of a table in the order of their keys.

        Raises:
          PlatformError: If the call failed.
        """

    async def write_rows(self, writes: tuple[Write, ...]) -> bool:
        """Applies all writes or none.

        Returns:
          Whether they were applied; False if a row did not have its expected version.
        Raises:
          PlatformError: If the call failed; the writes may have been applied.
        """


class ObjectStore(Protocol):
    """Immutable objects, addressed by their digest."""

    async def put_object(self, digest: Digest, data: bytes) -> None:
        """Stores an object.

        Raises:
          PlatformError: If the call failed.
        """

    async def get_object(self, digest: Digest) -> bytes | None:
        """Reads an object, or returns None if it does not exist.

        Raises:
          PlatformError: If the call failed.
        """


class MachineList(Protocol):
    """The platform's list of machines, which lags behind their actual state."""

    async def list_machines(self) -> tuple[ListedMachine, ...]:
        """Reads the list.

        Raises:
          PlatformError: If the call failed.
        """
