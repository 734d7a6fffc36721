"""Runs a host in its environment."""

from endivedrift.shell._daemon import ListenError, run_daemon
from endivedrift.shell._environment import ConfigInstaller, DefaultEnvironment, HostEnvironment
from endivedrift.shell._log import configure_logs

__all__ = [
    "ConfigInstaller",
    "DefaultEnvironment",
    "HostEnvironment",
    "ListenError",
    "configure_logs",
    "run_daemon",
]
