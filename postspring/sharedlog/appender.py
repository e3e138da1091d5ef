"""Group commit: appends records to a stream in ordered batches."""

from collections.abc import Callable
from collections.abc import Hashable

from postspring import errors
from postspring.sharedlog import log_client
from postspring import transport

__all__ = ["StreamAppender"]

RETRY_BASE_SECONDS = 0.05
MAX_RETRY_SECONDS = 1.0
MAX_BATCH_BYTES = 1024 * 1024


class StreamAppender:
    """Appends this process's records to one stream.

    Explanation
    ===========

    At most one batch is in flight.  Records that arrive meanwhile wait for
    the next one, so batches grow with the load and records keep their
    order.  The records of a failed append are appended again, with
    exponential backoff, until an append succeeds or ``seen`` was called for
    each of them.  The log may therefore hold a record more than once; the
    fold of the stream has to ignore the duplicates.

    Parameters
    ==========

    client : LogClient
        Appends to the log.
    stream : str
        Name of the stream.
    timers : Timers
        Schedule batches and retries.
    on_offset : callable
        Called with ``(offset, identities)`` of each appended batch.
    on_health : callable
        Called with True after each append and with False after a failed one.
    batch_delay : float
        Seconds for which a batch collects records before it is appended.
    """

    def __init__(
        self,
        client: log_client.LogClient,
        stream: str,
        timers: transport.Timers,
        on_offset: Callable[[int, list[Hashable]], None],
        on_health: Callable[[bool], None],
        batch_delay: float = 0.0,
    ):
        self._client = client
        self._stream = stream
        self._timers = timers
        self._on_offset = on_offset
        self._on_health = on_health
        self._batch_delay = batch_delay
        self._data_by_identity: dict[Hashable, bytes] = {}
        self._in_flight: list[Hashable] = []
        self._timer: transport.TimerHandle | None = None
        self._failures = 0
        self.appends = 0

    def add(self, identity: Hashable, data: bytes) -> None:
        """Append a record with the next batch."""
        self._data_by_identity[identity] = data
        if not self._in_flight and self._timer is None:
            self._schedule(self._batch_delay)

    def seen(self, identity: Hashable) -> None:
        """Drop a record that was read back from the log."""
        self._data_by_identity.pop(identity, None)

    @property
    def waiting(self) -> int:
        """Number of records not yet known to be in the log."""
        return len(self._data_by_identity)

    def retry_now(self) -> None:
        """Retry a failed append without waiting for its backoff to end."""
        if self._timer is not None and self._failures:
            self._schedule(0)

    def _schedule(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.call_later(seconds, self._append_batch)

    def _append_batch(self) -> None:
        self._timer = None
        if self._in_flight or not self._data_by_identity:
            return
        batch = []
        size = 0
        for identity, data in self._data_by_identity.items():
            if batch and size + len(data) > MAX_BATCH_BYTES:
                break
            size += len(data)
            batch.append(identity)
        self._in_flight = batch
        self.appends += 1
        records = [self._data_by_identity[identity] for identity in batch]
        self._client.append(
            self._stream, records, self._on_appended, self._on_append_failed
        )

    def _on_appended(self, offset: int) -> None:
        batch = self._in_flight
        self._in_flight = []
        self._failures = 0
        for identity in batch:
            self._data_by_identity.pop(identity, None)
        self._on_health(True)
        self._on_offset(offset, batch)
        if self._data_by_identity and self._timer is None:
            self._schedule(self._batch_delay)

    def _on_append_failed(self, error: errors.PlatformError) -> None:
        self._in_flight = []
        self._failures += 1
        delay = RETRY_BASE_SECONDS * 2 ** min(self._failures, 10)
        self._schedule(min(delay, MAX_RETRY_SECONDS))
        self._on_health(False)
