"""Distinguishes a peer that is alive but not reading from a failed path."""

from collections.abc import Callable
import dataclasses
import logging
import socket
import struct
from typing import NamedTuple

from postspring.transport import timers as timers_module

__all__ = ["SendState", "SendWindowMonitor", "read_send_state"]

LOG = logging.getLogger(__name__)

# The kernel closes an outgoing connection when sent bytes stay unacknowledged
# for this long; a partition would otherwise block it for minutes.  A round
# trip takes a few ms, and a congested link delays packets by up to 500 ms.
ACK_TIMEOUT_MILLISECONDS = 800
# The same limit for a peer that is alive with its receive window closed; the
# timeouts of the request apply as well.
CLOSED_WINDOW_TIMEOUT_MILLISECONDS = 30_000
# Interval of the checks: at least two fit into the shorter limit.
CHECK_INTERVAL_SECONDS = 0.3
# A shorter send fits into any receive window and needs no monitoring.
MIN_WATCHED_BYTES = 16 * 1024
# Window probes without an answer from a live peer: one may be in flight.
MAX_UNANSWERED_PROBES = 1

# struct tcp_info of Linux: state, probes, rto, unacked, notsent_bytes.
_TCP_INFO = struct.Struct("=B2xB4xI12xI116xI")
_ESTABLISHED = 1


class SendState(NamedTuple):
    """The kernel's state of sending on a connection.

    Parameters
    ==========

    probes : int
        Window probes that the peer has not answered.
    unacknowledged : int
        Packets that were sent and not acknowledged.
    unsent : int
        Bytes in the kernel that were not sent yet.
    """

    probes: int
    unacknowledged: int
    unsent: int

    @property
    def is_all_acknowledged(self) -> bool:
        """Whether the peer has acknowledged all bytes."""
        return not self.unacknowledged and not self.unsent

    @property
    def is_window_closed(self) -> bool:
        """Whether the peer is alive and its receive window is closed.

        It has acknowledged everything that was sent, and answers window
        probes as long as its machine is alive and reachable.
        """
        return (
            self.unsent > 0
            and not self.unacknowledged
            and self.probes <= MAX_UNANSWERED_PROBES
        )


def read_send_state(sock: socket.socket) -> SendState | None:
    """Return the kernel's state of sending, or None if it is unavailable.

    Data that does not describe an established connection is ignored: a
    network stack other than Linux's own may return anything.
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


class SendWindowMonitor:
    """Extends the limit on unacknowledged bytes for live peers.

    Explanation
    ===========

    The kernel's limit on unacknowledged bytes (TCP_USER_TIMEOUT) also ends a
    connection whose receive window has been closed for as long, although
    the peer answers each probe: a machine that is busy for a second would
    count as failed.  So sockets with long sends are checked at intervals,
    and the limit is extended while the peer is alive.  Where the kernel's
    state is unavailable, the limit stays.

    Parameters
    ==========

    read_state : callable
        Returns the :class:`SendState` of a socket, or None.
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
        self._monitored: set[socket.socket] = set()
        self._watch_by_socket: dict[socket.socket, _SocketWatch] = {}
        self._timer: timers_module.TimerHandle | None = None

    def set_ack_timeout(self, sock: socket.socket) -> None:
        """Set the limit on a connection that is about to be opened."""
        self._monitored.add(sock)
        _set_user_timeout(sock, ACK_TIMEOUT_MILLISECONDS)

    def watch(self, sock: socket.socket) -> None:
        """Check a limited connection until all sent bytes are acknowledged."""
        if sock not in self._monitored or sock in self._watch_by_socket:
            return
        self._watch_by_socket[sock] = _SocketWatch()
        if self._timer is None:
            self._timer = self._timers.call_later(
                CHECK_INTERVAL_SECONDS, self._check_all
            )

    def remove(self, sock: socket.socket) -> None:
        """Remove a closed connection."""
        self._monitored.discard(sock)
        self._watch_by_socket.pop(sock, None)

    # -- own ------------------------------------------------------------------

    def _check_all(self) -> None:
        self._timer = None
        for sock in list(self._watch_by_socket):
            self._check(sock)
        if self._watch_by_socket:
            self._timer = self._timers.call_later(
                CHECK_INTERVAL_SECONDS, self._check_all
            )

    def _check(self, sock: socket.socket) -> None:
        state = self._read_state(sock)
        socket_watch = self._watch_by_socket[sock]
        is_alive = state is not None and state.is_window_closed
        if is_alive and not socket_watch.was_logged:
            socket_watch.was_logged = True
            LOG.info(
                "peer is not reading; its receive window is closed",
                extra=_peer_address(sock),
            )
        if is_alive != socket_watch.is_extended:
            socket_watch.is_extended = is_alive
            _set_user_timeout(
                sock,
                CLOSED_WINDOW_TIMEOUT_MILLISECONDS
                if is_alive
                else ACK_TIMEOUT_MILLISECONDS,
            )
        if state is None or state.is_all_acknowledged:
            del self._watch_by_socket[sock]


@dataclasses.dataclass(slots=True)
class _SocketWatch:
    """State of a socket that is being checked."""

    is_extended: bool = False
    was_logged: bool = False


def _set_user_timeout(sock: socket.socket, milliseconds: int) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def _peer_address(sock: socket.socket) -> dict:
    try:
        host, port = sock.getpeername()
    except OSError:
        return {}
    return {"address": f"{host}:{port}"}
