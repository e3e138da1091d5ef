"""What is told of callers' connections: one line and one count for each."""

import logging

from postspring import metrics as metrics_module
from postspring import platform
from postspring import transport

__all__ = ["CallersReport"]

LOG = logging.getLogger(__name__)


class CallersReport:
    """Reports what is not the end of a call.

    Parameters
    ==========

    metrics : Metrics
        Counts what is reported.
    wire : PlatformWireFormat
        Finds the id of a request.
    """

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        wire: platform.PlatformWireFormat,
    ):
        self._metrics = metrics
        self._wire = wire

    def unreadable(self, status: int) -> None:
        """Report a request that could not be read."""
        self._metrics.refused(f"unreadable_{status}", "no")
        LOG.info("request not readable", extra={"status": status})

    def cut(self, cut: transport.Cut) -> None:
        """Report a connection that ended with something owed."""
        ended_by = cut.ended_by.value
        self._metrics.cuts.add(1, {"ended_by": ended_by})
        request = ""
        if cut.call is not None:
            request = self._wire.decode_call(cut.call.header).request
        LOG.info(
            "connection cut",
            extra={
                "ended_by": ended_by,
                "request": request,
                "unsent": cut.unsent,
                "ms": round(cut.seconds * 1000, 1),
            },
        )
