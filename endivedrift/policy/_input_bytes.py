"""Bounds what all connections of callers together make a host keep before it is a body.

This is what was received and not parsed yet, what the kernel may still hold of a connection that is
not read, and the parsed heads and the bookkeeping of requests in progress. A few bytes are kept for
each connection in any case, so that an ordinary request is read however much others have sent.
Beyond that, a connection may hold a multiple of what is still free (dynamic thresholds, Choudhury
and Hahne 1998).
"""

from dataclasses import dataclass

from endivedrift.policy._held_bytes import CONTROL_BYTES

INPUT_SHARE = 0.25
"""Share of the memory beside that of the control plane; bodies use the rest."""
MIN_INPUT_BYTES = 8_000_000
"""Least budget, for hosts with less memory than the smallest ones are designed for."""
GUARANTEED_BYTES = 16_384
"""What each connection may hold in any case: an ordinary request in progress."""
FAIR_SHARE_FACTOR = 0.25
"""Multiple of the free bytes that a connection may hold."""
REQUEST_BYTES = 6_000
"""Memory for the bookkeeping of a request in progress: its parser, its task and its records."""
HEADER_BYTES = 200
"""Memory for one header besides its text."""


@dataclass(slots=True, eq=False)
class InputBudget:
    """The bytes that all connections hold.

    Attributes:
      limit: Maximum number of bytes, besides the guaranteed ones of each connection.
      used: Bytes held now.
    """

    limit: int
    used: int = 0


@dataclass(slots=True, eq=False)
class ConnectionInput:
    """The bytes that one connection holds of the budget."""

    size: int = 0


def compute_input_budget(memory_bytes: int) -> int:
    """Returns the bytes that the connections of a host with this much memory may hold."""
    return max(MIN_INPUT_BYTES, int((memory_bytes - CONTROL_BYTES) * INPUT_SHARE))


def compute_room(budget: InputBudget, connection: ConnectionInput) -> int:
    """Returns how many more bytes a connection may hold now."""
    free = max(0, budget.limit - budget.used)
    allowed = max(GUARANTEED_BYTES, int(FAIR_SHARE_FACTOR * free))
    return max(0, allowed - connection.size)


def hold_input(budget: InputBudget, connection: ConnectionInput, size: int) -> None:
    """Counts `size` more bytes of a connection, or fewer if it is negative."""
    connection.size += size
    budget.used += size


def estimate_request_bytes(head_bytes: int, header_count: int) -> int:
    """Returns the memory that a request in progress takes besides its body."""
    return REQUEST_BYTES + head_bytes + HEADER_BYTES * header_count
