"""The platform's table service, object store and machine list, and what is kept there."""

from endivedrift.store._claims import Claim, ClaimResult, ClaimTable, claim_key
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
    publish_object_set,
    read_config_head,
)

__all__ = [
    "Claim",
    "ClaimResult",
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
    "TableService",
    "Write",
    "claim_key",
    "list_history",
    "publish_object_set",
    "read_config_head",
]
