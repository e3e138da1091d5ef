"""Successes that a caller must not count.

An answer without the upstream's signature, or with an encoding, was passed on
as a success, and a caller sends no request again after one.
"""

from postspring.platform import names
from postspring.testing.fleet import case


class UnsealedAnswerTest(case.FleetCase):
    """The first answer to a request bears no signature."""

    def setUp(self):
        super().setUp()
        for upstream in (*self.fleet.engines, *self.fleet.tools):
            upstream.faults.unsealed = 1

    def runs(self, upstreams):
        """Return how many requests upstreams ran."""
        return sum(len(item.runs) for item in upstreams)

    # Guards against an unsigned success of a call that may not run again.
    def test_unsafe_call_fails_as_possibly_run(self):
        answer = self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertEqual(502, answer.status)
        self.assertNotIn(names.SERVER_SEAL.lower(), answer.headers)
        self.assertEqual(1, self.runs(self.fleet.tools))

    # Guards against an unsigned success of a call that may be repeated.
    def test_safe_call_is_retried(self):
        answer = self.fleet.call("POST", "/safe/x", "r1", b"x")
        self.assertEqual(200, answer.status)
        self.assertIn(names.SERVER_SEAL.lower(), answer.headers)
        self.assertEqual(2, self.runs(self.fleet.tools))

    # Guards against an unsigned stream that is recorded as a turn.
    def test_turn_fails_and_is_not_recorded(self):
        answer = self.fleet.take_turn("a")
        self.assertEqual(502, answer.status)
        self.assertEqual(b"", answer.body)
        next_turn = self.fleet.take_turn("b", previous_turn="a")
        self.assertEqual(404, next_turn.status)

    # Guards against a rejection of every answer without a signature.
    def test_failure_without_signature_is_passed_on(self):
        for tool in self.fleet.tools:
            tool.faults.busy_status = 500
        answer = self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertEqual(500, answer.status)


class EncodedAnswerTest(case.FleetCase):
    """The first answer to a request has an encoding."""

    def setUp(self):
        super().setUp()
        self.fleet.tools[0].faults.encoded = 1

    # Guards against an encoded body that passes as the upstream's own.
    def test_unsafe_call_fails_as_possibly_run(self):
        answer = self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertEqual(502, answer.status)
        self.assertEqual(1, len(self.fleet.tools[0].runs))

    # Guards against an encoded body of a call that may be repeated.
    def test_safe_call_is_retried(self):
        answer = self.fleet.call("POST", "/safe/x", "r1", b"x")
        self.assertEqual(200, answer.status)
        self.assertNotIn("content-encoding", answer.headers)
