"""Answers that are broken off, and what counts as complete of them."""

import unittest

from postspring.testing.soak import breaking
from postspring.testing.soak import records
from postspring.testing.soak import verdict

NONE, LENGTH, CHUNKS = breaking.Framing


class BreakTest(unittest.TestCase):
    """The bytes of an answer, and whether they are complete."""

    # Guards against MIXED for answers that are whole.
    def test_complete_answers(self):
        for framing in (LENGTH, CHUNKS):
            for is_reset in (False, True):
                way = breaking.Break(framing, False, is_reset)
                self.assertTrue(way.is_complete, way)
        self.assertTrue(breaking.Break(NONE, False, False).is_complete)

    # Guards against cut answers that are judged as whole.
    def test_incomplete_answers(self):
        for framing in breaking.Framing:
            way = breaking.Break(framing, True, True)
            self.assertFalse(way.is_complete, way)
        self.assertFalse(breaking.Break(NONE, False, True).is_complete)

    # Guards against an upstream that breaks off another way than was asked.
    def test_path_tells_the_way(self):
        way = breaking.Break(CHUNKS, True, False)
        self.assertEqual(
            way, breaking.Break.parse(f"/once/{way.path}".encode())
        )

    # Guards against an endless answer that is played or judged as another.
    def test_endless_answer(self):
        for framing in breaking.Framing:
            way = breaking.Break(framing, False, False, is_endless=True)
            self.assertFalse(way.is_complete, way)
            self.assertEqual(
                way, breaking.Break.parse(f"/once/{way.path}".encode())
            )
            self.assertFalse(way.answer([], b"abcd").endswith(b"0\r\n\r\n"))

    # Guards against a cut answer that ends by its framing.
    def test_answer_in_chunks(self):
        whole = breaking.Break(CHUNKS, False, True).answer([], b"abcd")
        half = breaking.Break(CHUNKS, True, True).answer([], b"abcd")
        self.assertTrue(whole.endswith(b"4\r\nabcd\r\n0\r\n\r\n"))
        self.assertTrue(half.endswith(b"2\r\nab\r\n"))

    # Guards against a cut answer that ends by its length.
    def test_length_is_that_of_the_whole_answer(self):
        half = breaking.Break(LENGTH, True, True).answer([], b"abcd")
        self.assertIn(b"Content-Length: 4\r\n", half)
        self.assertTrue(half.endswith(b"\r\n\r\nab"))


class EarlyRunTest(unittest.TestCase):
    """What is judged of requests that were answered early."""

    def rules(self, end, status, seal="", answer="whole"):
        """Return the rules that an attempt broke, by its run's end."""
        attempt = records.Attempt(
            "r", "w", records.Kind.UNSAFE, "vm", "c", 0, 1.0, 9.0, "body"
        )
        attempt.sent, attempt.ended = 1.1, 1.2
        attempt.end, attempt.status = records.End.WHOLE, status
        attempt.seal, attempt.answer = seal, answer
        attempt.workspace = "w"
        run = records.Run("r", "k", "t", 1.0, True, "", ended=1.1, end=end)
        run.is_early, run.answer, run.workspace = True, "whole", "w"
        judged = verdict.judge([attempt], [run], [])
        return [finding.rule for finding in judged.findings]

    # Guards against a soak that misses truncated answers.
    def test_broken_answer_that_passes_as_a_success(self):
        self.assertEqual(["MIXED"], self.rules("broke_off", 200, "k.r"))

    # Guards against a finding for an answer that can only fail.
    def test_broken_answer_that_fails(self):
        self.assertEqual([], self.rules("broke_off", 502))

    # Guards against a soak that misses lost answers.
    def test_whole_answer_that_fails(self):
        self.assertEqual(["REPLACED"], self.rules("whole", 502))

    # Guards against a finding for an answer that is right.
    def test_whole_answer_that_is_passed_on(self):
        self.assertEqual([], self.rules("whole", 200, "k.r"))
