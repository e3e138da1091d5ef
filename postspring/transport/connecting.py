"""A connection that is being opened."""

__all__ = ["Connecting"]


class Connecting:
    """Where to, until when, and who is told."""

    __slots__ = ("address", "on_open", "on_error", "deadline")

    def __init__(self, address, on_open, on_error, deadline):
        self.address = address
        self.on_open = on_open
        self.on_error = on_error
        self.deadline = deadline
