"""Reports responses that end with the connections of upstreams."""

import logging

from postspring import transport

__all__ = ["report_response_end"]

LOG = logging.getLogger(__name__)


def report_response_end(
    exchange: transport.Exchange, request: str, upstream: str, metrics
) -> None:
    """Log and count how a response ended, unless by its own framing.

    Parameters
    ----------
    request, upstream : str
        Ids of the request and of the upstream.
    """
    response_end = exchange.response_end
    if response_end is None:
        return
    end = response_end.end.value
    is_complete = "yes" if response_end.is_complete else "no"
    metrics.response_ends.add(1, {"end": end, "complete": is_complete})
    LOG.info(
        "connection ended before the end of a response",
        extra={
            "request": request,
            "upstream": upstream,
            "end": end,
            "complete": response_end.is_complete,
            "has_length": response_end.has_length,
            "received": response_end.received,
            "unsent": response_end.unsent,
        },
    )
