"""Tests of the configuration fold: compare-and-set, expired records."""

import unittest

from postspring import configuration

Verdict = configuration.PublishVerdict


def publish(change, expected, version=None, document=b"{}", as_of=0):
    """Return a record that publishes a document."""
    return configuration.PublishRecord(
        change_id=change,
        expected_version=expected,
        version=expected + 1 if version is None else version,
        document=document,
        as_of=as_of,
    )


class CompareAndSetTest(unittest.TestCase):
    """A fold that reads the stream from its first record."""

    def setUp(self):
        self.fold = configuration.ConfigurationFold()

    def apply_next(self, record):
        """Apply the record at the next offset and return the verdict."""
        return self.fold.apply(self.fold.next_offset, record)

    def test_first_of_two_concurrent_changes_is_accepted(self):
        self.assertEqual(Verdict.ACCEPTED, self.apply_next(publish("a", 0)))
        self.assertEqual(
            Verdict.WRONG_VERSION, self.apply_next(publish("b", 0))
        )
        self.assertEqual("a", self.fold.state.change_id)

    def test_duplicate_change_is_not_applied_again(self):
        first = publish("a", 0)
        self.apply_next(first)
        self.apply_next(publish("b", 1))
        self.assertEqual(Verdict.DUPLICATE, self.apply_next(first))
        self.assertEqual(2, self.fold.state.version)

    def test_invalid_document_is_rejected(self):
        invalid = publish("a", 0, document=b"{")
        self.assertEqual(Verdict.INVALID, self.apply_next(invalid))
        self.assertEqual(0, self.fold.state.version)

    def test_version_gap_is_rejected(self):
        gap = publish("a", 0, version=7)
        self.assertEqual(Verdict.WRONG_VERSION, self.apply_next(gap))

    def test_carrying_forward_keeps_version(self):
        self.apply_next(publish("a", 0))
        carried = publish("a", 1, version=1, as_of=1)
        self.assertEqual(Verdict.ACCEPTED, self.apply_next(carried))
        self.assertEqual(1, self.fold.state.version)
        self.assertEqual(1, self.fold.state.offset)

    def test_outdated_carried_record_is_rejected(self):
        self.apply_next(publish("a", 0))
        carried = publish("a", 1, version=1, as_of=1)
        self.apply_next(publish("b", 1))
        self.assertEqual(Verdict.WRONG_VERSION, self.apply_next(carried))
        self.assertEqual("b", self.fold.state.change_id)


class ExpiredRecordsTest(unittest.TestCase):
    """A fold that starts after records have expired."""

    def setUp(self):
        self.fold = configuration.ConfigurationFold()
        self.fold.skip_to(100)

    def apply_next(self, record):
        """Apply the record at the next offset and return the verdict."""
        return self.fold.apply(self.fold.next_offset, record)

    def test_change_without_base_is_not_applied(self):
        self.assertEqual(Verdict.NO_BASE, self.apply_next(publish("x", 4)))
        self.assertEqual(0, self.fold.state.version)

    def test_carried_record_becomes_base(self):
        carried = publish("a", 5, version=5, as_of=100)
        self.assertEqual(Verdict.ACCEPTED, self.apply_next(carried))
        self.assertEqual(5, self.fold.state.version)

    def test_carried_record_with_earlier_as_of_is_no_base(self):
        carried = publish("a", 5, version=5, as_of=99)
        self.assertEqual(Verdict.NO_BASE, self.apply_next(carried))

    def test_changes_read_from_as_of_on_are_checked(self):
        self.apply_next(publish("b", 5))
        carried = publish("a", 5, version=5, as_of=100)
        self.apply_next(carried)
        self.assertEqual("b", self.fold.state.change_id)
        self.assertEqual(6, self.fold.state.version)

    def test_record_of_peer_becomes_base(self):
        self.fold.adopt(100, publish("a", 4))
        self.assertEqual(5, self.fold.state.version)
        self.assertEqual(Verdict.ACCEPTED, self.apply_next(publish("b", 5)))

    def test_skipped_offset_is_rejected(self):
        with self.assertRaises(ValueError):
            self.fold.adopt(7, publish("a", 4))
