"""Compares two object sets object by object."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from endivedrift.objects._canonical import describe_object_set
from endivedrift.objects._schema import ObjectSet


class ChangeKind(Enum):
    """How an object differs between two object sets."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """An object that differs between two object sets, and the names of the differing fields."""

    kind: ChangeKind
    object: str
    fields: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Formats the change on one line."""
        fields = f" ({', '.join(self.fields)})" if self.fields else ""
        return f"{self.kind.value} {self.object}{fields}"


def compare_object_sets(old: ObjectSet, new: ObjectSet) -> tuple[ObjectChange, ...]:
    """Lists the differences between two object sets, sorted by kind and name.

    Args:
      old: The earlier object set.
      new: The later object set.
    Returns:
      One change for each object that differs.
    """
    before, after = _flatten_objects(old), _flatten_objects(new)
    changes = []
    for label in sorted(before.keys() | after.keys()):
        if label not in before:
            changes.append(ObjectChange(ChangeKind.ADDED, label))
        elif label not in after:
            changes.append(ObjectChange(ChangeKind.REMOVED, label))
        elif before[label] != after[label]:
            fields = [key for key in after[label] if after[label][key] != before[label].get(key)]
            changes.append(ObjectChange(ChangeKind.CHANGED, label, tuple(fields)))
    return tuple(changes)


def _flatten_objects(objects: ObjectSet) -> dict[str, dict[str, Any]]:
    dumped = describe_object_set(objects)
    return {
        f"{kind}.{name}": body for kind, named in dumped.items() for name, body in named.items()
    }
