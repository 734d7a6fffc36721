"""Single HTTP requests, each over a new connection."""

from endivedrift.shell._exchange import ExchangeError, HttpReply, exchange

__all__ = ["ExchangeError", "HttpReply", "exchange"]
