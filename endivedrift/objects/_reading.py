"""Reads records from plain JSON values, as their types and constraints say.

Hosts read object sets with it. It is strict and stops at the first fault; the command-line tool
checks with pydantic instead, which reports all faults of a file at once.
"""

import dataclasses
import typing
from collections.abc import Callable, Sequence
from functools import cache
from typing import Any

from endivedrift.objects._constraints import Constraint

_Reader = Callable[[Any], Any]


class FieldError(ValueError):
    """A value is invalid.

    Attributes:
      path: Names of the fields that lead to the value, the outermost first.
      cause: Why it is invalid.
    """

    def __init__(self, cause: str, path: tuple[str, ...] = ()) -> None:
        """Creates an error from its cause and the path to the value."""
        super().__init__(f"{'.'.join(path)}: {cause}" if path else cause)
        self.cause = cause
        self.path = path

    def within(self, field: str) -> "FieldError":
        """Returns the error with one more field before its path."""
        return FieldError(self.cause, (field, *self.path))


@cache
def build_reader(hint: Any) -> _Reader:
    """Builds the function that reads values of a type.

    Args:
      hint: `bool`, `int`, `float`, `str`, a dataclass, `tuple[T, ...]`, `dict[str, T]`, or one of
        these with constraints in `Annotated`.
    Returns:
      A function that returns the value, or raises `FieldError`.
    """
    if dataclasses.is_dataclass(hint):
        return _build_record_reader(typing.cast(type, hint))
    if typing.get_origin(hint) is typing.Annotated:
        base, *metadata = typing.get_args(hint)
        checks = [item.check for item in metadata if isinstance(item, Constraint)]
        return _build_checked_reader(build_reader(base), checks)
    if typing.get_origin(hint) is tuple:
        return _build_tuple_reader(build_reader(typing.get_args(hint)[0]))
    if typing.get_origin(hint) is dict:
        key, value = typing.get_args(hint)
        return _build_dict_reader(build_reader(key), build_reader(value))
    return _build_scalar_reader(hint)


def _build_scalar_reader(kind: type) -> _Reader:
    def read(value: Any) -> Any:
        if type(value) is kind:
            return value
        if kind is float and type(value) is int:
            return float(value)
        raise FieldError(f"must be of the type {kind.__name__}")

    return read


def _build_checked_reader(
    read_base: _Reader, checks: Sequence[Callable[[Any], str | None]]
) -> _Reader:
    def read(value: Any) -> Any:
        found = read_base(value)
        for check in checks:
            cause = check(found)
            if cause is not None:
                raise FieldError(cause)
        return found

    return read


def _build_tuple_reader(read_item: _Reader) -> _Reader:
    def read(value: Any) -> Any:
        if not isinstance(value, list | tuple):
            raise FieldError("must be a list")
        return tuple(_read_within(str(n), read_item, item) for n, item in enumerate(value))

    return read


def _build_dict_reader(read_key: _Reader, read_value: _Reader) -> _Reader:
    def read(value: Any) -> Any:
        if not isinstance(value, dict):
            raise FieldError("must be a table")
        return {
            _read_within(str(key), read_key, key): _read_within(str(key), read_value, item)
            for key, item in value.items()
        }

    return read


def _build_record_reader(record: type) -> _Reader:
    hints = typing.get_type_hints(record, include_extras=True)
    fields = dataclasses.fields(record)
    readers = {field.name: build_reader(hints[field.name]) for field in fields}

    def read(value: Any) -> Any:
        if not isinstance(value, dict):
            raise FieldError("must be a table")
        found = {}
        for name, item in value.items():
            reader = readers.get(name)
            if reader is None:
                raise FieldError("is not a known field", (str(name)[:80],))
            found[name] = _read_within(name, reader, item)
        try:
            return record(**found)
        except TypeError:
            missing = next(f.name for f in fields if f.name not in found and not _has_default(f))
            raise FieldError("is missing", (missing,)) from None

    return read


def _has_default(field: "dataclasses.Field[Any]") -> bool:
    absent = dataclasses.MISSING
    return field.default is not absent or field.default_factory is not absent


def _read_within(field: str, read: _Reader, value: Any) -> Any:
    try:
        return read(value)
    except FieldError as error:
        raise error.within(field) from None


def describe_record(value: Any) -> Any:
    """Returns a record as plain JSON values."""
    if dataclasses.is_dataclass(value):
        record: Any = type(value)
        return {
            name: describe_record(getattr(value, name))
            for name, omitted in _list_fields(record)
            if omitted is dataclasses.MISSING or getattr(value, name) != omitted
        }
    if isinstance(value, dict):
        return {key: describe_record(item) for key, item in value.items()}
    if isinstance(value, tuple):
        return [describe_record(item) for item in value]
    return value


@cache
def _list_fields(record: type) -> tuple[tuple[str, Any], ...]:
    """Returns the names of the fields, each with the value with which it is not written."""
    return tuple(
        (f.name, f.default if f.metadata.get("omit_default") else dataclasses.MISSING)
        for f in dataclasses.fields(record)
    )
