"""Whom a VM asks about a program."""

import unittest

from postspring import forwarding
from postspring import peering
from postspring.peering import messages
from postspring.peering import search


def member(name, place):
    """Return a VM."""
    return peering.Member(name, f"{name}/1", place, ("", 1), ("", 2))


class SearchTest(unittest.TestCase):
    """Two VMs near, two far."""

    def setUp(self):
        self.near = [member("a", "z1"), member("b", "z1")]
        self.far = [member("c", "z2"), member("d", "z2")]
        self.asked = []
        self.done = []
        self.search = search.Search(
            self.near + self.far,
            [self.near, self.far],
            self.ask,
            self.done.append,
        )
        self.search.start()

    def ask(self, vms):
        """Take note of who is asked."""
        self.asked += vms
        return True

    def answer(self, vm, can_take=False):
        """Let a VM answer."""
        found = messages.Found(can_take, can_take, can_take, True)
        self.search.answered(vm, found)

    def test_a_near_vm_that_takes_it_saves_asking_the_others(self):
        self.answer(self.near[0], can_take=True)
        self.answer(self.near[1])
        self.assertEqual(self.near, self.asked)
        self.assertEqual(1, len(self.done))
        finding = self.search.finding(member("own", "z1"), True)
        self.assertEqual("a", finding.taker.id)
        self.assertIn(forwarding.Doubt.VM_UNHEARD, finding.doubts)

    def test_all_are_asked_if_no_near_one_takes_it(self):
        for vm in self.near:
            self.answer(vm)
        self.assertEqual(self.near + self.far, self.asked)
        self.assertEqual([], self.done)
        self.answer(self.far[0])
        self.search.failed()
        finding = self.search.finding(member("own", "z1"), True)
        self.assertEqual(1, len(self.done))
        self.assertIn(forwarding.Doubt.VM_UNHEARD, finding.doubts)

    def test_one_that_may_not_be_asked_has_no_answer(self):
        done = []
        refused = search.Search(
            self.near, [self.near], lambda vms: False, done.append
        )
        refused.start()
        self.assertEqual([refused], done)
        finding = refused.finding(member("own", "z1"), True)
        self.assertTrue(finding.is_refused)
        self.assertFalse(finding.is_answered)
        self.assertIn(forwarding.Doubt.VM_UNHEARD, finding.doubts)

    def test_nor_if_some_were_asked_before(self):
        stages = [self.near, self.far]
        refused = search.Search(
            self.near + self.far,
            stages,
            lambda vms: vms is self.near,
            self.done.append,
        )
        refused.start()
        for vm in self.near:
            refused.answered(vm, messages.Found(False, False, False, True))
        finding = refused.finding(member("own", "z1"), True)
        self.assertFalse(finding.is_answered)
        self.assertFalse(finding.is_certain)

    def test_nobody_is_there(self):
        done = []
        nobody = search.Search([], [[], []], None, done.append)
        nobody.start()
        self.assertEqual([nobody], done)
