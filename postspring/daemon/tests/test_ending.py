"""How a daemon's process ends, and what its last line says.

Ends by an exception left a traceback at most, a failed event loop ended with
0, and a process without standard output and error could not start.
"""

import json
import os
import signal
import subprocess
import sys
import unittest

from postspring.daemon.tests import test_front_signals
from postspring.platform import names
from postspring.testing import processes
from postspring.testing.soak import stage

SECONDS = 60
NAME = test_front_signals.NAME
RUN = """
import os
import signal
from postspring.daemon import ending
from postspring import errors
from postspring import logs
logs.set_up_front_logs("info", 200)
def run():
    {statement}
ending.run_to_end(run)
"""
# An event loop in which something other than a handler fails.
LOOP = """
from circuits import BaseComponent
    class Node(BaseComponent):
        def tick(self, timeout=-1):
            raise OSError("no events")
    Node().run()
"""
# Takes the place of a dependency.
BROKEN_MODULE = "raise ImportError('no such library')"


def last_line(printed):
    """Return the last line as an object."""
    return json.loads(printed.splitlines()[-1])


class RunToEndTest(unittest.TestCase):
    """The exit code and the last line of a process."""

    def end_of(self, statement):
        """Return the exit code and last line of a process."""
        done = subprocess.run(
            [sys.executable, "-c", RUN.format(statement=statement)],
            capture_output=True,
            text=True,
            timeout=SECONDS,
        )
        return done.returncode, last_line(done.stdout)

    def assert_end(self, statement, code, **fields):
        """Check the exit code and fields of the last line."""
        returned, line = self.end_of(statement)
        self.assertEqual(code, returned)
        expected = {"message": "ended", "exit_code": code} | fields
        self.assertEqual(expected, {name: line[name] for name in expected})
        self.assertGreater(line["peak_memory_mb"], 0)
        return line

    def test_a_stop(self):
        line = self.assert_end("raise SystemExit(0)", 0, level="INFO")
        self.assertNotIn("error", line)

    def test_a_stop_at_once(self):
        self.assert_end("raise SystemExit(1)", 1, level="CRITICAL")

    def test_an_exit_without_a_code(self):
        self.assert_end("raise SystemExit", 0)

    def test_an_error_that_is_expected(self):
        line = self.assert_end(
            "raise errors.SettingsError('no file')",
            1,
            error_type="SettingsError",
            error="no file",
        )
        self.assertNotIn("exc_info", line)

    def test_any_other_exception_has_its_traceback(self):
        for name in ("ValueError", "MemoryError", "KeyboardInterrupt"):
            with self.subTest(name):
                line = self.assert_end(f"raise {name}", 1, error_type=name)
                self.assertIn("Traceback", line["exc_info"])

    def test_a_failed_event_loop_is_no_success(self):
        """Guards against an exit code that a supervisor takes for a stop."""
        line = self.assert_end(LOOP.strip(), 1, level="CRITICAL")
        self.assertEqual("the event loop ended", line["error"])

    def test_a_signal_does_not_change_the_exit_code(self):
        """Guards against a reload that ends a process which is ending."""
        for name in ("SIGHUP", "SIGTERM", "SIGINT"):
            with self.subTest(name):
                self.assert_end(
                    "import atexit; atexit.register(lambda: "
                    f"os.kill(os.getpid(), signal.{name})); "
                    "raise SystemExit(0)",
                    0,
                )


class DaemonEndTest(test_front_signals.DaemonTest):
    """The daemon as the deploy file starts it."""

    def test_the_first_and_last_line(self):
        self.path.write_text(self.text)
        self.start_deployed()
        processes.wait_until(
            "the loop", lambda: '"started"' in self.group.log(NAME)
        )
        self.send(signal.SIGTERM)
        self.assertEqual(0, self.wait())
        first = json.loads(self.group.log(NAME).splitlines()[0])
        self.assertEqual("starting", first["message"])
        self.assertEqual(str(self.path), first["settings"])
        self.assertEqual(160, first["memory_mb"])
        last = last_line(self.group.log(NAME))
        self.assertEqual(("ended", 0), (last["message"], last["exit_code"]))

    def test_it_serves_without_standard_streams(self):
        """Guards against a start that needs output, or prints to a peer."""
        self.path.write_text(self.text)
        process = subprocess.Popen(
            [sys.executable, *stage.daemon_words()],
            env=os.environ | {names.SETTINGS_VARIABLE: str(self.path)},
            preexec_fn=lambda: os.closerange(0, 3),
        )
        self.group.process_by_name[NAME] = process
        processes.wait_until("the listener", self.is_listening)
        for descriptor in range(3):
            path = os.readlink(f"/proc/{process.pid}/fd/{descriptor}")
            self.assertEqual(os.devnull, path)

    def test_a_library_that_is_missing_is_told(self):
        """Guards against a start that ends before it can log."""
        folder = self.path.parent
        (folder / "circuits.py").write_text(BROKEN_MODULE)
        paths = [str(folder), os.environ.get("PYTHONPATH", "")]
        python_path = os.pathsep.join(filter(None, paths))
        self.start_deployed(PYTHONPATH=python_path)
        self.assertEqual(1, self.wait())
        line = last_line(self.group.log(NAME))
        self.assertEqual("ended", line["message"])
        self.assertEqual("no such library", line["error"])


if __name__ == "__main__":
    unittest.main()
