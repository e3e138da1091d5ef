"""A node's process: its start, and the signals that end it."""

import signal
import unittest
from unittest import mock

from circuits import BaseComponent
from circuits.core import events

from postspring.daemon import entry_daemon
from postspring.daemon import process
from postspring import settings


class Node(BaseComponent):
    """A node that only takes note."""

    def __init__(self, *arguments, **options):
        super().__init__()
        self.calls = []
        self.leaving = False

    def start(self):
        self.calls.append("start")

    def shut_down(self):
        self.calls.append("shut down")
        self.leaving = True

    def stop(self, code=None):
        """Take what circuits makes of a handler's SystemExit."""
        self.calls.append(f"stop {code}")

    def run(self):
        """Handle the loop's start, and no more."""
        self.tell(events.started(self))

    def tell(self, event):
        self.fire(event, "*")
        while len(self):
            self.flush()


class ProcessTest(unittest.TestCase):
    """What reaches the node."""

    def setUp(self):
        self.node = Node()
        process.Process(self.node, self.node.shut_down)
        self.node.run()

    def test_the_node_starts_with_the_loop(self):
        self.assertEqual(["start"], self.node.calls)

    def test_both_signals_shut_it_down(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number):
                self.node.calls.clear()
                self.node.tell(events.signal(number, None))
                self.assertEqual(["shut down"], self.node.calls)

    def test_another_signal_does_nothing(self):
        self.node.tell(events.signal(signal.SIGHUP, None))
        self.assertEqual(["start"], self.node.calls)

    def test_the_end_is_no_failure(self):
        with self.assertRaises(SystemExit) as stopped:
            process.end_process()
        self.assertEqual(0, stopped.exception.code)


class EntryDaemonTest(unittest.TestCase):
    """The entry VM's daemon on top of it."""

    def setUp(self):
        self.node = Node()
        checked = mock.create_autospec(settings.EntrySettings, instance=True)
        checked.log_level = "INFO"
        checked.vm, checked.data_center = "rimac-1", "rimac"
        module = entry_daemon
        for target, name, replacement in (
            (module.node_module, "EntryNode", lambda *a, **k: self.node),
            (module.logs, "set_up_logs", mock.Mock()),
        ):
            patch = mock.patch.object(target, name, replacement)
            patch.start()
            self.addCleanup(patch.stop)
        entry_daemon.run_entry(checked)

    def test_the_first_signal_is_graceful(self):
        self.node.tell(events.signal(signal.SIGTERM, None))
        self.assertEqual(["start", "shut down"], self.node.calls)

    def test_the_second_signal_stops_at_once(self):
        self.node.tell(events.signal(signal.SIGTERM, None))
        self.node.tell(events.signal(signal.SIGTERM, None))
        self.assertEqual(["start", "shut down", "stop 1"], self.node.calls)
