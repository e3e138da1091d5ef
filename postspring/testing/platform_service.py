"""Stand-in of the platform: append-only log and list of VMs.

Faults, set by ``POST /faults``:

``down``, ``silent``
    Answer 503, or nothing.
``append_delay``, ``read_delay``
    Seconds before an append or read is answered.
``lose_answers``
    So many appends take effect but are not answered.
``drop_appends``
    So many appends neither take effect nor are answered.
``late_appends``
    So many appends are not answered and take effect ``late_by`` seconds
    later.
``vm_list_frozen``
    The list of VMs stays as it is.
"""

import collections
import json
from typing import Any

import cbor2

from postspring.testing import base
from postspring import web

__all__ = ["PlatformService"]

MAX_WAIT_SECONDS = 60.0
router = web.Router()


class _Stream:
    """One stream: kept records and those who wait for the next."""

    def __init__(self, retain: int):
        self.retain = retain
        self.first = 0
        self.records: collections.deque[bytes] = collections.deque()
        self.waiting: list[_Reader] = []

    @property
    def next(self) -> int:
        """Offset that the next record gets."""
        return self.first + len(self.records)

    def append(self, records: list[bytes]) -> int:
        """Append a batch and return its first offset."""
        offset = self.next
        self.records.extend(records)
        while len(self.records) > self.retain:
            self.records.popleft()
            self.first += 1
        return offset

    def read(self, offset: int, limit: int) -> bytes:
        """Return a page, encoded."""
        start = max(offset, self.first)
        stop = min(self.next, start + limit)
        page = [
            [number, self.records[number - self.first]]
            for number in range(start, stop)
        ]
        return cbor2.dumps(
            {"first": self.first, "next": self.next, "records": page}
        )


class _Reader:
    """A read that waits for records."""

    def __init__(self, request, stream: _Stream, offset: int, limit: int):
        self.request = request
        self.stream = stream
        self.offset = offset
        self.limit = limit
        self.timer = None

    def answer(self) -> None:
        """Answer with what there is."""
        if self.timer is not None:
            self.timer.cancel()
        if self in self.stream.waiting:
            self.stream.waiting.remove(self)
        self.request.respond(
            200,
            self.stream.read(self.offset, self.limit),
            "application/cbor",
        )


class PlatformService(base.StandIn):
    """The platform's log service and list of VMs.

    Parameters
    ==========

    bind : tuple of (str, int)
        Where to listen.
    retain : int
        Records kept of each stream.
    """

    router = router

    def __init__(self, bind: tuple[str, int], retain: int = 1_000_000):
        super().__init__(bind)
        self.retain = retain
        self.appends = 0
        self.stream_by_name: dict[str, _Stream] = {}
        self.entry_by_vm: dict[str, dict[str, Any]] = {}
        self.served_vms: bytes = b"[]"

    def stream(self, name: str) -> _Stream:
        """Return a stream, which need not exist before."""
        if name not in self.stream_by_name:
            self.stream_by_name[name] = _Stream(self.retain)
        return self.stream_by_name[name]

    def append(self, name: str, records: list[bytes]) -> int:
        """Append a batch and wake the readers."""
        self.appends += 1
        stream = self.stream(name)
        offset = stream.append(records)
        for reader in list(stream.waiting):
            self.later("read_delay", reader.answer)
        return offset

    def list_vms(self) -> bytes:
        """Return the list as it is served now."""
        if not self.faults.get("vm_list_frozen"):
            entries = list(self.entry_by_vm.values())
            self.served_vms = json.dumps(entries).encode()
        return self.served_vms

    def faults_changed(self) -> None:
        """Cut off readers when the log goes down."""
        if not self.faults.get("down"):
            return
        for stream in self.stream_by_name.values():
            for reader in list(stream.waiting):
                stream.waiting.remove(reader)
                reader.request.respond_json(503, {"error": "down"})


@router.route("POST", "/streams/<name>")
def append(
    service: PlatformService, request: web.IncomingRequest, name: str
) -> None:
    """Append a batch."""
    records = cbor2.loads(request.body)
    if service.take_fault("drop_appends"):
        return
    if service.take_fault("late_appends"):
        seconds = float(service.faults.get("late_by", 1))
        service.timers.call_later(seconds, service.append, name, records)
        return
    offset = service.append(name, records)
    if service.take_fault("lose_answers"):
        return
    service.later(
        "append_delay", request.respond_json, 200, {"offset": offset}
    )


@router.route("GET", "/streams/<name>")
def read(
    service: PlatformService, request: web.IncomingRequest, name: str
) -> None:
    """Read a page, waiting for it if asked to."""
    stream = service.stream(name)
    offset = int(request.query.get("from", "0"))
    limit = int(request.query.get("limit", "1000"))
    wait = min(float(request.query.get("wait", "0")), MAX_WAIT_SECONDS)
    reader = _Reader(request, stream, offset, limit)
    if offset < stream.next or wait <= 0:
        service.later("read_delay", reader.answer)
        return
    stream.waiting.append(reader)
    reader.timer = service.timers.call_later(wait, reader.answer)
    request.on_disconnect = lambda: (
        stream.waiting.remove(reader) if reader in stream.waiting else None
    )


@router.route("GET", "/vms")
def list_vms(service: PlatformService, request: web.IncomingRequest) -> None:
    """Serve the list of VMs."""
    request.respond(200, service.list_vms(), "application/json")


@router.route("PUT", "/vms/<vm>")
def put_vm(
    service: PlatformService, request: web.IncomingRequest, vm: str
) -> None:
    """Put a VM on the list, for tests and the demo."""
    service.entry_by_vm[vm] = {"vm": vm} | json.loads(request.body)
    request.respond_json(200, service.entry_by_vm[vm])


@router.route("DELETE", "/vms/<vm>")
def delete_vm(
    service: PlatformService, request: web.IncomingRequest, vm: str
) -> None:
    """Take a VM off the list."""
    service.entry_by_vm.pop(vm, None)
    request.respond_json(200, {})


@router.route("GET", "/statistics")
def statistics(service: PlatformService, request: web.IncomingRequest) -> None:
    """Tell how much was appended."""
    request.respond_json(
        200,
        {
            "appends": service.appends,
            "next_by_stream": {
                name: stream.next
                for name, stream in service.stream_by_name.items()
            },
        },
    )
