"""Reasons for a VM not to deny that a route or key exists."""

import math
import unittest

from postspring import forwarding


class DoubtsTest(unittest.TestCase):
    """Each reason on its own, and no reason."""

    def doubts(self, age, **other):
        """Return the doubts for a view's age and a bound of 2 s."""
        return forwarding.find_doubts(age, 2.0, **other)

    def test_no_doubt_up_to_the_bound(self):
        self.assertEqual((), self.doubts(0.0))
        self.assertEqual((), self.doubts(2.0))

    def test_view_older_than_the_bound(self):
        self.assertEqual((forwarding.Doubt.OLD,), self.doubts(2.001))

    def test_log_that_never_answered(self):
        self.assertEqual(
            (forwarding.Doubt.LOG_UNHEARD,), self.doubts(math.inf)
        )

    def test_undecodable_newest_record(self):
        found = self.doubts(0.0, is_readable=False)
        self.assertEqual((forwarding.Doubt.UNREADABLE,), found)
