"""Runs one host on the platform: `python -m endivedrift.platform`."""

import signal
import sys


def main() -> int:
    """Runs the command.

    SIGHUP asks a host to reload its settings. A host that is still starting reads them anyway, so
    the signal is ignored until the host handles signals itself. The default action would end the
    process during the imports.

    Returns:
      Exit status of the command.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from endivedrift.platform._command import run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
