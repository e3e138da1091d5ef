"""Tests of a caller's connection: how the other side's doings are told."""

import asyncio
import dataclasses
import socket
import struct
import time
import unittest

import h11

from postspring.testing.soak import connection
from postspring.testing.soak import records
from postspring.testing.soak.tests import test_verdict

End = records.End
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class _Server:
    """Where the script of an answer is played."""

    callers: tuple[str, int]
    name: str = "vm1"


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """One request on a connection whose server follows a script."""

    async def asyncSetUp(self):
        self.script: list[bytes | None] = []
        self.resets = False
        server = await asyncio.start_server(self.play, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.server = _Server(server.sockets[0].getsockname())

    async def play(self, reader, writer) -> None:
        """Answer each request with the next piece; end at ``None``."""
        for piece in self.script:
            await reader.readuntil(b"\r\n\r\n")
            if piece is None:
                break
            writer.write(piece)
            await writer.drain()
        else:
            await reader.read()
        if self.resets:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.close()

    async def exchange(self, opened=None, seconds=10.0):
        """Return the attempt of a request, and its connection."""
        if opened is None:
            opened = connection.Connection(self.server, 15.0)
            self.addCleanup(opened.close)
            await opened.open()
        deadline = time.monotonic() + seconds
        attempt = test_verdict.attempt(deadline=deadline, sent=0.0, status=0)
        request = h11.Request(
            method="GET", target="/", headers=[("Host", "a")]
        )
        pace = connection.Pace()
        await opened.exchange(attempt, request, b"", pace)
        return attempt, opened

    async def test_whole_answers_on_a_kept_connection(self):
        self.script = [HEAD + b"\r\ngood", HEAD + b"\r\ngood"]
        first, opened = await self.exchange()
        self.assertTrue(opened.is_kept())
        second, opened = await self.exchange(opened)
        self.assertEqual([first.end, second.end], [End.WHOLE, End.WHOLE])
        self.assertEqual([second.size, opened.use], [4, 2])

    async def test_an_answer_that_ends_the_connection(self):
        self.script = [HEAD + b"Connection: close\r\n\r\ngood"]
        attempt, opened = await self.exchange()
        self.assertIs(attempt.end, End.WHOLE)
        self.assertFalse(opened.is_kept())

    async def test_closed_without_an_answer(self):
        self.script = [None]
        attempt, opened = await self.exchange()
        self.assertIs(attempt.end, End.CLOSED)
        self.assertGreater(attempt.sent, 0.0)

    async def test_reset_without_an_answer(self):
        self.script, self.resets = [None], True
        attempt, opened = await self.exchange()
        self.assertIs(attempt.end, End.RESET)

    async def test_cut_in_the_middle(self):
        self.script = [HEAD + b"\r\ngo"]
        opened = connection.Connection(self.server, 15.0)
        self.addCleanup(opened.close)
        await opened.open()
        self.script.append(None)
        opened._socket.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        attempt, opened = await self.exchange(opened)
        self.assertIs(attempt.end, End.CUT)
        self.assertFalse(opened.is_kept())

    async def test_what_is_no_answer(self):
        self.script = [b"hello\r\n\r\n"]
        attempt, opened = await self.exchange()
        self.assertIs(attempt.end, End.GARBLED)

    async def test_no_answer_in_time(self):
        self.script = [b""]
        attempt, opened = await self.exchange(seconds=0.1)
        self.assertIs(attempt.end, End.GAVE_UP)
