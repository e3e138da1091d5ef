"""Messages between VMs come from outside: any bytes must be handled."""

import unittest

import cbor2
import hypothesis
from hypothesis import strategies

from postspring import errors
from postspring import histories
from postspring.peering import messages

TYPES = (
    messages.FindRequest,
    messages.FindResponse,
    messages.StoreReplicasRequest,
    messages.ViewResponse,
    messages.ViewRequest,
)


class DecodeTest(unittest.TestCase):
    """Decoders return a message or raise their own error."""

    @hypothesis.given(strategies.binary(max_size=100))
    def test_any_bytes(self, data):
        for cls in TYPES:
            try:
                messages.decode(cls, data)
            except errors.PeerError:
                pass

    def test_field_of_the_wrong_type(self):
        # Such a message once led to status 500 and a traceback in the log.
        wrong = (
            (messages.StoreReplicasRequest, [["text"]]),
            (messages.FindRequest, ["vm", "p", None, "8"]),
            (messages.FindResponse, [1, True, False, True]),
            (messages.ViewResponse, [[["key"]], 3]),
            (messages.ViewRequest, ["members", "vm", "entry"]),
        )
        for cls, values in wrong:
            with self.subTest(cls.__name__):
                with self.assertRaises(errors.PeerError):
                    messages.decode(cls, cbor2.dumps(values))

    def test_number_that_is_no_duration_or_count(self):
        """Guards against timers out of order, and calls below zero."""
        huge = cbor2.CBORTag(4, [10**8, 3])
        for value in (float("nan"), -1, -0.5):
            wrong = (
                (messages.LoadsResponse, [[], [], 0, value]),
                (messages.LoadsResponse, [[], [["u", value]]]),
                (messages.LoadsReport, ["vm", False, [["u", value]]]),
                (messages.LoadsReport, ["vm", False, [], [["u", value, 0]]]),
                (messages.LoadsReport, ["vm", False, [], [["u", 0, value]]]),
                (messages.PermitResponse, ["granted", value]),
                (messages.PermitRequest, ["w", "plain_call", False, [value]]),
                (messages.ViewResponse, [[], value]),
                (messages.ViewResponse, [[], huge]),
            )
            for cls, values in wrong:
                with self.subTest(f"{cls.__name__} {value}"):
                    with self.assertRaises(errors.PeerError):
                        messages.decode(cls, cbor2.dumps(values))

    @hypothesis.given(strategies.binary(max_size=100))
    def test_any_record(self, data):
        try:
            histories.decode_record(data)
        except histories.MalformedRecord:
            pass
