"""Runs one host on the platform: `python -m endivedrift.platform`."""

import signal
import sys


def main() -> int:
    """Runs the command.

    A host reads its settings whole at its start, so a signal to read them again says nothing before
    it listens to signals. By default it would end the process during the imports.

    Returns:
      Exit status of the command.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from endivedrift.platform._command import run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
