"""Identifier types, which let the type checker reject an identifier of the wrong kind."""

from typing import NewType

HostId = NewType("HostId", str)
FailureDomain = NewType("FailureDomain", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
TargetName = NewType("TargetName", str)
CallerName = NewType("CallerName", str)
AccountKeyDigest = NewType("AccountKeyDigest", str)
RequestDigest = NewType("RequestDigest", bytes)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
ClaimId = NewType("ClaimId", str)
Address = NewType("Address", str)
Incarnation = NewType("Incarnation", int)
Version = NewType("Version", int)
Digest = NewType("Digest", str)
