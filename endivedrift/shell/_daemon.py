"""Runs one host from start to graceful stop."""

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
from endivedrift.reducer import build_host
from endivedrift.settings import Settings
from endivedrift.shell._callers import CallerSide
from endivedrift.shell._environment import HostEnvironment
from endivedrift.shell._log import make_logger
from endivedrift.shell._metrics import Metrics
from endivedrift.shell._operators import OperatorSide
from endivedrift.shell._peers import Peers
from endivedrift.shell._runtime import Runtime
from endivedrift.shell._serving import Serving
from endivedrift.shell._signals import SignalInbox
from endivedrift.shell._targets import TargetPool

TICK = timedelta(milliseconds=100)
POOL_CLEANING_PERIOD = timedelta(seconds=5)
DRAIN_POLL = timedelta(milliseconds=50)
INCARNATION_RANDOM_BITS = 20
EXIT_FAILED = 1

_log = make_logger("daemon")


def new_incarnation(clock: Clock) -> Incarnation:
    """Returns an incarnation that is unique, and greater than those of earlier processes."""
    milliseconds = int(clock.wall().timestamp() * 1000.0)
    return Incarnation(
        (milliseconds << INCARNATION_RANDOM_BITS) | secrets.randbits(INCARNATION_RANDOM_BITS)
    )


def run_daemon(settings: Settings, surroundings: HostEnvironment) -> None:
    """Runs a host until it is asked to stop.

    Args:
      settings: Settings of the host.
      surroundings: Where object sets, targets and other hosts are learned of.
    Raises:
      OSError: If an address cannot be used.
    """
    curio.run(_run, settings, surroundings)


async def _run(settings: Settings, surroundings: HostEnvironment) -> None:
    await _run_host(
        settings, surroundings, SignalInbox(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    )


async def _run_host(
    settings: Settings, surroundings: HostEnvironment, signals: SignalInbox
) -> None:
    clock = SystemClock()
    identity = _identify(settings, clock)
    secret = settings.fleet.key.encode()
    state = build_host(identity, secret, secrets.randbits(64), surroundings.store_is_relayed)
    runtime = Runtime(state, clock, Metrics())
    dialect = surroundings.conventions
    pool = TargetPool(clock, dialect)
    serving = Serving(runtime, pool, surroundings.claims, secret, dialect)
    operators = OperatorSide(runtime, identity.operator_address)
    peers = Peers(serving, identity.peer_address, surroundings.read_object)
    callers = CallerSide(
        serving, identity.caller_address, settings.limits, surroundings.serves_entry_to_callers
    )
    loops = [
        _tick(runtime),
        _clean_pool(pool),
        peers.receive(),
        peers.accept(),
        operators.accept(),
        *surroundings.build_loops(runtime, peers.install),
    ]
    tasks = [await curio.spawn(_guard(loop), daemon=True) for loop in loops]
    accepting = await curio.spawn(callers.accept(), daemon=True)
    gc.collect()
    gc.freeze()
    _log.info("Started.", host=identity.host, callers=identity.caller_address)
    while await signals.wait() is signal.SIGHUP:
        await surroundings.reload(runtime)
    await _stop(runtime, callers, accepting, signals, settings)
    for task in tasks:
        await task.cancel()
    await operators.close()
    await peers.close()
    await pool.close()
    _log.info("Stopped.", host=identity.host)


async def _guard(loop: Coroutine[Any, Any, None]) -> None:
    """Runs a loop; one that fails ends the process, which would miss what the loop brings.

    Whoever started the process starts it again, and it learns everything anew.
    """
    try:
        await loop
    except Exception:
        _log.exception("A loop failed; the process ends.")
        os._exit(EXIT_FAILED)


def _identify(settings: Settings, clock: Clock) -> HostIdentity:
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
    callers: CallerSide,
    accepting: curio.Task,
    signals: SignalInbox,
    settings: Settings,
) -> None:
    """Leaves the entry answers, waits until none names this host, and finishes all requests.

    A second signal ends the wait for entry answers early; requests in progress are finished all
    the same.
    """
    _log.info("Leaving.", host=runtime.state.identity.host)
    await runtime.dispatch(StopRequested(runtime.clock.monotonic()))
    async with curio.ignore_after(settings.limits.leave_wait.total_seconds()):
        while await signals.wait() is signal.SIGHUP:
            _log.info("Settings are not read again while leaving.")
    await accepting.cancel()
    await callers.stop_listening()
    deadline = runtime.clock.monotonic() + timedelta(seconds=settings.limits.drain_s)
    while callers.count_open() or runtime.state.requests:
        if runtime.clock.monotonic() > deadline:
            _log.warning("Requests are still in progress at the end of the drain limit.")
            return
        await curio.sleep(DRAIN_POLL.total_seconds())


async def _tick(runtime: Runtime) -> None:
    while True:
        await curio.sleep(TICK.total_seconds())
        clock = runtime.clock
        await runtime.dispatch(Ticked(clock.monotonic(), clock.wall()))


async def _clean_pool(pool: TargetPool) -> None:
    while True:
        await curio.sleep(POOL_CLEANING_PERIOD.total_seconds())
        await pool.close_expired()
