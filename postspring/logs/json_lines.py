"""Logs as one JSON object a line."""

import logging
import sys

from pythonjsonlogger import json as json_logger

__all__ = ["install", "set_up_logs"]

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up_logs(level: str, **constant: str) -> None:
    """Log to standard error; ``constant`` fields go into every line."""
    install(logging.StreamHandler(sys.stderr), level, constant)


def install(
    sink: logging.Handler, level: str, constant: dict[str, str]
) -> None:
    """Make ``sink`` the only destination of all logs."""
    formatter = json_logger.JsonFormatter(
        FIELDS,
        rename_fields={
            "asctime": "time",
            "levelname": "level",
            "name": "logger",
        },
        static_fields=constant,
    )
    sink.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [sink]
    root.setLevel(level.upper())
