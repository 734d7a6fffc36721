"""Stand-in for a caller: gets entry addresses, sends requests, and records their outcomes.

The history holds only what the caller itself observed; the daemon does not contribute to it.
"""

import json
import time
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Any

from endivedrift.core import Address, Headers
from endivedrift.shell.exchange import ExchangeError, HttpReply, exchange


def _read_clock_s() -> float:
    return time.monotonic()


class Seen(Enum):
    """Outcome of one call as observed by the caller."""

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
      host: Address that the call was sent to.
      seen: Observed outcome.
      status: HTTP status, or 0 if there was none.
      body: Body of the answer.
      started_s, ended_s: Seconds on the caller's monotonic clock.
      reason: Reason of a refusal, or the empty string.
    """

    key: str
    path: str
    host: str
    seen: Seen
    status: int
    body: bytes
    started_s: float
    ended_s: float
    reason: str = ""


@dataclass(slots=True)
class CallerStandin:
    """One caller.

    Attributes:
      seeds: Hosts that are asked for entry addresses.
      account: Client account to send, or the empty string.
      timeout: Time limit of each call.
      history: All calls so far.
      entry_cache: Expiry in seconds and hosts of the last entry answer, by service.
      next_seed: Number of the seed to ask first, modulo the number of seeds.
    """

    seeds: list[Address]
    account: str = ""
    timeout: timedelta = timedelta(seconds=10)
    history: list[Record] = field(default_factory=list)
    entry_cache: dict[str, tuple[float, list[dict[str, Any]]]] = field(default_factory=dict)
    next_seed: int = 0

    async def list_hosts(self, service: str, keys: int = 0) -> list[dict[str, Any]]:
        """Returns the hosts of a service, from the cached entry answer or a new one.

        A request for idempotency keys always needs a new answer.
        """
        now_s = _read_clock_s()
        cached = self.entry_cache.get(service)
        if cached is not None and cached[0] > now_s and not keys:
            return cached[1]
        for offset in range(len(self.seeds)):
            seed = self.seeds[(self.next_seed + offset) % len(self.seeds)]
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
                self.next_seed += 1
                answer = json.loads(reply.body)
                self.entry_cache[service] = (now_s + answer["max_age_s"], answer["hosts"])
                return answer["hosts"]
        return []

    async def read(self, service: str, path: str) -> Record:
        """Sends a GET request, trying the next host if one can't be connected."""
        record = None
        for host in await self.list_hosts(service):
            record = await self.send(Address(host["address"]), "GET", path)
            if record.seen is not Seen.NOT_CONNECTED:
                return record
        self.entry_cache.pop(service, None)
        return record or self._record_call("", path, "", Seen.NOT_CONNECTED, 0.0, 0.0)

    async def write(self, service: str, path: str, body: bytes, repeats: int = 1) -> Record:
        """Sends a POST request with an idempotency key of the entry answer.

        The request is sent to a host until it is answered, but at most `repeats` times. The next
        host is tried, with a key of its own, only if the last outcome says that nothing ran.
        """
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
        return record or self._record_call("", path, "", Seen.NOT_CONNECTED, 0.0, 0.0)

    async def send(
        self, host: Address, method: str, path: str, body: bytes = b"", key: str = ""
    ) -> Record:
        """Sends one request to one host and records its outcome."""
        headers: Headers = ()
        if self.account:
            headers += ((b"x-caller", self.account.encode()),)
        if key:
            headers += ((b"idempotency-key", key.encode()),)
        started_s = _read_clock_s()
        try:
            reply = await exchange(host, method, path, body, self.timeout, headers)
        except ExchangeError as error:
            seen = Seen.LOST if error.sent else Seen.NOT_CONNECTED
            return self._record_call(key, path, host, seen, started_s, _read_clock_s())
        return self._record_reply(key, path, host, started_s, _read_clock_s(), reply)

    def _record_reply(
        self, key: str, path: str, host: str, started_s: float, ended_s: float, reply: HttpReply
    ) -> Record:
        verdict = dict(reply.headers).get(b"x-verdict")
        if verdict is None:
            return self._record_call(key, path, host, Seen.ANSWERED, started_s, ended_s, reply)
        seen = Seen.NOT_RUN if verdict == b"not-run" else Seen.MAY_HAVE_RUN
        return self._record_call(key, path, host, seen, started_s, ended_s, reply)

    def _record_call(
        self,
        key: str,
        path: str,
        host: str,
        seen: Seen,
        started_s: float,
        ended_s: float,
        reply: HttpReply | None = None,
    ) -> Record:
        status, body, reason = (0, b"", "") if reply is None else (reply.status, reply.body, "")
        if reply is not None and seen in (Seen.NOT_RUN, Seen.MAY_HAVE_RUN):
            reason = json.loads(reply.body)["type"].rpartition(":")[2]
        record = Record(key, path, host, seen, status, body, started_s, ended_s, reason)
        self.history.append(record)
        return record
