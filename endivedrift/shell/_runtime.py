"""Sends events to the reducer and performs its effects.

Effects on one request are posted to the mailbox of that request, from which the task that serves
it takes them. All other effects are performed immediately or in a separate task.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import singledispatch

import curio

from endivedrift.core import (
    Address,
    AuditKind,
    Clock,
    HostId,
    PeerMessage,
    RequestId,
    TimestampedAuditEntry,
)
from endivedrift.core.effects import (
    AbandonRequest,
    AbortAttempt,
    AskStore,
    ClaimKey,
    CountOvertakenRead,
    DeliverAnswer,
    Effect,
    FetchConfig,
    FetchTargets,
    ForwardToOwner,
    ForwardToPeer,
    ObserveChanges,
    QueueRequest,
    RecordAudit,
    RefuseRequest,
    RequestEffect,
    SendPeerMessage,
    SendToTarget,
    SetStoreReading,
    StartHedge,
)
from endivedrift.core.events import AttemptFinished, Event
from endivedrift.reducer import HostState, reduce
from endivedrift.shell._log import make_logger
from endivedrift.shell._metrics import Metrics

MAX_AUDIT_ENTRIES = 5_000

_log = make_logger("reducer")


@dataclass(slots=True)
class Mailbox:
    """Pending effects of one request.

    Attributes:
      effects: Effects that the task has not taken yet.
      ready: Set when an effect was posted.
      task: Task that serves the request; it is cancelled when the request is abandoned.
      must_answer: Whether the task returns a result even if it is cancelled.
      attempts: Attempts at targets made so far.
      peers: Hosts to which the request was forwarded for want of a path to targets.
    """

    effects: deque[RequestEffect] = field(default_factory=deque)
    ready: curio.Event = field(default_factory=curio.Event)
    task: curio.Task | None = None
    must_answer: bool = False
    attempts: list[AttemptFinished] = field(default_factory=list)
    peers: list[HostId] = field(default_factory=list)

    async def take(self) -> RequestEffect:
        """Removes the next effect and returns it, after waiting for it if there is none."""
        while not self.effects:
            self.ready.clear()
            await self.ready.wait()
        return self.effects.popleft()


class Runtime:
    """Runs the reducer of one host.

    The callables for datagrams, fetches and store reading do nothing until they are replaced by
    the parts of the host that implement them.
    """

    def __init__(self, state: HostState, clock: Clock, metrics: Metrics) -> None:
        """Creates a runtime for the state of a host."""
        self.state = state
        self.clock = clock
        self.metrics = metrics
        self.audit: deque[TimestampedAuditEntry] = deque(maxlen=MAX_AUDIT_ENTRIES)
        self.mailboxes: dict[RequestId, Mailbox] = {}
        self.send_datagram: Callable[[Address, PeerMessage], None] = _ignore_datagram
        self.fetch_config: Callable[[FetchConfig], Awaitable[None]] = _ignore_fetch
        self.fetch_targets: Callable[[FetchTargets], Awaitable[None]] = _ignore_fetch
        self.ask_store: Callable[[AskStore], Awaitable[None]] = _ignore_fetch
        self.set_store_reading: Callable[[bool], Awaitable[None]] = _ignore_store_reading
        self._request_count = 0

    def new_request_id(self) -> RequestId:
        """Returns a request id that is unique in the fleet."""
        self._request_count += 1
        identity = self.state.identity
        return RequestId(f"{identity.host}-{identity.incarnation:x}-{self._request_count}")

    async def dispatch(self, event: Event) -> None:
        """Applies an event to the state and performs the resulting effects."""
        for effect in reduce(self.state, event):
            await _perform(effect, self)


@singledispatch
async def _perform(effect: Effect, runtime: Runtime) -> None:
    raise TypeError(f"no handler for the effect {type(effect).__name__}")


async def _post_to_mailbox(effect: RequestEffect, runtime: Runtime) -> None:
    mailbox = runtime.mailboxes.get(effect.request)
    if mailbox is None:
        return
    mailbox.effects.append(effect)
    if not mailbox.ready.is_set():
        await mailbox.ready.set()


for _effect_type in (
    SendToTarget,
    StartHedge,
    AbortAttempt,
    QueueRequest,
    DeliverAnswer,
    RefuseRequest,
    ClaimKey,
    ForwardToOwner,
    ForwardToPeer,
):
    _perform.register(_effect_type)(_post_to_mailbox)


@_perform.register
async def _(effect: AbandonRequest, runtime: Runtime) -> None:
    mailbox = runtime.mailboxes.get(effect.request)
    if mailbox is not None and mailbox.task is not None:
        await mailbox.task.cancel(blocking=False)


@_perform.register
async def _(effect: SendPeerMessage, runtime: Runtime) -> None:
    runtime.send_datagram(effect.address, effect.message)


@_perform.register
async def _(effect: FetchConfig, runtime: Runtime) -> None:
    await curio.spawn(runtime.fetch_config(effect), daemon=True)


@_perform.register
async def _(effect: FetchTargets, runtime: Runtime) -> None:
    await curio.spawn(runtime.fetch_targets(effect), daemon=True)


@_perform.register
async def _(effect: AskStore, runtime: Runtime) -> None:
    await curio.spawn(runtime.ask_store(effect), daemon=True)


@_perform.register
async def _(effect: SetStoreReading, runtime: Runtime) -> None:
    await runtime.set_store_reading(effect.enabled)


@_perform.register
async def _(effect: RecordAudit, runtime: Runtime) -> None:
    entry = effect.entry
    runtime.audit.append(TimestampedAuditEntry(runtime.clock.wall(), entry))
    runtime.metrics.count_audit(entry)
    write = _log.debug if entry.kind is AuditKind.REFUSED else _log.info
    write(
        entry.kind.value.replace("-", " ").capitalize() + ".",
        subject=entry.subject,
        service=entry.service,
        request=entry.request,
        cause=entry.cause,
    )


@_perform.register
async def _(effect: ObserveChanges, runtime: Runtime) -> None:
    runtime.metrics.observe_changes(effect.source, effect.age)


@_perform.register
async def _(effect: CountOvertakenRead, runtime: Runtime) -> None:
    runtime.metrics.overtaken_reads += 1


def _ignore_datagram(address: Address, message: PeerMessage) -> None:
    """Drops a datagram; used until the peer sockets are open."""


async def _ignore_store_reading(reading: bool) -> None:
    """Does nothing; used where every host reads the store itself."""


async def _ignore_fetch(effect: FetchConfig | FetchTargets | AskStore) -> None:
    """Fetches nothing; used until the peer sockets are open, and where there is no store."""
