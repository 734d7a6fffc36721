"""What a platform adapter builds on: HTTP conventions, and a server for the platform's requests."""

from endivedrift.shell._answers import HttpAnswer
from endivedrift.shell._conventions import HttpConventions
from endivedrift.shell._http import parse_endpoint
from endivedrift.shell._simple_http_server import SimpleHttpServer

__all__ = ["HttpAnswer", "HttpConventions", "SimpleHttpServer", "parse_endpoint"]
