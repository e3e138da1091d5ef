"""Compare and publish."""

import unittest

from postspring import configuration

Verdict = configuration.PublishVerdict


def publish(change, expected, version=None, document=b"{}", as_of=0):
    """Build a record."""
    return configuration.Publish(
        change_id=change,
        expected_version=expected,
        version=expected + 1 if version is None else version,
        document=document,
        as_of=as_of,
    )


class FoldTest(unittest.TestCase):
    """Which document is in force."""

    def setUp(self):
        self.fold = configuration.ConfigurationFold()

    def put(self, record):
        """Append a record and return the verdict."""
        return self.fold.apply(self.fold.next_offset, record)

    def test_of_two_rivals_the_first_wins(self):
        self.assertEqual(Verdict.COUNTED, self.put(publish("a", 0)))
        self.assertEqual(Verdict.WRONG_VERSION, self.put(publish("b", 0)))
        self.assertEqual("a", self.fold.state.change_id)

    def test_a_copy_of_a_change_does_not_repeat_it(self):
        first = publish("a", 0)
        self.put(first)
        self.put(publish("b", 1))
        self.assertEqual(Verdict.DUPLICATE, self.put(first))
        self.assertEqual(2, self.fold.state.version)

    def test_an_invalid_document_does_not_count(self):
        bad = publish("a", 0, document=b"{")
        self.assertEqual(Verdict.INVALID, self.put(bad))
        self.assertEqual(0, self.fold.state.version)

    def test_versions_may_not_jump(self):
        jump = publish("a", 0, version=7)
        self.assertEqual(Verdict.WRONG_VERSION, self.put(jump))

    def test_carrying_forward_keeps_the_version(self):
        self.put(publish("a", 0))
        carried = publish("a", 1, version=1, as_of=1)
        self.assertEqual(Verdict.COUNTED, self.put(carried))
        self.assertEqual(1, self.fold.state.version)
        self.assertEqual(1, self.fold.state.offset)

    def test_a_stale_carry_does_not_revert(self):
        self.put(publish("a", 0))
        carried = publish("a", 1, version=1, as_of=1)
        self.put(publish("b", 1))
        self.assertEqual(Verdict.WRONG_VERSION, self.put(carried))
        self.assertEqual("b", self.fold.state.change_id)


class ExpiredTest(unittest.TestCase):
    """A fold that starts after records have expired."""

    def setUp(self):
        self.fold = configuration.ConfigurationFold()
        self.fold.skip_to(100)

    def put(self, record):
        """Append a record and return the verdict."""
        return self.fold.apply(self.fold.next_offset, record)

    def test_nothing_counts_without_a_base(self):
        self.assertEqual(Verdict.NO_BASE, self.put(publish("x", 4)))
        self.assertEqual(0, self.fold.state.version)

    def test_a_carried_document_is_a_base(self):
        carried = publish("a", 5, version=5, as_of=100)
        self.assertEqual(Verdict.COUNTED, self.put(carried))
        self.assertEqual(5, self.fold.state.version)

    def test_a_carry_that_may_have_missed_records_is_none(self):
        carried = publish("a", 5, version=5, as_of=99)
        self.assertEqual(Verdict.NO_BASE, self.put(carried))

    def test_changes_between_the_carry_s_view_and_the_carry_are_judged(self):
        self.put(publish("b", 5))
        carried = publish("a", 5, version=5, as_of=100)
        self.put(carried)
        self.assertEqual("b", self.fold.state.change_id)
        self.assertEqual(6, self.fold.state.version)

    def test_a_peer_s_record_is_a_base(self):
        self.fold.adopt(100, publish("a", 4))
        self.assertEqual(5, self.fold.state.version)
        self.assertEqual(Verdict.COUNTED, self.put(publish("b", 5)))

    def test_offsets_only_grow(self):
        with self.assertRaises(ValueError):
            self.fold.adopt(7, publish("a", 4))
