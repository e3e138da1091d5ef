"""Process of a node: starts it with the event loop, stops it on signals."""

from collections.abc import Callable
import logging
import resource
import signal

from circuits import BaseComponent
from circuits import handler

from postspring.daemon import early_signals

__all__ = ["Process", "end_process", "raise_file_limit"]

LOG = logging.getLogger(__name__)

# Enough for all callers that a VM accepts, an upstream connection for each of
# them, and other files.
DEFAULT_FILE_LIMIT = 8200

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Process(BaseComponent):
    """Starts the node with the event loop and shuts it down on signals.

    The manager of circuits would stop the loop at once; the node's own
    shutdown first lets running calls end.

    Parameters
    ==========

    shut_down : callable
        Called on each SIGTERM and SIGINT.
    early : EarlySignals, optional
        Signals that arrived before the loop ran; replayed once it runs.
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
    """Exit successfully; called once the node has stopped."""
    raise SystemExit(0)


def raise_file_limit(platform_limit: int = 0) -> None:
    """Raise the soft limit of open files as far as needed and allowed.

    The usual soft limit, 1,024, is meant for programs that call select().

    Parameters
    ----------
    platform_limit : int
        Number of files that the platform allows; 0 if unknown.
    """
    before, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = platform_limit or DEFAULT_FILE_LIMIT
    if hard != resource.RLIM_INFINITY:
        wanted = min(wanted, hard)
    soft = before
    if before != resource.RLIM_INFINITY and wanted > before:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
            soft = wanted
        except (OSError, ValueError) as error:
            LOG.warning("file limit not raised", extra={"error": str(error)})
    LOG.info(
        "file limit", extra={"soft": soft, "hard": hard, "before": before}
    )
