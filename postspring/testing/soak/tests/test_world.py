"""Tests of a run's shape."""

import json
import pathlib
import tempfile
import unittest

from postspring.platform import documents
from postspring.platform import settings
from postspring.testing.soak import world


class WorldTest(unittest.TestCase):
    """Addresses, settings and the configuration."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.world = world.build_world(world.Shape(), 1, folder.name, "127.99")

    def test_two_runs_have_two_networks(self):
        claims = [world.claim_network() for _ in range(50)]
        for network, claim in claims:
            claim.close()
        self.assertEqual(len({network for network, claim in claims}), 50)

    def test_vms_in_the_shape_of_the_sheet(self):
        places = [vm.data_center for vm in self.world.vms]
        counts = sorted(places.count(place) for place in set(places))
        self.assertEqual(counts, [3, 4, 4])
        self.assertEqual(len({vm.ip for vm in self.world.vms}), 11)

    def test_settings_are_those_of_the_platform(self):
        vm = self.world.vms[4]
        raw = self.world.settings(vm, bootstrap=True)
        told = settings.decode_settings(raw)
        self.assertEqual(told.vm, vm.name)
        self.assertEqual(told.callers, vm.callers)
        self.assertEqual(told.store, self.world.store)
        self.assertEqual((told.grace, told.first_start), (8.0, True))

    def test_the_configuration_can_be_read(self):
        data = json.dumps(world.configuration(3)).encode()
        snapshot = documents.decode_snapshot(data)
        self.assertEqual(len(snapshot.routes), 3)
        self.assertEqual(snapshot.longest_retention, world.RETENTION_SECONDS)

    def test_another_process_reads_the_same_world(self):
        path = self.world.save()
        self.assertTrue(pathlib.Path(path).exists())
        self.assertEqual(world.World.load(path), self.world)
