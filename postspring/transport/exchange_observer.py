"""What a failure detector sees of the exchanges of an HTTP client."""

from typing import Any

__all__ = ["ExchangeObserver"]


class ExchangeObserver:
    """Observes exchanges; this base class ignores them.

    Each exchange is of type :class:`postspring.transport.Exchange` and hashed
    by identity.
    """

    def started(self, exchange: Any, is_connected: bool) -> None:
        """Note that a request is sent, or that its connection is opened."""

    def connected(self, exchange: Any) -> None:
        """Note that the other side has accepted a new connection."""

    def received(self, exchange: Any) -> None:
        """Note bytes of a response."""

    def ended(self, exchange: Any) -> None:
        """Note that an exchange was completed, failed or was cancelled."""
