"""The running decisions of a host, for loops that feed them."""

from endivedrift.shell._log import make_logger
from endivedrift.shell._peers import draw_period
from endivedrift.shell._runtime import Runtime

__all__ = ["Runtime", "draw_period", "make_logger"]
