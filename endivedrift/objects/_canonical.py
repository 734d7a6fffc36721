"""The canonical encoding of an object set.

Equal object sets have the same bytes and therefore the same digest, by which hosts identify them.
"""

import hashlib
import json
from dataclasses import replace
from typing import Any

from expression import Error, Ok, Result

from endivedrift.core import Digest
from endivedrift.objects._consistency import check_consistency
from endivedrift.objects._reading import FieldError, build_reader, describe_record
from endivedrift.objects._schema import Caller, ObjectSet


def describe_object_set(objects: ObjectSet) -> dict[str, dict[str, Any]]:
    """Returns the objects as plain JSON values, by kind and name."""
    described: dict[str, dict[str, Any]] = describe_record(objects)
    return described


def encode_object_set(objects: ObjectSet) -> bytes:
    """Encodes an object set as JSON with sorted keys and no white space."""
    return json.dumps(describe_object_set(objects), sort_keys=True, separators=(",", ":")).encode()


def decode_object_set(canonical: bytes) -> Result[ObjectSet, str]:
    """Decodes and validates a canonical object set.

    Args:
      canonical: Bytes written by `encode_object_set`.
    Returns:
      The object set, or the reason why it is invalid.
    """
    try:
        objects = build_reader(ObjectSet)(json.loads(canonical))
    except (FieldError, ValueError, RecursionError) as error:
        return Error(str(error))
    faults = check_consistency(objects)
    return Error(faults[0].cause) if faults else Ok(_deduplicate_callers(objects))


def _deduplicate_callers(objects: ObjectSet) -> ObjectSet:
    """Makes accounts with equal limits share one record, to save memory."""
    shared: dict[Caller, Caller] = {}
    callers = {name: shared.setdefault(c, c) for name, c in objects.caller.items()}
    return replace(objects, caller=callers)


def digest_bytes(canonical: bytes) -> Digest:
    """Returns the SHA-256 digest of a canonical object set in hexadecimal."""
    return Digest(hashlib.sha256(canonical).hexdigest())
