"""What a turn waits for until it is sent to an upstream."""

from collections.abc import Callable

from postspring.forwarding import ports
from postspring import transport

__all__ = ["UnsentWait"]


class UnsentWait:
    """Watches the deadline and the isolation of this VM for an unsent turn.

    Parameters
    ==========

    deadline : float
        Monotonic time at which ``on_deadline`` is called.
    on_isolated : callable
        Called when this VM learns that it is isolated.
    """

    def __init__(
        self,
        timers: transport.Timers,
        peers: ports.Peers,
        deadline: float,
        on_deadline: Callable[[], None],
        on_isolated: Callable[[], None],
    ):
        self._timer = timers.call_later(deadline - timers.now(), on_deadline)
        self._withdraw = peers.call_when_isolated(on_isolated)

    def cancel(self) -> None:
        """Call nothing any more, as the turn is sent or has ended."""
        self._timer.cancel()
        self._withdraw()
