"""What the system asks of the platform: a table service, an object store and a machine list."""

from dataclasses import dataclass
from typing import Any, Protocol

from endivedrift.core import Digest, ListedMachine, Version


class PlatformError(Exception):
    """The platform did not answer.

    Attributes:
      may_have_run: Whether a write may have taken effect all the same.
    """

    def __init__(self, cause: str, may_have_run: bool) -> None:
        """Takes the cause and whether a write may have taken effect."""
        super().__init__(cause)
        self.may_have_run = may_have_run


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service; `version` 0 means that there is none."""

    table: str
    key: str
    version: Version
    value: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Write:
    """A conditional write: it takes effect only while the row has the expected version."""

    table: str
    key: str
    expected: Version
    value: dict[str, Any]


class TableService(Protocol):
    """Rows with versions and transactions of conditional writes."""

    async def read_row(self, table: str, key: str) -> Row:
        """Reads a row.

        Raises:
          PlatformError: If no answer came.
        """

    async def list_rows(self, table: str) -> tuple[Row, ...]:
        """Reads all rows of a table in the order of their keys.

        Raises:
          PlatformError: If no answer came.
        """

    async def write_rows(self, writes: tuple[Write, ...]) -> bool:
        """Applies all writes or none.

        Returns:
          Whether they were applied; False when a row had another version than expected.
        Raises:
          PlatformError: If no answer came; the writes may have been applied.
        """


class ObjectStore(Protocol):
    """Immutable bytes by digest."""

    async def put_object(self, digest: Digest, data: bytes) -> None:
        """Stores bytes.

        Raises:
          PlatformError: If no answer came.
        """

    async def get_object(self, digest: Digest) -> bytes | None:
        """Reads bytes, or None where there are none.

        Raises:
          PlatformError: If no answer came.
        """


class MachineList(Protocol):
    """The platform's lagging list of machines."""

    async def list_machines(self) -> tuple[ListedMachine, ...]:
        """Reads the list.

        Raises:
          PlatformError: If no answer came.
        """
