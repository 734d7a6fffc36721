"""Encodes and authenticates the messages between hosts.

Messages are Cap'n Proto structures from `peer.capnp`. Each is preceded by a keyed BLAKE2 digest, so
that only hosts that share the fleet's key are listened to.
"""

import hashlib
import hmac
import zlib
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache
from pathlib import Path
from typing import Any, TypeAlias

import capnp

from endivedrift.core import (
    Address,
    Answer,
    CallerName,
    ConfigRef,
    Digest,
    EvidenceDelta,
    FailureDomain,
    Headers,
    HostId,
    IdempotencyKey,
    Incarnation,
    Member,
    MemberStatus,
    MessageKind,
    PeerMessage,
    Refusal,
    RefusalReason,
    ServiceName,
    StoreUpdate,
    TargetEntry,
    TargetName,
    Verdict,
    Version,
)

MAC_BYTES = 16
MAX_DATAGRAM_BYTES = 8_192
MICROSECOND = timedelta(microseconds=1)
MAX_CONFIG_BYTES = 64 * 1024 * 1024
NO_TIME = -1

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request passed on to the host that owns its key."""

    owner: HostId
    incarnation: Incarnation
    method: str
    target: str
    headers: Headers
    body: bytes
    caller: CallerName | None
    key: IdempotencyKey
    patience: timedelta


@dataclass(frozen=True, slots=True)
class ConfigQuery:
    """A question for the object set with a digest."""

    digest: Digest


@dataclass(frozen=True, slots=True)
class ConfigBytes:
    """The canonical bytes of an object set."""

    canonical: bytes


@dataclass(frozen=True, slots=True)
class TargetsQuery:
    """A question for the targets that registered themselves."""


@dataclass(frozen=True, slots=True)
class KnownTargets:
    """The targets that registered themselves, as known at a version of the store."""

    entries: tuple[TargetEntry, ...]
    version: int = 0


@dataclass(frozen=True, slots=True)
class Nothing:
    """The peer does not have what was asked for."""


Call: TypeAlias = ForwardedRequest | ConfigQuery | TargetsQuery
Reply: TypeAlias = Answer | Refusal | ConfigBytes | KnownTargets | Nothing


def compute_mac(secret: bytes, *parts: bytes) -> bytes:
    """Returns the keyed digest over the parts, each preceded by its length."""
    mac = hashlib.blake2b(key=secret[: hashlib.blake2b.MAX_KEY_SIZE], digest_size=MAC_BYTES)
    for part in parts:
        mac.update(len(part).to_bytes(8, "big"))
        mac.update(part)
    return mac.digest()


def check_mac(secret: bytes, mac: bytes, *parts: bytes) -> bool:
    """Tells whether `mac` is the keyed digest over the parts."""
    return hmac.compare_digest(mac, compute_mac(secret, *parts))


def encode_datagram(secret: bytes, message: PeerMessage) -> bytes:
    """Encodes a message as an authenticated datagram."""
    body = _encode_message(message)
    return compute_mac(secret, body) + body


def decode_datagram(secret: bytes, datagram: bytes) -> PeerMessage | None:
    """Decodes a datagram.

    Args:
      secret: Key of the fleet.
      datagram: Bytes as received.
    Returns:
      The message, or None where the datagram was not made with the key or cannot be read.
    """
    mac, body = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if len(datagram) <= MAC_BYTES or not check_mac(secret, mac, body):
        return None
    try:
        return _decode_message(_schema.Datagram.from_bytes_packed(body))
    except (capnp.KjException, ValueError, KeyError):
        return None


def encode_call(call: Call) -> bytes:
    """Encodes a call."""
    message = _schema.Call.new_message()
    if isinstance(call, ConfigQuery):
        message.fetchConfig = call.digest
        return message.to_bytes()
    if isinstance(call, TargetsQuery):
        message.fetchTargets = None
        return message.to_bytes()
    forward = message.init("forward")
    forward.owner = call.owner
    forward.incarnation = call.incarnation
    forward.method = call.method
    forward.target = call.target
    _set_headers(forward, call.headers)
    forward.body = call.body
    forward.caller = call.caller or ""
    forward.key = call.key
    forward.patienceMicros = max(0, call.patience // MICROSECOND)
    return message.to_bytes()


def decode_call(body: bytes) -> Call | None:
    """Decodes a call, or returns None where it cannot be read."""
    try:
        with _schema.Call.from_bytes(body) as call:
            if call.which() == "fetchConfig":
                return ConfigQuery(Digest(call.fetchConfig))
            if call.which() == "fetchTargets":
                return TargetsQuery()
            forward = call.forward
            return ForwardedRequest(
                owner=HostId(forward.owner),
                incarnation=Incarnation(forward.incarnation),
                method=forward.method,
                target=forward.target,
                headers=_get_headers(forward),
                body=bytes(forward.body),
                caller=CallerName(forward.caller) if forward.caller else None,
                key=IdempotencyKey(forward.key),
                patience=forward.patienceMicros * MICROSECOND,
            )
    except (capnp.KjException, ValueError, OverflowError):
        return None


def encode_reply(reply: Reply) -> bytes:
    """Encodes the reply to a call."""
    message = _schema.Reply.new_message()
    if isinstance(reply, Answer):
        answer = message.init("answer")
        answer.status = reply.status
        _set_headers(answer, reply.headers)
        answer.body = reply.body
    elif isinstance(reply, Refusal):
        refusal = message.init("refusal")
        refusal.reason = reply.reason.value
        refusal.mayHaveRun = reply.verdict is Verdict.MAY_HAVE_RUN
        refusal.attemptMayHaveRun = reply.attempt_verdict is Verdict.MAY_HAVE_RUN
        after = reply.retry_after
        refusal.retryAfterMicros = NO_TIME if after is None else after // MICROSECOND
        refusal.detail = reply.detail
    elif isinstance(reply, ConfigBytes):
        message.config = _compress(reply.canonical)
    elif isinstance(reply, KnownTargets):
        known = message.init("targets")
        known.version = reply.version
        slots = known.init("entries", len(reply.entries))
        for slot, entry in zip(slots, reply.entries, strict=True):
            _set_target(slot, entry)
    else:
        message.nothing = None
    return message.to_bytes()


def decode_reply(body: bytes) -> Reply | None:
    """Decodes the reply to a call, or returns None where it cannot be read."""
    try:
        with _schema.Reply.from_bytes(body) as reply:
            match reply.which():
                case "answer":
                    answer = reply.answer
                    return Answer(answer.status, _get_headers(answer), bytes(answer.body))
                case "refusal":
                    return _decode_refusal(reply.refusal)
                case "config":
                    return ConfigBytes(_decompress(bytes(reply.config)))
                case "targets":
                    known = reply.targets
                    entries = tuple(_get_target(slot) for slot in known.entries)
                    return KnownTargets(entries, known.version)
            return Nothing()
    except (capnp.KjException, ValueError, zlib.error):
        return None


@lru_cache(maxsize=2)
def _compress(canonical: bytes) -> bytes:
    """Compresses an object set; many hosts ask for the same one within a second."""
    return zlib.compress(canonical, zlib.Z_BEST_SPEED)


def _decompress(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    canonical = unpacker.decompress(packed, MAX_CONFIG_BYTES)
    if not unpacker.eof:
        raise ValueError("the object set is cut or too large")
    return canonical


def _encode_message(message: PeerMessage) -> bytes:
    built = _schema.Datagram.new_message()
    built.kind = message.kind.value
    _set_member(built.init("sender"), message.sender)
    built.sequence = message.sequence
    built.probe = message.probe_number
    built.subject = message.subject
    built.heardSubject = message.heard_subject
    built.configVersion = message.config.version
    built.configDigest = message.config.digest
    members = built.init("members", len(message.members))
    for slot, member in zip(members, message.members, strict=True):
        _set_member(slot, member)
    evidence = built.init("evidence", len(message.evidence))
    for slot, delta in zip(evidence, message.evidence, strict=True):
        slot.service = delta.service
        slot.target = delta.target
        slot.good = delta.good
        slot.bad = delta.bad
        slot.leaving = delta.leaving
        slot.running = delta.running
        slot.paused = delta.paused
    if message.store_update is not None:
        _set_store_update(built.init("storeUpdate"), message.store_update)
    return built.to_bytes_packed()


def _decode_message(built: Any) -> PeerMessage:
    return PeerMessage(
        kind=MessageKind(str(built.kind)),
        sender=_get_member(built.sender),
        sequence=built.sequence,
        probe_number=built.probe,
        subject=HostId(built.subject),
        heard_subject=built.heardSubject,
        config=ConfigRef(Version(built.configVersion), Digest(built.configDigest)),
        members=tuple(_get_member(member) for member in built.members),
        evidence=tuple(
            EvidenceDelta(
                ServiceName(delta.service),
                TargetName(delta.target),
                delta.good,
                delta.bad,
                delta.leaving,
                delta.running,
                delta.paused,
            )
            for delta in built.evidence
        ),
        store_update=_get_store_update(built.storeUpdate) if built._has("storeUpdate") else None,
    )


def _set_store_update(slot: Any, update: StoreUpdate) -> None:
    slot.version = update.version
    slot.since = update.since
    slot.regainedMicros = (
        NO_TIME if update.time_since_recovery is None else update.time_since_recovery // MICROSECOND
    )
    entries = slot.init("entries", len(update.entries))
    for target, entry in zip(entries, update.entries, strict=True):
        _set_target(target, entry)
    slot.gone = list(update.gone)


def _get_store_update(slot: Any) -> StoreUpdate:
    regained = slot.regainedMicros
    return StoreUpdate(
        version=slot.version,
        since=slot.since,
        time_since_recovery=None if regained == NO_TIME else regained * MICROSECOND,
        entries=tuple(_get_target(target) for target in slot.entries),
        gone=tuple(TargetName(name) for name in slot.gone),
    )


def _set_member(slot: Any, member: Member) -> None:
    slot.host = member.host
    slot.incarnation = member.incarnation
    slot.counter = member.refutations
    slot.status = int(member.status)
    slot.failureDomain = member.failure_domain
    slot.callerAddress = member.caller_address
    slot.peerAddress = member.peer_address
    slot.operatorAddress = member.operator_address
    slot.power = member.power


def _get_member(slot: Any) -> Member:
    return Member(
        host=HostId(slot.host),
        incarnation=Incarnation(slot.incarnation),
        refutations=slot.counter,
        status=MemberStatus(slot.status),
        failure_domain=FailureDomain(slot.failureDomain),
        caller_address=Address(slot.callerAddress),
        peer_address=Address(slot.peerAddress),
        operator_address=Address(slot.operatorAddress),
        power=slot.power,
    )


def _set_target(slot: Any, entry: TargetEntry) -> None:
    slot.name = entry.name
    slot.service = entry.service
    slot.address = entry.address
    slot.failureDomain = entry.failure_domain
    slot.slots = entry.slots
    slot.leaving = entry.leaving
    slot.warmUpMicros = entry.warm_up_left // MICROSECOND
    slot.born = entry.started_ms


def _get_target(slot: Any) -> TargetEntry:
    return TargetEntry(
        name=TargetName(slot.name),
        service=ServiceName(slot.service),
        address=Address(slot.address),
        failure_domain=FailureDomain(slot.failureDomain),
        slots=slot.slots,
        leaving=slot.leaving,
        warm_up_left=slot.warmUpMicros * MICROSECOND,
        started_ms=slot.born,
    )


def _set_headers(slot: Any, headers: Headers) -> None:
    entries = slot.init("headers", len(headers))
    for entry, (name, value) in zip(entries, headers, strict=True):
        entry.name = name
        entry.value = value


def _get_headers(slot: Any) -> Headers:
    return tuple((bytes(entry.name), bytes(entry.value)) for entry in slot.headers)


def _decode_refusal(slot: Any) -> Refusal:
    verdicts = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN)
    after = slot.retryAfterMicros
    return Refusal(
        reason=RefusalReason(slot.reason),
        verdict=verdicts[slot.mayHaveRun],
        attempt_verdict=verdicts[slot.attemptMayHaveRun],
        retry_after=None if after == NO_TIME else after * MICROSECOND,
        detail=slot.detail,
    )
