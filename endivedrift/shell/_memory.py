"""Holds the bytes of requests and answers within the budget of the host.

While memory is short, one task measures what callers have taken of the answers that are being sent,
closes those that are not taken, and lets those wait for memory continue that fit.
"""

import contextlib
import termios
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

import curio

from endivedrift.core import CallerName, Clock, Instant, RequestId
from endivedrift.policy import (
    SAMPLE_PERIOD,
    SHORTAGE_SHARE,
    ByteBudget,
    Holding,
    InputBudget,
    assign_account,
    compute_budget,
    compute_input_budget,
    hold_bytes,
    is_short,
    may_ever_hold,
    may_hold,
    measure_rate,
    record_taken,
    select_slowest,
)
from endivedrift.shell._http import count_buffered_bytes, reset_connection
from endivedrift.shell._log import make_logger
from endivedrift.shell._metrics import Metrics
from endivedrift.shell._sockets import Socket

DEFAULT_MEMORY_BYTES = 200_000_000
"""Memory of the smallest hosts."""

_log = make_logger("memory")


class ClosingReason(Enum):
    """Why a host closed a connection before the caller had taken the whole answer."""

    MEMORY_SHORT = "memory-short"
    TOO_SLOW = "too-slow"


@dataclass(slots=True, eq=False)
class Sending:
    """An answer that is being sent.

    Attributes:
      holding: The bytes that the host holds for it.
      sock: Connection of the caller.
      size: Bytes of the answer with its head.
      started: When sending began.
      written: Bytes that the kernel has accepted so far.
      reason: Why the host closed the connection, or None.
    """

    holding: Holding
    sock: Socket
    size: int
    started: Instant
    written: int = 0
    reason: ClosingReason | None = None

    def count_taken(self) -> int:
        """Returns the bytes that the caller's side has acknowledged.

        Raises:
          OSError: If the connection is closed.
        """
        return self.written - count_buffered_bytes(self.sock, termios.TIOCOUTQ)


@dataclass(slots=True, eq=False)
class _Waiter:
    holding: Holding
    size: int
    ready: curio.Event = field(default_factory=curio.Event)
    is_granted: bool = False


