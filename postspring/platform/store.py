"""The platform's store: a log with keyed topics, over HTTP.

Numbers in its answers are big-endian; bodies of appends and reads are raw
records, everything else is JSON.
"""

import base64
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import json
import struct
import urllib.parse

from postspring import errors
from postspring import keyedlog
from postspring.platform import names
from postspring import transport

__all__ = ["Store", "pack_records", "unpack_records"]

# Answers take 4 ms, and up to 60 times that while the store is slow.
APPEND_TIMEOUT_SECONDS = 1.2
READ_TIMEOUT_SECONDS = 1.2
CONNECT_TIMEOUT_SECONDS = 0.5
# Above a slow answer, and before another way is tried (0.3 s), so that the
# next try does not meet another connection that is silent.
SILENT_SECONDS = 0.28
# Bytes of records that one read asks for, in KiB.
READ_KB = 1024
# Told to another VM when its call had no answer.
NO_ANSWER_STATUS = 502

# What reading an answer of another form ends in.
_BAD_ANSWER_ERRORS = (
    AttributeError,
    LookupError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
    struct.error,
)
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_CONTENT_TYPE = ("Content-Type", "application/octet-stream")


def pack_records(entries: Sequence[keyedlog.LogEntry]) -> bytes:
    """Return keyed records in the store's format.

    Examples
    --------
    >>> pack_records([keyedlog.LogEntry("k", b"v")])
    b'\\x00\\x00\\x00\\x03\\x01kv'
    """
    parts = []
    for entry in entries:
        key = entry.key.encode()
        content = bytes([len(key)]) + key + entry.value
        parts.append(_LENGTH.pack(len(content)) + content)
    return b"".join(parts)


def unpack_records(data: bytes) -> list[keyedlog.LogEntry]:
    """Return the keyed records in ``data``.

    Raises
    ------
    LogUnavailable
        If a record is cut off.

    Examples
    --------
    >>> unpack_records(b"\\x00\\x00\\x00\\x03\\x01kv")
    [LogEntry(key='k', value=b'v')]
    """
    entries = []
    position = 0
    while position < len(data):
        start = position + _LENGTH.size
        if start > len(data):
            raise keyedlog.LogUnavailable("cut_record")
        (length,) = _LENGTH.unpack_from(data, position)
        position = start + length
        if position > len(data) or not length:
            raise keyedlog.LogUnavailable("cut_record")
        content = data[start:position]
        split = 1 + content[0]
        key = content[1:split].decode("utf-8", "replace")
        entries.append(keyedlog.LogEntry(key, content[split:]))
    return entries


