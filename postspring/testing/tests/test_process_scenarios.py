"""A fixed few scenarios on real daemons."""

import pathlib
import unittest

from postspring.testing import process_stage

DIRECTORY = pathlib.Path(__file__).with_name("process_scenarios")


class ProcessScenarioTest(unittest.TestCase):
    """A test for each file; see :func:`_add_tests`."""


def _add_tests() -> None:
    for path in sorted(DIRECTORY.glob("*.scenario")):

        def test(self, path=path):
            process_stage.run_on_processes(path.read_text())

        setattr(ProcessScenarioTest, f"test_{path.stem}", test)


_add_tests()
