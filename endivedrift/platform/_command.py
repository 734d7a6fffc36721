"""The command that runs one host on the platform."""

import os
import sys
from pathlib import Path

from endivedrift.platform._environment import read_environment
from endivedrift.platform._values import WireError
from endivedrift.shell.host import configure_logs, run_daemon

NODE_FILE_VARIABLE = "ENDIVEDRIFT_NODE_FILE"
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3


def run_command() -> int:
    """Runs the host until it is asked to stop.

    Returns:
      Exit status: 0 after a graceful stop, 2 for faulty settings, 3 for an address in use.
    """
    path = os.environ.get(NODE_FILE_VARIABLE)
    if path is None:
        print(f"settings: the variable {NODE_FILE_VARIABLE} is not set", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        node, surroundings = read_environment(Path(path))
    except WireError as error:
        print(f"settings: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    configure_logs(node.settings.log)
    try:
        run_daemon(node.settings, surroundings)
    except OSError as error:
        print(f"daemon: cannot listen: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    return 0
