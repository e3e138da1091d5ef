"""Messages between VMs, by kind, at several numbers of VMs.

Guards against a kind of message of which each VM gets more, the more VMs there
are: at 970 VMs it would take the VM's processor time and its link.  Kinds that
grow today are bounded by their present growth.
"""

import collections
import functools
import unittest

from postspring import peering
from postspring.peering import loads
from postspring.peering import messages
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module
from postspring import upstreams

DATA_CENTERS = 3
UPSTREAMS = 23
HOP_SECONDS = 0.002
# Longer than the time in which VMs that start read the list.
START_SECONDS = 12.0
SECONDS = 20.0


class CountedHttp:
    """Delivers loads from VM to VM, and counts them.

    Parameters
    ==========

    exchange_by_address : dict
        Filled by the test.
    """

    def __init__(self, clock, counts, exchange_by_address):
        self._clock = clock
        self._counts = counts
        self._exchange_by_address = exchange_by_address

    def send(self, request, listener):
        """Deliver a request after a hop, and its response after another."""
        report = messages.decode(messages.LoadsReport, request.body)
        kind = "sum" if report.is_data_center else "report"
        self._counts[kind] += 1
        self._counts[f"{kind} bytes"] += len(request.body)
        self._counts["received", request.address] += 1

        def arrive():
            exchange = self._exchange_by_address[request.address]
            body = messages.encode(exchange.answer(report))
            self._counts[f"{kind} response bytes"] += len(body)
            self._clock.call_later(HOP_SECONDS, answer, body)

        def answer(body):
            listener.head(200, {})
            listener.data(body)
            listener.end()

        self._clock.call_later(HOP_SECONDS, arrive)


class CountedLog(memory_log.MemoryLog):
    """A log that counts what its VM reads of the list of VMs."""

    def __init__(self, data, timers, counts):
        super().__init__(data, timers)
        self._counts = counts

    def append(self, place, entries, on_done, on_error):
        """Count an append."""
        self._counts["list appends"] += 1
        super().append(place, entries, on_done, on_error)

    def read(self, place, start, on_page, on_error, wait=0.0):
        """Count a read and the entries of its response."""
        self._counts["list reads"] += 1
        super().read(
            place, start, functools.partial(self._count, on_page), on_error
        )

    def read_newest(self, place, on_page, on_error):
        """Count a read of all entries."""
        self._counts["list reads"] += 1
        super().read_newest(
            place, functools.partial(self._count, on_page), on_error
        )

    def _count(self, on_page, page):
        self._counts["list entries"] += len(page.entries)
        self._counts["list bytes"] += sum(
            len(entry.key) + len(entry.value) for entry in page.entries
        )
        on_page(page)


def count_messages(vms: int, is_busy: bool = True) -> dict:
    """Return the messages and bytes of VMs, a VM and second, by kind.

    Parameters
    ----------
    is_busy : bool
        Whether each VM has calls at some upstreams; else none has any.
    """
    clock = clock_module.VirtualClock()
    data = memory_log.LogData()
    counts: collections.Counter = collections.Counter()
    exchange_by_address: dict = {}
    for number in range(vms):
        name = f"vm{number}"
        timers = clock_module.VirtualTimers(
            clock, clock_module.VirtualProcess(name)
        )
        own = peering.Member(
            name,
            f"{name}/{number:016x}",
            f"d{number % DATA_CENTERS}",
            (f"10.0.{number // 250}.{number % 250}", 1),
            (f"10.0.{number // 250}.{number % 250}", 2),
        )
        members = peering.Members(
            CountedLog(data, timers, counts), timers, own
        )
        directory = upstreams.Directory(timers.now)
        for engine in range(UPSTREAMS):
            entry = upstreams.Announcement(
                upstreams.UpstreamId(f"u{engine}"), "s", ("u", engine)
            )
            directory.announce(entry)
            is_used = is_busy and (engine + number) % 5 == 0
            directory.by_id[entry.id].in_flight = int(is_used)
        exchange = peering.LoadExchange(
            CountedHttp(clock, counts, exchange_by_address),
            timers,
            members,
            directory,
        )
        exchange_by_address[own.peers] = exchange
        # VMs do not start at the same moment.
        clock.call_later(0.013 * number, members.start)
        clock.call_later(0.013 * number, exchange.start)
    clock.run_for(START_SECONDS)
    counts.clear()
    clock.run_for(SECONDS)
    received = [
        counts.pop(key) for key in list(counts) if isinstance(key, tuple)
    ]
    found = {kind: count / vms / SECONDS for kind, count in counts.items()}
    found["received at most"] = max(received, default=0) / SECONDS
    return found


class MessageCountsTest(unittest.TestCase):
    """Busy and idle VMs: 6, 30 and 60 of them."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.by_vms = {vms: count_messages(vms) for vms in (6, 30, 60)}

    def test_each_vm_sends_as_many_reports_at_any_size(self):
        limit = 1.0 / loads.REPORT_INTERVAL_SECONDS
        for vms, found in self.by_vms.items():
            self.assertLessEqual(found["report"], limit, vms)

    # Each collector sends one to each other data centre.
    def test_sums_depend_on_the_data_centres_only(self):
        for vms, found in self.by_vms.items():
            total = found["sum"] * vms
            expected = (
                DATA_CENTERS
                * (DATA_CENTERS - 1)
                / loads.REPORT_INTERVAL_SECONDS
            )
            self.assertLessEqual(total, 1.01 * expected, vms)

    def test_response_grows_with_the_upstreams_in_use_only(self):
        small, large = (
            self.by_vms[vms]["report response bytes"]
            / self.by_vms[vms]["report"]
            for vms in (30, 60)
        )
        self.assertLess(large, 1.1 * small)

    def test_calls_to_the_list_do_not_grow(self):
        for vms, found in self.by_vms.items():
            self.assertLessEqual(found["list appends"], 0.21, vms)
            self.assertLessEqual(found["list reads"], 0.21, vms)

    # Grows: one collector has all reports of its data centre.
    def test_collector_gets_five_reports_from_each_vm(self):
        for vms, found in self.by_vms.items():
            vms_here = vms / DATA_CENTERS - 1
            sources = vms_here + DATA_CENTERS - 1
            limit = 1.05 * sources / loads.REPORT_INTERVAL_SECONDS
            self.assertLessEqual(found["received at most"], limit, vms)

    # Grows: each VM reads the renewal of each other one.
    def test_list_has_one_renewal_of_each_vm_in_five_seconds(self):
        for vms, found in self.by_vms.items():
            self.assertLessEqual(found["list entries"], 1.1 * vms / 5.0, vms)

    def test_idle_vms_exchange_no_loads(self):
        found = count_messages(30, is_busy=False)
        self.assertNotIn("report", found)
        self.assertNotIn("sum", found)
        self.assertEqual(0, found["received at most"])
