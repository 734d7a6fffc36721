"""The verdict type: whether a request may have run at a target.

A caller that gets no answer has to know whether sending the request again is safe. Each refusal
therefore carries a verdict, and the verdict of an attempt follows from how the attempt ended.
"""

from enum import Enum

from endivedrift.core._states import AttemptOutcome


class Verdict(Enum):
    """Whether a request that got no answer may have run."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


NOT_RUN_OUTCOMES = frozenset(
    {
        AttemptOutcome.SHED,
        AttemptOutcome.DRAINING,
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.MISDIRECTED,
    }
)
"""Ends of an attempt after which the target surely did not run the request."""


def judge_outcome(outcome: AttemptOutcome) -> Verdict:
    """Tells whether the target may have run the request.

    Args:
      outcome: How the attempt ended.
    Returns:
      NOT_RUN when no byte was sent or the target refused explicitly, else MAY_HAVE_RUN.
    """
    return Verdict.NOT_RUN if outcome in NOT_RUN_OUTCOMES else Verdict.MAY_HAVE_RUN
