"""The command that runs one host on the platform.

It reads the settings file that the platform names in an environment variable, and runs the daemon
in a `PlatformEnvironment`.
"""

import os
import sys
from pathlib import Path

from endivedrift.platform._environment import read_environment
from endivedrift.platform._values import WireError
from endivedrift.shell.host import ListenError, configure_logs, run_daemon

NODE_FILE_VARIABLE = "ENDIVEDRIFT_NODE_FILE"
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3


def run_command() -> int:
    """Runs the host until it is told to stop.

    Returns:
      Exit status: 0 after a graceful stop, 2 for invalid settings, 3 for an address in use.
    """
    path = os.environ.get(NODE_FILE_VARIABLE)
    if path is None:
        print(f"settings: the variable {NODE_FILE_VARIABLE} is not set", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        node_file, environment = read_environment(Path(path))
    except WireError as error:
        print(f"settings: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    configure_logs(node_file.settings.log)
    try:
        run_daemon(node_file.settings, environment)
    except ListenError as error:
        print(f"daemon: cannot listen: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    return 0
