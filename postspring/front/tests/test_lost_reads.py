"""Records take effect within their bound although answers of reads are lost.

The pause between two reads, a read whose answer is lost, the pause after it
and the read that succeeds add up: they took 2.4 s where an upstream's leave
has a bound of 2.0 s, and 2.9 s with a long poll for the configuration.
"""

import itertools
import unittest

from postspring.front import configuration as configuration_module
from postspring.front import directory_updater
from postspring.front import followers
from postspring.front import upstream_follower
from postspring import keyedlog
from postspring import peering
from postspring.platform import settings as platform_settings
from postspring.platform import store
from postspring import routing
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module
from postspring import upstreams

BOUNDS = (2.0, 4.0, 6.0)
# Moments within a bound at which a record is written.
MOMENT_COUNT = 20
# Latency of the log while it is slow, according to the platform's page: sixty
# times 4 ms.
SLOW_SECONDS = 0.24
NOWHERE = ("127.0.0.1", 1)


class LossyLog(memory_log.MemoryLog):
    """Loses the answers of some reads of one partition.

    This includes reads in progress; each lost read ends with a time-out.
    """

    def __init__(self, data, timers):
        super().__init__(data, timers)
        self._faulty_place = None
        self._lost_answers_left = 0
        self._in_progress = {}
        self._refusals = []

    def lose(self, place, count):
        """Lose the next answers; reads in progress count as one."""
        self._faulty_place, self._lost_answers_left = place, count
        if count and self._in_progress.get(place):
            self._lost_answers_left -= 1
            for answer in self._in_progress[place]:
                answer.is_lost = True

    def refuse(self, place, errors):
        """Refuse the next reads, each with one of the errors."""
        self._faulty_place, self._refusals = place, list(errors)

    def read(self, place, start, on_page, on_error, wait=0.0):
        """Read, fail with an error, or end with a time-out."""
        if place == self._faulty_place and self._refusals:
            error = self._refusals.pop()
            self._timers.call_later(self.faults.latency, on_error, error)
            return
        answer = _Answer(self._timers, on_page, on_error, wait)
        if place == self._faulty_place and self._lost_answers_left:
            self._lost_answers_left -= 1
            answer.is_lost = True
        in_progress = self._in_progress.setdefault(place, set())
        in_progress.add(answer)
        answer.on_end = lambda: in_progress.discard(answer)
        super().read(place, start, answer.deliver, on_error, wait)


class _Answer:
    """Delivers the answer of one read, or loses it."""

    def __init__(self, timers, on_page, on_error, wait):
        self._on_page = on_page
        self._on_error = on_error
        self.is_lost = False
        self.on_end = None
        timers.call_later(store.READ_TIMEOUT_SECONDS + wait, self._give_up)

    def deliver(self, page):
        """Deliver the answer unless it is lost."""
        if not self.is_lost and self.on_end is not None:
            self._end()
            self._on_page(page)

    def _give_up(self):
        if self.on_end is not None:
            self._end()
            self._on_error(keyedlog.LogUnavailable("no_answer"))

    def _end(self):
        self.on_end()
        self.on_end = None


