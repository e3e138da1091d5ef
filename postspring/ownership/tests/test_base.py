"""Tests of folds that start after records have expired."""

from postspring import ownership
from postspring.ownership.tests import test_fold
from postspring import programs

Verdict = ownership.Verdict


class BaseTest(test_fold.FoldCase):
    """Bases in the stream, and folds that start from them."""

    def setUp(self):
        super().setUp()
        self.stream = []
        self.first = self.turn()
        self.apply(self.first)
        self.apply(
            self.sequenced(
                ownership.Reserve, program=test_fold.PROGRAM, amount=9
            )
        )

    def apply(self, record):
        """Apply a record and keep it with its offset."""
        if hasattr(self, "stream"):
            self.stream.append((self.fold.next_offset, record))
        return super().apply(record)

    def base(self):
        """Return the records of a base of the current state."""
        return ownership.slot_base_records(
            self.slot, "vm.1", self.fold.next_offset
        )

    def fold_from(self, first):
        """Return a fold of the stream that starts at an offset."""
        late = ownership.StreamFold(slots=1)
        late.skip_to(first)
        for offset, record in self.stream:
            if offset >= first:
                late.apply(offset, record)
        return late

    def state(self, fold):
        """Return the state in which two folds must agree."""
        slot = fold.slot_by_number[0]
        return [(slot.epoch, slot.owner, slot.incarnation, slot.sequence)] + [
            (
                program.id,
                program.head,
                program.allowance,
                program.account.spent,
                program.account.reserved,
                program.open_intent,
                program.step_by_key,
            )
            for program in slot.program_by_id.values()
            if program.live
        ]

    def test_nothing_is_judged_without_a_base(self):
        late = self.fold_from(self.stream[0][0])
        slot = late.slot_by_number[0]
        self.assertFalse(slot.established)
        plan = ownership.plan_slots(late, "vm", "vm.1", ["vm"])
        self.assertEqual((), plan.claim)

    def test_a_base_restores_the_same_state(self):
        first = self.fold.next_offset
        for record in self.base():
            self.apply(record)
        late = self.fold_from(first)
        self.assertEqual(self.state(self.fold), self.state(late))
        slot = late.slot_by_number[0]
        self.assertEqual(
            [self.first], slot.program_by_id[test_fold.PROGRAM].turns
        )

    def test_records_between_a_base_s_state_and_the_base_are_judged(self):
        parts = self.base()
        first = self.fold.next_offset
        self.apply(self.intent("k2", step=2, amount=7))
        child = "p-surco-0-" + "b" * 24
        self.create(child, parent=test_fold.PROGRAM, budget=None)
        for record in parts:
            self.apply(record)
        self.claim(2, "b1")
        late = self.fold_from(first)
        self.assertEqual(self.state(self.fold), self.state(late))

    def test_a_base_by_a_former_owner_is_valid(self):
        parts = self.base()
        first = self.fold.next_offset
        self.claim(2, "b1")
        for record in parts:
            self.apply(record)
        self.apply(self.turn(step=2, parent=self.first.digest, cost=3))
        late = self.fold_from(first)
        self.assertEqual(self.state(self.fold), self.state(late))

    def test_a_base_that_may_lack_records_is_ignored(self):
        parts = self.base()
        self.apply(self.intent("k2", step=2))
        first = self.fold.next_offset
        for record in parts:
            self.apply(record)
        late = self.fold_from(first)
        self.assertFalse(late.slot_by_number[0].established)

    def test_an_incomplete_base_is_ignored(self):
        parts = self.base()
        first = self.fold.next_offset
        self.apply(parts[-1])
        late = self.fold_from(first)
        self.assertFalse(late.slot_by_number[0].established)

    def test_a_base_removes_ended_programs(self):
        other = "p-surco-0-" + "e" * 24
        self.create(other, key="x")
        self.apply(
            self.sequenced(
                ownership.End,
                program=other,
                reason=programs.EndReason.COMPLETED,
            )
        )
        for record in self.base():
            self.apply(record)
        self.assertNotIn(other, self.slot.program_by_id)
        self.assertNotIn("x", self.slot.program_by_create_key)
        self.assertIn(test_fold.PROGRAM, self.slot.program_by_id)
