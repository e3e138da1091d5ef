"""What makes a VM unsure that there is no such thing."""

import math
import unittest

from postspring import forwarding


class DoubtsTest(unittest.TestCase):
    """Every reason alone, and none."""

    def doubts(self, age, **other):
        """Return the doubts at an age; the bound is 2 s."""
        return forwarding.doubts_of(age, 2.0, **other)

    def test_up_to_the_bound_there_is_none(self):
        self.assertEqual((), self.doubts(0.0))
        self.assertEqual((), self.doubts(2.0))

    def test_beyond_the_bound(self):
        self.assertEqual((forwarding.Doubt.OLD,), self.doubts(2.001))

    def test_a_log_that_never_answered(self):
        self.assertEqual(
            (forwarding.Doubt.LOG_UNHEARD,), self.doubts(math.inf)
        )

    def test_a_record_that_can_not_be_read(self):
        found = self.doubts(0.0, is_readable=False)
        self.assertEqual((forwarding.Doubt.UNREADABLE,), found)
