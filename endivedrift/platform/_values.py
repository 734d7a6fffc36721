"""Parses values in the platform's formats: durations with a unit, and JSON in base64.

Values come from files and rows that other programs write, so any of them may be missing, of another
type, or absurd. Each reader returns a value within bounds or raises `WireError`, nothing else.
"""

import base64
import json
import math
import re
from datetime import timedelta
from fractions import Fraction
from typing import Any

from endivedrift.core import Address
from endivedrift.objects import NAME_PATTERN, check_address

MAX_DURATION = timedelta(days=1)
"""Longest duration that is accepted."""
MAX_INTEGER = 2**53
"""Greatest number that every JSON implementation keeps exact; it also fits the peer messages."""
MAX_SHOWN_LENGTH = 80
"""Length up to which an invalid value is repeated in the text of an error."""

MAX_DURATION_LENGTH = 400
"""Length up to which the text of a duration is read."""

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$", re.ASCII)


class WireError(ValueError):
    """A value from the platform is invalid; the text names the field and the cause."""


def read_duration(document: object, field: str) -> timedelta:
    """Reads a field that holds a duration such as `1500ms` or `2.5s`, up to `MAX_DURATION`.

    Raises:
      WireError: If it is missing, has another format or is too long.
    """
    milliseconds = read_any_milliseconds(document, field)
    if milliseconds > MAX_DURATION / timedelta(milliseconds=1):
        raise WireError(f"{field}: {_show(read_field(document, field, str))} is longer than a day")
    return timedelta(milliseconds=milliseconds)


def read_any_milliseconds(document: object, field: str) -> float:
    """Reads a field that holds a duration of any length, and returns it in milliseconds.

    Raises:
      WireError: If it is missing or has another format.
    """
    value = read_field(document, field, str)
    found = _DURATION.fullmatch(value) if len(value) <= MAX_DURATION_LENGTH else None
    if found is None:
        raise WireError(f"{field}: {_show(value)} is not a number with the unit ms or s")
    number = float(found.group(1))
    return number if found.group(2) == "ms" else number * 1000.0


def read_integer(document: object, field: str, least: int = 0, most: int = MAX_INTEGER) -> int:
    """Reads a field that holds a whole number from `least` to `most`.

    Raises:
      WireError: If it is missing, of another type or out of these bounds.
    """
    value: int = read_field(document, field, int)
    if not least <= value <= most:
        raise WireError(f"{field}: is not from {least} to {most}")
    return value


def read_any_integer(document: object, field: str) -> int:
    """Reads a field that holds a whole number of at least 0, however great.

    Raises:
      WireError: If it is missing, of another type or negative.
    """
    value: int = read_field(document, field, int)
    if value < 0:
        raise WireError(f"{field}: is negative")
    return value


def read_any_number(document: object, field: str) -> Fraction:
    """Reads a field that holds a finite number of at least 0, however great.

    Raises:
      WireError: If it is missing, of another type, negative or not finite.
    """
    value = read_field(document, field, (int, float))
    if isinstance(value, float) and not math.isfinite(value):
        raise WireError(f"{field}: is not finite")
    if value < 0:
        raise WireError(f"{field}: is negative")
    return Fraction(value)


def read_number(document: object, field: str) -> float:
    """Reads a field that holds a finite number of at least 0, and at most `MAX_INTEGER`.

    Raises:
      WireError: If it is missing, of another type, negative, too great or not finite.
    """
    value = read_any_number(document, field)
    if value > MAX_INTEGER:
        raise WireError(f"{field}: is not from 0 to {MAX_INTEGER}")
    return float(value)


def read_name(document: object, field: str) -> str:
    """Reads a field that holds a name: letters, digits, dots, hyphens and underscores.

    Raises:
      WireError: If it is missing, of another type or not such a name.
    """
    value: str = read_field(document, field, str)
    if NAME_PATTERN.check(value) is not None:
        raise WireError(f"{field}: {_show(value)} is not a name")
    return value


def read_address(document: object, field: str) -> Address:
    """Reads a field that holds an IPv4 address and a port.

    Raises:
      WireError: If it is missing, of another type or not an address.
    """
    return parse_address(read_field(document, field, str), field)


def parse_address(text: object, field: str) -> Address:
    """Checks that a value is an IPv4 address and a port.

    Raises:
      WireError: If it is not.
    """
    if not isinstance(text, str):
        raise WireError(f"{field}: {_show(text)} is of another type")
    try:
        return Address(check_address(text))
    except ValueError as error:
        raise WireError(f"{field}: {_show(text)} {error}") from None


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
        raise WireError(f"{field}: {_show(value)} is of another type")
    return value


def read_row_value(text: str) -> Any:
    """Decodes the JSON in a row's value.

    Raises:
      WireError: If it is not JSON in base64.
    """
    try:
        return json.loads(base64.b64decode(text, validate=True))
    except (ValueError, RecursionError) as error:
        raise WireError(f"value: {escape_text(str(error))}") from None


def escape_text(text: str) -> str:
    """Returns the beginning of a text for a log or an error, other characters than ASCII escaped.

    JSON may hold half of a character, which no encoding can write.
    """
    return text[:MAX_SHOWN_LENGTH].encode("ascii", "backslashreplace").decode()


def _show(value: object) -> str:
    """Describes an invalid value; objects and lists may be deep or huge and are not repeated."""
    if isinstance(value, str):
        return repr(escape_text(value))
    if isinstance(value, bool | float | None):
        return repr(value)
    return f"a value of the type {type(value).__name__}"
