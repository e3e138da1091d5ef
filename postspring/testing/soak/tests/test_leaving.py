"""Upstreams that leave: what they do, and what is judged of it."""

import io
import json
import unittest

from postspring import keyedlog
from postspring.testing.fleet import memory_log
from postspring.testing.soak import events
from postspring.testing.soak import leaving
from postspring.testing.soak.tests import test_verdict
from postspring.testing.soak import verdict
from postspring.testing.soak import world
from postspring.testing.virtual import clock as clock_module

LEFT = leaving.Leave("e1", said_at=90.0, acknowledged_at=98.0)
TOPIC = "servers"


class LateRunTest(unittest.TestCase):
    """Requests that reach an upstream after it has left."""

    def rules(self, began, history=(), **changes):
        """Return the rules that one run breaks."""
        found = verdict.judge(
            [test_verdict.attempt()],
            [test_verdict.run(began=began, **changes)],
            list(history),
            leaves=[LEFT],
        )
        return [finding.rule for finding in found.findings]

    def test_within_the_bound(self):
        self.assertEqual([], self.rules(99.9))

    def test_past_the_bound(self):
        self.assertEqual(["DRAIN"], self.rules(100.1))

    def test_one_that_was_not_run(self):
        self.assertNotIn("DRAIN", self.rules(100.1, ran=False))

    def test_a_store_that_was_away_meanwhile(self):
        away = events.Event(at=98.5, action="store", until=99.0)
        self.assertEqual([], self.rules(100.1, [away]))

    def test_a_store_that_was_away_before(self):
        away = events.Event(at=92.0, action="store", until=97.9)
        self.assertEqual(["DRAIN"], self.rules(100.1, [away]))


class _Upstream:
    """Writes entries with its state."""

    def __init__(self):
        self.place = world.Upstream("e1", "s", "z", "h", 1)
        self.id = "e1"

    def fresh_entry(self, state="ready"):
        """Return an entry."""
        return json.dumps({"state": state}).encode()


class _Service:
    """What leases need of the store: its data, and a way to remove."""

    def __init__(self, data):
        self.data = data

    def put(self, topic, key, value):
        """Remove an entry."""
        self.data.append((topic, 0), [keyedlog.LogEntry(key, b"")])


class BeatsTest(unittest.TestCase):
    """An upstream's entries, in virtual time."""

    def setUp(self):
        self.clock = clock_module.VirtualClock()
        self.timers = clock_module.VirtualTimers(
            self.clock, clock_module.VirtualProcess("e1")
        )
        self.data = memory_log.LogData()
        self.log = memory_log.MemoryLog(self.data, self.timers)
        self.log.faults.gives_up_after = 1.2
        self.lines = io.StringIO()

    def start(self, mean):
        """Let an upstream write its entry."""
        upstream = _Upstream()
        leaving.Beats(
            self.timers, self.log, upstream, mean, self.lines, seed=1
        ).start()
        return upstream

    @property
    def entries(self):
        """All that was written, in order."""
        return self.data.records_by_place.get(leaving.PLACE, [])

    def test_one_that_stays(self):
        upstream = self.start(mean=0.0)
        self.clock.run_for(60.0)
        self.assertEqual("e1", upstream.id)
        self.assertEqual("", self.lines.getvalue())
        self.assertGreater(len(self.entries), 45)

    def test_one_that_leaves_comes_back_as_another(self):
        upstream = self.start(mean=5.0)
        self.clock.run_for(120.0)
        leaves = [
            leaving.Leave(**json.loads(line))
            for line in self.lines.getvalue().splitlines()
        ]
        self.assertGreater(len(leaves), 5)
        ids = [leave.id for leave in leaves]
        self.assertEqual(len(ids), len(set(ids)))
        self.assertNotIn(upstream.id, ids[:-1])

    def test_nothing_of_it_is_ready_behind_its_leaving(self):
        self.start(mean=5.0)
        for _ in range(20):
            self.log.faults.silent = True
            self.clock.run_for(2.0)
            self.log.faults.silent = False
            self.clock.run_for(4.0)
        left = set()
        for entry in self.entries:
            if b"ready" in entry.value:
                self.assertNotIn(entry.key, left)
            else:
                left.add(entry.key)
        self.assertTrue(left)

    def test_an_entry_lapses_in_silence(self):
        data = memory_log.LogData()
        service = _Service(data)
        leaving.EntryLeases(self.timers, TOPIC, service).start()
        data.append((TOPIC, 0), [keyedlog.LogEntry("a", b"ready")])
        self.clock.run_for(3.5)
        self.assertEqual(1, len(data.newest((TOPIC, 0))))
        self.clock.run_for(0.5)
        self.assertEqual([], data.newest((TOPIC, 0)))
