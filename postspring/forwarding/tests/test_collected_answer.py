"""Answers that are collected whole before callers get them.

Nothing bounded them: sixty callers that asked for 2 MB each and read nothing
had a VM of 96 MB take 136 MB.
"""

import unittest
from unittest import mock

from postspring import forwarding
from postspring import transport

KIB = 1024
MIB = 1024 * KIB
LIMIT = 4800 * KIB
# What is held for other callers.
OTHERS = 4000 * KIB
PART = 600 * KIB
SHORT_BYTES = 16 * KIB


class CollectedAnswerTest(unittest.TestCase):
    """Two answers that arrive at the same time."""

    def setUp(self):
        self.timers = mock.Mock()
        self.memory = transport.CallerMemory(lambda: LIMIT)
        self.others = self.memory.hold()
        self.others.set(OTHERS)
        self.answers = forwarding.AnswerMemory(self.timers, self.memory)
        self.first, self.second = (self.answers.collect() for _ in range(2))
        self.first_exchange, self.second_exchange = mock.Mock(), mock.Mock()

    def fill(self):
        """Receive more than there is memory for."""
        self.first.add(b"x" * PART, self.first_exchange)
        self.second.add(b"y" * PART, self.second_exchange)

    def run_timer(self):
        """Run what was last scheduled."""
        _seconds, function, *arguments = self.timers.call_later.call_args.args
        function(*arguments)

    # Guards against answers that are read whatever memory there is.
    def test_answer_waits_above_the_limit(self):
        self.fill()
        self.second_exchange.pause_reading.assert_called_once()
        self.run_timer()
        self.second_exchange.resume_reading.assert_not_called()

    # Guards against a stalled answer that delays all others.
    def test_short_answer_does_not_wait(self):
        self.others.set(LIMIT)
        self.first.add(b"x" * PART, self.first_exchange)
        for _ in range(2):
            self.second.add(b"y" * (SHORT_BYTES // 2), self.second_exchange)
        self.second_exchange.pause_reading.assert_not_called()
        self.second.add(b"y", self.second_exchange)
        self.second_exchange.pause_reading.assert_called_once()

    # Guards against answers that all wait for each other.
    def test_first_answer_is_read_on(self):
        self.fill()
        self.first.add(b"x" * PART, self.first_exchange)
        self.first_exchange.pause_reading.assert_not_called()

    # Guards against an answer that waits though there is memory.
    def test_waiting_answer_is_read_on_when_there_is_memory(self):
        self.fill()
        self.assertEqual(b"x" * PART, self.first.take())
        self.run_timer()
        self.second_exchange.resume_reading.assert_called_once()

    # Guards against memory that is counted after the end.
    def test_nothing_is_counted_after_the_end(self):
        self.fill()
        self.first.take()
        self.second.clear()
        self.assertEqual(OTHERS, self.memory.held)
        self.assertEqual(0, self.answers.held)

    # Guards against a stream that keeps others waiting for its whole time.
    def test_events_are_not_counted_when_they_are_complete(self):
        event = b"x" * (MIB // 8)
        memory = transport.CallerMemory(lambda: MIB)
        answers = forwarding.AnswerMemory(self.timers, memory)
        stream = answers.collect()
        self.assertEqual([], stream.split(event, self.first_exchange))
        self.assertEqual(len(event), answers.held)
        self.assertEqual(1, len(stream.split(b"\n\n", self.first_exchange)))
        self.assertEqual(0, answers.held)


class AnswerLimitTest(unittest.TestCase):
    """Answers that grow, or say that they will."""

    def setUp(self):
        self.memory = transport.CallerMemory(lambda: LIMIT)
        self.answers = forwarding.AnswerMemory(mock.Mock(), self.memory)
        self.exchange = mock.Mock()
        self.exchange.request.method = "GET"

    def state_length(self, length, status=200):
        """Return whether an answer that states a length is too long."""
        self.exchange.header_fields = [(b"Content-Length", b"%d" % length)]
        answer = self.answers.collect()
        answer.begin(status, self.exchange)
        return answer.is_too_long

    # Guards against the answer that began first being read without a bound.
    def test_one_answer_may_take_a_quarter(self):
        answer = self.answers.collect()
        answer.add(b"x" * (LIMIT // 4), self.exchange)
        self.assertFalse(answer.is_too_long)
        answer.add(b"x", self.exchange)
        self.assertTrue(answer.is_too_long)
        self.exchange.pause_reading.assert_not_called()

    # Guards against answers that leave no memory for requests.
    def test_all_answers_may_take_half(self):
        collected = [self.answers.collect() for _ in range(3)]
        for answer in collected:
            self.exchange.pause_reading.assert_not_called()
            answer.add(b"x" * (LIMIT // 4), self.exchange)
        self.exchange.pause_reading.assert_called_once()

    # Guards against answers that are read though they can never be held.
    def test_stated_length(self):
        self.assertTrue(self.state_length(LIMIT // 4 + 1))
        self.assertFalse(self.state_length(LIMIT // 4))

    # Guards against answers without a body that are taken for long ones.
    def test_length_of_no_body(self):
        self.assertFalse(self.state_length(LIMIT, status=304))
        self.exchange.request.method = "HEAD"
        self.assertFalse(self.state_length(LIMIT))

    # Guards against answers without a bound if the memory is not stated.
    def test_unstated_memory(self):
        self.answers = forwarding.AnswerMemory(mock.Mock())
        self.assertTrue(self.state_length(MIB * MIB))
        self.assertFalse(self.state_length(8 * MIB))
