"""What the user of a connection implements."""

__all__ = ["ConnectionHandler"]


class ConnectionHandler:
    """What a connection's user implements."""

    def received(self, data: bytes) -> None:
        """Take bytes from the other side."""

    @property
    def is_answered(self) -> bool:
        """Whether only bytes that wait to be sent are owed.

        An end of what the other side sends then closes behind them.
        """
        return False

    def closed(self) -> None:
        """Take note that the connection is gone, from either side."""

    def left_unsent(self, unsent: int) -> None:
        """Take note that so many bytes are lost; the end is told next."""

    def was_reset(self, is_unreachable: bool) -> None:
        """Take note that the connection broke; by default as closed.

        Parameters
        ----------
        is_unreachable : bool
            Whether the other side did not acknowledge what was sent.
        """
        self.closed()
