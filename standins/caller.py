"""A caller: asks for entry addresses, sends requests, and keeps an honest history of them.

The history holds what the caller itself saw. It is written here and never by the daemon.
"""

import json
import time
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Any

from endivedrift.core import Address, Headers
from endivedrift.shell.exchange import ExchangeError, HttpReply, exchange


def _now() -> float:
    return time.monotonic()


class Seen(Enum):
    """What a caller saw of one attempt of its own."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    NOT_CONNECTED = "not-connected"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Record:
    """One call in a history.

    Attributes:
      key: Idempotency key, or the empty string.
      path: Path with query.
      host: Address the call went to.
      seen: What came back.
      status: HTTP status, 0 without one.
      body: Body of the answer.
      started, ended: Seconds on the caller's clock.
      reason: Reason of a refusal.
    """

    key: str
    path: str
    host: str
    seen: Seen
    status: int
    body: bytes
    started: float
    ended: float
    reason: str = ""


@dataclass(slots=True)
class CallerStandin:
    """One caller with its entry answers and its history."""

    seeds: list[Address]
    account: str = ""
    timeout: timedelta = timedelta(seconds=10)
    history: list[Record] = field(default_factory=list)
    entries: dict[str, tuple[float, list[dict[str, Any]]]] = field(default_factory=dict)
    turn: int = 0

    async def list_hosts(self, service: str, keys: int = 0) -> list[dict[str, Any]]:
        """Returns the hosts of a service from a kept entry answer or a new one."""
        now = _now()
        kept = self.entries.get(service)
        if kept is not None and kept[0] > now and not keys:
            return kept[1]
        for offset in range(len(self.seeds)):
            seed = self.seeds[(self.turn + offset) % len(self.seeds)]
            try:
                reply = await exchange(
                    seed,
                    "GET",
                    f"/.well-known/endivedrift/entry?service={service}&keys={keys}",
                    b"",
                    timedelta(seconds=1),
                )
            except ExchangeError:
                continue
            if reply.status == 200:
                self.turn += 1
                answer = json.loads(reply.body)
                self.entries[service] = (now + answer["max_age_s"], answer["hosts"])
                return answer["hosts"]
        return []

    async def read(self, service: str, path: str) -> Record:
        """Sends a GET request, going on to the next host where nothing ran."""
        record = None
        for host in await self.list_hosts(service):
            record = await self.send(Address(host["address"]), "GET", path)
            if record.seen is not Seen.NOT_CONNECTED:
                return record
        self.entries.pop(service, None)
        return record or self._note("", path, "", Seen.NOT_CONNECTED, 0.0, 0.0)

    async def write(self, service: str, path: str, body: bytes, repeats: int = 1) -> Record:
        """Sends a POST request with a key of the entry answer, and repeats it while it may help."""
        hosts = await self.list_hosts(service, keys=1)
        record = None
        for host in hosts:
            key = host["keys"][0]
            for _ in range(repeats):
                record = await self.send(Address(host["address"]), "POST", path, body, key)
                if record.seen is Seen.ANSWERED:
                    return record
            if record is not None and record.seen not in (Seen.NOT_CONNECTED, Seen.NOT_RUN):
                return record
        return record or self._note("", path, "", Seen.NOT_CONNECTED, 0.0, 0.0)

    async def send(
        self, host: Address, method: str, path: str, body: bytes = b"", key: str = ""
    ) -> Record:
        """Sends one request to one host and records what came back."""
        headers: Headers = ()
        if self.account:
            headers += ((b"x-caller", self.account.encode()),)
        if key:
            headers += ((b"idempotency-key", key.encode()),)
        started = _now()
        try:
            reply = await exchange(host, method, path, body, self.timeout, headers)
        except ExchangeError as error:
            seen = Seen.LOST if error.sent else Seen.NOT_CONNECTED
            return self._note(key, path, host, seen, started, _now())
        return self._note_reply(key, path, host, started, _now(), reply)

    def _note_reply(
        self, key: str, path: str, host: str, started: float, ended: float, reply: HttpReply
    ) -> Record:
        verdict = dict(reply.headers).get(b"x-verdict")
        if verdict is None:
            return self._note(key, path, host, Seen.ANSWERED, started, ended, reply)
        seen = Seen.NOT_RUN if verdict == b"not-run" else Seen.MAY_HAVE_RUN
        return self._note(key, path, host, seen, started, ended, reply)

    def _note(
        self,
        key: str,
        path: str,
        host: str,
        seen: Seen,
        started: float,
        ended: float,
        reply: HttpReply | None = None,
    ) -> Record:
        status, body, reason = (0, b"", "") if reply is None else (reply.status, reply.body, "")
        if reply is not None and seen in (Seen.NOT_RUN, Seen.MAY_HAVE_RUN):
            reason = json.loads(reply.body)["type"].rpartition(":")[2]
        record = Record(key, path, host, seen, status, body, started, ended, reason)
        self.history.append(record)
        return record
