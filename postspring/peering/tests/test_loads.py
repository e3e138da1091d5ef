"""Sums of what VMs have in flight."""

import unittest

from postspring.peering import loads


class LoadCollectorTest(unittest.TestCase):
    """Reports are added up, and forgotten."""

    def setUp(self):
        self.now = 0.0
        self.collector = loads.LoadCollector(lambda: self.now)

    def test_a_report_stands_in_place_of_the_one_before(self):
        self.collector.add_report("a", False, {"u": 5})
        self.collector.add_report("a", False, {"u": 1})
        self.assertEqual({"u": 1}, self.collector.data_center_sum())

    def test_a_vm_does_not_hear_of_its_own_calls(self):
        self.collector.add_report("a", False, {"u": 5})
        self.collector.add_report("b", False, {"u": 2})
        self.assertEqual({"u": 2}, self.collector.calls_except("a"))

    def test_a_data_centre_may_have_a_vms_name(self):
        self.collector.add_report("a", False, {"u": 5})
        self.collector.add_report("a", True, {"u": 2})
        self.assertEqual({"u": 2}, self.collector.calls_except("a"))
        self.assertEqual({"u": 5}, self.collector.data_center_sum())

    def test_an_old_report_says_nothing(self):
        self.collector.add_report("a", False, {"u": 5})
        self.now = loads.REPORT_VALID_SECONDS * 1.01
        self.collector.add_report("b", False, {"u": 1})
        self.assertEqual({"u": 1}, self.collector.data_center_sum())
