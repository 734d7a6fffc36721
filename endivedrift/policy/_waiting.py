"""The request queue of a service: ordered by importance, bounded in length and in waiting time.

Of requests of one importance, those of the caller account that was served least go first.
"""

from collections.abc import Iterator
from datetime import timedelta

from endivedrift.core import CallerName, Importance, Instant, RequestId
from endivedrift.policy._fair_queue import FairQueue, QueuedRequest
from endivedrift.policy._service import ServiceState

MAX_BURST_TIME = timedelta(milliseconds=500)
"""Time for which a short burst of arrivals may keep requests queued: about twice the usual response
time of a target."""
DEQUEUE_INTERVAL_WEIGHT = 0.1


def estimate_wait(
    state: ServiceState, priority: Importance, caller: CallerName | None = None
) -> timedelta:
    """Estimates how long a new request of this importance and account would wait in the queue."""
    ahead = sum(len(queue) for importance, queue in state.queues.items() if importance < priority)
    ahead += state.queues[priority].count_ahead(caller, state.served_shares)
    if state.queued_count and state.dequeue_interval is not None:
        return state.dequeue_interval * (ahead + 1)
    slots = max(1, state.healthy_count * state.limit_per_target)
    return state.service_time * ((ahead + 1) / slots)


def has_standing_queue(state: ServiceState, at: Instant) -> bool:
    """Tells whether requests have been queued for longer than a burst of arrivals lasts."""
    return state.queued_since is not None and at - state.queued_since > MAX_BURST_TIME


def record_dequeue(state: ServiceState, at: Instant) -> None:
    """Updates the average time between dequeued requests with one that was just dequeued."""
    if state.queued_since is not None:
        interval = at - max(state.last_dequeue_at, state.queued_since)
        average = state.dequeue_interval if state.dequeue_interval is not None else interval
        state.dequeue_interval = average + (interval - average) * DEQUEUE_INTERVAL_WEIGHT
    state.last_dequeue_at = at


def enqueue_request(
    state: ServiceState, priority: Importance, queued_request: QueuedRequest, at: Instant
) -> tuple[bool, RequestId | None]:
    """Queues a request, evicting another one if the queue is full.

    The evicted request is a less important one, or else the latest of the account that has most in
    the queue, unless that is the request's own.

    Args:
      state: The service.
      priority: Importance of the request.
      queued_request: The request.
      at: Current time.
    Returns:
      Whether it was queued, and the request that was evicted for it, if any.
    """
    displaced = None
    if state.queued_count >= state.service.queue_length:
        displaced = _evict(state, priority, queued_request.caller)
        if displaced is None:
            return False, None
    state.queues[priority].append(queued_request)
    if state.queued_since is None:
        state.queued_since = at
    return True, displaced


def record_empty_queue(state: ServiceState) -> None:
    """Ends the period in which requests wait, if the queue is now empty."""
    if not state.queued_count:
        state.queued_since = None


def dequeue_request(state: ServiceState) -> QueuedRequest | None:
    """Removes and returns the next request in turn among the most important ones."""
    for queue in _iterate_queues(state):
        if queue:
            return queue.popleft(state.served_shares)
    return None


def requeue_request(
    state: ServiceState, priority: Importance, queued_request: QueuedRequest
) -> None:
    """Puts a request back at the head of its queue."""
    state.queues[priority].appendleft(queued_request)


def remove_queued_request(state: ServiceState, request: RequestId) -> bool:
    """Removes a request from the queue.

    Returns:
      Whether it was there.
    """
    for queue in state.queues.values():
        for queued_request in queue:
            if queued_request.request == request:
                queue.remove(queued_request)
                return True
    return False


def _iterate_queues(state: ServiceState) -> Iterator[FairQueue]:
    for priority in Importance:
        yield state.queues[priority]


def _evict(
    state: ServiceState, priority: Importance, caller: CallerName | None
) -> RequestId | None:
    for lower in sorted(Importance, reverse=True):
        if lower > priority and state.queues[lower]:
            return state.queues[lower].pop_longest().request
    queue = state.queues[priority]
    if queue.count_longest() > queue.count_own(caller) + 1:
        return queue.pop_longest().request
    return None
