"""Whether the other side of a connection is alive and just does not read."""

from collections.abc import Callable
import dataclasses
import logging
import socket
import struct
from typing import NamedTuple

from postspring.transport import timers as timers_module

__all__ = ["SendState", "WindowWatch", "read_send_state"]

LOG = logging.getLogger(__name__)

# Bytes that the other side does not acknowledge for this long mean that the
# path is gone; a partition otherwise hangs the connection for minutes.  A
# round trip takes a few ms, and a crowded link holds packets up for 500.
UNACKNOWLEDGED_MILLISECONDS = 800
# The same while the other side was seen to be alive, with its window closed:
# the call's own timeouts bound that.
ALIVE_MILLISECONDS = 30_000
# How often sending is looked at: twice at least in the shorter time.
LOOK_SECONDS = 0.3
# Less than this fits into any window, so that it need not be looked at.
LONG_BYTES = 16 * 1024
# Probes of a closed window of which none was answered: one may be under way.
UNANSWERED_PROBES = 1

# struct tcp_info of Linux: state, probes, rto, unacked, notsent_bytes.
_TCP_INFO = struct.Struct("=B2xB4xI12xI116xI")
_ESTABLISHED = 1


class SendState(NamedTuple):
    """What the kernel knows of the bytes on their way.

    ``unacknowledged`` are packets, ``unsent`` bytes for which the other
    side has no room, ``probes`` questions for room without an answer.
    """

    probes: int
    unacknowledged: int
    unsent: int

    @property
    def is_done(self) -> bool:
        """Whether the other side has all."""
        return not self.unacknowledged and not self.unsent

    @property
    def is_closed_window(self) -> bool:
        """Whether the other side has acknowledged all that it had room for.

        It answers probes as long as its machine is alive and reachable.
        """
        return (
            self.unsent > 0
            and not self.unacknowledged
            and self.probes <= UNANSWERED_PROBES
        )


def read_send_state(sock: socket.socket) -> SendState | None:
    """Return the kernel's state of sending, None if it does not tell.

    What is no state of an open connection is not believed: networks other
    than the kernel's own may answer with anything.
    """
    try:
        raw = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except OSError:
        return None
    if len(raw) < _TCP_INFO.size:
        return None
    state, probes, rto, unacknowledged, unsent = _TCP_INFO.unpack(raw)
    if state != _ESTABLISHED or not rto:
        return None
    return SendState(probes, unacknowledged, unsent)


class WindowWatch:
    """Bears with an other side that is alive and does not read for a while.

    Explanation
    ===========

    The kernel's bound on unacknowledged bytes also ends connections whose
    window has been closed for as long, though each probe is answered: a
    machine that is busy for a second would count as gone.  So long
    requests are looked at while they are sent, and the bound is lifted
    while the other side is seen to be alive.  Where the kernel does not
    tell, the bound stays.

    Parameters
    ==========

    read_state : callable
        Reads the state of sending of a socket.
    """

    def __init__(
        self,
        timers: timers_module.Timers,
        read_state: Callable[
            [socket.socket], SendState | None
        ] = read_send_state,
    ):
        self._timers = timers
        self._read_state = read_state
        self._bound: set[socket.socket] = set()
        self._watched_by_socket: dict[socket.socket, _Watched] = {}
        self._timer: timers_module.TimerHandle | None = None

    def bind(self, sock: socket.socket) -> None:
        """Set the bound on a connection that is to be opened."""
        self._bound.add(sock)
        _set_bound(sock, UNACKNOWLEDGED_MILLISECONDS)

    def watch(self, sock: socket.socket) -> None:
        """Look at a bound connection until what was sent has arrived."""
        if sock not in self._bound or sock in self._watched_by_socket:
            return
        self._watched_by_socket[sock] = _Watched()
        if self._timer is None:
            self._timer = self._timers.call_later(LOOK_SECONDS, self._look)

    def forget(self, sock: socket.socket) -> None:
        """Drop a connection that is gone."""
        self._bound.discard(sock)
        self._watched_by_socket.pop(sock, None)

    # -- own ------------------------------------------------------------------

    def _look(self) -> None:
        self._timer = None
        for sock in list(self._watched_by_socket):
            self._look_at(sock)
        if self._watched_by_socket:
            self._timer = self._timers.call_later(LOOK_SECONDS, self._look)

    def _look_at(self, sock: socket.socket) -> None:
        state = self._read_state(sock)
        watched = self._watched_by_socket[sock]
        is_alive = state is not None and state.is_closed_window
        if is_alive and not watched.was_told:
            watched.was_told = True
            LOG.info("other side does not read", extra=_peer_of(sock))
        if is_alive != watched.is_lifted:
            watched.is_lifted = is_alive
            _set_bound(
                sock,
                ALIVE_MILLISECONDS
                if is_alive
                else UNACKNOWLEDGED_MILLISECONDS,
            )
        if state is None or state.is_done:
            del self._watched_by_socket[sock]


@dataclasses.dataclass(slots=True)
class _Watched:
    """A connection that is looked at."""

    is_lifted: bool = False
    was_told: bool = False


def _set_bound(sock: socket.socket, milliseconds: int) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def _peer_of(sock: socket.socket) -> dict:
    try:
        host, port = sock.getpeername()
    except OSError:
        return {}
    return {"address": f"{host}:{port}"}
