"""Tests of a node's process: its start, and the signals that stop it."""

import resource
import signal
import unittest
from unittest import mock

from circuits import BaseComponent
from circuits.core import events

from postspring.daemon import entry_daemon
from postspring.daemon import process
from postspring import settings


class Node(BaseComponent):
    """A node that records the calls of its methods."""

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
        """Record the call that circuits makes on a handler's SystemExit."""
        self.calls.append(f"stop {code}")

    def run(self):
        """Handle only the start event of the loop."""
        self.dispatch(events.started(self))

    def dispatch(self, event):
        self.fire(event, "*")
        while len(self):
            self.flush()


class ProcessTest(unittest.TestCase):
    """Events that reach the node."""

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
                self.node.dispatch(events.signal(number, None))
                self.assertEqual(["shut down"], self.node.calls)

    def test_another_signal_does_nothing(self):
        self.node.dispatch(events.signal(signal.SIGHUP, None))
        self.assertEqual(["start"], self.node.calls)

    def test_the_exit_status_is_zero(self):
        with self.assertRaises(SystemExit) as stopped:
            process.end_process()
        self.assertEqual(0, stopped.exception.code)


class FailureTest(unittest.TestCase):
    """Event handlers that raise."""

    def setUp(self):
        self.node = Node()

    def test_a_node_that_fails_to_start_ends_the_process(self):
        """Guards against a process that lives and serves nobody."""
        self.node.start = mock.Mock(side_effect=ValueError("no members"))
        process.Process(self.node, self.node.shut_down)
        with self.assertLogs("postspring.daemon.process", "ERROR") as lines:
            self.node.run()
        self.assertIn("no members", lines.output[0])
        self.assertEqual(["stop 1"], self.node.calls)

    def test_failures_are_logged_once_a_second(self):
        """Guards against failures that nobody learns of, or too often."""
        self.node.shut_down = mock.Mock(side_effect=ValueError("no peers"))
        process.Process(self.node, lambda: self.node.shut_down())
        self.now = 0.0
        process.FailureLog(lambda: self.now).register(self.node)
        self.node.run()
        with self.assertLogs("postspring.daemon.process", "ERROR") as lines:
            for self.now in (10.0, 10.5, 10.9, 11.5):
                self.node.dispatch(events.signal(signal.SIGTERM, None))
        self.assertEqual(2, len(lines.records))
        self.assertIn("no peers", lines.output[0])
        self.assertIn("signal", lines.records[0].event)
        self.assertEqual([0, 2], [item.unlogged for item in lines.records])


class EntryDaemonTest(unittest.TestCase):
    """The daemon of an entry VM."""

    def setUp(self):
        self.node = Node()
        entry_settings = mock.create_autospec(
            settings.EntrySettings, instance=True
        )
        entry_settings.log_level = "INFO"
        entry_settings.vm, entry_settings.data_center = "rimac-1", "rimac"
        module = entry_daemon
        for target, name, replacement in (
            (module.node_module, "EntryNode", lambda *a, **k: self.node),
            (module.logs, "set_up_logs", mock.Mock()),
        ):
            patch = mock.patch.object(target, name, replacement)
            patch.start()
            self.addCleanup(patch.stop)
        entry_daemon.run_entry(entry_settings)

    def test_the_first_signal_is_graceful(self):
        self.node.dispatch(events.signal(signal.SIGTERM, None))
        self.assertEqual(["start", "shut down"], self.node.calls)

    def test_the_second_signal_stops_at_once(self):
        self.node.dispatch(events.signal(signal.SIGTERM, None))
        self.node.dispatch(events.signal(signal.SIGTERM, None))
        self.assertEqual(["start", "shut down", "stop 1"], self.node.calls)


class FileLimitTest(unittest.TestCase):
    """The soft limit of open files."""

    def raise_from(self, soft, hard, platform_limit=0, error=None):
        """Return the soft limit that is set, or None."""
        with (
            mock.patch.object(
                resource, "getrlimit", autospec=True, return_value=(soft, hard)
            ),
            mock.patch.object(
                resource, "setrlimit", autospec=True, side_effect=error
            ) as set_limit,
        ):
            process.raise_file_limit(platform_limit)
        return set_limit.call_args and set_limit.call_args.args[1]

    def test_it_is_raised_to_the_hard_limit_at_most(self):
        self.assertEqual((4096, 4096), self.raise_from(1024, 4096))

    def test_it_is_raised_no_further_than_needed(self):
        self.assertEqual((8200, 10**6), self.raise_from(1024, 10**6))
        self.assertEqual((2000, 10**6), self.raise_from(1024, 10**6, 2000))
        unlimited = resource.RLIM_INFINITY
        self.assertEqual((8200, unlimited), self.raise_from(1024, unlimited))

    def test_it_is_never_lowered(self):
        self.assertIsNone(self.raise_from(20000, 20000))
        self.assertIsNone(self.raise_from(1024, 4096, 500))

    def test_an_error_is_logged_and_does_not_stop_the_start(self):
        with self.assertLogs("postspring.daemon.process", "WARNING"):
            self.raise_from(1024, 4096, error=OSError("no"))
