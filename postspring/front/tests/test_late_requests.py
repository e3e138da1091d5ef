"""Requests that arrive while a VM stops, at any moment of its grace.

A VM that took requests for a constant time, however short its grace was,
passed requests on that it had to break off a moment later.
"""

import dataclasses
import unittest

from postspring.front import shutdown
from postspring.testing import callers_edge
from postspring.testing.fleet import caller as caller_module
from postspring import transport

STEP_SECONDS = 0.1
# Turns of the loop within which the next request is parsed.
TURNS = 10
# Seconds before the end of the grace in which only answers are sent.
MARGIN_SECONDS = shutdown.ANSWER_MARGIN_SECONDS
GRACES = (0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 8.0)


@dataclasses.dataclass(slots=True)
class LateRequest:
    """A request sent at some moment of a stop, in seconds after SIGTERM."""

    caller: caller_module.Caller
    sent_at: float
    is_sent: bool = False


class LateRequestsCase(unittest.TestCase):
    """A stopping VM whose callers send a request at each moment."""

    def begin(self, grace, run_seconds=None, kept=0):
        """Begin a stop, with connections that have had an answer.

        Requests that the VM takes are answered after ``run_seconds``, or
        never.
        """
        self.edge = callers_edge.CallersEdge(self.handle)
        self.addCleanup(self.edge.close)
        self.edge.shutdown.grace = grace
        self.run_seconds = run_seconds
        # Moments at which requests were passed on, and those of the ones that
        # were broken off.
        self.taken_at = []
        self.taken_calls = []
        self.broken_off = []
        self.kept = [self.edge.connect() for _ in range(kept)]
        for caller in self.kept:
            self.edge.ask(caller)
        self.edge.run_loop_until(
            lambda: all(caller.answer.complete for caller in self.kept)
        )
        self.edge.freeze()
        self.edge.shutdown.begin()
        self.began_at = self.edge.timers.now()

    def stop(self, grace, run_seconds=None):
        """Stop with a request at each step; return the requests.

        They come on kept connections and on new ones.
        """
        self.begin(grace, run_seconds, kept=int(grace / STEP_SECONDS))
        requests = []

        def send_and_check():
            for caller in (self.kept and self.kept.pop(), self.connected()):
                if caller:
                    requests.append(self.send(caller))
            return not self.edge.stopped

        self.pass_steps(send_and_check)
        for request in requests:
            request.caller.poll()
        return requests

    def pass_steps(self, check):
        """Let time pass in steps while a condition holds."""
        while check():
            self.edge.run_loop()
            self.edge.pass_time(STEP_SECONDS)

    @property
    def elapsed(self):
        """Seconds since SIGTERM."""
        return self.edge.timers.now() - self.began_at

    def connected(self):
        """Return a new connection, or None if it is refused."""
        try:
            return self.edge.connect()
        except ConnectionRefusedError:
            return None

    def send(self, caller):
        """Send a request, unless the connection has been closed."""
        request = LateRequest(caller, self.elapsed)
        caller.answer.complete = False
        caller.poll()
        request.is_sent = not caller.answer.closed
        if request.is_sent:
            self.edge.ask(caller)
        return request

    @staticmethod
    def unanswered(requests):
        """Return when the requests without an answer were sent."""
        return [
            round(request.sent_at, 1)
            for request in requests
            if request.is_sent and not request.caller.answer.complete
        ]

    def handle(self, call: transport.IncomingCall):
        """Answer before the stop; then take a call or refuse it."""
        if not self.edge.shutdown.is_stopping:
            call.respond(200, [])
        elif not self.edge.shutdown.accepts_work:
            call.respond(503, [])
        else:
            self.take(call)

    def take(self, call):
        """Pass a call on to an upstream."""
        taken_at = self.elapsed
        self.taken_at.append(taken_at)
        self.taken_calls.append(call)

        def break_off():
            self.broken_off.append(taken_at)
            call.respond(502, [])

        call.on_shutdown_deadline = break_off
        if self.run_seconds is not None:
            self.edge.timers.call_later(
                self.run_seconds, call.respond, 200, []
            )


