"""Decoders of external input accept or reject any input in a defined way.

Each decoder returns a result or raises only the error of its own layer.  The
inputs are arbitrary bytes, and well-formed documents with arbitrary values.
"""

import json
import unittest

import cbor2
import hypothesis
from hypothesis import strategies

from postspring import errors
from postspring import histories
from postspring import keyedlog
from postspring.peering import member_entries
from postspring.peering import messages
from postspring import platform
from postspring.platform import names
from postspring.platform import store
from postspring.testing.fleet import fleet

SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=8),
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(strategies.text(max_size=5), inner),
    ),
    max_leaves=6,
)
PACKED_VALUES = VALUES | strategies.binary(max_size=8)
# Header fields are Latin-1, which has digits other than 0-9.
HEADER_TEXT = strategies.text(
    strategies.characters(max_codepoint=255), max_size=20
) | strategies.text("0123456789²,.:-einfa", max_size=12)
DEEP_NESTING = 100_000

ENTRY = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "warmup_remaining_ms": 0,
    "sequence": 4,
    "born": 1000,
}


def replace_one_value(document, draw):
    """Return a document with one of its values replaced, at any depth."""
    if isinstance(document, dict) and document:
        key = draw(strategies.sampled_from(sorted(document)))
        return document | {key: replace_one_value(document[key], draw)}
    if isinstance(document, list) and document:
        index = draw(strategies.integers(0, len(document) - 1))
        changed = replace_one_value(document[index], draw)
        return [*document[:index], changed, *document[index + 1 :]]
    return draw(VALUES)


class DecoderTestCase(unittest.TestCase):
    """Calls one decoder and checks how it fails."""

    def assert_only_raises(self, error, decode, *arguments):
        """Call a decoder, which may raise only ``error``."""
        try:
            decode(*arguments)
        except error:
            pass


class StoreDocumentTest(DecoderTestCase):
    """Upstreams' entries and the configuration."""

    @hypothesis.given(strategies.binary(max_size=100))
    def test_any_bytes(self, data):
        self.assert_only_raises(
            errors.UpstreamError, platform.decode_announcement, "i", data
        )
        self.assert_only_raises(
            errors.ConfigurationError, platform.decode_snapshot, data
        )

    @hypothesis.given(strategies.data())
    def test_entry_with_a_replaced_value(self, data):
        raw = json.dumps(replace_one_value(ENTRY, data.draw)).encode()
        self.assert_only_raises(
            errors.UpstreamError, platform.decode_announcement, "i", raw
        )

    @hypothesis.given(strategies.data())
    def test_configuration_with_a_replaced_value(self, data):
        document = replace_one_value(fleet.default_configuration(), data.draw)
        raw = json.dumps(document).encode()
        self.assert_only_raises(
            errors.ConfigurationError, platform.decode_snapshot, raw
        )


class PeerMessageTest(DecoderTestCase):
    """Messages and records of other VMs."""

    TYPES = (
        messages.FindRequest,
        messages.FindResponse,
        messages.StoreReplicasRequest,
        messages.LoadsResponse,
        messages.LoadsReport,
        messages.ViewResponse,
        messages.ViewRequest,
    )

    @hypothesis.given(strategies.lists(PACKED_VALUES, max_size=8))
    def test_messages(self, values):
        data = cbor2.dumps(values)
        for cls in self.TYPES:
            self.assert_only_raises(
                errors.PeerError, messages.decode, cls, data
            )

    @hypothesis.given(PACKED_VALUES | strategies.lists(PACKED_VALUES))
    def test_member_entries(self, value):
        entry = keyedlog.LogEntry("vm", cbor2.dumps(value))
        member_entries.decode(entry)

    @hypothesis.given(
        strategies.text(max_size=4),
        strategies.lists(PACKED_VALUES, min_size=2, max_size=2),
        PACKED_VALUES,
    )
    def test_member_entries_of_the_right_length(self, vm, address, port):
        for value in (address, [vm, port], {vm: port}, port):
            data = cbor2.dumps([vm, vm, value, value])
            member_entries.decode(keyedlog.LogEntry("vm", data))

    @hypothesis.given(
        strategies.sampled_from(["open", "whole", "ended", "at", "x"]),
        strategies.lists(PACKED_VALUES, max_size=8),
    )
    def test_records(self, kind, values):
        data = cbor2.dumps([kind, *values])
        self.assert_only_raises(
            histories.MalformedRecord, histories.decode_record, data
        )

    def test_too_deep_nesting(self):
        data = b"\x81" * DEEP_NESTING + b"\x00"
        member_entries.decode(keyedlog.LogEntry("vm", data))
        self.assert_only_raises(
            errors.PeerError, messages.decode, messages.FindResponse, data
        )
        self.assert_only_raises(
            histories.MalformedRecord, histories.decode_record, data
        )


