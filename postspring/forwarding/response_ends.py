"""Reports responses that end with the connections of upstreams."""

import logging

from postspring.forwarding import collected_answer
from postspring import transport

__all__ = ["report_response_end", "report_too_long"]

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


def report_too_long(
    exchange: transport.Exchange,
    request: str,
    upstream: str,
    answer: collected_answer.CollectedAnswer,
    metrics,
) -> None:
    """Log and count an answer that is too long to be collected.

    Parameters
    ----------
    request, upstream : str
        Ids of the request and of the upstream.
    """
    metrics.response_ends.add(1, {"end": "too_long", "complete": "no"})
    fields = exchange.header_fields
    LOG.info(
        "answer is too long",
        extra={
            "request": request,
            "upstream": upstream,
            "bytes": answer.size,
            "limit": answer.max_bytes,
            "has_length": bool(transport.content_length(fields)),
        },
    )
