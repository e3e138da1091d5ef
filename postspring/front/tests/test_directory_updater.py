"""Changes of upstreams' entries: restarts, and other writers' entries."""

import unittest

from postspring import errors
from postspring.front import directory_updater
from postspring import keyedlog
from postspring.platform import names
from postspring.testing.fleet import case
from postspring.testing.fleet import fleet as fleet_module
from postspring import upstreams


class DirectoryUpdaterTest(unittest.TestCase):
    """Entries of the log are applied to the directory."""

    def setUp(self):
        self.directory = upstreams.Directory(lambda: 0.0)
        self.unreadable_count = 0
        self.updater = directory_updater.DirectoryUpdater(
            self.directory, self.decode, self.count
        )

    def count(self):
        """Count an entry that can't be decoded."""
        self.unreadable_count += 1

    @staticmethod
    def decode(name, data):
        """Decode an entry; only ``good`` is valid."""
        if data != b"good":
            raise errors.UpstreamError("bad")
        return upstreams.Announcement(name, "s", ("10.0.0.1", 80))

    def apply(self, *pairs):
        """Apply entries."""
        self.updater.apply_entries(
            [keyedlog.LogEntry(*pair) for pair in pairs]
        )

    def usable(self):
        """Return the ids of the upstreams that may get work."""
        return sorted(item.id for item in self.directory.usable("s"))

    def test_unreadable_entry_holds_its_upstream_back(self):
        self.apply(("a", b"good"), ("b", b"good"))
        self.apply(("a", b"bad"))
        self.assertEqual(["b"], self.usable())
        self.apply(("a", b"good"))
        self.assertEqual(["a", "b"], self.usable())

    def test_replacement_with_unreadable_entries(self):
        self.apply(("a", b"good"), ("b", b"good"))
        entries = [("a", b"bad"), ("b", b"good"), ("c", b"bad")]
        self.updater.replace_entries(
            [keyedlog.LogEntry(*pair) for pair in entries]
        )
        self.assertEqual(["b"], self.usable())
        self.assertIn("a", self.directory.by_id)

    def test_repeated_unreadable_entries_are_logged_once(self):
        with self.assertLogs("postspring.front", "ERROR") as logs:
            for _ in range(100):
                self.apply(("a", b"bad"))
        self.assertEqual(1, len(logs.output))
        self.assertEqual(100, self.unreadable_count)

    def test_log_lines_are_bounded_for_many_ids(self):
        with self.assertLogs("postspring.front", "ERROR") as logs:
            for number in range(3000):
                self.apply((f"x{number}", b"bad"))
        self.assertEqual(
            directory_updater.MAX_UNREADABLE_IDS, len(logs.output)
        )


class OverwrittenEntryTest(case.FleetCase):
    """Another writer overwrites the entry of an engine."""

    engines = 2

    def overwrite_entry(self, engine, entry):
        """Replace an engine's entry by an unreadable one."""
        self.fleet.store.put(names.SERVERS_TOPIC, engine.id, entry)
        directory = self.fleet.nodes[0].directory
        upstream = directory.by_id[engine.id]
        self.fleet.run_loop_until(lambda: upstream.unreadable)

    def test_other_engines_serve(self):
        first, second = self.fleet.engines
        self.overwrite_entry(first, {"service": fleet_module.TURNS_SERVICE})
        for number in range(6):
            answer = self.fleet.take_turn(
                f"t{number}", program_id=f"p{number}"
            )
            self.assertEqual(200, answer.status)
        self.assertEqual([], first.runs)

    def test_stream_in_progress_continues(self):
        first, second = self.fleet.engines
        self.fleet.withdraw(second)
        directory = self.fleet.nodes[0].directory
        self.fleet.run_loop_until(lambda: second.id not in directory.by_id)
        first.events, first.event_seconds = 10, 0.05
        caller = self.fleet.caller()
        fields = {"program_id": "p", "token_usage": "100,60"}
        headers = self.fleet.headers("t0", fields)
        caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.run_loop_until(lambda: first.runs)
        self.overwrite_entry(first, {"state": 7})
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.assertEqual(200, caller.answer.status)
        self.assertIn(b"w10", caller.answer.body)


class RestartedEngineTest(case.FleetCase):
    """An engine crashes and restarts with the same id and address."""

    engines = 2

    def setUp(self):
        super().setUp()
        for engine in self.fleet.engines:
            engine.born = 1000
        self.fleet.announce_all()
        self.directory = self.fleet.nodes[0].directory
        self.fleet.run_loop_until(
            lambda: all(
                self.directory.by_id[engine.id].born == 1000
                for engine in self.fleet.engines
            )
        )

    def restart(self, engine):
        """Restart an engine and write its entry."""
        engine.start_again(2000)
        self.fleet.announce(engine, fleet_module.TURNS_SERVICE)
        self.fleet.run_loop_until(
            lambda: self.directory.by_id[engine.id].born == 2000
        )

    def engine_with_runs(self):
        """Return the first engine that ran a request."""
        return next(item for item in self.fleet.engines if item.runs)

    def test_restarted_engine_is_another_incarnation(self):
        self.fleet.take_turn("t0")
        first = self.engine_with_runs()
        program = program_of(self.fleet)
        former = self.directory.by_id[first.id].incarnation
        self.assertEqual(former, program.completed_turn("t0").upstream)
        self.restart(first)
        current = self.directory.by_id[first.id].incarnation
        self.assertNotEqual(current, program.completed_turn("t0").upstream)

    def test_turns_continue_with_their_complete_history(self):
        self.fleet.take_turn("t0")
        self.restart(self.engine_with_runs())
        answer = self.fleet.take_turn("t1", previous_turn="t0")
        self.assertEqual(200, answer.status)
        run = self.engine_with_runs().runs[-1]
        self.assertTrue(run.body.startswith(b"<t0>"))

    def test_call_that_may_have_run_is_not_repeated(self):
        tool = self.fleet.tools[0]
        tool.faults.hang = True
        caller = self.fleet.caller()
        headers = self.fleet.headers("once")
        caller.send("POST", "/once/x", headers, b"x")
        self.fleet.run_loop_until(lambda: tool.runs)
        tool.faults.hang = False
        tool.start_again(2000)
        self.fleet.announce(tool, fleet_module.PLAIN_SERVICE)
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.assertEqual(502, caller.answer.status)
        self.assertEqual([], tool.runs)


def program_of(fleet):
    """Return the program that a fleet's turns belong to by default."""
    journal = fleet.nodes[0].journal
    return journal._partitions.program("p1")
