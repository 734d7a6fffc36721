"""A queue that serves caller accounts in turn, so that none waits behind the backlog of another.

Round robin gives each account with queued requests the same share (max-min fairness). Requests
without an account count as one account, so that without accounts the queue is first in, first out.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from endivedrift.core import CallerName, Instant, RequestId


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A queued request, when it leaves the queue unserved, its deadline, and its caller account."""

    request: RequestId
    give_up_at: Instant
    deadline: Instant
    caller: CallerName | None = None


@dataclass(slots=True)
class FairQueue:
    """Queued requests by caller account; the first account is the next in turn."""

    _by_caller: OrderedDict[CallerName | None, deque[QueuedRequest]] = field(
        default_factory=OrderedDict
    )
    _length: int = 0

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return self._length

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterates over the requests, one account after the other."""
        for queue in self._by_caller.values():
            yield from queue

    def append(self, queued: QueuedRequest) -> None:
        """Adds a request as the last one of its account."""
        self._by_caller.setdefault(queued.caller, deque()).append(queued)
        self._length += 1

    def appendleft(self, queued: QueuedRequest) -> None:
        """Puts back a request that was just removed by `popleft`, as the next one in turn."""
        self._by_caller.setdefault(queued.caller, deque()).appendleft(queued)
        self._by_caller.move_to_end(queued.caller, last=False)
        self._length += 1

    def popleft(self) -> QueuedRequest:
        """Removes the first request of the account whose turn it is.

        Raises:
          IndexError: If the queue is empty.
        """
        if not self._by_caller:
            raise IndexError("the queue is empty")
        caller, queue = next(iter(self._by_caller.items()))
        queued = queue.popleft()
        self._by_caller.move_to_end(caller)
        self._drop_empty(caller)
        self._length -= 1
        return queued

    def pop_longest(self) -> QueuedRequest:
        """Removes the latest request of the account with the most requests in the queue.

        Raises:
          ValueError: If the queue is empty.
        """
        caller = max(self._by_caller, key=lambda name: len(self._by_caller[name]))
        queued = self._by_caller[caller].pop()
        self._drop_empty(caller)
        self._length -= 1
        return queued

    def remove(self, queued: QueuedRequest) -> None:
        """Removes a request.

        Raises:
          ValueError: If it is not in the queue.
        """
        queue = self._by_caller.get(queued.caller, deque())
        queue.remove(queued)
        self._drop_empty(queued.caller)
        self._length -= 1

    def count_longest(self) -> int:
        """Returns the number of requests of the account that has most."""
        return max((len(queue) for queue in self._by_caller.values()), default=0)

    def count_own(self, caller: CallerName | None) -> int:
        """Returns the number of requests of an account."""
        return len(self._by_caller.get(caller, ()))

    def count_ahead(self, caller: CallerName | None) -> int:
        """Returns how many requests are served before a new one of an account."""
        own = self.count_own(caller)
        others = (len(queue) for name, queue in self._by_caller.items() if name != caller)
        return own + sum(min(length, own + 1) for length in others)

    def _drop_empty(self, caller: CallerName | None) -> None:
        if not self._by_caller[caller]:
            del self._by_caller[caller]