class LostReadTest(unittest.TestCase):
    """Reads of a VM that has no other VM as a helper."""

    slow_seconds = SLOW_SECONDS

    def start(self, bound):
        """Start a VM that has read an upstream and a configuration."""
        self.clock = clock_module.VirtualClock()
        self.timers = clock_module.VirtualTimers(
            self.clock, clock_module.VirtualProcess("vm")
        )
        self.data = memory_log.LogData()
        self.direct = LossyLog(self.data, self.timers)
        log = peering.FailoverLog(
            self.direct, lambda member: None, lambda: [], self.timers
        )
        self.effective_at = {}
        self.directory = upstreams.Directory(
            self.timers.now, self.upstream_left
        )
        current = configuration_module.CurrentConfiguration(
            "config", decode_configuration, self.configuration_changed
        )
        vm = platform_settings.VmSettings(
            vm="vm",
            data_center="z",
            callers=NOWHERE,
            readiness=NOWHERE,
            store=NOWHERE,
            partitions=1,
            record_bytes=1,
            peers=NOWHERE,
            drain=bound,
            configuration=bound,
            grace=8.0,
        )
        self.followers = followers.Followers(
            log,
            self.timers,
            vm,
            current,
            self.directory,
            directory_updater.DirectoryUpdater(
                self.directory, decode_upstream
            ),
            lambda: None,
            lambda place, on_page: None,
            lambda: False,
        )
        self.write(upstream_follower.UPSTREAMS_PLACE, "a", b"ready")
        self.write(followers.CONFIGURATION_PLACE, "config", b"1")
        self.followers.start()
        self.clock.run_for(10.0)

    def upstream_left(self, upstream):
        """Record when an upstream stops getting work."""
        self.effective_at[upstream_follower.UPSTREAMS_PLACE] = (
            self.timers.now()
        )

    def configuration_changed(self, snapshot):
        """Record when a configuration takes effect."""
        self.effective_at[followers.CONFIGURATION_PLACE] = self.timers.now()

    def write(self, place, key, value):
        """Add a record."""
        self.data.append(place, [keyedlog.LogEntry(key, value)])

    def seconds_until_effect(
        self, place, key, value, inject_fault, bound, moment
    ):
        """Return how long a record takes to take effect."""
        self.start(bound)
        self.clock.run_for(bound * moment / MOMENT_COUNT)
        self.direct.faults.latency = self.slow_seconds
        inject_fault(place)
        written_at = self.timers.now()
        self.effective_at.clear()
        self.write(place, key, value)
        self.clock.run_for(4 * bound)
        return self.effective_at[place] - written_at

    def check(self, place, key, value):
        """Check every bound, kind of read failure and moment."""
        late = {}
        cases = itertools.product(
            BOUNDS, self.read_faults(), range(MOMENT_COUNT)
        )
        for bound, (name, inject_fault), moment in cases:
            seconds = self.seconds_until_effect(
                place, key, value, inject_fault, bound, moment
            )
            if seconds > bound:
                late[bound, name, moment] = round(seconds, 2)
        self.assertEqual({}, late)

    def read_faults(self):
        """Return functions that make reads fail, with their names."""
        busy = keyedlog.LogBusy("status_429")
        unavailable = keyedlog.LogUnavailable("status_503")
        return (
            ("none lost", lambda place: None),
            ("one lost", lambda place: self.direct.lose(place, 1)),
            ("two lost", lambda place: self.direct.lose(place, 2)),
            ("one busy", lambda place: self.direct.refuse(place, [busy])),
            (
                "one away",
                lambda place: self.direct.refuse(place, [unavailable]),
            ),
        )

    def test_leaving_upstream_gets_no_work_after_the_bound(self):
        self.check(upstream_follower.UPSTREAMS_PLACE, "a", b"leaving")

    def test_configuration_takes_effect_within_the_bound(self):
        self.check(followers.CONFIGURATION_PLACE, "config", b"2")


def decode_upstream(name, value):
    """Decode an upstream's entry, which here is only its state."""
    return upstreams.Announcement(
        id=name,
        service="s",
        address=NOWHERE,
        leaving=value == b"leaving",
    )


def decode_configuration(value):
    """Decode a configuration, which here is only its version."""
    return routing.Snapshot(int(value), (), {})


class BusyLogTest(LostReadTest):
    """A busy log refuses three consecutive reads.

    Refusals come at once, but the pauses after them added up to 2.1 s of a
    bound of 2.0 s.
    """

    slow_seconds = memory_log.LATENCY_SECONDS

    def read_faults(self):
        """Return functions that make reads fail, with their names."""
        busy = keyedlog.LogBusy("status_429")
        return (
            (
                "three busy",
                lambda place: self.direct.refuse(place, [busy] * 3),
            ),
        )
