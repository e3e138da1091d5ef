"""The platform's list of live and leaving VMs; it lags.

``GET /vms`` answers a JSON array of objects with ``vm``, ``data_center``,
``address`` (``ip:port`` of the peer listener) and ``state``.
"""

from collections.abc import Callable
import enum
import logging

import pydantic

from postspring import transport

__all__ = ["VmEntry", "VmList", "VmState"]

LOG = logging.getLogger(__name__)
POLL_SECONDS = 1.0


class VmState(enum.StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(pydantic.BaseModel):
    """One VM of the list."""

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")

    vm: str
    data_center: str
    address: str
    state: VmState = VmState.LIVE


_ENTRIES = pydantic.TypeAdapter(list[VmEntry])


class VmList(transport.HttpListener):
    """Polls the list; when it can't be read, the last one stays.

    Parameters
    ==========

    http : HttpClient
        Sends the requests.
    address : tuple of (str, int)
        The platform's IP number and port.
    timers : Timers
        For polling.
    on_change : callable
        Called with no argument after a list that differs.
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
        """Begin to poll."""
        self._poll()

    def close(self) -> None:
        """Stop polling."""
        self._closed = True

    def in_data_center(self, data_center: str) -> list[VmEntry]:
        """Return the entries of one data centre."""
        return [
            entry
            for entry in self.entry_by_vm.values()
            if entry.data_center == data_center
        ]

    def head(self, status, headers):
        """Keep the status of a poll's answer."""
        self._status = status

    def data(self, chunk):
        """Keep a part of a poll's answer."""
        self._body += chunk

    def end(self):
        """Take a new list over."""
        self._again()
        if self._status != 200:
            return
        try:
            entries = _ENTRIES.validate_json(bytes(self._body))
        except pydantic.ValidationError as error:
            LOG.warning("the list of VMs can't be read: %s", error)
            return
        entry_by_vm = {entry.vm: entry for entry in entries}
        if entry_by_vm != self.entry_by_vm:
            self.entry_by_vm = entry_by_vm
            self._on_change()

    def failed(self, error):
        """Keep the last list and poll again."""
        self._again()

    def _again(self) -> None:
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
        )
        self._http.send(request, self)
