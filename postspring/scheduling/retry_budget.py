"""A budget that limits retries to a small share of first attempts."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allows retries up to a share of recent first attempts.

    Explanation
    ===========

    Each first attempt deposits ``share`` of a token, each retry takes one.
    The balance is bounded, so that a time without retries does not allow a
    retry storm later.

    Parameters
    ==========

    share : float
        Retries allowed per first attempt.
    reserve : float
        Initial balance, which is also its upper bound.

    Examples
    ========

    >>> budget = RetryBudget(share=1.0, reserve=1)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.deposit()
    >>> budget.take()
    True
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0):
        self.share = share
        self.reserve = reserve
        self.balance = reserve

    def deposit(self) -> None:
        """Count a first attempt."""
        self.balance = min(self.reserve, self.balance + self.share)

    def take(self) -> bool:
        """Take a token for a retry; return False if there is none."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
