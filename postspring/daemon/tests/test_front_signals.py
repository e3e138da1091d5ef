"""Signals that reach a front VM's process while it starts and stops.

Without early handlers, SIGHUP or SIGTERM in the first half second of a start
ends the process by the default action (status 129, 143), so that a VM that is
asked to reload does not come up: the handlers of the node are installed after
the imports and the opening of the listeners.  Here the settings file is a
named pipe, which blocks the start until the test has sent its signals.
"""

import contextlib
import copy
import json
import os
import pathlib
import signal
import socket
import tempfile
import unittest

from postspring.platform import names
from postspring.platform.tests import test_settings
from postspring.testing import processes
from postspring.testing.soak import stage

NAME = "front"


class DaemonTest(unittest.TestCase):
    """The daemon runs as a process of its own."""

    def setUp(self):
        self.group = processes.ProcessGroup()
        self.addCleanup(self.group.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "boot"
        raw = copy.deepcopy(test_settings.RAW)
        raw["bounds"]["grace_s"] = 20
        raw["seeds"] = []
        raw["platform"]["address"] = f"127.0.0.1:{processes.free_port()}"
        for name in raw["listen"]:
            raw["listen"][name] = f"127.0.0.1:{processes.free_port()}"
        self.port = int(raw["listen"]["front"].rpartition(":")[2])
        self.text = json.dumps(raw)

    def start(self):
        """Start the daemon."""
        variables = {names.SETTINGS_VARIABLE: str(self.path)}
        module = "postspring.daemon.front_daemon"
        self.group.start(NAME, [module], variables)

    def start_deployed(self, **variables):
        """Start the daemon as the deploy file does."""
        variables[names.SETTINGS_VARIABLE] = str(self.path)
        self.group.start_python(NAME, stage.daemon_words(), variables)

    def start_blocked(self, *numbers):
        """Start the daemon, send signals, then let it read its settings."""
        os.mkfifo(self.path)
        self.start()
        pipe = processes.wait_until("the start", self.open_pipe)
        for number in numbers:
            self.send(number)
        # A pipe can be read once; a reload reads the file that replaces it.
        complete = self.path.with_name("whole")
        complete.write_text(self.text)
        complete.rename(self.path)
        with open(pipe, "w") as writer:
            writer.write(self.text)

    def open_pipe(self):
        """Open the pipe once the daemon reads from it."""
        return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)

    def send(self, number):
        """Send a signal."""
        self.group.process_by_name[NAME].send_signal(number)

    def wait(self):
        """Wait for the process to exit, and return its status."""
        process = self.group.process_by_name.pop(NAME)
        return process.wait(processes.START_SECONDS)

    def is_listening(self):
        """Return whether callers can connect."""
        address = ("127.0.0.1", self.port)
        with contextlib.closing(socket.create_connection(address)):
            return True


class FrontSignalsTest(DaemonTest):
    """Signals before the settings are read, and while it stops."""

    def test_a_reload_during_the_start_runs_after_it(self):
        self.start_blocked(signal.SIGHUP)
        processes.wait_until(
            "the reload",
            lambda: "settings read again" in self.group.log(NAME),
        )
        self.assertTrue(self.is_listening())

    def test_a_stop_during_the_start_exits_successfully(self):
        self.start_blocked(signal.SIGTERM)
        self.assertEqual(0, self.wait())

    def test_a_stop_before_the_first_configuration_exits_successfully(self):
        self.path.write_text(self.text)
        self.start()
        processes.wait_until("the listener", self.is_listening)
        processes.wait_until(
            "the loop", lambda: "started" in self.group.log(NAME)
        )
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            self.send(number)
        self.assertEqual(0, self.wait())
