"""The budget account of a program.

Money is counted in whole micro-units (millionths of the operator's
currency), so sums are exact.
"""

from typing import NewType

__all__ = ["Account", "MicroUnits"]

MicroUnits = NewType("MicroUnits", int)


class Account:
    """What one program has spent and reserved against its limit.

    Explanation
    ===========

    A call's worst case is reserved before it is dispatched and settled with
    its outcome.  A sub-agent's account has its parent's account as
    ``parent``: whatever it reserves or spends also weighs on every account
    above, so many sub-agents at once can't pass the root's limit together.

    Parameters
    ==========

    limit : MicroUnits or None
        The most that may be spent; None means bounded by the parent alone.
    parent : Account, optional
        The account of the parent program.

    Examples
    ========

    >>> root = Account(100)
    >>> agent = Account(None, parent=root)
    >>> agent.reserve(60)
    True
    >>> root.reserve(50)
    False
    >>> agent.settle(reserved=60, cost=10)
    >>> root.spent, root.reserved
    (10, 0)
    """

    __slots__ = ("limit", "parent", "spent", "reserved")

    def __init__(self, limit: int | None, parent: "Account | None" = None):
        self.limit = limit
        self.parent = parent
        self.spent = 0
        self.reserved = 0

    @property
    def available(self) -> int | None:
        """Micro-units that may still be reserved; None if unbounded."""
        bounds = [
            account.limit - account.spent - account.reserved
            for account in self._chain()
            if account.limit is not None
        ]
        return min(bounds, default=None)

    def fits(self, amount: int) -> bool:
        """Return whether ``amount`` more could be reserved."""
        available = self.available
        return available is None or amount <= available

    def reserve(self, amount: int) -> bool:
        """Reserve ``amount`` here and above, or nothing and return False."""
        if amount < 0:
            raise ValueError("an amount can't be negative")
        if not self.fits(amount):
            return False
        for account in self._chain():
            account.reserved += amount
        return True

    def settle(self, *, reserved: int, cost: int) -> None:
        """Release ``reserved`` and charge ``cost``, at most ``reserved``."""
        charged = min(cost, reserved)
        for account in self._chain():
            account.reserved -= reserved
            account.spent += charged

    def _chain(self):
        account = self
        while account is not None:
            yield account
            account = account.parent
