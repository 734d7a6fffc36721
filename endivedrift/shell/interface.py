"""What an adapter of a platform builds on: the dialect, and a server for its questions."""

from endivedrift.shell._answers import HttpAnswer
from endivedrift.shell._dialect import Dialect
from endivedrift.shell._http import parse_endpoint
from endivedrift.shell._plain_server import PlainServer

__all__ = ["Dialect", "HttpAnswer", "PlainServer", "parse_endpoint"]
