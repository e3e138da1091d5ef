"""A fold that starts after records have expired."""

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
        self.put(self.first)
        self.put(
            self.sequenced(
                ownership.Reserve, program=test_fold.PROGRAM, amount=9
            )
        )

    def put(self, record):
        """Append a record and remember it with its offset."""
        if hasattr(self, "stream"):
            self.stream.append((self.fold.next_offset, record))
        return super().put(record)

    def base(self):
        """Return the records of a base as of now."""
        return ownership.slot_base_records(
            self.slot, "vm.1", self.fold.next_offset
        )

    def late_fold(self, first):
        """Return a fold of what the stream holds from an offset on."""
        late = ownership.StreamFold(slots=1)
        late.skip_to(first)
        for offset, record in self.stream:
            if offset >= first:
                late.apply(offset, record)
        return late

    def state(self, fold):
        """Return what must be equal of two folds."""
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
        late = self.late_fold(self.stream[0][0])
        slot = late.slot_by_number[0]
        self.assertFalse(slot.established)
        plan = ownership.plan_slots(late, "vm", "vm.1", ["vm"])
        self.assertEqual((), plan.claim)

    def test_a_base_gives_the_same_state(self):
        first = self.fold.next_offset
        for record in self.base():
            self.put(record)
        late = self.late_fold(first)
        self.assertEqual(self.state(self.fold), self.state(late))
        slot = late.slot_by_number[0]
        self.assertEqual(
            [self.first], slot.program_by_id[test_fold.PROGRAM].turns
        )

    def test_what_came_between_the_view_and_the_base_is_judged(self):
        parts = self.base()
        first = self.fold.next_offset
        self.put(self.intent("k2", step=2, amount=7))
        child = "p-surco-0-" + "b" * 24
        self.create(child, parent=test_fold.PROGRAM, budget=None)
        for record in parts:
            self.put(record)
        self.claim(2, "b1")
        late = self.late_fold(first)
        self.assertEqual(self.state(self.fold), self.state(late))

    def test_a_base_of_a_fenced_owner_is_as_good(self):
        parts = self.base()
        first = self.fold.next_offset
        self.claim(2, "b1")
        for record in parts:
            self.put(record)
        self.put(self.turn(step=2, parent=self.first.digest, cost=3))
        late = self.late_fold(first)
        self.assertEqual(self.state(self.fold), self.state(late))

    def test_a_base_that_may_have_missed_records_is_none(self):
        parts = self.base()
        self.put(self.intent("k2", step=2))
        first = self.fold.next_offset
        for record in parts:
            self.put(record)
        late = self.late_fold(first)
        self.assertFalse(late.slot_by_number[0].established)

    def test_a_base_whose_parts_are_incomplete_is_none(self):
        parts = self.base()
        first = self.fold.next_offset
        self.put(parts[-1])
        late = self.late_fold(first)
        self.assertFalse(late.slot_by_number[0].established)

    def test_ended_programs_are_forgotten_at_a_base(self):
        other = "p-surco-0-" + "e" * 24
        self.create(other, key="x")
        self.put(
            self.sequenced(
                ownership.End,
                program=other,
                reason=programs.EndReason.COMPLETED,
            )
        )
        for record in self.base():
            self.put(record)
        self.assertNotIn(other, self.slot.program_by_id)
        self.assertNotIn("x", self.slot.program_by_create_key)
        self.assertIn(test_fold.PROGRAM, self.slot.program_by_id)
