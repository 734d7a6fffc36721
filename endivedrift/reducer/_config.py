"""Object sets come into force: whole or not at all, and never an older one."""

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
from endivedrift.policy import ServiceState, build_service, pop_waiting, restore_floor
from endivedrift.reducer._attempts import end_refused
from endivedrift.reducer._discovery import place_discovered
from endivedrift.reducer._state import HostState
from endivedrift.reducer._targets import apply_host_list

FETCH_RETRY = timedelta(milliseconds=500)
FETCH_PEERS = 3
REJECTED_RETRY = timedelta(seconds=10)
PEER_WAIT = timedelta(seconds=1)
STORE_WAIT = timedelta(seconds=3)


def want_config(
    state: HostState, at: Instant, config: ConfigRef, source: Address = Address("")
) -> list[Effect]:
    """Takes note of an accepted object set and fetches it where it is newer.

    Args:
      state: The host.
      at: Present time.
      config: The set.
      source: Peer that has it in force, or the empty address.
    Returns:
      The fetch, or an audit entry for two sets with one version.
    """
    if config.version < state.newest_config.version:
        return []
    if config.version == state.newest_config.version:
        if config.digest == state.newest_config.digest:
            return []
        cause = f"version {config.version} also names the set {config.digest[:12]}; kept ours"
        return [RecordAudit(AuditEntry(at, AuditKind.CONFIG_REJECTED, "head", cause))]
    state.newest_config = config
    return _fetch(state, at, source) if _may_start(state, at) else []


def retry_fetch(state: HostState, at: Instant) -> list[Effect]:
    """Fetches the newest object set again where the last fetch failed."""
    missing = state.newest_config.version > state.config.version
    if not missing or state.fetching is not None or at < state.next_fetch:
        return []
    if not _may_start(state, at):
        return []
    return _fetch(state, at, Address(""))


def fail_fetch(state: HostState, event: ConfigFetchFailed) -> list[Effect]:
    """Notes that an object set could not be read."""
    if state.fetching == event.config:
        state.fetching = None
        state.next_fetch = event.at + FETCH_RETRY
    return []


def apply_config(state: HostState, event: ConfigFetched) -> list[Effect]:
    """Puts an object set in force where it is newer than the present one.

    Args:
      state: The host.
      event: The bytes of the set, whose digest the shell has checked.
    Returns:
      Audit entries, and the effects on requests that waited under the earlier set.
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
            state.next_fetch = event.at + REJECTED_RETRY
            return [RecordAudit(entry)]
    raise AssertionError("a result is either ok or an error")


def _install(state: HostState, event: ConfigFetched, objects: ObjectSet) -> list[Effect]:
    previous = state.services
    before = state.config.version
    state.config = event.config
    if event.config.version > state.newest_config.version:
        state.newest_config = event.config
    state.next_update = event.at
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
    state.callers.clear()
    state.dealt.clear()
    if state.phase is HostPhase.STARTING:
        state.phase = HostPhase.SERVING
        mark_serving(state.membership)
    cause = f"version {event.config.version} replaces {before}, digest {event.config.digest[:12]}"
    entry = AuditEntry(event.at, AuditKind.CONFIG_APPLIED, "objects", cause)
    effects: list[Effect] = [RecordAudit(entry)]
    effects += apply_host_list(state, event.at)
    for discovered in state.discovered.values():
        effects += [RecordAudit(e) for e in place_discovered(state, discovered, event.at)]
    for service in state.services.values():
        effects += [RecordAudit(entry) for entry in restore_floor(service, event.at)]
    for name, service in previous.items():
        if name not in state.services:
            effects += _end_removed(state, service, event.at)
    return effects


def _end_removed(state: HostState, service: ServiceState, at: Instant) -> list[Effect]:
    effects: list[Effect] = []
    while (waiting := pop_waiting(service)) is not None:
        if waiting.request in state.requests:
            detail = "the service was removed"
            reason = RefusalReason.NO_TARGET
            effects += end_refused(state, at, waiting.request, reason, detail, timedelta(0))
    return effects


def _may_start(state: HostState, at: Instant) -> bool:
    """Tells whether a host that has just started has asked enough to know the newest object set.

    It waits for the table service and for one other host, since either may be behind, but not for
    long: the store may be down and the host may be alone.
    """
    if state.config != NO_CONFIG:
        return True
    if state.started is None:
        return False
    running = at - state.started
    heard = any(record.last_heard is not None for record in state.membership.records.values())
    return running >= STORE_WAIT or (state.head_seen and (heard or running >= PEER_WAIT))


def _fetch(state: HostState, at: Instant, source: Address) -> list[Effect]:
    state.fetching = state.newest_config
    state.next_fetch = at + FETCH_RETRY
    alive = [
        record.member.peer_address
        for record in state.membership.records.values()
        if record.member.status is MemberStatus.ALIVE and record.member.peer_address != source
    ]
    chosen = state.random.sample(alive, min(FETCH_PEERS, len(alive)))
    peers = ([source] if source else []) + chosen
    return [FetchConfig(state.newest_config, tuple(peers))]
