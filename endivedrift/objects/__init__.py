"""Object sets: their schema, checks, canonical form and differences."""

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
    DrainRule,
    EjectionLimit,
    ObjectSet,
    RetryRule,
    Route,
    Service,
    Target,
    UpstreamGroup,
    check_address,
)
from endivedrift.objects._source import ObjectError, SourceFile, check_sources, read_directory

__all__ = [
    "MAX_BODY_BYTES",
    "Caller",
    "ChangeKind",
    "DrainRule",
    "EjectionLimit",
    "ObjectChange",
    "ObjectError",
    "ObjectSet",
    "RetryRule",
    "Route",
    "Service",
    "SourceFile",
    "Target",
    "UpstreamGroup",
    "check_address",
    "check_sources",
    "compare_object_sets",
    "decode_object_set",
    "describe_object_set",
    "digest_bytes",
    "encode_object_set",
    "read_directory",
]
