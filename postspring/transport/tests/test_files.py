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

from postspring.transport.tests import test_http_client

OK = test_http_client.OK


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
