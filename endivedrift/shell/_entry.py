"""Answers entry requests, with which callers discover the hosts that serve a service.

An entry answer lists the hosts in order of preference, states how long it may be cached, and may
hold idempotency keys that are minted for each host.
"""

import json
import secrets
from datetime import datetime, timedelta
from urllib.parse import parse_qs

from endivedrift.core import NO_CONFIG, Member, ServiceName
from endivedrift.policy import mint_key
from endivedrift.reducer import HostState, list_primaries, rank_service_hosts
from endivedrift.shell._answers import HttpAnswer

ENTRY_PATH = "/.well-known/endivedrift/entry"
MAX_KEYS_PER_HOST = 16
NONCE_BYTES = 12


def answer_entry(state: HostState, wall: datetime, query: str, max_age: timedelta) -> HttpAnswer:
    """Answers an entry request.

    Args:
      state: State of the host.
      wall: Current wall-clock time, for the expiry of minted keys.
      query: `service=NAME`, and optionally `keys=COUNT` for the number of keys for each host.
      max_age: Time for which the answer may be cached.
    Returns:
      A JSON object with the ranked hosts, or one with a title that describes the error.
    """
    fields = parse_qs(query)
    service = ServiceName(fields.get("service", [""])[0])
    count_text = fields.get("keys", ["0"])[0]
    if state.config == NO_CONFIG:
        return _answer_json(503, {"title": "this host has no configuration yet"}, 0.0)
    if service not in state.services:
        return _answer_json(404, {"title": "unknown service", "service": service}, 0.0)
    if not count_text.isascii() or not count_text.isdigit() or len(count_text) > 3:
        return _answer_json(400, {"title": "keys must be a whole number"}, 0.0)
    count = min(int(count_text), MAX_KEYS_PER_HOST)
    members = list(rank_service_hosts(state, service))
    body = {
        "service": service,
        "max_age_s": max_age.total_seconds(),
        "hosts": [
            _describe_host(state, m, wall, count)
            for m in _rotate_primaries(state, service, members)
        ],
    }
    return _answer_json(200, body, max_age.total_seconds())


def _rotate_primaries(
    state: HostState, service: ServiceName, members: list[Member]
) -> list[Member]:
    """Rotates the primaries by a random offset, so that callers spread their requests."""
    primary_count = len(list_primaries(state, service))
    if primary_count < 2:
        return members
    offset = secrets.randbelow(primary_count)
    return members[offset:primary_count] + members[:offset] + members[primary_count:]


def _describe_host(
    state: HostState, member: Member, wall: datetime, count: int
) -> dict[str, object]:
    keys = [
        mint_key(
            state.keys.secret,
            member.host,
            member.incarnation,
            wall,
            secrets.token_hex(NONCE_BYTES),
        )
        for _ in range(count)
    ]
    return {
        "address": member.caller_address,
        "host": member.host,
        "failure_domain": member.failure_domain,
        "keys": keys,
    }


def _answer_json(status: int, body: dict[str, object], max_age_s: float) -> HttpAnswer:
    cache = f"max-age={int(max_age_s)}".encode() if max_age_s else b"no-store"
    headers = ((b"content-type", b"application/json"), (b"cache-control", cache))
    return HttpAnswer(status, headers, json.dumps(body).encode())
