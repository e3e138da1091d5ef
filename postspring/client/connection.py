"""HTTP client that fails over between entry VMs."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import http.client
import json
import time
from typing import Any

from postspring import errors

__all__ = [
    "EntryClient",
    "EntryResponse",
    "RefusedError",
    "UnreachableError",
]

DEFAULT_TIMEOUT_SECONDS = 60.0
MAX_RETRY_DELAY_SECONDS = 5.0
RETRYABLE_REASONS = frozenset(
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
# This VM is cut off, starting or shutting down: retry at the next one.
NEXT_VM_REASONS = frozenset(
    {"no_configuration", "owner_unreachable", "shutting_down"}
)


class RefusedError(errors.PostspringError):
    """An entry VM refused a request.

    Parameters
    ==========

    reason : str
        Name of the reason.
    ran : str
        Whether the request may have run: ``not_run`` or ``unknown``.
    retry_after : float or None
        Seconds after which a retry makes sense, if the VM says so.
    detail : str
        Explanation for a human reader.
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
    """No entry VM gave a usable response."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryResponse:
    """HTTP status and JSON body of a response."""

    status: int
    body: Any


class EntryClient:
    """Sends requests to one entry VM, and to the next when it fails.

    Parameters
    ==========

    addresses : sequence of str
        ``ip:port`` of entry VMs, or of a load balancer in front of them.
    timeout : float
        Socket timeout of each attempt in seconds.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
    ):
        if not addresses:
            raise ValueError("at least one address is needed")
        self._addresses = list(addresses)
        self._address_index = 0
        self._timeout = timeout

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        retry_timeout: float = 20.0,
    ) -> EntryResponse:
        """Send a request, retry it if needed, and return the response.

        A retry is safe for all of postspring's own requests: programs are
        created by key and calls are identified by their step.

        Parameters
        ----------
        retry_timeout : float
            Seconds for which the request is retried after connection
            errors and after refusals with one of ``RETRYABLE_REASONS``.

        Raises
        ------
        RefusedError
            If the request was refused and may not, or not any longer, be
            retried.
        UnreachableError
            If no VM responded until ``retry_timeout`` ended.
        """
        return self._retry(
            lambda address: self._request_once(address, method, path, body),
            retry_timeout,
        )

    def stream(
        self,
        path: str,
        body: Any,
        on_text: Callable[[str], None] | None = None,
        retry_timeout: float = 20.0,
    ) -> dict[str, Any]:
        """Stream a call's answer and return the turn at its end.

        ``on_text`` is called with each piece of text as it arrives, and
        with None when the entry VM restarts the answer: the text before is
        then void.
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
            address = self._addresses[
                self._address_index % len(self._addresses)
            ]
            try:
                return attempt(address)
            except RefusedError as error:
                if error.reason not in RETRYABLE_REASONS:
                    raise
                if error.reason in NEXT_VM_REASONS:
                    self._address_index += 1
                delay = error.retry_after or 0.2
                last_error: errors.PostspringError = error
            except (OSError, http.client.HTTPException) as error:
                self._address_index += 1
                delay = 0.1
                last_error = UnreachableError(f"{address}: {error!r}")
            if time.monotonic() + delay > deadline:
                raise last_error
            time.sleep(min(delay, MAX_RETRY_DELAY_SECONDS))

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

    def _request_once(
        self, address: str, method: str, path: str, body: Any
    ) -> EntryResponse:
        connection, response = self._send(address, method, path, body)
        try:
            text = response.read()
        finally:
            connection.close()
        parsed = json.loads(text) if text else None
        _raise_if_refused(parsed)
        return EntryResponse(response.status, parsed)

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
    """Return the data of the ``turn`` event, with the collected text."""
    event_name = ""
    texts: list[str] = []
    for line in response:
        text = line.decode().rstrip("\n")
        if text.startswith("event: "):
            event_name = text.removeprefix("event: ")
        elif text.startswith("data: ") and text != "data: [DONE]":
            data = json.loads(text.removeprefix("data: "))
            if event_name == "turn":
                return {"text": "".join(texts)} | data
            if event_name == "refused":
                _raise_if_refused(data)
            elif event_name == "restart":
                texts.clear()
                if on_text is not None:
                    on_text(None)
            else:
                _collect_text(data, texts, on_text)
        elif not text:
            event_name = ""
    raise ConnectionError("the stream ended without a turn event")


def _collect_text(data: dict, texts: list[str], on_text: Any) -> None:
    for choice in data.get("choices", ()):
        content = choice.get("delta", {}).get("content")
        if content:
            texts.append(content)
            if on_text is not None:
                on_text(content)
