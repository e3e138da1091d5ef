"""Logs of a front VM: JSON lines on standard output, at a bounded rate.

A full pipe must not block the event loop, and a burst of lines must not use
up the CPU.  So lines that exceed the rate or don't fit into the pipe are
dropped, and the next line that is written has their number.
"""

import logging
import os
import time

from postspring.logs import json_lines

__all__ = ["BoundedHandler", "set_up_front_logs"]

STANDARD_OUTPUT = 1
# Size of a burst, in seconds of lines at the sustained rate.
BURST_SECONDS = 2.0


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without blocking.

    Parameters
    ==========

    descriptor : int
        An open file; it is set to non-blocking mode.
    lines_per_second : float
        Sustained rate; it does not limit warnings and errors.
    """

    def __init__(self, descriptor: int, lines_per_second: float):
        super().__init__()
        self._descriptor = descriptor
        self._rate = lines_per_second
        self._tokens = lines_per_second * BURST_SECONDS
        self._refilled_at = time.monotonic()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        self._refill()
        if self._tokens < 1 and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        self._tokens -= 1
        if self.dropped:
            record.dropped_lines = self.dropped
        try:
            line = self.format(record).encode() + b"\n"
            os.write(self._descriptor, line)
            self.dropped = 0
        except OSError:
            self.dropped += 1

    def _refill(self) -> None:
        now = time.monotonic()
        tokens = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(tokens, self._rate * BURST_SECONDS)
        self._refilled_at = now


def set_up_front_logs(
    level: str, lines_per_second: float, **constant_fields: str
) -> None:
    """Log to standard output, with constant fields in each line."""
    handler = BoundedHandler(STANDARD_OUTPUT, lines_per_second)
    json_lines.install(handler, level, constant_fields)
