"""Whether callers have another way: in a cut, and in an outage for all VMs.

Guards against answers that are broken off, and turns that are refused, as if
the data centre were cut off, while VMs of other data centres answer and reach
the log as little as this one does.
"""

import types
import unittest

from postspring import peering
from postspring.testing.virtual import clock as clock_module


def member(name, data_center):
    """Return a VM."""
    return peering.Member(name, f"{name}/1", data_center, ("", 1), ("", 2))


class Vms:
    """The VMs elsewhere: they answer after 1 ms, or never."""

    def __init__(self, timers):
        self._timers = timers
        self.are_silent = False

    def send(self, request, listener):
        """Answer a probe, or let it time out."""
        if self.are_silent:
            error = TimeoutError("no answer")
            self._timers.call_later(request.timeout, listener.failed, error)
            return
        self._timers.call_later(0.001, listener.head, 200, {})
        self._timers.call_later(0.001, listener.end)


class IsolationOrOutageTest(unittest.TestCase):
    """One VM, which loses its path to the log."""

    def setUp(self):
        self.clock = clock_module.VirtualClock()
        process = clock_module.VirtualProcess("own")
        self.timers = clock_module.VirtualTimers(self.clock, process)
        self.vms = Vms(self.timers)
        self.lost_at = None
        members = types.SimpleNamespace(
            own=member("own", "z1"),
            others=[member("near", "z1"), member("far", "z2")],
        )
        self.isolation = peering.Isolation(
            self.vms,
            self.timers,
            members,
            lambda: self.lost_at is None,
            lambda: self.clock.now - self.lost_at,
        )
        self.clock.run_for(1.0)

    def lose_log(self):
        """Lose the path to the log."""
        self.lost_at = self.clock.now
        self.isolation.note_path_change()

    def cut_off(self):
        """Lose the VMs elsewhere as well."""
        self.vms.are_silent = True

    @property
    def has_another_way(self):
        """Whether a caller that came just now can be served elsewhere."""
        return self.isolation.can_retry_elsewhere(self.clock.now)

    def has_another_way_for(self, seconds):
        """Return the answers of that time, each tenth of a second."""
        answers = set()
        for _ in range(round(10 * seconds)):
            answers.add(self.has_another_way)
            self.clock.run_for(0.1)
        return answers

    def test_callers_have_another_way_from_the_moment_of_a_cut(self):
        self.lose_log()
        self.cut_off()
        self.assertEqual({True}, self.has_another_way_for(2.0))
        self.assertTrue(self.isolation.is_isolated)

    def test_nobody_has_another_way_in_an_outage_for_all(self):
        self.lose_log()
        self.clock.run_for(0.5)
        self.assertEqual({False}, self.has_another_way_for(10.0))
        self.assertFalse(self.isolation.is_isolated)

    def test_cut_in_an_outage_for_all(self):
        self.lose_log()
        self.clock.run_for(3.0)
        self.cut_off()
        self.clock.run_for(1.0)
        self.assertTrue(self.isolation.is_isolated)
        self.assertTrue(self.has_another_way)

    def test_outage_that_follows_a_cut(self):
        self.lose_log()
        self.cut_off()
        self.clock.run_for(2.0)
        self.vms.are_silent = False
        self.clock.run_for(0.5)
        self.assertFalse(self.isolation.is_isolated)
        self.assertFalse(self.has_another_way)

    def test_callers_have_another_way_once_the_log_is_back(self):
        self.lose_log()
        self.clock.run_for(3.0)
        self.lost_at = None
        self.clock.run_for(0.2)
        self.assertTrue(self.has_another_way)
