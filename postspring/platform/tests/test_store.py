"""Records in the store's format, and fuzzing of what is read."""

import unittest

import hypothesis
from hypothesis import strategies

from postspring import keyedlog
from postspring.platform import store

KEYS = strategies.text(
    strategies.characters(codec="ascii"), min_size=1, max_size=60
)
ENTRIES = strategies.lists(
    strategies.builds(keyedlog.LogEntry, KEYS, strategies.binary(max_size=80))
)


class RecordTest(unittest.TestCase):
    """Packing and unpacking."""

    @hypothesis.given(ENTRIES)
    def test_what_is_packed_is_unpacked(self, entries):
        packed = store.pack_records(entries)
        self.assertEqual(entries, store.unpack_records(packed))

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_give_records_or_one_error(self, data):
        try:
            store.unpack_records(data)
        except keyedlog.LogUnavailable:
            pass

    @hypothesis.given(ENTRIES.filter(bool), strategies.integers(1, 4))
    def test_a_cut_record_is_an_error(self, entries, cut):
        packed = store.pack_records(entries)
        with self.assertRaises(keyedlog.LogUnavailable):
            store.unpack_records(packed[:-cut])
