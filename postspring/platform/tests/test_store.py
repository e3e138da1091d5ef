"""Records in the store's format, and fuzzing of their decoder."""

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
    def test_round_trip(self, entries):
        packed = store.pack_records(entries)
        self.assertEqual(entries, store.unpack_records(packed))

    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_give_records_or_log_unavailable(self, data):
        try:
            store.unpack_records(data)
        except keyedlog.LogUnavailable:
            pass

    @hypothesis.given(ENTRIES.filter(bool), strategies.integers(1, 4))
    def test_truncated_record_is_an_error(self, entries, removed_bytes):
        packed = store.pack_records(entries)
        with self.assertRaises(keyedlog.LogUnavailable):
            store.unpack_records(packed[:-removed_bytes])
