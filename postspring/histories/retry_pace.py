"""When what waits for the log is tried again, so that VMs share its rate."""

from collections.abc import Callable
import math
import random

from postspring.transport import timers as timers_module

__all__ = ["RetryPace"]

# Retries are this much further apart than the rate says, by chance: so the
# VMs don't stay in step, and all together stay below the rate.
LONGEST_STRETCH = 1.2
# Tries a second that a VM may make however many there are.
LEAST_RATE = 0.1


class RetryPace:
    """Deals out turns to try again.

    Explanation
    ===========

    Turns are dealt in the order in which they are asked for.  One that
    wants a longer pause than the queue is long gets it, and does not hold
    up those behind it.

    Parameters
    ==========

    rate : callable
        Returns how many tries a second this VM may make.
    """

    def __init__(
        self, timers: timers_module.Timers, rate: Callable[[], float]
    ):
        self._timers = timers
        self._rate = rate
        self._free_at = -math.inf

    def pause(self, least: float) -> float:
        """Return the seconds until a turn, no less than ``least``."""
        now = self._timers.now()
        turn = max(now, self._free_at)
        self._free_at = turn + self._distance()
        return max(least, turn - now)

    def restart(self) -> None:
        """Deal anew from now on: the turns that were dealt don't count.

        What got through just now had the first one: 64 VMs that each had
        another at once went beyond the rate in the first second.
        """
        self._free_at = self._timers.now() + self._distance()

    def _distance(self) -> float:
        stretch = random.uniform(1.0, LONGEST_STRETCH)
        return stretch / max(LEAST_RATE, self._rate())
