"""The host of the configuration stream, and its spread from VM to VM."""

from collections.abc import Callable
import dataclasses
import logging
import random

from postspring import configuration
from postspring import errors
from postspring import peers
from postspring import sharedlog
from postspring import transport

__all__ = ["CONFIGURATION_STREAM", "ConfigurationHost"]

LOG = logging.getLogger(__name__)
CONFIGURATION_STREAM = "configuration"
CARRY_CHECKS = 10


@dataclasses.dataclass(slots=True)
class _Publishing:
    """A record that was appended and is not judged yet."""

    change_id: str
    record: configuration.PublishRecord
    on_version: Callable[[int], None]
    on_error: Callable[[errors.PostspringError], None]
    offset: int = -1


class ConfigurationHost:
    """Keeps the configuration in force on this VM.

    Parameters
    ==========

    client : LogClient
        The platform's log.
    timers : Timers
        For the tail's retries.
    on_change : callable
        Called with no argument after another document came in force.
    carry_every : float
        Seconds after which the document is written to the log again.
    """

    def __init__(
        self,
        client: sharedlog.LogClient,
        timers: transport.Timers,
        on_change: Callable[[], None],
        carry_every: float,
    ):
        self._client = client
        self._timers = timers
        self._carry_every = carry_every
        self._in_force_since = 0.0
        self._on_change = on_change
        self._publishing: list[_Publishing] = []
        self.fold = configuration.ConfigurationFold()
        self.record = b""
        self.tail = sharedlog.StreamTail(
            client,
            CONFIGURATION_STREAM,
            timers,
            self._apply_page,
            lambda up: None,
            lambda: self.fold.next_offset,
        )

    def start(self) -> None:
        """Begin to follow the stream."""
        self.tail.start()
        self._carrier = self._timers.call_every(
            self._carry_every / CARRY_CHECKS, self._carry
        )

    def close(self) -> None:
        """Stop following it."""
        self._carrier.cancel()
        self.tail.close()

    @property
    def state(self) -> configuration.ConfigurationState:
        """The configuration in force."""
        return self.fold.state

    def offer(self) -> peers.ConfigurationOffer:
        """Return the record in force, for another VM."""
        return peers.ConfigurationOffer(
            offset=self.state.offset, record=self.record
        )

    def take(self, offer: peers.ConfigurationOffer) -> None:
        """Take a record that another VM has read from the log.

        Only an offset beyond what was applied here is taken, so the
        configuration never goes back.
        """
        if offer.offset < self.fold.next_offset:
            return
        self._apply(offer.offset, offer.record, from_peer=True)

    def publish(
        self,
        document: bytes,
        expected_version: int,
        change_id: str,
        on_version: Callable[[int], None],
        on_error: Callable[[errors.PostspringError], None],
    ) -> None:
        """Publish a document made against a version.

        Exactly one of the functions is called: with the version once it
        counts, or with a PublishConflictError, or with a PlatformError
        after which the same change may be published again.
        """
        if self.fold.is_change_accepted(change_id):
            on_version(self.state.version)
            return
        record = configuration.PublishRecord(
            change_id=change_id,
            expected_version=expected_version,
            version=expected_version + 1,
            document=document,
            author="command",
        )
        publishing = _Publishing(change_id, record, on_version, on_error)

        def appended(offset: int) -> None:
            publishing.offset = offset
            self._publishing.append(publishing)
            self._settle_published()

        self._client.append(
            CONFIGURATION_STREAM,
            [configuration.configuration_records.encode(record)],
            appended,
            on_error,
        )

    def _carry(self) -> None:
        """Write the document again before its record expires.

        The wait is spread by chance, so that mostly one VM does it; the
        others see its record and wait anew.
        """
        age = self._timers.now() - self._in_force_since
        due = self._carry_every * (1 + random.random())
        if not self.state.version or age < due or not self.fold.has_base:
            return
        state = self.state
        record = configuration.PublishRecord(
            change_id=state.change_id,
            expected_version=state.version,
            version=state.version,
            document=state.document,
            author=state.author,
            as_of=self.fold.next_offset,
        )
        self._client.append(
            CONFIGURATION_STREAM,
            [configuration.configuration_records.encode(record)],
            lambda offset: None,
            lambda error: LOG.warning("carrying forward failed: %s", error),
        )

    def _settle_published(self) -> None:
        """Answer for published records that the fold has passed."""
        for publishing in list(self._publishing):
            if self.fold.next_offset <= publishing.offset:
                continue
            self._publishing.remove(publishing)
            if self.fold.is_change_accepted(publishing.change_id):
                publishing.on_version(publishing.record.version)
            else:
                publishing.on_error(
                    configuration.PublishConflictError(
                        f"version {self.state.version} by "
                        f"{self.state.author or 'somebody'} came first; "
                        "look at it and ask again"
                    )
                )

    def _apply_page(self, page: sharedlog.LogPage) -> None:
        if page.first > self.fold.next_offset:
            self.fold.skip_to(page.first)
        for offset, data in page.records:
            if offset >= self.fold.next_offset:
                self._apply(offset, data, from_peer=False)
        self._settle_published()

    def _apply(self, offset: int, data: bytes, from_peer: bool) -> None:
        try:
            record = configuration.configuration_records.decode(data)
        except errors.CodecError as error:
            LOG.error("bad configuration record at %d: %s", offset, error)
            self.fold.skip_record(offset)
            return
        before = self.state
        if from_peer:
            verdict = self.fold.adopt(offset, record)
        else:
            verdict = self.fold.apply(offset, record)
        if self.state is before:
            LOG.warning(
                "configuration record does not count: %s", verdict.value
            )
            return
        self.record = data
        self._in_force_since = self._timers.now()
        if self.state.version != before.version:
            LOG.info(
                "configuration in force",
                extra={
                    "version": self.state.version,
                    "offset": offset,
                    "from_peer": from_peer,
                },
            )
            self._on_change()
