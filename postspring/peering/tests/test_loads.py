"""Sums of the VMs' calls in flight."""

import unittest

from postspring.peering import loads


class LoadCollectorTest(unittest.TestCase):
    """Reports are summed up, and expire."""

    def setUp(self):
        self.now = 0.0
        self.collector = loads.LoadCollector(lambda: self.now)

    def test_report_replaces_the_previous_one(self):
        self.collector.add_report("a", False, {"u": 5})
        self.collector.add_report("a", False, {"u": 1})
        self.assertEqual({"u": 1}, self.collector.data_center_sum())

    def test_own_calls_are_left_out(self):
        self.collector.add_report("a", False, {"u": 5})
        self.collector.add_report("b", False, {"u": 2})
        self.assertEqual({"u": 2}, self.collector.calls_except("a"))

    def test_data_centre_and_vm_of_the_same_name(self):
        self.collector.add_report("a", False, {"u": 5})
        self.collector.add_report("a", True, {"u": 2})
        self.assertEqual({"u": 2}, self.collector.calls_except("a"))
        self.assertEqual({"u": 5}, self.collector.data_center_sum())

    def test_outdated_report_is_dropped(self):
        self.collector.add_report("a", False, {"u": 5})
        self.now = loads.REPORT_VALID_SECONDS * 1.01
        self.collector.add_report("b", False, {"u": 1})
        self.assertEqual({"u": 1}, self.collector.data_center_sum())
