"""Runs a host."""

from endivedrift.shell._daemon import run_daemon
from endivedrift.shell._log import configure_logs

__all__ = ["configure_logs", "run_daemon"]
