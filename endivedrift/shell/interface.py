"""What an adapter of a platform builds on: HTTP conventions, and a server for its questions."""

from endivedrift.shell._answers import HttpAnswer
from endivedrift.shell._conventions import HttpConventions
from endivedrift.shell._http import parse_endpoint
from endivedrift.shell._plain_server import SimpleHttpServer

__all__ = ["HttpAnswer", "HttpConventions", "SimpleHttpServer", "parse_endpoint"]
