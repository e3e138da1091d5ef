"""Encodes the responses of one connection."""

import logging

import h11

from postspring.transport import http_messages

__all__ = ["ENCODING_ERRORS", "ResponseEncoder"]

LOG = logging.getLogger(__name__)

ENCODING_ERRORS = (h11.LocalProtocolError, UnicodeEncodeError)


class ResponseEncoder:
    """Turns responses into bytes and advances the state of the connection.

    Parameters
    ==========

    http : h11.Connection
        State of the connection, as the server's side.
    """

    def __init__(self, http: h11.Connection):
        self._http = http

    def response(
        self, status: int, fields: list, body: bytes, closes: bool
    ) -> list[bytes]:
        """Return the parts of a complete response.

        Parameters
        ----------
        closes : bool
            Whether the connection is closed after the response.
        """
        try:
            head = self.head(status, fields, closes)
        except ENCODING_ERRORS:
            # The caller needs some response, so it gets a plain 500.
            LOG.exception("cannot encode a response")
            body = b""
            head = self.head(500, [("Content-Length", "0")], closes)
        parts = [head]
        if body:
            event = h11.Data(data=body)
            parts += self._http.send_with_data_passthrough(event)
        parts.append(self.end())
        return http_messages.join_parts(parts)

    def head(self, status: int, fields: list, closes: bool) -> bytes:
        """Return the status line and header fields of a response.

        Raises
        ------
        h11.LocalProtocolError, UnicodeEncodeError
            If they are not valid.
        """
        if closes:
            fields = [*fields, ("Connection", "close")]
        headers = http_messages.encode_fields(fields)
        event = h11.Response(status_code=status, headers=headers)
        return self._http.send(event)

    def data(self, data: bytes) -> bytes:
        """Return a part of a body."""
        return self._http.send(h11.Data(data=data))

    def end(self) -> bytes:
        """Return the end of a response."""
        return self._http.send(h11.EndOfMessage())

    def proceed(self) -> bytes:
        """Return the response 100 (Continue)."""
        event = h11.InformationalResponse(status_code=100, headers=[])
        return self._http.send(event)

    def rejection(self, status: int, retry_after: float | None) -> bytes:
        """Return the last response of a connection; empty if none is due."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""
        fields = [("Content-Length", "0"), ("Connection", "close")]
        if retry_after is not None:
            fields.append(("Retry-After", f"{retry_after:.2f}"))
        try:
            event = h11.Response(status_code=status, headers=fields)
            return self._http.send(event)
        except h11.LocalProtocolError:
            LOG.info("cannot send an error response", extra={"status": status})
            return b""
