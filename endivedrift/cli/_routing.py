"""The command `route`: asks hosts where a request would go now, and why."""

import sys
from pathlib import Path
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
from endivedrift.objects import digest_account_key

STANDARD_INPUT = "-"
COMPARED_FIELDS = ("config_version", "route", "account", "decision")
"""Fields in which hosts must not differ. Their first choices may differ: hosts choose among equal
targets at random, and prefer those of their own failure domain."""


def route(
    config: ConfigOption,
    method: Annotated[str, typer.Argument(help="HTTP method.")],
    path: Annotated[str, typer.Argument(help="Path of the request.")],
    host_name: Annotated[str, typer.Option(help="Name in the Host header.")] = "",
    account: Annotated[str, typer.Option(help="Name of the caller account.")] = "",
    key_file: Annotated[
        str, typer.Option(help="File with the key of the account, or - for standard input.")
    ] = "",
    deadline_ms: Annotated[int, typer.Option(help="Time for which the caller waits.")] = 0,
    all_hosts: Annotated[bool, typer.Option("--all", help="Ask all hosts.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Shows where a request would go now, and why; sends, charges and changes nothing.

    Example: endivedrift route GET /rooms/7 --host-name rooms.example --account agency -c tool.toml

    Exit status: 0 if the request would be sent, queued or forwarded, 2 for faults in the
    arguments, 4 if no host answers, 7 if it would be refused, 8 if hosts disagree.
    """
    context = load_context(config)
    if not context.config.host:
        fail(ExitStatus.FAULTY, "the configuration names no host")
    if account and key_file:
        fail(ExitStatus.FAULTY, "an account and a key exclude one another")
    query = {"method": method.upper(), "path": path, "host": host_name}
    if account:
        query["account"] = account
    if key_file:
        query["key_digest"] = digest_account_key(_read_key(key_file))
    if deadline_ms:
        query["deadline_ms"] = str(deadline_ms)
    seed = Address(context.config.host)
    hosts = curio.run(find_hosts, seed) if all_hosts else [seed]
    reports = curio.run(ask_hosts, hosts, f"/route?{urlencode(query)}")
    bodies = [report.body for report in reports if report.body is not None]
    if not bodies:
        fail(ExitStatus.NOT_RUN, "no host answers, or the request is not valid")
    differences = find_differences(bodies)
    if as_json:
        answers = {report.address: report.body for report in reports}
        print_json({"hosts": answers, "disagreements": differences})
    else:
        for report in reports:
            for line in format_report(report):
                typer.echo(line)
        if differences:
            typer.echo(f"hosts disagree: {'; '.join(differences)}")
    if differences:
        raise typer.Exit(ExitStatus.DISAGREE)
    if bodies[0]["decision"] == "refuse":
        raise typer.Exit(ExitStatus.REFUSED)


def find_differences(bodies: list[dict[str, Any]]) -> list[str]:
    """Describes each field in which the answers of hosts differ."""
    differences = []
    for field in (*COMPARED_FIELDS, "refusal"):
        values = {body["host"]: _get_compared(body, field) for body in bodies}
        if len(set(values.values())) > 1:
            shown = ", ".join(f"{value} at {host}" for host, value in sorted(values.items()))
            differences.append(f"{field}: {shown}")
    return differences


def format_report(report: HostReport) -> list[str]:
    """Returns the lines that show the answer of one host."""
    body = report.body
    if body is None:
        return [f"{report.address}  no answer"]
    age = f", {body['config_age_s']:.0f} s old" if body["config_age_s"] is not None else ""
    store = "" if body["store_available"] else ", the store does not answer"
    lines = [
        f"{body['host']}  version {body['config_version']}{age}{store}",
        f"  route     {body['route'] or 'none'}, service {body['service'] or 'none'}",
    ]
    lines += [f"    not     {other['route']}: {other['cause']}" for other in body["other_routes"]]
    lines.append(f"  account   {body['account'] or 'none'}{_format_quota(body['quota'])}")
    lines.append(f"  decision  {_format_decision(body)}")
    if body["targets"]:
        lines.append(
            f"  {'target':<16}{'state':<12}{'domain':<10}{'in flight':>9}{'room':>6}"
            f"{'evidence':>10}{'rank':>6}{'load':>6}  out for"
        )
    lines += [_format_target(target) for target in body["targets"]]
    return lines


def _get_compared(body: dict[str, Any], field: str) -> Any:
    value = body[field]
    return value["reason"] if isinstance(value, dict) else value


def _format_quota(quota: dict[str, Any] | None) -> str:
    if quota is None:
        return ""
    if not quota["requests_per_s"]:
        return ", no quota"
    left = f", {quota['tokens']} left at this host" if quota["tokens"] is not None else ""
    return f", {quota['requests_per_s']:g} requests/s, burst {quota['burst']}{left}"


def _format_decision(body: dict[str, Any]) -> str:
    refusal = body["refusal"]
    if refusal is not None:
        retry = refusal["retry_after_ms"]
        when = f"; Retry-After {retry} ms" if retry is not None else ""
        return f"refuse, {refusal['reason']}: {refusal['detail']}{when}"
    places = body["choices"] or body["forward_to"]
    return f"{body['decision']} {', then '.join(places)}".strip()


def _format_target(target: dict[str, Any]) -> str:
    names = {"paused_s": "paused", "avoided_s": "avoided", "held_s": "held"}
    out = ", ".join(f"{name} {target[f]:g} s" for f, name in names.items() if target[f])
    return (
        f"  {target['target']:<16}{target['state']:<12}{target['failure_domain']:<10}"
        f"{target['in_flight']:>9}{'yes' if target['has_room'] else 'no':>6}"
        f"{target['score']:>10.2f}{target['rank']:>6g}{target['load']:>6g}  {out}"
    ).rstrip()


def _read_key(source: str) -> bytes:
    """Reads a key; nothing of it is ever printed."""
    try:
        is_piped = source == STANDARD_INPUT
        data = sys.stdin.buffer.read() if is_piped else Path(source).read_bytes()
    except OSError as error:
        fail(ExitStatus.FAULTY, f"the key cannot be read: {error.strerror}")
    key = data.strip()
    if not key:
        fail(ExitStatus.FAULTY, "the key is empty")
    return key