class BodyMemory:
    """The bodies that a host holds, by request.

    Attributes:
      budget: The bytes of bodies.
      inputs: What connections of callers hold besides, before it is a body.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics | None = None,
        memory_bytes: float = DEFAULT_MEMORY_BYTES,
    ) -> None:
        """Creates an empty budget.

        Args:
          clock: The clock.
          metrics: Where closed answers are counted.
          memory_bytes: Memory that the host may use, from which the budget is derived.
        """
        self._clock = clock
        self._metrics = metrics or Metrics()
        self.budget = ByteBudget(compute_budget(int(memory_bytes)))
        self._metrics.held_bytes = self.budget
        self.inputs = InputBudget(compute_input_budget(int(memory_bytes)))
        self._metrics.inputs = self.inputs
        self._holdings: dict[RequestId, Holding] = {}
        self._sendings: list[Sending] = []
        self._waiters: list[_Waiter] = []
        self._is_relieving = False

    def open(
        self, request: RequestId, connection: int, account: CallerName | None = None
    ) -> Holding:
        """Starts to count the bytes of a request that came on a connection."""
        holding = Holding(request, connection, account)
        self._holdings[request] = holding
        return holding

    def find(self, request: RequestId) -> Holding | None:
        """Returns the holding of a request that is being served, or None."""
        return self._holdings.get(request)

    def close(self, holding: Holding) -> None:
        """Returns all bytes of a request to the budget; a second call does nothing."""
        hold_bytes(self.budget, holding, -holding.size)
        if self._holdings.get(holding.request) is holding:
            del self._holdings[holding.request]

    def add(self, holding: Holding, size: int) -> None:
        """Counts bytes that were received without being reserved."""
        hold_bytes(self.budget, holding, size)

    def release(self, holding: Holding, size: int) -> None:
        """Returns bytes of a request to the budget, unless its holding was closed."""
        hold_bytes(self.budget, holding, -min(size, holding.size))

    def assign_account(self, holding: Holding, account: CallerName | None) -> None:
        """Charges the bytes of a request to its account, as soon as that is known."""
        if holding.account != account:
            assign_account(self.budget, holding, account)

    async def reserve(self, holding: Holding, size: int, timeout: timedelta) -> bool:
        """Holds `size` more bytes for a request, if need be after waiting for room.

        Returns:
          Whether they are held; False if there was no room within `timeout`.
        """
        if may_hold(self.budget, holding, size):
            hold_bytes(self.budget, holding, size)
            if is_short(self.budget):
                await self._start_relieving()
            return True
        if timeout <= timedelta(0) or not may_ever_hold(self.budget, holding, size):
            return False
        waiter = _Waiter(holding, size)
        self._waiters.append(waiter)
        is_kept = False
        try:
            await self._start_relieving()
            async with curio.ignore_after(timeout.total_seconds()):
                await waiter.ready.wait()
            is_kept = waiter.is_granted
        finally:
            if not waiter.is_granted:
                self._waiters.remove(waiter)
            elif not is_kept:
                self.release(holding, size)
        return is_kept

    async def start_sending(self, holding: Holding, sock: Socket, size: int) -> Sending:
        """Begins to watch how fast a caller takes an answer of `size` bytes."""
        sending = Sending(holding, sock, size, self._clock.monotonic())
        self._sendings.append(sending)
        if is_short(self.budget):
            await self._start_relieving()
        return sending

    def finish_sending(self, sending: Sending) -> None:
        """Ends the watch over an answer that was sent or whose connection has ended."""
        self._sendings.remove(sending)
        sending.holding.samples.clear()

    async def close_sending(self, sending: Sending, reason: ClosingReason) -> None:
        """Closes the connection of an answer, and logs and counts the reason.

        The connection is reset, so that the kernel drops the bytes that the caller has not taken.
        The answer's declared length shows the caller that it is not complete.
        """
        if sending.reason is not None:
            return
        sending.reason = reason
        sending.holding.is_closing = True
        holding, rate = sending.holding, measure_rate(sending.holding)
        passed = self._clock.monotonic() - sending.started
        taken = 0
        with contextlib.suppress(OSError):
            taken = sending.count_taken()
        await reset_connection(sending.sock)
        self._metrics.closed_answers[reason.value] += 1
        _log.warning(
            "Answer closed.",
            reason=reason.value,
            request=holding.request,
            account=holding.account,
            taken_bytes=taken,
            size_bytes=sending.size,
            bytes_per_s=round(rate) if rate is not None else None,
            after_s=round(passed.total_seconds(), 1),
            held_bytes=self.budget.used,
            budget_bytes=self.budget.limit,
        )

    async def _start_relieving(self) -> None:
        if not self._is_relieving:
            self._is_relieving = True
            await curio.spawn(self._relieve(), daemon=True)

    async def _relieve(self) -> None:
        try:
            while self._waiters or is_short(self.budget):
                self._measure()
                await self._close_slowest()
                await self._grant()
                await curio.sleep(SAMPLE_PERIOD.total_seconds())
        finally:
            self._is_relieving = False
            for sending in self._sendings:
                sending.holding.samples.clear()

    def _measure(self) -> None:
        now = self._clock.monotonic()
        for sending in self._sendings:
            with contextlib.suppress(OSError):
                record_taken(sending.holding, now, sending.count_taken())

    async def _close_slowest(self) -> None:
        """Closes answers that are not taken, until memory is no longer short."""
        closing = sum(s.holding.size for s in self._sendings if s.holding.is_closing)
        while self.budget.used - closing > self.budget.limit * SHORTAGE_SHARE:
            slowest = select_slowest([sending.holding for sending in self._sendings])
            if slowest is None:
                return
            closing += slowest.size
            sending = next(s for s in self._sendings if s.holding is slowest)
            await self.close_sending(sending, ClosingReason.MEMORY_SHORT)

    async def _grant(self) -> None:
        """Lets those that wait for memory continue, in the order of their arrival."""
        for waiter in list(self._waiters):
            if waiter in self._waiters and may_hold(self.budget, waiter.holding, waiter.size):
                hold_bytes(self.budget, waiter.holding, waiter.size)
                waiter.is_granted = True
                self._waiters.remove(waiter)
                await waiter.ready.set()
