"""Documents in the store."""

import json
import unittest

from postspring import errors
from postspring import platform
from postspring import routing
from postspring.testing.fleet import fleet


class SnapshotTest(unittest.TestCase):
    """The operator's configuration."""

    def decode(self, raw):
        """Decode a document."""
        return platform.decode_snapshot(json.dumps(raw).encode())

    def test_routes(self):
        snapshot = self.decode(fleet.default_configuration(7))
        route = snapshot.table.find(fleet.HOST, "/stream/x")
        self.assertEqual(7, snapshot.version)
        self.assertIs(routing.CallKind.STREAM, route.kind)
        self.assertTrue(route.keeps_history)
        self.assertEqual(
            (3.0, 0.2, 60.0), (route.timeout, route.objective, route.retention)
        )

    def test_kinds(self):
        snapshot = self.decode(fleet.default_configuration())
        safe = snapshot.table.find(fleet.HOST, "/safe/x")
        once = snapshot.table.find(fleet.HOST, "/once/x")
        self.assertTrue(safe.may_repeat)
        self.assertFalse(once.may_repeat)

    def test_a_split_by_weight(self):
        raw = fleet.default_configuration()
        del raw["routes"][0]["service"]
        raw["routes"][0]["traffic_split"] = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
        ]
        route = self.decode(raw).table.find(fleet.HOST, "/safe/x")
        self.assertEqual("a", route.choose_service(0.89))
        self.assertEqual("b", route.choose_service(0.91))

    def test_limits(self):
        limits = self.decode(fleet.default_configuration()).limits
        self.assertEqual(1_000_000, limits.body_bytes)
        self.assertEqual(15.0, limits.idle_seconds)

    def test_what_is_no_configuration(self):
        for raw in ([], {}, {"version": 1}, {"version": "x", "routes": []}):
            with self.assertRaises(errors.ConfigurationError):
                self.decode(raw)
        with self.assertRaises(errors.ConfigurationError):
            platform.decode_snapshot(b"\xff")


class AnnouncementTest(unittest.TestCase):
    """Upstreams' entries."""

    RAW = {
        "service": "s",
        "address": "10.0.0.9:80",
        "zone": "z",
        "slots": 6,
        "state": "draining",
        "warmup_remaining_ms": 500,
    }

    def test_fields(self):
        data = json.dumps(self.RAW).encode()
        entry = platform.decode_announcement("i-1", data)
        self.assertEqual(("10.0.0.9", 80), entry.address)
        self.assertTrue(entry.leaving)
        self.assertEqual(0.5, entry.warm_up)

    def test_what_is_none(self):
        for raw in ({}, [], self.RAW | {"address": "x"}):
            with self.assertRaises(errors.UpstreamError):
                platform.decode_announcement("i-1", json.dumps(raw).encode())
