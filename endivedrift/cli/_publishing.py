"""Commands for object sets: check, publish, show, diff and history."""

import getpass
import uuid
from dataclasses import replace
from datetime import timedelta
from typing import Annotated, Any

import curio
import typer
from expression import Result

from endivedrift.cli._context import (
    ConfigOption,
    Context,
    DirectoryArgument,
    ExitStatus,
    JsonOption,
    fail,
    load_context,
    load_objects,
    print_json,
)
from endivedrift.cli._hosts import ask_hosts, find_greatest_version, find_hosts
from endivedrift.core import Address, Clock, SystemClock, Version
from endivedrift.objects import (
    ObjectSet,
    compare_object_sets,
    decode_object_set,
    describe_object_set,
    encode_object_set,
)
from endivedrift.store import (
    PlatformError,
    PublishOutcome,
    PublishRecord,
    PublishRequest,
    PublishResult,
    list_history,
    publish_object_set,
    read_config_head,
)

IN_FORCE_POLL_PERIOD = timedelta(milliseconds=200)

_EXIT_STATUSES = {
    PublishOutcome.ACCEPTED: ExitStatus.OK,
    PublishOutcome.UNCHANGED: ExitStatus.OK,
    PublishOutcome.LOST_RACE: ExitStatus.LOST_RACE,
    PublishOutcome.NOT_RUN: ExitStatus.NOT_RUN,
    PublishOutcome.UNKNOWN: ExitStatus.UNKNOWN,
}


def check(directory: DirectoryArgument, as_json: JsonOption = False) -> None:
    """Checks an object set and prints all its errors.

    Example: endivedrift check examples/bennani

    Exit status: 0 if it is valid, 2 if it has errors.
    """
    objects = load_objects(directory)
    counts = {kind: len(named) for kind, named in describe_object_set(objects).items()}
    if as_json:
        print_json({"objects": counts})
        return
    for kind, count in counts.items():
        typer.echo(f"{count:6} {kind}")


def publish(
    directory: DirectoryArgument,
    config: ConfigOption,
    note: Annotated[str, typer.Option(help="Reason, recorded in the audit trail.")] = "",
    author: Annotated[
        str, typer.Option(help="Name recorded as the author; by default, the user.")
    ] = "",
    expected: Annotated[
        int | None, typer.Option(help="Publish only if this version is still the accepted one.")
    ] = None,
    wait: Annotated[
        float, typer.Option(help="Seconds to wait until all hosts have it in force.")
    ] = 0.0,
    as_json: JsonOption = False,
) -> None:
    """Checks an object set and publishes it as a whole.

    Example: endivedrift publish examples/bennani -c tool.toml --note "two more targets" --wait 6

    Exit status: 0 accepted, 2 invalid, 3 another publish came first, 4 not run, 5 unknown.
    """
    objects = load_objects(directory)
    context = load_context(config)
    expected_version = Version(expected) if expected is not None else None
    request = PublishRequest(
        deployment=context.config.deployment,
        canonical=encode_object_set(objects),
        author=author or getpass.getuser(),
        date=SystemClock().wall(),
        publish_id=uuid.uuid4().hex,
        note=note,
        expected=expected_version,
    )
    result = curio.run(_publish, context, request)
    in_force = True
    is_accepted = result.outcome in (PublishOutcome.ACCEPTED, PublishOutcome.UNCHANGED)
    if is_accepted and result.head is not None and wait > 0.0:
        version = result.head.config.version
        in_force = curio.run(_wait_in_force, context, version, wait, SystemClock())
    _print_result(result, in_force, as_json)
    raise typer.Exit(_EXIT_STATUSES[result.outcome])


def show(config: ConfigOption, as_json: JsonOption = False) -> None:
    """Shows the accepted object set.

    Example: endivedrift show -c tool.toml --json

    Exit status: 0, 4 if the platform does not answer, 6 if nothing was published.
    """
    context = load_context(config)
    head, objects = _read_accepted(context)
    if as_json:
        print_json({"head": _describe_record(head), "objects": describe_object_set(objects)})
        return
    typer.echo(_format_record(head))
    for kind, named in describe_object_set(objects).items():
        for name in sorted(named):
            typer.echo(f"{kind}.{name}")


