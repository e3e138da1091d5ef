"""Graceful shutdown: out of the balancer's rotation, then done."""

from collections.abc import Callable
import logging

from postspring import transport

__all__ = ["Shutdown"]

LOG = logging.getLogger(__name__)

# The balancer asks once a second and needs two refusals; new connections
# may come until then, in seconds.
ROTATION_SECONDS = 3.0
CHECK_SECONDS = 0.1
# Left between our own end and the platform's SIGKILL, in seconds.
MARGIN_SECONDS = 0.4


class Shutdown:
    """Ends a VM's service without cutting a request.

    Parameters
    ==========

    grace : float
        Seconds from the signal to the platform's SIGKILL.
    is_recorded : callable
        Returns whether all that was answered stands in the log.
    on_stopped : callable
        Called when nothing is under way any more, or the grace is over.
    """

    def __init__(
        self,
        timers: transport.Timers,
        callers: transport.HttpServer,
        grace: float,
        is_recorded: Callable[[], bool],
        on_stopped: Callable[[], None],
    ):
        self._is_recorded = is_recorded
        self._timers = timers
        self._callers = callers
        self.grace = grace
        self._on_stopped = on_stopped
        self._began = 0.0
        self.leaving = False

    @property
    def takes_work(self) -> bool:
        """Whether a request that comes now would be finished in time.

        A caller whose connection was kept past the rotation is better off
        elsewhere: its request has not run, and it is told so.
        """
        if not self.leaving:
            return True
        return self._timers.now() - self._began < ROTATION_SECONDS

    def begin(self) -> None:
        """Say not ready, serve on, and end when all is answered."""
        if self.leaving:
            return
        LOG.info("stopping", extra={"active": self._callers.active})
        self.leaving = True
        self._callers.closing = True
        self._began = self._timers.now()
        self._timers.call_every(CHECK_SECONDS, self._check)

    def _check(self) -> None:
        elapsed = self._timers.now() - self._began
        if elapsed > ROTATION_SECONDS:
            self._callers.close_idle()
        served = elapsed > ROTATION_SECONDS and not self._callers.active
        if (
            served and self._is_recorded()
        ) or elapsed > self.grace - MARGIN_SECONDS:
            LOG.info(
                "stopped",
                extra={
                    "active": self._callers.active,
                    "seconds": round(elapsed, 2),
                },
            )
            self._on_stopped()
