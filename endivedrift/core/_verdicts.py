"""Verdicts, which state whether a request may have run at a target.

A caller that gets no answer has to know whether it is safe to send the request again. Each refusal
therefore carries a verdict, which is derived from the outcomes of the request's attempts.
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
        AttemptOutcome.WITHDRAWN,
        AttemptOutcome.MISDIRECTED,
    }
)
"""Outcomes that prove that the target did not run the request."""


def judge_outcome(outcome: AttemptOutcome) -> Verdict:
    """Decides whether the target may have run the request.

    Args:
      outcome: How the attempt ended.
    Returns:
      NOT_RUN if no byte was sent or the target explicitly refused the request, else MAY_HAVE_RUN.
    """
    return Verdict.NOT_RUN if outcome in NOT_RUN_OUTCOMES else Verdict.MAY_HAVE_RUN
