"""Clients of the table service, object store and machine list, and the records kept there.

Two kinds of records are kept: published object sets, and claims on idempotency keys.
"""

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
    PublishingServices,
    PublishOutcome,
    PublishRecord,
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
    "HttpPlatform",
    "MachineList",
    "ObjectStore",
    "PlatformError",
    "PublishOutcome",
    "PublishRecord",
    "PublishRequest",
    "PublishResult",
    "PublishingServices",
    "Row",
    "TableService",
    "Write",
    "claim_key",
    "list_history",
    "publish_object_set",
    "read_config_head",
]
