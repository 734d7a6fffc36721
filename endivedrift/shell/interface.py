"""What a platform adapter builds on: HTTP conventions, sockets, and a server for requests."""

from endivedrift.shell._answers import HttpAnswer
from endivedrift.shell._conventions import HttpConventions
from endivedrift.shell._http import AnswerBounds, parse_endpoint
from endivedrift.shell._simple_http_server import SimpleHttpServer
from endivedrift.shell._sockets import Socket, open_stream_socket

__all__ = [
    "AnswerBounds",
    "HttpAnswer",
    "HttpConventions",
    "SimpleHttpServer",
    "Socket",
    "open_stream_socket",
    "parse_endpoint",
]
