"""All scenarios in virtual time, each under several seeds."""

import logging
import pathlib
import unittest

from postspring.testing import scenario
from postspring.testing.virtual import stage

DIRECTORY = pathlib.Path(__file__).with_name("scenarios")
SEEDS = range(1, 6)


class ScenarioTest(unittest.TestCase):
    """A test for each file; see :func:`_add_tests`."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def run_file(self, path):
        """Run a scenario under every seed."""
        text = path.read_text()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                stage.run_virtual(text, seed)


def _add_tests() -> None:
    for path in sorted(DIRECTORY.glob("*.scenario")):

        def test(self, path=path):
            self.run_file(path)

        setattr(ScenarioTest, f"test_{path.stem}", test)


_add_tests()


class LanguageTest(unittest.TestCase):
    """What is not a scenario."""

    def test_the_line_is_named(self):
        with self.assertRaises(scenario.ScenarioError) as caught:
            scenario.parse_scenario("world rimac 2\nfrobnicate p\n")
        self.assertIn("line 2", str(caught.exception))

    def test_a_failed_step_names_the_seed_and_the_text(self):
        text = "world rimac 1\nprogram p\nexpect p has 5 turns\n"
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        with self.assertRaises(scenario.ScenarioError) as caught:
            stage.run_virtual(text, seed=7)
        message = str(caught.exception)
        self.assertIn("seed=7", message)
        self.assertIn("expect p has 5 turns", message)
