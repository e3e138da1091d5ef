"""Everything that is read from outside: any input is survived.

Each decoder gives what it reads or raises its own layer's error.  Inputs are
any bytes, and documents of the right shape with any values in them.
"""

import json
import unittest

import cbor2
import hypothesis
from hypothesis import strategies

from postspring import errors
from postspring import histories
from postspring import keyedlog
from postspring.peering import members
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
# Header fields are latin-1; digits of other scripts are in it as well.
HEADER_TEXT = strategies.text(
    strategies.characters(max_codepoint=255), max_size=20
) | strategies.text("0123456789²,.:-einfa", max_size=12)
DEEP = 100_000

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


def spoilt(document, draw):
    """Return a document with one of its values replaced, at any depth."""
    if isinstance(document, dict) and document:
        key = draw(strategies.sampled_from(sorted(document)))
        return document | {key: spoilt(document[key], draw)}
    if isinstance(document, list) and document:
        index = draw(strategies.integers(0, len(document) - 1))
        changed = spoilt(document[index], draw)
        return [*document[:index], changed, *document[index + 1 :]]
    return draw(VALUES)


class DecoderCase(unittest.TestCase):
    """Checks one call."""

    def survive(self, error, decode, *arguments):
        """Let a decoder read something; only its own error may come."""
        try:
            decode(*arguments)
        except error:
            pass


class DocumentTest(DecoderCase):
    """Upstreams' entries and the configuration."""

    @hypothesis.given(strategies.binary(max_size=100))
    def test_any_bytes(self, data):
        self.survive(
            errors.UpstreamError, platform.decode_announcement, "i", data
        )
        self.survive(errors.ConfigurationError, platform.decode_snapshot, data)

    @hypothesis.given(strategies.data())
    def test_a_spoilt_entry(self, data):
        raw = json.dumps(spoilt(ENTRY, data.draw)).encode()
        self.survive(
            errors.UpstreamError, platform.decode_announcement, "i", raw
        )

    @hypothesis.given(strategies.data())
    def test_a_spoilt_configuration(self, data):
        document = spoilt(fleet.default_configuration(), data.draw)
        raw = json.dumps(document).encode()
        self.survive(errors.ConfigurationError, platform.decode_snapshot, raw)


class PeerTest(DecoderCase):
    """What other VMs write and send."""

    TYPES = (
        messages.FindRequest,
        messages.Found,
        messages.KeepRequest,
        messages.Loads,
        messages.LoadsReport,
        messages.View,
        messages.ViewRequest,
    )

    @hypothesis.given(strategies.lists(PACKED_VALUES, max_size=8))
    def test_messages(self, values):
        data = cbor2.dumps(values)
        for cls in self.TYPES:
            self.survive(errors.PeerError, messages.decode, cls, data)

    @hypothesis.given(PACKED_VALUES | strategies.lists(PACKED_VALUES))
    def test_members_entries(self, value):
        entry = keyedlog.LogEntry("vm", cbor2.dumps(value))
        members._decode(entry)

    @hypothesis.given(
        strategies.text(max_size=4),
        strategies.lists(PACKED_VALUES, min_size=2, max_size=2),
        PACKED_VALUES,
    )
    def test_members_entries_of_the_right_length(self, vm, address, port):
        for value in (address, [vm, port], {vm: port}, port):
            data = cbor2.dumps([vm, vm, value, value])
            members._decode(keyedlog.LogEntry("vm", data))

    @hypothesis.given(
        strategies.sampled_from(["open", "whole", "ended", "at", "x"]),
        strategies.lists(PACKED_VALUES, max_size=8),
    )
    def test_records(self, kind, values):
        data = cbor2.dumps([kind, *values])
        self.survive(histories.MalformedRecord, histories.decode_record, data)

    def test_nested_too_deep(self):
        data = b"\x81" * DEEP + b"\x00"
        members._decode(keyedlog.LogEntry("vm", data))
        self.survive(errors.PeerError, messages.decode, messages.Found, data)
        self.survive(histories.MalformedRecord, histories.decode_record, data)


class HeaderTest(DecoderCase):
    """Header fields of calls and answers, and events."""

    @hypothesis.given(HEADER_TEXT)
    def test_calls_and_answers(self, text):
        wire = platform.PlatformWireFormat()
        wire.decode_call(lambda name: text)
        wire.decode_answer(200, {names.WEIGHT_VERSIONS.lower(): text})

    def test_numbers_that_are_none(self):
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

    def test_an_event_with_an_endless_number(self):
        event = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
        facts = platform.PlatformWireFormat().decode_event(event)
        self.assertIsNone(facts.number)


class StoreAnswerTest(DecoderCase):
    """What the store answers: each call ends, one way or the other."""

    PLACE = keyedlog.LogPlace(keyedlog.Subject.MEMBERS, 0)

    def answers(self, data):
        """Return a client of a store that answers everything with this."""

        class Http:
            """Answers at once."""

            @staticmethod
            def send(request, listener):
                """Answer."""
                listener.head(200, {})
                listener.data(data)
                listener.end()

        return store.Store(Http, ("10.0.0.1", 80), 24)

    def check(self, data):
        """Make each call, and count its ends."""
        client = self.answers(data)
        calls = (
            lambda *ends: client.append(self.PLACE, [], *ends),
            lambda *ends: client.read(self.PLACE, 0, *ends),
            lambda *ends: client.read_newest(self.PLACE, *ends),
        )
        for call in calls:
            ended = []
            call(ended.append, ended.append)
            self.assertEqual(1, len(ended))

    @hypothesis.given(strategies.binary(max_size=80))
    def test_any_bytes(self, data):
        self.check(data)

    @hypothesis.given(VALUES)
    def test_any_document(self, value):
        self.check(json.dumps(value).encode())

    @hypothesis.given(SCALARS, SCALARS, SCALARS, SCALARS)
    def test_documents_of_the_right_shape(self, number, key, value, offset):
        item = {"key": key, "value": value, "offset": offset}
        document = {"offset": number, "end": number, "items": [item]}
        self.check(json.dumps(document).encode())

    def test_nested_too_deep(self):
        self.check(b"[" * DEEP + b"]" * DEEP)
