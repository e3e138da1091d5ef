"""What a VM may conclude from a response that it reads after a pause.

Another VM's lease on a program lasts for 0.5 s, but a paused process may read
the response later; a third VM may run the program offline by then.  A paused
VM also must not expire members by its own clock, as it has not read the list
for as long.  Both went wrong when the age of what had been read was not
checked.
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
    return peering.Member(
        name, f"{name}/1", "z", ("10.0.0.1", 1), ("10.0.0.1", 2)
    )


class PeerHttp:
    """Stores the requests' collectors."""

    def __init__(self):
        self.collectors = []

    def send(self, request, collector):
        """Store the collector of the response."""
        self.collectors.append(collector)


class ExpiredLeaseTest(unittest.TestCase):
    """Responses that are older than the leases they grant."""

    def finding_after(self, seconds):
        """Return the finding when the response is read after ``seconds``."""
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
        http = PeerHttp()
        client = peering.PeerClient(
            http,
            members,
            peering.ProgramLeases("a", timers.now),
            lambda: True,
            types.SimpleNamespace(is_confirmed=False),
            timers,
        )
        found = []
        facts = forwarding.CallFacts(
            "r", program=histories.ProgramId("p"), ceiling=10
        )
        client.find(facts, found.append, forwarding.Question.OFFLINE)
        clock.run_for(seconds)
        answer = messages.encode(
            messages.FindResponse(False, False, False, True)
        )
        (collector,) = http.collectors
        collector.head(200, {})
        collector.data(answer)
        collector.end()
        return found[0]

    def test_timely_response_counts(self):
        self.assertTrue(self.finding_after(0.1).is_answered)

    def test_response_after_the_lease_does_not_count(self):
        self.assertFalse(self.finding_after(0.6).is_answered)


class PausedVmTest(test_members.MembersCase):
    """A paused VM has not read the list."""

    def test_no_member_expires_by_a_pause(self):
        own = self.start_members("one")
        self.start_members("two")
        self.clock.run_for(6.0)
        process = own._timers._process
        process.freeze()
        self.clock.run_for(20.0)
        process.thaw()
        names = [member.name for member in own.others]
        self.assertEqual(["two"], names)