class HeaderFieldTest(DecoderTestCase):
    """Header fields of calls and responses, and stream events."""

    @hypothesis.given(HEADER_TEXT)
    def test_calls_and_responses(self, text):
        wire = platform.PlatformWireFormat()
        wire.decode_call(lambda name: text)
        wire.decode_response(200, {names.WEIGHT_VERSIONS.lower(): text})

    def test_invalid_numbers(self):
        wire = platform.PlatformWireFormat()
        for text in ("²", "9" * 5000, "nan", "1e400"):
            with self.subTest(text[:5]):
                facts = wire.decode_call(lambda name, text=text: text)
                self.assertIsNone(facts.budget)
                self.assertEqual(0, facts.ceiling)
                self.assertIsNone(facts.deadline)

    @hypothesis.given(
        strategies.binary(max_size=60)
        | strategies.binary(max_size=20).map(lambda data: b"id: " + data)
    )
    def test_events(self, event):
        platform.PlatformWireFormat().decode_event(event)

    def test_event_with_too_long_number(self):
        event = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
        facts = platform.PlatformWireFormat().decode_event(event)
        self.assertIsNone(facts.number)


class StoreResponseTest(DecoderTestCase):
    """Each call of the store ends once, whatever the response is."""

    PLACE = keyedlog.LogPlace(keyedlog.Subject.MEMBERS, 0)

    def store_that_responds(self, data):
        """Return a client of a store that responds with ``data``."""

        class Http:
            """Responds at once."""

            @staticmethod
            def send(request, listener):
                """Respond."""
                listener.head(200, {})
                listener.data(data)
                listener.end()

        return store.Store(Http, ("10.0.0.1", 80), 24)

    def assert_calls_end_once(self, data):
        """Make each call, and check that one callback is called once."""
        client = self.store_that_responds(data)
        calls = (
            lambda *callbacks: client.append(self.PLACE, [], *callbacks),
            lambda *callbacks: client.read(self.PLACE, 0, *callbacks),
            lambda *callbacks: client.read_newest(self.PLACE, *callbacks),
        )
        for call in calls:
            outcomes = []
            call(outcomes.append, outcomes.append)
            self.assertEqual(1, len(outcomes))

    @hypothesis.given(strategies.binary(max_size=80))
    def test_any_bytes(self, data):
        self.assert_calls_end_once(data)

    @hypothesis.given(VALUES)
    def test_any_document(self, value):
        self.assert_calls_end_once(json.dumps(value).encode())

    @hypothesis.given(SCALARS, SCALARS, SCALARS, SCALARS)
    def test_documents_of_the_right_shape(self, number, key, value, offset):
        item = {"key": key, "value": value, "offset": offset}
        document = {"offset": number, "end": number, "items": [item]}
        self.assert_calls_end_once(json.dumps(document).encode())

    def test_too_deep_nesting(self):
        self.assert_calls_end_once(b"[" * DEEP_NESTING + b"]" * DEEP_NESTING)
