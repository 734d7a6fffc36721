"""Checks of an object set as a whole.

They find references to missing objects, duplicates, and limits that cannot be met. Fields on their
own are validated in `_schema`.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import product

from endivedrift.objects._schema import ObjectSet, Route, Service


@dataclass(frozen=True, slots=True)
class Inconsistency:
    """A fault that no field shows on its own: the object and field at fault, and the cause."""

    object: str
    field: str
    cause: str


def check_consistency(objects: ObjectSet) -> tuple[Inconsistency, ...]:
    """Finds all inconsistencies of an object set whose fields are valid on their own.

    Args:
      objects: The object set.
    Returns:
      The faults; empty if the object set may be published.
    """
    return (
        *_check_references(objects),
        *_check_targets(objects),
        *_check_floors(objects),
        *_check_routes(objects),
        *_check_callers(objects),
    )


def _check_references(objects: ObjectSet) -> Iterator[Inconsistency]:
    for name, service in objects.service.items():
        for field in ("upstream_group", "ejection_limit", "drain_rule", "retry_rule", "hedge_rule"):
            referenced_name = getattr(service, field)
            is_absent = field == "hedge_rule" and not referenced_name
            if not is_absent and referenced_name not in getattr(objects, field):
                yield Inconsistency(
                    f"service.{name}", field, f"there is no {field}.{referenced_name}"
                )
    for name, route in objects.route.items():
        if route.service not in objects.service:
            cause = f"there is no service.{route.service}"
            yield Inconsistency(f"route.{name}", "service", cause)
        for share in route.split:
            if share.service not in objects.service:
                cause = f"there is no service.{share.service}"
                yield Inconsistency(f"route.{name}", "split", cause)
        if route.split and not any(share.weight for share in route.split):
            yield Inconsistency(f"route.{name}", "split", "every weight is 0")


def _check_targets(objects: ObjectSet) -> Iterator[Inconsistency]:
    owners: dict[str, str] = {}
    for name, group in objects.upstream_group.items():
        label = f"upstream_group.{name}"
        if not group.targets and not group.discovered:
            yield Inconsistency(label, "targets", "a group that is not discovered needs targets")
        seen_names: set[str] = set()
        for index, target in enumerate(group.targets):
            if target.name in seen_names:
                cause = f"the name {target.name} is used twice in the group"
                yield Inconsistency(label, f"targets.{index}.name", cause)
            seen_names.add(target.name)
            location = f"{label} targets.{index}"
            owner = owners.setdefault(target.address, location)
            if owner != location:
                cause = f"{target.address} is the address of {owner} too"
                yield Inconsistency(label, f"targets.{index}.address", cause)


def _check_floors(objects: ObjectSet) -> Iterator[Inconsistency]:
    for name, service in objects.service.items():
        limit = objects.ejection_limit.get(service.ejection_limit)
        group = objects.upstream_group.get(service.upstream_group)
        if limit is None or group is None or group.discovered:
            continue
        count = sum(1 for target in group.targets if not target.draining)
        if limit.floor > count:
            cause = f"its floor of {limit.floor} is above the {count} targets that are not draining"
            yield Inconsistency(f"service.{name}", "ejection_limit", cause)


def _check_routes(objects: ObjectSet) -> Iterator[Inconsistency]:
    yield from _check_unrouted(objects.service, list(objects.route.values()))
    route_by_match: dict[tuple[str, str, str], str] = {}
    for name, route in objects.route.items():
        label = f"route.{name}"
        if route.queue_wait_ms >= route.deadline_ms:
            cause = f"must be shorter than the deadline of {route.deadline_ms} ms"
            yield Inconsistency(label, "queue_wait_ms", cause)
        for host, method in product(route.hosts or ("",), route.methods):
            other = route_by_match.setdefault((host, method, route.path.rstrip("/")), name)
            if other != name:
                cause = f"{method} {host}{route.path} belongs to route.{other} too"
                yield Inconsistency(label, "path", cause)
        if route.repeatable and route.key_required:
            cause = "a repeatable route needs no idempotency key"
            yield Inconsistency(label, "key_required", cause)


def _check_callers(objects: ObjectSet) -> Iterator[Inconsistency]:
    """Finds keys that are listed twice. The position of a key is named, never its digest."""
    owners: dict[str, str] = {}
    for name, caller in objects.caller.items():
        for index, digest in enumerate(caller.key_digests):
            location = f"caller.{name} key_digests.{index}"
            owner = owners.setdefault(digest, location)
            if owner != location:
                yield Inconsistency(f"caller.{name}", f"key_digests.{index}", f"is {owner} too")


def _check_unrouted(
    services: dict[str, Service], routes: Iterable[Route]
) -> Iterator[Inconsistency]:
    routed = {route.service for route in routes} | {s.service for r in routes for s in r.split}
    for name in services:
        if name not in routed:
            yield Inconsistency(f"service.{name}", "", "no route leads to it")
