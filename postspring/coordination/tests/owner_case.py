"""Base class for tests of an owner with one program."""

import unittest

from postspring import coordination
from postspring.coordination.tests import harness

__all__ = ["OwnerCase"]

Ran = coordination.Ran


class OwnerCase(unittest.TestCase):
    """Test case of an owner with one program."""

    def setUp(self):
        self.harness = harness.OwnerHarness()
        self.program = self.harness.create()

    def assert_refused(self, number, reason, ran=Ran.NOT_RUN):
        """Check the reason of a refusal, and what it says of the run."""
        reply = self.harness.reply_to(number)
        self.assertIsInstance(reply, coordination.Refused)
        self.assertEqual((reason, ran), (reply.reason, reply.ran))
        return reply

    def assert_granted(self, number):
        """Check that a request was answered with a grant; return it."""
        reply = self.harness.reply_to(number)
        self.assertIsInstance(reply, coordination.Grant)
        return reply

    def answer_model_call(self, step=1, **options):
        """Run a model call to completion; return the answered turn."""
        call = self.harness.model_call(self.program, step, **options)
        number = self.harness.send(call)
        self.harness.flush_log()
        finished = self.harness.finish(self.assert_granted(number))
        self.harness.flush_log()
        return self.harness.reply_to(finished).turn
