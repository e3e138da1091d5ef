"""A start that meets conditions which may pass.

A front VM that found its settings half written or an address taken ended with
1, and so did each restart that met the same.
"""

import json
import pathlib
import signal
import socket
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


class StartupTest(unittest.TestCase):
    """Conditions that pass; each sleep is an action of the test."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "boot"
        self.early = early_signals.EarlySignals()
        self.sleeps = 0
        self.read = []
        # Each of these is free.
        self.addresses = {
            name: ("127.0.0.1", 0) for name in ("peers", "callers")
        }

    def prepare(self, *actions):
        """Prepare a start; each sleep runs the next action, if any."""
        pending = list(actions)

        def sleep(seconds):
            self.sleeps += 1
            if pending:
                pending.pop(0)()

        environment = {names.SETTINGS_VARIABLE: str(self.path)}
        start = startup.Startup(
            environment,
            self.early,
            self.read.append,
            lambda vm: self.addresses,
            sleep,
        )
        with self.assertLogs("postspring.daemon.startup") as lines:
            try:
                prepared = start.prepare()
            finally:
                self.lines = [vars(record) for record in lines.records]
        if prepared is None:
            return None
        for sock in prepared.listeners.values():
            self.addCleanup(sock.close)
        return prepared.vm

    def occupy(self, name):
        """Listen on the address of a name; return that listener."""
        taken = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        self.addresses[name] = taken.getsockname()
        return taken

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
        start = startup.Startup(
            {}, self.early, self.read.append, dict, self.fail
        )
        with self.assertRaises(errors.SettingsError):
            start.prepare()

    def test_an_address_in_use_is_awaited(self):
        """Guards against a start that the previous process's end defeats."""
        self.write()
        for name in self.addresses:
            with self.subTest(name):
                taken = self.occupy(name)
                self.assertIsNotNone(self.prepare(taken.close))
                host, port = self.addresses[name]
                error = self.lines[0]["error"]
                self.assertIn(f"{name}: {host}:{port}: EADDRINUSE", error)
                self.addresses[name] = (host, 0)

    def test_an_address_that_is_not_assigned_is_awaited(self):
        self.write()
        self.addresses["callers"] = ("192.0.2.1", 8149)

        def assign():
            self.addresses["callers"] = ("127.0.0.1", 0)

        self.assertIsNotNone(self.prepare(assign))
        self.assertIn("EADDRNOTAVAIL", self.lines[0]["error"])

    def test_no_listener_is_open_while_one_is_awaited(self):
        """Guards against connections to a process that does not serve."""
        self.write()
        free = processes.free_port()
        self.addresses["peers"] = ("127.0.0.1", free)
        taken = self.occupy("callers")

        def connect():
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", free))
            taken.close()

        self.assertIsNotNone(self.prepare(connect))

    def test_the_wait_for_an_address_is_bounded(self):
        self.write()
        self.occupy("callers")
        with self.assertRaises(errors.ListenError):
            self.prepare()
        self.assertEqual(startup.MAX_RETRIES, self.sleeps)

    def test_a_reload_reads_other_addresses(self):
        self.write()
        self.occupy("callers")

        def hang_up():
            self.addresses["callers"] = ("127.0.0.1", 0)
            self.early.record(signal.SIGHUP)

        self.assertIsNotNone(self.prepare(hang_up))
        self.assertEqual(2, len(self.read))


class WaitingProcessTest(test_front_signals.DaemonTest):
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

    def test_it_starts_once_the_address_is_free(self):
        """Guards against an end with a traceback beside another process."""
        self.path.write_text(self.text)
        taken = socket.create_server(("127.0.0.1", self.port))
        self.addCleanup(taken.close)
        self.start_deployed()
        self.wait_for_line("waiting to start")
        taken.close()
        self.wait_for_line('"started"')
        self.assertTrue(self.is_listening())

    def test_a_stop_while_it_waits_exits_successfully(self):
        """Guards against a wait that only SIGKILL ends."""
        self.start_deployed()
        self.wait_for_line("waiting to start")
        self.send(signal.SIGTERM)
        self.assertEqual(0, self.wait())


if __name__ == "__main__":
    unittest.main()
