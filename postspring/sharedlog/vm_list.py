"""Polls the platform's list of live and leaving VMs.

``GET /vms`` returns a JSON array of objects with ``vm``, ``data_center``,
``address`` (``ip:port`` of the peer listener) and ``state``.  The list lags
behind the VMs' real state.
"""

from collections.abc import Callable
import enum
import logging

import pydantic

from postspring import transport

__all__ = ["VmEntry", "VmList", "VmState"]

LOG = logging.getLogger(__name__)
POLL_SECONDS = 1.0
# Longest list, in bytes: some 30,000 VMs.
MAX_LIST_BYTES = 4 * 1024 * 1024


class VmState(enum.StrEnum):
    """State of a VM according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(pydantic.BaseModel):
    """One VM in the platform's list."""

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")

    vm: str
    data_center: str
    address: str
    state: VmState = VmState.LIVE


_ENTRY_LIST = pydantic.TypeAdapter(list[VmEntry])


class VmList(transport.HttpListener):
    """Polls the list and keeps the last one that was read and parsed.

    Parameters
    ==========

    http : HttpClient
        Sends the requests.
    address : tuple of (str, int)
        IP address and port of the platform.
    timers : Timers
        Schedule the polls.
    on_change : callable
        Called without arguments when a poll returns a different list.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        address: tuple[str, int],
        timers: transport.Timers,
        on_change: Callable[[], None],
    ):
        self._http = http
        self._address = address
        self._timers = timers
        self._on_change = on_change
        self._status = 0
        self._body = bytearray()
        self._closed = False
        self.entry_by_vm: dict[str, VmEntry] = {}

    def start(self) -> None:
        """Send the first poll."""
        self._poll()

    def close(self) -> None:
        """Send no more polls."""
        self._closed = True

    def in_data_center(self, data_center: str) -> list[VmEntry]:
        """Return the entries of one data centre."""
        return [
            entry
            for entry in self.entry_by_vm.values()
            if entry.data_center == data_center
        ]

    def head(self, status, headers):
        """Store the status of the response."""
        self._status = status

    def data(self, chunk):
        """Append a chunk of the response body."""
        self._body += chunk

    def end(self):
        """Parse the response and replace the list if it differs."""
        self._schedule_poll()
        if self._status != 200:
            return
        try:
            entries = _ENTRY_LIST.validate_json(bytes(self._body))
        except pydantic.ValidationError as error:
            LOG.warning("failed to parse the list of VMs: %s", error)
            return
        entry_by_vm = {entry.vm: entry for entry in entries}
        if entry_by_vm != self.entry_by_vm:
            self.entry_by_vm = entry_by_vm
            self._on_change()

    def failed(self, error):
        """Keep the last list and schedule the next poll."""
        self._schedule_poll()

    def _schedule_poll(self) -> None:
        if not self._closed:
            self._timers.call_later(POLL_SECONDS, self._poll)

    def _poll(self) -> None:
        if self._closed:
            return
        self._body = bytearray()
        request = transport.HttpRequest(
            address=self._address,
            method="GET",
            path="/vms",
            connect_timeout=1.0,
            timeout=2.0,
            max_response_bytes=MAX_LIST_BYTES,
        )
        self._http.send(request, self)
