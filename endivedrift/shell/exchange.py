"""One HTTP exchange over a connection of its own."""

from endivedrift.shell._exchange import ExchangeError, HttpReply, exchange

__all__ = ["ExchangeError", "HttpReply", "exchange"]
