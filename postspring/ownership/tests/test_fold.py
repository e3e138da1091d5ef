"""Tests of the fold of a slot stream."""

import unittest

from postspring import ownership
from postspring import programs

Verdict = ownership.Verdict
PROGRAM = "p-surco-0-" + "a" * 24


class FoldCase(unittest.TestCase):
    """A fold with one program in slot 0 under epoch 1."""

    def setUp(self):
        self.fold = ownership.StreamFold(slots=1)
        self.slot = self.fold.slot_by_number[0]
        self.sequence = 0
        self.claim(1, "a1")
        self.create(PROGRAM)
        self.program = self.slot.program_by_id[PROGRAM]

    def apply(self, record):
        """Apply a record and return the verdict."""
        return self.fold.apply(self.fold.next_offset, record)

    def claim(self, epoch, incarnation):
        """Apply a claim and return the verdict."""
        return self.apply(
            ownership.Claim(
                slot=0, epoch=epoch, owner="vm", incarnation=incarnation
            )
        )

    def sequenced(self, record_type, epoch=1, sequence=None, **fields):
        """Build a sequenced record with the next sequence."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        return record_type(slot=0, epoch=epoch, sequence=sequence, **fields)

    def create(self, program, parent=None, budget=1000, **options):
        """Apply the creation of a program and return the verdict."""
        return self.apply(
            self.sequenced(
                ownership.Create,
                program=program,
                service="agentes",
                priority=5,
                budget=budget,
                parent=parent,
                **options,
            )
        )

    def intent(self, key="k1", step=1, amount=50, **options):
        """Build an intent."""
        return self.sequenced(
            ownership.Intent,
            program=PROGRAM,
            step=step,
            key=key,
            request_digest=b"r",
            amount=amount,
            **options,
        )

    def turn(self, step=1, parent=b"", answer=b"{}", **options):
        """Build a turn."""
        digest = programs.chain_digest(parent, step, b"r", answer)
        fields = {
            "slot": 0,
            "epoch": 1,
            "program": PROGRAM,
            "key": f"k{step}",
        } | options
        return ownership.Turn(
            step=step,
            parent=parent,
            digest=digest,
            kind=programs.CallKind.TOOL,
            target="parts",
            request_digest=b"r",
            request=b"{}",
            answer=answer,
            **fields,
        )


class ClaimTest(FoldCase):
    """Slots, epochs and owners."""

    def test_only_the_next_epoch_counts(self):
        self.assertEqual(Verdict.STALE_EPOCH, self.claim(1, "b1"))
        self.assertEqual(Verdict.STALE_EPOCH, self.claim(3, "b1"))
        self.assertEqual(Verdict.COUNTED, self.claim(2, "b1"))
        self.assertTrue(self.slot.owned_by("b1"))
        self.assertFalse(self.slot.owned_by("a1"))

    def test_a_record_of_a_former_owner_does_not_count(self):
        late = self.intent()
        self.claim(2, "b1")
        self.assertEqual(Verdict.STALE_EPOCH, self.apply(late))

    def test_a_claim_charges_what_the_former_owner_had_reserved(self):
        self.apply(
            self.sequenced(ownership.Reserve, program=PROGRAM, amount=300)
        )
        self.claim(2, "b1")
        self.assertEqual(300, self.program.account.spent)
        self.assertEqual(0, self.program.allowance)

    def test_a_release_frees_the_allowance_except_for_lost_attempts(self):
        self.apply(
            self.sequenced(ownership.Reserve, program=PROGRAM, amount=300)
        )
        release = self.sequenced(
            ownership.Release, charge_by_program={PROGRAM: 20}
        )
        self.assertEqual(Verdict.COUNTED, self.apply(release))
        self.assertEqual(20, self.program.account.spent)
        self.assertEqual(0, self.program.account.reserved)
        self.assertEqual(Verdict.STALE_EPOCH, self.apply(self.intent()))


class SequenceTest(FoldCase):
    """Copies and reordering of sequenced records."""

    def test_a_second_copy_does_not_count(self):
        reserve = self.sequenced(ownership.Reserve, program=PROGRAM, amount=10)
        self.assertEqual(Verdict.COUNTED, self.apply(reserve))
        self.assertEqual(Verdict.STALE_SEQUENCE, self.apply(reserve))
        self.assertEqual(10, self.program.allowance)

    def test_a_record_that_arrives_after_a_later_one_does_not_count(self):
        late = self.intent()
        self.apply(
            self.sequenced(ownership.Reserve, program=PROGRAM, amount=1)
        )
        self.assertEqual(Verdict.STALE_SEQUENCE, self.apply(late))

    def test_a_refused_record_fences_its_copies(self):
        over_budget = self.intent(amount=5000)
        self.assertEqual(Verdict.OVER_BUDGET, self.apply(over_budget))
        self.assertEqual(Verdict.STALE_SEQUENCE, self.apply(over_budget))


class IntentTest(FoldCase):
    """Intents of calls that may not be repeated, and their outcomes."""

    def test_one_open_intent_at_a_time(self):
        self.assertEqual(Verdict.COUNTED, self.apply(self.intent()))
        self.assertEqual(Verdict.INTENT_OPEN, self.apply(self.intent("k2")))

    def test_a_key_may_be_used_again_after_an_abort(self):
        intent = self.intent()
        self.apply(intent)
        abort = self.sequenced(
            ownership.Abort, program=PROGRAM, intent_sequence=intent.sequence
        )
        self.assertEqual(Verdict.COUNTED, self.apply(abort))
        self.assertEqual(0, self.program.account.reserved)
        self.assertEqual(Verdict.COUNTED, self.apply(self.intent()))

    def test_an_abort_of_another_epoch_does_not_count(self):
        intent = self.intent()
        self.apply(intent)
        self.claim(2, "b1")
        abort = self.sequenced(
            ownership.Abort,
            epoch=2,
            sequence=1,
            program=PROGRAM,
            intent_sequence=intent.sequence,
        )
        self.assertEqual(Verdict.NO_INTENT, self.apply(abort))

    def test_an_outcome_closes_its_intent(self):
        intent = self.intent(amount=50)
        self.apply(intent)
        outcome = self.turn(
            intent_epoch=1, intent_sequence=intent.sequence, cost=30
        )
        self.assertEqual(Verdict.COUNTED, self.apply(outcome))
        self.assertEqual(30, self.program.account.spent)
        self.assertIsNone(self.program.open_intent)

    def test_a_former_owner_s_outcome_counts_after_a_claim(self):
        intent = self.intent()
        self.apply(intent)
        self.claim(2, "b1")
        outcome = self.turn(intent_epoch=1, intent_sequence=intent.sequence)
        self.assertEqual(Verdict.COUNTED, self.apply(outcome))

    def test_an_outcome_without_its_intent_does_not_count(self):
        outcome = self.turn(intent_epoch=1, intent_sequence=99)
        self.assertEqual(Verdict.NO_INTENT, self.apply(outcome))

    def test_another_turn_does_not_count_while_an_intent_is_open(self):
        self.apply(self.intent())
        self.assertEqual(Verdict.NO_INTENT, self.apply(self.turn()))

    def test_a_key_is_used_once(self):
        self.apply(self.turn())
        self.assertEqual(
            Verdict.KEY_USED, self.apply(self.intent("k1", step=2))
        )


class TurnTest(FoldCase):
    """Order, copies and cost of turns."""

    def test_turns_follow_the_head(self):
        first = self.turn()
        self.assertEqual(Verdict.COUNTED, self.apply(first))
        gap = self.turn(step=3, parent=first.digest)
        self.assertEqual(Verdict.NOT_NEXT_STEP, self.apply(gap))
        fork = self.turn(step=2, parent=b"other")
        self.assertEqual(Verdict.WRONG_PARENT, self.apply(fork))
        second = self.turn(step=2, parent=first.digest)
        self.assertEqual(Verdict.COUNTED, self.apply(second))

    def test_a_copy_is_a_duplicate_and_another_answer_is_not(self):
        first = self.turn()
        self.apply(first)
        self.assertEqual(Verdict.DUPLICATE, self.apply(first))
        conflicting = self.turn(answer=b"[]")
        self.assertEqual(Verdict.NOT_NEXT_STEP, self.apply(conflicting))
        self.assertEqual([first], self.program.turns)

    def test_a_turn_that_was_altered_does_not_count(self):
        import dataclasses

        altered = dataclasses.replace(self.turn(), answer=b"[1]")
        self.assertEqual(Verdict.WRONG_PARENT, self.apply(altered))

    def test_a_turn_of_an_earlier_epoch_counts(self):
        self.claim(2, "b1")
        self.assertEqual(Verdict.COUNTED, self.apply(self.turn(epoch=1)))

    def test_cost_is_charged_once(self):
        self.apply(
            self.sequenced(ownership.Reserve, program=PROGRAM, amount=100)
        )
        turn = self.turn(cost=40)
        self.apply(turn)
        self.apply(turn)
        account = self.program.account
        self.assertEqual((40, 60), (account.spent, account.reserved))

    def test_cost_of_an_earlier_epoch_was_charged_by_the_claim(self):
        self.apply(
            self.sequenced(ownership.Reserve, program=PROGRAM, amount=100)
        )
        self.claim(2, "b1")
        self.apply(self.turn(epoch=1, cost=40))
        self.assertEqual(100, self.program.account.spent)

    def test_a_top_up_that_does_not_fit_is_ignored(self):
        self.apply(self.turn(top_up=5000))
        self.assertEqual(0, self.program.allowance)


class EndTest(FoldCase):
    """The end of a program."""

    def end(self):
        """Apply the program's end and return the verdict."""
        return self.apply(
            self.sequenced(
                ownership.End,
                program=PROGRAM,
                reason=programs.EndReason.COMPLETED,
            )
        )

    def test_intents_and_reservations_do_not_count_after_the_end(self):
        self.assertEqual(Verdict.COUNTED, self.end())
        self.assertEqual(Verdict.PROGRAM_ENDED, self.apply(self.intent()))
        reserve = self.sequenced(ownership.Reserve, program=PROGRAM, amount=1)
        self.assertEqual(Verdict.PROGRAM_ENDED, self.apply(reserve))

    def test_the_turn_of_a_call_running_at_the_end_counts(self):
        self.end()
        spent = self.program.account.spent
        self.assertEqual(Verdict.COUNTED, self.apply(self.turn(cost=9)))
        self.assertEqual(spent, self.program.account.spent)

    def test_the_outcome_of_an_intent_counts_after_the_end(self):
        intent = self.intent(amount=70)
        self.apply(intent)
        self.end()
        outcome = self.turn(
            intent_epoch=1, intent_sequence=intent.sequence, cost=30
        )
        self.assertEqual(Verdict.COUNTED, self.apply(outcome))
        self.assertEqual(70, self.program.account.spent)

    def test_sub_agents_end_with_their_parent(self):
        child = "p-surco-0-" + "b" * 24
        self.create(child, parent=PROGRAM, budget=None)
        self.end()
        ended = self.slot.program_by_id[child]
        self.assertEqual(programs.EndReason.PARENT_ENDED, ended.end_reason)

    def test_an_open_intent_stays_charged(self):
        self.apply(self.intent(amount=70))
        self.end()
        self.assertEqual(70, self.program.account.spent)


class BadRecordTest(FoldCase):
    """Invalid records, offsets and creation keys."""

    def test_none_and_unknown_slots(self):
        self.assertEqual(Verdict.NOT_A_RECORD, self.apply(None))
        claim = ownership.Claim(slot=9, epoch=1, owner="a", incarnation="b")
        self.assertEqual(Verdict.NOT_A_RECORD, self.apply(claim))

    def test_an_earlier_offset_raises_an_error(self):
        with self.assertRaises(ValueError):
            self.fold.apply(0, None)

    def test_a_creation_key_is_used_once(self):
        other = "p-surco-0-" + "c" * 24
        self.create(other, key="once")
        third = "p-surco-0-" + "d" * 24
        self.assertEqual(Verdict.KEY_USED, self.create(third, key="once"))
