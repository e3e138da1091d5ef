"""What reads of the log that are never answered cost of a bound.

By reading, and by a trial on the follower: the pause between two reads, a
read without an answer, the pause after it and the read that succeeds made
2.4 s of a bound of 2.0 s for upstreams that leave.  A waiting read of the
configuration made 2.9 s of 2.0 s.
"""

import itertools
import unittest

from postspring.front import configuration as configuration_module
from postspring.front import followers
from postspring.front import upstream_list
from postspring.front import upstream_watch
from postspring import keyedlog
from postspring import peering
from postspring.platform import settings as platform_settings
from postspring.platform import store
from postspring import routing
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module
from postspring import upstreams

BOUNDS = (2.0, 4.0, 6.0)
MOMENTS = 20
# What the log takes for an answer while it is slow, by the platform's page:
# sixty times 4 ms.
SLOW_SECONDS = 0.24
NOWHERE = ("127.0.0.1", 1)


class LossyLog(memory_log.MemoryLog):
    """Loses the answers of some reads of one partition.

    A read that is under way counts as one; the client gives each up.
    """

    def __init__(self, data, timers):
        super().__init__(data, timers)
        self._lossy = None
        self._left = 0
        self._under_way = {}
        self._refusals = []

    def lose(self, place, count):
        """Lose that many answers from now on, the one due next first."""
        self._lossy, self._left = place, count
        if count and self._under_way.get(place):
            self._left -= 1
            for answer in self._under_way[place]:
                answer.is_lost = True

    def refuse(self, place, errors):
        """Refuse the next reads, each with an error."""
        self._lossy, self._refusals = place, list(errors)

    def read(self, place, start, on_page, on_error, wait=0.0):
        """Read, be refused, or let the caller's time run out."""
        if place == self._lossy and self._refusals:
            error = self._refusals.pop()
            self._timers.call_later(self.faults.latency, on_error, error)
            return
        answer = _Answer(self._timers, on_page, on_error, wait)
        if place == self._lossy and self._left:
            self._left -= 1
            answer.is_lost = True
        under_way = self._under_way.setdefault(place, set())
        under_way.add(answer)
        answer.on_end = lambda: under_way.discard(answer)
        super().read(place, start, answer.take, on_error, wait)


class _Answer:
    """Takes the answer of one read, or loses it."""

    def __init__(self, timers, on_page, on_error, wait):
        self._on_page = on_page
        self._on_error = on_error
        self.is_lost = False
        self.on_end = None
        timers.call_later(store.READ_TIMEOUT_SECONDS + wait, self._give_up)

    def take(self, page):
        """Pass the answer on, unless it is lost."""
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
    """A VM that no other one can help."""

    slow_seconds = SLOW_SECONDS

    def start(self, bound):
        """Start a VM that knows an upstream and a configuration."""
        self.clock = clock_module.VirtualClock()
        self.timers = clock_module.VirtualTimers(
            self.clock, clock_module.VirtualProcess("vm")
        )
        self.data = memory_log.LogData()
        self.direct = LossyLog(self.data, self.timers)
        log = peering.FailoverLog(
            self.direct, lambda member: None, lambda: [], self.timers
        )
        self.known_at = {}
        self.directory = upstreams.Directory(self.timers.now, self.left)
        current = configuration_module.CurrentConfiguration(
            "config", decode_configuration, self.changed
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
            upstream_watch.DirectoryUpdater(self.directory, decode_upstream),
            lambda: None,
            lambda place, on_page: None,
            lambda: False,
        )
        self.write(upstream_list.UPSTREAMS_PLACE, "a", b"ready")
        self.write(followers.CONFIGURATION_PLACE, "config", b"1")
        self.followers.start()
        self.clock.run_for(10.0)

    def left(self, upstream):
        """Take note of when an upstream gets no work any more."""
        self.known_at[upstream_list.UPSTREAMS_PLACE] = self.timers.now()

    def changed(self, snapshot):
        """Take note of when a configuration is in force."""
        self.known_at[followers.CONFIGURATION_PLACE] = self.timers.now()

    def write(self, place, key, value):
        """Add a record."""
        self.data.append(place, [keyedlog.LogEntry(key, value)])

    def seconds_until_known(self, place, key, value, spoil, bound, moment):
        """Return how long a record takes to have its effect."""
        self.start(bound)
        self.clock.run_for(bound * moment / MOMENTS)
        self.direct.faults.latency = self.slow_seconds
        spoil(place)
        begun = self.timers.now()
        self.known_at.clear()
        self.write(place, key, value)
        self.clock.run_for(4 * bound)
        return self.known_at[place] - begun

    def check(self, place, key, value):
        """Look at every bound, each way in which reads fail, and moment."""
        late = {}
        cases = itertools.product(BOUNDS, self.ways(), range(MOMENTS))
        for bound, (name, spoil), moment in cases:
            seconds = self.seconds_until_known(
                place, key, value, spoil, bound, moment
            )
            if seconds > bound:
                late[bound, name, moment] = round(seconds, 2)
        self.assertEqual({}, late)

    def ways(self):
        """Return how reads fail, by name."""
        busy = keyedlog.LogBusy("status_429")
        away = keyedlog.LogUnavailable("status_503")
        return (
            ("none lost", lambda place: None),
            ("one lost", lambda place: self.direct.lose(place, 1)),
            ("two lost", lambda place: self.direct.lose(place, 2)),
            ("one busy", lambda place: self.direct.refuse(place, [busy])),
            ("one away", lambda place: self.direct.refuse(place, [away])),
        )

    def test_an_upstream_that_leaves_is_left_alone_within_the_bound(self):
        self.check(upstream_list.UPSTREAMS_PLACE, "a", b"leaving")

    def test_a_configuration_is_in_force_within_the_bound(self):
        self.check(followers.CONFIGURATION_PLACE, "config", b"2")


def decode_upstream(name, value):
    """Read an upstream's entry, which here is no more than the state."""
    return upstreams.Announcement(
        id=name,
        service="s",
        address=NOWHERE,
        leaving=value == b"leaving",
    )


def decode_configuration(value):
    """Read a configuration, which here is no more than the version."""
    return routing.Snapshot(int(value), (), {})


class BusyLogTest(LostReadTest):
    """Three reads in a row are one too many; a refusal comes at once.

    By reading: the pauses after them made 2.1 s of a bound of 2.0 s.
    """

    slow_seconds = memory_log.LATENCY_SECONDS

    def ways(self):
        """Return how reads fail, by name."""
        busy = keyedlog.LogBusy("status_429")
        return (
            (
                "three busy",
                lambda place: self.direct.refuse(place, [busy] * 3),
            ),
        )
