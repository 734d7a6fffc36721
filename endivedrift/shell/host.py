"""Runs a host."""

from endivedrift.shell._daemon import run_daemon
from endivedrift.shell._log import configure_logs
from endivedrift.shell._surroundings import Install, OwnSurroundings, Surroundings

__all__ = ["Install", "OwnSurroundings", "Surroundings", "configure_logs", "run_daemon"]