class Store(keyedlog.KeyedLog):
    """The one client of the platform's store.

    Parameters
    ==========

    http : HttpClient
        Carries the calls.
    address : tuple of (str, int)
        The store's.
    partitions : int
        Partitions of each topic.
    on_call : callable, optional
        Told the name and the outcome of every call, for counters.
    path_prefix : str
        Stands before each path, for calls that another VM passes on.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        address: tuple[str, int],
        partitions: int,
        on_call: Callable[[str, str], None] = lambda name, outcome: None,
        path_prefix: str = "",
    ):
        self._path_prefix = path_prefix
        self._http = http
        self._address = address
        self._partitions = partitions
        self._on_call = on_call

    def move_to(self, address: tuple[str, int]) -> None:
        """Call the store at another address from now on."""
        self._address = address

    def append(self, place, entries, on_done, on_error) -> None:
        """Append records, all or none."""
        path = self._path(names.LOG_APPEND_PATH, place)
        request = self._request(
            "POST", path, APPEND_TIMEOUT_SECONDS, pack_records(entries)
        )

        def answered(body: bytes) -> None:
            on_done(int(json.loads(body)["offset"]))

        self._call("append", request, answered, on_error)

    def read(self, place, start, on_page, on_error, wait=0.0) -> None:
        """Read records from an offset."""
        path = self._path(
            names.LOG_READ_PATH,
            place,
            {
                "from": start,
                "max_kb": READ_KB,
                "wait_ms": round(wait * 1000),
            },
        )
        request = self._request("GET", path, READ_TIMEOUT_SECONDS + wait)
        request = dataclasses.replace(
            request, silent_after=SILENT_SECONDS + wait
        )

        def answered(body: bytes) -> None:
            end, first = _OFFSETS.unpack_from(body)
            if start < first:
                raise keyedlog.LogExpired(f"{start} is before {first}")
            entries = unpack_records(body[_OFFSETS.size :])
            next_offset = start + len(entries)
            known_after = 0.0 if entries else wait
            on_page(keyedlog.LogPage(entries, next_offset, end, known_after))

        self._call("read", request, answered, on_error)

    def read_newest(self, place, on_page, on_error) -> None:
        """Read the newest record of each key, page by page."""
        _NewestRead(self, place, on_page, on_error).start()

    def call_newest(
        self,
        place: keyedlog.LogPlace,
        after: str,
        on_answer: Callable[[dict], None],
        on_error: Callable[[keyedlog.KeyedLogError], None],
    ) -> None:
        """Read one page of the newest records, behind a key."""
        query = {"after": after} if after else {}
        path = self._path(names.LOG_NEWEST_PATH, place, query)
        request = self._request("GET", path, READ_TIMEOUT_SECONDS)
        self._call(
            "newest",
            request,
            lambda body: on_answer(json.loads(body)),
            on_error,
        )

    def pass_on(
        self,
        method: str,
        path: str,
        body: bytes,
        on_answer: Callable[[int, bytes], None],
    ) -> None:
        """Make another VM's call; status 502 if there is no answer."""
        request = self._request(method, path, READ_TIMEOUT_SECONDS, body)
        collector = transport.AnswerCollector(
            on_answer, lambda error: on_answer(NO_ANSWER_STATUS, b"")
        )
        self._http.send(request, collector)

    # -- own ------------------------------------------------------------------

    def _path(
        self, path: str, place: keyedlog.LogPlace, query: dict | None = None
    ) -> str:
        topic, part = self._topic(place)
        values = {"topic": topic, "part": part, **(query or {})}
        query_text = urllib.parse.urlencode(values)
        return f"{self._path_prefix}{path}?{query_text}"

    def _topic(self, place: keyedlog.LogPlace) -> tuple[str, int]:
        if place.subject is keyedlog.Subject.CONFIGURATION:
            return names.OPERATOR_TOPIC, 0
        if place.subject is keyedlog.Subject.UPSTREAMS:
            return names.SERVERS_TOPIC, 0
        if place.subject is keyedlog.Subject.MEMBERS:
            return names.MEMBERS_TOPIC, 0
        number, part = divmod(place.partition, self._partitions)
        if place.subject is keyedlog.Subject.LOCATIONS:
            return names.LOCATIONS_TOPIC, part
        return names.PROGRAMS_TOPIC.format(number=number), part

    def _request(
        self, method: str, path: str, timeout: float, body: bytes = b""
    ) -> transport.HttpRequest:
        return transport.HttpRequest(
            address=self._address,
            method=method,
            path=path,
            body=body,
            headers=(_CONTENT_TYPE,) if body else (),
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            timeout=timeout,
            silent_after=SILENT_SECONDS,
        )

    def _call(self, name, request, on_answer, on_error) -> None:
        """Make a call; turn what goes wrong into the log's errors."""

        def fail(error: keyedlog.KeyedLogError) -> None:
            self._on_call(name, getattr(error, "reason", "expired"))
            on_error(error)

        def answered(status: int, body: bytes) -> None:
            if status == 410:
                fail(keyedlog.LogExpired("the records expired"))
                return
            if status == 429:
                fail(keyedlog.LogBusy("status_429"))
                return
            if status != 200:
                fail(keyedlog.LogUnavailable(f"status_{status}"))
                return
            try:
                on_answer(body)
            except keyedlog.KeyedLogError as error:
                fail(error)
            except _BAD_ANSWER_ERRORS:
                fail(keyedlog.LogUnavailable("bad_answer"))
            else:
                self._on_call(name, "ok")

        def failed(error: errors.TransportError) -> None:
            reason = "no_answer" if error.sent else "no_connection"
            fail(keyedlog.LogUnavailable(reason))

        self._http.send(request, transport.AnswerCollector(answered, failed))


class _NewestRead:
    """All pages of the newest records of a partition.

    Pages are no snapshot: reading goes on from the end that the first page
    named, so that nothing in between is missed.
    """

    def __init__(self, store: Store, place, on_page, on_error):
        self._store = store
        self._place = place
        self._on_page = on_page
        self._on_error = on_error
        self._items: list[tuple[int, keyedlog.LogEntry]] = []
        self._end: int | None = None

    def start(self, after: str = "") -> None:
        """Read the page behind a key."""
        self._store.call_newest(
            self._place, after, self._answered, self._on_error
        )

    def _answered(self, answer: dict) -> None:
        if self._end is None:
            self._end = int(answer["end"])
        key = ""
        for item in answer["items"]:
            key = item["key"]
            if not isinstance(key, str):
                raise TypeError("a key is no text")
            value = base64.b64decode(item["value"] or "")
            entry = keyedlog.LogEntry(key, value)
            self._items.append((int(item["offset"]), entry))
        if answer.get("more_pages") and key:
            self.start(key)
            return
        self._items.sort(key=lambda pair: pair[0])
        entries = [entry for offset, entry in self._items]
        self._on_page(keyedlog.LogPage(entries, self._end, self._end))
