"""The platform's table service, object store and machine list, and what is kept there."""

from endivedrift.store._claims import Claim, ClaimTable, SettledClaim, claim_key
from endivedrift.store._http_adapter import HttpPlatform
from endivedrift.store._interface import (
    MachineList,
    ObjectStore,
    PlatformError,
    Row,
    TableService,
    Write,
)
from endivedrift.store._publishing import (
    Head,
    Platform,
    PublishOutcome,
    PublishRequest,
    PublishResult,
    list_history,
    publish_set,
    read_head,
)

__all__ = [
    "Claim",
    "ClaimTable",
    "Head",
    "HttpPlatform",
    "MachineList",
    "ObjectStore",
    "Platform",
    "PlatformError",
    "PublishOutcome",
    "PublishRequest",
    "PublishResult",
    "Row",
    "SettledClaim",
    "TableService",
    "Write",
    "claim_key",
    "list_history",
    "publish_set",
    "read_head",
]
