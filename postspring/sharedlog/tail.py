"""Follows a stream of the shared log by long polling."""

from collections.abc import Callable
import logging

from postspring import errors
from postspring.sharedlog import log_client
from postspring import transport

__all__ = ["StreamTail"]

LOG = logging.getLogger(__name__)
LONG_POLL_SECONDS = 10.0
RETRY_BASE_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0


class StreamTail:
    """Reads the pages of a stream until it is closed.

    Explanation
    ===========

    Each read starts at ``next_offset()``.  Failed reads are repeated with
    exponential backoff.  ``has_caught_up`` is False until a page has reached
    the end of the stream, and is set anew after each page.

    Parameters
    ==========

    client : LogClient
        Reads from the log.
    stream : str
        Name of the stream.
    timers : Timers
        Schedule the next read and retries.
    on_page : callable
        Called with each :class:`~postspring.sharedlog.LogPage`.
    on_health : callable
        Called with True after each page and with False after each failure.
    next_offset : callable
        Returns the offset of the first record not yet applied.
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
        self.has_caught_up = False

    def start(self) -> None:
        """Send the first read."""
        self._read()

    def close(self) -> None:
        """Cancel the current read and send no more."""
        self._closed = True
        if self._exchange is not None:
            self._exchange.cancel()

    def _read(self) -> None:
        if self._closed:
            return
        # A read that does not wait returns the end of the stream at once.
        wait = LONG_POLL_SECONDS if self.has_caught_up else 0.0
        self._exchange = self._client.read(
            self._stream,
            self._next_offset(),
            wait,
            self._on_read,
            self._on_read_failed,
        )

    def _on_read(self, page: log_client.LogPage) -> None:
        self._failures = 0
        try:
            self._on_page(page)
        except Exception:
            LOG.exception("failed to apply a page of stream %s", self._stream)
        self.has_caught_up = self._next_offset() >= page.next
        self._on_health(True)
        self._timers.call_later(0, self._read)

    def _on_read_failed(self, error: errors.PlatformError) -> None:
        self._failures += 1
        delay = RETRY_BASE_SECONDS * 2 ** min(self._failures, 10)
        self._timers.call_later(min(delay, MAX_RETRY_SECONDS), self._read)
        self._on_health(False)
