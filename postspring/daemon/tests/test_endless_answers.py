"""Upstreams whose answers have no end, against the daemon's own process.

A VM read the answers of one such upstream for eight callers until its memory
was used up, and it was killed; a single event without an end kept its event
loop busy, so that nobody was served.
"""

import collections
import http.client
import threading
import time
import unittest
import uuid

from postspring.daemon import process
from postspring.platform import names
from postspring.testing.fleet import fleet
from postspring.testing import misbehaving
from postspring.testing import processes

MIB = 1024 * 1024
# Of the VM's machine; its process may not exceed them.
MEMORY_MB = 96
MAX_FILES = 3200
BODY_BYTES = 4 * MIB
CALLERS = 8
PLAY_SECONDS = 1.0
DEADLINE_MS = 2500
READ_BYTES = 64 * 1024
FINAL_FOR_CALLS_THAT_RAN = {502, 504}

TURN_PATH = "/endless-stream/x"
TURN_HEADERS = {
    names.MODEL: "m",
    names.SESSION_ID: "s",
    names.PROGRAM_DEADLINE_MS: "30000",
    names.TOKEN_BUDGET: "100000",
    names.TOKEN_USAGE: "100,40000",
}


class Caller(threading.Thread):
    """Sends one request after the other, and reads what it gets.

    Attributes
    ==========

    outcomes : Counter
        Statuses of answers; ``broken`` for those broken off, with -1 for
        connections without an answer.
    """

    def __init__(self, address, method, path, until):
        super().__init__(daemon=True)
        self._address = address
        self._method = method
        self._path = path
        self._until = until
        self.outcomes = collections.Counter()

    def run(self):
        """Call until the end of the play."""
        while time.monotonic() < self._until:
            self._call()

    def _call(self):
        request_id = uuid.uuid4().hex
        headers = {
            "Host": fleet.HOST,
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: str(DEADLINE_MS),
        }
        if self._path == TURN_PATH:
            headers |= TURN_HEADERS | {names.PROGRAM_ID: request_id}
        connection = http.client.HTTPConnection(*self._address, timeout=10)
        status = -1
        try:
            connection.request(self._method, self._path, b"x", headers)
            response = connection.getresponse()
            status = response.status
            while response.read1(READ_BYTES):
                if time.monotonic() > self._until:
                    break
        except (OSError, http.client.HTTPException):
            self.outcomes["broken"] += 1
        finally:
            connection.close()
        self.outcomes[status] += 1


class EndlessAnswersTest(unittest.TestCase):
    """A VM, an upstream without an end, and an ordinary one."""

    def setUp(self):
        process.raise_file_limit(MAX_FILES)
        self.vm = misbehaving.SingleVm(MEMORY_MB, MAX_FILES, BODY_BYTES)
        self.addCleanup(self.vm.close)
        misbehaving.EndlessUpstream.add_routes(self.vm.document)

    def play(self, form, path, method="GET"):
        """Let callers ask for endless answers; return their outcomes."""
        upstream = misbehaving.EndlessUpstream(
            self.vm.spare_address, self.vm.data_center, form, self.vm.put
        )
        self.vm.open()
        self.addCleanup(upstream.close)
        upstream.open()
        processes.wait_until(
            "its entry", lambda: self.asks(upstream, method, path)
        )
        until = time.monotonic() + PLAY_SECONDS
        callers = [
            Caller(self.vm.callers, method, path, until)
            for _ in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        self.serves()
        for caller in callers:
            caller.join()
        self.serves()
        self.assertLessEqual(self.vm.peak_bytes, MEMORY_MB * MIB)
        outcomes = sum((c.outcomes for c in callers), collections.Counter())
        self.assertNotIn(-1, outcomes)
        self.assertTrue(outcomes)
        return outcomes

    def asks(self, upstream, method, path):
        """Return whether a call reached the upstream."""
        Caller(self.vm.callers, method, path, 0)._call()
        return upstream.asked

    def serves(self):
        """Check that the VM lives and answers an ordinary request."""
        self.assertTrue(self.vm.is_running, self.vm.vm_log[-2000:])
        processes.wait_until("an ordinary request", self.vm.answers)
        self.assertTrue(self.vm.is_running, self.vm.vm_log[-2000:])

    # Guards against chunked answers that are collected without a bound.
    def test_chunks_of_a_repeatable_call(self):
        outcomes = self.play(misbehaving.Form.CHUNKS, "/endless-safe/x")
        self.assertLessEqual(outcomes.keys(), FINAL_FOR_CALLS_THAT_RAN)

    # Guards against the same, and calls that have run refused as if not.
    def test_chunks_of_a_call_that_runs_once(self):
        outcomes = self.play(
            misbehaving.Form.CHUNKS, "/endless-once/x", "POST"
        )
        self.assertLessEqual(outcomes.keys(), FINAL_FOR_CALLS_THAT_RAN)

    # Guards against the same for answers that end with their connection.
    def test_answer_until_the_connection_ends(self):
        outcomes = self.play(misbehaving.Form.UNTIL_CLOSED, "/endless-safe/x")
        self.assertLessEqual(outcomes.keys(), FINAL_FOR_CALLS_THAT_RAN)

    # Guards against answers that are read though they state a length that
    # never fits.
    def test_huge_stated_length(self):
        outcomes = self.play(misbehaving.Form.STATED_LENGTH, "/endless-safe/x")
        self.assertLessEqual(outcomes.keys(), FINAL_FOR_CALLS_THAT_RAN)

    # Guards against the same for the failures of turns.
    def test_failure_of_a_turn(self):
        outcomes = self.play(misbehaving.Form.FAILED, TURN_PATH, "POST")
        self.assertLessEqual(outcomes.keys(), FINAL_FOR_CALLS_THAT_RAN)

    # Guards against an event that is joined and searched again at each read.
    def test_event_without_an_end(self):
        outcomes = self.play(misbehaving.Form.EVENT, "/endless-plain-stream/x")
        self.assertLessEqual(outcomes.keys(), FINAL_FOR_CALLS_THAT_RAN)

    # Guards against the same for turns.
    def test_event_of_a_turn_without_an_end(self):
        outcomes = self.play(misbehaving.Form.EVENT, TURN_PATH, "POST")
        self.assertLessEqual(outcomes.keys(), FINAL_FOR_CALLS_THAT_RAN)

    # Guards against streams that are kept without a bound.
    def test_events_without_an_end(self):
        outcomes = self.play(
            misbehaving.Form.EVENTS, "/endless-plain-stream/x"
        )
        self.assertIn(200, outcomes)

    # Guards against turns whose record grows without a bound.
    def test_events_of_a_turn_without_an_end(self):
        outcomes = self.play(misbehaving.Form.EVENTS, TURN_PATH, "POST")
        self.assertGreaterEqual(outcomes["broken"], CALLERS)

    # Guards against the same for events that take more as objects.
    def test_short_events_of_a_turn_without_an_end(self):
        self.play(misbehaving.Form.SHORT_EVENTS, TURN_PATH, "POST")

    # Guards against an event loop that splits one stream only.
    def test_empty_events_without_an_end(self):
        self.play(misbehaving.Form.EMPTY_EVENTS, "/endless-plain-stream/x")
