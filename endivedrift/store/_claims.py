"""Claim rows, which decide which host owns an idempotency key chosen by a caller.

The first host to write the row of a key owns it. The write is conditional on the row's absence, so
the table service lets exactly one host succeed.
"""

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
    """A host's claim on a key; `claim_id` tells several claims of one host apart."""

    key: IdempotencyKey
    host: HostId
    incarnation: Incarnation
    claim_id: ClaimId


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Result of claiming a key; `holder` is the owner's claim and set only for TAKEN."""

    outcome: ClaimOutcome
    holder: Claim | None = None


class ClaimTable(Protocol):
    """Service at which hosts claim keys chosen by callers."""

    async def claim(self, claim: Claim) -> ClaimResult:
        """Claims a key; see `claim_key`."""


async def claim_key(table: TableService, deployment: str, claim: Claim) -> ClaimResult:
    """Writes the claim row of a key unless it exists.

    Args:
      table: The table service.
      deployment: Name of the deployment.
      claim: The claim.
    Returns:
      CLAIMED if the row holds this claim, TAKEN if it holds another, UNKNOWN if the table service
      did not say which.
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
    except (PlatformError, KeyError, TypeError, ValueError):
        return ClaimResult(ClaimOutcome.UNKNOWN)
    if holder == claim:
        return ClaimResult(ClaimOutcome.CLAIMED)
    return ClaimResult(ClaimOutcome.TAKEN, holder)
