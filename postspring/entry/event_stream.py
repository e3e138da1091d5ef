"""Server-sent events of a chat completion.

Events are relayed as raw bytes and parsed once, when the answer is whole.
"""

import dataclasses
import json

from postspring import errors
from postspring import programs

__all__ = ["ChatAnswer", "ChatStream", "server_sent_event"]

_DONE = b"data: [DONE]\n\n"
_DATA = b"data: "


@dataclasses.dataclass(frozen=True, slots=True)
class ChatAnswer:
    """The text of a whole answer, and what the engine counted."""

    text: str
    usage: programs.Usage


class ChatStream:
    """Takes the bytes of one answer.

    Parameters
    ==========

    request_id : str
        The id that the request carried.  Every event's id has to contain
        it: an engine that crosses answers is found out by that.

    Examples
    ========

    >>> stream = ChatStream("r1")
    >>> stream.feed(b'data: {"id":"r1","choices":[]}\\n\\ndata: [DO')
    b'data: {"id":"r1","choices":[]}\\n\\n'
    >>> stream.feed(b"NE]\\n\\n")
    b''
    """

    def __init__(self, request_id: str):
        self._request_id = request_id
        self._events: list[bytes] = []
        self._partial = b""
        self._done = False
        self.size = 0

    def feed(self, data: bytes) -> bytes:
        """Return the whole events in what came, without the end marker."""
        self.size += len(data)
        data = self._partial + data
        end = data.rfind(b"\n\n")
        if end < 0:
            self._partial = data
            return b""
        events = data[: end + 2]
        self._partial = data[end + 2 :]
        if _DONE in events:
            self._done = True
            events = events.replace(_DONE, b"")
        if events:
            self._events.append(events)
        return events

    def finish(self) -> ChatAnswer:
        """Return the whole answer.

        Raises
        ------
        UpstreamError
            If the stream was cut off, isn't JSON, has no usage, or has
            events of another request.
        """
        if not self._done:
            raise errors.UpstreamError("the stream ended before its end")
        texts: list[str] = []
        usage = None
        for event in self._parsed():
            if self._request_id not in str(event.get("id", "")):
                raise errors.UpstreamError("an event of another request")
            for choice in event.get("choices", ()):
                texts.append(choice.get("delta", {}).get("content") or "")
            usage = event.get("usage") or usage
        if usage is None:
            raise errors.UpstreamError("the stream has no usage")
        return ChatAnswer("".join(texts), _usage(usage))

    def _parsed(self):
        for event in b"".join(self._events).split(b"\n\n"):
            for line in event.split(b"\n"):
                if not line.startswith(_DATA):
                    continue
                try:
                    parsed = json.loads(line[len(_DATA) :])
                except ValueError as error:
                    text = f"an event is not JSON: {error}"
                    raise errors.UpstreamError(text) from error
                if isinstance(parsed, dict):
                    yield parsed


def _usage(raw: dict) -> programs.Usage:
    details = raw.get("prompt_tokens_details") or {}
    return programs.Usage(
        prompt_tokens=int(raw.get("prompt_tokens", 0)),
        completion_tokens=int(raw.get("completion_tokens", 0)),
        cached_tokens=int(details.get("cached_tokens", 0)),
    )


def server_sent_event(name: str, value: dict) -> bytes:
    """Return an event with a name and JSON data."""
    return f"event: {name}\ndata: {json.dumps(value)}\n\n".encode()
