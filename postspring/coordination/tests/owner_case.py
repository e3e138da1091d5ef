"""A test of an owner with one program."""

import unittest

from postspring import coordination
from postspring.coordination.tests import harness

__all__ = ["OwnerCase"]

Ran = coordination.Ran


class OwnerCase(unittest.TestCase):
    """An owner with one program."""

    def setUp(self):
        self.bench = harness.OwnerHarness()
        self.program = self.bench.create()

    def assert_refused(self, number, reason, ran=Ran.NOT_RUN):
        """Check that a request was refused so."""
        reply = self.bench.reply(number)
        self.assertIsInstance(reply, coordination.Refused)
        self.assertEqual((reason, ran), (reply.reason, reply.ran))
        return reply

    def granted(self, number):
        """Return the grant that a request was answered with."""
        reply = self.bench.reply(number)
        self.assertIsInstance(reply, coordination.Grant)
        return reply

    def answer_model_call(self, step=1, **options):
        """Run a model call to its end; return the answered turn."""
        call = self.bench.model_call(self.program, step, **options)
        number = self.bench.ask(call)
        self.bench.log()
        done = self.bench.finish(self.granted(number))
        self.bench.log()
        return self.bench.reply(done).turn
