"""How many questions a VM may ask the others."""

from collections.abc import Callable

__all__ = ["MessageBudget"]

# Messages a second that a VM sends for questions, in the mean and at once.
# One costs both ends about 0.4 ms of processor time, and a VM is asked as
# much as it asks: a twentieth of a core, however many VMs there are.
MESSAGES_A_SECOND = 60.0
MOST_AT_ONCE = 300.0


class MessageBudget:
    """Lets so many messages go, and refuses the others at once.

    Explanation
    ===========

    A question to all VMs costs a message for each of them.  While the log is
    away every turn may need one: 67 VMs spent all their processor time on
    them, and answered nobody.

    Parameters
    ==========

    now : callable
        Monotonic time in seconds.

    Examples
    ========

    >>> budget = MessageBudget(lambda: 0.0)
    >>> budget.take(250), budget.take(100), budget.take(50)
    (True, False, True)
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._at = now()
        self._left = MOST_AT_ONCE

    def take(self, messages: int) -> bool:
        """Take so many messages, or none of them.

        One question to more VMs than can ever be saved up for is let
        through when nothing was asked for long.
        """
        now = self._now()
        added = (now - self._at) * MESSAGES_A_SECOND
        self._at = now
        self._left = min(MOST_AT_ONCE, self._left + added)
        if min(messages, MOST_AT_ONCE) > self._left:
            return False
        self._left -= messages
        return True
