"""What a server holds for callers that read slowly or not at all.

A caller that sends requests and reads nothing once had the VM hold all of its
responses, without a bound.  The tests guard against that, and against the loss
or mixing of responses by the bound.  They count bytes and responses.
"""

import unittest

import h11

from postspring.transport import send_windows
from postspring.transport import server_connection
from postspring.transport.tests import test_http_client
from postspring.transport.tests import test_http_server
from postspring.transport import unsent_responses

RESPONSES = 12
# More than the kernel takes for a caller that reads nothing, so that the
# process has to buffer.
RESPONSE_BYTES = 8_000_000
REQUEST = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
ALIVE = send_windows.SendState(0, 0, 5)
DEAD = send_windows.SendState(4, 3, 5)


def body_of(number):
    """Return a response that differs from all others at each place."""
    return (b"%7d," % number) * (RESPONSE_BYTES // 8)


class UnreadResponsesTest(test_http_server.ServerCase):
    """One caller sends many requests at once, and reads nothing at first."""

    def setUp(self):
        super().setUp()
        self.served = []
        self.most_unsent = 0
        self.edge.callers._application = self.serve

    def serve(self, call):
        number = int(call.target[1:])
        self.served.append(number)
        call.respond(200, [], body_of(number))
        self.note_unsent()

    def note_unsent(self):
        unsent = self.edge.callers.unsent_bytes
        self.most_unsent = max(self.most_unsent, unsent)

    def send_all(self):
        self.caller.send_raw(b"".join(map(REQUEST.__mod__, range(RESPONSES))))
        self.edge.run_loop(50)

    def read_all(self):
        """Read all responses; return their bodies."""
        http = h11.Connection(our_role=h11.CLIENT)
        sock = self.caller._socket
        bodies = []
        for _ in range(RESPONSES):
            http.send(
                h11.Request(method="GET", target="/", headers=[("Host", "a")])
            )
            http.send(h11.EndOfMessage())
            body = []
            while not isinstance(event := http.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    self.edge.run_loop(1)
                    self.note_unsent()
                    try:
                        http.receive_data(sock.recv(1 << 20))
                    except BlockingIOError:
                        continue
                elif isinstance(event, h11.Data):
                    body.append(bytes(event.data))
            bodies.append(b"".join(body))
            http.start_next_cycle()
        return bodies

    def test_buffer_is_bounded_and_nothing_is_lost(self):
        """Guards against unbounded memory, lost and mixed responses."""
        self.send_all()
        self.assertLess(len(self.served), 3)
        bodies = self.read_all()
        for number, body in enumerate(bodies):
            is_own = body == body_of(number)
            self.assertTrue(is_own, number)
        self.assertEqual(list(range(RESPONSES)), self.served)
        bound = RESPONSE_BYTES + server_connection.MAX_UNSENT_BYTES + 1000
        self.assertLess(self.most_unsent, bound)

    def test_other_callers_are_served(self):
        """Guards against callers that wait for one that doesn't read."""
        self.send_all()
        other = self.edge.connect()
        other.send("GET", "/7777", {"Host": "a"})
        for _ in range(4000):
            self.edge.run_loop(1)
            other.poll()
            if other.answer.complete:
                break
        is_own = other.answer.body == body_of(7777)
        self.assertTrue(is_own)
        self.assertLess(len(self.served), 4)

    def test_waiting_request_is_not_too_slow(self):
        """Guards against 408 for a request that this VM does not serve yet."""
        self.send_all()
        self.edge.pass_time(self.edge.limits.body_seconds + 1)
        self.edge.run_loop(50)
        self.assertEqual(RESPONSES, len(self.read_all()))

    def test_closed_connection_frees_its_buffer(self):
        """Guards against a buffer that outlives its caller."""
        self.send_all()
        self.caller.close()
        self.edge.run_loop(50)
        self.assertTrue(self.is_closed)
        self.assertEqual(0, self.edge.callers.unsent_bytes)

    def test_limit_of_all_callers(self):
        """Guards against many callers that read nothing, together."""
        self.edge.limits.unsent_bytes = 2 * RESPONSE_BYTES
        callers = [self.edge.connect() for _ in range(6)]
        for caller in callers:
            caller.send_raw(REQUEST % 1)
            self.edge.run_loop(10)
        # Without a wait for the next sweep.
        self.assertLessEqual(
            self.edge.callers.unsent_bytes, self.edge.limits.unsent_bytes
        )
        self.assertTrue(
            all(item.ended_by.value == "vm" for item in self.interrupted)
        )
        self.assertTrue(self.interrupted)

    def test_open_stream_is_ended_at_the_limit(self):
        """Guards against a stream that fills the memory of its VM."""
        self.edge.limits.unsent_bytes = RESPONSE_BYTES
        calls, gone = [], []
        self.edge.callers._application = calls.append
        self.caller.send_raw(REQUEST % 1)
        self.edge.run_loop_until(lambda: calls)
        calls[0].on_disconnect = lambda: gone.append(1)
        calls[0].start(200, [])
        for _ in range(3):
            calls[0].send(b"x" * RESPONSE_BYTES)
        self.edge.pass_time(1.0)
        self.edge.run_loop(10)
        self.assertEqual([1], gone)
        self.assertEqual(0, self.edge.callers.unsent_bytes)
        self.assertEqual(1, self.edge.callers.discarded_responses)


class UnreadRequestsTest(test_http_client.LoopCase):
    """Upstreams that don't read the requests they are sent."""

    def test_requests_are_held_until_their_timeout(self):
        """Guards against request bytes that outlive their calls."""
        body = b"x" * RESPONSE_BYTES
        listeners = [
            self.send(method="POST", body=body, timeout=1.0) for _ in range(4)
        ]
        self.run_loop_until(lambda: self.hub.all_unsent_bytes)
        self.assertLessEqual(self.hub.all_unsent_bytes, 4 * len(body) + 4000)
        self.run_loop_until(lambda: all(item.settled for item in listeners))
        self.assertEqual(0, self.hub.all_unsent_bytes)
        for listener in listeners:
            self.assertIn("timeout", str(listener.error))


class SlowOrDeadTest(unittest.TestCase):
    """A caller that doesn't read is told apart from one that is gone."""

    def close_after(self, seconds, state, later_state=None):
        """Return what is closed if nothing is read for some seconds."""
        responses = unsent_responses.UnsentResponses(lambda: 100)
        waiting = [unsent_responses.Waiting("a", 50, state)]
        self.assertEqual([], responses.to_close(waiting, 0.0))
        waiting = [unsent_responses.Waiting("a", 50, later_state or state)]
        return responses.to_close(waiting, seconds)

    def test_slow_caller_is_kept(self):
        """Guards against the loss of a response that is read late."""
        self.assertEqual([], self.close_after(3600.0, ALIVE))

    def test_dead_caller_is_closed(self):
        """Guards against memory that is held for a machine that is off."""
        self.assertEqual(
            [("a", unsent_responses.Reason.DEAD)], self.close_after(31.0, DEAD)
        )

    def test_interruption_is_tolerated(self):
        """Guards against the loss of responses in a network partition."""
        self.assertEqual([], self.close_after(24.0, DEAD))

    def test_caller_that_returns_is_kept(self):
        """Guards against counting the silence from the first one on."""
        self.assertEqual([], self.close_after(40.0, DEAD, ALIVE))

    def test_unknown_state_is_no_death(self):
        """Guards against closing where the kernel gives no state."""
        responses = unsent_responses.UnsentResponses(lambda: 100)
        waiting = [unsent_responses.Waiting("a", 50, None)]
        responses.to_close(waiting, 0.0)
        self.assertEqual([], responses.to_close(waiting, 3600.0))

    def test_one_that_reads_is_closed_last(self):
        """Guards against closing a caller that reads for one that doesn't."""
        responses = unsent_responses.UnsentResponses(lambda: 100)
        waiting = unsent_responses.Waiting
        responses.to_close(
            [waiting("a", 90, ALIVE), waiting("b", 10, ALIVE)], 0
        )
        closed = responses.to_close(
            [waiting("a", 85, ALIVE), waiting("b", 20, ALIVE)], 9.0
        )
        self.assertEqual([("b", unsent_responses.Reason.MEMORY)], closed)


if __name__ == "__main__":
    unittest.main()
