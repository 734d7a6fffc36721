"""Constraints on the fields of records.

A field's type names its constraints in `Annotated`. They are checked when a record is read: by
`_reading` in hosts, and by pydantic in the command-line tool, which reports all faults at once.
pydantic takes long to import, so that a host never does; the constraints therefore import nothing.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

STRICT = {"extra": "forbid", "strict": True}
"""Configuration of pydantic for records: no unknown fields, no conversion between types."""

OMIT_DEFAULT = {"omit_default": True}
"""Metadata of a field that is written only if it differs from its default, so that object sets
without it have the digest that builds without the field compute."""


@dataclass(frozen=True, slots=True)
class Range:
    """Bounds of a number; a bound that is None does not apply.

    Attributes:
      ge, le: Least and greatest allowed value.
      gt, lt: Values that the number must exceed or stay below.
    """

    ge: float | None = None
    le: float | None = None
    gt: float | None = None
    lt: float | None = None

    def check(self, value: Any) -> str | None:
        """Returns why the value is invalid, or None."""
        is_inside = (
            (self.ge is None or value >= self.ge)
            and (self.le is None or value <= self.le)
            and (self.gt is None or value > self.gt)
            and (self.lt is None or value < self.lt)
        )
        return None if is_inside else "is out of bounds"

    def __get_pydantic_core_schema__(self, source: Any, handler: Callable[[Any], Any]) -> Any:
        """Adds the bounds to pydantic's schema of the field."""
        bounds = {"ge": self.ge, "le": self.le, "gt": self.gt, "lt": self.lt}
        return {**handler(source), **{name: n for name, n in bounds.items() if n is not None}}


@dataclass(frozen=True, slots=True)
class Pattern:
    """A regular expression, anchored at both ends, that a text must match."""

    expression: str
    compiled: re.Pattern[str] = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Compiles the expression."""
        object.__setattr__(self, "compiled", re.compile(self.expression))

    def check(self, value: Any) -> str | None:
        """Returns why the value is invalid, or None."""
        if self.compiled.fullmatch(value) is None:
            return f"does not match {self.expression}"
        return None

    def __get_pydantic_core_schema__(self, source: Any, handler: Callable[[Any], Any]) -> Any:
        """Adds the expression to pydantic's schema of the field."""
        return {**handler(source), "pattern": self.expression}


@dataclass(frozen=True, slots=True)
class Length:
    """The least length of a text or a list."""

    least: int

    def check(self, value: Any) -> str | None:
        """Returns why the value is invalid, or None."""
        return None if len(value) >= self.least else f"is shorter than {self.least}"

    def __get_pydantic_core_schema__(self, source: Any, handler: Callable[[Any], Any]) -> Any:
        """Adds the length to pydantic's schema of the field."""
        return {**handler(source), "min_length": self.least}


@dataclass(frozen=True, slots=True)
class Checked:
    """A function that returns the value, or raises ValueError."""

    function: Callable[[Any], Any]

    def check(self, value: Any) -> str | None:
        """Returns why the value is invalid, or None."""
        try:
            self.function(value)
        except ValueError as error:
            return str(error)
        return None

    def __get_pydantic_core_schema__(self, source: Any, handler: Callable[[Any], Any]) -> Any:
        """Calls the function after pydantic's own validation of the field."""
        from pydantic_core import core_schema

        return core_schema.no_info_after_validator_function(self.function, handler(source))


Constraint = Range | Pattern | Length | Checked
