"""One attempt's use of an upstream: its place there, its pace, its failure."""

from postspring import errors
from postspring.forwarding import collected_answer
from postspring.forwarding import response_ends
from postspring.forwarding import stream_pace
from postspring import transport
from postspring import upstreams

__all__ = ["UpstreamUse"]

SERVER_ERROR = 500
# The request ran out of time, which is no failure of the upstream.
GATEWAY_TIMEOUT = 504


class UpstreamUse:
    """Counts a call as in flight at an upstream until it is released.

    Parameters
    ==========

    now : float
        When the call is sent; monotonic seconds.
    request : str
        Id of the request.
    metrics : Metrics, optional
        Counts how answers ended.

    Examples
    ========

    >>> from postspring.upstreams import load
    >>> upstream = load.UpstreamLoad(concurrency=8)
    >>> use = UpstreamUse(upstream, now=1.0)
    >>> upstream.in_flight
    1
    >>> use.release()
    >>> use.release()
    >>> upstream.in_flight
    0
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        now: float,
        request: str = "",
        metrics=None,
    ):
        self._upstream = upstream
        self._request = request
        self._metrics = metrics
        self._sent_at = now
        self._is_released = False
        self.pace = stream_pace.StreamPace(upstream)
        upstream.in_flight += 1

    def release(self) -> None:
        """Stop counting the call; later calls do nothing."""
        if not self._is_released:
            self._is_released = True
            self._upstream.in_flight -= 1
            self.pace.end()

    def report_end(self, exchange: transport.Exchange) -> None:
        """Report an answer that did not end by its own framing."""
        response_ends.report_response_end(
            exchange, self._request, self._upstream.id, self._metrics
        )

    def report_too_long(
        self,
        exchange: transport.Exchange,
        answer: collected_answer.CollectedAnswer,
    ) -> None:
        """Report an answer that is too long to be collected."""
        response_ends.report_too_long(
            exchange, self._request, self._upstream.id, answer, self._metrics
        )

    def note_status(self, status: int, now: float) -> None:
        """Count a complete answer as a success or as a failure."""
        if status >= SERVER_ERROR and status != GATEWAY_TIMEOUT:
            self._upstream.note_failure(now)
        else:
            self._upstream.note_success()

    def note_failure(
        self,
        directory: upstreams.Directory,
        error: errors.TransportError,
        now: float,
    ) -> None:
        """Count a failure of the upstream, or mark it as unreachable."""
        if error.sent and error.is_broken:
            self._upstream.note_broken_call(self._sent_at, now)
        if error.is_unreachable:
            directory.note_unreachable(self._upstream)
        else:
            self._upstream.note_failure(now)
