"""The platform's store as an HTTP service, with faults."""

import base64
import json
import struct
import urllib.parse

from postspring import keyedlog
from postspring.platform import names
from postspring.platform import store as store_module
from postspring.testing.fleet import memory_log
from postspring import transport

__all__ = ["StoreService"]

LIMITS = transport.ServerLimits(body_bytes=64 * 1024 * 1024)
# Most records of a page of newest ones, and most bytes of their values.
NEWEST_RECORDS = 500
NEWEST_BYTES = 1024 * 1024
JSON_FIELDS = [("Content-Type", "application/json")]


class StoreService:
    """Serves a log in the platform's protocol.

    Explanation
    ===========

    ``refuse`` is a status with which calls are turned away, ``silent``
    leaves them unanswered, ``lose_answers`` appends are done and not
    answered.  ``too_large`` counts appends whose records or whose sum of
    records is above the bounds; they are refused.  An append takes
    ``append_seconds``, and a partition does one at a time; those whose
    caller is gone by then have not arrived.

    Parameters
    ==========

    parent : Component
        Whose loop it runs on.
    bind : tuple of (str, int)
        Where to listen; port 0 for a free one.
    """

    def __init__(
        self,
        parent,
        timers: transport.Timers,
        bind: tuple[str, int] = ("127.0.0.1", 0),
    ):
        self.data = memory_log.LogData()
        self.refuse = 0
        self.silent = False
        self.lose_answers = 0
        self.record_bytes = 262_144
        self.call_bytes = 2_097_152
        self.too_large = 0
        self.append_seconds = 0.0
        self._free_at_by_place: dict[tuple[str, int], float] = {}
        self.calls: list[str] = []
        self._timers = timers
        self._server = transport.HttpServer(timers, self._handle, LIMITS)
        self._server.listen(parent, bind, "store-service")

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self._server.address

    def put(self, topic: str, key: str, value: dict | None) -> None:
        """Write an operator's or an upstream's record."""
        data = b"" if value is None else json.dumps(value).encode()
        entry = keyedlog.LogEntry(key, data)
        self.data.append(_place(topic, 0), [entry])

    # -- calls ----------------------------------------------------------------

    def _handle(self, call: transport.IncomingCall) -> None:
        path, _, text = call.target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        self.calls.append(f"{path} {query.get('topic', '')}")
        if self.silent:
            return
        if self.refuse:
            call.respond(self.refuse, [])
            return
        place = _place(query["topic"], int(query["part"]))
        if path == names.LOG_APPEND_PATH:
            self._timers.call_later(
                self._wait_of(place), self._append, call, place
            )
        elif path == names.LOG_READ_PATH:
            self._read(call, place, query)
        elif path == names.LOG_NEWEST_PATH:
            self._newest(call, place, query)
        else:
            call.respond(404, [])

    def _wait_of(self, place) -> float:
        """Return the seconds until an append is done."""
        now = self._timers.now()
        free_at = max(now, self._free_at_by_place.get(place, now))
        self._free_at_by_place[place] = free_at + self.append_seconds
        return self._free_at_by_place[place] - now

    def _append(self, call, place) -> None:
        if call.gone:
            return
        entries = store_module.unpack_records(call.body)
        sizes = [len(store_module.pack_records([entry])) for entry in entries]
        if max(sizes) > self.record_bytes or sum(sizes) > self.call_bytes:
            self.too_large += 1
            call.respond(413, [])
            return
        first = self.data.append(place, entries)
        if self.lose_answers:
            self.lose_answers -= 1
            return
        answer = {"offset": first, "end": first + len(entries)}
        call.respond(200, JSON_FIELDS, json.dumps(answer).encode())

    def _read(self, call, place, query) -> None:
        start = int(query["from"])
        first = self.data.first_by_place.get(place, 0)
        if start < first:
            body = json.dumps({"first": first}).encode()
            call.respond(410, JSON_FIELDS, body)
            return
        records = self.data.records_by_place.get(place, [])
        wait = int(query.get("wait_ms", 0)) / 1000
        if start >= len(records) and wait > 0:
            query = query | {"wait_ms": str(int((wait - 0.02) * 1000))}
            self._timers.call_later(0.02, self._read, call, place, query)
            return
        head = struct.pack(">QQ", len(records), first)
        body = bytearray(head)
        for entry in records[start:]:
            if len(body) >= int(query.get("max_kb", 1024)) * 1024:
                break
            body += store_module.pack_records([entry])
        call.respond(200, [], bytes(body))

    def _newest(self, call, place, query) -> None:
        items = [
            {
                "key": entry.key,
                "value": base64.b64encode(entry.value).decode(),
                "offset": offset,
            }
            for offset, entry in self.data.newest(place)
        ]
        items.sort(key=lambda item: item["key"])
        after = query.get("after", "")
        items = [item for item in items if item["key"] > after]
        count = 0
        page_bytes = 0
        for item in items[:NEWEST_RECORDS]:
            if page_bytes >= NEWEST_BYTES:
                break
            page_bytes += len(item["value"])
            count += 1
        page, rest = items[:count], items[count:]
        end = len(self.data.records_by_place.get(place, ()))
        answer = {"items": page, "more_pages": bool(rest), "end": end}
        call.respond(200, JSON_FIELDS, json.dumps(answer).encode())


def _place(topic: str, part: int) -> tuple[str, int]:
    """Return a partition's key: here the topic's name is the subject."""
    return topic, part
