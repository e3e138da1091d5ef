"""The base of tests on a fleet."""

import unittest

from postspring.testing.fleet import fleet as fleet_module

__all__ = ["EVENTS", "FleetCase"]

# What an engine streams by default.
EVENTS = b"".join(b"id: %d\ndata: w%d\n\n" % (n, n) for n in (1, 2, 3))


class FleetCase(unittest.TestCase):
    """Starts the parts; a test may ask for more of them."""

    vms = 1
    engines = 1
    tools = 1

    def setUp(self):
        self.fleet = fleet_module.Fleet(self.vms, self.engines, self.tools)
        self.addCleanup(self.fleet.close)
