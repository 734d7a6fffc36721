"""Tasks of the stand-ins: several at the same time, or one for each connection."""

from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

import curio
from curio import socket


async def run_together(coroutines: Iterable[Coroutine[Any, Any, None]]) -> None:
    """Runs coroutines concurrently and waits for all of them.

    Raises:
      curio.TaskError: If one of them failed.
    """
    tasks = [await curio.spawn(coroutine) for coroutine in coroutines]
    for task in tasks:
        await task.join()


async def serve_connections(
    address: tuple[str, int], serve: Callable[[socket.socket], Awaitable[None]]
) -> None:
    """Spawns a task for each connection to an address, until cancelled.

    When it is cancelled, the address refuses connections before the tasks are cancelled too.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(1024)
    tasks: list[curio.Task] = []
    try:
        async with listener:
            while True:
                sock, _ = await listener.accept()
                tasks = [task for task in tasks if not task.terminated]
                tasks.append(await curio.spawn(serve, sock, daemon=True))
    finally:
        for task in tasks:
            await task.cancel()
