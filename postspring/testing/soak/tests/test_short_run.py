"""A short run of real daemons: planned work alone loses nothing."""

import pathlib
import tempfile
import unittest

from postspring.testing.soak import report
from postspring.testing.soak import world

SEED = 11
SECONDS = 25.0


class ShortRunTest(unittest.TestCase):
    """Four VMs that are stopped and started while callers go on."""

    def test_stops_lose_nothing(self):
        shape = world.Shape(vms=4, engines=2, services=3, users=15)
        with tempfile.TemporaryDirectory() as folder:
            outcome = report.play(
                SEED, SECONDS, "stops", shape, pathlib.Path(folder, "run")
            )
        self.assertGreater(outcome.counts["stop"], 0)
        self.assertEqual(outcome.details(), [])
