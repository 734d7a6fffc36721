"""The decisions of one host: a reducer over events with effects as data."""

from endivedrift.reducer._discovery import describe_targets
from endivedrift.reducer._reduce import reduce
from endivedrift.reducer._state import (
    HostState,
    RequestState,
    build_host,
    list_entry_hosts,
    list_named_hosts,
    list_primaries,
    list_readers,
    rank_service_hosts,
)

__all__ = [
    "HostState",
    "RequestState",
    "build_host",
    "describe_targets",
    "list_entry_hosts",
    "list_named_hosts",
    "list_primaries",
    "list_readers",
    "rank_service_hosts",
    "reduce",
]
