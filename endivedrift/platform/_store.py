"""Client of the platform's store: reads tables, and asks or waits for their changes.

A connection on which the store waits for changes shows nothing while there are none, so that a
connection that delivers nothing any more looks the same. A question that the store answers at once
tells the two apart.
"""

import contextlib
import json
import socket
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from urllib.parse import urlencode

import curio
import h11

from endivedrift.core import (
    MAX_ERA,
    MAX_STORE_NUMBER,
    Address,
    build_store_version,
    get_store_era,
    get_store_number,
)
from endivedrift.platform._headers import STORE_ERA_HEADERS
from endivedrift.platform._values import WireError, read_field, read_integer
from endivedrift.shell.interface import (
    AnswerBounds,
    Socket,
    open_stream_socket,
    parse_endpoint,
)
from endivedrift.shell.running import make_logger

CALL_TIMEOUT = timedelta(seconds=2)
"""Limit for a call that reads a page of a table, which takes milliseconds."""
QUESTION_TIMEOUT = timedelta(seconds=1)
"""Limit on the time without a byte of the answer to a question on a new connection."""
MAX_ANSWER_TIME = timedelta(seconds=10)
"""Limit on the time of a whole answer, most of which passes while it is transferred."""
CONNECT_TIMEOUT = timedelta(seconds=1)
LONG_POLL_WAIT = timedelta(seconds=20)
"""How long the store holds a request for changes open; it allows up to 30 s."""
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""TCP probes an idle connection every second and closes it after two probes without a reply."""
MIN_ANSWER_LIMIT_BYTES = 4 * 1024 * 1024
"""Bytes up to which the body of an answer is read, besides two of the store's largest rows. The
store returns pages of 1 MB, in base64."""
DEFAULT_ROW_BYTES = 65_536
"""Size of the store's largest rows where the settings do not state it."""
MAX_TABLE_BYTES = 64 * 1024 * 1024
"""Bytes up to which the pages of a table are read."""
READ_BYTES = 65_536
HISTORY_GONE_STATUS = 410
MAX_ERA_DIGITS = 7

_log = make_logger("platform")


class StoreError(Exception):
    """The store gave no valid reply."""


class AnswerTooLargeError(StoreError):
    """The answer is larger than any that the store gives to such a call."""


class HistoryGoneError(Exception):
    """The store no longer has the requested changes; the whole table must be read again."""


@dataclass(frozen=True, slots=True)
class StoreRow:
    """One row: its key, its value in base64, and whether it was deleted."""

    key: str
    value: str
    deleted: bool


@dataclass(frozen=True, slots=True)
class TableRead:
    """Rows read from a table and the store version, with its era, up to which they are current.

    `last_key` is the last key in the reply, also that of a row that is left out as invalid.
    """

    rows: tuple[StoreRow, ...]
    version: int
    last_key: str = ""


