"""A queue that serves first the caller account that has been served least.

What an account was served lately counts in proportion to its quota. An account that floods the
fleet therefore waits behind accounts that send what they usually do, and such accounts share the
rest among them (weighted max-min fairness). Round robin was not enough: an account that always has
requests in the queue takes a turn before each request of all others, which delays them the more
accounts flood. Requests without an account count as one account, so that without accounts the
queue is first in, first out.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from endivedrift.core import CallerName, Instant, RequestId

USE_TIME_CONSTANT = timedelta(seconds=5)
"""Time in which earlier use of an account loses its weight: the window of the accounts' quotas."""
MAX_USES = 4_096
"""Accounts whose use is kept; further ones replace those whose use was recorded first."""


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A queued request, when it leaves the queue unserved, its deadline, and its caller account."""

    request: RequestId
    give_up_at: Instant
    deadline: Instant
    caller: CallerName | None = None


@dataclass(slots=True)
class ServedShares:
    """Requests of each account that were sent to targets lately, as shares of its quota.

    The counts are kept as if they grew instead of decaying, so that a comparison of two accounts
    needs no time.
    """

    _started: Instant | None = None
    _counts: OrderedDict[CallerName | None, float] = field(default_factory=OrderedDict)

    def add(self, caller: CallerName | None, quota_per_s: float, at: Instant) -> None:
        """Counts a request of an account with a quota in requests per second."""
        if self._started is None:
            self._started = at
        age = (at - self._started) / USE_TIME_CONSTANT
        if age > 100.0:
            self._rescale(age)
            self._started, age = at, 0.0
        self._counts[caller] = self.get(caller) + math.exp(age) / quota_per_s
        self._counts.move_to_end(caller)
        if len(self._counts) > MAX_USES:
            self._counts.popitem(last=False)

    def get(self, caller: CallerName | None) -> float:
        """Returns the use of an account, in a unit that is the same for all accounts."""
        return self._counts.get(caller, 0.0)

    def _rescale(self, age: float) -> None:
        """Divides all counts, so that they don't overflow, and drops those that become tiny."""
        factor = math.exp(-age)
        scaled = {caller: count * factor for caller, count in self._counts.items()}
        self._counts = OrderedDict((c, count) for c, count in scaled.items() if count > 1e-9)


@dataclass(slots=True)
class FairQueue:
    """Queued requests by caller account."""

    _by_caller: dict[CallerName | None, deque[QueuedRequest]] = field(default_factory=dict)
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
        """Puts back a request that was just removed by `popleft`."""
        self._by_caller.setdefault(queued.caller, deque()).appendleft(queued)
        self._length += 1

    def popleft(self, use: ServedShares) -> QueuedRequest:
        """Removes the first request of the account that was served least.

        Raises:
          ValueError: If the queue is empty.
        """
        caller = min(self._by_caller, key=use.get)
        queued = self._by_caller[caller].popleft()
        self._drop_if_empty(caller)
        self._length -= 1
        return queued

    def pop_longest(self) -> QueuedRequest:
        """Removes the latest request of the account with the most requests in the queue.

        Raises:
          ValueError: If the queue is empty.
        """
        caller = max(self._by_caller, key=lambda name: len(self._by_caller[name]))
        queued = self._by_caller[caller].pop()
        self._drop_if_empty(caller)
        self._length -= 1
        return queued

    def remove(self, queued: QueuedRequest) -> None:
        """Removes a request.

        Raises:
          ValueError: If it is not in the queue.
        """
        self._by_caller.get(queued.caller, deque()).remove(queued)
        self._drop_if_empty(queued.caller)
        self._length -= 1

    def count_longest(self) -> int:
        """Returns the number of requests of the account that has most."""
        return max((len(queue) for queue in self._by_caller.values()), default=0)

    def count_own(self, caller: CallerName | None) -> int:
        """Returns the number of requests of an account."""
        return len(self._by_caller.get(caller, ()))

    def count_ahead(self, caller: CallerName | None, use: ServedShares) -> int:
        """Estimates how many requests are served before a new one of an account."""
        own = self.count_own(caller)
        own_use = use.get(caller)
        ahead = own
        for name, queue in self._by_caller.items():
            if name != caller:
                ahead += min(len(queue), own + 1 if use.get(name) <= own_use else own)
        return ahead

    def _drop_if_empty(self, caller: CallerName | None) -> None:
        if not self._by_caller[caller]:
            del self._by_caller[caller]
