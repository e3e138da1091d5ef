"""Answers of upstreams that end with their connection.

A truncated answer was passed on as a complete success, and nothing told
operators how the upstream's connection had ended.
"""

from postspring.platform import names
from postspring.testing.fleet import case


class UnframedAnswerTest(case.FleetCase):
    """Answers without a length, on routes of both kinds."""

    def setUp(self):
        super().setUp()
        self.counted = []
        metrics = self.fleet.nodes[0].metrics
        metrics.response_ends.add = lambda n, labels: self.counted.append(
            labels
        )

    def call(self, target):
        """Return a call's answer and the fields of its log lines."""
        with self.assertLogs("postspring.forwarding", "INFO") as logs:
            answer = self.fleet.call("POST", target, "r1", b"x")
        lines = [
            record
            for record in logs.records
            if record.name.endswith("response_ends")
        ]
        return answer, lines

    # Guards against the rejection of every answer without a length.
    def test_answer_that_ends_with_an_eof_is_passed_on(self):
        self.fleet.tools[0].faults.unframed = 1
        answer, (line,) = self.call("/once/x")
        self.assertEqual(200, answer.status)
        self.assertEqual(b"answer of t0", answer.body)
        self.assertEqual(
            ("r1", "t0", "eof", True, False, 0),
            (
                line.request,
                line.upstream,
                line.end,
                line.complete,
                line.has_length,
                line.unsent,
            ),
        )
        self.assertGreater(line.received, len(answer.body))
        self.assertEqual([{"end": "eof", "complete": "yes"}], self.counted)

    # Guards against a truncated answer that counts as a success.
    def test_answer_that_is_reset_is_no_success(self):
        self.fleet.tools[0].faults.reset_unframed = 1
        answer, (line,) = self.call("/once/x")
        self.assertEqual(502, answer.status)
        self.assertNotIn(names.SERVER_SEAL.lower(), answer.headers)
        self.assertEqual(("reset", False), (line.end, line.complete))
        self.assertEqual(1, len(self.fleet.tools[0].runs))
        self.assertEqual([{"end": "reset", "complete": "no"}], self.counted)

    # Guards against a retry that keeps a part of the truncated answer.
    def test_answer_that_is_reset_is_retried_if_it_may_run_again(self):
        self.fleet.tools[0].faults.reset_unframed = 1
        answer, (line,) = self.call("/safe/x")
        self.assertEqual(200, answer.status)
        self.assertEqual(b"answer of t0", answer.body)
        self.assertEqual("reset", line.end)
        self.assertEqual(2, len(self.fleet.tools[0].runs))

    # Guards against a line for each answer.
    def test_framed_answer_has_no_line(self):
        with self.assertNoLogs("postspring.forwarding.response_ends"):
            self.fleet.call("POST", "/once/x", "r1", b"x")
        self.assertEqual([], self.counted)
