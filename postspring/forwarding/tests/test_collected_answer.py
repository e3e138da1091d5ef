"""Answers that are collected whole before callers get them.

Nothing bounded them: sixty callers that asked for 2 MB each and read nothing
had a VM of 96 MB take 136 MB.
"""

import unittest
from unittest import mock

from postspring import forwarding
from postspring import transport

LIMIT = 1000


class CollectedAnswerTest(unittest.TestCase):
    """Two answers that arrive at the same time."""

    def setUp(self):
        self.timers = mock.Mock()
        self.memory = transport.CallerMemory(lambda: LIMIT)
        self.answers = forwarding.AnswerMemory(self.timers, self.memory)
        self.first, self.second = (self.answers.collect() for _ in range(2))
        self.first_exchange, self.second_exchange = mock.Mock(), mock.Mock()

    def fill(self):
        """Receive more than there is memory for."""
        self.first.add(b"x" * 600, self.first_exchange)
        self.second.add(b"y" * 600, self.second_exchange)

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

    # Guards against answers that all wait for each other.
    def test_first_answer_is_read_on(self):
        self.fill()
        self.first.add(b"x" * 600, self.first_exchange)
        self.first_exchange.pause_reading.assert_not_called()

    # Guards against an answer that waits though there is memory.
    def test_waiting_answer_is_read_on_when_there_is_memory(self):
        self.fill()
        self.assertEqual(b"x" * 600, self.first.take())
        self.run_timer()
        self.second_exchange.resume_reading.assert_called_once()

    # Guards against memory that is counted after the end.
    def test_nothing_is_counted_after_the_end(self):
        self.fill()
        self.first.take()
        self.second.clear()
        self.assertEqual(0, self.memory.held)
