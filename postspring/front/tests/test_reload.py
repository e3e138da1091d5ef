"""SIGHUP reloads the settings and interrupts nothing."""

import dataclasses
import json
import os
import pathlib
import signal
import tempfile
import unittest

from postspring.daemon import front_daemon
from postspring.platform import names
from postspring.platform.tests import test_settings
from postspring.testing.fleet import fleet as fleet_module
from postspring.testing.fleet import store_service


class ReloadTest(unittest.TestCase):
    """Without a handler, SIGHUP ends the process with status 129."""

    def setUp(self):
        self.fleet = fleet_module.Fleet()
        self.addCleanup(self.fleet.close)
        self.node = self.fleet.nodes[0]
        previous = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, previous)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "boot"
        environment = {names.SETTINGS_VARIABLE: str(self.path)}
        front_daemon.reload_on_hangup(self.node, environment)

    def hang_up(self):
        """Send SIGHUP; return the messages that are logged then."""
        with self.assertLogs("postspring", "INFO") as lines:
            os.kill(os.getpid(), signal.SIGHUP)
            self.fleet.run_loop_until(lambda: lines.records)
        return [record.getMessage() for record in lines.records]

    def test_process_continues(self):
        self.path.write_text(json.dumps(test_settings.RAW))
        self.assertIn("settings read again", self.hang_up())
        answer = self.fleet.call("GET", "/safe/x", "r")
        self.assertEqual(200, answer.status)

    def test_invalid_file_changes_nothing(self):
        self.path.write_text("{")
        before = self.node.vm
        self.assertIn("settings not read", self.hang_up())
        self.assertIs(before, self.node.vm)

    def test_file_that_is_being_written_is_read_again(self):
        """A single attempt would leave the old settings in force."""
        self.path.write_text("{")
        self.assertIn("settings not read", self.hang_up())
        self.path.write_text(json.dumps(test_settings.RAW))
        with self.assertLogs("postspring", "INFO") as lines:
            self.fleet.run_loop_until(lambda: lines.records)
        self.assertIn("settings read again", lines.output[-1])

    def test_changed_settings_take_effect(self):
        changed = dataclasses.replace(self.node.vm, grace=3.0)
        self.node.reconfigure(changed)
        self.assertEqual(3.0, self.node.shutdown.grace)

    def test_settings_that_need_a_restart_are_not_applied(self):
        changed = dataclasses.replace(
            self.node.vm, callers=("1.2.3.4", 5), grace=3.0
        )
        self.node.reconfigure(changed)
        self.assertNotEqual(("1.2.3.4", 5), self.node.vm.callers)
        # Other changed settings take effect all the same.
        self.assertEqual(3.0, self.node.shutdown.grace)

    def test_change_of_the_store_interrupts_no_request(self):
        caller = self.fleet.caller()
        engine = self.fleet.engines[0]
        engine.event_seconds = 0.1
        fields = {"program_id": "p", "token_usage": "1,16"}
        headers = self.fleet.headers("a", fields)
        caller.send("POST", "/stream/x", headers, b"x")
        self.fleet.run_loop_until(lambda: caller.answer.body)
        other = store_service.StoreService(
            self.fleet._world, self.fleet.timers
        )
        other.data = self.fleet.store.data
        vm = dataclasses.replace(self.node.vm, store=other.address)
        self.node.reconfigure(vm)
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.assertTrue(caller.answer.complete)
        self.assertEqual(0, self.node.journal.unrecorded)
        self.fleet.run_loop_until(lambda: other.calls)
