"""Encoding and decoding of typed messages."""

import unittest

import cbor2
import hypothesis
from hypothesis import strategies

from postspring import codec
from postspring import errors
from postspring import ownership
from postspring import peers


class MessageRegistryTest(unittest.TestCase):
    """Which messages a registry rejects, and which it ignores in part."""

    def test_unknown_kind(self):
        with self.assertRaises(errors.CodecError):
            ownership.slot_records.decode(cbor2.dumps(["nothing", {}]))

    def test_missing_field(self):
        with self.assertRaises(errors.CodecError):
            ownership.slot_records.decode(cbor2.dumps(["claim", {"slot": 1}]))

    def test_wrong_type(self):
        fields = {"slot": "x", "epoch": 1, "owner": "a", "incarnation": "b"}
        with self.assertRaises(errors.CodecError):
            ownership.slot_records.decode(cbor2.dumps(["claim", fields]))

    def test_unknown_fields_are_ignored(self):
        claim = ownership.Claim(slot=1, epoch=2, owner="a", incarnation="b")
        kind, fields = ownership.slot_records.pack(claim)
        packed = [kind, fields | {"new": 1}]
        self.assertEqual(claim, ownership.slot_records.unpack(packed))

    def test_kinds_are_unique(self):
        registry = codec.MessageRegistry("test")
        registry.register("a")(ownership.Claim)
        with self.assertRaises(ValueError):
            registry.register("a")(ownership.Claim)

    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_decode_or_raise_codec_error(self, data):
        for registry in (ownership.slot_records, peers.peer_messages):
            try:
                registry.decode(data)
            except errors.CodecError as error:
                self.assertIn(registry.name, str(error))
