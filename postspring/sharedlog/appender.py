"""Group commit: many records in few appends, in order."""

from collections.abc import Callable
from collections.abc import Hashable

from postspring import errors
from postspring.sharedlog import log_client
from postspring import transport

__all__ = ["StreamAppender"]

FIRST_RETRY_SECONDS = 0.05
LONGEST_RETRY_SECONDS = 1.0
MAX_BATCH_BYTES = 1024 * 1024


class StreamAppender:
    """Appends records of this process to one stream.

    Explanation
    ===========

    One batch is under way at a time and the rest waits, so batches grow
    with the load and records keep their order.  A batch whose answer is
    lost is sent again until it is answered, or until the tail has shown
    all its records; the fold tells copies apart.

    Parameters
    ==========

    client : LogClient
        The log.
    stream : str
        The stream's name.
    timers : Timers
        For retries and the batch delay.
    on_offset : callable
        Called with ``(offset, identities)`` of an answered batch.
    on_health : callable
        Called with True or False after each answer or failure.
    batch_delay : float
        Seconds to wait for more records before an append.
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
        """Append a record, soon."""
        self._data_by_identity[identity] = data
        if not self._in_flight and self._timer is None:
            self._schedule(self._batch_delay)

    def seen(self, identity: Hashable) -> None:
        """Take note that the tail has shown the record."""
        self._data_by_identity.pop(identity, None)

    @property
    def waiting(self) -> int:
        """Number of records that are not known to be in the log."""
        return len(self._data_by_identity)

    def retry_now(self) -> None:
        """Try again at once: the log was seen to be up."""
        if self._timer is not None and self._failures:
            self._schedule(0)

    def _schedule(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.call_later(seconds, self._append)

    def _append(self) -> None:
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
            self._stream, records, self._appended, self._failed
        )

    def _appended(self, offset: int) -> None:
        batch = self._in_flight
        self._in_flight = []
        self._failures = 0
        for identity in batch:
            self._data_by_identity.pop(identity, None)
        self._on_health(True)
        self._on_offset(offset, batch)
        if self._data_by_identity and self._timer is None:
            self._schedule(self._batch_delay)

    def _failed(self, error: errors.PlatformError) -> None:
        self._in_flight = []
        self._failures += 1
        pause = FIRST_RETRY_SECONDS * 2 ** min(self._failures, 10)
        self._schedule(min(pause, LONGEST_RETRY_SECONDS))
        self._on_health(False)
