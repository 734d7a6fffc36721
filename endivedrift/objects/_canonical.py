"""The canonical form of an object set: the same objects always give the same bytes and digest."""

import hashlib
import json
from dataclasses import replace
from typing import Any

from expression import Error, Ok, Result
from pydantic import ValidationError

from endivedrift.core import Digest
from endivedrift.objects._consistency import check_consistency
from endivedrift.objects._schema import OBJECT_SET, Caller, ObjectSet


def describe_object_set(objects: ObjectSet) -> dict[str, dict[str, Any]]:
    """Returns the objects as plain JSON values, by kind and name."""
    described: dict[str, dict[str, Any]] = OBJECT_SET.dump_python(objects, mode="json")
    return described


def encode_object_set(objects: ObjectSet) -> bytes:
    """Encodes a set as JSON with sorted names and no white space."""
    return json.dumps(describe_object_set(objects), sort_keys=True, separators=(",", ":")).encode()


def decode_object_set(canonical: bytes) -> Result[ObjectSet, str]:
    """Decodes and checks a canonical set.

    Args:
      canonical: Bytes made by `encode_object_set`.
    Returns:
      The set, or the reason why it cannot be in force.
    """
    try:
        objects = OBJECT_SET.validate_json(canonical)
    except ValidationError as error:
        return Error(f"{error.error_count()} invalid fields")
    faults = check_consistency(objects)
    return Error(faults[0].cause) if faults else Ok(_share_callers(objects))


def _share_callers(objects: ObjectSet) -> ObjectSet:
    """Lets accounts with the same limits share one record, to save memory."""
    shared: dict[Caller, Caller] = {}
    callers = {name: shared.setdefault(c, c) for name, c in objects.caller.items()}
    return replace(objects, caller=callers)


def digest_bytes(canonical: bytes) -> Digest:
    """Returns the SHA-256 digest of a canonical set in hexadecimal."""
    return Digest(hashlib.sha256(canonical).hexdigest())
