"""A node's process: started with the loop, told of signals, then ended."""

from collections.abc import Callable
import signal

from circuits import BaseComponent
from circuits import handler

from postspring.daemon import early_signals

__all__ = ["Process", "end_process"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Process(BaseComponent):
    """Starts the node with the loop and stops it by signal.

    circuits' manager would stop the loop at once; the node's own shutdown
    lets what is under way end first.

    Parameters
    ==========

    shut_down : callable
        Called at each SIGTERM and SIGINT.
    early : EarlySignals, optional
        What came before the loop ran is done once it does.
    """

    def __init__(
        self,
        node: BaseComponent,
        shut_down: Callable[[], None],
        early: early_signals.EarlySignals | None = None,
    ):
        super().__init__()
        self._early = early or early_signals.EarlySignals()
        self._node = node
        self._shut_down = shut_down
        self.register(node)

    @handler("started", channel="*")
    def _on_started(self, *arguments):
        self._node.start()
        for number in STOP_SIGNALS:
            self._early.replay(number, self._shut_down)

    @handler("signal", channel="*")
    def _on_signal(self, number, stack):
        if number in STOP_SIGNALS:
            self._shut_down()


def end_process() -> None:
    """End the process once its node has stopped."""
    raise SystemExit(0)
