"""Tests of what was under way in a run."""

import unittest

from postspring.testing.soak import events


def event(action: str, at: float, vm: str = "vm1", until: float = 0.0):
    """Return an event."""
    return events.Event(at, action, vm, until or at)


class HistoryTest(unittest.TestCase):
    """Questions to the list of events."""

    def test_how_long_stops_took(self):
        history = events.History(
            [
                event("stop", 10.0),
                event("stop", 11.0, "vm2"),
                event("stopped", 13.5),
                event("stopped", 18.0, "vm2"),
                event("stop", 30.0),
                event("stopped", 34.0),
            ]
        )
        self.assertEqual(history.stop_seconds(), [3.5, 7.0, 4.0])

    def test_a_disruption_lasts_until_all_is_stable(self):
        history = events.History([event("store", 10.0, "", 14.0)])
        self.assertTrue(history.is_disturbed(16.9, 20.0))
        self.assertFalse(history.is_disturbed(17.1, 20.0))
        self.assertFalse(history.is_disturbed(5.0, 9.9))

    def test_planned_work_is_no_disruption(self):
        history = events.History([event("stop", 10.0)])
        self.assertFalse(history.is_disturbed(9.0, 11.0))
        self.assertFalse(history.is_in_touch("vm1", 11.0))
        self.assertTrue(history.is_in_touch("vm2", 11.0))
