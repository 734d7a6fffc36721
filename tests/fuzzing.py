"""Settings shared by the stateful fuzz tests.

In CI the cases are derived from the test itself and never change. A longer run with other cases is
asked for by the environment: `ENDIVEDRIFT_FUZZ_EXAMPLES=5000 ENDIVEDRIFT_FUZZ_SEED=7 make test`.
"""

import os
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

DEFAULT_EXAMPLES = 200
STEPS = 50


def fuzz_machine(
    machine: type[RuleBasedStateMachine], examples: int = DEFAULT_EXAMPLES, shrink: bool = True
) -> None:
    """Runs a state machine against its oracle.

    Args:
      machine: The machine.
      examples: Number of histories.
      shrink: Whether a failing history is made as short as possible.
    Raises:
      AssertionError: If an invariant does not hold.
    """
    wanted = int(os.environ.get("ENDIVEDRIFT_FUZZ_EXAMPLES", examples))
    seed = os.environ.get("ENDIVEDRIFT_FUZZ_SEED")
    chosen = settings(
        max_examples=wanted,
        stateful_step_count=STEPS,
        deadline=None,
        derandomize=seed is None,
        database=None,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
        report_multiple_bugs=False,
        phases=[Phase.generate, Phase.shrink] if shrink else [Phase.generate],
    )
    if seed is not None:
        machine = hypothesis.seed(int(seed))(machine)
    run_state_machine_as_test(machine, settings=chosen)


def broken(module: Any, name: str, replacement: Any) -> AbstractContextManager[Any]:
    """Replaces a mechanism by a faulty one, to show that a check notices."""
    return mock.patch.object(module, name, replacement)
