"""Logs of a front VM: JSON lines on standard output, bounded.

A full pipe must not stop the loop, and a storm of lines must not eat the
processor: lines beyond a rate, or that don't fit the pipe, are dropped,
and the next line that goes out says how many.
"""

import logging
import os
import time

from postspring.logs import json_lines

__all__ = ["BoundedHandler", "set_up_front_logs"]

STANDARD_OUTPUT = 1
# Seconds' worth of lines that may come at once.
BURST_SECONDS = 2.0


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting.

    Parameters
    ==========

    descriptor : int
        An open file; it is set to not block.
    lines_per_second : float
        Lasting rate; warnings and errors always go out.
    """

    def __init__(self, descriptor: int, lines_per_second: float):
        super().__init__()
        self._descriptor = descriptor
        self._rate = lines_per_second
        self._room = lines_per_second * BURST_SECONDS
        self._refilled_at = time.monotonic()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        self._refill()
        if self._room < 1 and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        self._room -= 1
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
        room = self._room + (now - self._refilled_at) * self._rate
        self._room = min(room, self._rate * BURST_SECONDS)
        self._refilled_at = now


def set_up_front_logs(
    level: str, lines_per_second: float, **constant: str
) -> None:
    """Log to standard output; ``constant`` fields go into every line."""
    sink = BoundedHandler(STANDARD_OUTPUT, lines_per_second)
    json_lines.install(sink, level, constant)
