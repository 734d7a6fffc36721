"""Limits the requests that a host admits to what its processor can serve.

Without a limit, a host that gets more requests than it can serve spends its time on requests that
are answered too late, and serves hardly any. Its event loop then runs late: bytes wait in sockets
and timers wait behind other work. The lag of the periodic timer shows this. A lag that lasts for
several ticks is a queue that does not drain (Nichols et al., Controlled Delay Active Queue
Management, RFC 8289, 2018); a single late tick is a pause of the process.

While such a lag lasts, the host admits a share of its requests that shrinks with each tick and
grows slowly afterwards. The least important requests are refused first (Zhou et al., Overload
control for scaling WeChat microservices, 2018), but some of each importance are admitted.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from endivedrift.core import AuditEntry, AuditKind, HostId, Importance, Instant

LAG_TARGET = timedelta(milliseconds=100)
"""Lag above which a host is overloaded. A request takes several turns of the loop."""
LASTING_TICKS = 2
"""Number of ticks in a row that must all be late."""
SHRINK_FACTOR = 0.8
GROWTH = 0.05
"""Factor on the admitted share at a late tick, and addition to it at another one."""
MIN_ADMITTED_SHARE = 0.05
MIN_IMPORTANCE_SHARE = 0.25
"""Part of the admitted share that holds for each importance, however few requests are admitted."""
NOTED_SHARE = 0.75
"""Admitted share from which the audit trail has an entry."""
ARRIVAL_DECAY = 0.9
"""Factor by which the counts of arrived requests decay at each tick."""


@dataclass(slots=True)
class Overload:
    """What a host knows of its own load.

    Attributes:
      lags: Lag of the loop at the latest ticks.
      admitted_share: Share of the requests that are admitted.
      arrived: Recent requests by importance, decaying.
      is_noted: Whether the audit trail has an entry that requests are refused.
    """

    lags: deque[timedelta] = field(default_factory=lambda: deque(maxlen=LASTING_TICKS))
    admitted_share: float = 1.0
    arrived: dict[Importance, float] = field(default_factory=lambda: dict.fromkeys(Importance, 0.0))
    is_noted: bool = False

    @property
    def lasting_lag(self) -> timedelta:
        """The lag of the loop that has lasted for several ticks; 0 while there is none."""
        return min(self.lags) if len(self.lags) == LASTING_TICKS else timedelta(0)

    @property
    def is_late(self) -> bool:
        """Whether the loop has been late for several ticks."""
        return self.lasting_lag > LAG_TARGET


def observe_lag(overload: Overload, lag: timedelta) -> None:
    """Notes how late the loop was at a tick, and adapts the admitted share to it."""
    overload.lags.append(lag)
    for importance in overload.arrived:
        overload.arrived[importance] *= ARRIVAL_DECAY
    if overload.is_late:
        # Ticks that are late come less often.
        shrunk = overload.admitted_share * SHRINK_FACTOR ** (
            1.0 + overload.lasting_lag / LAG_TARGET
        )
        overload.admitted_share = max(MIN_ADMITTED_SHARE, shrunk)
    else:
        overload.admitted_share = min(1.0, overload.admitted_share + GROWTH)


def admits_request(overload: Overload, importance: Importance, random: Random) -> bool:
    """Counts a request that has arrived, and tells whether it is admitted."""
    overload.arrived[importance] += 1.0
    if overload.admitted_share >= 1.0:
        return True
    return random.random() < _compute_share(overload, importance)


def note_overload(overload: Overload, host: HostId, at: Instant) -> list[AuditEntry]:
    """Records that this host begins to refuse requests for want of processor time, or ends it."""
    if overload.admitted_share >= 1.0 and overload.is_noted:
        overload.is_noted = False
        return [AuditEntry(at, AuditKind.LOAD_CHANGED, host, "all requests are admitted again")]
    if overload.admitted_share > NOTED_SHARE or overload.is_noted:
        return []
    overload.is_noted = True
    lag = overload.lasting_lag.total_seconds()
    cause = (
        f"{overload.admitted_share:.2f} of the requests are admitted, the loop is {lag:.2f} s late"
    )
    return [AuditEntry(at, AuditKind.LOAD_CHANGED, host, cause)]


def _compute_share(overload: Overload, importance: Importance) -> float:
    """Returns the share of the requests of an importance that are admitted."""
    share = overload.admitted_share
    room = share * sum(overload.arrived.values())
    room -= sum(count for other, count in overload.arrived.items() if other < importance)
    return max(share * MIN_IMPORTANCE_SHARE, min(1.0, room / overload.arrived[importance]))
