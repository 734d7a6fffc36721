"""Parses values in the platform's formats: durations with a unit, and JSON in base64."""

import base64
import json
import re
from datetime import timedelta
from typing import Any

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$")


class WireError(ValueError):
    """A value from the platform is invalid; the text names the field and the cause."""


def read_duration(value: object, field: str) -> timedelta:
    """Reads a duration such as `1500ms` or `2.5s`.

    Raises:
      WireError: If it has another format.
    """
    found = _DURATION.match(value) if isinstance(value, str) else None
    if found is None:
        raise WireError(f"{field}: {value!r} is not a number with the unit ms or s")
    number = float(found.group(1))
    return timedelta(milliseconds=number) if found.group(2) == "ms" else timedelta(seconds=number)


def read_field(document: object, field: str, expected_type: type | tuple[type, ...]) -> Any:
    """Reads a field of a JSON object; dots in its name separate nested objects.

    Raises:
      WireError: If the field is missing or has the wrong type.
    """
    value: Any = document
    for part in field.split("."):
        if not isinstance(value, dict) or part not in value:
            raise WireError(f"{field}: is missing")
        value = value[part]
    if not isinstance(value, expected_type) or (
        isinstance(value, bool) and expected_type is not bool
    ):
        raise WireError(f"{field}: {value!r} is of another type")
    return value


def read_row_value(text: str) -> Any:
    """Decodes the JSON in a row's value.

    Raises:
      WireError: If it is not JSON in base64.
    """
    try:
        return json.loads(base64.b64decode(text, validate=True))
    except (ValueError, RecursionError) as error:
        raise WireError(f"value: {error}") from None
