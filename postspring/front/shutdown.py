"""Graceful shutdown: leaves the balancer's rotation, drains, then exits.

A shutdown passes through the members of :class:`Phase` in order.  Each check
does one step at most, so that the loop reads the sockets in between.
"""

from collections.abc import Callable
import enum
import logging

from postspring import transport

__all__ = ["Phase", "Shutdown"]

LOG = logging.getLogger(__name__)

# The balancer probes readiness once a second and stops sending connections
# after two refusals; new connections may arrive until then.  In seconds.
# Callers count 3 s from the sending of the signal, which a busy process
# handles a little later.
ROTATION_SECONDS = 2.8
CHECK_SECONDS = 0.1
# Share of the time before the final answers in which work is accepted; the
# rest is for finishing it.
ACCEPTING_SHARE = 0.5
# A call that has not run is sent to an upstream only while this much of that
# time is left, as a share of it and in seconds; otherwise it would probably
# be broken off, and its caller could not know whether it ran.
MIN_ATTEMPT_SHARE = 0.25
MIN_ATTEMPT_SECONDS = 1.0
# Seconds before the platform's SIGKILL: when open requests are answered, early
# enough for the answers to be sent, and when the process exits regardless.
ANSWER_MARGIN_SECONDS = 0.6
EXIT_MARGIN_SECONDS = 0.15


class Phase(enum.Enum):
    """Progress of a shutdown.

    Explanation
    ===========

    In ``LEAVING_ROTATION`` new connections are still accepted and served; if
    the grace period is short, only until half of it has passed.
    In ``DRAINING`` the VM stops listening, because the balancer also sends
    connections to VMs that are not ready while most VMs of a data centre are
    not.  A caller whose connection is refused finds another VM at once;
    refusing each request instead used up the callers' retries.  Requests
    that had arrived by then, or arrive on open connections, are answered;
    new ones as not run.  In ``FORCED_ANSWERS``, shortly before the end of
    the grace period, all requests that are still open get a final answer.
    """

    SERVING = "serving"
    LEAVING_ROTATION = "rotation"
    DRAINING = "draining"
    FORCED_ANSWERS = "out_of_time"
    ENDED = "ended"


class Shutdown:
    """Stops serving callers without breaking off a request.

    Parameters
    ==========

    grace : float
        Seconds from the signal to the platform's SIGKILL.
    may_exit : callable
        Called at each check once all connections are closed, until it returns
        true: the exit is prepared, and would lose nothing that was answered.
    on_stopped : callable
        Called when everything is drained, or the grace period is over.
    count_unrecorded : callable
        Returns the number of records that the log lacks, for the final log
        line.
    peers : HttpServer, optional
        Server for the other VMs: its answers are sent before the process
        exits; their later requests go to other VMs.
    """

    def __init__(
        self,
        timers: transport.Timers,
        callers: transport.HttpServer,
        grace: float,
        may_exit: Callable[[], bool],
        on_stopped: Callable[[], None],
        count_unrecorded: Callable[[], int] = lambda: 0,
        peers: transport.HttpServer | None = None,
    ):
        self._peers = peers
        self._may_exit = may_exit
        self._count_unrecorded = count_unrecorded
        self._timers = timers
        self._callers = callers
        self.grace = grace
        self._on_stopped = on_stopped
        self._began_at = 0.0
        self.phase = Phase.SERVING

    @property
    def is_stopping(self) -> bool:
        """Whether the shutdown has begun."""
        return self.phase is not Phase.SERVING

    @property
    def accepts_work(self) -> bool:
        """Whether the VM still runs requests that arrive now.

        After that, a request on a connection that stayed open is refused as
        not run, and its caller retries at another VM.
        """
        if not self.is_stopping:
            return True
        return (
            self.phase is Phase.LEAVING_ROTATION
            and self._elapsed < self._accepting_seconds
        )

    @property
    def sends_work(self) -> bool:
        """Whether calls that have not run are still sent to upstreams."""
        if not self.is_stopping:
            return True
        share = MIN_ATTEMPT_SHARE * self._answering_seconds
        seconds_left = self._answering_seconds - self._elapsed
        return seconds_left > min(MIN_ATTEMPT_SECONDS, share)

    def begin(self) -> None:
        """Report not ready, keep serving, and exit once drained."""
        if self.is_stopping:
            return
        LOG.info("stopping", extra={"active": self._callers.active})
        self.phase = Phase.LEAVING_ROTATION
        self._callers.closing = True
        self._began_at = self._timers.now()
        self._timers.call_every(CHECK_SECONDS, self._check)

    @property
    def _accepting_seconds(self) -> float:
        """Seconds from the signal in which new work is accepted."""
        share = ACCEPTING_SHARE * self._answering_seconds
        return min(ROTATION_SECONDS, share)

    @property
    def _answering_seconds(self) -> float:
        """Seconds from the signal until the final answers."""
        return self.grace - ANSWER_MARGIN_SECONDS

    @property
    def _elapsed(self) -> float:
        return self._timers.now() - self._began_at

    def _check(self) -> None:
        if self.phase is Phase.ENDED:
            return
        seconds_left = self.grace - self._elapsed
        if (
            seconds_left < EXIT_MARGIN_SECONDS
            and self.phase is Phase.FORCED_ANSWERS
        ):
            self._end()
        elif self._is_out_of_time:
            self._answer_open_requests()
        elif self.phase is Phase.LEAVING_ROTATION:
            if not self.accepts_work:
                self.phase = Phase.DRAINING
                self._callers.stop_accepting()
                self._callers.close_idle()
        elif self.phase is Phase.DRAINING:
            self._drain()

    @property
    def _is_out_of_time(self) -> bool:
        """Whether final answers are due; a longer grace revokes none."""
        seconds_left = self.grace - self._elapsed
        is_due = seconds_left < ANSWER_MARGIN_SECONDS
        return is_due or self.phase is Phase.FORCED_ANSWERS

    def _drain(self) -> None:
        """Finish once every connection is closed and the VM may exit.

        Waiting only for the requests in progress missed bytes that the
        kernel held unread, and answers that callers had not yet received.
        """
        self._callers.close_idle()
        if self._is_drained:
            self._end()

    def _answer_open_requests(self) -> None:
        """Answer all open requests now, so that the answers can be sent."""
        if self.phase is not Phase.FORCED_ANSWERS:
            self.phase = Phase.FORCED_ANSWERS
            LOG.warning(
                "grace period is ending", extra=self._remaining_counts()
            )
            self._callers.stop_accepting()
        self._callers.complete_now()
        self._callers.close_idle()
        if self._is_drained:
            self._end()

    @property
    def _is_drained(self) -> bool:
        return (
            not self._callers.connection_count
            and (self._peers is None or not self._peers.unsent_bytes)
            and self._may_exit()
        )

    def _end(self) -> None:
        self.phase = Phase.ENDED
        remaining = self._remaining_counts()
        is_clean = not any(remaining.values())
        LOG.log(
            logging.INFO if is_clean else logging.WARNING,
            "stopped",
            extra={**remaining, "seconds": round(self._elapsed, 2)},
        )
        self._callers.close_all()
        self._on_stopped()

    def _remaining_counts(self) -> dict[str, int]:
        return {
            "active": self._callers.active,
            "connections": self._callers.connection_count,
            "unread": self._callers.unread_count,
            "unsent": self._callers.unsent_bytes,
            "unrecorded": self._count_unrecorded(),
        }
