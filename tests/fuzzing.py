"""Support for the stateful fuzz tests: settings, and checks that they detect injected faults.

By default Hypothesis derives the histories from the source of the state machine, so that they stay
the same until the machine changes. The environment sets another seed and number of examples:
`ENDIVEDRIFT_FUZZ_EXAMPLES=5000 ENDIVEDRIFT_FUZZ_SEED=7 make test`.
"""

import os
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

DEFAULT_EXAMPLES = 200
STEPS_PER_HISTORY = 50
DETECTION_SEEDS = 10
DETECTION_EXAMPLES = 1_000


def fuzz_machine(
    machine: type[RuleBasedStateMachine],
    examples: int = DEFAULT_EXAMPLES,
    shrink: bool = True,
    fixed_seed: int | None = None,
) -> None:
    """Runs a state machine and checks its assertions and invariants.

    Args:
      machine: The state machine class.
      examples: Number of histories, unless the environment sets it.
      shrink: Whether a failing history is reduced to a minimal one.
      fixed_seed: The seed of the histories, or None to derive them from the machine's source. A
        seed in the environment takes precedence.
    Raises:
      AssertionError: If a history violates an assertion or invariant.
    """
    max_examples = int(os.environ.get("ENDIVEDRIFT_FUZZ_EXAMPLES", examples))
    seed = os.environ.get("ENDIVEDRIFT_FUZZ_SEED") or fixed_seed
    chosen = settings(
        max_examples=max_examples,
        stateful_step_count=STEPS_PER_HISTORY,
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


def fuzz_input(test: Callable[..., None]) -> Callable[..., None]:
    """Runs a property test of `given` on fixed inputs, as many as the environment sets.

    A seed in the environment gives other inputs than the default ones, which follow from the test's
    source.
    """
    seed = os.environ.get("ENDIVEDRIFT_FUZZ_SEED")
    chosen = settings(
        max_examples=int(os.environ.get("ENDIVEDRIFT_FUZZ_EXAMPLES", DEFAULT_EXAMPLES)),
        deadline=None,
        derandomize=seed is None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    if seed is not None:
        test = hypothesis.seed(int(seed))(test)
    return chosen(test)


def list_paths(document: Any, prefix: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yields the path of each value in a JSON document, beginning with the document's own."""
    yield prefix
    items: Any = ()
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    for key, value in items:
        yield from list_paths(value, (*prefix, key))


def detects_fault(machine: type[RuleBasedStateMachine]) -> bool:
    """Tells whether a machine finds a violation in the histories of several fixed seeds.

    Hypothesis also draws from the constants of all loaded modules, so that the histories of one
    seed differ between a run of a single test and a run of all tests. Several seeds are tried so
    that the result doesn't depend on this.

    Args:
      machine: The state machine class.
    Returns:
      Whether the histories of any of the seeds contain a violation.
    """
    for seed in range(1, DETECTION_SEEDS + 1):
        try:
            fuzz_machine(machine, DETECTION_EXAMPLES, shrink=False, fixed_seed=seed)
        except AssertionError:
            return True
    return False


def inject_fault(module: Any, name: str, replacement: Any) -> AbstractContextManager[Any]:
    """Replaces an attribute by a faulty one, to show that a check detects the fault.

    Args:
      module: The module or class.
      name: The name of its attribute.
      replacement: The faulty value.
    Returns:
      A context manager that restores the attribute on exit.
    """
    return mock.patch.object(module, name, replacement)
