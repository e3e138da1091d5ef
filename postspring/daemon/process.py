"""Process of a node: starts it with the event loop, stops it on signals."""

from collections.abc import Callable
import logging
import resource
import signal
import time

from circuits import BaseComponent
from circuits import handler

from postspring.daemon import early_signals

__all__ = ["FailureLog", "Process", "end_process", "raise_file_limit"]

LOG = logging.getLogger(__name__)

# Enough for all callers that a VM accepts, an upstream connection for each of
# them, and other files.
DEFAULT_FILE_LIMIT = 8200

# Least time between lines about failed event handlers.
FAILURE_SECONDS = 1.0
# Enough for an event's name and channel, in characters.
MAX_EVENT_LENGTH = 200

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
        try:
            self._node.start()
        except Exception as error:
            # circuits would go on without the parts that did not start
            LOG.exception("the node did not start")
            raise SystemExit(1) from error
        for number in STOP_SIGNALS:
            self._early.replay(number, self._shut_down)

    @handler("signal", channel="*")
    def _on_signal(self, number, stack):
        if number in STOP_SIGNALS:
            self._shut_down()


class FailureLog(BaseComponent):
    """Logs exceptions of event handlers.

    Parameters
    ==========

    clock : callable
        Returns the current time, in seconds.

    Explanation
    ===========

    Without it circuits writes them to standard error, and a pipe that nobody
    reads would block the loop.  A handler may fail in each iteration of the
    loop, so that lines have at least ``FAILURE_SECONDS`` between them; the
    next one has the number of failures that were not logged.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        super().__init__()
        self._clock = clock
        self._logged_at: float | None = None
        self._unlogged = 0

    @handler("exception", channel="*")
    def _on_exception(self, error_type, value, traceback, **details):
        now = self._clock()
        logged_at = self._logged_at
        if logged_at is not None and now - logged_at < FAILURE_SECONDS:
            self._unlogged += 1
            return
        LOG.error(
            "event handler raised an exception",
            exc_info=value if isinstance(value, BaseException) else None,
            extra={
                "event": str(details.get("fevent"))[:MAX_EVENT_LENGTH],
                "unlogged": self._unlogged,
            },
        )
        self._logged_at = now
        self._unlogged = 0


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
