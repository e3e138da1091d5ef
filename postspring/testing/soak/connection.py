"""A caller's connection on a plain socket, one request at a time."""

import asyncio
import dataclasses
import itertools
import socket
import time

import h11

from postspring.testing.soak import digests
from postspring.testing.soak import records

__all__ = ["Connection", "Pace"]

CONNECT_SECONDS = 1.0
READ_BYTES = 65536
# A slow caller's receive buffer, in bytes: what it has not read waits at the
# VM.
SLOW_BUFFER = 131072
# Kept connections are used up to this share of the VM's idle limit.
IDLE_SHARE = 0.8
_numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How a caller reads; times in seconds.

    Parameters
    ==========

    gap : float
        Longest pause between two reads until it gives up.
    rest : float
        Pause after each read of a slow caller.
    half_close : bool
        Whether it ends its own sending with the request.
    """

    gap: float = 60.0
    rest: float = 0.0
    half_close: bool = False


class Connection:
    """Carries attempts to one VM until either side closes.

    Parameters
    ==========

    idle_seconds : float
        Idle limit of the VM's configuration.
    """

    def __init__(self, vm, idle_seconds: float, is_slow: bool = False):
        self.vm = vm
        self.name = f"c{next(_numbers)}"
        self.use = 0
        self.usable = True
        self.surplus = b""
        self._idle_limit = idle_seconds * IDLE_SHARE
        self._idle_since = 0.0
        self._http = h11.Connection(our_role=h11.CLIENT)
        self._socket = socket.socket()
        self._socket.setblocking(False)
        if is_slow:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER
            )

    async def open(self) -> None:
        """Connect, within the time that callers allow."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_SECONDS):
            await loop.sock_connect(self._socket, self.vm.callers)

    def is_kept(self) -> bool:
        """Return whether another request may be sent on it."""
        if not self.usable:
            return False
        if time.monotonic() - self._idle_since > self._idle_limit:
            self.close()
            return False
        try:
            self.surplus = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            pass
        self.close()
        return False

    def close(self) -> None:
        """Leave."""
        self.usable = False
        self._socket.close()

    async def exchange(
        self, attempt: records.Attempt, request, body: bytes, pace: Pace
    ) -> bytes:
        """Send a request and take its answer; the attempt tells the end."""
        answer = digests.Digest()
        parts: list[bytes] = []
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time()
                + attempt.deadline
                - time.monotonic()
            ):
                await self._send(attempt, request, body, pace)
                await self._receive(attempt, pace, answer, parts)
        except TimeoutError:
            attempt.end = records.End.GAVE_UP
        except h11.RemoteProtocolError:
            attempt.end = self._end_early(attempt, records.End.GARBLED)
        except OSError:
            attempt.end = self._broken(attempt, is_reset=True)
        attempt.ended = time.monotonic()
        attempt.answer, attempt.size = answer.text, answer.size
        self.use += 1
        if attempt.end is not records.End.WHOLE or not self._go_on():
            self.close()
        self._idle_since = attempt.ended
        return b"".join(parts)

    async def _send(self, attempt, request, body, pace) -> None:
        data = self._http.send(request)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self._socket, data)
        attempt.sent = time.monotonic()
        if pace.half_close:
            self._socket.shutdown(socket.SHUT_WR)
            self.usable = False

    async def _receive(self, attempt, pace, answer, parts) -> None:
        loop = asyncio.get_running_loop()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(pace.gap):
                    data = await loop.sock_recv(self._socket, READ_BYTES)
                if not data and self._answer_is_open():
                    attempt.end = self._broken(attempt, is_reset=False)
                    return
                self._http.receive_data(data)
                if pace.rest:
                    await asyncio.sleep(pace.rest)
            elif isinstance(event, h11.Response):
                self._take_head(attempt, event)
            elif isinstance(event, h11.Data):
                answer.add(bytes(event.data))
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                attempt.end = records.End.WHOLE
                return
            elif isinstance(event, h11.ConnectionClosed):
                attempt.end = self._broken(attempt, is_reset=False)
                return

    def _answer_is_open(self) -> bool:
        """Whether an end of stream now would cut the answer."""
        return self._http.their_state is not h11.SEND_BODY or not (
            self._until_close
        )

    _until_close = False

    def _take_head(self, attempt, event: h11.Response) -> None:
        attempt.status = event.status_code
        fields = {
            name.decode().lower(): value.decode()
            for name, value in event.headers
        }
        self._until_close = (
            "content-length" not in fields
            and "transfer-encoding" not in fields
        )
        attempt.retry_after = fields.get("retry-after", "")
        attempt.seal = fields.get(records.SEAL_FIELD, "")
        attempt.echo = fields.get(records.ID_FIELD, "")
        keep_alive = fields.get("keep-alive", "")
        if keep_alive.startswith("timeout="):
            seconds = float(keep_alive.removeprefix("timeout=").split(",")[0])
            self._idle_limit = min(self._idle_limit, seconds)
        if "close" in fields.get("connection", ""):
            self.usable = False

    def _go_on(self) -> bool:
        """Make ready for another request; return whether there may be one."""
        if not self.usable or self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    @staticmethod
    def _end_early(attempt, end: records.End) -> records.End:
        return end if attempt.sent else records.End.UNSENT

    def _broken(self, attempt, is_reset: bool) -> records.End:
        """Return how an end by the other side is to be told."""
        if not attempt.sent:
            return records.End.UNSENT
        if attempt.status:
            end = records.End.CUT_RESET if is_reset else records.End.CUT
        else:
            end = records.End.RESET if is_reset else records.End.CLOSED
        return end
