"""Decoding of the configuration and of upstreams' entries."""

import json
import math
import unittest

from postspring import errors
from postspring import platform
from postspring import routing
from postspring.testing.fleet import fleet


class SnapshotTest(unittest.TestCase):
    """The operator's configuration."""

    def decode(self, raw):
        """Decode a configuration document."""
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

    def test_traffic_split_by_weight(self):
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

    def test_invalid_configurations(self):
        for raw in ([], {}, {"version": 1}, {"version": "x", "routes": []}):
            with self.assertRaises(errors.ConfigurationError):
                self.decode(raw)
        with self.assertRaises(errors.ConfigurationError):
            platform.decode_snapshot(b"\xff")

    def test_route_with_a_value_that_can_not_be_used(self):
        """Guards against calls that fail or hang under a configuration.

        A timeout that is not a number can be neither sent nor waited for.
        """
        durations = (math.inf, math.nan, -5, 1e300, 10**400, "x", "nan", [1])
        for name in ("timeout_ms", "target_latency_ms", "retention_s"):
            for value in durations:
                self.assert_route_rejected(name, value)
        self.assert_route_rejected("gap_aim_ms", math.nan)
        for name in ("name", "host", "path_prefix", "service"):
            for value in (None, 5, [], {}, "\ud800"):
                self.assert_route_rejected(name, value)
        for weight in (math.nan, math.inf, -1, 1e308, "x"):
            split = [{"service": "a", "weight": weight}]
            self.assert_route_rejected("traffic_split", split)

    def assert_route_rejected(self, name, value):
        """Check that a configuration with such a route is rejected."""
        raw = fleet.default_configuration()
        raw["routes"][0][name] = value
        with self.subTest(f"{name}={ascii(value)[:20]}"):
            with self.assertRaises(errors.ConfigurationError):
                self.decode(raw)

    def test_limits_and_version_out_of_bounds(self):
        for value in (math.inf, math.nan, -5, 1e300, 10**400, "x"):
            for name in (
                "max_header_bytes",
                "max_body_bytes",
                "header_timeout_ms",
                "idle_timeout_ms",
            ):
                raw = fleet.default_configuration()
                raw["limits"][name] = value
                with self.subTest(f"{name}={str(value)[:20]}"):
                    with self.assertRaises(errors.ConfigurationError):
                        self.decode(raw)
            raw = fleet.default_configuration() | {"version": value}
            with self.assertRaises(errors.ConfigurationError):
                self.decode(raw)

    def test_missing_and_empty_limits_have_defaults(self):
        default = routing.CallerLimits()
        for limits in (None, {}, {"idle_timeout_ms": 0, "max_body_bytes": 0}):
            raw = fleet.default_configuration() | {"limits": limits}
            self.assertEqual(default, self.decode(raw).limits)

    def test_too_deeply_nested_configuration(self):
        deeply_nested = b'{"version":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        with self.assertRaises(errors.ConfigurationError):
            platform.decode_snapshot(deeply_nested)


class AnnouncementTest(unittest.TestCase):
    """Upstreams' entries."""

    RAW = {
        "service": "s",
        "address": "10.0.0.9:80",
        "zone": "z",
        "version": "v1",
        "slots": 6,
        "state": "draining",
        "warmup_remaining_ms": 500,
        "sequence": 4,
    }

    def assert_rejected(self, data):
        """Check that ``data`` is rejected as an entry."""
        with self.assertRaises(errors.UpstreamError):
            platform.decode_announcement("i-1", data)

    def test_fields(self):
        data = json.dumps(self.RAW).encode()
        entry = platform.decode_announcement("i-1", data)
        self.assertEqual(("10.0.0.9", 80), entry.address)
        self.assertTrue(entry.leaving)
        self.assertEqual(0.5, entry.warm_up)

    def test_start_time(self):
        data = json.dumps(self.RAW | {"born": 1_764_700_000_123}).encode()
        entry = platform.decode_announcement("i-1", data)
        self.assertEqual(1_764_700_000_123, entry.born)

    def test_invalid_entries(self):
        for raw in ({}, [], self.RAW | {"address": "x"}):
            with self.assertRaises(errors.UpstreamError):
                platform.decode_announcement("i-1", json.dumps(raw).encode())

    def test_missing_field(self):
        for name in self.RAW:
            raw = dict(self.RAW)
            del raw[name]
            with self.subTest(name):
                self.assert_rejected(json.dumps(raw).encode())

    def test_field_of_wrong_type_or_out_of_bounds(self):
        wrong = [
            ("service", 5),
            ("service", ""),
            ("address", "10.0.0.9:99999"),
            ("address", "10.0.0.9:0"),
            ("address", "machine:80"),
            ("address", "10.0.0.9:８０"),
            ("address", "10.0.0.9:²"),
            ("address", "10.0.0.9:" + "9" * 190),
            ("address", "10.0.0.9\0:80"),
            ("address", "１0.0.0.9:80"),
            ("address", "0.0.0.0:80"),
            ("address", "224.0.0.1:80"),
            ("address", "255.255.255.255:80"),
            ("slots", "4"),
            ("slots", True),
            ("slots", 2.7),
            ("slots", 0),
            ("state", "retired"),
            ("state", 7),
            ("warmup_remaining_ms", -1),
            ("warmup_remaining_ms", 1e300),
            ("sequence", "x"),
            ("born", 1.5),
            ("born", "1764700000123"),
            ("born", -1),
        ]
        for name, value in wrong:
            with self.subTest(name=name, value=value):
                self.assert_rejected(
                    json.dumps(self.RAW | {name: value}).encode()
                )

    def test_undecodable_bytes(self):
        overflowing = json.dumps(self.RAW).replace("500", "1e400")
        deeply_nested = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        for data in (b"", b"\xff", b"{", overflowing.encode(), deeply_nested):
            with self.subTest(data[:20]):
                self.assert_rejected(data)

    def test_id_that_can_not_be_sent(self):
        """Guards against one odd key that fails all calls of a service.

        An id is hashed for the choice of upstreams, and sent in a field.
        """
        data = json.dumps(self.RAW).encode()
        ids = ("", " ", "a ", "a\r\nX: y", "a\0", "\x7f", "\ud800", "\ufffd")
        for upstream in ids:
            with self.subTest(ascii(upstream)):
                with self.assertRaises(errors.UpstreamError) as caught:
                    platform.decode_announcement(upstream, data)
                self.assertTrue(str(caught.exception).isprintable())
        for upstream in ("i-1", "a b", "\xe9", "x" * 255):
            entry = platform.decode_announcement(upstream, data)
            self.assertEqual(upstream, entry.id)
