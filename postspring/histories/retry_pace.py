"""When what waits for the log is tried again, so that VMs share its rate."""

from collections.abc import Callable
import math
import random

from postspring.transport import timers as timers_module

__all__ = [
    "RetryPacer",
]

# Retries are this much further apart than the rate says, by chance: so the
# VMs don't stay in step, and all together stay below the rate.
MAX_JITTER_FACTOR = 1.2
# Tries a second that a VM may make however many there are.
MIN_RATE = 0.1


class RetryPacer:
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
        self._next_slot_at = -math.inf

    def allot_pause(self, minimum: float) -> float:
        """Return the seconds until a turn, no less than ``least``."""
        now = self._timers.now()
        slot = max(now, self._next_slot_at)
        self._next_slot_at = slot + self._interval()
        return max(minimum, slot - now)

    def restart(self) -> None:
        """Deal anew from now on: the turns that were dealt don't count.

        What got through just now had the first one: 64 VMs that each had
        another at once went beyond the rate in the first second.
        """
        self._next_slot_at = self._timers.now() + self._interval()

    def _interval(self) -> float:
        jitter = random.uniform(1.0, MAX_JITTER_FACTOR)
        return jitter / max(MIN_RATE, self._rate())
