"""Reads object sets from TOML files and reports every fault with its file, object and field."""

import json
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from endivedrift.objects._consistency import check_consistency
from endivedrift.objects._schema import ObjectSet


@dataclass(frozen=True, slots=True)
class SourceFile:
    """Name and text of a TOML file."""

    name: str
    text: str


@dataclass(frozen=True, slots=True, order=True)
class ObjectError:
    """One fault in an object set.

    Attributes:
      file: File or directory at fault, or the empty string.
      object: Kind and name of the object, such as `service.availability`, or the empty string.
      field: Field at fault, or the empty string.
      cause: Description of the fault.
    """

    file: str
    object: str
    field: str
    cause: str

    def __str__(self) -> str:
        """Formats the fault on one line."""
        location = ": ".join(part for part in (self.file, self.object, self.field) if part)
        return f"{location}: {self.cause}"


def read_directory(directory: Path) -> Result[tuple[SourceFile, ...], tuple[ObjectError, ...]]:
    """Reads all TOML files of a directory in the order of their names.

    Args:
      directory: The directory.
    Returns:
      The files, or the faults: the path is not a directory, it contains no TOML file, or a file
      cannot be read or is not UTF-8.
    """
    if not directory.is_dir():
        return Error((ObjectError(str(directory), "", "", "is not a directory"),))
    files, errors = [], []
    for path in sorted(directory.glob("*.toml")):
        try:
            files.append(SourceFile(path.name, path.read_text("utf-8")))
        except (OSError, UnicodeDecodeError) as error:
            errors.append(ObjectError(path.name, "", "", f"cannot be read: {error}"))
    if not files and not errors:
        errors.append(ObjectError(str(directory), "", "", "holds no .toml file"))
    return Error(tuple(errors)) if errors else Ok(tuple(files))


def check_sources(sources: Iterable[SourceFile]) -> Result[ObjectSet, tuple[ObjectError, ...]]:
    """Parses the files of an object set and validates it as a whole.

    Args:
      sources: The files that make up the object set.
    Returns:
      The object set, or all faults found.
    """
    merged, origins, errors = _merge_sources(sources)
    object_set, field_errors = _parse_objects(merged, origins)
    errors += field_errors
    if object_set is not None:
        for fault in check_consistency(object_set):
            file = origins.get(fault.object, "")
            errors.append(ObjectError(file, fault.object, fault.field, fault.cause))
    if errors or object_set is None:
        return Error(tuple(sorted(set(errors))))
    return Ok(object_set)


def _merge_sources(
    sources: Iterable[SourceFile],
) -> tuple[dict[str, dict[str, Any]], dict[str, str], list[ObjectError]]:
    merged: dict[str, dict[str, Any]] = {}
    origins: dict[str, str] = {}
    errors: list[ObjectError] = []
    for source in sources:
        try:
            document = tomllib.loads(source.text)
        except tomllib.TOMLDecodeError as error:
            errors.append(ObjectError(source.name, "", "", f"is not valid TOML: {error}"))
            continue
        for kind, objects in document.items():
            if not isinstance(objects, dict):
                errors.append(ObjectError(source.name, kind, "", "must be a table of objects"))
                continue
            for name, body in objects.items():
                label = f"{kind}.{name}"
                if label in origins:
                    cause = f"is defined in {origins[label]} too"
                    errors.append(ObjectError(source.name, label, "", cause))
                    continue
                origins[label] = source.name
                merged.setdefault(kind, {})[name] = body
    return merged, origins, errors


def _parse_objects(
    merged: dict[str, dict[str, Any]], origins: dict[str, str]
) -> tuple[ObjectSet | None, list[ObjectError]]:
    # Imports pydantic, which hosts do not need.
    from endivedrift.objects import _validation

    text = json.dumps(merged, default=str)
    objects, faults = _validation.validate_json(ObjectSet, text)
    return objects, [_describe_fault(fault, origins) for fault in faults]


def _describe_fault(fault: Any, origins: dict[str, str]) -> ObjectError:
    path = [str(part) for part in fault["loc"] if part != "[key]"]
    label = ".".join(path[:2])
    message = fault["msg"].removeprefix("Value error, ")
    if fault["type"] == "unexpected_keyword_argument":
        message = "is not a known field" if len(path) > 1 else "is not a known kind of object"
    return ObjectError(_find_file(label, origins), label, ".".join(path[2:]), message)


def _find_file(label: str, origins: dict[str, str]) -> str:
    """Returns the file of an object, or of the first object of a kind."""
    named = [file for key, file in origins.items() if key == label or key.startswith(f"{label}.")]
    return named[0] if named else ""
