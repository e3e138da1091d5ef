"""The base of tests on a fleet."""

import unittest
from unittest import mock

from postspring.testing.fleet import fleet as fleet_module
from postspring.testing.fleet import turned_clock
from postspring.transport import timers as timers_module

__all__ = ["EVENTS", "FleetCase", "TurnedFleetCase"]

# What an engine streams by default.
EVENTS = b"".join(b"id: %d\ndata: w%d\n\n" % (n, n) for n in (1, 2, 3))


class FleetCase(unittest.TestCase):
    """Starts the parts; a test may ask for more of them."""

    vms = 1
    engines = 1
    tools = 1

    clock: turned_clock.TurnedClock | None = None

    def setUp(self):
        self.fleet = fleet_module.Fleet(
            self.vms, self.engines, self.tools, self.clock
        )
        self.addCleanup(self.fleet.close)


class TurnedFleetCase(FleetCase):
    """Runs a fleet whose time passes by its turns.

    A process that the machine does not run for a while loses no time then.
    """

    def setUp(self):
        self.clock = turned_clock.TurnedClock(fleet_module.TICK_SECONDS)
        patch = mock.patch.object(timers_module, "time", self.clock)
        patch.start()
        self.addCleanup(patch.stop)
        super().setUp()
