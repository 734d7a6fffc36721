"""Limits the requests that a host admits to what its processor can serve.

Without a limit, a host that gets more requests than it can serve spends its time on requests that
are answered too late, and serves hardly any. Its event loop then runs late: bytes wait in sockets
and timers wait behind other work. The lag of the periodic timer shows this. A lag that lasts is a
queue that does not drain (Nichols et al., Controlled Delay Active Queue Management, RFC 8289,
2018); a single late tick is a pause of the process.

While such a lag lasts, the rate of admitted requests is lowered with each tick; afterwards it is
raised slowly, until all that arrive are admitted. The least important requests are refused first
(Zhou et al., Overload control for scaling WeChat microservices, 2018), but some of each importance
are admitted.
"""

import math
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from endivedrift.core import AuditEntry, AuditKind, HostId, Importance, Instant

LAG_TARGET = timedelta(milliseconds=150)
"""Lag above which a tick is late. A request takes several turns of the loop."""
MIN_LATE_TICKS = 2
LASTING_TIME = timedelta(milliseconds=700)
"""Number of late ticks in a row, and their time together, from which a lag lasts."""
TICK_PERIOD = timedelta(milliseconds=100)
"""Period of the periodic timer."""
SHRINK_FACTOR = 0.8
GROWTH = 0.05
"""Factor on the admitted rate at a late tick, and the part of the arrived rate that is added to it
at another one."""
MIN_ADMITTED_SHARE = 0.05
MIN_IMPORTANCE_SHARE = 0.35
"""Part of the admitted share that holds for each importance, however few requests are admitted."""
RELEASE_FACTOR = 1.2
"""Multiple of the arrived rate from which the admitted rate is no longer limited."""
NOTED_SHARE = 0.75
"""Admitted share from which the audit trail has an entry."""
ARRIVAL_DECAY = 0.9
"""Factor by which the counts of arrived requests decay in the period of a tick."""


@dataclass(slots=True)
class Overload:
    """What a host knows of its own load.

    Attributes:
      late_ticks: Number of the latest ticks in a row that were late.
      late_for: Time of these ticks together.
      least_lag: The least lag among them.
      limit: Number of recent requests that may be admitted, counted like `arrived`.
      arrived: Recent requests by importance, decaying.
      is_noted: Whether the audit trail has an entry that requests are refused.
    """

    late_ticks: int = 0
    late_for: timedelta = timedelta(0)
    least_lag: timedelta = timedelta(0)
    limit: float = math.inf
    arrived: dict[Importance, float] = field(default_factory=lambda: dict.fromkeys(Importance, 0.0))
    is_noted: bool = False

    @property
    def is_late(self) -> bool:
        """Whether the loop has been late for some time."""
        return self.late_ticks >= MIN_LATE_TICKS and self.late_for >= LASTING_TIME

    @property
    def lasting_lag(self) -> timedelta:
        """The lag of the loop that has lasted for several ticks; 0 while there is none."""
        return self.least_lag if self.late_ticks >= MIN_LATE_TICKS else timedelta(0)

    @property
    def admitted_share(self) -> float:
        """Share of the requests that are admitted."""
        arrived = sum(self.arrived.values())
        return min(1.0, self.limit / arrived) if arrived else 1.0


def observe_lag(overload: Overload, lag: timedelta) -> None:
    """Notes how late the loop was at a tick, and adapts the rate of admitted requests to it."""
    # Ticks that are late come less often.
    periods = 1.0 + lag / TICK_PERIOD
    for importance in overload.arrived:
        overload.arrived[importance] *= ARRIVAL_DECAY**periods
    if lag > LAG_TARGET:
        overload.least_lag = min(overload.least_lag, lag) if overload.late_ticks else lag
        overload.late_ticks += 1
        overload.late_for += TICK_PERIOD + lag
    else:
        overload.late_ticks, overload.late_for = 0, timedelta(0)
    arrived = sum(overload.arrived.values())
    if overload.is_late:
        lowered = min(overload.limit, arrived) * SHRINK_FACTOR ** (
            1.0 + overload.least_lag / LAG_TARGET
        )
        overload.limit = max(MIN_ADMITTED_SHARE * arrived, lowered)
    else:
        overload.limit += GROWTH * arrived
        if overload.limit >= RELEASE_FACTOR * arrived:
            overload.limit = math.inf


def admits_request(overload: Overload, importance: Importance, random: Random) -> bool:
    """Counts a request that has arrived, and tells whether it is admitted."""
    overload.arrived[importance] += 1.0
    share = overload.admitted_share
    return share >= 1.0 or random.random() < _compute_share(overload, share, importance)


def note_overload(overload: Overload, host: HostId, at: Instant) -> list[AuditEntry]:
    """Records that this host begins to refuse requests for want of processor time, or ends it."""
    share = overload.admitted_share
    if share >= 1.0 and overload.is_noted:
        overload.is_noted = False
        return [AuditEntry(at, AuditKind.LOAD_CHANGED, host, "all requests are admitted again")]
    if share > NOTED_SHARE or overload.is_noted:
        return []
    overload.is_noted = True
    lag = overload.lasting_lag.total_seconds()
    cause = f"{share:.2f} of the requests are admitted, the loop is {lag:.2f} s late"
    return [AuditEntry(at, AuditKind.LOAD_CHANGED, host, cause)]


def _compute_share(overload: Overload, share: float, importance: Importance) -> float:
    """Returns the share of the requests of an importance that are admitted."""
    room = share * sum(overload.arrived.values())
    room -= sum(count for other, count in overload.arrived.items() if other < importance)
    return max(share * MIN_IMPORTANCE_SHARE, min(1.0, room / overload.arrived[importance]))
