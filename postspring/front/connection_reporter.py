"""Reports failures on callers' connections to the log and the metrics."""

import logging

from postspring import metrics as metrics_module
from postspring import platform
from postspring import transport

__all__ = ["ConnectionReporter"]

LOG = logging.getLogger(__name__)


class ConnectionReporter:
    """Writes a log line and a count for each failure on a connection.

    Parameters
    ==========

    metrics : Metrics
        Receives the counts.
    wire : PlatformWireFormat
        Decodes a request's id from its header.
    """

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        wire: platform.PlatformWireFormat,
    ):
        self._metrics = metrics
        self._wire = wire

    def report_unreadable(self, status: int) -> None:
        """Report a refused request that was not read to its end.

        This includes connections beyond the limit, with status 503.
        """
        self._metrics.refused(f"unreadable_{status}", "no")
        LOG.info(
            "request refused before it was fully read",
            extra={"status": status},
        )

    def report_cut(self, cut: transport.InterruptedResponse) -> None:
        """Report a connection that ended before its answer was delivered."""
        ended_by = cut.ended_by.value
        self._metrics.interrupted_responses.add(1, {"ended_by": ended_by})
        request = ""
        if cut.call is not None:
            request = self._wire.decode_call(cut.call.header).request
        LOG.info(
            "connection closed before its answer was delivered",
            extra={
                "ended_by": ended_by,
                "request": request,
                "unsent": cut.unsent,
                "ms": round(cut.seconds * 1000, 1),
            },
        )
