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
POWER_SEEDS = 10
POWER_EXAMPLES = 1_000


def fuzz_machine(
    machine: type[RuleBasedStateMachine],
    examples: int = DEFAULT_EXAMPLES,
    shrink: bool = True,
    fixed_seed: int | None = None,
) -> None:
    """Runs a state machine against its oracle.

    Args:
      machine: The machine.
      examples: Number of histories.
      shrink: Whether a failing history is made as short as possible.
      fixed_seed: Draws the histories, or None where they are derived from the machine.
    Raises:
      AssertionError: If an invariant does not hold.
    """
    wanted = int(os.environ.get("ENDIVEDRIFT_FUZZ_EXAMPLES", examples))
    seed = os.environ.get("ENDIVEDRIFT_FUZZ_SEED") or fixed_seed
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


def notices_fault(machine: type[RuleBasedStateMachine]) -> bool:
    """Tells whether a machine finds a violation, over histories of several fixed seeds.

    One search draws from the constants of all modules that happen to be loaded, so that its luck
    differs between a run of one test and a run of all.
    """
    for seed in range(1, POWER_SEEDS + 1):
        try:
            fuzz_machine(machine, POWER_EXAMPLES, shrink=False, fixed_seed=seed)
        except AssertionError:
            return True
    return False


def inject_fault(module: Any, name: str, replacement: Any) -> AbstractContextManager[Any]:
    """Replaces a mechanism by a faulty one, to show that a check notices."""
    return mock.patch.object(module, name, replacement)
