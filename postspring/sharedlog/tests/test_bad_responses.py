"""Responses of the log that can't be decoded, or don't end."""

import cbor2

from postspring import errors
from postspring.sharedlog import log_client
from postspring.sharedlog import tail
from postspring.sharedlog import vm_list
from postspring.transport.tests import test_endless_responses

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
BAD_BODIES = (
    b"",
    b"\xff",
    b"[" * 10_000,
    b"\x81" * 10_000,
    cbor2.dumps([]),
    cbor2.dumps({"first": 0, "next": 0, "records": [[1]]}),
    cbor2.dumps({"first": float("inf"), "next": 0, "records": []}),
)


class BadResponseTest(test_endless_responses.EndlessCase):
    """Each call ends once, whatever the response is."""

    def setUp(self):
        super().setUp()
        self.results = []
        self.client = log_client.LogClient(self.http, self.address)

    def calls(self):
        """Functions that make one call each."""
        take = self.results.append
        return (
            lambda: self.client.append("s", [], take, take),
            lambda: self.client.read("s", 0, 0.0, take, take),
        )

    # Guards against a follower that waits for ever for a bad page.
    def test_call_ends_once_with_an_error(self):
        for call in self.calls():
            for body in BAD_BODIES:
                with self.subTest(body=body[:9]):
                    self.serve(HEAD % len(body) + body)
                    call()
                    self.run_loop_until(lambda: self.results)
                    self.run_loop()
                    (result,) = self.results
                    self.results.clear()
                    self.assertIsInstance(result, errors.PlatformError)

    def test_tail_reads_on_after_a_bad_page(self):
        good = cbor2.dumps({"first": 0, "next": 0, "records": []})
        self.serve(HEAD % 1 + b"\xff", HEAD % len(good) + good)
        pages = []
        follower = tail.StreamTail(
            self.client,
            "s",
            self.timers,
            pages.append,
            lambda is_well: None,
            lambda: 0,
        )
        follower.start()
        self.run_loop_until(lambda: pages)
        follower.close()

    # Guards against a process that exceeds its memory by one list.
    def test_list_of_vms_without_an_end(self):
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.serve_endless(start, b"10000\r\n%065536d\r\n" % 0)
        vms = vm_list.VmList(
            self.http, self.address, self.timers, lambda: None
        )
        vms.start()
        self.run_loop_until(lambda: self.was_closed.is_set())
        self.assertLessEqual(len(vms._body), vm_list.MAX_LIST_BYTES)
        vms.close()