def diff(directory: DirectoryArgument, config: ConfigOption, as_json: JsonOption = False) -> None:
    """Shows what publishing a directory would change.

    Example: endivedrift diff examples/bennani -c tool.toml

    Exit status: 0, 2 for an invalid set, 4 if the platform does not answer.
    """
    objects = load_objects(directory)
    _, accepted = _read_accepted(load_context(config), empty_allowed=True)
    changes = compare_object_sets(accepted, objects)
    if as_json:
        entries = [{"kind": c.kind.value, "object": c.object, "fields": c.fields} for c in changes]
        print_json({"changes": entries})
        return
    for change in changes:
        typer.echo(str(change))
    typer.echo(f"{len(changes)} changes")


def history(config: ConfigOption, as_json: JsonOption = False) -> None:
    """Shows the audit trail of publishes, oldest first.

    Example: endivedrift history -c tool.toml

    Exit status: 0, 4 if the platform does not answer.
    """
    context = load_context(config)
    try:
        trail = curio.run(list_history, context.platform, context.config.deployment)
    except PlatformError as error:
        fail(ExitStatus.NOT_RUN, str(error))
    if as_json:
        print_json({"history": [_describe_record(head) for head in trail]})
        return
    for record in trail:
        typer.echo(_format_record(record))


async def _publish(context: Context, request: PublishRequest) -> PublishResult:
    version_in_force = Version(0)
    if context.config.host:
        hosts = await find_hosts(Address(context.config.host))
        version_in_force = find_greatest_version(await ask_hosts(hosts, "/state"))
    return await publish_object_set(
        context.platform, replace(request, version_in_force=version_in_force)
    )


async def _wait_in_force(
    context: Context, version: Version, timeout_s: float, clock: Clock
) -> bool:
    """Waits until every host that answers has a version in force; returns whether that happened."""
    if not context.config.host:
        return False
    end = clock.monotonic() + timedelta(seconds=timeout_s)
    while clock.monotonic() < end:
        hosts = await find_hosts(Address(context.config.host))
        reports = await ask_hosts(hosts, "/state")
        bodies = [report.body for report in reports if report.body is not None]
        if bodies and all(body["config_version"] >= version for body in bodies):
            return True
        await curio.sleep(IN_FORCE_POLL_PERIOD.total_seconds())
    return False


def _print_result(result: PublishResult, in_force: bool, as_json: bool) -> None:
    if as_json:
        head = _describe_record(result.head) if result.head is not None else None
        body = {
            "outcome": result.outcome.value,
            "detail": result.detail,
            "head": head,
            "in_force": in_force,
        }
        print_json(body)
        return
    typer.echo(f"{result.outcome.value}: {result.detail}")
    if not in_force:
        typer.echo("not yet in force at every host", err=True)


def _read_accepted(
    context: Context, empty_allowed: bool = False
) -> tuple[PublishRecord, ObjectSet]:
    try:
        head = curio.run(read_config_head, context.platform, context.config.deployment)
        if head.config.version == 0:
            if empty_allowed:
                return head, ObjectSet()
            fail(ExitStatus.NOT_FOUND, "nothing was published")
        canonical = curio.run(context.platform.get_object, head.config.digest)
    except PlatformError as error:
        fail(ExitStatus.NOT_RUN, str(error))
    if canonical is None:
        fail(ExitStatus.NOT_FOUND, f"the object store lacks {head.config.digest}")
    match decode_object_set(canonical):
        case Result(tag="ok", ok=objects):
            return head, objects
        case Result(tag="error", error=cause):
            fail(ExitStatus.FAULTY, f"version {head.config.version}: {cause}")
    raise AssertionError("a result is either ok or an error")


def _describe_record(record: PublishRecord) -> dict[str, Any]:
    return {
        "version": record.config.version,
        "digest": record.config.digest,
        "author": record.author,
        "date": record.date,
        "publish_id": record.publish_id,
        "note": record.note,
    }


def _format_record(record: PublishRecord) -> str:
    note = f"  {record.note}" if record.note else ""
    return (
        f"version {record.config.version}  {record.date}  {record.author}  "
        f"{record.config.digest[:12]}  {record.publish_id}{note}"
    )
