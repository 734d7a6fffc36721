"""The short queue of a service: ordered by importance, bounded in length and in time."""

from collections.abc import Iterator
from datetime import timedelta

from endivedrift.core import Importance, RequestId
from endivedrift.policy._service import ServiceState, Waiting


def estimate_wait(state: ServiceState, rank: Importance) -> timedelta:
    """Estimates how long a new request of this importance would wait for its turn."""
    ahead = sum(len(queue) for importance, queue in state.queues.items() if importance <= rank)
    lanes = max(1, state.healthy * state.limit_per_target)
    return state.service_time * ((ahead + 1) / lanes)


def push_waiting(
    state: ServiceState, rank: Importance, waiting: Waiting
) -> tuple[bool, RequestId | None]:
    """Queues a request, displacing a less important one where the queue is full.

    Args:
      state: The service.
      rank: Importance of the request.
      waiting: The request.
    Returns:
      Whether it was queued, and the request that lost its place to it, if any.
    """
    displaced = None
    if state.queued >= state.service.queue_length:
        displaced = _displace_lower(state, rank)
        if displaced is None:
            return False, None
    state.queues[rank].append(waiting)
    return True, displaced


def pop_waiting(state: ServiceState) -> Waiting | None:
    """Removes the longest waiting request of the highest importance."""
    for queue in _iterate_queues(state):
        if queue:
            return queue.popleft()
    return None


def push_back(state: ServiceState, rank: Importance, waiting: Waiting) -> None:
    """Puts a request back at the head of its queue."""
    state.queues[rank].appendleft(waiting)


def remove_waiting(state: ServiceState, request: RequestId) -> bool:
    """Removes a request from the queue.

    Returns:
      Whether it was there.
    """
    for queue in state.queues.values():
        for waiting in queue:
            if waiting.request == request:
                queue.remove(waiting)
                return True
    return False


def _iterate_queues(state: ServiceState) -> Iterator:
    for rank in Importance:
        yield state.queues[rank]


def _displace_lower(state: ServiceState, rank: Importance) -> RequestId | None:
    for lower in sorted(Importance, reverse=True):
        if lower > rank and state.queues[lower]:
            return state.queues[lower].pop().request
    return None
