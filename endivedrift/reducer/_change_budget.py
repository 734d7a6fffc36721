"""Divides the time in which a change of the store must be in force among the steps that it takes.

Most changes are learned within milliseconds, by a wait at the store or from another host. What
bounds the time is a host that hears of no other host and whose connection to the store has gone
silent: it finds the change by a question of its own, which it asks twice. The steps of that must
fit into the limit together, up to the last request that was sent by what was known before.

Not in the sum: the time by which a busy host is late, a store that answers no new connection in
time either, and a limit below `MIN_BUDGET_LIMIT`.
"""

from datetime import timedelta

from endivedrift.policy import TICK_PERIOD

ASK_SHARE = 0.45
"""Age of the latest answer at which the next question is asked, as a share of the limit. It is
under half, since the change may come just after an answer, and the question may be lost."""
STAND_IN_DELAY = timedelta(milliseconds=100)
"""Time for an answer to another host to arrive before this host asks in its place."""
RANK_DELAY = timedelta(milliseconds=100)
"""Further delay each time that the number of hosts that ask doubles: some times as long as a
question takes."""
MAX_RANK_SHARE = 0.2
"""Greatest delay for the sake of other hosts, as a share of the limit."""
SILENCE_SHARE = 0.2
"""Time without a byte of the answer after which a connection that was used before is given up, as a
share of the limit. The question is then asked again on a new one."""
ANSWER_TIME = timedelta(milliseconds=50)
"""Time to connect to the store, ask it, and apply its answer."""
SEND_TIME = timedelta(milliseconds=100)
"""Time for a request that was sent on before the change was known to reach its target."""
MIN_BUDGET_LIMIT = timedelta(milliseconds=1_700)
"""Shortest limit into which the steps fit."""


def compute_ask_age(limit: timedelta) -> timedelta:
    """Computes the age of the latest answer at which the first host asks the store again."""
    return limit * ASK_SHARE


def compute_rank_delay(limit: timedelta, rank: int) -> timedelta:
    """Computes how much longer a host waits for an answer to one of those that ask before it.

    Args:
      limit: Time in which a change must be in force.
      rank: Number of hosts that are to ask before it.
    """
    if not rank:
        return timedelta(0)
    doublings = (rank + 1).bit_length() - 1
    return min(STAND_IN_DELAY + RANK_DELAY * doublings, limit * MAX_RANK_SHARE)


def compute_silence_limit(limit: timedelta) -> timedelta:
    """Computes the time without a byte after which a used connection to the store is given up."""
    return limit * SILENCE_SHARE


def list_change_delays(limit: timedelta, rank: int) -> dict[str, timedelta]:
    """Lists the greatest time of each step from a change of the store to the last request.

    Args:
      limit: Time in which the change must be in force.
      rank: Number of hosts that are to ask the store before this one.
    """
    return {
        "until the next question is due": compute_ask_age(limit),
        "for the hosts that ask before": compute_rank_delay(limit, rank),
        "until the next tick": TICK_PERIOD,
        "on a connection that is silent": compute_silence_limit(limit),
        "until the answer is applied": ANSWER_TIME,
        "for the last request": SEND_TIME,
    }
