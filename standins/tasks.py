"""Runs several tasks concurrently and reports their failures."""

from collections.abc import Coroutine, Iterable
from typing import Any

import curio


async def run_together(coroutines: Iterable[Coroutine[Any, Any, None]]) -> None:
    """Runs coroutines concurrently and waits for all of them.

    Raises:
      curio.TaskError: If one of them failed.
    """
    tasks = [await curio.spawn(coroutine) for coroutine in coroutines]
    for task in tasks:
        await task.join()
