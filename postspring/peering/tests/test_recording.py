"""Asking the holders of a copy whether it is recorded; no network."""

import unittest

from postspring import histories
from postspring import peering
from postspring.peering import messages
from postspring.peering import replicas
from postspring.testing.virtual import clock as clock_module

KEPT = histories.CopyState.KEPT
BEING_RECORDED = histories.CopyState.BEING_RECORDED
RECORDED = histories.CopyState.RECORDED


class Http:
    """Answers each question with the next state that its VM goes through."""

    def __init__(self, states_by_host):
        self.states_by_host = states_by_host
        self.asked = 0

    def send(self, request, collector):
        """Answer at once."""
        self.asked += 1
        states = self.states_by_host[request.address[0]]
        state = states.pop(0) if len(states) > 1 else states[0]
        collector.head(200, {})
        if state is not None:
            collector.data(messages.encode(messages.Kept(state.value)))
        collector.end()


class RecordingTest(unittest.TestCase):
    """What who waits is told, and what that costs."""

    def told(self, *states):
        """Return what is told when VMs go through some states."""
        clock = clock_module.VirtualClock()
        timers = clock_module.VirtualTimers(
            clock, clock_module.VirtualProcess("a")
        )
        self.http = Http({f"h{i}": list(s) for i, s in enumerate(states)})
        holders = [
            peering.Member(host, "1", "z", (host, 1), (host, 2))
            for host in self.http.states_by_host
        ]
        heard = []
        replicas.Recording(
            self.http, timers, holders, b"record", heard.append
        ).start()
        clock.run_for(3.0)
        return heard

    def test_one_that_has_recorded_it_is_enough(self):
        self.assertEqual([True], self.told([KEPT], [RECORDED]))

    def test_those_that_record_are_asked_again(self):
        states = [BEING_RECORDED, BEING_RECORDED, RECORDED]
        self.assertEqual([True], self.told([KEPT], states))
        self.assertEqual(4, self.http.asked)

    def test_if_nobody_has_the_log_nobody_waits(self):
        self.assertEqual([False], self.told([KEPT], [KEPT]))
        self.assertEqual(2, self.http.asked)

    def test_vms_of_before_say_nothing(self):
        self.assertEqual([False], self.told([None]))

    def test_nobody_is_asked_for_ever(self):
        self.assertEqual([False], self.told([BEING_RECORDED]))
        self.assertEqual(replicas.MOST_ROUNDS, self.http.asked)
