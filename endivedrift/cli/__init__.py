"""Command-line tool of the operators: publishes object sets and queries running hosts."""

import typer

from endivedrift.cli._accounts import digest_key
from endivedrift.cli._publishing import check, diff, history, publish, show
from endivedrift.cli._routing import route
from endivedrift.cli._watching import explain, status

app = typer.Typer(help="Checks, publishes and explains the objects of an endivedrift fleet.")
for _command in (check, publish, show, diff, history, status, explain, route, digest_key):
    app.command()(_command)


def main() -> None:
    """Entry point of the console script."""
    app()
