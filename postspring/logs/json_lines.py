"""Logs with one JSON object per line."""

import logging
import sys

from pythonjsonlogger import json as json_logger

__all__ = ["install", "set_up_logs"]

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up_logs(level: str, **constant_fields: str) -> None:
    """Log to standard error, with constant fields in each line."""
    install(logging.StreamHandler(sys.stderr), level, constant_fields)


def install(
    handler: logging.Handler, level: str, constant_fields: dict[str, str]
) -> None:
    """Make ``handler`` the only handler of all logs."""
    formatter = json_logger.JsonFormatter(
        LOG_FORMAT,
        rename_fields={
            "asctime": "time",
            "levelname": "level",
            "name": "logger",
        },
        static_fields=constant_fields,
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
