"""Describes the state of a host as JSON values for operators."""

from typing import Any

from endivedrift.core import Instant
from endivedrift.fleet import HEARD_WINDOW, MemberRecord
from endivedrift.policy import Quarantine, ServiceState, compute_quarantine_end
from endivedrift.reducer import (
    StoreContact,
    describe_answer,
    describe_quotas,
    list_primaries,
)
from endivedrift.shell._runtime import Runtime


def describe_state(runtime: Runtime) -> dict[str, Any]:
    """Returns the phase, object set, members, services and targets of a host as JSON values."""
    state = runtime.state
    now = runtime.clock.monotonic()
    me = state.membership.me
    return {
        "host": me.host,
        "incarnation": f"{me.incarnation:x}",
        "failure_domain": me.failure_domain,
        "phase": state.phase.value,
        "config_version": state.config.version,
        "config_digest": state.config.digest,
        "wanted_version": state.newest_config.version,
        "requests": len(state.requests),
        "loop_lag_ms": round(state.overload.lasting_lag.total_seconds() * 1000.0, 1),
        "admitted_share": round(state.overload.admitted_share, 3),
        "keys": len(state.keys.records),
        "store": _describe_store(state.store, now),
        "quotas": describe_quotas(state, now),
        "quarantined": _describe_quarantine(state.quarantine, now),
        "members": [_describe_member(record, now) for record in state.membership.records.values()],
        "services": {
            name: {
                **_describe_service(service),
                "entry_hosts": [member.host for member in list_primaries(state, name)],
            }
            for name, service in state.services.items()
        },
    }


def _describe_store(contact: StoreContact, now: Instant) -> dict[str, Any]:
    """Describes as of when the store is known, by whose question, and since when it answers."""
    answer = describe_answer(contact, now)
    return {
        "answer_age_s": round(answer.age.total_seconds(), 3) if answer is not None else None,
        "answered_host": answer.source if answer is not None else None,
        "answering_for_s": (
            round((now - contact.answering_since).total_seconds(), 3)
            if contact.answered_at is not None
            else None
        ),
        "failed_questions": contact.failure_count,
    }


def _describe_quarantine(quarantine: Quarantine, now: Instant) -> dict[str, Any]:
    """Returns the quarantined requests by digest, with the targets that ended under each."""
    described = {}
    for digest, suspect in quarantine.suspects.items():
        until = compute_quarantine_end(quarantine, digest, now)
        if until is not None:
            described[digest.hex()] = {
                "ended": [end.target for end in suspect.list_counted_ends()],
                "seconds_left": round((until - now).total_seconds(), 1),
            }
    return described


def _describe_member(record: MemberRecord, now: Instant) -> dict[str, Any]:
    member = record.member
    heard = record.last_heard is not None and now - record.last_heard < HEARD_WINDOW
    return {
        "host": member.host,
        "incarnation": f"{member.incarnation:x}",
        "status": member.status.name.lower(),
        "failure_domain": member.failure_domain,
        "caller_address": member.caller_address,
        "operator_address": member.operator_address,
        "we_hear_it": heard,
        "it_hears_us": record.hears_us,
    }


def _describe_service(service: ServiceState) -> dict[str, Any]:
    return {
        "queued": service.queued_count,
        "typical_ms": round(service.typical_latency.total_seconds() * 1000.0, 2),
        "usual_bad_rate": round(service.usual_bad_rate, 4),
        "threshold": round(service.threshold, 2),
        "floor": service.floor,
        "healthy": service.healthy_count,
        "targets": {
            name: {
                "state": record.state.value,
                "address": record.target.address,
                "in_progress": len(record.attempts),
                "own_score": round(record.own_score, 2),
                "shared_score": round(record.shared_score, 2),
                "own_bad_rate": round(record.own_bad_rate, 4),
            }
            for name, record in service.targets.items()
        },
    }
