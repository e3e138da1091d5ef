"""Queue order: which waiting call goes first."""

import abc
from typing import Any

from postspring import registry

__all__ = ["FirstComeFirstServed", "Order", "PriorityOrder", "order_by_name"]

order_by_name: registry.Registry = registry.Registry("order")


class Order(abc.ABC):
    """Orders waiting calls by a key, the smallest first."""

    @abc.abstractmethod
    def key(self, call: Any) -> tuple:
        """Return the sort key of a waiting call."""


@order_by_name.register("first_come")
class FirstComeFirstServed(Order):
    """Baseline: single calls in the order of their arrival."""

    def key(self, call):
        """Return the time of arrival."""
        return (call.enqueued_at,)


@order_by_name.register("priority")
class PriorityOrder(Order):
    """Calls of higher priority first, then in the order of arrival."""

    def key(self, call):
        """Return priority and time of arrival."""
        return (-call.priority, call.enqueued_at)
