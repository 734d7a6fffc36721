"""Turns HTTP requests into what the decisions and the targets need."""

import hashlib
from datetime import timedelta

import h11

from endivedrift.core import CallerName, Headers, IdempotencyKey, RequestHead
from endivedrift.policy import MAX_KEY_LENGTH
from endivedrift.shell._conventions import HttpConventions
from endivedrift.shell._http import find_header, strip_hop_headers
from endivedrift.shell._targets import TargetRequest

FINGERPRINT_BYTES = 16
MAX_PATIENCE_MS = 600_000
MAX_PATIENCE_DIGITS = 6


class HeaderError(ValueError):
    """A header has a value that cannot be used."""


def fingerprint_request(caller: CallerName | None, request: TargetRequest) -> bytes:
    """Returns a digest that tells two requests under one key apart."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (
        (caller or "").encode(),
        request.method.encode(),
        request.target,
        request.body,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def read_head(
    dialect: HttpConventions, headers: Headers, target_request: TargetRequest
) -> RequestHead:
    """Reads what the decisions need to know.

    Args:
      dialect: Names of the headers.
      headers: The headers as the caller sent them.
      target_request: The request as it will be sent to a target.
    Returns:
      The head.
    Raises:
      HeaderError: If the deadline or the idempotency key cannot be used.
    """
    caller = find_header(headers, dialect.caller_header) if dialect.caller_header else None
    key = find_header(headers, dialect.key_header) if dialect.key_header else None
    account = CallerName(caller.decode("latin-1")) if caller else None
    return RequestHead(
        method=target_request.method,
        path=target_request.target.decode("ascii").partition("?")[0],
        host=read_host(headers),
        caller=account,
        key=_read_key(key) if key is not None else None,
        fingerprint=fingerprint_request(account, target_request) if key is not None else b"",
        caller_timeout=_read_patience(dialect, find_header(headers, dialect.deadline_header)),
    )


def read_host(headers: Headers) -> str:
    """Returns the host that a request names, in lower case and without a port."""
    value = (find_header(headers, b"host") or b"").decode("latin-1").strip().lower()
    name, separator, port = value.rpartition(":")
    return name if separator and port.isdigit() else value


def build_target_request(
    dialect: HttpConventions, request: h11.Request, headers: Headers, body: bytes
) -> TargetRequest:
    """Builds the request that is sent to a target."""
    replaced = dialect.set_headers
    kept = tuple(pair for pair in strip_hop_headers(headers) if pair[0] not in replaced)
    return TargetRequest(request.method.decode("ascii"), bytes(request.target), kept, body)


def _read_key(value: bytes) -> IdempotencyKey:
    text = value.decode("latin-1").strip().strip('"')
    if not text or len(text) > MAX_KEY_LENGTH or not text.isascii() or not text.isprintable():
        raise HeaderError(f"Idempotency-Key must be 1 to {MAX_KEY_LENGTH} printable characters")
    return IdempotencyKey(text)


def _read_patience(dialect: HttpConventions, value: bytes | None) -> timedelta | None:
    if value is None:
        return None
    digits = value if value.isdigit() and len(value) <= MAX_PATIENCE_DIGITS else b"0"
    if not 0 < int(digits) <= MAX_PATIENCE_MS:
        if not dialect.rejects_invalid_deadlines:
            return None
        name = dialect.deadline_header.decode().title()
        raise HeaderError(f"{name} must be a whole number of milliseconds")
    return timedelta(milliseconds=int(value))
