"""How long an upstream's silence is borne before another one is asked."""

from collections.abc import Callable

from postspring import routing
from postspring import transport

__all__ = ["SilenceTimer", "silence_timeout_of"]

# Times a route's objectives: callers leave a stream after four times the
# objective to its first event, or eight times that of its pauses, but not
# before 2 s; what is left of that has to do for another upstream.
FIRST_EVENT_FACTOR = 2.0
PAUSE_FACTOR = 4.0


def silence_timeout_of(route: routing.Route) -> float | None:
    """Return after how many seconds of silence a call is tried elsewhere.

    None if it may not run twice.

    Examples
    --------
    >>> def make(kind, **other):
    ...     shares = (routing.ServiceShare("s"),)
    ...     return routing.Route("r", "h", "/", kind, shares, 4, 0.25, **other)
    >>> silence_timeout_of(make(routing.CallKind.IDEMPOTENT))
    0.25
    >>> silence_timeout_of(make(routing.CallKind.STREAM))
    >>> silence_timeout_of(
    ...     make(routing.CallKind.STREAM, may_resume=True, pause_objective=0.2)
    ... )
    0.8
    """
    if not route.may_repeat:
        return None
    if route.kind is not routing.CallKind.STREAM:
        return route.objective
    return max(
        FIRST_EVENT_FACTOR * route.objective,
        PAUSE_FACTOR * route.pause_objective,
    )


class SilenceTimer:
    """Tells when an upstream has been silent for too long.

    One timer serves all events of a stream: it looks when the last one
    came, which costs nothing for each event.

    Parameters
    ==========

    seconds : float or None
        After how much of it; None: never.
    on_silent : callable
        Called then, once for each :meth:`start`.
    """

    def __init__(
        self,
        timers: transport.Timers,
        seconds: float | None,
        on_silent: Callable[[], None],
    ):
        self._timers = timers
        self._seconds = seconds
        self._on_silent = on_silent
        self._heard_at = 0.0
        self._timer: transport.TimerHandle | None = None

    def start(self) -> None:
        """Begin anew."""
        if self._seconds is None:
            return
        self.stop()
        self.heard()
        self._wait(self._seconds)

    def heard(self) -> None:
        """Take note that something came."""
        self._heard_at = self._timers.now()

    def stop(self) -> None:
        """Wait no longer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait(self, seconds: float) -> None:
        self._timer = self._timers.call_later(seconds, self._look)

    def _look(self) -> None:
        left = self._heard_at + self._seconds - self._timers.now()
        if left > 0:
            self._wait(left)
        else:
            self._timer = None
            self._on_silent()
