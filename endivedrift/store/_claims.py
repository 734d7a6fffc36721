"""Claim rows: which host owns an idempotency key that a caller made."""

import hashlib
from dataclasses import dataclass
from typing import Protocol

from endivedrift.core import (
    ClaimId,
    ClaimOutcome,
    HostId,
    IdempotencyKey,
    Incarnation,
    Version,
)
from endivedrift.store._interface import PlatformError, TableService, Write


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim that a host makes on a key."""

    key: IdempotencyKey
    host: HostId
    incarnation: Incarnation
    claim_id: ClaimId


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Who owns the key: `holder` is set for TAKEN."""

    outcome: ClaimOutcome
    holder: Claim | None = None


class ClaimTable(Protocol):
    """Where hosts claim the keys that callers made."""

    async def claim(self, claim: Claim) -> ClaimResult:
        """Claims a key; see `claim_key`."""


async def claim_key(table: TableService, deployment: str, claim: Claim) -> ClaimResult:
    """Writes a claim row unless there is one.

    Args:
      table: The table service.
      deployment: Name of the deployment.
      claim: The claim.
    Returns:
      CLAIMED when the row is this claim's, TAKEN when it is another's, UNKNOWN when the table
      service did not tell.
    """
    row_key = hashlib.sha256(claim.key.encode()).hexdigest()
    value = {"host": claim.host, "incarnation": claim.incarnation, "claim": claim.claim_id}
    try:
        write = Write(f"{deployment}-claims", row_key, Version(0), value)
        if await table.write_rows((write,)):
            return ClaimResult(ClaimOutcome.CLAIMED)
    except PlatformError as error:
        if not error.may_have_run:
            return ClaimResult(ClaimOutcome.UNKNOWN)
    return await _read_claim(table, deployment, claim, row_key)


async def _read_claim(
    table: TableService, deployment: str, claim: Claim, row_key: str
) -> ClaimResult:
    try:
        row = await table.read_row(f"{deployment}-claims", row_key)
        if row.version == 0:
            return ClaimResult(ClaimOutcome.UNKNOWN)
        holder = Claim(
            claim.key,
            HostId(str(row.value["host"])),
            Incarnation(int(row.value["incarnation"])),
            ClaimId(str(row.value["claim"])),
        )
    except (PlatformError, KeyError, ValueError):
        return ClaimResult(ClaimOutcome.UNKNOWN)
    if holder == claim:
        return ClaimResult(ClaimOutcome.CLAIMED)
    return ClaimResult(ClaimOutcome.TAKEN, holder)
