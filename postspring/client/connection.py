"""Requests to whichever entry VM answers."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import http.client
import json
import time
from typing import Any

from postspring import errors

__all__ = ["Answer", "EntryClient", "RefusedError", "UnreachableError"]

DEFAULT_TIMEOUT_SECONDS = 60.0
LONGEST_PAUSE_SECONDS = 5.0
RETRIED_REASONS = frozenset(
    {
        "held_turns_full",
        "log_unavailable",
        "no_configuration",
        "no_upstream",
        "overloaded",
        "owner_unreachable",
        "queue_full",
        "shutting_down",
        "upstream_failed",
    }
)
# Another VM may do better: this one is cut off, starting or leaving.
OTHER_VM_REASONS = frozenset(
    {"no_configuration", "owner_unreachable", "shutting_down"}
)


class RefusedError(errors.PostspringError):
    """A request was refused.

    Parameters
    ==========

    reason : str
        The reason's name.
    ran : str
        ``not_run`` or ``unknown``.
    retry_after : float or None
        Seconds after which to come back.
    detail : str
        Text for a person.
    """

    def __init__(
        self, reason: str, ran: str, retry_after: float | None, detail: str
    ):
        super().__init__(f"{reason} ({ran}) {detail}".strip())
        self.reason = reason
        self.ran = ran
        self.retry_after = retry_after
        self.detail = detail


class UnreachableError(errors.PostspringError):
    """No entry VM gave an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer: the HTTP status and the JSON body."""

    status: int
    body: Any


class EntryClient:
    """Talks to the entry VMs, going to the next one when one fails.

    Parameters
    ==========

    addresses : sequence of str
        ``ip:port`` of entry VMs, or of the balancer before them.
    timeout : float
        Seconds that one request may take.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
    ):
        if not addresses:
            raise ValueError("at least one address is needed")
        self._addresses = list(addresses)
        self._next = 0
        self._timeout = timeout

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        retry_timeout: float = 20.0,
    ) -> Answer:
        """Return a whole answer.

        Asking again is safe for all of postspring's own requests: programs
        are created by key and calls are identified by their step.

        Parameters
        ----------
        retry_timeout : float
            Seconds for which refusals that say when to come back, and VMs
            that don't answer, are retried.

        Raises
        ------
        RefusedError
            If the request was refused for good.
        UnreachableError
            If no VM answered.
        """
        return self._retry(
            lambda address: self._once(address, method, path, body),
            retry_timeout,
        )

    def stream(
        self,
        path: str,
        body: Any,
        on_text: Callable[[str], None] | None = None,
        retry_timeout: float = 20.0,
    ) -> dict[str, Any]:
        """Return the turn that ends a streamed answer.

        ``on_text`` gets the text as it comes; it is called with None when
        the stream starts anew and what came before is void.
        """
        return self._retry(
            lambda address: self._stream_once(address, path, body, on_text),
            retry_timeout,
        )

    def _retry(
        self, attempt: Callable[[str], Any], retry_timeout: float
    ) -> Any:
        deadline = time.monotonic() + retry_timeout
        while True:
            address = self._addresses[self._next % len(self._addresses)]
            try:
                return attempt(address)
            except RefusedError as error:
                if error.reason not in RETRIED_REASONS:
                    raise
                if error.reason in OTHER_VM_REASONS:
                    self._next += 1
                pause = error.retry_after or 0.2
                failure: errors.PostspringError = error
            except (OSError, http.client.HTTPException) as error:
                self._next += 1
                pause = 0.1
                failure = UnreachableError(f"{address}: {error!r}")
            if time.monotonic() + pause > deadline:
                raise failure
            time.sleep(min(pause, LONGEST_PAUSE_SECONDS))

    def _send(
        self, address: str, method: str, path: str, body: Any
    ) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=self._timeout
        )
        data = None if body is None else json.dumps(body).encode()
        connection.request(
            method, path, data, {"Content-Type": "application/json"}
        )
        return connection, connection.getresponse()

    def _once(self, address: str, method: str, path: str, body: Any) -> Answer:
        connection, response = self._send(address, method, path, body)
        try:
            text = response.read()
        finally:
            connection.close()
        parsed = json.loads(text) if text else None
        _raise_if_refused(parsed)
        return Answer(response.status, parsed)

    def _stream_once(
        self,
        address: str,
        path: str,
        body: Any,
        on_text: Callable[[str], None] | None,
    ) -> dict[str, Any]:
        connection, response = self._send(address, "POST", path, body)
        try:
            if response.status != 200:
                _raise_if_refused(json.loads(response.read()))
                raise UnreachableError(f"status {response.status}")
            return _read_events(response, on_text)
        finally:
            connection.close()


def _raise_if_refused(body: Any) -> None:
    if isinstance(body, dict) and "refused" in body:
        raise RefusedError(
            body["refused"],
            body.get("ran", "unknown"),
            body.get("retry_after_seconds"),
            body.get("detail", ""),
        )


def _read_events(
    response: http.client.HTTPResponse,
    on_text: Callable[[str], None] | None,
) -> dict[str, Any]:
    """Return the data of the event named ``turn``, with the text."""
    name = ""
    texts: list[str] = []
    for line in response:
        text = line.decode().rstrip("\n")
        if text.startswith("event: "):
            name = text.removeprefix("event: ")
        elif text.startswith("data: ") and text != "data: [DONE]":
            data = json.loads(text.removeprefix("data: "))
            if name == "turn":
                return {"text": "".join(texts)} | data
            if name == "refused":
                _raise_if_refused(data)
            elif name == "restart":
                texts.clear()
                if on_text is not None:
                    on_text(None)
            else:
                _collect(data, texts, on_text)
        elif not text:
            name = ""
    raise ConnectionError("the stream ended before its turn")


def _collect(data: dict, texts: list[str], on_text: Any) -> None:
    for choice in data.get("choices", ()):
        content = choice.get("delta", {}).get("content")
        if content:
            texts.append(content)
            if on_text is not None:
                on_text(content)
