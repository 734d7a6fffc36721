"""Puts object sets in force: each one completely or not at all, and never an older one.

A host learns of an accepted object set from the table service or from another host, fetches it by
its digest, and puts it in force if it is valid and newer than the present one.
"""

from datetime import timedelta

from expression import Result

from endivedrift.core import (
    NO_CONFIG,
    Address,
    AuditEntry,
    AuditKind,
    ConfigRef,
    HostPhase,
    Instant,
    MemberStatus,
    RefusalReason,
    ServiceName,
)
from endivedrift.core.effects import Effect, FetchConfig, RecordAudit
from endivedrift.core.events import ConfigFetched, ConfigFetchFailed
from endivedrift.fleet import build_routes, mark_serving
from endivedrift.objects import ObjectSet, decode_object_set
from endivedrift.policy import ServiceState, build_service, dequeue_request, restore_floor
from endivedrift.reducer._accounts import recheck_callers
from endivedrift.reducer._attempts import end_with_refusal
from endivedrift.reducer._discovery import place_registered_target
from endivedrift.reducer._quotas import forget_removed_quotas
from endivedrift.reducer._state import HostState
from endivedrift.reducer._targets import apply_machine_list

FETCH_RETRY_DELAY = timedelta(milliseconds=500)
FETCH_PEER_COUNT = 3
REJECTED_RETRY_DELAY = timedelta(seconds=10)
MAX_PEER_WAIT = timedelta(seconds=1)
MAX_STORE_WAIT = timedelta(seconds=3)


def note_accepted_config(
    state: HostState, at: Instant, config: ConfigRef, source: Address = Address("")
) -> list[Effect]:
    """Notes an accepted object set and fetches it if it is newer than all known ones.

    Args:
      state: The host.
      at: Current time.
      config: The set.
      source: Peer that has it in force, or the empty address.
    Returns:
      The fetch, or an audit entry if two sets have the same version.
    """
    if config.version < state.newest_config.version:
        return []
    if config.version == state.newest_config.version:
        if config.digest == state.newest_config.digest:
            return []
        cause = f"version {config.version} also names set {config.digest[:12]}, which is ignored"
        return [RecordAudit(AuditEntry(at, AuditKind.CONFIG_REJECTED, "head", cause))]
    state.newest_config = config
    state.newest_config_at = at
    return _fetch(state, at, source) if _may_fetch(state, at) else []


def retry_fetch(state: HostState, at: Instant) -> list[Effect]:
    """Fetches the newest object set if it is neither in force nor being fetched."""
    missing = state.newest_config.version > state.config.version
    if not missing or state.fetching is not None or at < state.next_fetch_at:
        return []
    if not _may_fetch(state, at):
        return []
    return _fetch(state, at, Address(""))


def record_failed_fetch(state: HostState, event: ConfigFetchFailed) -> list[Effect]:
    """Schedules a retry after an object set could not be fetched."""
    if state.fetching == event.config:
        state.fetching = None
        state.next_fetch_at = event.at + FETCH_RETRY_DELAY
    return []


def apply_config(state: HostState, event: ConfigFetched) -> list[Effect]:
    """Puts an object set in force if it is newer than the present one.

    Args:
      state: The host.
      event: The bytes of the set, whose digest the shell has verified.
    Returns:
      Audit entries, and the effects on requests that were queued under the previous set.
    """
    if state.fetching == event.config:
        state.fetching = None
    if event.config.version <= state.config.version:
        return []
    match decode_object_set(event.canonical):
        case Result(tag="ok", ok=objects):
            return _install(state, event, objects)
        case Result(tag="error", error=cause):
            text = f"version {event.config.version}: {cause}"
            entry = AuditEntry(event.at, AuditKind.CONFIG_REJECTED, "objects", text)
            state.next_fetch_at = event.at + REJECTED_RETRY_DELAY
            state.rejected_version = event.config.version
            return [RecordAudit(entry)]
    raise AssertionError("a result is either ok or an error")


def _install(state: HostState, event: ConfigFetched, objects: ObjectSet) -> list[Effect]:
    previous = state.services
    before = state.config.version
    state.config = event.config
    if event.config.version > state.newest_config.version:
        state.newest_config = event.config
        state.newest_config_at = None
    state.next_update_at = event.at
    state.objects = objects
    state.routes = build_routes(objects)
    state.membership.config = event.config
    state.services = {
        ServiceName(name): build_service(
            ServiceName(name), objects, previous.get(ServiceName(name)), event.at
        )
        for name in objects.service
    }
    state.active_services = set(state.services)
    forget_removed_quotas(state)
    for route in state.split_positions.keys() - objects.route.keys():
        del state.split_positions[route]
    if state.phase is HostPhase.STARTING:
        state.phase = HostPhase.SERVING
        mark_serving(state.membership)
    cause = (
        f"version {event.config.version} replaces {before}, digest {event.config.digest[:12]}, "
        + _describe_delay(state, event.at)
    )
    entry = AuditEntry(event.at, AuditKind.CONFIG_APPLIED, "objects", cause)
    effects: list[Effect] = [RecordAudit(entry)]
    effects += apply_machine_list(state, event.at)
    for discovered in state.discovered.values():
        effects += [RecordAudit(e) for e in place_registered_target(state, discovered, event.at)]
    for service in state.services.values():
        effects += [RecordAudit(entry) for entry in restore_floor(service, event.at)]
    for name, service in previous.items():
        if name not in state.services:
            effects += _refuse_queued_requests(state, service, event.at)
    return effects + recheck_callers(state, event.at)


def _describe_delay(state: HostState, at: Instant) -> str:
    """Describes how the set in force became known, and as of when the store is known."""
    named_at, as_of = state.newest_config_at, state.store.as_of
    learned = "read at the store"
    if named_at is not None:
        learned = f"named {(at - named_at).total_seconds():.2f} s before"
    if as_of is None:
        return learned
    return f"{learned}; latest answer of the store {(at - as_of).total_seconds():.2f} s old"


def _refuse_queued_requests(state: HostState, service: ServiceState, at: Instant) -> list[Effect]:
    effects: list[Effect] = []
    while (queued_request := dequeue_request(service)) is not None:
        if queued_request.request in state.requests:
            detail = "the service was removed"
            reason = RefusalReason.NO_TARGET
            effects += end_with_refusal(
                state, at, queued_request.request, reason, detail, timedelta(0)
            )
    return effects


def _may_fetch(state: HostState, at: Instant) -> bool:
    """Tells whether an object set may be fetched, which a host that has just started delays.

    It first waits for the table service and for one other host, since either may be behind. The
    wait is short, since the store may be down and there may be no other host.
    """
    if state.config != NO_CONFIG:
        return True
    if state.started_at is None:
        return False
    running = at - state.started_at
    heard = any(record.last_heard is not None for record in state.membership.records.values())
    return running >= MAX_STORE_WAIT or (
        state.has_read_head and (heard or running >= MAX_PEER_WAIT)
    )


def _fetch(state: HostState, at: Instant, source: Address) -> list[Effect]:
    state.fetching = state.newest_config
    state.next_fetch_at = at + FETCH_RETRY_DELAY
    alive = [
        record.member.peer_address
        for record in state.membership.records.values()
        if record.member.status is MemberStatus.ALIVE and record.member.peer_address != source
    ]
    chosen = state.random.sample(alive, min(FETCH_PEER_COUNT, len(alive)))
    peers = ([source] if source else []) + chosen
    return [FetchConfig(state.newest_config, tuple(peers))]
