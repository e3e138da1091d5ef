"""A shutdown breaks off no request that has reached the machine.

A shutdown that waited only for the requests in progress ignored bytes that
the kernel held for the process and bytes that the process held for its
callers.  The loop runs timers before sockets, so after a pause of the process
the shutdown was decided on what had been read before the pause; and answers
beyond a caller's receive window stayed in the buffer of a process that
exited.  The tests pause the loop to provoke both.
"""

import unittest

from postspring.front import shutdown
from postspring.testing import callers_edge

PAUSE_SECONDS = 3.5
LONG_ANSWER_BYTES = 8_000_000
# Into the grace period of 8 s, whose last 0.6 s are for final answers.
NEAR_END_SECONDS = 7.5


def fail():
    """Raise an error."""
    raise ValueError("the end of a call")


class CallersEdgeCase(unittest.TestCase):
    """A server whose loop is turned by hand."""

    def setUp(self):
        self.edge = callers_edge.CallersEdge()
        self.addCleanup(self.edge.close)

    def connected_caller(self):
        """Return a caller with an answer and an open connection."""
        caller = self.edge.connect()
        self.edge.ask(caller)
        self.edge.run_loop_until(lambda: self.edge.calls)
        self.edge.calls.pop().respond(200, [])
        self.edge.run_loop_until(lambda: caller.answer.complete)
        return caller

    def answer_until(self, check):
        """Answer requests until a condition holds."""

        def answer_calls():
            while self.edge.calls:
                self.edge.calls.pop().respond(503, [])
            return check()

        self.edge.run_loop_until(answer_calls)


class DrainTest(CallersEdgeCase):
    """Requests and connections that a shutdown must not overlook."""

    def test_request_that_arrives_during_a_pause_is_answered(self):
        caller = self.connected_caller()
        self.edge.shutdown.begin()
        self.edge.run_loop()
        self.edge.ask(caller)
        self.edge.pass_time(PAUSE_SECONDS)
        self.answer_until(lambda: caller.answer.settled)
        self.assertTrue(caller.answer.complete)
        self.answer_until(lambda: self.edge.stopped)

    def test_connection_that_waits_to_be_accepted_is_served(self):
        self.edge.shutdown.begin()
        self.edge.run_loop()
        callers = [self.edge.connect() for _ in range(5)]
        for caller in callers:
            self.edge.ask(caller)
        self.edge.pass_time(PAUSE_SECONDS)
        self.answer_until(
            lambda: all(caller.answer.settled for caller in callers)
        )
        self.assertEqual(
            [True] * 5, [caller.answer.complete for caller in callers]
        )
        self.answer_until(lambda: self.edge.stopped)

    def test_answer_that_its_caller_reads_late_is_complete(self):
        caller = self.edge.connect()
        self.edge.ask(caller)
        self.edge.run_loop_until(lambda: self.edge.calls)
        body = b"x" * LONG_ANSWER_BYTES
        self.edge.shutdown.begin()
        self.edge.calls.pop().respond(200, [], body)
        self.edge.pass_time(PAUSE_SECONDS)
        self.edge.run_loop(50)
        self.assertFalse(self.edge.stopped)
        self.edge.run_loop_until(lambda: caller.answer.settled)
        self.assertEqual(len(body), len(caller.answer.body))
        self.edge.run_loop_until(lambda: self.edge.stopped)

    def test_new_connection_does_not_count_as_idle(self):
        self.edge.shutdown.begin()
        self.edge.run_loop()
        caller = self.edge.connect()
        self.edge.pass_time(PAUSE_SECONDS)
        self.edge.run_loop()
        self.edge.shutdown._check()
        self.edge.ask(caller)
        self.answer_until(lambda: caller.answer.settled)
        self.assertTrue(caller.answer.complete)
        self.answer_until(lambda: self.edge.stopped)

    def test_connection_without_a_request_does_not_delay_the_exit(self):
        self.edge.connect()
        self.edge.run_loop()
        self.edge.shutdown.begin()
        self.edge.pass_time(PAUSE_SECONDS)
        self.edge.run_loop_until(lambda: self.edge.stopped)


