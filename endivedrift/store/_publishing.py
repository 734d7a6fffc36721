"""Publishes object sets: the head row names the accepted set, and its version only increases.

The canonical bytes are stored in the object store under their digest. One transaction then writes
the head row, on condition that no other publish has changed it, and a row of the audit trail. A set
is accepted if this transaction took effect. If its reply is lost, the audit trail shows by the
publish id whether it did.
"""

from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import Any, Protocol

from endivedrift.core import NO_CONFIG, ConfigRef, Digest, Version
from endivedrift.objects import digest_bytes
from endivedrift.store._interface import (
    ObjectStore,
    PlatformError,
    Row,
    TableService,
    Write,
)

HEAD_KEY = "head"
LOST_REPLY_READ_ATTEMPTS = 3


class PublishingServices(TableService, ObjectStore, Protocol):
    """The services that publishing uses."""


class PublishOutcome(Enum):
    """Outcome of a publish."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    LOST_RACE = "lost-race"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class PublishRecord:
    """Record of an accepted publish, as kept in the head row and the audit trail.

    Attributes:
      config: Version and digest of the object set.
      author: Who published it.
      date: When, in ISO format.
      publish_id: Unique id of the publish.
      row_version: Version of the row that holds this record; 0 if nothing was published.
      note: Reason given by the author.
    """

    config: ConfigRef
    author: str
    date: str
    publish_id: str
    row_version: Version
    note: str = ""


@dataclass(frozen=True, slots=True)
class PublishResult:
    """Outcome of a publish, the accepted set afterwards if known, and an explanation."""

    outcome: PublishOutcome
    head: PublishRecord | None
    detail: str


@dataclass(frozen=True, slots=True)
class PublishRequest:
    """An object set to publish.

    Attributes:
      deployment: Name of the deployment.
      canonical: Canonical bytes of the set.
      author: Who publishes.
      date: When it is published.
      publish_id: Unique id of this publish.
      note: Reason given by the author.
      expected: Version that must still be accepted, or None to replace any version.
      version_in_force: Greatest version in force at any host that answered. The published version
        is greater, even if the head row has fallen behind it.
    """

    deployment: str
    canonical: bytes
    author: str
    date: datetime
    publish_id: str
    note: str = ""
    expected: Version | None = None
    version_in_force: Version = Version(0)


async def read_config_head(table: TableService, deployment: str) -> PublishRecord:
    """Reads which object set is accepted.

    Raises:
      PlatformError: If the table service did not answer or the row is invalid.
    """
    return _decode_record(await table.read_row(f"{deployment}-config", HEAD_KEY))


async def list_history(table: TableService, deployment: str) -> tuple[PublishRecord, ...]:
    """Reads the audit trail of publishes, oldest first.

    Raises:
      PlatformError: If the table service did not answer or a row is invalid.
    """
    rows = await table.list_rows(f"{deployment}-audit")
    return tuple(_decode_record(row) for row in rows)


async def publish_object_set(
    platform: PublishingServices, request: PublishRequest
) -> PublishResult:
    """Publishes a validated object set.

    Args:
      platform: Table service and object store.
      request: The object set and who publishes it.
    Returns:
      The outcome. NOT_RUN and LOST_RACE mean that the set was not accepted, UNKNOWN that it may
      have been.
    """
    digest = digest_bytes(request.canonical)
    try:
        head = await read_config_head(platform, request.deployment)
        if request.expected is not None and request.expected != head.config.version:
            detail = f"version {head.config.version} by {head.author} came first"
            return PublishResult(PublishOutcome.LOST_RACE, head, detail)
        if head.config.digest == digest and head.config.version >= request.version_in_force:
            return PublishResult(PublishOutcome.UNCHANGED, head, "the same set is in force")
        await platform.put_object(digest, request.canonical)
    except PlatformError as error:
        return PublishResult(PublishOutcome.NOT_RUN, None, str(error))
    return await _swap_head(platform, request, head, digest)


async def _swap_head(
    platform: PublishingServices, request: PublishRequest, head: PublishRecord, digest: Digest
) -> PublishResult:
    version = Version(max(head.config.version, request.version_in_force) + 1)
    value: dict[str, Any] = {
        "version": version,
        "digest": digest,
        "author": request.author,
        "date": request.date.isoformat(),
        "publish_id": request.publish_id,
        "note": request.note,
    }
    deployment = request.deployment
    writes = (
        Write(f"{deployment}-config", HEAD_KEY, head.row_version, value),
        Write(f"{deployment}-audit", f"{version:012d}-{request.publish_id}", Version(0), value),
    )
    try:
        applied = await platform.write_rows(writes)
    except PlatformError as error:
        if not error.may_have_run:
            return PublishResult(PublishOutcome.NOT_RUN, head, str(error))
        return await _settle_lost_reply(platform, request, head)
    if applied:
        return await _describe_accepted(platform, request)
    return await _describe_lost_race(platform, request)


async def _settle_lost_reply(
    platform: PublishingServices, request: PublishRequest, before: PublishRecord
) -> PublishResult:
    """Finds out whether a publish took effect.

    The audit row remains when later publishes replace the head. Its absence proves nothing while
    the head is unchanged, since the write may still take effect. Once the head has changed, the
    write can no longer apply. The audit trail is therefore read after the head.
    """
    for _ in range(LOST_REPLY_READ_ATTEMPTS):
        try:
            head = await read_config_head(platform, request.deployment)
            trail = await list_history(platform, request.deployment)
        except PlatformError:
            continue
        if any(entry.publish_id == request.publish_id for entry in trail):
            return PublishResult(PublishOutcome.ACCEPTED, head, "found in the audit trail")
        if head.row_version > before.row_version:
            detail = f"version {head.config.version} by {head.author} came first"
            return PublishResult(PublishOutcome.LOST_RACE, head, detail)
    detail = f"the reply was lost; look for publish id {request.publish_id} in the history"
    return PublishResult(PublishOutcome.UNKNOWN, None, detail)


async def _describe_accepted(
    platform: PublishingServices, request: PublishRequest
) -> PublishResult:
    try:
        head = await read_config_head(platform, request.deployment)
    except PlatformError:
        return PublishResult(PublishOutcome.ACCEPTED, None, "accepted")
    return PublishResult(PublishOutcome.ACCEPTED, head, f"accepted as {head.config.version}")


async def _describe_lost_race(
    platform: PublishingServices, request: PublishRequest
) -> PublishResult:
    try:
        head = await read_config_head(platform, request.deployment)
    except PlatformError:
        return PublishResult(PublishOutcome.LOST_RACE, None, "another publish came first")
    detail = f"version {head.config.version} by {head.author} came first"
    return PublishResult(PublishOutcome.LOST_RACE, head, detail)


def _decode_record(row: Row) -> PublishRecord:
    if row.version == 0:
        return PublishRecord(NO_CONFIG, "", "", "", Version(0))
    value = row.value
    try:
        config = ConfigRef(Version(int(value["version"])), Digest(str(value["digest"])))
        author, date = str(value["author"]), str(value["date"])
        publish_id, note = str(value["publish_id"]), str(value["note"])
        return PublishRecord(config, author, date, publish_id, row.version, note)
    except (KeyError, ValueError, TypeError):
        raise PlatformError("the head row cannot be read", False) from None
