"""Shares of the memory for what connections hold before it is a body.

Guards against clients that fill the memory of a host over many connections, and against refusing an
ordinary request while they are there.
"""

import unittest
from random import Random

from endivedrift.policy import (
    GUARANTEED_BYTES,
    ConnectionInput,
    InputBudget,
    compute_input_budget,
    compute_room,
    estimate_request_bytes,
    hold_input,
)

MB = 1_000_000
HEAD_LIMIT = 16_384
PIECE_BYTES = 65_536
SMALLEST_HOST = 200 * MB


class InputBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = InputBudget(compute_input_budget(SMALLEST_HOST))

    def fill(self, count: int, rng: Random) -> list[ConnectionInput]:
        """Lets connections hold what they can get, in pieces and in a random order."""
        connections = [ConnectionInput() for _ in range(count)]
        for connection in rng.choices(connections, k=20 * count):
            room = compute_room(self.budget, connection)
            hold_input(self.budget, connection, min(room, PIECE_BYTES))
        return connections

    def test_all_connections_together_stay_within_limit_and_guarantee(self) -> None:
        for count in (4, 100, 2_000):
            with self.subTest(connections=count):
                self.setUp()
                self.fill(count, Random(count))
                self.assertLessEqual(self.budget.used, self.budget.limit + count * GUARANTEED_BYTES)

    def test_an_ordinary_request_has_room_however_much_others_hold(self) -> None:
        self.fill(2_000, Random(1))
        needed = estimate_request_bytes(1_000, 20)
        self.assertGreaterEqual(compute_room(self.budget, ConnectionInput()), needed)

    def test_the_largest_head_has_room_in_calm(self) -> None:
        # The shortest header that is not empty has four bytes with its end of line.
        needed = estimate_request_bytes(HEAD_LIMIT, HEAD_LIMIT // 4)
        for memory_bytes in (128 * MB, SMALLEST_HOST, 552 * MB):
            budget = InputBudget(compute_input_budget(memory_bytes))
            self.assertGreaterEqual(compute_room(budget, ConnectionInput()), needed)

    def test_room_is_regained_when_bytes_are_released(self) -> None:
        before = compute_room(self.budget, ConnectionInput())
        for connection in self.fill(50, Random(2)):
            hold_input(self.budget, connection, -connection.size)
        self.assertEqual(compute_room(self.budget, ConnectionInput()), before)


if __name__ == "__main__":
    unittest.main()
