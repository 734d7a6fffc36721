"""The interface between a host and the environment it runs in, and the default environment.

The daemon runs with one `HostEnvironment`, which defines the HTTP conventions, claims idempotency
keys, reads object sets, and provides the loops that turn outside changes into events.
"""

from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any, Protocol, TypeAlias

import curio

from endivedrift.core import Address, Digest
from endivedrift.core.events import ConfigFetched, ConfigHeadObserved, MachineListRead
from endivedrift.reducer import CHANGE_LIMIT
from endivedrift.settings import Settings
from endivedrift.shell._conventions import DEFAULT_CONVENTIONS, HttpConventions
from endivedrift.shell._log import make_logger
from endivedrift.shell._peers import jitter_period
from endivedrift.shell._runtime import Runtime
from endivedrift.store import (
    Claim,
    ClaimResult,
    ClaimTable,
    HttpPlatform,
    PlatformError,
    claim_key,
    read_config_head,
)

_log = make_logger("daemon")

HEAD_POLL_PERIOD = timedelta(seconds=2)
MACHINE_LIST_POLL_PERIOD = timedelta(seconds=2)

ConfigInstaller: TypeAlias = Callable[[ConfigFetched], Awaitable[None]]
"""Gives an object set to the reducer, and keeps it for other hosts to fetch."""


class HostEnvironment(Protocol):
    """The environment that a host runs in.

    Attributes:
      conventions: Header names and the format of refusals.
      claims: Table in which idempotency keys chosen by callers are claimed.
      serves_entry_to_callers: Whether entry requests are answered on the address for callers.
      store_is_relayed: Whether a few hosts read the store and relay its changes to the others.
      change_limit: Time in which a change of the store must be in force.
    """

    conventions: HttpConventions
    claims: ClaimTable
    serves_entry_to_callers: bool
    store_is_relayed: bool
    change_limit: timedelta

    async def read_object(self, digest: Digest) -> bytes | None:
        """Reads the bytes of an object set from the store.

        Returns:
          The bytes, or None if the store has no such object set or does not answer.
        """

    async def reload(self, runtime: Runtime) -> None:
        """Reloads the settings that may change while the host runs."""

    def build_loops(
        self, runtime: Runtime, install: ConfigInstaller
    ) -> list[Coroutine[Any, Any, None]]:
        """Builds the loops that run until the host stops.

        Args:
          runtime: Runtime that the loops send events to.
          install: Called with each object set that the loops read.
        Returns:
          The loops, not yet started.
        Raises:
          OSError: If an address cannot be used.
        """


class DefaultEnvironment:
    """The default environment: a table service, an object store and a machine list over HTTP."""

    def __init__(self, settings: Settings) -> None:
        """Creates the environment with the addresses in the settings."""
        self.conventions = DEFAULT_CONVENTIONS
        self.claims: ClaimTable = self
        self.serves_entry_to_callers = True
        self.store_is_relayed = False
        self.change_limit = CHANGE_LIMIT
        self._deployment = settings.fleet.deployment
        self._platform = HttpPlatform(
            Address(settings.platform.table),
            Address(settings.platform.objects),
            Address(settings.platform.hosts),
        )
        self._runtime: Runtime | None = None

    async def claim(self, claim: Claim) -> ClaimResult:
        """Claims an idempotency key in the table service."""
        return await claim_key(self._platform, self._deployment, claim)

    async def read_object(self, digest: Digest) -> bytes | None:
        """Reads an object set from the object store; returns None if the store does not answer."""
        try:
            return await self._platform.get_object(digest)
        except PlatformError:
            if self._runtime is not None:
                self._runtime.metrics.platform_failures["objects"] += 1
            return None

    async def reload(self, runtime: Runtime) -> None:
        """Reloads nothing: a change of any setting needs a restart."""
        _log.info("Settings are not reloaded; changes need a restart.")

    def build_loops(
        self, runtime: Runtime, install: ConfigInstaller
    ) -> list[Coroutine[Any, Any, None]]:
        """Builds the loops that poll the config head and the list of machines."""
        self._runtime = runtime
        return [self._poll_head(runtime), self._poll_machines(runtime)]

    async def _poll_head(self, runtime: Runtime) -> None:
        while True:
            try:
                head = await read_config_head(self._platform, self._deployment)
                await runtime.dispatch(ConfigHeadObserved(runtime.clock.monotonic(), head.config))
            except PlatformError:
                runtime.metrics.platform_failures["table"] += 1
            await curio.sleep(jitter_period(HEAD_POLL_PERIOD))

    async def _poll_machines(self, runtime: Runtime) -> None:
        while True:
            try:
                machines = await self._platform.list_machines()
                await runtime.dispatch(MachineListRead(runtime.clock.monotonic(), machines))
            except PlatformError:
                runtime.metrics.platform_failures["hosts"] += 1
            await curio.sleep(jitter_period(MACHINE_LIST_POLL_PERIOD))
