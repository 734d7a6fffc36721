"""The decisions of one host: a reducer over events with effects as data."""

from endivedrift.reducer._attempts import may_still_send
from endivedrift.reducer._change_budget import compute_silence_limit
from endivedrift.reducer._discovery import list_registered_targets
from endivedrift.reducer._explaining import Explanation, explain_request
from endivedrift.reducer._quotas import describe_quotas, list_quota_counts
from endivedrift.reducer._reduce import reduce
from endivedrift.reducer._state import (
    CHANGE_LIMIT,
    HostState,
    QuotaCount,
    RequestState,
    StoreContact,
    build_host,
    is_primary,
    list_entry_hosts,
    list_primaries,
    list_readers,
    rank_service_hosts,
    resolve_entry_hosts,
)
from endivedrift.reducer._store_contact import describe_answer, is_store_answering

__all__ = [
    "CHANGE_LIMIT",
    "Explanation",
    "HostState",
    "QuotaCount",
    "RequestState",
    "StoreContact",
    "build_host",
    "compute_silence_limit",
    "describe_answer",
    "describe_quotas",
    "explain_request",
    "is_primary",
    "is_store_answering",
    "list_entry_hosts",
    "list_primaries",
    "list_quota_counts",
    "list_readers",
    "list_registered_targets",
    "may_still_send",
    "rank_service_hosts",
    "reduce",
    "resolve_entry_hosts",
]