class GraceTest(CallersEdgeCase):
    """Open requests at the end of the grace are answered or logged."""

    def stop(self):
        """Stop near the end of the grace; return log records by message."""
        self.edge.shutdown.begin()
        self.edge.run_loop()
        self.edge.pass_time(NEAR_END_SECONDS)
        with self.assertLogs("postspring.front", "INFO") as lines:
            self.edge.run_loop_until(lambda: self.edge.stopped)
        return {record.getMessage(): record for record in lines.records}

    def test_unanswered_call_gets_bad_gateway(self):
        caller = self.edge.connect()
        self.edge.ask(caller)
        self.edge.run_loop_until(lambda: self.edge.calls)
        self.assertEqual(1, self.stop()["grace period is ending"].active)
        self.assertEqual(502, caller.answer.status)
        self.assertTrue(caller.answer.complete)

    def test_failing_handler_does_not_affect_other_calls(self):
        """The first handler that raised prevented all later ones."""
        callers = [self.edge.connect() for _ in range(3)]
        for caller in callers:
            self.edge.ask(caller)
        self.edge.run_loop_until(lambda: len(self.edge.calls) == len(callers))
        for call in self.edge.calls[:2]:
            call.on_shutdown_deadline = fail
        self.edge.calls[0].start(200, [("Transfer-Encoding", "chunked")])
        with self.assertLogs("postspring.transport", "ERROR"):
            self.stop()
        for caller in callers:
            caller.poll()
        self.assertEqual(
            [200, 502, 502], [caller.answer.status for caller in callers]
        )
        self.assertEqual(
            [False, True, True], [caller.answer.complete for caller in callers]
        )

    def test_partially_read_request_is_refused_as_not_run(self):
        caller = self.edge.connect()
        caller.send_raw(b"POST / HTTP/1.1\r\nHost: a\r\n")
        self.edge.run_loop()
        self.stop()
        self.assertTrue(caller.received.startswith(b"HTTP/1.1 503"))

    def test_unsent_bytes_are_logged(self):
        caller = self.edge.connect()
        self.edge.ask(caller)
        self.edge.run_loop_until(lambda: self.edge.calls)
        self.edge.calls.pop().respond(200, [], b"x" * LONG_ANSWER_BYTES)
        caller.poll = lambda: None
        line = self.stop()["stopped"]
        self.assertGreater(line.unsent, 0)
        self.assertEqual("WARNING", line.levelname)

    def test_unrecorded_records_are_logged(self):
        self.edge.is_recorded = False
        line = self.stop()["stopped"]
        self.assertEqual(1, line.unrecorded)
        self.assertEqual("WARNING", line.levelname)

    def test_clean_shutdown_logs_no_warning(self):
        self.connected_caller()
        self.edge.shutdown.begin()
        self.edge.pass_time(PAUSE_SECONDS)
        with self.assertLogs("postspring.front", "INFO") as lines:
            self.edge.run_loop_until(lambda: self.edge.stopped)
        self.assertEqual(["INFO"], [line.levelname for line in lines.records])
        self.assertIs(shutdown.Phase.ENDED, self.edge.shutdown.phase)


class SignalsTest(CallersEdgeCase):
    """Signals that arrive during a stop.

    A VM whose grace was extended during its final answers did nothing more
    until the end of the new grace.
    """

    def setUp(self):
        super().setUp()
        self.edge.freeze()
        self.edge.shutdown.begin()

    def pass_steps(self, seconds):
        """Let time pass, with the checks that are due."""
        for _ in range(round(seconds / shutdown.CHECK_SECONDS)):
            self.edge.pass_time(shutdown.CHECK_SECONDS)
            self.edge.run_loop()

    def test_grace_extended_during_the_final_answers(self):
        self.edge.is_recorded = False
        self.pass_steps(NEAR_END_SECONDS)
        self.assertIs(shutdown.Phase.FORCED_ANSWERS, self.edge.shutdown.phase)
        self.edge.shutdown.grace = 60.0
        self.pass_steps(1.0)
        self.assertFalse(self.edge.stopped)
        self.edge.is_recorded = True
        self.pass_steps(1.0)
        self.assertTrue(self.edge.stopped)

    def test_shortened_grace_still_has_final_answers(self):
        caller = self.edge.connect()
        self.edge.ask(caller)
        self.edge.run_loop_until(lambda: self.edge.calls)
        self.pass_steps(5.0)
        self.edge.shutdown.grace = 2.0
        self.pass_steps(1.0)
        self.edge.run_loop_until(lambda: caller.answer.settled)
        self.assertTrue(caller.answer.complete)
        self.assertTrue(self.edge.stopped)

    def test_second_signal_does_not_start_the_grace_again(self):
        self.edge.is_recorded = False
        self.pass_steps(NEAR_END_SECONDS)
        self.edge.shutdown.begin()
        self.pass_steps(1.0)
        self.assertTrue(self.edge.stopped)


class DelayedExitTest(CallersEdgeCase):
    """A slow caller delays the exit of a VM past its rotation period.

    The balancer uses all VMs of a data centre of which fewer than half are
    ready.  While two of three VMs were stopping, each delayed by a slow
    caller, and still listened, a turn was sent to these two again and again
    and was refused in six of six tries, within 0.6 s.
    """

    def test_new_connections_are_refused_at_once(self):
        slow = self.edge.connect()
        self.edge.ask(slow)
        self.edge.run_loop_until(lambda: self.edge.calls)
        self.edge.shutdown.begin()
        waiting = self.edge.connect()
        self.edge.ask(waiting)
        self.edge.pass_time(PAUSE_SECONDS)
        self.edge.run_loop_until(lambda: len(self.edge.calls) == 2)
        with self.assertRaises(ConnectionRefusedError):
            self.edge.connect()
        self.assertFalse(self.edge.stopped)
        self.answer_until(lambda: slow.answer.settled)
        self.assertTrue(slow.answer.complete)
        self.answer_until(lambda: waiting.answer.settled)
        self.assertTrue(waiting.answer.complete)
        self.answer_until(lambda: self.edge.stopped)
