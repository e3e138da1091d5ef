"""A process that may open few files more.

Seen with 64 files and 100 connections: a core was burnt while connections
waited, and whoever opened a connection heard an exception instead of an end.
Cause: the bound of connections was 4,000 whatever the process may open; the
listener was asked again at once after EMFILE; ``socket()`` was believed never
to fail.  Proof: these tests lower the soft limit of their own process.
"""

import os
import resource
import socket

from postspring import transport
from postspring.transport.tests import test_http_client

OK = test_http_client.OK
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class FewFilesCase(test_http_client.LoopCase):
    """May leave itself just some files."""

    def leave_files(self, count):
        """Let this process open just so many more."""
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        spare = [os.dup(0) for _ in range(count + 1)]
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(spare), limits[1]))
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, limits)
        for number in spare:
            os.close(number)


class OpenTest(FewFilesCase):
    """Opening a connection has an end, files or not."""

    def test_without_files_it_is_told_as_not_sent(self):
        self.leave_files(0)
        listener = self.answer()
        self.assertFalse(listener.error.sent)
        self.assertFalse(listener.error.is_unreachable)

    def test_an_address_that_is_none_is_told_as_not_sent(self):
        self.address = ("127.0.0.1", 70000)
        self.assertFalse(self.answer().error.sent)

    def test_a_kept_connection_is_given_up_for_it(self):
        self.serve(OK, OK)
        self.answer()
        other = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(other.close)
        self.address = other.getsockname()
        self.leave_files(0)
        listener = self.send()
        self.turn_until(lambda: listener.settled or self.hub._clients)
        self.turn(5)
        self.assertIsNone(listener.error)


class ListenerTest(FewFilesCase):
    """Connections beyond what can be open wait, and cost nothing."""

    def listen(self, **limits):
        """Serve callers; return some whose requests are on their way."""
        self.server = transport.HttpServer(
            self.timers,
            lambda call: call.respond(200, [], b"hi"),
            transport.ServerLimits(**limits),
        )
        self.server.listen(self.root, ("127.0.0.1", 0))
        self.turn()

    def call(self, count):
        """Return so many connections with a request on each."""
        callers = []
        for _ in range(count):
            caller = socket.create_connection(self.server.address)
            self.addCleanup(caller.close)
            caller.sendall(REQUEST)
            caller.setblocking(False)
            callers.append(caller)
        return callers

    def take_answers(self, callers):
        """Take what came; return the callers that wait, and the count."""
        waiting = []
        answered = 0
        for caller in callers:
            try:
                data = caller.recv(1000)
            except BlockingIOError:
                waiting.append(caller)
                continue
            answered += b"200 " in data
            caller.close()
        return waiting, answered

    def test_all_are_answered_as_others_leave(self):
        self.listen()
        callers = self.call(10)
        self.leave_files(3)
        answered = 0
        for _ in range(1000):
            self.turn(1)
            callers, more = self.take_answers(callers)
            answered += more
            if not callers:
                break
        self.assertEqual(10, answered)

    def test_the_listener_rests_without_files(self):
        self.listen()
        callers = self.call(10)
        tries = []
        accept = self.server.hub._accept
        self.server.hub._accept = lambda: tries.append(1) or accept()
        self.leave_files(3)
        self.turn(60)
        self.assertLess(len(tries), 30)
        _waiting, answered = self.take_answers(callers)
        self.assertEqual(3, answered)

    def test_at_the_bound_they_wait_and_are_not_closed(self):
        self.listen(connections=2)
        callers = self.call(3)
        self.turn(50)
        callers, answered = self.take_answers(callers)
        self.assertEqual((1, 2), (len(callers), answered))
        self.turn_until(lambda: not self.take_answers(callers)[0])

    def test_one_that_has_been_idle_long_makes_room(self):
        self.listen(connections=2)
        first, second, third = self.call(3)
        self.turn(50)
        oldest = next(iter(self.server._connections))
        oldest.state_since -= 10
        waiting = [third]
        answered = 0
        for _ in range(500):
            self.turn(1)
            waiting, answered = self.take_answers(waiting)
            if not waiting:
                break
        self.assertEqual(1, answered)
        self.assertEqual(2, self.server.connection_count)
