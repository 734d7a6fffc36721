"""Commands that query running hosts: status and explain."""

from typing import Annotated, Any
from urllib.parse import urlencode

import curio
import typer

from endivedrift.cli._context import (
    ConfigOption,
    ExitStatus,
    JsonOption,
    fail,
    load_context,
    print_json,
)
from endivedrift.cli._hosts import HostReport, ask_hosts, find_hosts
from endivedrift.core import Address


def status(config: ConfigOption, as_json: JsonOption = False) -> None:
    """Shows all hosts, the version in force at each, and targets that are not healthy.

    Example: endivedrift status -c tool.toml

    Exit status: 0, 4 if no host answers.
    """
    reports = _ask_fleet(config, "/state")
    if as_json:
        print_json({report.address: report.body for report in reports})
        return
    for report in reports:
        for line in _format_host(report):
            typer.echo(line)


def explain(
    config: ConfigOption,
    subject: Annotated[str, typer.Argument(help="Name of a service, or id of a request.")],
    target: Annotated[str, typer.Argument(help="Name of a target of the service.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Shows from the audit trails of running hosts what was decided and why.

    Examples: endivedrift explain availability availability-3 -c tool.toml;
    endivedrift explain rabat-a-1-65f0c3-17 -c tool.toml

    Exit status: 0, 4 if no host answers, 6 if no host has a matching entry.
    """
    query = {"service": subject, **({"subject": target} if target else {})}
    reports = _ask_fleet(config, f"/audit?{urlencode(query)}")
    entries = _merge_entries(reports)
    if not entries and not target:
        entries = _merge_entries(_ask_fleet(config, f"/audit?{urlencode({'request': subject})}"))
    if not entries:
        fail(ExitStatus.NOT_FOUND, "no host has an entry on it")
    if as_json:
        print_json({"entries": entries})
        return
    for entry in entries:
        typer.echo(
            f"{entry['date']}  {entry['host']}  {entry['kind']}  {entry['subject']}: "
            f"{entry['cause']}"
        )


def _ask_fleet(config: Any, path: str) -> list[HostReport]:
    context = load_context(config)
    if not context.config.host:
        fail(ExitStatus.FAULTY, "the configuration names no host")
    hosts = curio.run(find_hosts, Address(context.config.host))
    reports = curio.run(ask_hosts, hosts, path)
    if all(report.body is None for report in reports):
        fail(ExitStatus.NOT_RUN, "no host answers")
    return reports


def _merge_entries(reports: list[HostReport]) -> list[dict[str, Any]]:
    merged = [
        {**entry, "host": report.address}
        for report in reports
        if report.body is not None
        for entry in report.body["entries"]
    ]
    return sorted(merged, key=lambda entry: entry["date"])


def _format_host(report: HostReport) -> list[str]:
    body = report.body
    if body is None:
        return [f"{report.address}  no answer"]
    lines = [
        f"{report.address}  {body['host']}  {body['failure_domain']}  {body['phase']}  "
        f"version {body['config_version']}  {len(body['members'])} members"
    ]
    for name, service in body["services"].items():
        for target, record in service["targets"].items():
            if record["state"] != "healthy":
                lines.append(f"    {name} {target}: {record['state']}")
    return lines
