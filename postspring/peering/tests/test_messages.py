"""Messages between VMs come from outside: any bytes are survived."""

import unittest

import hypothesis
from hypothesis import strategies

from postspring import errors
from postspring import histories
from postspring.peering import messages

TYPES = (
    messages.FindRequest,
    messages.Found,
    messages.KeepRequest,
    messages.View,
    messages.ViewRequest,
)


class DecodeTest(unittest.TestCase):
    """Decoders raise their own error, or give a message."""

    @hypothesis.given(strategies.binary(max_size=100))
    def test_any_bytes(self, data):
        for cls in TYPES:
            try:
                messages.decode(cls, data)
            except errors.PeerError:
                pass

    @hypothesis.given(strategies.binary(max_size=100))
    def test_any_record(self, data):
        try:
            histories.decode_record(data)
        except histories.MalformedRecord:
            pass
