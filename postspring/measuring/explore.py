"""Many random scenarios, one after the other."""

import logging
import time

from postspring.testing import exploration
from postspring.testing import scenario
from postspring.testing.virtual import stage

__all__ = ["explore"]


def explore(first: int = 0, count: int = 1000) -> None:
    """Run random scenarios of consecutive seeds; print those that fail.

    Run several at once with different seeds to use several cores.
    """
    logging.disable(logging.CRITICAL)
    began = time.monotonic()
    failed = []
    for seed in range(first, first + count):
        try:
            stage.run_virtual(exploration.random_scenario(seed), seed)
        except scenario.ScenarioError as error:
            failed.append(seed)
            print(f"seed {seed}: {error}\n")
    seconds = time.monotonic() - began
    print(f"{count} scenarios in {seconds:.0f} s, failed: {failed or 'none'}")
