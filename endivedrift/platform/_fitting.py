"""Brings values of a configuration within the bounds of an object set.

The store accepts only valid configurations, so a value that is beyond a bound of this software must
not keep a version out of force. It is changed as little as possible, and the change is noted.
"""

import hashlib
from dataclasses import dataclass, field
from fractions import Fraction
from urllib.parse import quote

from endivedrift.objects import NAME_PATTERN
from endivedrift.platform._values import (
    escape_text,
    read_any_integer,
    read_any_milliseconds,
    read_any_number,
)

MAX_SHOWN_CHANGES = 20
"""Changes of one configuration that are listed in the log; the others are counted."""
MAX_NAME_LENGTH = 127
WEIGHT_TOTAL = 1_000_000
"""Total of the weights that stand for weights with fractions."""
DIGEST_BYTES = 8
_PATH_CHARACTERS = "".join(chr(code) for code in range(0x21, 0x7F) if chr(code) not in "?#")


@dataclass(slots=True)
class Fitting:
    """The changes made to the values of one configuration.

    Attributes:
      count: Number of changes.
      shown: Descriptions of the first changes.
    """

    count: int = 0
    shown: list[str] = field(default_factory=list)

    def note(self, place: str, change: str) -> None:
        """Notes a change at a place of the configuration."""
        self.count += 1
        if len(self.shown) < MAX_SHOWN_CHANGES:
            self.shown.append(f"{escape_text(place)}: {change}")

    def read_count(self, document: object, name: str, place: str, least: int, most: int) -> int:
        """Reads a whole number and brings it into the range from `least` to `most`.

        Raises:
          WireError: If it is missing, negative or of another type.
        """
        return int(self._fit(f"{place}.{name}", read_any_integer(document, name), least, most))

    def read_milliseconds(
        self, document: object, name: str, place: str, least: int, most: int
    ) -> int:
        """Reads a duration and brings it into a range, in whole milliseconds.

        Raises:
          WireError: If it is missing or not a duration.
        """
        stated = read_any_milliseconds(document, name)
        return round(self._fit(f"{place}.{name}", stated, least, most, " ms"))

    def read_rate(self, document: object, name: str, place: str, most: int) -> float:
        """Reads a number and brings it into the range from 0 to `most`.

        Raises:
          WireError: If it is missing, negative or not a finite number.
        """
        return float(self._fit(f"{place}.{name}", read_any_number(document, name), 0, most))

    def _fit(
        self, place: str, stated: float | Fraction, least: int, most: int, unit: str = ""
    ) -> float | Fraction:
        """Returns the value in a range that is nearest to the stated one."""
        used = min(max(stated, least), most)
        if used != stated:
            self.note(place, f"{used}{unit} is used in its place, the nearest possible")
        return used


def fit_name(text: str, distinction: str = "") -> str:
    """Returns a name of an object for any text; one that is a valid name stays as it is.

    Args:
      text: The text.
      distinction: What distinguishes the object from another with the same text.
    """
    if not distinction and NAME_PATTERN.check(text) is None:
        return text
    digest = hashlib.blake2b(
        f"{text}\0{distinction}".encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES
    ).hexdigest()
    kept = "".join(c if c.isascii() and (c.isalnum() or c in "._-") else "_" for c in text)
    return f"x{kept}"[: MAX_NAME_LENGTH - len(digest) - 1] + f".{digest}"


def fit_host_name(text: str) -> str:
    """Returns a host name as it is compared with Host headers: in lower case, without a port.

    A name with letters outside ASCII is converted to the form in which it is sent.
    """
    name = text.lower()
    before, separator, port = name.rpartition(":")
    if separator and port.isdigit():
        name = before
    if not name.isascii():
        try:
            return name.encode("idna").decode("ascii")
        except UnicodeError:
            return name
    return name


def fit_path(text: str) -> str:
    """Returns a path as it is sent: characters that no request target holds are percent-encoded."""
    return quote(text, safe=_PATH_CHARACTERS, errors="backslashreplace")


def fit_weights(weights: list[Fraction]) -> list[int]:
    """Returns whole numbers in the proportions of the weights; those above zero stay above it."""
    total = sum(weights)
    if all(w.denominator == 1 for w in weights) and total <= WEIGHT_TOTAL:
        return [int(weight) for weight in weights]
    return [max(1, round(w * WEIGHT_TOTAL / total)) if w else 0 for w in weights]
