"""Responses of the store without an end, and the longest permitted ones."""

import base64
import json
import struct
import threading

from postspring import keyedlog
from postspring.platform import store
from postspring.transport.tests import test_endless_responses

PLACE = keyedlog.LogPlace(keyedlog.Subject.MEMBERS, 0)
RECORD_BYTES = 100_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


class StoreCase(test_endless_responses.EndlessCase):
    """A client of a store that the test scripts."""

    def setUp(self):
        super().setUp()
        self.results = []
        self.client = store.Store(
            self.http, self.address, 24, record_bytes=RECORD_BYTES
        )

    def wait_for_result(self):
        """Run the loop until a call ends; return its result."""
        self.run_loop_until(lambda: self.results)
        (result,) = self.results
        self.results.clear()
        return result

    def calls(self):
        """Functions that make one call each."""
        take = self.results.append
        return (
            lambda: self.client.append(PLACE, [], take, take),
            lambda: self.client.read(PLACE, 0, take, take),
            lambda: self.client.read_newest(PLACE, take, take),
            lambda: self.client.relay_call(
                "GET", "/", b"", lambda status, body: take((status, body))
            ),
        )


class LongestPageTest(StoreCase):
    """Pages as long as the store's limits allow."""

    def test_last_record_begins_before_the_size_that_is_read(self):
        short = keyedlog.LogEntry("k", b"")
        long = keyedlog.LogEntry("k", b"x" * (RECORD_BYTES - 6))
        entries = [short] * 1000 + [long] * 11
        packed = store.pack_records(entries)
        self.assertGreater(len(packed), 1024 * 1024)
        body = struct.pack(">QQ", len(entries), 0) + packed
        self.serve(HEAD % len(body) + body)
        self.client.read(PLACE, 0, self.results.append, self.results.append)
        self.assertEqual(entries, self.wait_for_result().entries)

    def test_newest_records(self):
        value = base64.b64encode(b"x" * RECORD_BYTES).decode()
        items = [
            {"key": "\u20ac" * 80 + f"{number:03}", "offset": number}
            for number in range(500)
        ]
        for item in items:
            item["value"] = value if item["offset"] < 12 else ""
        document = {"items": items, "more_pages": False, "end": 500}
        body = json.dumps(document).encode()
        self.serve(HEAD % len(body) + body)
        take = self.results.append
        self.client.read_newest(PLACE, take, take)
        self.assertEqual(500, len(self.wait_for_result().entries))


class EndlessResponseTest(StoreCase):
    """A store whose responses don't end."""

    # Guards against a VM that exceeds its memory by what the store sends.
    def test_call_fails_and_closes_the_connection(self):
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for call in self.calls():
            self.sent_bytes = 0
            self.was_closed = threading.Event()
            self.serve_endless(start, b"10000\r\n%065536d\r\n" % 0)
            call()
            result = self.wait_for_result()
            if isinstance(result, keyedlog.LogUnavailable):
                self.assertEqual("no_answer", result.reason)
            else:
                self.assertEqual((502, b""), result)
            self.assertTrue(self.was_closed.wait(10))
            most = self.client._max_page_bytes + 2 * 1024 * 1024
            self.assertLess(
                self.sent_bytes, most + test_endless_responses.KERNEL_BYTES
            )
