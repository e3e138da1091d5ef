"""Order: which waiting call goes first."""

import abc
from typing import Any

from postspring import registry

__all__ = ["FirstCome", "Order", "PriorityOrder", "order_by_name"]

order_by_name: registry.Registry = registry.Registry("order")


class Order(abc.ABC):
    """Ranks waiting calls; the smallest key goes first."""

    @abc.abstractmethod
    def key(self, ticket: Any) -> tuple:
        """Return the sort key of a waiting call."""


@order_by_name.register("first_come")
class FirstCome(Order):
    """Baseline: request-level first come, first served."""

    def key(self, ticket):
        """Return the time of arrival."""
        return (ticket.enqueued_at,)


@order_by_name.register("priority")
class PriorityOrder(Order):
    """Higher priority first, then first come."""

    def key(self, ticket):
        """Return priority and time of arrival."""
        return (-ticket.priority, ticket.enqueued_at)