class LateRequestsTest(LateRequestsCase):
    """Whatever the grace is, requests are taken while they can end."""

    def test_requests_are_taken_while_they_can_be_finished(self):
        """Half of the time before the final answers is for finishing them."""
        for grace in GRACES:
            with self.subTest(grace=grace):
                self.stop(grace, run_seconds=(grace - MARGIN_SECONDS) / 3)
                self.assertEqual([], self.broken_off)

    def test_each_request_that_is_sent_is_answered(self):
        for grace in GRACES:
            with self.subTest(grace=grace):
                requests = self.stop(grace)
                self.assertEqual([], self.unanswered(requests))

    def test_requests_are_taken_during_the_rotation_period(self):
        for grace in (8.0, 60.0):
            with self.subTest(grace=grace):
                self.stop(grace, run_seconds=1.0)
                self.assertAlmostEqual(
                    shutdown.ROTATION_SECONDS,
                    max(self.taken_at),
                    delta=2 * STEP_SECONDS,
                )

    def test_request_of_the_last_moment_is_answered(self):
        """It was passed on, and cut without an answer a moment later."""
        for grace in GRACES:
            for is_read in (True, False):
                with self.subTest(grace=grace, is_read=is_read):
                    self.begin(grace)
                    request = self.send_last(grace, is_read)
                    self.assertEqual([], self.unanswered([request]))
                    self.assertEqual([], self.taken_at)

    def send_last(self, grace, is_read):
        """Send a request between the last two checks of the stop.

        Its connection is as new as the VM allows, so it isn't idle yet.
        """
        caller = self.edge.connect()

        def connect_again():
            nonlocal caller
            caller = self.connected() or caller
            return self.elapsed < grace - 3.5 * STEP_SECONDS

        self.pass_steps(connect_again)
        self.edge.run_loop()
        self.edge.pass_time(STEP_SECONDS)
        self.edge.run_loop()
        request = self.send(caller)
        if is_read:
            self.edge.run_loop()
        self.pass_steps(lambda: not self.edge.stopped)
        caller.poll()
        return request


class DelayedSignalTest(LateRequestsCase):
    """A busy process handles SIGTERM some time after it was sent.

    It took requests for 3 s from then, and broke long streams off that had
    been sent later than 3 s after the signal.
    """

    DELAY_SECONDS = 0.15

    def test_request_sent_later_than_three_seconds_is_not_taken(self):
        self.stop(8.0)
        latest = max(self.taken_at) + self.DELAY_SECONDS
        self.assertLess(latest, 3.0)
        self.assertGreater(latest, 2.5)


class SentAheadTest(LateRequestsCase):
    """Requests that a caller sent ahead on one connection are answered.

    The connection ended with the response to the first of them, though the
    others had been read.
    """

    COUNT = 5
    REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"

    def send_ahead(self, count, rest=b""):
        """Begin a stop and send requests at once; return the caller."""
        self.begin(8.0)
        caller = self.edge.connect()
        caller.send_raw(count * self.REQUEST + rest)
        self.edge.run_loop()
        return caller

    def statuses(self, caller):
        """Return the statuses of all responses until the connection ends."""
        received = b""
        while not caller.answer.closed:
            caller.received = b""
            caller.poll()
            received += caller.received
            self.edge.run_loop(1)
        self.assertEqual(1, received.lower().count(b"connection: close"))
        return [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]

    def test_requests_sent_ahead_are_answered(self):
        caller = self.send_ahead(self.COUNT)
        for _ in range(self.COUNT):
            self.taken_calls.pop().respond(200, [])
            self.edge.run_loop(TURNS)
        self.assertEqual(self.COUNT * [200], self.statuses(caller))

    def test_only_the_one_that_was_taken_is_broken_off(self):
        caller = self.send_ahead(self.COUNT)
        self.pass_steps(lambda: not self.edge.stopped)
        expected = [502] + (self.COUNT - 1) * [503]
        self.assertEqual(expected, self.statuses(caller))
        self.assertEqual(1, len(self.taken_at))

    def test_partial_request_behind_them_is_refused(self):
        caller = self.send_ahead(1, rest=self.REQUEST[:-2])
        self.pass_steps(lambda: not self.edge.stopped)
        self.assertEqual([502, 503], self.statuses(caller))
