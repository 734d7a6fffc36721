"""Validates records with pydantic, which finds all faults at once.

Importing this module is slow, so only the command-line tool and the daemon of the own interface do.
"""

from functools import cache
from typing import Any

from pydantic import TypeAdapter, ValidationError

UNKNOWN_FIELD = "unexpected_keyword_argument"


@cache
def _build_adapter(record: type) -> TypeAdapter[Any]:
    return TypeAdapter(record)


def validate_json(record: type, text: str) -> tuple[Any, list[Any]]:
    """Validates a JSON text as a record.

    Args:
      record: Type of the record.
      text: The JSON text.
    Returns:
      The record, or None and pydantic's description of each fault.
    """
    try:
        return _build_adapter(record).validate_json(text), []
    except ValidationError as error:
        return None, list(error.errors())
