"""A node's process: started with the loop, told of signals, then ended."""

from collections.abc import Callable
import logging
import resource
import signal

from circuits import BaseComponent
from circuits import handler

from postspring.daemon import early_signals

__all__ = ["Process", "end_process", "raise_file_limit"]

LOG = logging.getLogger(__name__)

# Enough for all callers that a VM takes, an upstream for each, and the rest.
ENOUGH_FILES = 8200

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


def raise_file_limit(most: int = 0) -> None:
    """Let this process open what it needs, as far as the machine allows.

    The usual soft limit, 1,024, is made for programs that call select().

    Parameters
    ----------
    most : int
        What the platform lets it open; 0 if that isn't known.
    """
    before, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = most or ENOUGH_FILES
    if hard != resource.RLIM_INFINITY:
        wanted = min(wanted, hard)
    soft = before
    if before != resource.RLIM_INFINITY and wanted > before:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
            soft = wanted
        except (OSError, ValueError) as error:
            LOG.warning("file limit stays", extra={"error": str(error)})
    LOG.info(
        "file limit", extra={"soft": soft, "hard": hard, "before": before}
    )
