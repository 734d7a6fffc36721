"""Object sets: the configuration that operators publish, its schema, validation and encoding."""

from endivedrift.objects._bounds import (
    BOUNDS_RULE_NAME,
    FleetBounds,
    build_discovered_group,
    build_discovered_service,
    build_drain_rule,
    build_ejection_limit,
    build_retry_rule,
)
from endivedrift.objects._canonical import (
    decode_object_set,
    describe_object_set,
    digest_bytes,
    encode_object_set,
)
from endivedrift.objects._difference import ChangeKind, ObjectChange, compare_object_sets
from endivedrift.objects._schema import (
    MAX_BODY_BYTES,
    Caller,
    ConnectionLimit,
    DrainRule,
    EjectionLimit,
    ObjectSet,
    RetryRule,
    Route,
    Service,
    Share,
    Target,
    UpstreamGroup,
    check_address,
)
from endivedrift.objects._source import ObjectError, SourceFile, check_sources, read_directory

__all__ = [
    "BOUNDS_RULE_NAME",
    "MAX_BODY_BYTES",
    "Caller",
    "ChangeKind",
    "ConnectionLimit",
    "DrainRule",
    "EjectionLimit",
    "FleetBounds",
    "ObjectChange",
    "ObjectError",
    "ObjectSet",
    "RetryRule",
    "Route",
    "Service",
    "Share",
    "SourceFile",
    "Target",
    "UpstreamGroup",
    "build_discovered_group",
    "build_discovered_service",
    "build_drain_rule",
    "build_ejection_limit",
    "build_retry_rule",
    "check_address",
    "check_sources",
    "compare_object_sets",
    "decode_object_set",
    "describe_object_set",
    "digest_bytes",
    "encode_object_set",
    "read_directory",
]
