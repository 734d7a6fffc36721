"""The runtime of a host, for loops that send events to it."""

from endivedrift.shell._log import make_logger
from endivedrift.shell._peers import jitter_period
from endivedrift.shell._runtime import Runtime

__all__ = ["Runtime", "jitter_period", "make_logger"]
