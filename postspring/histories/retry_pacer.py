"""Paces retries, so that all VMs share the log's rate."""

from collections.abc import Callable
import math
import random

from postspring.transport import timers as timers_module

__all__ = ["RetryPacer"]

# Retries are spaced by up to this factor more than the rate requires, at
# random: so VMs don't stay in step, and all together stay below the rate.
MAX_JITTER_FACTOR = 1.2
# Retries a second that a VM may make, however many VMs there are.
MIN_RATE = 0.1


class RetryPacer:
    """Allots slots for retries.

    Explanation
    ===========

    Slots are allotted in the order of the requests. A request whose minimum
    pause ends after its slot waits for that long, and does not delay the
    requests behind it.

    Parameters
    ==========

    rate : callable
        Returns how many retries a second this VM may make.
    """

    def __init__(
        self, timers: timers_module.Timers, rate: Callable[[], float]
    ):
        self._timers = timers
        self._rate = rate
        self._next_slot_at = -math.inf

    def allot_pause(self, minimum: float) -> float:
        """Return the seconds until a slot, no less than ``minimum``."""
        now = self._timers.now()
        slot = max(now, self._next_slot_at)
        self._next_slot_at = slot + self._interval()
        return max(minimum, slot - now)

    def restart(self) -> None:
        """Allot slots from now on, as if none had been allotted before.

        The call that has just succeeded used the first slot: 64 VMs that each
        made another call at once exceeded the rate in the first second.
        """
        self._next_slot_at = self._timers.now() + self._interval()

    def _interval(self) -> float:
        jitter = random.uniform(1.0, MAX_JITTER_FACTOR)
        return jitter / max(MIN_RATE, self._rate())
