"""Encodes and authenticates the messages between hosts.

Messages are Cap'n Proto structures from `peer.capnp`. Each is preceded by a keyed BLAKE2 digest;
messages of senders that do not have the fleet's key are rejected.
"""

import hashlib
import hmac
import math
import zlib
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache
from pathlib import Path
from typing import Any, TypeAlias

import capnp

from endivedrift.core import (
    ANY_VERSION,
    MAX_SLOTS,
    NO_RATE_LIMIT,
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
    ProcessId,
    QuotaReport,
    QuotaStatus,
    RateLimitReport,
    Refusal,
    RefusalReason,
    RequestDigest,
    ServiceName,
    StoreAnswer,
    StoreUpdate,
    SuspectReport,
    TargetEnd,
    TargetEntry,
    TargetName,
    Verdict,
    Version,
)
from endivedrift.objects import check_address
from endivedrift.shell._http import MAX_FINAL_STATUS, MIN_FINAL_STATUS
from endivedrift.shell._packing import check_packed

MAC_BYTES = 16
MAX_DATAGRAM_BYTES = 8_192
MAX_LIST_LENGTH = 1_024
MAX_DURATION = timedelta(days=365)
MAX_VERSION = 2**62
MAX_INCARNATION = 2**63
MAX_REFUTATIONS = 2**31
"""Greatest numbers that are accepted. A host that refutes a report counts on from its number, which
must still fit its field."""
MAX_POWER_CORES = 1e6
MAX_COUNT = 2**53
"""Greatest count that is accepted: all smaller ones are exact as floating-point numbers."""
MICROSECOND = timedelta(microseconds=1)
MAX_DIGEST_BYTES = 64
MAX_CONFIG_BYTES = 64 * 1024 * 1024
NO_TIME_MICROS = -1

