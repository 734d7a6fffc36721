"""Calls to the platform's store: reading a table and following its changes."""

import contextlib
import json
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from urllib.parse import urlencode

import curio
import h11
from curio import socket

from endivedrift.core import Address
from endivedrift.platform._values import WireError, read_field
from endivedrift.shell.interface import parse_endpoint

CALL_TIMEOUT = timedelta(seconds=2)
"""Time for a call that the store answers at once; its answers take milliseconds."""
CONNECT_TIMEOUT = timedelta(seconds=1)
LONG_POLL = timedelta(seconds=20)
"""Time for which the store holds a question for changes; it allows up to 30 s."""
KEEP_ALIVE_S = 1
KEEP_ALIVE_PROBES = 2
"""Idle connections are probed each second, and given up after two probes without an answer."""
READ_BYTES = 65_536
HISTORY_GONE = 410


class StoreError(Exception):
    """The store gave no usable answer."""


class HistoryGoneError(Exception):
    """The store no longer has the changes that were asked for; the table is to be read anew."""


@dataclass(frozen=True, slots=True)
class StoreRow:
    """One row: its key, its value in base64, and whether it was deleted."""

    key: str
    value: str
    deleted: bool


@dataclass(frozen=True, slots=True)
class TableRead:
    """Rows of a table and the version up to which they are known."""

    rows: tuple[StoreRow, ...]
    version: int


class StoreClient:
    """Reads from the store over one kept connection; calls must not overlap."""

    def __init__(self, address: Address) -> None:
        """Takes the store's address; connects with the first call."""
        self._address = address
        self._sock: socket.socket | None = None
        self._http: h11.Connection | None = None

    async def read_table(self, table: str) -> TableRead:
        """Reads all rows of a table in its part without a name.

        Raises:
          StoreError: If the store does not answer.
        """
        rows: list[StoreRow] = []
        start = ""
        version = 0
        while True:
            query = {"table": table, "part": "", **({"from": start} if start else {})}
            page = await self._get("rows-get", query, CALL_TIMEOUT)
            read = _read_rows(page)
            rows += read.rows
            # Changes after the first page are asked for again, so its version counts.
            version = version or read.version
            if not page.get("truncated") or not read.rows:
                return TableRead(tuple(rows), version)
            start = read.rows[-1].key + "\0"

    async def read_changes(self, table: str, version: int) -> TableRead:
        """Waits for changes of a table after a version; may return none.

        Raises:
          StoreError: If the store does not answer.
          HistoryGoneError: If the table has to be read anew.
        """
        wait_ms = round(LONG_POLL.total_seconds() * 1000.0)
        query = {"table": table, "after": str(version), "waitMs": str(wait_ms)}
        return _read_rows(await self._get("rows-feed", query, LONG_POLL + CALL_TIMEOUT))

    async def close(self) -> None:
        """Closes the connection."""
        sock, self._sock = self._sock, None
        if sock is not None:
            with contextlib.suppress(OSError):
                await sock.close()

    async def _get(self, call: str, query: dict[str, str], limit: timedelta) -> dict[str, Any]:
        try:
            async with curio.timeout_after(limit.total_seconds()):
                status, body = await self._exchange(f"/endivedrift/{call}?{urlencode(query)}")
        except curio.TaskTimeout:
            await self.close()
            raise StoreError("no answer in time") from None
        except (OSError, h11.ProtocolError) as error:
            await self.close()
            raise StoreError(f"{type(error).__name__}: {error}") from None
        except BaseException:
            await self.close()
            raise
        if status == HISTORY_GONE:
            raise HistoryGoneError
        if status != 200:
            raise StoreError(f"status {status}")
        try:
            document = json.loads(body)
        except ValueError as error:
            raise StoreError(f"unreadable answer: {error}") from None
        if not isinstance(document, dict):
            raise StoreError("the answer is no object")
        return document

    async def _exchange(self, target: str) -> tuple[int, bytes]:
        if self._sock is None:
            await self._connect()
        sock, http = self._sock, self._http
        assert sock is not None and http is not None
        headers = [(b"host", self._address.encode())]
        await sock.sendall(
            http.send(h11.Request(method="GET", target=target, headers=headers))
            + http.send(h11.EndOfMessage())
        )
        status, body = 0, bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await sock.recv(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("the store closed the connection")
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
        else:
            await self.close()
        return status, bytes(body)

    async def _connect(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
            async with curio.timeout_after(CONNECT_TIMEOUT.total_seconds()):
                await sock.connect(parse_endpoint(self._address).to_sockaddr())
        except curio.TaskTimeout:
            await sock.close()
            # A timeout must not pass through that of the whole call, which stands around it.
            raise ConnectionError("no connection in time") from None
        except BaseException:
            await sock.close()
            raise
        self._sock, self._http = sock, h11.Connection(h11.CLIENT)


def _read_rows(document: dict[str, Any]) -> TableRead:
    try:
        rows = tuple(
            StoreRow(
                key=read_field(row, "key", str),
                value=row.get("value") or "",
                deleted=bool(row.get("deleted")),
            )
            for row in read_field(document, "rows", list)
        )
        return TableRead(rows, read_field(document, "ver", int))
    except WireError as error:
        raise StoreError(f"unreadable answer: {error}") from None
