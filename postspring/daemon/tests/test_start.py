"""The first module of a front VM's process.

A reload that reached a VM before its handlers ended it by the signal: the
interpreter's site module, runpy and the package came first, which take several
times as long on a VM with half a core.
"""

import os
import pathlib
import signal
import subprocess
import sys
import unittest

from postspring.daemon import start
from postspring.daemon.tests import test_front_signals
from postspring.testing import processes
from postspring.testing.soak import stage

SECONDS = 60
# Prints the modules that are imported until the handlers are installed.
MODULES_BEFORE_HANDLERS = """
import sys
before = set(sys.modules)
with open({path!r}) as file:
    text = file.read()
names = {{"__name__": "start"}}
exec(text, names)
names["record_signals"]()
print(sorted(set(sys.modules) - before))
"""
# Prints where the package is looked for first, and whether its modules could
# take the place of others.
PATH = """
import os
import sys
names = {{"__name__": "start", "__file__": {path!r}}}
with open({path!r}) as file:
    exec(file.read(), names)
sys.path.insert(0, os.path.dirname({path!r}))
names["prepare_path"]()
print(sys.path[0], os.path.dirname({path!r}) in sys.path)
"""
# Holds the start up while the interpreter prepares its path.
BLOCKING_SITE = """
import os
open(os.environ["GATE"]).close()
"""


class FirstModuleTest(unittest.TestCase):
    """What runs before the rest of the program is imported."""

    def run_program(self, text):
        """Return what a program prints, run without a path of its own."""
        options = ["-S", "-P", "-c", text.format(path=start.__file__)]
        done = subprocess.run(
            [sys.executable, *options],
            capture_output=True,
            check=True,
            cwd="/",
            text=True,
            timeout=SECONDS,
        )
        return done.stdout.strip()

    def test_nothing_is_imported_before_the_handlers(self):
        """Guards against an import that makes a start sensitive again."""
        self.assertEqual("[]", self.run_program(MODULES_BEFORE_HANDLERS))

    def test_the_deploy_file_starts_it_without_site(self):
        """Guards against a start command that imports much before it."""
        option, path = stage.daemon_words()[:2]
        self.assertEqual("-S", option)
        self.assertTrue(os.path.samefile(path, start.__file__))

    def test_the_package_is_found_without_the_working_folder(self):
        """Guards against a start that PYTHONSAFEPATH or a folder ends."""
        root = pathlib.Path(start.__file__).parents[2]
        self.assertEqual(f"{root} False", self.run_program(PATH))


class StartTest(test_front_signals.DaemonTest):
    """The daemon as the deploy file starts it."""

    def setUp(self):
        super().setUp()
        self.path.write_text(self.text)

    def start_behind_gate(self):
        """Start the daemon; return the pipe that site waits for."""
        folder = self.path.parent
        gate = folder / "gate"
        os.mkfifo(gate)
        (folder / "sitecustomize.py").write_text(BLOCKING_SITE)
        paths = [str(folder), os.environ.get("PYTHONPATH", "")]
        python_path = os.pathsep.join(filter(None, paths))
        self.start_deployed(GATE=str(gate), PYTHONPATH=python_path)
        return processes.wait_until(
            "site", lambda: os.open(gate, os.O_WRONLY | os.O_NONBLOCK)
        )

    def test_a_reload_before_site_is_imported_is_kept(self):
        """Guards against a SIGHUP that ends a process which just began."""
        gate = self.start_behind_gate()
        self.send(signal.SIGHUP)
        os.close(gate)
        processes.wait_until(
            "the reload",
            lambda: (
                "settings read again"
                in self.group.log(test_front_signals.NAME)
            ),
        )
        self.assertTrue(self.is_listening())

    def test_a_stop_before_site_is_imported_is_kept(self):
        """Guards against a stop that is counted as a crash."""
        gate = self.start_behind_gate()
        self.send(signal.SIGTERM)
        os.close(gate)
        self.assertEqual(0, self.wait())


if __name__ == "__main__":
    unittest.main()
