"""What a host needs of the place it runs in, and the project's own form of it.

The daemon takes one `HostEnvironment`: it names headers, settles claims on keys, reads object sets,
and brings loops that tell the decisions what happens outside.
"""

from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any, Protocol, TypeAlias

import curio

from endivedrift.core import Address, Digest
from endivedrift.core.events import ConfigFetched, ConfigHeadObserved, MachineListRead
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

HEAD_PERIOD = timedelta(seconds=2)
MACHINES_PERIOD = timedelta(seconds=2)

ConfigInstaller: TypeAlias = Callable[[ConfigFetched], Awaitable[None]]
"""Gives an object set to the decisions and keeps it for other hosts to fetch."""


class HostEnvironment(Protocol):
    """The place that a host runs in.

    Attributes:
      conventions: Names of headers and forms of refusals.
      claims: Where keys that callers made are claimed.
      serves_entry_to_callers: Whether the entry question is answered on the address for callers.
      store_is_relayed: Whether few hosts read the store and tell the others.
    """

    conventions: HttpConventions
    claims: ClaimTable
    serves_entry_to_callers: bool
    store_is_relayed: bool

    async def read_object(self, digest: Digest) -> bytes | None:
        """Reads the bytes of an object set, or None where the store does not give them."""

    async def reload(self, runtime: Runtime) -> None:
        """Reads again what of the settings may change while the host runs."""

    def build_loops(
        self, runtime: Runtime, install: ConfigInstaller
    ) -> list[Coroutine[Any, Any, None]]:
        """Builds the loops that run until the host stops.

        Args:
          runtime: Takes events.
          install: Takes object sets.
        Returns:
          The loops.
        Raises:
          OSError: If an address cannot be used.
        """


class DefaultEnvironment:
    """The project's own table service, object store and list of machines."""

    def __init__(self, settings: Settings) -> None:
        """Takes the addresses from the settings."""
        self.conventions = DEFAULT_CONVENTIONS
        self.claims: ClaimTable = self
        self.serves_entry_to_callers = True
        self.store_is_relayed = False
        self._deployment = settings.fleet.deployment
        self._platform = HttpPlatform(
            Address(settings.platform.table),
            Address(settings.platform.objects),
            Address(settings.platform.hosts),
        )
        self._runtime: Runtime | None = None

    async def claim(self, claim: Claim) -> ClaimResult:
        """Claims a key in the table service."""
        return await claim_key(self._platform, self._deployment, claim)

    async def read_object(self, digest: Digest) -> bytes | None:
        """Reads an object set from the object store."""
        try:
            return await self._platform.get_object(digest)
        except PlatformError:
            if self._runtime is not None:
                self._runtime.metrics.platform_failures.labels("objects").inc()
            return None

    async def reload(self, runtime: Runtime) -> None:
        """Keeps the settings: all of them need a restart."""
        _log.info("Settings stay as they are until the next start.")

    def build_loops(
        self, runtime: Runtime, install: ConfigInstaller
    ) -> list[Coroutine[Any, Any, None]]:
        """Builds the loops that poll the head row and the list of machines."""
        self._runtime = runtime
        return [self._poll_head(runtime), self._poll_machines(runtime)]

    async def _poll_head(self, runtime: Runtime) -> None:
        while True:
            try:
                head = await read_config_head(self._platform, self._deployment)
                await runtime.dispatch(ConfigHeadObserved(runtime.clock.monotonic(), head.config))
            except PlatformError:
                runtime.metrics.platform_failures.labels("table").inc()
            await curio.sleep(jitter_period(HEAD_PERIOD))

    async def _poll_machines(self, runtime: Runtime) -> None:
        while True:
            try:
                machines = await self._platform.list_machines()
                await runtime.dispatch(MachineListRead(runtime.clock.monotonic(), machines))
            except PlatformError:
                runtime.metrics.platform_failures.labels("hosts").inc()
            await curio.sleep(jitter_period(MACHINES_PERIOD))