class StoreClient:
    """Reads from the store over one persistent connection; calls must not overlap.

    A connection that was used before may have been closed or gone silent since. A call that fails
    on one is made again at once on a new one.
    """

    def __init__(
        self,
        address: Address,
        row_bytes: int = DEFAULT_ROW_BYTES,
        reuse_silence: timedelta | None = None,
    ) -> None:
        """Stores the address; the first call connects.

        Args:
          address: Address of the store.
          row_bytes: Size of its largest rows.
          reuse_silence: Time without a byte after which a connection that was used before counts as
            silent, or None if calls may take their whole time on it.
        """
        self._address = address
        self._reuse_silence = reuse_silence
        self.answer_limit_bytes = MIN_ANSWER_LIMIT_BYTES + 2 * row_bytes
        self._sock: Socket | None = None
        self._http: h11.Connection | None = None
        self._era = 0

    async def read_table(self, table: str) -> TableRead:
        """Reads all rows of a table, page by page, in the part whose name is empty.

        Raises:
          StoreError: If the store does not answer.
        """
        rows: list[StoreRow] = []
        start_key = ""
        version = 0
        size = 0
        while True:
            query = {"table": table, "part": "", **({"from": start_key} if start_key else {})}
            page = await self._get("rows-get", query, CALL_TIMEOUT)
            read = _read_rows(page, self._era)
            size += sum(len(row.key) + len(row.value) for row in read.rows)
            if size > MAX_TABLE_BYTES:
                raise AnswerTooLargeError("the table is too large")
            if version and get_store_era(version) != self._era:
                raise StoreError("the store was restored while the table was read")
            rows += read.rows
            # The version of the first page counts: rows may change while the others are read, and
            # such changes are then delivered again by `read_changes`.
            version = version or read.version
            if not page.get("truncated"):
                return TableRead(tuple(rows), version, read.last_key)
            if read.last_key + "\0" <= start_key:
                raise StoreError("a page of the table does not continue the one before")
            start_key = read.last_key + "\0"

    async def read_changes(
        self, table: str, version: int, wait: timedelta = timedelta(0)
    ) -> TableRead:
        """Reads the changes of a table after a version.

        Args:
          table: Name of the table.
          version: The version.
          wait: How long the store waits for a change if there is none.
        Returns:
          The changed rows, or none if there was no change.
        Raises:
          StoreError: If the store does not answer.
          HistoryGoneError: If the whole table must be read again.
        """
        wait_ms = round(wait.total_seconds() * 1000.0)
        number = get_store_number(version)
        query = {"table": table, "after": str(number), "waitMs": str(wait_ms)}
        try:
            document = await self._get("rows-feed", query, wait + QUESTION_TIMEOUT)
        except AnswerTooLargeError:
            # Unlike the changes, the table is read in pages of a bounded size.
            raise HistoryGoneError from None
        if self._era != get_store_era(version):
            # A restored store counts from an earlier number, so changes may be missing.
            raise HistoryGoneError
        return _read_rows(document, self._era)

    async def close(self) -> None:
        """Closes the connection."""
        sock, self._sock = self._sock, None
        if sock is not None:
            with contextlib.suppress(OSError):
                await sock.close()

    async def _get(self, call: str, query: dict[str, str], silence: timedelta) -> dict[str, Any]:
        """Makes a call that ends after `silence` without a byte, or after a long answer."""
        limit = silence + MAX_ANSWER_TIME
        try:
            async with curio.timeout_after(limit.total_seconds()):
                encoded = urlencode(query, errors="surrogatepass")
                request_target = f"/endivedrift/{call}?{encoded}"
                status, body = await self._exchange_reusing(request_target, silence)
        except curio.TaskTimeout:
            await self.close()
            raise StoreError("no reply in time") from None
        except (OSError, h11.ProtocolError) as error:
            await self.close()
            raise StoreError(f"{type(error).__name__}: {error}") from None
        except BaseException:
            await self.close()
            raise
        if status == HISTORY_GONE_STATUS:
            raise HistoryGoneError
        if status != 200:
            raise StoreError(f"status {status}")
        try:
            document = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise StoreError(f"unreadable reply: {error}") from None
        if not isinstance(document, dict):
            raise StoreError("the reply is not a JSON object")
        return document

    async def _exchange_reusing(self, request_target: str, silence: timedelta) -> tuple[int, bytes]:
        """Exchanges on the open connection, and if that fails, on a new one."""
        if self._sock is not None:
            limit = silence if self._reuse_silence is None else min(silence, self._reuse_silence)
            try:
                return await self._exchange(request_target, limit)
            except (OSError, h11.ProtocolError):
                await self.close()
        return await self._exchange(request_target, silence)

    async def _exchange(self, request_target: str, silence: timedelta) -> tuple[int, bytes]:
        if self._sock is None:
            await self._connect()
        sock, http = self._sock, self._http
        assert sock is not None and http is not None
        headers = [(b"host", self._address.encode())]
        await sock.sendall(
            http.send(h11.Request(method="GET", target=request_target, headers=headers))
            + http.send(h11.EndOfMessage())
        )
        status, body = 0, bytearray()
        bounds = AnswerBounds()
        while True:
            await bounds.take_turn()
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await _receive(sock, silence)
                if not bounds.allow_bytes(len(data), len(body)):
                    raise h11.RemoteProtocolError("the answer has too many bytes besides its body")
                http.receive_data(data)
            elif isinstance(event, h11.InformationalResponse):
                if not bounds.allow_interim(event):
                    raise h11.RemoteProtocolError("too many interim answers")
            elif isinstance(event, h11.Response):
                status = event.status_code
                self._read_era(event)
                declared = dict(event.headers).get(b"content-length", b"0")
                self._check_size(int(declared))
            elif isinstance(event, h11.Data):
                body += event.data
                self._check_size(len(body))
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("the store closed the connection")
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
        else:
            await self.close()
        return status, bytes(body)

    def _check_size(self, size: int) -> None:
        if size > self.answer_limit_bytes:
            raise AnswerTooLargeError(f"an answer is longer than {self.answer_limit_bytes} bytes")

    def _read_era(self, response: h11.Response) -> None:
        """Notes the era of the store; an answer that states none is of the one known."""
        for name, value in response.headers:
            if name in STORE_ERA_HEADERS and value.isdigit() and len(value) <= MAX_ERA_DIGITS:
                self._era = min(int(value), MAX_ERA)

    async def _connect(self) -> None:
        sock = open_stream_socket()
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
            async with curio.timeout_after(CONNECT_TIMEOUT.total_seconds()):
                await sock.connect(parse_endpoint(self._address).to_sockaddr())
        except curio.TaskTimeout:
            await sock.close()
            # The timeout of the whole call encloses this one and must not see its exception.
            raise ConnectionError("connecting timed out") from None
        except BaseException:
            await sock.close()
            raise
        self._sock, self._http = sock, h11.Connection(h11.CLIENT)


async def _receive(sock: Socket, silence: timedelta) -> bytes:
    """Receives bytes.

    Raises:
      OSError: If none arrive for the given time, or the connection fails.
    """
    try:
        async with curio.timeout_after(silence.total_seconds()):
            return bytes(await sock.recv(READ_BYTES))
    except curio.TaskTimeout:
        # The timeout of the whole call encloses this one and must not see its exception.
        raise ConnectionError(f"silent for {silence.total_seconds():.1f} s") from None


def _read_value(row: dict[str, Any]) -> str:
    """Returns a row's value, or an empty text, which is no valid value, if it has another type."""
    value = row.get("value")
    return value if isinstance(value, str) else ""


def _read_rows(document: dict[str, Any], era: int) -> TableRead:
    """Reads the rows of a reply; one without a key that is text is left out."""
    try:
        listed = read_field(document, "rows", list)
        number = read_integer(document, "ver", most=MAX_STORE_NUMBER)
    except WireError as error:
        raise StoreError(f"unreadable reply: {error}") from None
    keyed = [row for row in listed if isinstance(row, dict) and isinstance(row.get("key"), str)]
    if len(keyed) < len(listed):
        _log.warning("Rows without a key are left out.", count=len(listed) - len(keyed))
    rows = tuple(StoreRow(r["key"], _read_value(r), r.get("deleted") is True) for r in keyed)
    last_key = rows[-1].key if rows else ""
    return TableRead(rows, build_store_version(era, number), last_key)
