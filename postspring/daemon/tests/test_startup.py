"""A start that meets conditions which may pass.

A front VM that found its settings half written ended with 1, and so did each
restart that met the same.
"""

import json
import pathlib
import signal
import tempfile
import unittest

from postspring.daemon import early_signals
from postspring.daemon import startup
from postspring.daemon.tests import test_front_signals
from postspring import errors
from postspring.platform import names
from postspring.platform.tests import test_settings
from postspring.testing import processes

NAME = test_front_signals.NAME


class SettingsWaitTest(unittest.TestCase):
    """Settings that are not there yet; each sleep is an action of the test."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "boot"
        self.early = early_signals.EarlySignals()
        self.sleeps = 0
        self.read = []

    def prepare(self, *actions):
        """Prepare a start; each sleep runs the next action, if any."""
        pending = list(actions)

        def sleep(seconds):
            self.sleeps += 1
            if pending:
                pending.pop(0)()

        environment = {names.SETTINGS_VARIABLE: str(self.path)}
        start = startup.Startup(
            environment, self.early, self.read.append, sleep
        )
        with self.assertLogs("postspring.daemon.startup") as lines:
            try:
                return start.prepare()
            finally:
                self.lines = [vars(record) for record in lines.records]

    def write(self, text=json.dumps(test_settings.RAW)):
        """Write the settings file."""
        self.path.write_text(text)

    def test_a_missing_file_is_awaited(self):
        vm = self.prepare(self.write)
        self.assertEqual([vm], self.read)
        self.assertEqual(1, len(self.lines))
        self.assertIn("No such file", self.lines[0]["error"])
        self.assertEqual(str(self.path), self.lines[0]["settings"])

    def test_a_half_written_file_is_read_again(self):
        self.write(json.dumps(test_settings.RAW)[:200])
        vm = self.prepare(lambda: None, self.write)
        self.assertEqual([vm], self.read)
        self.assertEqual(2, self.sleeps)
        self.assertEqual(1, len(self.lines))

    def test_a_missing_field_is_awaited(self):
        self.write("{}")
        self.assertIsNotNone(self.prepare(self.write))

    def test_the_wait_is_bounded(self):
        with self.assertRaises(errors.SettingsError):
            self.prepare()
        self.assertEqual(startup.MAX_RETRIES, self.sleeps)

    def test_a_stop_ends_the_wait(self):
        self.assertIsNone(
            self.prepare(lambda: self.early.record(signal.SIGTERM))
        )
        self.assertEqual(1, self.sleeps)

    def test_a_reload_starts_the_wait_anew(self):
        last = [lambda: None] * (startup.MAX_RETRIES - 1)
        hang_up = [lambda: self.early.record(signal.SIGHUP)]
        self.assertIsNotNone(self.prepare(*last, *hang_up, *last, self.write))

    def test_an_unset_variable_is_not_awaited(self):
        start = startup.Startup({}, self.early, self.read.append, self.fail)
        with self.assertRaises(errors.SettingsError):
            start.prepare()


class SettingsProcessTest(test_front_signals.DaemonTest):
    """The daemon as a process."""

    def wait_for_line(self, text):
        """Wait until the daemon has logged a text."""
        processes.wait_until(text, lambda: text in self.group.log(NAME))

    def test_it_starts_once_the_file_is_whole(self):
        """Guards against an end with 1 while the file is being written."""
        self.path.write_text(self.text[:200])
        self.start_deployed()
        self.wait_for_line("waiting to start")
        self.path.write_text(self.text)
        processes.wait_until("the listener", self.is_listening)

    def test_a_stop_while_it_waits_exits_successfully(self):
        """Guards against a wait that only SIGKILL ends."""
        self.start_deployed()
        self.wait_for_line("waiting to start")
        self.send(signal.SIGTERM)
        self.assertEqual(0, self.wait())


if __name__ == "__main__":
    unittest.main()
