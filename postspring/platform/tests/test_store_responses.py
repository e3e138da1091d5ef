"""Responses of the store without an end, and the longest permitted ones."""

import base64
import json
import struct
import threading

from postspring import keyedlog
from postspring.platform import store
from postspring.platform import store_limits
from postspring.transport.tests import test_endless_responses

PLACE = keyedlog.LogPlace(keyedlog.Subject.MEMBERS, 0)
RECORD_BYTES = 100_000
NEWEST_BYTES = 4_000_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


class StoreCase(test_endless_responses.EndlessCase):
    """A client of a store that the test scripts."""

    def setUp(self):
        super().setUp()
        self.results = []
        self.client = store.Store(
            self.http,
            self.address,
            24,
            limits=store_limits.StoreLimits(RECORD_BYTES, NEWEST_BYTES),
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
            most = (
                self.client.limits.page + test_endless_responses.KERNEL_BYTES
            )
            self.assertLess(self.sent_bytes, most)


class ShortRecordsTest(StoreCase):
    """Pages with far more records than their bytes suggest."""

    # Guards against objects that take many times the bytes of a page.
    def test_page_is_read_in_parts(self):
        count = 200_000
        packed = store.pack_records([keyedlog.LogEntry("", b"")] * count)
        body = struct.pack(">QQ", count, 0) + packed
        self.serve(HEAD % len(body) + body)
        self.client.read(PLACE, 0, self.results.append, self.results.append)
        page = self.wait_for_result()
        self.assertEqual(store.MAX_PAGE_RECORDS, len(page.entries))
        self.assertEqual(store.MAX_PAGE_RECORDS, page.next)
        self.assertEqual(count, page.end)


class NewestPagesTest(StoreCase):
    """Pages of newest records that go on and on."""

    def serve_pages(self, page_of):
        """Answer each request with ``page_of`` its number; count them."""
        self.asked = 0

        def run():
            connection, _peer = self.listening.accept()
            with connection:
                while self.asked < 1000 and connection.recv(65536):
                    document = {"more_pages": True, "end": 10**9}
                    document |= page_of(self.asked)
                    body = json.dumps(document).encode()
                    self.asked += 1
                    connection.sendall(HEAD % len(body) + body)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5)

    def read_newest(self):
        """Read the newest records; return the result."""
        take = self.results.append
        self.client.read_newest(PLACE, take, take)
        return self.wait_for_result()

    # Guards against a store that is asked for the same page for ever.
    def test_page_without_another_key(self):
        item = {"key": "k", "value": "", "offset": 1}
        self.serve_pages(lambda number: {"items": [item]})
        self.assertEqual("repeated_page", self.read_newest().reason)
        self.assertEqual(2, self.asked)

    # Guards against a VM that keeps records until its memory is full.
    def test_pages_without_an_end(self):
        value = base64.b64encode(b"x" * RECORD_BYTES).decode()
        self.serve_pages(
            lambda number: {
                "items": [
                    {"key": f"{number}/{part}", "value": value, "offset": 1}
                    for part in range(10)
                ]
            }
        )
        self.assertEqual("too_many_records", self.read_newest().reason)
        self.assertEqual(4, self.asked)

    def test_all_pages_are_read(self):
        self.serve_pages(
            lambda number: {
                "items": [{"key": f"k{number}", "value": "", "offset": 9}],
                "more_pages": number < 99,
            }
        )
        self.assertEqual(100, len(self.read_newest().entries))

    # A record may change between two pages, which are not a snapshot.
    def test_newest_record_of_a_key_is_kept(self):
        items = [
            [
                {"key": "a", "value": "Mg==", "offset": 2},
                {"key": "b", "value": "MQ==", "offset": 1},
            ],
            [
                {"key": "b", "value": "Mw==", "offset": 3},
                {"key": "c", "value": "NA==", "offset": 4},
            ],
        ]
        self.serve_pages(
            lambda number: {"items": items[number], "more_pages": not number}
        )
        entries = [("a", b"2"), ("b", b"3"), ("c", b"4")]
        self.assertEqual(entries, self.read_newest().entries)

    # Guards against a list that can't be read, or passed on to other VMs, as
    # long as one of its keys isn't UTF-8.
    def test_key_that_is_not_utf8(self):
        self.serve_pages(
            lambda number: {
                "items": [
                    {"key": f"{number}\ud800", "value": "", "offset": number}
                ],
                "more_pages": not number,
            }
        )
        keys = [key for key, _value in self.read_newest().entries]
        self.assertEqual(["0\ufffd", "1\ufffd"], keys)
