"""The canonical form of an object set: the same objects always give the same bytes and digest."""

import hashlib
import json

from expression import Error, Ok, Result
from pydantic import ValidationError

from endivedrift.core import Digest
from endivedrift.objects._consistency import check_consistency
from endivedrift.objects._schema import ObjectSet


def encode_object_set(objects: ObjectSet) -> bytes:
    """Encodes a set as JSON with sorted names and no white space."""
    return json.dumps(
        objects.model_dump(mode="json"), sort_keys=True, separators=(",", ":")
    ).encode()


def decode_object_set(canonical: bytes) -> Result[ObjectSet, str]:
    """Decodes and checks a canonical set.

    Args:
      canonical: Bytes made by `encode_object_set`.
    Returns:
      The set, or the reason why it cannot be in force.
    """
    try:
        objects = ObjectSet.model_validate_json(canonical)
    except ValidationError as error:
        return Error(f"{error.error_count()} invalid fields")
    faults = check_consistency(objects)
    return Error(faults[0].cause) if faults else Ok(objects)


def digest_bytes(canonical: bytes) -> Digest:
    """Returns the SHA-256 digest of a canonical set in hexadecimal."""
    return Digest(hashlib.sha256(canonical).hexdigest())
