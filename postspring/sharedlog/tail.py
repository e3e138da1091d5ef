"""Following a stream from an offset on."""

from collections.abc import Callable
import logging

from postspring import errors
from postspring.sharedlog import log_client
from postspring import transport

__all__ = ["StreamTail"]

LOG = logging.getLogger(__name__)
WAIT_SECONDS = 10.0
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 1.0


class StreamTail:
    """Reads a stream for as long as the process runs.

    Parameters
    ==========

    client : LogClient
        The log.
    stream : str
        The stream's name.
    timers : Timers
        For retries.
    on_page : callable
        Called with each :class:`~postspring.sharedlog.LogPage`.
    on_health : callable
        Called with True or False after each answer or failure.
    next_offset : callable
        Returns the offset to read from.
    """

    def __init__(
        self,
        client: log_client.LogClient,
        stream: str,
        timers: transport.Timers,
        on_page: Callable[[log_client.LogPage], None],
        on_health: Callable[[bool], None],
        next_offset: Callable[[], int],
    ):
        self._client = client
        self._stream = stream
        self._timers = timers
        self._on_page = on_page
        self._on_health = on_health
        self._next_offset = next_offset
        self._failures = 0
        self._closed = False
        self._exchange: transport.Exchange | None = None
        self.caught_up = False

    def start(self) -> None:
        """Begin to follow the stream."""
        self._read()

    def close(self) -> None:
        """Stop following it."""
        self._closed = True
        if self._exchange is not None:
            self._exchange.cancel()

    def _read(self) -> None:
        if self._closed:
            return
        # Until the first answer, ask without waiting, to know the end.
        wait = WAIT_SECONDS if self.caught_up else 0.0
        self._exchange = self._client.read(
            self._stream, self._next_offset(), wait, self._page, self._failed
        )

    def _page(self, page: log_client.LogPage) -> None:
        self._failures = 0
        try:
            self._on_page(page)
        except Exception:
            LOG.exception("a page of %s could not be applied", self._stream)
        self.caught_up = self._next_offset() >= page.next
        self._on_health(True)
        self._timers.call_later(0, self._read)

    def _failed(self, error: errors.PlatformError) -> None:
        self._failures += 1
        pause = FIRST_RETRY_SECONDS * 2 ** min(self._failures, 10)
        self._timers.call_later(min(pause, LONGEST_RETRY_SECONDS), self._read)
        self._on_health(False)
