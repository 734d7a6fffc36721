"""Runs one host from its start to its graceful shutdown."""

import gc
import os
import secrets
import signal
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

import curio

from endivedrift.core import (
    Address,
    Clock,
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    SystemClock,
)
from endivedrift.core.events import StopRequested, Ticked
from endivedrift.policy import TICK_PERIOD
from endivedrift.reducer import build_host
from endivedrift.settings import Settings
from endivedrift.shell._callers import CallerServer
from endivedrift.shell._environment import HostEnvironment
from endivedrift.shell._log import make_logger
from endivedrift.shell._memory import BodyMemory
from endivedrift.shell._metrics import Metrics
from endivedrift.shell._operators import OperatorServer
from endivedrift.shell._peers import PeerTransport
from endivedrift.shell._runtime import Runtime
from endivedrift.shell._serving import ServingContext, end_requests
from endivedrift.shell._signals import SignalInbox
from endivedrift.shell._targets import TargetPool

POOL_CLEANING_PERIOD = timedelta(seconds=5)
DRAIN_POLL_PERIOD = timedelta(milliseconds=50)
FLUSH_TIME = timedelta(milliseconds=200)
"""Time at the end of a stop in which the answers to requests that were still in progress are sent.
"""
INCARNATION_RANDOM_BITS = 20
EXIT_FAILED = 1
BYTES_PER_MB = 1_000_000

_log = make_logger("daemon")


class ListenError(Exception):
    """An address of the host cannot be used."""


def new_incarnation(clock: Clock) -> Incarnation:
    """Returns a unique incarnation that is greater than those of earlier processes of the host.

    The upper bits are the time in milliseconds; the random lower bits tell apart two processes that
    start in the same millisecond.
    """
    milliseconds = int(clock.wall().timestamp() * 1000.0)
    return Incarnation(
        (milliseconds << INCARNATION_RANDOM_BITS) | secrets.randbits(INCARNATION_RANDOM_BITS)
    )


def run_daemon(settings: Settings, environment: HostEnvironment) -> None:
    """Runs a host until it is asked to stop.

    Args:
      settings: Settings of the host.
      environment: The environment that the host runs in.
    Raises:
      ListenError: If an address cannot be used.
    """
    curio.run(_run, settings, environment)


async def _run(settings: Settings, environment: HostEnvironment) -> None:
    await _run_host(
        settings, environment, SignalInbox(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    )


async def _run_host(settings: Settings, environment: HostEnvironment, signals: SignalInbox) -> None:
    clock = SystemClock()
    identity = _build_identity(settings, clock)
    secret = settings.fleet.key.encode()
    state = build_host(
        identity,
        secret,
        secrets.randbits(64),
        environment.store_is_relayed,
        environment.change_limit,
    )
    metrics = Metrics()
    runtime = Runtime(state, clock, metrics)
    conventions = environment.conventions
    memory = BodyMemory(clock, metrics, settings.limits.memory_mb * BYTES_PER_MB)
    pool = TargetPool(clock, conventions, memory)
    context = ServingContext(runtime, pool, environment.claims, secret, conventions)
    limits = settings.limits
    try:
        operators = OperatorServer(runtime, identity.operator_address, limits.operator_connections)
        peers = PeerTransport(context, identity.peer_address, environment.read_object, limits)
        callers = CallerServer(
            context, identity.caller_address, limits, environment.serves_entry_to_callers
        )
        loops = [
            _tick(runtime),
            _clean_pool(pool),
            peers.receive(),
            peers.accept(),
            operators.accept(),
            *environment.build_loops(runtime, peers.install),
        ]
    except OSError as error:
        raise ListenError(str(error)) from error
    tasks = [await curio.spawn(_guard(loop), daemon=True) for loop in loops]
    accept_task = await curio.spawn(_guard(callers.accept()), daemon=True)
    # Objects created up to here live as long as the process, so later collections skip them.
    gc.collect()
    gc.freeze()
    _log.info("Started.", host=identity.host, callers=identity.caller_address)
    while await signals.wait() is signal.SIGHUP:
        await environment.reload(runtime)
    await _stop(runtime, callers, accept_task, signals, settings)
    for task in tasks:
        await task.cancel()
    await operators.close()
    await peers.close()
    await pool.close()
    _log.info("Stopped.", host=identity.host)


async def _guard(loop: Coroutine[Any, Any, None]) -> None:
    """Runs a loop, and ends the process if the loop fails.

    Without the loop, the process would go on without the events that the loop delivers. The service
    manager restarts the process, which then learns all state again.
    """
    try:
        await loop
    except Exception:
        _log.exception("A loop failed; the process ends.")
        os._exit(EXIT_FAILED)


def _build_identity(settings: Settings, clock: Clock) -> HostIdentity:
    return HostIdentity(
        host=HostId(settings.host.id),
        incarnation=new_incarnation(clock),
        failure_domain=FailureDomain(settings.host.failure_domain),
        caller_address=Address(settings.listen.callers),
        peer_address=Address(settings.listen.peers),
        operator_address=Address(settings.listen.operators),
        seeds=tuple(Address(seed) for seed in settings.fleet.seeds),
        power=settings.host.power,
    )


async def _stop(
    runtime: Runtime,
    callers: CallerServer,
    accept_task: curio.Task,
    signals: SignalInbox,
    settings: Settings,
) -> None:
    """Drains the host: new entry answers omit it, and requests in progress are finished.

    The host still accepts connections until cached entry answers that name it have expired. A
    second signal ends this wait early; requests in progress are still finished, and so are those
    that arrive later on open connections. Shortly before the time limit of both parts of the stop,
    requests still in progress are ended with an answer, and at the limit the host stops.
    """
    _log.info("Leaving.", host=runtime.state.identity.host)
    now = runtime.clock.monotonic()
    drain_time = timedelta(seconds=settings.limits.drain_s)
    deadline = now + settings.limits.leave_wait + drain_time
    flush_at = deadline - FLUSH_TIME
    await runtime.dispatch(StopRequested(now, flush_at - DRAIN_POLL_PERIOD))
    async with curio.ignore_after(settings.limits.leave_wait.total_seconds()):
        while await signals.wait() is signal.SIGHUP:
            _log.info("Settings are not reloaded while the host is leaving.")
    await accept_task.cancel()
    await callers.stop_listening()
    is_flushing = False
    while callers.count_connections() or runtime.state.requests:
        now = runtime.clock.monotonic()
        if now > deadline:
            _log.warning("The drain time limit passed with requests still in progress.")
            return
        if now >= flush_at and not is_flushing:
            is_flushing = True
            callers.finish_connections()
            await end_requests(runtime)
        await curio.sleep(DRAIN_POLL_PERIOD.total_seconds())


async def _tick(runtime: Runtime) -> None:
    clock = runtime.clock
    while True:
        due = clock.monotonic() + TICK_PERIOD
        await curio.sleep(TICK_PERIOD.total_seconds())
        now = clock.monotonic()
        late = max(timedelta(0), now - due)
        runtime.metrics.loop_lag.observe(late.total_seconds())
        await runtime.dispatch(Ticked(now, clock.wall(), late))


async def _clean_pool(pool: TargetPool) -> None:
    while True:
        await curio.sleep(POOL_CLEANING_PERIOD.total_seconds())
        await pool.close_expired()
