"""The platform's table service, object store and machine list, and what is kept there."""

from endivedrift.platform._claims import Claim, SettledClaim, claim_key
from endivedrift.platform._http_adapter import HttpPlatform
from endivedrift.platform._interface import (
    MachineList,
    ObjectStore,
    PlatformError,
    Row,
    TableService,
    Write,
)
from endivedrift.platform._publishing import (
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
