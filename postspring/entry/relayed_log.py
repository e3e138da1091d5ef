"""The log, directly or through another VM of the data centre."""

from collections.abc import Callable
from typing import Any

from postspring import errors
from postspring import peers
from postspring import sharedlog
from postspring import transport

__all__ = ["RelayedLogClient"]

DIRECT_AGAIN_SECONDS = 1.0
RELAY_SLACK_SECONDS = 3.0


class RelayedLogClient:
    """A log client that goes through a peer when the log can't be reached.

    Explanation
    ===========

    A VM that is cut off from the platform keeps its slots as long as a VM
    of its data centre gets through.  A relayed append is an append like any
    other: its answer can be lost, and the fold tells copies apart.

    Parameters
    ==========

    direct : LogClient
        The platform's log.
    timers : Timers
        For the time until the direct way is tried again.
    helpers : callable
        Returns the VMs that can reach the log, as far as is known.
    """

    def __init__(
        self,
        direct: sharedlog.LogClient,
        timers: transport.Timers,
        helpers: Callable[[], list[str]],
    ):
        self._direct = direct
        self._timers = timers
        self._helpers = helpers
        self._hub: peers.PeerHub | None = None
        self._direct_failed_at: float | None = None

    def start(self, hub: peers.PeerHub) -> None:
        """Use these links from now on."""
        self._hub = hub

    @property
    def reaches_log(self) -> bool:
        """Whether the direct way worked when it was last tried."""
        return self._direct_failed_at is None

    def append(
        self,
        stream: str,
        records: list[bytes],
        on_offset: Callable[[int], None],
        on_error: Callable[[errors.PlatformError], None],
    ) -> None:
        """Append a batch; see :meth:`LogClient.append`."""
        message = peers.AppendRecords(stream=stream, records=tuple(records))

        def relay(error: errors.PlatformError) -> None:
            self._relay(
                message, 0.0, lambda done: on_offset(done.offset), on_error
            )

        if self._prefers_relay():
            relay(errors.PlatformError("log is not reached"))
            return
        self._direct.append(
            stream, records, self._worked(on_offset), self._broke(relay)
        )

    def read(
        self,
        stream: str,
        offset: int,
        wait: float,
        on_page: Callable[[sharedlog.LogPage], None],
        on_error: Callable[[errors.PlatformError], None],
        limit: int = 2000,
    ) -> Any:
        """Read a page; see :meth:`LogClient.read`."""
        message = peers.ReadRecords(
            stream=stream, offset=offset, wait_ms=int(wait * 1000), limit=limit
        )

        def got(reply: Any) -> None:
            on_page(sharedlog.LogPage(reply.first, reply.next, reply.records))

        def relay(error: errors.PlatformError) -> None:
            self._relay(message, wait, got, on_error)

        if self._prefers_relay():
            relay(errors.PlatformError("log is not reached"))
            return None
        return self._direct.read(
            stream,
            offset,
            wait,
            self._worked(on_page),
            self._broke(relay),
            limit,
        )

    def serve_append(self, message: Any, reply: Callable[[Any], None]) -> None:
        """Append for another VM, by the direct way only."""
        self._direct.append(
            message.stream,
            list(message.records),
            lambda offset: reply(peers.RecordsAppended(offset=offset)),
            lambda error: reply(peers.LogFailed(detail=str(error)[:200])),
        )

    def serve_read(self, message: Any, reply: Callable[[Any], None]) -> None:
        """Read for another VM, by the direct way only."""

        def got(page: sharedlog.LogPage) -> None:
            reply(
                peers.RecordsRead(
                    first=page.first, next=page.next, records=page.records
                )
            )

        self._direct.read(
            message.stream,
            message.offset,
            message.wait_ms / 1000,
            got,
            lambda error: reply(peers.LogFailed(detail=str(error)[:200])),
            message.limit,
        )

    def _prefers_relay(self) -> bool:
        """Return whether the direct way broke just now and peers help."""
        failed_at = self._direct_failed_at
        if failed_at is None or not self._helpers():
            return False
        return self._timers.now() < failed_at + DIRECT_AGAIN_SECONDS

    def _worked(self, function: Callable) -> Callable:
        def wrapped(result: Any) -> None:
            self._direct_failed_at = None
            function(result)

        return wrapped

    def _broke(self, function: Callable) -> Callable:
        def wrapped(error: errors.PlatformError) -> None:
            self._direct_failed_at = self._timers.now()
            function(error)

        return wrapped

    def _relay(
        self,
        message: Any,
        wait: float,
        on_done: Callable[[Any], None],
        on_error: Callable[[errors.PlatformError], None],
    ) -> None:
        helpers = self._helpers() if self._hub is not None else []
        if not helpers:
            on_error(errors.PlatformError("neither log nor peers answer"))
            return

        def replied(reply: Any) -> None:
            if isinstance(reply, peers.LogFailed):
                on_error(errors.PlatformError(reply.detail))
            else:
                on_done(reply)

        def failed(error: errors.TransportError) -> None:
            on_error(errors.PlatformError(str(error)))

        helper = min(helpers)
        self._hub.ask(
            helper, message, wait + RELAY_SLACK_SECONDS, replied, failed
        )
