"""Graceful shutdown: out of the balancer's rotation, then done.

A stop goes through the phases of :class:`Phase` one after the other, at most
one each time it is looked at, so that the sockets are read in between.
"""

from collections.abc import Callable
import enum
import logging

from postspring import transport

__all__ = ["Phase", "Shutdown"]

LOG = logging.getLogger(__name__)

# The balancer asks once a second and needs two refusals; new connections
# may come until then, in seconds.
ROTATION_SECONDS = 3.0
CHECK_SECONDS = 0.1
# Before the platform's SIGKILL, in seconds: when what is still open gets its
# final answer, so that it can leave, and when we end whatever is owed.
ANSWER_MARGIN_SECONDS = 0.6
MARGIN_SECONDS = 0.15


class Phase(enum.Enum):
    """How far a stop is.

    Explanation
    ===========

    In ``ROTATION`` callers still come, and are served.  ``DRAINING`` listens
    no more, as a VM that is not ready still gets connections while most VMs
    of its data centre are not: refused at once, callers find another one,
    where a refusal of each request used their retries up.  What had come by
    then, and what comes on kept connections, is answered, as not run if it
    is new.  ``OUT_OF_TIME`` is for what is still open at the end of the
    grace.
    """

    SERVING = "serving"
    ROTATION = "rotation"
    DRAINING = "draining"
    OUT_OF_TIME = "out_of_time"
    ENDED = "ended"


class Shutdown:
    """Ends a VM's service without cutting a request.

    Parameters
    ==========

    grace : float
        Seconds from the signal to the platform's SIGKILL.
    is_recorded : callable
        Returns whether all that was answered stands in the log.
    on_stopped : callable
        Called when nothing is owed any more, or the grace is over.
    count_unrecorded : callable
        Returns how many records are not in the log, for the last line.
    peers : HttpServer, optional
        What it answers other VMs leaves before the end; what they still ask
        they ask elsewhere.
    """

    def __init__(
        self,
        timers: transport.Timers,
        callers: transport.HttpServer,
        grace: float,
        is_recorded: Callable[[], bool],
        on_stopped: Callable[[], None],
        count_unrecorded: Callable[[], int] = lambda: 0,
        peers: transport.HttpServer | None = None,
    ):
        self._peers = peers
        self._is_recorded = is_recorded
        self._count_unrecorded = count_unrecorded
        self._timers = timers
        self._callers = callers
        self.grace = grace
        self._on_stopped = on_stopped
        self._began = 0.0
        self.phase = Phase.SERVING

    @property
    def leaving(self) -> bool:
        """Whether the stop has begun."""
        return self.phase is not Phase.SERVING

    @property
    def takes_work(self) -> bool:
        """Whether a request that comes now would be finished in time.

        A caller whose connection was kept past the rotation is better off
        elsewhere: its request has not run, and it is told so.
        """
        if not self.leaving:
            return True
        return self._elapsed < ROTATION_SECONDS

    def begin(self) -> None:
        """Say not ready, serve on, and end when all is answered."""
        if self.leaving:
            return
        LOG.info("stopping", extra={"active": self._callers.active})
        self.phase = Phase.ROTATION
        self._callers.closing = True
        self._began = self._timers.now()
        self._timers.call_every(CHECK_SECONDS, self._check)

    @property
    def _elapsed(self) -> float:
        return self._timers.now() - self._began

    def _check(self) -> None:
        if self.phase is Phase.ENDED:
            return
        left = self.grace - self._elapsed
        if left < MARGIN_SECONDS and self.phase is Phase.OUT_OF_TIME:
            self._end()
        elif left < ANSWER_MARGIN_SECONDS:
            self._answer_now()
        elif self.phase is Phase.ROTATION:
            if self._elapsed > ROTATION_SECONDS:
                self.phase = Phase.DRAINING
                self._callers.refuse_new()
                self._callers.close_idle()
        elif self.phase is Phase.DRAINING:
            self._drain()

    def _drain(self) -> None:
        """End once every connection has: with that nothing is owed.

        "No request is under way" left out what the kernel held unread and
        what callers had not taken yet of their answers.
        """
        self._callers.close_idle()
        if self._owes_nothing:
            self._end()

    def _answer_now(self) -> None:
        """Have what is open answered, so that the answers can leave."""
        if self.phase is not Phase.OUT_OF_TIME:
            self.phase = Phase.OUT_OF_TIME
            LOG.warning("out of time", extra=self._owed())
            self._callers.refuse_new()
        self._callers.give_up()
        self._callers.close_idle()
        if self._owes_nothing:
            self._end()

    @property
    def _owes_nothing(self) -> bool:
        return (
            not self._callers.connection_count
            and (self._peers is None or not self._peers.unsent_bytes)
            and self._is_recorded()
        )

    def _end(self) -> None:
        self.phase = Phase.ENDED
        owed = self._owed()
        is_clean = not any(owed.values())
        LOG.log(
            logging.INFO if is_clean else logging.WARNING,
            "stopped",
            extra={**owed, "seconds": round(self._elapsed, 2)},
        )
        self._callers.close_all()
        self._on_stopped()

    def _owed(self) -> dict[str, int]:
        return {
            "active": self._callers.active,
            "connections": self._callers.connection_count,
            "unread": self._callers.unread_count,
            "unsent": self._callers.unsent_bytes,
            "unrecorded": self._count_unrecorded(),
        }
