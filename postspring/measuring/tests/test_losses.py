"""What a day lost, from log lines."""

import unittest

from postspring.measuring import losses


def line(at, message, program="p", upstream="u", **other):
    """Return the log line of a turn."""
    fields = {
        "logger": losses.CALLS_LOGGER,
        "at": at,
        "message": message,
        "program": program,
        "line": "l",
        "route": "r",
        "upstream": upstream,
        "data_center": "d1",
        "ceiling": 16,
        "prompt_tokens": 100,
        "ms": 100.0,
        "tokens": 10,
    }
    return fields | other


class LossesTest(unittest.TestCase):
    """Reasons, waste and latency."""

    def test_reasons_stand_by_window(self):
        found = losses.Losses(
            [
                line(1.0, "answered"),
                line(2.5, "refused", reason="turn_uncertain"),
                line(3.5, "broken_off", reason="POST 10.0.0.1:1: reset"),
            ]
        )
        expected = {2.0: {"refused:turn_uncertain": 1, "broken_off:reset": 1}}
        self.assertEqual(expected, found.reasons_by_window())
        self.assertEqual(3, sum(found.reasons().values()))
        self.assertEqual(["d1"], list(found.reasons_by_data_center()))

    def test_a_line_that_moves_is_read_again(self):
        found = losses.Losses(
            [
                line(1.0, "answered"),
                line(2.0, "answered"),
                line(3.0, "answered", upstream="v"),
                line(4.0, "broken_off", upstream="v", reason="x"),
                line(5.0, "refused", upstream="w", reason="y"),
            ]
        )
        expected = {"offered": 400, "moved": 100, "for_nobody": 100}
        self.assertEqual(expected, found.waste())

    def test_latency_counts_the_wait_after_a_refusal(self):
        usual = [
            line(float(n), "answered", program=f"p{n}")
            for n in range(losses.LEAST_TURNS)
        ]
        slow = [
            line(50.0, "refused", program="slow", ms=10.0),
            line(51.1, "answered", program="slow"),
        ]
        found = losses.Losses([*usual, *slow]).latency_by_route()
        count, median, p95 = found["r"]
        self.assertEqual(losses.LEAST_TURNS + 1, count)
        self.assertAlmostEqual(1.0, median, 1)
        ratios = losses.Losses(slow)
        self.assertEqual({}, ratios.latency_by_route())
        self.assertAlmostEqual(1110.0, losses._busy_ms(slow), 0)

    def test_lines_that_are_none_are_passed_over(self):
        text = ["{", "{}", "[1]", "x {1}", '1 a {"logger": "l"}']
        self.assertEqual(1, len(list(losses.read_lines(text))))
