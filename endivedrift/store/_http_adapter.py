"""HTTP client of the table service, the object store and the machine list."""

import json
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from urllib.parse import quote

from endivedrift.core import Address, Digest, ListedMachine, Version
from endivedrift.shell.exchange import ExchangeError, HttpReply, exchange
from endivedrift.store._interface import PlatformError, Row, Write

CALL_TIMEOUT = timedelta(seconds=1)
OBJECT_TIMEOUT = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class HttpPlatform:
    """The platform's three services over HTTP.

    Attributes:
      table: Address of the table service.
      objects: Address of the object store.
      hosts: Address of the machine list.
    """

    table: Address
    objects: Address
    hosts: Address

    async def read_row(self, table: str, key: str) -> Row:
        """Reads a row; see `TableService`."""
        reply = await _call(self.table, "GET", f"/table/{quote(table)}/{quote(key, safe='')}")
        return _decode_row(table, _decode(reply))

    async def list_rows(self, table: str) -> tuple[Row, ...]:
        """Reads a table; see `TableService`."""
        reply = await _call(self.table, "GET", f"/table/{quote(table)}")
        return tuple(_decode_row(table, row) for row in _get_list(_decode(reply), "rows"))

    async def write_rows(self, writes: tuple[Write, ...]) -> bool:
        """Applies writes in one transaction; see `TableService`."""
        body = {
            "writes": [
                {
                    "table": write.table,
                    "key": write.key,
                    "expected_version": write.expected,
                    "value": write.value,
                }
                for write in writes
            ]
        }
        data = json.dumps(body).encode()
        reply = await _call(self.table, "POST", "/transaction", data, accepted=(200, 409))
        return reply.status == 200

    async def put_object(self, digest: Digest, data: bytes) -> None:
        """Stores an object; see `ObjectStore`."""
        await _call(self.objects, "PUT", f"/objects/{digest}", data, timeout=OBJECT_TIMEOUT)

    async def get_object(self, digest: Digest) -> bytes | None:
        """Reads an object; see `ObjectStore`."""
        reply = await _call(
            self.objects,
            "GET",
            f"/objects/{digest}",
            accepted=(200, 404),
            timeout=OBJECT_TIMEOUT,
        )
        return reply.body if reply.status == 200 else None

    async def list_machines(self) -> tuple[ListedMachine, ...]:
        """Reads the list of machines; see `MachineList`."""
        entries = _get_list(_decode(await _call(self.hosts, "GET", "/hosts")), "machines")
        try:
            return tuple(
                ListedMachine(
                    Address(entry["address"]),
                    bool(entry["leaving"]),
                    Address(entry.get("peer_address", "")),
                )
                for entry in entries
            )
        except (KeyError, TypeError) as error:
            raise PlatformError(f"unreadable machine list: {error}", False) from None


async def _call(
    address: Address,
    method: str,
    path: str,
    body: bytes = b"",
    accepted: tuple[int, ...] = (200,),
    timeout: timedelta = CALL_TIMEOUT,
) -> HttpReply:
    try:
        reply = await exchange(address, method, path, body, timeout)
    except ExchangeError as error:
        raise PlatformError(str(error), error.sent) from None
    if reply.status not in accepted:
        raise PlatformError(f"{address} replied {reply.status}", reply.status >= 500)
    return reply


def _decode(reply: HttpReply) -> dict[str, Any]:
    try:
        document = json.loads(reply.body)
    except ValueError:
        raise PlatformError("the reply is not JSON", False) from None
    if not isinstance(document, dict):
        raise PlatformError("the reply is not a JSON object", False)
    return document


def _get_list(document: dict[str, Any], name: str) -> list[Any]:
    found = document.get(name)
    if not isinstance(found, list):
        raise PlatformError(f"the reply has no list {name}", False)
    return found


def _decode_row(table: str, row: dict[str, Any]) -> Row:
    try:
        return Row(table, str(row["key"]), Version(int(row["version"])), dict(row["value"]))
    except (KeyError, TypeError, ValueError, OverflowError):
        raise PlatformError("the reply is not a row", False) from None
