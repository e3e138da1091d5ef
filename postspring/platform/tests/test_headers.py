"""Header fields of calls and responses."""

import unittest

import hypothesis
from hypothesis import strategies

from postspring import forwarding
from postspring import platform
from postspring.platform import names


class CallFactsTest(unittest.TestCase):
    """Decoding of a call's header fields."""

    def decode(self, **values):
        """Decode a call; ``values`` are header values by names' constant."""
        by_name = {getattr(names, key): value for key, value in values.items()}
        wire = platform.PlatformWireFormat()
        return wire.decode_call(lambda name: by_name.get(name, ""))

    def test_turn(self):
        facts = self.decode(
            REQUEST_ID="r",
            DEADLINE_MS="2500",
            TOKEN_USAGE="1460, 80",
            PROMPT_PREFIX="5c:800,91:410",
            PROGRAM_ID="p",
            TOKEN_BUDGET="1088",
            PREVIOUS_TURN="q",
        )
        self.assertEqual(2.5, facts.deadline)
        self.assertEqual((1460, 80), (facts.prompt_tokens, facts.ceiling))
        self.assertEqual((("5c", 800), ("91", 410)), facts.prompt_parts)
        self.assertEqual((1088, "q"), (facts.budget, facts.previous))

    def test_call_without_fields(self):
        facts = self.decode()
        self.assertEqual("", facts.request)
        self.assertIsNone(facts.deadline)
        self.assertIsNone(facts.budget)
        self.assertIsNone(facts.previous)

    @hypothesis.given(strategies.text(max_size=40))
    def test_arbitrary_text_does_not_raise(self, text):
        self.decode(
            DEADLINE_MS=text,
            TOKEN_USAGE=text,
            PROMPT_PREFIX=text,
            TOKEN_BUDGET=text,
        )


class ForwardedFieldsTest(unittest.TestCase):
    """Which header fields are forwarded."""

    def setUp(self):
        self.wire = platform.PlatformWireFormat()

    def test_hop_by_hop_fields_are_dropped(self):
        fields = [
            ("Connection", "keep-alive, X-Mine"),
            ("Keep-Alive", "timeout=5"),
            ("X-Mine", "1"),
            ("Transfer-Encoding", "chunked"),
            ("X-Other", "2"),
        ]
        passed = self.wire.upstream_fields(fields, forwarding.UpstreamExtra())
        self.assertEqual([("X-Other", "2")], passed)

    def test_deadline_is_the_remaining_time(self):
        extra = forwarding.UpstreamExtra(remaining=1.2345, upstream="i-1")
        fields = [(names.DEADLINE_MS, "9000"), (names.REQUEST_ID, "r")]
        passed = dict(self.wire.upstream_fields(fields, extra))
        self.assertEqual("1234", passed[names.DEADLINE_MS])
        self.assertEqual("i-1", passed[names.TARGET_INSTANCE])
        self.assertEqual("r", passed[names.REQUEST_ID])

    def test_seal_is_forwarded_only_with_a_sealed_response(self):
        fields = [(names.SERVER_SEAL, "s")]
        self.assertEqual(fields, self.wire.caller_fields(fields, True))
        self.assertEqual([], self.wire.caller_fields(fields, False))

    def test_not_executed(self):
        decode = self.wire.decode_response
        header = {names.NOT_EXECUTED.lower(): "1"}
        self.assertTrue(decode(503, header).not_run)
        self.assertTrue(decode(421, {}).not_run)
        self.assertFalse(decode(503, {}).not_run)
