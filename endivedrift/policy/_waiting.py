"""The short queue of a service: ordered by importance, bounded in length and in time."""

from collections.abc import Iterator
from datetime import timedelta

from endivedrift.core import Importance, Instant, RequestId
from endivedrift.policy._service import ServiceState, Waiting

STANDING_TIME = timedelta(milliseconds=500)
"""Time for which a burst of arrivals may keep a queue: about two answers of the users' targets."""
TURN_WEIGHT = 0.1


def estimate_wait(state: ServiceState, rank: Importance) -> timedelta:
    """Estimates how long a new request of this importance would wait for its turn."""
    ahead = sum(len(queue) for importance, queue in state.queues.items() if importance <= rank)
    if state.queued_count and state.turn_time is not None:
        return state.turn_time * (ahead + 1)
    lanes = max(1, state.healthy_count * state.limit_per_target)
    return state.service_time * ((ahead + 1) / lanes)


def has_standing_queue(state: ServiceState, at: Instant) -> bool:
    """Tells whether requests have been waiting for so long that the load is no mere burst."""
    return state.queued_since is not None and at - state.queued_since > STANDING_TIME


def note_turn(state: ServiceState, at: Instant) -> None:
    """Learns how often a waiting request gets its turn, from the turn that one just got."""
    if state.queued_since is not None:
        took = at - max(state.turned, state.queued_since)
        known = state.turn_time if state.turn_time is not None else took
        state.turn_time = known + (took - known) * TURN_WEIGHT
    state.turned = at


def push_waiting(
    state: ServiceState, rank: Importance, waiting: Waiting, at: Instant
) -> tuple[bool, RequestId | None]:
    """Queues a request, displacing a less important one where the queue is full.

    Args:
      state: The service.
      rank: Importance of the request.
      waiting: The request.
      at: Present time.
    Returns:
      Whether it was queued, and the request that lost its place to it, if any.
    """
    displaced = None
    if state.queued_count >= state.service.queue_length:
        displaced = _displace_lower(state, rank)
        if displaced is None:
            return False, None
    state.queues[rank].append(waiting)
    if state.queued_since is None:
        state.queued_since = at
    return True, displaced


def note_queue(state: ServiceState) -> None:
    """Notes that no request waits any more."""
    if not state.queued_count:
        state.queued_since = None


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
