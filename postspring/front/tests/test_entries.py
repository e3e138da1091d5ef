"""Upstreams' entries that change: new starts, and other writers'."""

import unittest

from postspring import errors
from postspring.front import upstream_watch
from postspring import keyedlog
from postspring.platform import names
from postspring.testing.fleet import case
from postspring.testing.fleet import fleet as fleet_module
from postspring import upstreams


class DirectoryUpdaterTest(unittest.TestCase):
    """Entries on their way into the directory."""

    def setUp(self):
        self.directory = upstreams.Directory(lambda: 0.0)
        self.refused = 0
        self.updater = upstream_watch.DirectoryUpdater(
            self.directory, self.decode, self.count
        )

    def count(self):
        """Count an entry that can't be read."""
        self.refused += 1

    @staticmethod
    def decode(name, data):
        """Read an entry; only ``good`` is one."""
        if data != b"good":
            raise errors.UpstreamError("bad")
        return upstreams.Announcement(name, "s", ("10.0.0.1", 80))

    def take(self, *pairs):
        """Take entries."""
        self.updater.apply_entries(
            [keyedlog.LogEntry(*pair) for pair in pairs]
        )

    def usable(self):
        """Return the ids of the upstreams that may get work."""
        return sorted(item.id for item in self.directory.usable("s"))

    def test_one_that_is_spoilt_is_held_back_until_it_is_good(self):
        self.take(("a", b"good"), ("b", b"good"))
        self.take(("a", b"bad"))
        self.assertEqual(["b"], self.usable())
        self.take(("a", b"good"))
        self.assertEqual(["a", "b"], self.usable())

    def test_a_whole_list_with_a_spoilt_one(self):
        self.take(("a", b"good"), ("b", b"good"))
        entries = [("a", b"bad"), ("b", b"good"), ("c", b"bad")]
        self.updater.replace_entries(
            [keyedlog.LogEntry(*pair) for pair in entries]
        )
        self.assertEqual(["b"], self.usable())
        self.assertIn("a", self.directory.by_id)

    def test_one_line_for_a_writer_that_spoils_it_again_and_again(self):
        with self.assertLogs("postspring.front", "ERROR") as logs:
            for _ in range(100):
                self.take(("a", b"bad"))
        self.assertEqual(1, len(logs.output))
        self.assertEqual(100, self.refused)

    def test_the_lines_are_bounded_for_many_ids(self):
        with self.assertLogs("postspring.front", "ERROR") as logs:
            for number in range(3000):
                self.take((f"x{number}", b"bad"))
        self.assertEqual(upstream_watch.MAX_UNREADABLE_IDS, len(logs.output))


class SpoiltEntryTest(case.FleetCase):
    """Another writer's entry stands in place of an engine's."""

    engines = 2

    def spoil(self, engine, entry):
        """Write an entry that the engine did not write."""
        self.fleet.store.put(names.SERVERS_TOPIC, engine.id, entry)
        directory = self.fleet.nodes[0].directory
        upstream = directory.by_id[engine.id]
        self.fleet.turn_until(lambda: upstream.unreadable)

    def test_the_others_serve(self):
        first, second = self.fleet.engines
        self.spoil(first, {"service": fleet_module.TURNS_SERVICE})
        for number in range(6):
            answer = self.fleet.take_turn(
                f"t{number}", program_id=f"p{number}"
            )
            self.assertEqual(200, answer.status)
        self.assertEqual([], first.runs)

    def test_a_stream_that_runs_there_goes_on(self):
        first, second = self.fleet.engines
        self.fleet.withdraw(second)
        directory = self.fleet.nodes[0].directory
        self.fleet.turn_until(lambda: second.id not in directory.by_id)
        first.events, first.event_seconds = 10, 0.05
        caller = self.fleet.caller()
        fields = {"program_id": "p", "token_usage": "100,60"}
        headers = self.fleet.headers("t0", fields)
        caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.turn_until(lambda: first.runs)
        self.spoil(first, {"state": 7})
        self.fleet.turn_until(lambda: caller.answer.settled)
        self.assertEqual(200, caller.answer.status)
        self.assertIn(b"w10", caller.answer.body)


class StartedAgainTest(case.FleetCase):
    """An engine crashes and starts again under its id and address."""

    engines = 2

    def setUp(self):
        super().setUp()
        for engine in self.fleet.engines:
            engine.born = 1000
        self.fleet.announce_all()
        self.directory = self.fleet.nodes[0].directory
        self.fleet.turn_until(
            lambda: all(
                self.directory.by_id[engine.id].born == 1000
                for engine in self.fleet.engines
            )
        )

    def restart(self, engine):
        """Let an engine start again, and write its entry."""
        engine.start_again(2000)
        self.fleet.announce(engine, fleet_module.TURNS_SERVICE)
        self.fleet.turn_until(
            lambda: self.directory.by_id[engine.id].born == 2000
        )

    def engine_with_runs(self):
        """Return the engine that ran something."""
        return next(item for item in self.fleet.engines if item.runs)

    def test_a_line_has_no_place_there_any_more(self):
        self.fleet.take_turn("t0")
        first = self.engine_with_runs()
        program = program_of(self.fleet)
        former = self.directory.by_id[first.id].incarnation
        self.assertEqual(former, program.whole_turn("t0").upstream)
        self.restart(first)
        current = self.directory.by_id[first.id].incarnation
        self.assertNotEqual(current, program.whole_turn("t0").upstream)

    def test_turns_go_on_with_their_whole_history(self):
        self.fleet.take_turn("t0")
        self.restart(self.engine_with_runs())
        answer = self.fleet.take_turn("t1", previous_turn="t0")
        self.assertEqual(200, answer.status)
        run = self.engine_with_runs().runs[-1]
        self.assertTrue(run.body.startswith(b"<t0>"))

    def test_what_may_have_run_before_does_not_run_again(self):
        tool = self.fleet.tools[0]
        tool.faults.hang = True
        caller = self.fleet.caller()
        headers = self.fleet.headers("once")
        caller.send("POST", "/once/x", headers, b"x")
        self.fleet.turn_until(lambda: tool.runs)
        tool.faults.hang = False
        tool.start_again(2000)
        self.fleet.announce(tool, fleet_module.PLAIN_SERVICE)
        self.fleet.turn_until(lambda: caller.answer.settled)
        self.assertEqual(502, caller.answer.status)
        self.assertEqual([], tool.runs)


def program_of(fleet):
    """Return the program that a fleet's turns belong to by default."""
    journal = fleet.nodes[0].journal
    return journal._partitions.program("p1")
