"""Bounds the bytes of request bodies and answers that a host holds, and selects answers to close.

One budget covers the host. While much of it is in use, a caller connection or account may hold only
a multiple of what is still free (dynamic thresholds, Choudhury and Hahne 1998), so that some room
is left for others however many of its answers are not taken. Answers whose callers do not take them
at a usable rate are closed while memory is short, the slowest first.
"""

from collections import Counter, deque
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeVar

from endivedrift.core import CallerName, Instant, RequestId

CONTROL_BYTES = 128_000_000
"""Memory of a host that is not used for bodies: the limit of control-plane work on the design page.
"""
BODY_SHARE = 0.6
"""Share of the other memory for bodies. Small ones may use a quarter more, and the rest is for
parsers and buffers of connections."""
MIN_BUDGET_BYTES = 16_000_000
"""Least budget, for hosts with less memory than the smallest ones are designed for."""
SMALL_BYTES = 65_536
"""Size up to which the bytes of a request are held without regard to shares."""
SMALL_LIMIT_FACTOR = 1.25
"""Multiple of the limit up to which small ones are held, so that large ones never displace them."""
FAIR_SHARE_FACTOR = 4.0
"""Multiple of the free bytes that a connection or account may hold. One that is alone can use four
fifths of the budget: 34 MB on the smallest hosts, as much as one could use before there were
shares."""
SHORTAGE_SHARE = 0.5
"""Share of the budget in use from which memory is short. It is below what a single account can use,
so that answers which it does not take are closed before it reaches that."""
MIN_RATE = 16_384
"""Bytes per second below which a caller does not take its answer at a usable rate. At this rate the
usual large answer of 540 KB takes half a minute, the time that callers were always given."""
RATE_WINDOW = timedelta(seconds=1)
"""Time over which the rate is measured while memory is short. Retransmissions of a lost packet take
0.2 to 0.6 s."""
SAMPLE_PERIOD = timedelta(milliseconds=50)
"""Time between two measurements of what callers have taken, while memory is short."""

_Key = TypeVar("_Key")


@dataclass(slots=True, eq=False)
class Holding:
    """The bytes that a host holds for one request.

    Attributes:
      request: The request.
      connection: Identifies the connection that the request came on.
      account: Account of the caller, or None if it is not known.
      size: Bytes held.
      samples: While the answer is sent and memory is short: when the caller had taken how many
        bytes. The first sample is at least RATE_WINDOW old once there is one that old.
      is_closing: Whether the answer was selected to be closed.
    """

    request: RequestId
    connection: int
    account: CallerName | None = None
    size: int = 0
    samples: deque[tuple[Instant, int]] = field(default_factory=deque)
    is_closing: bool = False


@dataclass(slots=True, eq=False)
class ByteBudget:
    """The bytes that a host holds, in all and by connection and account.

    Attributes:
      limit: Maximum number of bytes held; SMALL_LIMIT_FACTOR times as many with small bodies.
      used: Bytes held now.
      by_connection, by_account: Parts of `used`; connections and accounts without any are left out.
    """

    limit: int
    used: int = 0
    by_connection: Counter[int] = field(default_factory=Counter)
    by_account: Counter[CallerName] = field(default_factory=Counter)


def compute_budget(memory_bytes: int) -> int:
    """Returns the bytes of bodies that a host with this much memory may hold."""
    return max(MIN_BUDGET_BYTES, int((memory_bytes - CONTROL_BYTES) * BODY_SHARE))


def is_short(budget: ByteBudget) -> bool:
    """Tells whether so much is in use that answers which are not taken must be closed."""
    return budget.used > budget.limit * SHORTAGE_SHARE


def may_hold(budget: ByteBudget, holding: Holding, size: int) -> bool:
    """Tells whether `size` more bytes may be held for a request now."""
    used = budget.used + size
    if holding.size + size <= SMALL_BYTES:
        return used <= budget.limit * SMALL_LIMIT_FACTOR
    allowed = FAIR_SHARE_FACTOR * (budget.limit - used)
    if budget.by_connection[holding.connection] + size > allowed:
        return False
    account = holding.account
    return account is None or budget.by_account[account] + size <= allowed


def may_ever_hold(budget: ByteBudget, holding: Holding, size: int) -> bool:
    """Tells whether `size` more bytes could be held if nothing was held for other requests."""
    empty = ByteBudget(budget.limit, holding.size)
    empty.by_connection[holding.connection] = holding.size
    return may_hold(empty, Holding(holding.request, holding.connection, size=holding.size), size)


def hold_bytes(budget: ByteBudget, holding: Holding, size: int) -> None:
    """Counts `size` more bytes that are held for a request, or fewer if it is negative."""
    holding.size += size
    budget.used += size
    _add(budget.by_connection, holding.connection, size)
    if holding.account is not None:
        _add(budget.by_account, holding.account, size)


def assign_account(budget: ByteBudget, holding: Holding, account: CallerName | None) -> None:
    """Charges the bytes of a request to the account that it turned out to belong to."""
    size = holding.size
    hold_bytes(budget, holding, -size)
    holding.account = account
    hold_bytes(budget, holding, size)


def record_taken(holding: Holding, at: Instant, taken: int) -> None:
    """Records how many bytes of its answer a caller has taken so far."""
    samples = holding.samples
    samples.append((at, taken))
    while len(samples) > 1 and at - samples[1][0] >= RATE_WINDOW:
        samples.popleft()


def measure_rate(holding: Holding) -> float | None:
    """Returns the bytes per second that a caller takes, or None before a full RATE_WINDOW."""
    if not holding.samples:
        return None
    (start, taken_before), (end, taken) = holding.samples[0], holding.samples[-1]
    if end - start < RATE_WINDOW:
        return None
    return (taken - taken_before) / (end - start).total_seconds()


def select_slowest(holdings: list[Holding]) -> Holding | None:
    """Selects the answer to close first: the slowest one below MIN_RATE, the largest among equals.

    Returns:
      The answer, or None if each is taken at a usable rate or was not measured for long enough.
    """
    slow = [
        (rate, -holding.size, number)
        for number, holding in enumerate(holdings)
        if not holding.is_closing and (rate := measure_rate(holding)) is not None
        if rate < MIN_RATE
    ]
    return holdings[min(slow)[2]] if slow else None


def _add(counter: Counter[_Key], key: _Key, size: int) -> None:
    counter[key] += size
    if not counter[key]:
        del counter[key]
