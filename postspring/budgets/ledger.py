"""The budget account of a program.

Amounts are integers in micro-units (millionths of the operator's currency),
so sums are exact.
"""

from typing import NewType

__all__ = ["Account", "MicroUnits"]

MicroUnits = NewType("MicroUnits", int)


class Account:
    """Amounts that one program has spent and reserved of its limit.

    Explanation
    ===========

    A call's maximum cost is reserved before the call is dispatched, and
    settled with its actual cost.  The account of a sub-agent has that of the
    parent program as ``parent``: each amount is also reserved or spent in
    all accounts above, so that concurrent sub-agents can't exceed the limit
    of the root together.

    Parameters
    ==========

    limit : MicroUnits or None
        Maximum amount to spend; None means that only the parent limits it.
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
            for account in self._self_and_ancestors()
            if account.limit is not None
        ]
        return min(bounds, default=None)

    def fits(self, amount: int) -> bool:
        """Return whether ``amount`` can be reserved."""
        available = self.available
        return available is None or amount <= available

    def reserve(self, amount: int) -> bool:
        """Reserve ``amount`` here and in all accounts above.

        Return False, and reserve nothing, if any of them lacks it.
        """
        if amount < 0:
            raise ValueError("an amount can't be negative")
        if not self.fits(amount):
            return False
        for account in self._self_and_ancestors():
            account.reserved += amount
        return True

    def settle(self, *, reserved: int, cost: int) -> None:
        """Release ``reserved`` and charge ``cost``, at most ``reserved``."""
        charged = min(cost, reserved)
        for account in self._self_and_ancestors():
            account.reserved -= reserved
            account.spent += charged

    def _self_and_ancestors(self):
        account = self
        while account is not None:
            yield account
            account = account.parent
