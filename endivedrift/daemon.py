"""The command `endivedriftd`: runs one host of the fleet."""

from pathlib import Path
from typing import Annotated

import typer
from expression import Result

from endivedrift.settings import read_settings
from endivedrift.shell.host import DefaultEnvironment, ListenError, configure_logs, run_daemon

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3

app = typer.Typer(add_completion=False)


@app.command()
def run(
    settings: Annotated[Path, typer.Option(help="TOML file with the settings of this host.")],
    check: Annotated[bool, typer.Option(help="Check the settings and exit.")] = False,
) -> None:
    """Runs one host until SIGTERM or SIGINT, which stop it gracefully.

    Exit status: 0 after a graceful stop, 2 for invalid settings, 3 for an address in use.
    """
    match read_settings(settings):
        case Result(tag="error", error=faults):
            for fault in faults:
                typer.echo(f"settings: {fault}", err=True)
            raise typer.Exit(EXIT_BAD_SETTINGS)
        case Result(tag="ok", ok=checked):
            if check:
                return
            configure_logs(checked.log)
            try:
                run_daemon(checked, DefaultEnvironment(checked))
            except ListenError as error:
                typer.echo(f"daemon: cannot listen: {error}", err=True)
                raise typer.Exit(EXIT_CANNOT_LISTEN) from None


def main() -> None:
    """Entry point of the console script."""
    app()


if __name__ == "__main__":
    main()
