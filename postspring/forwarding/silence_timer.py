"""Timeout for an upstream that sends nothing."""

from collections.abc import Callable

from postspring import routing
from postspring import transport

__all__ = ["SilenceTimer", "silence_timeout_of"]

# Factors of a route's objectives.  Callers close a stream after four times
# the objective of its first event, or eight times the objective of its
# pauses, but not before 2 s; another upstream has to answer in the rest.
FIRST_EVENT_FACTOR = 2.0
PAUSE_FACTOR = 4.0


def silence_timeout_of(route: routing.Route) -> float | None:
    """Return the seconds of silence after which a call is retried.

    None if the call may not run twice.

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
    """Calls a function when an upstream has been silent for too long.

    An event only stores its time; the timer compares that when it fires.
    So events don't cancel and create timers.

    Parameters
    ==========

    seconds : float or None
        Timeout; None disables the timer.
    """

    def __init__(
        self,
        timers: transport.Timers,
        seconds: float | None,
    ):
        self._timers = timers
        self._seconds = seconds
        self._on_silent: Callable[[], None] | None = None
        self._last_received_at = 0.0
        self._timer: transport.TimerHandle | None = None

    def start(self, on_silent: Callable[[], None]) -> None:
        """Start or restart the timer; it calls ``on_silent`` at most once."""
        if self._seconds is None:
            return
        self.stop()
        self.reset()
        self._on_silent = on_silent
        self._schedule(self._seconds)

    def reset(self) -> None:
        """Restart the timeout, as data was received."""
        self._last_received_at = self._timers.now()

    def stop(self) -> None:
        """Cancel the timer."""
        self._on_silent = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, seconds: float) -> None:
        self._timer = self._timers.call_later(seconds, self._check)

    def _check(self) -> None:
        remaining = self._last_received_at + self._seconds - self._timers.now()
        if remaining > 0:
            self._schedule(remaining)
        else:
            self._timer = None
            self._on_silent()
