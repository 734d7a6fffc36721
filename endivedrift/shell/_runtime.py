"""Feeds events to the reducer and carries out its effects.

Effects that concern one request go to that request's mailbox, where the task that serves the
caller takes them. All others are carried out at once or by a task of their own.
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
    PeerMessage,
    RequestId,
    TimestampedAuditEntry,
)
from endivedrift.core.effects import (
    AbandonRequest,
    AbortAttempt,
    ClaimKey,
    DeliverAnswer,
    Effect,
    FetchConfig,
    FetchTargets,
    ForwardToOwner,
    QueueRequest,
    RecordAudit,
    RefuseRequest,
    RequestEffect,
    SendPeerMessage,
    SendToTarget,
    SetStoreReading,
)
from endivedrift.core.events import AttemptFinished, Event
from endivedrift.reducer import HostState, reduce
from endivedrift.shell._log import make_logger
from endivedrift.shell._metrics import Metrics

AUDIT_LENGTH = 5_000

_log = make_logger("reducer")


@dataclass(slots=True)
class Mailbox:
    """Effects for one request, the task that may be cancelled, and the attempts made so far."""

    effects: deque[RequestEffect] = field(default_factory=deque)
    ready: curio.Event = field(default_factory=curio.Event)
    task: curio.Task | None = None
    attempts: list[AttemptFinished] = field(default_factory=list)

    async def take(self) -> RequestEffect:
        """Waits for the next effect."""
        while not self.effects:
            self.ready.clear()
            await self.ready.wait()
        return self.effects.popleft()


class Runtime:
    """The running decisions of one host."""

    def __init__(self, state: HostState, clock: Clock, metrics: Metrics) -> None:
        """Takes the state to run."""
        self.state = state
        self.clock = clock
        self.metrics = metrics
        self.audit: deque[TimestampedAuditEntry] = deque(maxlen=AUDIT_LENGTH)
        self.mailboxes: dict[RequestId, Mailbox] = {}
        self.send_datagram: Callable[[Address, PeerMessage], None] = _drop_datagram
        self.fetch_config: Callable[[FetchConfig], Awaitable[None]] = _fetch_nothing
        self.fetch_targets: Callable[[FetchTargets], Awaitable[None]] = _fetch_nothing
        self.set_store_reading: Callable[[bool], Awaitable[None]] = _read_always
        self._requests = 0

    def new_request_id(self) -> RequestId:
        """Returns an id that no other request of the fleet has."""
        self._requests += 1
        identity = self.state.identity
        return RequestId(f"{identity.host}-{identity.incarnation:x}-{self._requests}")

    async def dispatch(self, event: Event) -> None:
        """Applies an event and carries out its effects."""
        for effect in reduce(self.state, event):
            await _perform(effect, self)


@singledispatch
async def _perform(effect: Effect, runtime: Runtime) -> None:
    raise TypeError(f"no way to carry out {type(effect).__name__}")


async def _post(effect: RequestEffect, runtime: Runtime) -> None:
    mailbox = runtime.mailboxes.get(effect.request)
    if mailbox is None:
        return
    mailbox.effects.append(effect)
    if not mailbox.ready.is_set():
        await mailbox.ready.set()


for _kind in (
    SendToTarget,
    AbortAttempt,
    QueueRequest,
    DeliverAnswer,
    RefuseRequest,
    ClaimKey,
    ForwardToOwner,
):
    _perform.register(_kind)(_post)


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


def _drop_datagram(address: Address, message: PeerMessage) -> None:
    """Stands in until the peer socket is open."""


async def _read_always(reading: bool) -> None:
    """Stands in where each host reads the store for itself."""


async def _fetch_nothing(effect: FetchConfig | FetchTargets) -> None:
    """Stands in until the peer socket is open."""
