"""Client of the platform's store: a log with keyed topics, over HTTP.

Bodies of appends and reads are binary records with big-endian numbers; all
other bodies are JSON.
"""

import base64
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import json
import re
import struct
import urllib.parse

from postspring import errors
from postspring import keyedlog
from postspring.platform import names
from postspring.platform import store_limits
from postspring import transport

__all__ = ["Store", "pack_records", "unpack_records"]

# Responses take 4 ms, and up to 60 times that while the store is slow. An
# append may wait for 2 s behind others of its partition.
APPEND_TIMEOUT_SECONDS = 2.5
READ_TIMEOUT_SECONDS = 1.2
CONNECT_TIMEOUT_SECONDS = 0.5
# Longer than a slow response, and shorter than the delay before the next
# attempt (0.3 s), so that it does not reuse another unresponsive connection.
SILENT_SECONDS = 0.28
# Records of a page that are decoded; the next read begins behind them.
# Objects of short records take many times their bytes.
MAX_PAGE_RECORDS = 32_768
# Bytes of the objects of a record that is kept.
RECORD_OBJECT_BYTES = 256
# Returned to another VM when its relayed call got no response.
BAD_GATEWAY = 502

# Errors that decoding a malformed response can raise.
_INVALID_RESPONSE_ERRORS = (
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
_SURROGATE = re.compile("[\ud800-\udfff]")
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


def unpack_records(
    data: bytes, max_records: int | None = None
) -> list[keyedlog.LogEntry]:
    """Return the keyed records in ``data``, the first ones of many.

    Raises
    ------
    LogUnavailable
        If a record is truncated.

    Examples
    --------
    >>> unpack_records(b"\\x00\\x00\\x00\\x03\\x01kv")
    [LogEntry(key='k', value=b'v')]
    """
    entries = []
    position = 0
    while position < len(data) and len(entries) != max_records:
        start = position + _LENGTH.size
        if start > len(data):
            raise keyedlog.LogUnavailable("cut_record")
        (length,) = _LENGTH.unpack_from(data, position)
        position = start + length
        if position > len(data) or not length:
            raise keyedlog.LogUnavailable("cut_record")
        content = data[start:position]
        key_end = 1 + content[0]
        key = content[1:key_end].decode("utf-8", "replace")
        entries.append(keyedlog.LogEntry(key, content[key_end:]))
    return entries


class Store(keyedlog.KeyedLog):
    """Client of the platform's store.

    Parameters
    ==========

    http : HttpClient
        Sends the calls.
    address : tuple of (str, int)
        IP address and port of the store.
    partitions : int
        Number of partitions of each topic.
    on_call : callable, optional
        Called with the name and the outcome of every call, for metrics.
    path_prefix : str
        Prefix of each path, for calls that another VM relays.
    limits : StoreLimits
        Limits of the store's responses.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        address: tuple[str, int],
        partitions: int,
        on_call: Callable[[str, str], None] = lambda name, outcome: None,
        path_prefix: str = "",
        limits: store_limits.StoreLimits = store_limits.StoreLimits(),
    ):
        self.limits = limits
        self._path_prefix = path_prefix
        self._http = http
        self._address = address
        self._partitions = partitions
        self._on_call = on_call

    @property
    def address(self) -> tuple[str, int]:
        """Address to which calls are sent."""
        return self._address

    def set_address(self, address: tuple[str, int]) -> None:
        """Send all further calls to another address."""
        self._address = address

    def via(self, address: tuple[str, int], path_prefix: str) -> "Store":
        """Return a client whose calls the VM at an address relays."""
        return Store(
            self._http,
            address,
            self._partitions,
            path_prefix=path_prefix,
            limits=self.limits,
        )

    def append(self, place, entries, on_done, on_error) -> None:
        """Append records atomically."""
        path = self._path(names.LOG_APPEND_PATH, place)
        request = self._request(
            "POST", path, APPEND_TIMEOUT_SECONDS, pack_records(entries)
        )
        request = dataclasses.replace(
            request, max_response_bytes=self.limits.append
        )

        def on_body(body: bytes) -> None:
            on_done(int(json.loads(body)["offset"]))

        self._call("append", request, on_body, on_error)

    def read(self, place, start, on_page, on_error, wait=0.0) -> None:
        """Read records from an offset."""
        path = self._path(
            names.LOG_READ_PATH,
            place,
            {
                "from": start,
                "max_kb": store_limits.READ_KIBIBYTES,
                "wait_ms": round(wait * 1000),
            },
        )
        request = self._request("GET", path, READ_TIMEOUT_SECONDS + wait)
        request = dataclasses.replace(
            request,
            silent_after=SILENT_SECONDS + wait,
            is_prompt=request.is_prompt and not wait,
        )

        def on_body(body: bytes) -> None:
            end, first = _OFFSETS.unpack_from(body)
            if start < first:
                raise keyedlog.LogExpired(
                    f"offset {start} is before the first offset {first}"
                )
            entries = unpack_records(body[_OFFSETS.size :], MAX_PAGE_RECORDS)
            next_offset = start + len(entries)
            known_after = 0.0 if entries else wait
            on_page(keyedlog.LogPage(entries, next_offset, end, known_after))

        self._call("read", request, on_body, on_error)

    def read_newest(self, place, on_page, on_error) -> None:
        """Read the newest record of each key, as one page by offset."""
        _NewestRecordsRead(self, place, on_page, on_error).start()

    def read_newest_page(
        self,
        place: keyedlog.LogPlace,
        after: str,
        on_document: Callable[[dict], None],
        on_error: Callable[[keyedlog.KeyedLogError], None],
    ) -> None:
        """Read one page of the newest records, after the key ``after``."""
        query = {"after": after} if after else {}
        path = self._path(names.LOG_NEWEST_PATH, place, query)
        request = self._request("GET", path, READ_TIMEOUT_SECONDS)
        self._call(
            "newest",
            request,
            lambda body: on_document(json.loads(body)),
            on_error,
        )

    def relay_call(
        self,
        method: str,
        path: str,
        body: bytes,
        on_response: Callable[[int, bytes], None],
    ) -> None:
        """Relay a call of another VM; status 502 if there is no response."""
        timeout = APPEND_TIMEOUT_SECONDS if body else READ_TIMEOUT_SECONDS
        request = self._request(method, path, timeout, body)
        collector = transport.ResponseCollector(
            on_response, lambda error: on_response(BAD_GATEWAY, b"")
        )
        self._http.send(request, collector)

    # -- own ------------------------------------------------------------------

    def _path(
        self, path: str, place: keyedlog.LogPlace, query: dict | None = None
    ) -> str:
        topic, part = self._topic_and_part(place)
        values = {"topic": topic, "part": part, **(query or {})}
        # A key that isn't UTF-8 may have lone surrogates in JSON.
        query_text = urllib.parse.urlencode(values, errors="surrogatepass")
        return f"{self._path_prefix}{path}?{query_text}"

    def _topic_and_part(self, place: keyedlog.LogPlace) -> tuple[str, int]:
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
            max_response_bytes=self.limits.page,
            # Another VM responds only when the store has.
            is_prompt=not self._path_prefix,
        )

    def _call(self, name, request, on_body, on_error) -> None:
        """Send a call; report failures as errors of the keyed log."""

        def report_error(error: keyedlog.KeyedLogError) -> None:
            self._on_call(name, getattr(error, "reason", "expired"))
            on_error(error)

        def on_response(status: int, body: bytes) -> None:
            if status == 410:
                report_error(keyedlog.LogExpired("the records expired"))
                return
            if status == 429:
                report_error(keyedlog.LogBusy("status_429"))
                return
            if status == 503 and name == "append":
                report_error(keyedlog.LogOverloaded("status_503"))
                return
            if status != 200:
                report_error(keyedlog.LogUnavailable(f"status_{status}"))
                return
            try:
                on_body(body)
            except keyedlog.KeyedLogError as error:
                report_error(error)
            except _INVALID_RESPONSE_ERRORS:
                report_error(keyedlog.LogUnavailable("bad_answer"))
            else:
                self._on_call(name, "ok")

        def on_transport_error(error: errors.TransportError) -> None:
            reason = "no_answer" if error.sent else "no_connection"
            report_error(keyedlog.LogUnavailable(reason))

        self._http.send(
            request,
            transport.ResponseCollector(on_response, on_transport_error),
        )


def _encodable(key: str) -> str:
    """Return a key with lone surrogates replaced, as reads return it.

    Examples
    --------
    >>> _encodable("a\\ud800") == "a\\ufffd"
    True
    """
    return _SURROGATE.sub("\ufffd", key)


class _NewestRecordsRead:
    """Reads all pages of the newest records of a partition.

    The pages are not a snapshot.  The caller continues reading from the end
    offset in the first page, so that later records are not missed.
    """

    def __init__(self, store: Store, place, on_page, on_error):
        self._store = store
        self._place = place
        self._on_page = on_page
        self._on_error = on_error
        self._item_by_key: dict[str, tuple[int, keyedlog.LogEntry]] = {}
        self._bytes = 0
        self._end: int | None = None

    def start(self, after: str = "") -> None:
        """Read the page after the key ``after``, or the first one."""
        self._store.read_newest_page(
            self._place, after, self._on_page_read, self._on_error
        )

    def _on_page_read(self, document: dict) -> None:
        if self._end is None:
            self._end = int(document["end"])
        key = ""
        count_before = len(self._item_by_key)
        for item in document["items"]:
            key = item["key"]
            if not isinstance(key, str):
                raise TypeError("a key is not a string")
            value = base64.b64decode(item["value"] or "")
            entry = keyedlog.LogEntry(_encodable(key), value)
            self._add(int(item["offset"]), entry)
        is_new = len(self._item_by_key) > count_before
        if document.get("more_pages") and key:
            if not is_new:
                raise keyedlog.LogUnavailable("repeated_page")
            self.start(key)
            return
        items = sorted(self._item_by_key.values(), key=lambda pair: pair[0])
        entries = [entry for offset, entry in items]
        self._on_page(keyedlog.LogPage(entries, self._end, self._end))

    def _add(self, offset: int, entry: keyedlog.LogEntry) -> None:
        """Keep a record unless a newer one of its key is kept."""
        known = self._item_by_key.get(entry.key)
        if known is not None and known[0] > offset:
            return
        self._item_by_key[entry.key] = (offset, entry)
        self._bytes += RECORD_OBJECT_BYTES + len(entry.key) + len(entry.value)
        if self._bytes > self._store.limits.newest:
            raise keyedlog.LogUnavailable("too_many_records")
