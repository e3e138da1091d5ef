"""What a VM that stood still may conclude from what it finds then.

Seen by reading: the other VMs promise for 0.5 s to stay back from a program,
and the answers may be read later than that, when the loop was not turned
meanwhile; another VM may go on by then.  A VM also took members for expired
by its own clock, though it had not read the list for as long.
Cause: the age of what was heard was not looked at.  Proof: these tests.
"""

import types
import unittest

from postspring import forwarding
from postspring import histories
from postspring import peering
from postspring.peering import messages
from postspring.peering.tests import test_members
from postspring.testing.virtual import clock as clock_module


def member(name):
    """Return a VM."""
    return peering.Member(name, f"{name}/1", "z", ("h", 1), ("h", 2))


class Http:
    """Keeps the questions."""

    def __init__(self):
        self.collectors = []

    def send(self, request, collector):
        """Keep who waits for the answer."""
        self.collectors.append(collector)


class LatePromiseTest(unittest.TestCase):
    """Answers that are older than the promises in them."""

    def finding_after(self, seconds):
        """Return what is found if the answer is read so late."""
        clock = clock_module.VirtualClock()
        timers = clock_module.VirtualTimers(
            clock, clock_module.VirtualProcess("a")
        )
        members = types.SimpleNamespace(
            own=member("a"),
            listed=[member("b")],
            absent=[],
            is_announced=True,
            own_entry=b"",
        )
        http = Http()
        client = peering.PeerClient(
            http,
            members,
            peering.Promises("a", timers.now),
            lambda: True,
            None,
            timers,
        )
        found = []
        facts = forwarding.CallFacts(
            "r", program=histories.ProgramId("p"), ceiling=10
        )
        client.find(facts, found.append, forwarding.Question.HOME)
        clock.run_for(seconds)
        answer = messages.encode(messages.Found(False, False, False, True))
        (collector,) = http.collectors
        collector.head(200, {})
        collector.data(answer)
        collector.end()
        return found[0]

    def test_one_in_time_lets_a_program_begin(self):
        self.assertTrue(self.finding_after(0.1).is_answered)

    def test_one_that_is_read_late_does_not(self):
        self.assertFalse(self.finding_after(0.6).is_answered)


class LateListTest(test_members.MembersCase):
    """A VM that stood still has not read the list."""

    def test_nobody_expires_by_that(self):
        own = self.members("one")
        self.members("two")
        self.clock.run_for(6.0)
        process = own._timers._process
        process.freeze()
        self.clock.run_for(20.0)
        process.thaw()
        names = [member.name for member in own.others]
        self.assertEqual(["two"], names)