_UNREADABLE = (
    capnp.KjException,
    ValueError,
    KeyError,
    OverflowError,
    AttributeError,
    RuntimeError,
)
"""Exceptions of decoding a message that is no message of the schema, or whose values have no
meaning. pycapnp reports the number of an unknown enumerant or union member as an AttributeError and
a missing part as a RuntimeError."""

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request that is forwarded to another host.

    That host owns the request's idempotency key, or serves it for a host that reaches no target or
    has no retry left, and has made `earlier_attempts` attempts. `key` is None in the second case.
    """

    owner: HostId
    incarnation: Incarnation
    method: str
    target: str
    headers: Headers
    body: bytes
    caller: CallerName | None
    key: IdempotencyKey | None
    timeout: timedelta
    for_peer: bool = False
    earlier_attempts: int = 0
    config_version: Version = ANY_VERSION
    takes_retry: bool = False


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """The result of a forwarded request.

    Attributes:
      result: The answer or refusal.
      leaving: Processes that stated on attempts of the request that they are shutting down.
    """

    result: Answer | Refusal
    leaving: tuple[ProcessId, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigQuery:
    """A query for the object set with the given digest."""

    digest: Digest


@dataclass(frozen=True, slots=True)
class ConfigBytes:
    """The canonical bytes of an object set."""

    canonical: bytes


@dataclass(frozen=True, slots=True)
class TargetsQuery:
    """A query for the registered targets."""


@dataclass(frozen=True, slots=True)
class KnownTargets:
    """The registered targets, as known at a version of the store."""

    entries: tuple[TargetEntry, ...]
    version: int = 0


@dataclass(frozen=True, slots=True)
class NotFound:
    """The peer does not have the requested data."""


Call: TypeAlias = ForwardedRequest | ConfigQuery | TargetsQuery
Reply: TypeAlias = ForwardReply | ConfigBytes | KnownTargets | NotFound


def compute_mac(secret: bytes, *parts: bytes) -> bytes:
    """Returns the keyed digest of the parts, each of which is preceded by its length."""
    mac = hashlib.blake2b(key=secret[: hashlib.blake2b.MAX_KEY_SIZE], digest_size=MAC_BYTES)
    for part in parts:
        mac.update(len(part).to_bytes(8, "big"))
        mac.update(part)
    return mac.digest()


def verify_mac(secret: bytes, mac: bytes, *parts: bytes) -> bool:
    """Tells whether `mac` is the keyed digest of the parts."""
    return hmac.compare_digest(mac, compute_mac(secret, *parts))


def encode_datagram(secret: bytes, message: PeerMessage) -> bytes:
    """Encodes a message as an authenticated datagram."""
    body = _encode_message(message)
    return compute_mac(secret, body) + body


def decode_datagram(secret: bytes, datagram: bytes) -> PeerMessage | None:
    """Verifies and decodes a datagram.

    Args:
      secret: Key of the fleet.
      datagram: Bytes as received.
    Returns:
      The message, or None if the datagram is not authentic or cannot be decoded.
    """
    mac, body = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if len(datagram) <= MAC_BYTES or not verify_mac(secret, mac, body):
        return None
    try:
        check_packed(body)
        return _decode_message(_schema.Datagram.from_bytes_packed(body))
    except _UNREADABLE:
        return None


def encode_call(call: Call) -> bytes:
    """Encodes a call to another host."""
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
    forward.key = call.key or ""
    forward.forPeer = call.for_peer
    forward.earlierAttempts = call.earlier_attempts
    forward.configVersion = call.config_version
    forward.takesRetry = call.takes_retry
    forward.patienceMicros = max(0, call.timeout // MICROSECOND)
    return message.to_bytes()


def decode_call(body: bytes) -> Call | None:
    """Decodes a call, or returns None if it cannot be decoded."""
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
                key=None if forward.forPeer else IdempotencyKey(forward.key),
                timeout=_get_duration(forward.patienceMicros),
                for_peer=forward.forPeer,
                earlier_attempts=forward.earlierAttempts,
                config_version=Version(forward.configVersion),
                takes_retry=forward.takesRetry,
            )
    except _UNREADABLE:
        return None


def encode_reply(reply: Reply) -> bytes:
    """Encodes the reply to a call."""
    message = _schema.Reply.new_message()
    if isinstance(reply, ForwardReply):
        _set_result(message, reply.result)
        leaving = message.init("leaving", len(reply.leaving))
        for struct, process in zip(leaving, reply.leaving, strict=True):
            struct.target = process.name
            struct.born = process.started_ms
    elif isinstance(reply, ConfigBytes):
        message.config = _compress(reply.canonical)
    elif isinstance(reply, KnownTargets):
        known = message.init("targets")
        known.version = reply.version
        structs = known.init("entries", len(reply.entries))
        for struct, entry in zip(structs, reply.entries, strict=True):
            _set_target(struct, entry)
    else:
        message.nothing = None
    return message.to_bytes()


def _set_result(message: Any, result: Answer | Refusal) -> None:
    if isinstance(result, Answer):
        answer = message.init("answer")
        answer.status = result.status
        _set_headers(answer, result.headers)
        answer.body = result.body
        return
    refusal = message.init("refusal")
    refusal.reason = result.reason.value
    refusal.mayHaveRun = result.verdict is Verdict.MAY_HAVE_RUN
    refusal.attemptMayHaveRun = result.attempt_verdict is Verdict.MAY_HAVE_RUN
    refusal.retryAfterMicros = _count_micros(result.retry_after)
    refusal.detail = result.detail


def decode_reply(body: bytes) -> Reply | None:
    """Decodes the reply to a call, or returns None if it cannot be decoded."""
    try:
        with _schema.Reply.from_bytes(body) as reply:
            match reply.which():
                case "answer":
                    answer = reply.answer
                    status = _get_status(answer.status)
                    decoded = Answer(status, _get_headers(answer), bytes(answer.body))
                    return ForwardReply(decoded, _get_leaving(reply))
                case "refusal":
                    return ForwardReply(_decode_refusal(reply.refusal), _get_leaving(reply))
                case "config":
                    return ConfigBytes(_decompress(bytes(reply.config)))
                case "targets":
                    known = reply.targets
                    entries = tuple(_get_target(struct) for struct in known.entries)
                    return KnownTargets(entries, _get_version(known.version))
            return NotFound()
    except (*_UNREADABLE, zlib.error):
        return None


@lru_cache(maxsize=2)
def _compress(canonical: bytes) -> bytes:
    """Compresses an object set; cached, since many hosts fetch the same one within a second."""
    return zlib.compress(canonical, zlib.Z_BEST_SPEED)


def _decompress(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    canonical = decompressor.decompress(compressed, MAX_CONFIG_BYTES)
    if not decompressor.eof:
        raise ValueError("the object set is truncated or too large")
    return canonical


def _encode_message(message: PeerMessage) -> bytes:
    datagram = _schema.Datagram.new_message()
    datagram.kind = message.kind.value
    _set_member(datagram.init("sender"), message.sender)
    datagram.sequence = message.sequence
    datagram.probe = message.probe_number
    datagram.subject = message.subject
    datagram.heardSubject = message.heard_subject
    datagram.configVersion = message.config.version
    datagram.configDigest = message.config.digest
    members = datagram.init("members", len(message.members))
    for struct, member in zip(members, message.members, strict=True):
        _set_member(struct, member)
    evidence = datagram.init("evidence", len(message.evidence))
    for struct, delta in zip(evidence, message.evidence, strict=True):
        struct.service = delta.service
        struct.target = delta.target
        struct.good = delta.good
        struct.bad = delta.bad
        struct.leaving = delta.leaving
        struct.running = delta.running
        struct.paused = delta.paused
        struct.leavingBorn = delta.leaving_started_ms
    suspects = datagram.init("suspects", len(message.suspects))
    for struct, report in zip(suspects, message.suspects, strict=True):
        _set_suspect(struct, report)
    rate_limits = datagram.init("rateLimits", len(message.rate_limits))
    for struct, limit in zip(rate_limits, message.rate_limits, strict=True):
        _set_rate_limit(struct, limit)
    quotas = datagram.init("quotas", len(message.quotas))
    for struct, quota in zip(quotas, message.quotas, strict=True):
        _set_quota(struct, quota)
    statuses = datagram.init("quotaStatuses", len(message.quota_statuses))
    for struct, status in zip(statuses, message.quota_statuses, strict=True):
        _set_quota_status(struct, status)
    if message.store_update is not None:
        _set_store_update(datagram.init("storeUpdate"), message.store_update)
    return datagram.to_bytes_packed()


def _decode_message(datagram: Any) -> PeerMessage:
    return PeerMessage(
        kind=MessageKind(str(datagram.kind)),
        sender=_get_member(datagram.sender),
        sequence=datagram.sequence,
        probe_number=datagram.probe,
        subject=HostId(datagram.subject),
        heard_subject=datagram.heardSubject,
        config=ConfigRef(_get_version(datagram.configVersion), Digest(datagram.configDigest)),
        members=tuple(_get_member(member) for member in _get_bounded(datagram.members)),
        evidence=tuple(
            EvidenceDelta(
                ServiceName(delta.service),
                TargetName(delta.target),
                delta.good,
                delta.bad,
                delta.leaving,
                delta.running,
                delta.paused,
                delta.leavingBorn,
            )
            for delta in _get_bounded(datagram.evidence)
        ),
        store_update=(
            _get_store_update(datagram.storeUpdate) if datagram._has("storeUpdate") else None
        ),
        suspects=tuple(_get_suspect(report) for report in _get_bounded(datagram.suspects)),
        rate_limits=tuple(_get_rate_limit(limit) for limit in _get_bounded(datagram.rateLimits)),
        quotas=tuple(_get_quota(quota) for quota in _get_bounded(datagram.quotas)),
        quota_statuses=tuple(
            _get_quota_status(status) for status in _get_bounded(datagram.quotaStatuses)
        ),
    )


def _set_store_update(struct: Any, update: StoreUpdate) -> None:
    struct.version = update.version
    struct.since = update.since
    struct.regainedMicros = _count_micros(update.answering_for)
    struct.answeredMicros = _count_micros(update.answered_age)
    entries = struct.init("entries", len(update.entries))
    for target, entry in zip(entries, update.entries, strict=True):
        _set_target(target, entry)
    struct.gone = list(update.gone)
    struct.isQuestion = update.is_question
    if update.answer is not None:
        answer = struct.init("answer")
        answer.ageMicros = update.answer.age // MICROSECOND
        answer.source = update.answer.source
        answer.number = update.answer.number
        answer.targetsVersion = update.answer.targets_version
        answer.configVersion = update.answer.config_version


def _get_store_update(struct: Any) -> StoreUpdate:
    return StoreUpdate(
        version=_get_version(struct.version),
        since=_get_version(struct.since),
        answering_for=_get_optional_duration(struct.regainedMicros),
        answered_age=_get_optional_duration(struct.answeredMicros),
        entries=tuple(_get_target(target) for target in _get_bounded(struct.entries)),
        gone=tuple(TargetName(name) for name in _get_bounded(struct.gone)),
        answer=_get_store_answer(struct.answer) if struct._has("answer") else None,
        is_question=struct.isQuestion,
    )


def _get_store_answer(struct: Any) -> StoreAnswer:
    return StoreAnswer(
        age=_get_duration(struct.ageMicros),
        source=HostId(struct.source),
        number=struct.number,
        targets_version=_get_version(struct.targetsVersion),
        config_version=_get_version(struct.configVersion),
    )


def _set_suspect(struct: Any, report: SuspectReport) -> None:
    struct.digest = report.digest
    ends = struct.init("ends", len(report.ends))
    for target, end in zip(ends, report.ends, strict=True):
        target.target = end.target
        target.born = end.started_ms
        target.ageMicros = end.age // MICROSECOND
    struct.answerAgeMicros = _count_micros(report.answer_age)


def _get_suspect(struct: Any) -> SuspectReport:
    digest = bytes(struct.digest)
    if not 0 < len(digest) <= MAX_DIGEST_BYTES:
        raise ValueError("the digest of a request is empty or too long")
    return SuspectReport(
        digest=RequestDigest(digest),
        ends=tuple(
            TargetEnd(TargetName(end.target), end.born, _get_duration(end.ageMicros))
            for end in _get_bounded(struct.ends)
        ),
        answer_age=_get_optional_duration(struct.answerAgeMicros),
    )


def _set_rate_limit(struct: Any, report: RateLimitReport) -> None:
    struct.service = report.service
    struct.target = report.target
    struct.born = report.started_ms
    struct.requestsPerS = report.requests_per_s
    struct.ageMicros = report.age // MICROSECOND
    struct.demandPerS = report.demand_per_s


def _get_rate_limit(struct: Any) -> RateLimitReport:
    rate, demand = struct.requestsPerS, struct.demandPerS
    if not (0.0 <= rate <= MAX_COUNT or rate == NO_RATE_LIMIT) or not 0.0 <= demand <= MAX_COUNT:
        raise ValueError("a rate is out of bounds")
    return RateLimitReport(
        service=ServiceName(struct.service),
        target=TargetName(struct.target),
        started_ms=struct.born,
        requests_per_s=rate,
        age=_get_duration(struct.ageMicros),
        demand_per_s=demand,
    )


def _set_quota(struct: Any, report: QuotaReport) -> None:
    struct.account = report.account
    struct.epoch = report.epoch
    struct.admitted = report.admitted
    struct.recent = report.recent
    struct.arrived = report.arrived
    struct.part = report.part
    struct.tokens = math.nan if report.tokens is None else report.tokens


def _get_quota(struct: Any) -> QuotaReport:
    if max(struct.admitted, struct.arrived) > MAX_COUNT or not 0.0 <= struct.part <= 1.0:
        raise ValueError("a count or the part of a quota is out of bounds")
    tokens = None if math.isnan(struct.tokens) else struct.tokens
    if tokens is not None and not abs(tokens) <= MAX_COUNT:
        raise ValueError("the tokens of a quota are out of bounds")
    return QuotaReport(
        account=CallerName(struct.account),
        epoch=struct.epoch,
        admitted=struct.admitted,
        recent=struct.recent,
        arrived=struct.arrived,
        part=struct.part,
        tokens=tokens,
    )


def _set_quota_status(struct: Any, status: QuotaStatus) -> None:
    struct.account = status.account
    struct.epoch = status.epoch
    struct.admitted = status.admitted
    struct.tokens = status.tokens
    struct.demand = status.demand
    struct.requestsPerS = status.requests_per_s
    struct.certain = status.certain


def _get_quota_status(struct: Any) -> QuotaStatus:
    if struct.admitted > MAX_COUNT or not abs(struct.tokens) <= MAX_COUNT:
        raise ValueError("the count or the tokens of a quota are out of bounds")
    if not 0.0 <= min(struct.demand, struct.requestsPerS) <= MAX_COUNT:
        raise ValueError("the demand of a quota is out of bounds")
    return QuotaStatus(
        account=CallerName(struct.account),
        epoch=struct.epoch,
        admitted=struct.admitted,
        tokens=struct.tokens,
        demand=struct.demand,
        requests_per_s=struct.requestsPerS,
        certain=struct.certain,
    )


def _set_member(struct: Any, member: Member) -> None:
    struct.host = member.host
    struct.incarnation = member.incarnation
    struct.counter = member.refutations
    struct.status = int(member.status)
    struct.failureDomain = member.failure_domain
    struct.callerAddress = member.caller_address
    struct.peerAddress = member.peer_address
    struct.operatorAddress = member.operator_address
    struct.power = member.power


def _get_member(struct: Any) -> Member:
    if not 0.0 < struct.power <= MAX_POWER_CORES:
        raise ValueError("the power is out of bounds")
    if struct.incarnation > MAX_INCARNATION or struct.counter > MAX_REFUTATIONS:
        raise ValueError("the incarnation or its counter is out of bounds")
    return Member(
        host=HostId(struct.host),
        incarnation=Incarnation(struct.incarnation),
        refutations=struct.counter,
        status=MemberStatus(struct.status),
        failure_domain=FailureDomain(struct.failureDomain),
        caller_address=_get_address(struct.callerAddress),
        peer_address=_get_address(struct.peerAddress),
        operator_address=_get_address(struct.operatorAddress),
        power=struct.power,
    )


def _get_bounded(items: Any) -> Any:
    """Returns a list of a datagram, unless it is longer than any host sends.

    The packed encoding compresses zeros, so a small datagram can hold a list of a million items.
    """
    if len(items) > MAX_LIST_LENGTH:
        raise ValueError("a list is too long")
    return items


def _get_version(number: int) -> Version:
    if number > MAX_VERSION:
        raise ValueError("the version is out of bounds")
    return Version(number)


def _get_status(status: int) -> int:
    """Checks the status of an answer, which must be a final one."""
    if not MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS:
        raise ValueError("the status is out of bounds")
    return status


def _get_duration(micros: int) -> timedelta:
    if not 0 <= micros <= MAX_DURATION // MICROSECOND:
        raise ValueError("the duration is out of bounds")
    return micros * MICROSECOND


def _get_optional_duration(micros: int) -> timedelta | None:
    return None if micros == NO_TIME_MICROS else _get_duration(micros)


def _count_micros(duration: timedelta | None) -> int:
    return NO_TIME_MICROS if duration is None else duration // MICROSECOND


@lru_cache(maxsize=8_192)
def _get_address(text: str) -> Address:
    """Checks an address, which is empty in messages to hosts that know it."""
    return Address(check_address(text) if text else "")


def _set_target(struct: Any, entry: TargetEntry) -> None:
    struct.name = entry.name
    struct.service = entry.service
    struct.address = entry.address
    struct.failureDomain = entry.failure_domain
    struct.slots = entry.slots
    struct.leaving = entry.leaving
    struct.warmUpMicros = entry.warm_up_left // MICROSECOND
    struct.born = entry.started_ms


def _get_target(struct: Any) -> TargetEntry:
    if not struct.address or not 0 < struct.slots <= MAX_SLOTS:
        raise ValueError("the target has no address or no valid number of slots")
    return TargetEntry(
        name=TargetName(struct.name),
        service=ServiceName(struct.service),
        address=_get_address(struct.address),
        failure_domain=FailureDomain(struct.failureDomain),
        slots=struct.slots,
        leaving=struct.leaving,
        warm_up_left=_get_duration(struct.warmUpMicros),
        started_ms=struct.born,
    )


def _set_headers(struct: Any, headers: Headers) -> None:
    entries = struct.init("headers", len(headers))
    for entry, (name, value) in zip(entries, headers, strict=True):
        entry.name = name
        entry.value = value


def _get_headers(struct: Any) -> Headers:
    return tuple((bytes(entry.name), bytes(entry.value)) for entry in struct.headers)


def _get_leaving(reply: Any) -> tuple[ProcessId, ...]:
    return tuple(
        ProcessId(TargetName(struct.target), struct.born) for struct in _get_bounded(reply.leaving)
    )


def _decode_refusal(struct: Any) -> Refusal:
    verdicts = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN)
    return Refusal(
        reason=RefusalReason(struct.reason),
        verdict=verdicts[struct.mayHaveRun],
        attempt_verdict=verdicts[struct.attemptMayHaveRun],
        retry_after=_get_optional_duration(struct.retryAfterMicros),
        detail=struct.detail,
    )
