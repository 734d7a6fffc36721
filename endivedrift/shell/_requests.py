"""Converts HTTP requests into the head that the reducer needs and the request sent to a target."""

import hashlib
from datetime import timedelta

import h11

from endivedrift.core import (
    AccountKeyDigest,
    CallerName,
    Headers,
    IdempotencyKey,
    RequestDigest,
    RequestHead,
)
from endivedrift.fleet import RouteTable
from endivedrift.objects import MAX_DURATION_MS, digest_account_key
from endivedrift.policy import MAX_KEY_LENGTH
from endivedrift.shell._conventions import HttpConventions
from endivedrift.shell._http import find_header, strip_hop_headers
from endivedrift.shell._targets import TargetRequest

FINGERPRINT_BYTES = 16
MAX_CALLER_TIMEOUT_MS = MAX_DURATION_MS
"""Longest time for which a caller is taken to wait; one that states more waits as long."""
MAX_CALLER_TIMEOUT_DIGITS = 20


class HeaderError(ValueError):
    """A header of a request has an invalid value."""


def fingerprint_request(caller: CallerName | None, request: TargetRequest) -> bytes:
    """Returns a digest that detects a different request with the same idempotency key."""
    return _digest_parts(
        (caller or "").encode(), request.method.encode(), request.target, request.body
    )


def digest_request(host: str, caller: CallerName | None, request: TargetRequest) -> RequestDigest:
    """Returns a digest that is the same each time a caller sends the same request to a host name.

    Headers are left out, since some of them differ each time.
    """
    return RequestDigest(
        _digest_parts(
            host.encode(),
            (caller or "").encode(),
            request.method.encode(),
            request.target,
            request.body,
        )
    )


def _digest_parts(*parts: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def read_head(
    conventions: HttpConventions,
    headers: Headers,
    target_request: TargetRequest,
    routes: RouteTable,
) -> RequestHead:
    """Builds the head of a request, which holds what the reducer needs to know.

    Args:
      conventions: Names of the headers.
      headers: The headers as the caller sent them.
      target_request: The request as it will be sent to a target.
      routes: Routes and caller accounts in force.
    Returns:
      The head.
    Raises:
      HeaderError: If the deadline or the idempotency key is invalid.
    """
    account_key = _read_account_key(conventions, headers)
    account = _identify_caller(conventions, headers, account_key, routes)
    key = find_header(headers, conventions.key_header) if conventions.key_header else None
    host = read_host(headers)
    return RequestHead(
        method=target_request.method,
        path=target_request.target.decode("ascii").partition("?")[0],
        host=host,
        caller=account,
        account_key=account_key,
        key=_read_key(key) if key is not None else None,
        fingerprint=fingerprint_request(account, target_request) if key is not None else b"",
        caller_timeout=_read_caller_timeout(
            conventions, find_header(headers, conventions.deadline_header)
        ),
        digest=digest_request(host, account, target_request),
        body_bytes=len(target_request.body),
    )


def identify_account(
    conventions: HttpConventions, headers: Headers, routes: RouteTable
) -> CallerName | None:
    """Returns the account of a request, or None if it has none."""
    account_key = _read_account_key(conventions, headers)
    return _identify_caller(conventions, headers, account_key, routes)


def read_host(headers: Headers) -> str:
    """Returns the name in the Host header, in lower case and without a port."""
    value = (find_header(headers, b"host") or b"").decode("latin-1").strip().lower()
    name, separator, port = value.rpartition(":")
    return name if separator and port.isdigit() else value


def build_target_request(
    conventions: HttpConventions,
    request: h11.Request,
    headers: Headers,
    body: bytes,
    has_accounts: bool,
) -> TargetRequest:
    """Builds the request that is sent to a target.

    Names with underscores in place of hyphens are treated alike, since some applications cannot
    tell them apart. Without caller accounts, the header of their keys has no meaning here and is
    passed on like any other.
    """
    replaced = conventions.replaced_headers
    if has_accounts and conventions.account_key_header is not None:
        replaced |= {conventions.account_key_header}
    kept = tuple(
        pair
        for pair in strip_hop_headers(headers)
        if pair[0] not in replaced and pair[0].replace(b"_", b"-") not in replaced
    )
    return TargetRequest(request.method.decode("ascii"), bytes(request.target), kept, body)


def _read_account_key(conventions: HttpConventions, headers: Headers) -> AccountKeyDigest | None:
    """Returns the digest of the account key, or None if there is none or more than one."""
    name = conventions.account_key_header
    values = [value for key, value in headers if key == name]
    return digest_account_key(values[0]) if len(values) == 1 and values[0] else None


def _identify_caller(
    conventions: HttpConventions,
    headers: Headers,
    account_key: AccountKeyDigest | None,
    routes: RouteTable,
) -> CallerName | None:
    """Returns the account that holds the key, or that the request may name without one."""
    if account_key is not None and account_key in routes.accounts:
        return routes.accounts[account_key]
    if not conventions.trusts_caller_header or conventions.caller_header is None:
        return None
    named = find_header(headers, conventions.caller_header)
    caller = CallerName(named.decode("latin-1")) if named else None
    return caller if caller not in routes.keyed_callers else None


def _read_key(value: bytes) -> IdempotencyKey:
    text = value.decode("latin-1").strip().strip('"')
    if not text or len(text) > MAX_KEY_LENGTH or not text.isascii() or not text.isprintable():
        raise HeaderError(f"Idempotency-Key must be 1 to {MAX_KEY_LENGTH} printable characters")
    return IdempotencyKey(text)


def _read_caller_timeout(conventions: HttpConventions, value: bytes | None) -> timedelta | None:
    if value is None:
        return None
    digits = value if value.isdigit() and len(value) <= MAX_CALLER_TIMEOUT_DIGITS else b"0"
    if not int(digits):
        if not conventions.rejects_invalid_deadlines:
            return None
        name = conventions.deadline_header.decode().title()
        raise HeaderError(f"{name} must be a whole number of milliseconds")
    return timedelta(milliseconds=min(int(digits), MAX_CALLER_TIMEOUT_MS))
