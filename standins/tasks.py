"""Runs several tasks at once and lets none fail unnoticed."""

from collections.abc import Coroutine, Iterable
from typing import Any

import curio


async def run_together(coroutines: Iterable[Coroutine[Any, Any, None]]) -> None:
    """Runs coroutines at once and waits for all.

    Raises:
      curio.TaskError: If any of them failed.
    """
    tasks = [await curio.spawn(coroutine) for coroutine in coroutines]
    for task in tasks:
        await task.join()
