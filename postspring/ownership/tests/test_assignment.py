"""Tests of the assignment of slots to VMs."""

import unittest

from postspring import ownership

VMS = [f"vm-{number}" for number in range(12)]


class AssignmentTest(unittest.TestCase):
    """Preferred owners and plans."""

    def setUp(self):
        self.fold = ownership.StreamFold(slots=64)

    def claim(self, slot, owner, incarnation=None):
        """Apply a claim."""
        state = self.fold.slot_by_number[slot]
        self.fold.apply(
            self.fold.next_offset,
            ownership.Claim(
                slot=slot,
                epoch=state.epoch + 1,
                owner=owner,
                incarnation=incarnation or f"{owner}.1",
            ),
        )

    def plan(self, vm, alive=VMS, incarnation=None):
        """Return a VM's plan."""
        return ownership.plan_slots(
            self.fold, vm, incarnation or f"{vm}.1", alive
        )

    def test_every_slot_is_claimed_by_exactly_one_vm(self):
        claimed = [slot for vm in VMS for slot in self.plan(vm).claim]
        self.assertEqual(list(range(64)), sorted(claimed))

    def test_only_slots_of_the_lost_vm_move(self):
        before = {
            slot: ownership.preferred_owner(slot, VMS) for slot in range(64)
        }
        rest = VMS[1:]
        for slot, owner in before.items():
            if owner != VMS[0]:
                after = ownership.preferred_owner(slot, rest)
                self.assertEqual(owner, after)

    def test_a_restarted_vm_claims_its_own_slots_again(self):
        for slot in self.plan(VMS[0]).claim:
            self.claim(slot, VMS[0])
        claimed = self.plan(VMS[0], incarnation="vm-0.2").claim
        self.assertEqual(
            claimed, self.plan(VMS[0], incarnation="vm-0.3").claim
        )
        self.assertTrue(claimed)
        self.assertEqual((), self.plan(VMS[0]).claim)

    def test_a_slot_of_a_live_owner_is_handed_over_not_claimed(self):
        for slot in range(64):
            self.claim(slot, VMS[0])
        self.assertEqual((), self.plan(VMS[1]).claim)
        hand_over = self.plan(VMS[0]).hand_over
        self.assertNotIn(VMS[0], hand_over.values())
        self.assertGreater(len(hand_over), 40)

    def test_a_leaving_vm_claims_nothing(self):
        self.assertEqual((), self.plan(VMS[0], alive=VMS[1:]).claim)
